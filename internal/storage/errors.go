package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable indicates that a request was not executed and may be retried.
	ErrUnavailable = errors.New("key-value store unavailable")

	// ErrRateLimited indicates that a request was not executed because its rate limit is exhausted. It can be retried
	// after a short delay. It wraps ErrUnavailable.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrUnavailable)

	// ErrThrottled indicates that a request was not sent, because too many requests are waiting for the same budget. It
	// wraps ErrRateLimited.
	ErrThrottled = fmt.Errorf("%w by this controller", ErrRateLimited)

	// ErrOutcomeUnknown indicates that a request got no response: it may have been executed, or may still be executed.
	ErrOutcomeUnknown = errors.New("no response from the key-value store")

	// ErrLeaseNotFound indicates that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")

	// ErrCompacted indicates that the requested changes are so old that the store no longer has them. The keys must be
	// listed again.
	ErrCompacted = errors.New("requested changes have been compacted")

	// ErrMalformedRecord matches every MalformedRecordError.
	ErrMalformedRecord = errors.New("malformed record")

	// ErrNewerFormat matches every NewerFormatError.
	ErrNewerFormat = errors.New("record of a newer format")
)

// RejectedError reports a request that the key-value store has rejected as invalid. Retrying it will not succeed.
type RejectedError struct {
	Method string
	// Path is the path of the request. Key is the first key that a transaction changes.
	Path, Key string
	Status    int
	// Reason is the beginning of the store's response.
	Reason string
}

// Error returns the rejected request, the status and the reason.
func (e *RejectedError) Error() string {
	request := e.Method + " " + e.Path
	if e.Key != "" {
		request += " of " + e.Key
	}
	return fmt.Sprintf("key-value store rejected %s: status %d: %q", request, e.Status, e.Reason)
}

// MalformedRecordError reports a stored record that cannot be decoded or is invalid.
type MalformedRecordError struct {
	Key    string
	Reason string
	Err    error // the error of the decoder, or nil
}

// Error returns the key of the record and the reason.
func (e *MalformedRecordError) Error() string {
	return fmt.Sprintf("%v %q: %s", ErrMalformedRecord, e.Key, e.Reason)
}

// Is reports whether target is ErrMalformedRecord.
func (e *MalformedRecordError) Is(target error) bool { return target == ErrMalformedRecord }

// Unwrap returns the error of the decoder.
func (e *MalformedRecordError) Unwrap() error { return e.Err }

func malformed(key, format string, args ...any) error {
	return &MalformedRecordError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

func decodeError(key string, err error) error {
	return &MalformedRecordError{Key: key, Reason: err.Error(), Err: err}
}

// NewerFormatError reports a record that a later version has written. The record must not be changed.
type NewerFormatError struct {
	Key               string
	Format, Supported int
}

// Error returns the key, the format of the record and the supported format.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf(
		"%v: key %q has format %d, this version supports %d",
		ErrNewerFormat,
		e.Key,
		e.Format,
		e.Supported,
	)
}

// Is reports whether target is ErrNewerFormat.
func (e *NewerFormatError) Is(target error) bool { return target == ErrNewerFormat }
