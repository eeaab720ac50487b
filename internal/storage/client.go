package storage

import (
	"context"
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
	// storeSocketShare is the fraction, as a divisor, of a process's sockets that requests may take.
	storeSocketShare = 32
	// minSockets is how many sockets requests of each kind may take at least.
	minSockets = 4
	// maxReasonBytes is how much of an answer goes into the text of an error.
	maxReasonBytes = 80
)

// Client is a client of the key-value store. It is safe for concurrent use.
type Client struct {
	base        string
	requests    *transport.Client
	urgent      *transport.Client // apart, so that leadership never waits behind other requests
	watches     *transport.Client
	timeout     time.Duration
	random      *random.Source
	controllers int

	readLimiters  map[Budget]*rate.Limiter
	writeLimiters map[Budget]*rate.Limiter
	// completionMu lets one completion at a time examine the budget of the placements.
	completionMu sync.Mutex

	admissionMu   sync.Mutex
	lastAdmission time.Time // the last turn, before the budgets delay it

	start      time.Time
	lastAnswer atomic.Int64 // time of the last answer, in nanoseconds since start; 0 if there was none
}

// NewClient returns a client of the store at an address. The limits of the store are divided between the controllers;
// within a controller each budget has a share of its own.
func NewClient(
	network transport.Network,
	source *random.Source,
	deployment *config.Deployment,
	addr string,
	timeout time.Duration,
) *Client {
	lease := config.Seconds(deployment.Workers.LeaseSeconds)
	sockets := max(minSockets, deployment.Quota.MaxSockets/storeSocketShare)
	c := &Client{
		base:          "http://" + addr,
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

// SinceLastAnswer returns how long ago the store last answered.
func (c *Client) SinceLastAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// Answered reports whether the store has ever answered this process.
func (c *Client) Answered() bool { return c.lastAnswer.Load() > 0 }

// call sends a request once its budget allows it.
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

// send sends a request now. The key is only for the error of one that is rejected.
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
	status, raw, err = client.Do(ctx, c.timeout, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return status, raw, c.checkStatus(method, path, key, status, raw)
}

// checkStatus notes that the store has answered, and returns an error for a request that was not executed.
func (c *Client) checkStatus(method, path, key string, status int, raw []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		c.noteAnswer()
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		c.noteAnswer()
		return nil
	default:
		reason := string(raw[:min(len(raw), maxReasonBytes)])
		return &RejectedError{Method: method, Path: path, Key: key, Status: status, Reason: reason}
	}
}

func (c *Client) noteAnswer() { c.lastAnswer.Store(int64(time.Since(c.start))) }
