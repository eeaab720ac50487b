package api

import (
	"errors"
	"fmt"
	"net/http"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// errJobNotFound says that nobody has submitted a job of that id.
var errJobNotFound = errors.New("no such job")

// errNotReadable says that a job is neither live nor recorded as ended at the moment.
var errNotReadable = errors.New("neither live nor ended")

// requestError is an error that a user is told, with the HTTP status and the text of the response.
type requestError struct {
	status  int
	message string
	err     error // the cause, which users are not told; may be nil
}

// Error returns the text of the response, and the cause.
func (e *requestError) Error() string {
	if e.err == nil {
		return e.message
	}
	return e.message + ": " + e.err.Error()
}

// Unwrap returns the cause, or nil.
func (e *requestError) Unwrap() error { return e.err }

// badRequest returns an error about the form of a request, whose text the user is told.
func badRequest(err error) error {
	return &requestError{status: http.StatusBadRequest, message: err.Error()}
}

// notFound returns an error about a job that nobody has submitted.
func notFound() error {
	return &requestError{status: http.StatusNotFound, message: errJobNotFound.Error()}
}

// unprocessable returns an error about a valid submission that can never be accepted.
func unprocessable(format string, args ...any) error {
	return &requestError{status: http.StatusUnprocessableEntity, message: fmt.Sprintf(format, args...)}
}

// unavailable returns an error about a request that may succeed later. cause may be nil.
func unavailable(message string, cause error) error {
	return &requestError{status: http.StatusServiceUnavailable, message: message, err: cause}
}

// The texts of unavailable responses.
const (
	storeUnavailable        = "the state service did not answer"
	machineTypesUnavailable = "machine types are not known yet"
	cancellationUnavailable = "the cancellation cannot be recorded for the moment"
	upgradeInProgress       = "an upgrade is under way: not all controllers can read awaited jobs yet"
)

// retryAfterSeconds tells users when to repeat a request that was unavailable.
const retryAfterSeconds = "1"

// statusOf returns the HTTP status for an error.
func statusOf(err error) int {
	var request *requestError
	if errors.As(err, &request) {
		return request.status
	}
	return http.StatusInternalServerError
}

// writeError writes the response for an error.
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
