package storage

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/config"
)

// Budget says what a request is for, and so which share of the store's rate limits it is paid from.
type Budget int

// The budgets of a controller.
const (
	BudgetUrgent      Budget = iota // leadership: never waits
	BudgetPlacement                 // the leader's placements
	BudgetAcceptance                // submissions and cancellations of jobs
	BudgetPoll                      // users' queries
	BudgetMaintenance               // cleaning up, and hints
	BudgetCompletion                // ends of tasks and jobs: what BudgetPlacement leaves of its share
)

// Fractions of the store's rate limits.
const (
	// PlacementShare is the fraction of the writes for the leader's placements, and for completions as far as they
	// leave room.
	PlacementShare = 0.6
	// completionFloor is the fraction of the placements' writes that completions have in any case.
	completionFloor       = 0.25
	maintenanceWriteShare = 0.2
	placementReadShare    = 0.5
	pollReadShare         = 0.6
	maintenanceReadShare  = 0.1
)

// readRates returns the requests per second of each budget. Those of the leader are of the whole store, the others
// of this controller's share.
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
		BudgetCompletion:  limits.WriteRPS * PlacementShare * completionFloor,
	}
}

// burstFor returns how much of a budget may be used at one moment: a second's share. What is beyond that waits; the
// store's own rate limit corrects the controllers where several are busy at once.
func burstFor(limit float64) int { return max(1, int(limit)) }

// SetLimits applies other limits of the store to the budgets.
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

// MaxQueueTime is how long a user's request may wait for its budget: no longer than the pause after which a user who
// was rejected asks again.
const MaxQueueTime = time.Second

// admit waits until the budget allows a request. Users' requests that would wait for too long fail at once, so that
// they are repeated later instead of being held. The request's text tells it from others that wait.
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
	// completionPatience is how long a completion waits for writes that the placements leave. After that it competes
	// with them, while no more than completionBacklog of a second's writes are promised already: a job's end
	// waits for the record of its last tasks, and its user for the job's end.
	completionPatience = time.Second
	completionBacklog  = 0.1
)

// admitCompletion waits until the budget of the placements has something left. It reserves nothing meanwhile, so that
// placements don't queue behind hundreds of completions when many jobs end at once.
func (c *Client) admitCompletion(ctx context.Context, request string, writes int) error {
	limiter := c.writeLimiters[BudgetPlacement]
	needed := min(writes, limiter.Burst())
	began := time.Now()
	for !limiter.AllowN(time.Now(), needed) {
		if time.Since(began) > completionPatience && c.reserveCompletion(needed) {
			break
		}
		c.random.Pause(ctx, request, time.Duration(float64(time.Second)/float64(limiter.Limit())))
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%w: %w", ErrThrottled, err)
		}
	}
	return c.admit(ctx, BudgetPlacement, request, 0)
}

// reserveCompletion takes writes from the placements' budget although they are promised to those, within bounds. It
// reports whether it did.
func (c *Client) reserveCompletion(writes int) bool {
	c.completionMu.Lock()
	defer c.completionMu.Unlock()
	placements, floor := c.writeLimiters[BudgetPlacement], c.writeLimiters[BudgetCompletion]
	now := time.Now()
	backlogged := placements.Tokens() <= -completionBacklog*float64(placements.Limit())
	if backlogged && !floor.AllowN(now, min(writes, floor.Burst())) {
		return false
	}
	placements.ReserveN(now, writes)
	return true
}

// tryAdmit reports whether the budget has room for a request that could be done without, and takes it if so.
func (c *Client) tryAdmit(budget Budget, writes int) bool {
	if limiter := c.readLimiters[budget]; limiter != nil && !limiter.Allow() {
		return false
	}
	limiter := c.writeLimiters[budget]
	return limiter == nil || limiter.AllowN(time.Now(), writes)
}
