package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrUnavailable says that a request was not executed.
	ErrUnavailable = errors.New("key-value store unavailable")

	// ErrRateLimited says that a request was not executed because its rate limit is used up. It can be repeated in a
	// moment. It is a kind of ErrUnavailable.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrUnavailable)

	// ErrThrottled says that a request was not even sent, because too many wait for the same budget. It is a kind of
	// ErrRateLimited.
	ErrThrottled = fmt.Errorf("%w by this controller", ErrRateLimited)

	// ErrOutcomeUnknown says that a request may have been executed, or may be executed yet.
	ErrOutcomeUnknown = errors.New("no answer from the key-value store")

	// ErrLeaseNotFound says that a lease has ended.
	ErrLeaseNotFound = errors.New("lease not found")

	// ErrCompacted says that changes were asked for that are too old to be kept: the keys have to be listed again.
	ErrCompacted = errors.New("changes no longer kept")

	// ErrMalformedRecord matches every MalformedRecordError.
	ErrMalformedRecord = errors.New("malformed record")

	// ErrNewerFormat matches every NewerFormatError.
	ErrNewerFormat = errors.New("record of a newer format")
)

// RejectedError reports a request that the key-value store has rejected as invalid. Repeating it is of no use.
type RejectedError struct {
	Method string
	// Path is that of the request, and Key the first key that a transaction writes.
	Path, Key string
	Status    int
	// Reason is the beginning of the service's answer.
	Reason string
}

// Error returns what was rejected, and why.
func (e *RejectedError) Error() string {
	request := e.Method + " " + e.Path
	if e.Key != "" {
		request += " of " + e.Key
	}
	return fmt.Sprintf("key-value store rejected %s: status %d: %q", request, e.Status, e.Reason)
}

// MalformedRecordError reports a stored record that doesn't have the form of its kind.
type MalformedRecordError struct {
	Key    string
	Reason string
	Err    error // the error of the decoder, or nil
}

// Error returns which record is malformed, and why.
func (e *MalformedRecordError) Error() string {
	return fmt.Sprintf("%v %q: %s", ErrMalformedRecord, e.Key, e.Reason)
}

// Is makes every MalformedRecordError match ErrMalformedRecord.
func (e *MalformedRecordError) Is(target error) bool { return target == ErrMalformedRecord }

// Unwrap returns the error of the decoder.
func (e *MalformedRecordError) Unwrap() error { return e.Err }

func malformed(key, format string, args ...any) error {
	return &MalformedRecordError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

func undecodable(key string, err error) error {
	return &MalformedRecordError{Key: key, Reason: err.Error(), Err: err}
}

// NewerFormatError reports a record that a later version has written. It must be left as it is.
type NewerFormatError struct {
	Key               string
	Format, Supported int
}

// Error returns both formats.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf(
		"%v: key %q has format %d, this version supports %d",
		ErrNewerFormat,
		e.Key,
		e.Format,
		e.Supported,
	)
}

// Is makes every NewerFormatError match ErrNewerFormat.
func (e *NewerFormatError) Is(target error) bool { return target == ErrNewerFormat }
