package simulation

import (
	"net/http"

	"pinebay/internal/protocol"
)

// writeResponse writes a response with an encoded body. Write errors are ignored because a client that does not receive
// a response repeats its request.
func writeResponse(w http.ResponseWriter, status int, body any) {
	raw, err := protocol.Encode(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, message string) {
	writeResponse(w, status, protocol.ErrorResponse{Error: message})
}

// badRequest returns the response to a malformed request.
func badRequest(err error) (int, any) {
	return http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}
}
