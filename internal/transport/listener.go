package transport

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener is a listener with a limit on its open connections, so that the process keeps sockets for its own calls: a
// controller without free sockets can reach nobody.
//
// When a connection arrives at the limit, the one that has been idle for the longest time is closed to make room. If
// none is idle, the new connection is closed, and the load balancer moves its user on to another controller.
//
// An [http.Server] that serves the listener must have [Listener.ConnState] as its ConnState, which is how the listener
// knows which connections are idle.
type Listener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int        // connections that are accepted and not closed
	idle *list.List // of *countedConn, longest idle first
}

// Listen returns a listener on addr that keeps at most maxConns connections open.
func Listen(ctx context.Context, network Network, addr string, maxConns int) (*Listener, error) {
	l, err := network.Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, maxConns: maxConns, idle: list.New()}, nil
}

// Accept waits for the next connection within the limit. Connections above it are closed and not returned.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &countedConn{Conn: c, listener: l}, nil
		}
		_ = c.Close()
	}
}

// admit counts one more connection and reports true, unless the limit is reached and no connection is idle.
func (l *Listener) admit() bool {
	l.mu.Lock()
	var evicted *countedConn
	if l.open >= l.maxConns {
		if evicted = l.longestIdle(); evicted == nil {
			l.mu.Unlock()
			return false
		}
	}
	l.open++
	l.mu.Unlock()
	if evicted != nil {
		_ = evicted.Close()
	}
	return true
}

// longestIdle returns the connection that has been idle for the longest time, or nil. The caller holds l.mu.
func (l *Listener) longestIdle() *countedConn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c, _ := front.Value.(*countedConn)
	return c
}

// ConnState records that a connection has become idle or active. It has the signature of [http.Server.ConnState], and
// ignores connections that the listener did not accept or that are closed.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	counted, ok := c.(*countedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case counted.closed:
	case state == http.StateIdle && counted.idleElement == nil:
		counted.idleElement = l.idle.PushBack(counted)
	case state == http.StateActive:
		counted.removeFromIdle()
	}
}

// countedConn is an accepted connection, which counts toward the limit of its listener until it is closed. Its fields
// are guarded by the listener's mutex.
type countedConn struct {
	net.Conn
	listener    *Listener
	closed      bool
	idleElement *list.Element // in the listener's list of idle connections; nil if it is not idle
}

// removeFromIdle removes the connection from the list of idle ones. The caller holds the listener's mutex.
func (c *countedConn) removeFromIdle() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// Close closes the connection. It may be called more than once, and gives up the connection's place once.
func (c *countedConn) Close() error {
	c.listener.mu.Lock()
	if !c.closed {
		c.closed = true
		c.listener.open--
		c.removeFromIdle()
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
