package storage

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
)

// readRates divides the service's requests a second between the uses of a controller.
func (c *Client) readRates(limits config.StoreLimits) map[Budget]float64 {
	n := float64(c.controllers)
	return map[Budget]float64{
		BudgetPlacement:   limits.RPS * 0.5,
		BudgetAcceptance:  limits.RPS / n,
		BudgetPoll:        limits.RPS * 0.6 / n,
		BudgetMaintenance: limits.RPS * 0.1,
	}
}

// writeRates divides the service's writes a second between the uses of a controller.
func (c *Client) writeRates(limits config.StoreLimits) map[Budget]float64 {
	return map[Budget]float64{
		BudgetPlacement: limits.WriteRPS * PlacementShare, BudgetAcceptance: limits.WriteRPS / float64(c.controllers),
		BudgetMaintenance: limits.WriteRPS * 0.2, BudgetCompletion: limits.WriteRPS * PlacementShare * completionFloor,
	}
}

// burstFor is how much of a budget may be used at a moment: a second's share. What is beyond that waits; the
// service's own 429 corrects where several controllers are busy at once.
func burstFor(limit float64) int { return max(1, int(limit)) }

// SetLimits has the budgets follow other limits of the service from now on.
func (c *Client) SetLimits(limits config.StoreLimits) {
	set := func(budgets map[Budget]*rate.Limiter, shares map[Budget]float64) {
		for use, limit := range shares {
			budgets[use].SetLimit(rate.Limit(limit))
			budgets[use].SetBurst(burstFor(limit))
		}
	}
	set(c.readLimiters, c.readRates(limits))
	set(c.writeLimiters, c.writeRates(limits))
}

// MaxQueueTime is how long a user's request may wait for its turn: no longer than the
// pause after which a user who was refused asks again.
const MaxQueueTime = time.Second

// admit waits until the budgets allow a request, which its text tells from others. Users' requests that would wait
// for too long are refused at once, so that a crowd is told to come back instead
// of being held.
func (c *Client) admit(ctx context.Context, use Budget, request string, writes int) error {
	if use == BudgetCompletion {
		return c.admitCompletion(ctx, request, writes)
	}
	if use == BudgetAcceptance || use == BudgetPoll {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, MaxQueueTime)
		defer cancel()
	}
	if l := c.readLimiters[use]; l != nil {
		if err := l.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	if l := c.writeLimiters[use]; l != nil && writes > 0 {
		if err := l.WaitN(ctx, min(writes, l.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	return nil
}

// How what has ended gives way to the placements.
const (
	// completionPatience is how long it waits for writes that they leave. Then it takes its turn
	// beside them, while no more than completionBacklog of a second's writes are promised already: a
	// job's end waits for the record of its last ends, and its user for the job's end.
	completionPatience = time.Second
	completionBacklog  = 0.1
	// completionFloor is the part of the placements' budget that it has whatever they want.
	completionFloor = 0.25
)

// admitCompletion waits until the budget of the placements has something left. It reserves nothing
// meanwhile, so that placements don't wait behind hundreds of these when many jobs end at once.
func (c *Client) admitCompletion(ctx context.Context, request string, writes int) error {
	l := c.writeLimiters[BudgetPlacement]
	n := min(writes, l.Burst())
	began := time.Now()
	for !l.AllowN(time.Now(), n) {
		if time.Since(began) > completionPatience && c.reserveCompletion(n) {
			break
		}
		c.random.Pause(ctx, request, time.Duration(float64(time.Second)/float64(l.Limit())))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	return c.admit(ctx, BudgetPlacement, request, 0)
}

// reserveCompletion takes writes out of the placements' budget although they are promised to those,
// within bounds, and says whether it did.
func (c *Client) reserveCompletion(n int) bool {
	c.completionMu.Lock()
	defer c.completionMu.Unlock()
	l := c.writeLimiters[BudgetPlacement]
	now := time.Now()
	if l.Tokens() <= -completionBacklog*float64(l.Limit()) &&
		!c.writeLimiters[BudgetCompletion].AllowN(now, min(n, c.writeLimiters[BudgetCompletion].Burst())) {
		return false
	}
	l.ReserveN(now, n)
	return true
}

// tryAdmit says whether the budgets allow a request that is not needed, and takes it
// from them.
func (c *Client) tryAdmit(use Budget, writes int) bool {
	if l := c.readLimiters[use]; l != nil && !l.Allow() {
		return false
	}
	l := c.writeLimiters[use]
	return l == nil || l.AllowN(time.Now(), writes)
}
