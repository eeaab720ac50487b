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

// ErrBusy says that a request was not executed because a budget is used up;
// it can be tried again in a moment. It is a kind of ErrUnavailable.
var ErrBusy = fmt.Errorf("%w: over the rate", ErrUnavailable)

// ErrCrowded says that a request was not even sent, because too many wait for the
// same budget. It is a kind of ErrBusy.
var ErrCrowded = fmt.Errorf("%w here", ErrBusy)

// ErrUncertain says that a request may have been executed, or may yet be.
var ErrUncertain = errors.New("no answer from the state service")

// ErrNoLease says that a lease has ended.
var ErrNoLease = errors.New("no such lease")

// ErrCompacted says that a watch asked for changes too old to be kept.
var ErrCompacted = errors.New("changes no longer kept")

// Use says what a request is for, and so which budget pays for it.
type Use int

// Uses of the state service.
const (
	Urgent  Use = iota // leadership: never waits for a budget
	Decide             // the leader's placements
	Accept             // acceptance and cancels
	Consult            // users' polls
	Bulk               // cleaning
	Settle             // what has ended: what is left of Decide's budget
)

// DecideShare is the part of the writes that the leader may use for its placements, and what is
// left of it for what has ended.
const DecideShare = 0.6

// socketsState is the part of a process's sockets that calls of the state service
// may take.
const socketsState = 32

// Client speaks to the state service.
type Client struct {
	base    string
	calls   *transport.Client
	urgent  *transport.Client
	watches *transport.Client
	timeout time.Duration
	random  *random.Source
	nodes   int
	reads   map[Use]*rate.Limiter
	writes  map[Use]*rate.Limiter
	// settleMu has one that has ended look at the budget at a time.
	settleMu sync.Mutex
	admitMu  sync.Mutex
	admitted time.Time    // the last turn but for the budgets
	lastOK   atomic.Int64 // steady time of the last answer, from start
	start    time.Time
}

// NewClient returns a client. The limits of the service are shared between
// the controllers; within a controller no use can starve one before it.
func NewClient(network transport.Network, source *random.Source, d *config.Deployment, addr string, timeout time.Duration) *Client {
	perHost := max(4, d.Quota.MaxSockets/socketsState)
	c := &Client{
		base:    "http://" + addr,
		calls:   transport.NewClient(network, perHost, perHost, config.Seconds(d.Workers.LeaseS)),
		urgent:  transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseS)),
		watches: transport.NewClient(network, 4, 4, config.Seconds(d.Workers.LeaseS)),
		timeout: timeout,
		random:  source,
		nodes:   d.Nodes,
		reads:   map[Use]*rate.Limiter{},
		writes:  map[Use]*rate.Limiter{},
		start:   time.Now(),
	}
	for use, limit := range c.readShares(d.State) {
		c.reads[use] = rate.NewLimiter(rate.Limit(limit), burstOf(limit))
	}
	for use, limit := range c.writeShares(d.State) {
		c.writes[use] = rate.NewLimiter(rate.Limit(limit), burstOf(limit))
	}
	return c
}

// SilentFor returns how long ago the service last gave an answer.
func (c *Client) SilentFor() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastOK.Load())
}

// Answered says whether the service has ever answered this process.
func (c *Client) Answered() bool { return c.lastOK.Load() > 0 }

func (c *Client) call(ctx context.Context, use Use, writes int, method, path string, body any) (int, []byte, error) {
	if err := c.admit(ctx, use, path, writes); err != nil {
		return 0, nil, err
	}
	return c.send(ctx, use, method, path, body)
}

func (c *Client) send(ctx context.Context, use Use, method, path string, body any) (int, []byte, error) {
	client := c.calls
	if use == Urgent {
		client = c.urgent // the leadership must not wait behind a crowd
	}
	status, raw, err := client.Do(ctx, c.timeout, method, c.base+path, body)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return status, raw, c.judge(status, raw)
}

// judge notes the service's answer and turns refusals into errors.
func (c *Client) judge(status int, raw []byte) error {
	switch status {
	case http.StatusTooManyRequests:
		c.lastOK.Store(int64(time.Since(c.start)))
		return ErrBusy
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone:
		c.lastOK.Store(int64(time.Since(c.start)))
		return nil
	default:
		return fmt.Errorf("state service: status %d: %.80q", status, raw)
	}
}
