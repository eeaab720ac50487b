package storage

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
)

// Budget is the purpose of a request, which determines its share of the store's rate limits.
type Budget int

// The budgets of a controller.
const (
	BudgetUrgent      Budget = iota // requests of the election, feature levels and readiness, which are not limited
	BudgetPlacement                 // placements by the leader
	BudgetAcceptance                // submissions and cancellations of jobs
	BudgetPoll                      // queries by users
	BudgetMaintenance               // deletions of obsolete records, and image hints
	BudgetCompletion                // ends of tasks and jobs; uses the writes that BudgetPlacement leaves of its share
)

// Fractions of the store's rate limits.
const (
	// PlacementShare is the fraction of the store's writes for placements by the leader. Completions use what
	// placements leave of it.
	PlacementShare = 0.6
	// completionMinShare is the fraction of the placement writes that completions get in any case.
	completionMinShare    = 0.25
	maintenanceWriteShare = 0.2
	placementReadShare    = 0.5
	pollReadShare         = 0.6
	maintenanceReadShare  = 0.1
)

// readRates returns the requests per second of each budget. The budgets of the leader are fractions of the store's
// whole limit, the others of this controller's share of it.
func (c *Client) readRates(limits config.StoreLimits) map[Budget]float64 {
	controllers := float64(c.controllers)
	return map[Budget]float64{
		BudgetPlacement:   limits.RPS * placementReadShare,
		BudgetAcceptance:  limits.RPS / controllers,
		BudgetPoll:        limits.RPS * pollReadShare / controllers,
		BudgetMaintenance: limits.RPS * maintenanceReadShare,
	}
}

// writeRates returns the writes per second of each budget.
func (c *Client) writeRates(limits config.StoreLimits) map[Budget]float64 {
	return map[Budget]float64{
		BudgetPlacement:   limits.WriteRPS * PlacementShare,
		BudgetAcceptance:  limits.WriteRPS / float64(c.controllers),
		BudgetMaintenance: limits.WriteRPS * maintenanceWriteShare,
		BudgetCompletion:  limits.WriteRPS * PlacementShare * completionMinShare,
	}
}

// burstFor returns the burst of a rate limiter: the requests of one second. Requests beyond that wait. If several
// controllers are busy at the same time, the store's own rate limit throttles them.
func burstFor(limit float64) int { return max(1, int(limit)) }

// SetLimits adjusts the budgets to new rate limits of the store.
func (c *Client) SetLimits(limits config.StoreLimits) {
	setRates(c.readLimiters, c.readRates(limits))
	setRates(c.writeLimiters, c.writeRates(limits))
}

func setRates(limiters map[Budget]*rate.Limiter, rates map[Budget]float64) {
	for budget, limit := range rates {
		limiters[budget].SetLimit(rate.Limit(limit))
		limiters[budget].SetBurst(burstFor(limit))
	}
}

// MaxQueueTime limits how long a request on behalf of a user may wait for its budget. It is no longer than the delay
// after which a user whose request was rejected retries.
const MaxQueueTime = time.Second

// admit waits until the budget allows a request. Requests on behalf of users fail immediately if they would wait too
// long, so that the user retries instead of being kept waiting. The parameter request identifies the request among
// others that are waiting, so that their random pauses differ.
func (c *Client) admit(ctx context.Context, budget Budget, request string, writes int) error {
	if budget == BudgetCompletion {
		return c.admitCompletion(ctx, request, writes)
	}
	if budget == BudgetAcceptance || budget == BudgetPoll {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, MaxQueueTime)
		defer cancel()
	}
	if limiter := c.readLimiters[budget]; limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	if limiter := c.writeLimiters[budget]; limiter != nil && writes > 0 {
		if err := limiter.WaitN(ctx, min(writes, limiter.Burst())); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	return nil
}

const (
	// completionMaxWait is how long a completion waits for writes that placements leave unused. After that it competes
	// with placements, because the end of a job waits for the record of its last tasks, and its user waits for the end
	// of the job.
	completionMaxWait = time.Second
	// completionMaxBacklog limits this competition. It is the fraction of one second's placement writes that may be
	// reserved in advance; while as many are reserved, completions get only their minimum share.
	completionMaxBacklog = 0.1
)

// admitCompletion waits until the placement budget has unused writes. It reserves none while it waits, so that
// placements don't queue behind hundreds of completions when many jobs end at once.
func (c *Client) admitCompletion(ctx context.Context, request string, writes int) error {
	limiter := c.writeLimiters[BudgetPlacement]
	needed := min(writes, limiter.Burst())
	start := time.Now()
	for !limiter.AllowN(time.Now(), needed) {
		if time.Since(start) > completionMaxWait && c.reserveCompletion(needed) {
			break
		}
		c.random.Pause(ctx, request, time.Duration(float64(time.Second)/float64(limiter.Limit())))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	return c.admit(ctx, BudgetPlacement, request, 0)
}

// reserveCompletion reserves writes of the placement budget in advance, and reports whether it did. If the writes that
// are already reserved reach the permitted backlog, it reserves no more than the minimum share of completions.
func (c *Client) reserveCompletion(writes int) bool {
	c.completionMu.Lock()
	defer c.completionMu.Unlock()
	placements, guaranteed := c.writeLimiters[BudgetPlacement], c.writeLimiters[BudgetCompletion]
	now := time.Now()
	backlogged := placements.Tokens() <= -completionMaxBacklog*float64(placements.Limit())
	if backlogged && !guaranteed.AllowN(now, min(writes, guaranteed.Burst())) {
		return false
	}
	placements.ReserveN(now, writes)
	return true
}

// tryAdmit admits an optional request if the budget allows it immediately, and reports whether it did.
func (c *Client) tryAdmit(budget Budget, writes int) bool {
	if limiter := c.readLimiters[budget]; limiter != nil && !limiter.Allow() {
		return false
	}
	limiter := c.writeLimiters[budget]
	return limiter == nil || limiter.AllowN(time.Now(), writes)
}
