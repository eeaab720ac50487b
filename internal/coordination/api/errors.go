package api

import (
	"errors"
	"fmt"
	"net/http"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// errJobNotFound is returned for a job that was never submitted.
var errJobNotFound = errors.New("no such job")

// errNoJobRecord is returned for a job that currently has neither a live record nor an ended record.
var errNoJobRecord = errors.New("neither live nor ended")

// requestError is an error that is reported to the user, with the status and the message of the response.
type requestError struct {
	status  int
	message string
	err     error // the cause, which is not part of the response; may be nil
}

// Error returns the message of the response followed by the cause, for logs.
func (e *requestError) Error() string {
	if e.err == nil {
		return e.message
	}
	return e.message + ": " + e.err.Error()
}

// Unwrap returns the cause, or nil.
func (e *requestError) Unwrap() error { return e.err }

// badRequest returns the error for a malformed request. The text of err is sent to the user.
func badRequest(err error) error {
	return &requestError{status: http.StatusBadRequest, message: err.Error()}
}

// notFound returns the error for a job that was never submitted.
func notFound() error {
	return &requestError{status: http.StatusNotFound, message: errJobNotFound.Error()}
}

// unprocessable returns the error for a well-formed submission that can never be accepted.
func unprocessable(format string, args ...any) error {
	return &requestError{status: http.StatusUnprocessableEntity, message: fmt.Sprintf(format, args...)}
}

// unavailable returns the error for a request that may succeed when it is repeated. cause may be nil.
func unavailable(message string, cause error) error {
	return &requestError{status: http.StatusServiceUnavailable, message: message, err: cause}
}

// Messages of responses with status 503.
const (
	storeUnavailable        = "the state service did not answer"
	machineTypesUnavailable = "machine types are not known yet"
	cancellationUnavailable = "the cancellation cannot be recorded for the moment"
	upgradeInProgress       = "an upgrade is under way: not all controllers can read awaited jobs yet"
)

// retryAfterSeconds is the value of the Retry-After header of responses with status 503.
const retryAfterSeconds = "1"

// statusOf returns the HTTP status of the response for an error.
func statusOf(err error) int {
	var request *requestError
	if errors.As(err, &request) {
		return request.status
	}
	return http.StatusInternalServerError
}

// writeError writes the error response for err.
func writeError(w http.ResponseWriter, err error) {
	message := err.Error()
	var request *requestError
	if errors.As(err, &request) {
		message = request.message
	}
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	transport.WriteResponse(w, status, protocol.ErrorResponse{Error: message})
}
