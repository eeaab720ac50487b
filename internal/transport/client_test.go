package transport

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestClientLimitsRequests checks that the number of concurrent requests stays within the client's limit, and that the
// requests that wait for a slot succeed.
func TestClientLimitsRequests(t *testing.T) {
	var inFlight, maximum atomic.Int64
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		n := inFlight.Add(1)
		for m := maximum.Load(); n > m && !maximum.CompareAndSwap(m, n); m = maximum.Load() {
		}
		<-release
		inFlight.Add(-1)
	}))
	defer srv.Close()
	c := NewClient(TCP{}, 8, 3, time.Minute)
	done := make(chan error)
	const n = 12
	for range n {
		go func() {
			_, _, err := c.Do(t.Context(), time.Minute, http.MethodGet, srv.URL, nil)
			done <- err
		}()
	}
	for range n {
		release <- struct{}{}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if m := maximum.Load(); m > 3 {
		t.Errorf("%d concurrent requests, want at most 3", m)
	}
}
