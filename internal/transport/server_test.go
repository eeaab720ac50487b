package transport

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pinebay/internal/protocol"
)

// TestReadBody checks that a body above the limit is reported as malformed and closes the connection, whether or not
// the request states the length of the body.
func TestReadBody(t *testing.T) {
	for name, x := range map[string]struct {
		bytes     int
		hasLength bool
		want      string
	}{
		"at the limit":           {protocol.MaxBodyBytes, true, ""},
		"announced and too long": {protocol.MaxBodyBytes + 1, true, "malformed: body of 65537 bytes"},
		"streamed, at the limit": {protocol.MaxBodyBytes, false, ""},
		"streamed and too long":  {protocol.MaxBodyBytes + 1, false, "malformed: body too long"},
		"empty":                  {0, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.NewReader(strings.Repeat("x", x.bytes))
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/submissions", body)
			if !x.hasLength {
				r.ContentLength = -1
			}
			w := httptest.NewRecorder()
			raw, err := ReadBody(w, r)
			if x.want == "" {
				if err != nil || len(raw) != x.bytes {
					t.Errorf("read %d bytes, error %v, want the whole body", len(raw), err)
				}
				return
			}
			if !errors.Is(err, protocol.ErrMalformed) || err.Error() != x.want {
				t.Errorf("error %v, want %q", err, x.want)
			}
			if w.Header().Get("Connection") != "close" {
				t.Error("the connection stays open")
			}
		})
	}
}
