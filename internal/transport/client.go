// Package transport moves bytes: HTTP servers and clients with MessagePack
// bodies, the mesh between controllers, and the socket budget of both.
package transport

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"pinebay/internal/protocol"
)

// Listener keeps at most max connections open at a time, so that the process has
// sockets left for the mesh and its own calls: a process without can reach nobody.
// When a connection comes that is one too many, the one that has been idle for
// longest makes way; if none is idle, the new one is closed, and whoever opened it
// is moved on by the load balancer.
type Listener struct {
	net.Listener
	maxConns int

	mu   sync.Mutex
	open int
	idle *list.List // of *countedConn, the longest idle first
}

// Listen opens addr with room for max connections.
func Listen(network Network, addr string, max int) (*Listener, error) {
	l, err := network.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, maxConns: max, idle: list.New()}, nil
}

// Accept returns the next connection that fits the budget.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &countedConn{Conn: c, listener: l}, nil
		}
		c.Close()
	}
}

// admit counts one more connection, if there is room for it or can be made.
func (l *Listener) admit() bool {
	l.mu.Lock()
	var old *countedConn
	if l.open >= l.maxConns {
		e := l.idle.Front()
		if e == nil {
			l.mu.Unlock()
			return false
		}
		old = e.Value.(*countedConn)
	}
	l.open++
	l.mu.Unlock()
	if old != nil {
		old.Close()
	}
	return true
}

// ConnState is told by the HTTP server which connections are idle.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	cc, ok := c.(*countedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case cc.closed:
	case state == http.StateIdle && cc.idleElement == nil:
		cc.idleElement = l.idle.PushBack(cc)
	case state == http.StateActive:
		cc.removeFromIdle()
	}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	listener    *Listener
	closed      bool
	idleElement *list.Element // among the idle ones
}

// removeFromIdle takes the connection off the list of idle ones.
func (c *countedConn) removeFromIdle() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// Close closes the connection; it is given up once.
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

// ReadBody reads a request's body up to the protocol's limit. What is longer
// is refused without being read whole.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > protocol.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("%w: body of %d bytes", protocol.ErrMalformed, r.ContentLength)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes))
	if err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			w.Header().Set("Connection", "close")
			return nil, fmt.Errorf("%w: body too long", protocol.ErrMalformed)
		}
		return nil, fmt.Errorf("read body: %w", err)
	}
	return raw, nil
}

// WriteResponse writes a response. A body that cannot be encoded becomes a 500.
func WriteResponse(w http.ResponseWriter, status int, body any) {
	raw, err := protocol.Encode(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(status)
	// The client may be gone; nothing is owed to it then.
	_, _ = w.Write(raw)
}

// maxResponseBytes bounds answers from the state service and the cloud in memory.
const maxResponseBytes = 8 << 20

// ErrResponseTooLarge says that a response came and was longer than is taken in.
var ErrResponseTooLarge = fmt.Errorf("%w: answer too long", protocol.ErrMalformed)

// Client calls one service or many workers.
type Client struct {
	http  *http.Client
	slots *semaphore.Weighted
}

// NewClient returns a client that has at most total requests under way at a time,
// and perHost to one host; it keeps as many idle connections, no longer than idle.
func NewClient(network Network, perHost, total int, idle time.Duration) *Client {
	return &Client{slots: semaphore.NewWeighted(int64(total)), http: &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return network.Dial(ctx, addr)
			},
			MaxConnsPerHost:     perHost,
			MaxIdleConnsPerHost: perHost,
			MaxIdleConns:        total,
			IdleConnTimeout:     idle,
			DisableCompression:  true,
			WriteBufferSize:     4 << 10,
			ReadBufferSize:      4 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request and returns the status and body of the response, which must
// come within the given time, once it is the request's turn. An error means that
// no response came, whatever became of the request.
func (c *Client) Do(ctx context.Context, within time.Duration, method, url string, body any) (int, []byte, error) {
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer c.slots.Release(1)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var payload io.Reader
	if body != nil {
		raw, err := protocol.Encode(body)
		if err != nil {
			return 0, nil, err
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", protocol.ContentType)
	}
	// The library must not repeat a request by itself: only the caller knows
	// whether a second execution is harmless.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if len(raw) > maxResponseBytes {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, ErrResponseTooLarge)
	}
	return res.StatusCode, raw, nil
}
