package transport

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener is a net.Listener that limits the number of open connections. The limit leaves sockets for the connections
// that the process opens itself: a controller that has run out of sockets cannot reach any other service.
//
// When a connection arrives at the limit, the connection that has been idle for longest is closed to make room. If no
// connection is idle, the new one is closed, and the load balancer directs its user to another controller.
//
// An [http.Server] that serves the listener must use [Listener.ConnState] as its ConnState hook, which tells the
// listener which connections are idle.
type Listener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int        // number of accepted connections that are not closed
	idle *list.List // of *countedConn, the longest idle first
}

// Listen returns a listener on addr that allows at most maxConns open connections.
func Listen(ctx context.Context, network Network, addr string, maxConns int) (*Listener, error) {
	l, err := network.Listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, maxConns: maxConns, idle: list.New()}, nil
}

// Accept waits for the next connection that is within the limit. It closes connections above the limit instead of
// returning them.
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

// admit counts a new connection and returns true, or returns false if the limit is reached and no connection is idle.
// At the limit it closes the longest idle connection to make room.
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

// longestIdle returns the connection that has been idle for longest, or nil if none is idle. The caller must hold l.mu.
func (l *Listener) longestIdle() *countedConn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c, _ := front.Value.(*countedConn)
	return c
}

// ConnState records that a connection has become idle or active. It is a hook for [http.Server.ConnState], and ignores
// connections that were not accepted by this listener or are closed.
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

// countedConn is an accepted connection, which counts towards the limit of its listener until it is closed. Its fields
// are guarded by the listener's mutex.
type countedConn struct {
	net.Conn
	listener    *Listener
	closed      bool
	idleElement *list.Element // element in the listener's idle list; nil if not idle
}

// removeFromIdle removes the connection from the listener's idle list. The caller must hold the listener's mutex.
func (c *countedConn) removeFromIdle() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// Close closes the connection. It may be called more than once, but reduces the listener's count only once.
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
