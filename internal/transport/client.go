package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"golang.org/x/sync/semaphore"

	"pinebay/internal/protocol"
)

// maxResponseBytes limits the size of a response, and so the memory that it takes. The largest responses are those to
// watches of the key-value store.
const maxResponseBytes = 8 << 20

// clientBufferBytes is the size of the read buffer and of the write buffer of each connection.
const clientBufferBytes = 4 << 10

// ErrNotSent matches the errors of requests of which nothing was sent.
var ErrNotSent = errors.New("not sent")

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

// Request describes a request of a Client.
type Request struct {
	Method string
	URL    string
	// Timeout limits the wait for a slot, and again the request itself from the moment at which it has one.
	Timeout time.Duration
	// Body is sent as MessagePack; nil means none.
	Body any
	// Precondition, if set, is called when the request has a connection, immediately before the request is written. If
	// it returns an error, the request is not sent.
	Precondition func() error
}

// Response is the response to a Request, and what the request has waited for.
type Response struct {
	Status int // 0 if no complete response was received
	Body   []byte
	// SlotWait is the time that the request waited for a slot of the client.
	SlotWait time.Duration
	// ConnectionWait is the time that it then waited for a connection. It is 0 if it got none, and measured only for
	// requests with a precondition.
	ConnectionWait time.Duration
}

// Do sends a request and returns the status and the body of the response. See [Client.Send].
func (c *Client) Do(ctx context.Context, timeout time.Duration, method, url string, body any) (int, []byte, error) {
	response, err := c.Send(ctx, Request{Method: method, URL: url, Timeout: timeout, Body: body})
	return response.Status, response.Body, err
}

// Send sends a request and returns the response. If it returns an error, the response contains only the waiting times.
//
// Send never sends a request twice. An error means that no complete response was received; the server may have executed
// the request nevertheless, unless the error matches [ErrNotSent].
func (c *Client) Send(ctx context.Context, r Request) (Response, error) {
	var response Response
	start := time.Now()
	err := c.acquireSlot(ctx, r.Timeout)
	response.SlotWait = time.Since(start)
	if err != nil {
		return response, r.wrapError(err)
	}
	defer c.slots.Release(1)
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	gotSlot := time.Now()
	var refusal error
	if r.Precondition != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(conn httptrace.GotConnInfo) {
				response.ConnectionWait = time.Since(gotSlot)
				if refusal = r.Precondition(); refusal != nil {
					_ = conn.Conn.Close() // so that net/http cannot write the request to it
				}
			},
		})
	}
	req, err := newRequest(ctx, r.Method, r.URL, r.Body)
	if err != nil {
		return response, err
	}
	res, err := c.http.Do(req)
	if refusal != nil {
		return response, r.wrapError(fmt.Errorf("%w: %w", ErrNotSent, refusal))
	}
	if err != nil {
		return response, r.wrapError(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := readResponse(res)
	if err != nil {
		return response, r.wrapError(err)
	}
	response.Status, response.Body = res.StatusCode, raw
	return response, nil
}

// acquireSlot waits for a free slot, but no longer than the timeout. A request that would be sent much later than it
// was decided on may be outdated by then.
func (c *Client) acquireSlot(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("%w: wait for a slot: %w", ErrNotSent, err)
	}
	return nil
}

func (r *Request) wrapError(err error) error { return fmt.Errorf("%s %s: %w", r.Method, r.URL, err) }

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
