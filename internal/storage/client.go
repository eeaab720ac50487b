package storage

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
	"pinebay/internal/random"
	"pinebay/internal/transport"
)

const (
	// storeSocketDivisor limits the sockets of ordinary requests: the process's sockets divided by it may be used.
	storeSocketDivisor = 32
	// minSockets is the minimum number of sockets for each kind of request.
	minSockets = 4
	// maxReasonBytes limits how much of a response is included in the text of an error.
	maxReasonBytes = 80
)

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL     string
	requests    *transport.Client
	urgent      *transport.Client // separate, so that urgent requests never wait behind others
	watches     *transport.Client
	timeout     time.Duration
	random      *random.Source
	controllers int

	readLimiters  map[Budget]*rate.Limiter
	writeLimiters map[Budget]*rate.Limiter
	// completionMu serializes the completions that examine the placement budget.
	completionMu sync.Mutex

	admissionMu   sync.Mutex
	lastAdmission time.Time // time of the last admission, without the delay by its budget

	start        time.Time
	lastResponse atomic.Int64 // time of the last response, in nanoseconds since start; 0 if there was none
}

// NewClient returns a client of the store at an address. The rate limits of the store are divided among the
// controllers; within a controller each budget has its own share.
func NewClient(
	network transport.Network,
	source *random.Source,
	deployment *config.Deployment,
	addr string,
	timeout time.Duration,
) *Client {
	lease := config.Seconds(deployment.Workers.LeaseSeconds)
	sockets := max(minSockets, deployment.Quota.MaxSockets/storeSocketDivisor)
	c := &Client{
		baseURL:       "http://" + addr,
		requests:      transport.NewClient(network, sockets, sockets, lease),
		urgent:        transport.NewClient(network, minSockets, minSockets, lease),
		watches:       transport.NewClient(network, minSockets, minSockets, lease),
		timeout:       timeout,
		random:        source,
		controllers:   deployment.Controllers,
		readLimiters:  map[Budget]*rate.Limiter{},
		writeLimiters: map[Budget]*rate.Limiter{},
		start:         time.Now(),
	}
	for budget, limit := range c.readRates(deployment.Store) {
		c.readLimiters[budget] = rate.NewLimiter(rate.Limit(limit), burstFor(limit))
	}
	for budget, limit := range c.writeRates(deployment.Store) {
		c.writeLimiters[budget] = rate.NewLimiter(rate.Limit(limit), burstFor(limit))
	}
	return c
}

// SinceLastResponse returns the time since the last response of the store.
func (c *Client) SinceLastResponse() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastResponse.Load())
}

// HasResponded reports whether the store has ever responded to this process.
func (c *Client) HasResponded() bool { return c.lastResponse.Load() > 0 }

// call sends a request as soon as its budget allows.
func (c *Client) call(
	ctx context.Context,
	budget Budget,
	method, path string,
	body any,
) (status int, raw []byte, err error) {
	if err := c.admit(ctx, budget, path, 0); err != nil {
		return 0, nil, err
	}
	return c.send(ctx, budget, method, path, "", body)
}

// send sends a request immediately. The key is included in the error if the request is rejected.
func (c *Client) send(
	ctx context.Context,
	budget Budget,
	method, path, key string,
	body any,
) (status int, raw []byte, err error) {
	client := c.requests
	if budget == BudgetUrgent {
		client = c.urgent
	}
	status, raw, err = client.Do(ctx, c.timeout, method, c.baseURL+path, body)
	if errors.Is(err, transport.ErrNotSent) {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return status, raw, c.checkStatus(method, path, key, status, raw)
}

// checkStatus returns an error if a request was not executed. It records that the store has responded, unless the store
// is unavailable or has rejected the request as invalid.
func (c *Client) checkStatus(method, path, key string, status int, raw []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		c.recordResponse()
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		c.recordResponse()
		return nil
	default:
		reason := string(raw[:min(len(raw), maxReasonBytes)])
		return &RejectedError{Method: method, Path: path, Key: key, Status: status, Reason: reason}
	}
}

func (c *Client) recordResponse() { c.lastResponse.Store(int64(time.Since(c.start))) }
