package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformed is matched, with [errors.Is], by every error about a message that is not well-formed or fails
// validation.
var ErrMalformed = errors.New("malformed")

// MalformedError reports a message that does not have the format that its interface requires. Its text is part of the
// responses to users and workers.
type MalformedError struct {
	// Field is the wire name of the invalid field. It is empty if the error concerns the whole message.
	Field string
	// Reason describes the error.
	Reason string
	// Err is the error that the decoder returned, or nil if validation failed after decoding.
	Err error
}

// Error returns the reason, preceded by the name of the field if there is one.
func (e *MalformedError) Error() string {
	if e.Field == "" {
		return ErrMalformed.Error() + ": " + e.Reason
	}
	return ErrMalformed.Error() + ": field " + e.Field + ": " + e.Reason
}

// Is reports whether target is [ErrMalformed], which every MalformedError matches.
func (e *MalformedError) Is(target error) bool { return target == ErrMalformed }

// Unwrap returns the error that the decoder returned, or nil.
func (e *MalformedError) Unwrap() error { return e.Err }

// NewMalformedError returns a [MalformedError] that concerns a whole message.
func NewMalformedError(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// malformedField returns a [MalformedError] that concerns one field, given by its wire name.
func malformedField(field, reason string) error {
	return &MalformedError{Field: field, Reason: reason}
}

// decodeError returns a [MalformedError] that wraps an error of a decoder.
func decodeError(err error) error {
	return &MalformedError{Reason: err.Error(), Err: err}
}

// ErrorResponse is the body of a response with an HTTP error status.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}
