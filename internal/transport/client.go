package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"pinebay/internal/protocol"
)

// maxResponseBytes limits the size of a response, and so the memory that it takes. The largest responses are those to
// watches of the key-value store.
const maxResponseBytes = 8 << 20

// clientBufferBytes is the size of the read buffer and of the write buffer of each connection.
const clientBufferBytes = 4 << 10

// ErrResponseTooLarge matches the error for a response that was received but exceeds the size limit.
var ErrResponseTooLarge = fmt.Errorf("%w: answer too long", protocol.ErrMalformed)

// Client sends HTTP requests to one service or to many workers. It limits the number of concurrent requests, and so of
// sockets. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// slots limits the concurrent requests, each of which uses one socket.
	slots *semaphore.Weighted
}

// NewClient returns a client that has at most total concurrent requests, and at most perHost connections to each host.
// It closes connections that have been idle for longer than the idle argument, and never follows redirects.
func NewClient(network Network, perHost, total int, idle time.Duration) *Client {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Dial(ctx, addr) }
	return &Client{
		slots: semaphore.NewWeighted(int64(total)),
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				MaxConnsPerHost:     perHost,
				MaxIdleConnsPerHost: perHost,
				MaxIdleConns:        total,
				IdleConnTimeout:     idle,
				DisableCompression:  true,
				WriteBufferSize:     clientBufferBytes,
				ReadBufferSize:      clientBufferBytes,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do sends a request and returns the status and the body of the response. A non-nil body is sent as MessagePack.
//
// Do waits for a free slot until ctx ends; timeout limits only the request itself. Do never sends a request twice. An
// error means that no complete response was received; the server may have executed the request nevertheless.
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, url string, body any) (int, []byte, error) {
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer c.slots.Release(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := readResponse(res)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return res.StatusCode, raw, nil
}

// newRequest returns a request with body encoded as MessagePack, or without a body if it is nil.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var payload io.Reader
	if body != nil {
		raw, err := protocol.Encode(body)
		if err != nil {
			return nil, err
		}
		payload = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", protocol.ContentType)
	}
	// Clearing GetBody keeps net/http from resending the request: only the caller knows whether the request may be
	// executed twice.
	req.GetBody = nil
	return req, nil
}

// readResponse reads the body of a response up to the size limit.
func readResponse(res *http.Response) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxResponseBytes {
		return nil, ErrResponseTooLarge
	}
	return raw, nil
}
