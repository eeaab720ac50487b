package transport

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestClientLimitsRequests: no more requests are under way than the client may have sockets for, and the timeout of a
// request begins when it gets a slot.
func TestClientLimitsRequests(t *testing.T) {
	var underWay, maximum atomic.Int64
	turn := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		n := underWay.Add(1)
		for m := maximum.Load(); n > m && !maximum.CompareAndSwap(m, n); m = maximum.Load() {
		}
		<-turn
		underWay.Add(-1)
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
		turn <- struct{}{}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if m := maximum.Load(); m > 3 {
		t.Errorf("%d requests under way at a time", m)
	}
}
