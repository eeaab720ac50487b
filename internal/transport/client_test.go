package transport

import (
	"context"
	"errors"
	"net"
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

// gatedNetwork is TCP with connection attempts that wait for a value in the channel.
type gatedNetwork struct {
	TCP
	dials chan struct{}
}

func (n gatedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	select {
	case <-n.dials:
		return n.TCP.Dial(ctx, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestPreconditionIsCheckedAfterWaiting guards against requests that are sent although they have become outdated while
// they waited for a connection: the precondition is checked when there is one, new or idle.
func TestPreconditionIsCheckedAfterWaiting(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	network := gatedNetwork{dials: make(chan struct{}, 3)}
	c := NewClient(network, 1, 1, time.Minute)
	errOutdated := errors.New("outdated")
	var outdated atomic.Bool
	request := Request{
		Method:  http.MethodPost,
		URL:     srv.URL,
		Timeout: time.Minute,
		Body:    struct{}{},
		Precondition: func() error {
			if outdated.Load() {
				return errOutdated
			}
			return nil
		},
	}
	result := make(chan error)
	send := func() {
		_, err := c.Send(t.Context(), request)
		result <- err
	}
	go send()
	outdated.Store(true)
	network.dials <- struct{}{}
	if err := <-result; !errors.Is(err, ErrNotSent) || !errors.Is(err, errOutdated) {
		t.Errorf("outdated while it waited for a connection: error %v, want ErrNotSent and the reason", err)
	}
	outdated.Store(false)
	network.dials <- struct{}{}
	go send()
	if err := <-result; err != nil {
		t.Errorf("valid request: %v", err)
	}
	outdated.Store(true) // the connection is idle now
	go send()
	if err := <-result; !errors.Is(err, ErrNotSent) {
		t.Errorf("outdated request with an idle connection: error %v, want ErrNotSent", err)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("%d requests received, want the valid one only", n)
	}
}

// TestSlotWaitIsLimited guards against requests that wait without a limit behind requests that are not answered, and
// are sent long after they were decided on.
func TestSlotWaitIsLimited(t *testing.T) {
	var received atomic.Int64
	arrived, release := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		close(arrived)
		<-release
	}))
	defer srv.Close()
	c := NewClient(TCP{}, 8, 1, time.Minute)
	done := make(chan error)
	go func() {
		_, _, err := c.Do(t.Context(), time.Minute, http.MethodGet, srv.URL, nil)
		done <- err
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	const timeout = 20 * time.Millisecond
	response, err := c.Send(ctx, Request{Method: http.MethodGet, URL: srv.URL, Timeout: timeout})
	if !errors.Is(err, ErrNotSent) || response.SlotWait < timeout {
		t.Errorf("error %v after %v, want ErrNotSent after %v", err, response.SlotWait, timeout)
	}
	if ctx.Err() != nil {
		t.Error("the wait for a slot was not limited by the timeout")
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the request with the slot: %v", err)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("%d requests received, want 1", n)
	}
}
