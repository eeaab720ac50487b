package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"pinebay/internal/protocol"
)

// ReadBody reads the body of a request, which may have up to [protocol.MaxBodyBytes]. The error for a longer body
// matches [protocol.ErrMalformed]. The rest of such a body is not read, and the connection is closed after the
// response.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > protocol.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, protocol.NewMalformedError("body of %d bytes", r.ContentLength)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.Header().Set("Connection", "close")
			return nil, protocol.NewMalformedError("body too long")
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	return raw, nil
}

// WriteResponse writes a response with body encoded as MessagePack, or a 500 without body if encoding fails. Errors of
// the connection are ignored, because a client that misses a response retries.
func WriteResponse(w http.ResponseWriter, status int, body any) {
	raw, err := protocol.Encode(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
