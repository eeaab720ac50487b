package transport

import (
	"net"
	"net/http"
	"testing"
)

// TestSocketBudget: connections above the limit are closed at once, unless one is idle, of which the longest idle one
// is closed instead; and the place of a closed connection is used again.
func TestSocketBudget(t *testing.T) {
	l, err := Listen(t.Context(), TCP{}, "127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		t.Helper()
		return dialLocal(t, l.Addr())
	}
	closed := func(c net.Conn) bool { _, err := c.Read(make([]byte, 1)); return err != nil }
	open := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.open
	}
	one := dial()
	first := <-accepted
	two := dial()
	second := <-accepted
	if !closed(dial()) {
		t.Error("a third connection was kept beside two active ones")
	}
	l.ConnState(second, http.StateIdle)
	l.ConnState(first, http.StateIdle)
	dial()
	<-accepted
	if !closed(two) {
		t.Error("the longest idle connection was kept")
	}
	l.ConnState(first, http.StateActive)
	l.ConnState(second, http.StateIdle) // it is closed: a late change has no effect
	if !closed(dial()) {
		t.Error("a connection was kept beside two active ones")
	}
	_ = first.Close()
	_ = first.Close() // counted once
	if !closed(one) {
		t.Error("a closed connection is still open")
	}
	dial()
	<-accepted
	if n := open(); n != 2 {
		t.Errorf("%d open", n)
	}
}
