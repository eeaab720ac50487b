// Package transport moves bytes: HTTP servers and clients with MessagePack
// bodies, the mesh between controllers, and the socket budget of both.
package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pinebay/internal/protocol"
)

// Listener accepts at most max connections at a time and closes those beyond,
// so that the process keeps sockets for the mesh and its own calls: a refused
// user is moved on by the load balancer, while a process without sockets can
// reach nobody.
type Listener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Listen opens addr with room for max connections.
func Listen(addr string, max int) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &Listener{Listener: l, max: int64(max)}, nil
}

// Accept returns the next connection that fits the budget.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	done atomic.Bool
}

func (c *countedConn) Close() error {
	if c.done.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// ReadBody reads a request's body up to the protocol's limit. What is longer
// is refused without being read whole.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > protocol.MaxBody {
		w.Header().Set("Connection", "close")
		return nil, fmt.Errorf("%w: body of %d bytes", protocol.ErrMalformed, r.ContentLength)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
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

// Answer writes a response. A body that cannot be encoded becomes a 500.
func Answer(w http.ResponseWriter, status int, body any) {
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

// maxReply bounds answers from the state service and the cloud in memory.
const maxReply = 8 << 20

// Client calls one service or many workers.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps at most perHost connections to a host
// and idle ones no longer than idle.
func NewClient(perHost, total int, idle time.Duration) *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{KeepAlive: -1}).DialContext,
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

// Do sends a request and returns the status and body of the response. An
// error means that no response came, whatever became of the request.
func (c *Client) Do(ctx context.Context, method, url string, body any) (int, []byte, error) {
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
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if len(raw) > maxReply {
		return 0, nil, fmt.Errorf("%s %s: %w: answer too long", method, url, protocol.ErrMalformed)
	}
	return res.StatusCode, raw, nil
}
