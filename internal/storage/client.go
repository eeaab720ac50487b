// Package storage keeps what must last: a client of the state service with
// rate budgets, and the records that the controllers keep there.
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

// ErrUnavailable says that a request was not executed.
var ErrUnavailable = errors.New("state service unavailable")

// ErrRateLimited says that a request was not executed because a budget is used up;
// it can be tried again in a moment. It is a kind of ErrUnavailable.
var ErrRateLimited = fmt.Errorf("%w: over the rate", ErrUnavailable)

// ErrThrottled says that a request was not even sent, because too many wait for the
// same budget. It is a kind of ErrRateLimited.
var ErrThrottled = fmt.Errorf("%w here", ErrRateLimited)

// ErrOutcomeUnknown says that a request may have been executed, or may yet be.
var ErrOutcomeUnknown = errors.New("no answer from the state service")

// ErrLeaseNotFound says that a lease has ended.
var ErrLeaseNotFound = errors.New("no such lease")

// ErrCompacted says that a watch asked for changes too old to be kept.
var ErrCompacted = errors.New("changes no longer kept")

// Budget says what a request is for, and so which budget pays for it.
type Budget int

// Uses of the state service.
const (
	BudgetUrgent      Budget = iota // leadership: never waits for a budget
	BudgetPlacement                 // the leader's placements
	BudgetAcceptance                // acceptance and cancels
	BudgetPoll                      // users' polls
	BudgetMaintenance               // cleaning
	BudgetCompletion                // what has ended: what is left of Decide's budget
)

// PlacementShare is the part of the writes that the leader may use for its placements, and what is
// left of it for what has ended.
const PlacementShare = 0.6

// stateSocketsDivisor is the part of a process's sockets that calls of the state service
// may take.
const stateSocketsDivisor = 32

// Client speaks to the state service.
type Client struct {
	base          string
	calls         *transport.Client
	urgent        *transport.Client
	watches       *transport.Client
	timeout       time.Duration
	random        *random.Source
	controllers   int
	readLimiters  map[Budget]*rate.Limiter
	writeLimiters map[Budget]*rate.Limiter
	// completionMu has one that has ended look at the budget at a time.
	completionMu  sync.Mutex
	admissionMu   sync.Mutex
	lastAdmission time.Time    // the last turn but for the budgets
	lastAnswer    atomic.Int64 // steady time of the last answer, from start
	start         time.Time
}

// NewClient returns a client. The limits of the service are shared between
// the controllers; within a controller no use can starve one before it.
func NewClient(
	network transport.Network,
	source *random.Source,
	d *config.Deployment,
	addr string,
	timeout time.Duration,
) *Client {
	perHost := max(4, d.Quota.MaxSockets/stateSocketsDivisor)
	c := &Client{
		base:          "http://" + addr,
		calls:         transport.NewClient(network, perHost, perHost, config.Seconds(d.Workers.LeaseSeconds)),
		urgent:        transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseSeconds)),
		watches:       transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseSeconds)),
		timeout:       timeout,
		random:        source,
		controllers:   d.Controllers,
		readLimiters:  map[Budget]*rate.Limiter{},
		writeLimiters: map[Budget]*rate.Limiter{},
		start:         time.Now(),
	}
	for use, limit := range c.readRates(d.Store) {
		c.readLimiters[use] = rate.NewLimiter(rate.Limit(limit), burstFor(limit))
	}
	for use, limit := range c.writeRates(d.Store) {
		c.writeLimiters[use] = rate.NewLimiter(rate.Limit(limit), burstFor(limit))
	}
	return c
}

// SinceLastAnswer returns how long ago the service last gave an answer.
func (c *Client) SinceLastAnswer() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastAnswer.Load())
}

// Answered says whether the service has ever answered this process.
func (c *Client) Answered() bool { return c.lastAnswer.Load() > 0 }

func (c *Client) call(ctx context.Context, use Budget, writes int, method, path string, body any) (int, []byte, error) {
	if err := c.admit(ctx, use, path, writes); err != nil {
		return 0, nil, err
	}
	return c.send(ctx, use, method, path, body)
}

func (c *Client) send(ctx context.Context, use Budget, method, path string, body any) (int, []byte, error) {
	client := c.calls
	if use == BudgetUrgent {
		client = c.urgent // the leadership must not wait behind a crowd
	}
	status, raw, err := client.Do(ctx, c.timeout, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return status, raw, c.checkStatus(status, raw)
}

// checkStatus notes the service's answer and turns refusals into errors.
func (c *Client) checkStatus(status int, raw []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		c.lastAnswer.Store(int64(time.Since(c.start)))
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		c.lastAnswer.Store(int64(time.Since(c.start)))
		return nil
	default:
		return fmt.Errorf("state service: status %d: %.80q", status, raw)
	}
}
