package storage

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
)

// readShares divides the service's requests a second between the uses of a controller.
func (c *Client) readShares(limits config.State) map[Use]float64 {
	n := float64(c.nodes)
	return map[Use]float64{Decide: limits.RPS * 0.5, Accept: limits.RPS / n, Consult: limits.RPS * 0.6 / n, Bulk: limits.RPS * 0.1}
}

// writeShares divides the service's writes a second between the uses of a controller.
func (c *Client) writeShares(limits config.State) map[Use]float64 {
	return map[Use]float64{Decide: limits.WriteRPS * DecideShare, Accept: limits.WriteRPS / float64(c.nodes),
		Bulk: limits.WriteRPS * 0.2, Settle: limits.WriteRPS * DecideShare * settleFloor}
}

// burstOf is how much of a budget may be used at a moment: a second's share. What is beyond that waits; the
// service's own 429 corrects where several controllers are busy at once.
func burstOf(limit float64) int { return max(1, int(limit)) }

// SetLimits has the budgets follow other limits of the service from now on.
func (c *Client) SetLimits(limits config.State) {
	set := func(budgets map[Use]*rate.Limiter, shares map[Use]float64) {
		for use, limit := range shares {
			budgets[use].SetLimit(rate.Limit(limit))
			budgets[use].SetBurst(burstOf(limit))
		}
	}
	set(c.reads, c.readShares(limits))
	set(c.writes, c.writeShares(limits))
}

// Queue is how long a user's request may wait for its turn: no longer than the
// pause after which a user who was refused asks again.
const Queue = time.Second

// admit waits until the budgets allow a request, which its text tells from others. Users' requests that would wait
// for too long are refused at once, so that a crowd is told to come back instead
// of being held.
func (c *Client) admit(ctx context.Context, use Use, request string, writes int) error {
	if use == Settle {
		return c.admitLeftover(ctx, request, writes)
	}
	if use == Accept || use == Consult {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, Queue)
		defer cancel()
	}
	if l := c.reads[use]; l != nil {
		if err := l.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	if l := c.writes[use]; l != nil && writes > 0 {
		if err := l.WaitN(ctx, min(writes, l.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	return nil
}

// How what has ended gives way to the placements.
const (
	// settlePatience is how long it waits for writes that they leave. Then it takes its turn
	// beside them, while no more than settleBacklog of a second's writes are promised already: a
	// job's end waits for the record of its last ends, and its user for the job's end.
	settlePatience = time.Second
	settleBacklog  = 0.1
	// settleFloor is the part of the placements' budget that it has whatever they want.
	settleFloor = 0.25
)

// admitLeftover waits until the budget of the placements has something left. It reserves nothing
// meanwhile, so that placements don't wait behind hundreds of these when many jobs end at once.
func (c *Client) admitLeftover(ctx context.Context, request string, writes int) error {
	l := c.writes[Decide]
	n := min(writes, l.Burst())
	began := time.Now()
	for !l.AllowN(time.Now(), n) {
		if time.Since(began) > settlePatience && c.reserveSettle(n) {
			break
		}
		c.random.Pause(ctx, request, time.Duration(float64(time.Second)/float64(l.Limit())))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", ErrCrowded, err)
		}
	}
	return c.admit(ctx, Decide, request, 0)
}

// reserveSettle takes writes out of the placements' budget although they are promised to those,
// within bounds, and says whether it did.
func (c *Client) reserveSettle(n int) bool {
	c.settleMu.Lock()
	defer c.settleMu.Unlock()
	l := c.writes[Decide]
	now := time.Now()
	if l.Tokens() <= -settleBacklog*float64(l.Limit()) && !c.writes[Settle].AllowN(now, min(n, c.writes[Settle].Burst())) {
		return false
	}
	l.ReserveN(now, n)
	return true
}

// spare says whether the budgets allow a request that is not needed, and takes it
// from them.
func (c *Client) spare(use Use, writes int) bool {
	if l := c.reads[use]; l != nil && !l.Allow() {
		return false
	}
	l := c.writes[use]
	return l == nil || l.AllowN(time.Now(), writes)
}
