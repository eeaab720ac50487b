package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformed matches, with [errors.Is], every error about the form of a message.
var ErrMalformed = errors.New("malformed")

// MalformedError reports a message that does not have the form that its interface requires. Its text is part of the
// responses to users and workers.
type MalformedError struct {
	// Field is the field at fault, by its name on the wire, or empty if the error concerns the whole message.
	Field string
	// Reason says what is wrong with the field or the message.
	Reason string
	// Err is the error of the decoder, if it found the fault.
	Err error
}

// Error returns the reason, preceded by the field if there is one.
func (e *MalformedError) Error() string {
	if e.Field == "" {
		return ErrMalformed.Error() + ": " + e.Reason
	}
	return ErrMalformed.Error() + ": field " + e.Field + ": " + e.Reason
}

// Is makes every MalformedError match [ErrMalformed].
func (e *MalformedError) Is(target error) bool { return target == ErrMalformed }

// Unwrap returns the error of the decoder, or nil.
func (e *MalformedError) Unwrap() error { return e.Err }

// Malformed returns an error about a message as a whole.
func Malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// malformedField returns an error about one field.
func malformedField(field, reason string) error {
	return &MalformedError{Field: field, Reason: reason}
}

// undecodable returns an error for what a decoder has rejected.
func undecodable(err error) error {
	return &MalformedError{Reason: err.Error(), Err: err}
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `msgpack:"error"`
}
