package transport

import (
	"net"
	"net/http"
	"testing"
)

// TestConnectionLimit checks that a connection above the limit is closed at once, unless the longest idle connection
// can be closed instead, and that a closed connection makes room for a new one.
func TestConnectionLimit(t *testing.T) {
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
		t.Error("a third connection stayed open next to two active ones")
	}
	l.ConnState(second, http.StateIdle)
	l.ConnState(first, http.StateIdle)
	dial()
	<-accepted
	if !closed(two) {
		t.Error("the longest idle connection is still open")
	}
	l.ConnState(first, http.StateActive)
	l.ConnState(second, http.StateIdle) // second is closed already, so this has no effect
	if !closed(dial()) {
		t.Error("a connection above the limit stayed open next to two active ones")
	}
	_ = first.Close()
	_ = first.Close() // must not be counted twice
	if !closed(one) {
		t.Error("a closed connection is still open")
	}
	dial()
	<-accepted
	if n := open(); n != 2 {
		t.Errorf("%d connections counted as open, want 2", n)
	}
}
