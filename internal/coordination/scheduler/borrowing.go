package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// disturbanceCost is what it counts for, in seconds of work, that one more job lends room.
func (c *Scheduler) disturbanceCost() float64 { return 3 * c.cfg.Workers.HeartbeatSeconds }

// mayBorrow says whether a job may borrow room: it has lost tasks with a zone that is not
// trusted again yet.
func (c *Scheduler) mayBorrow(j *jobstate.Job) bool {
	if c.zoneFailover == nil || j.DisplacedFromZone == "" {
		return false
	}
	return c.zoneFailover.monitor.State(j.DisplacedFromZone) != zonefailover.Available
}

// awaitsLentCapacity says whether room that a job was lent is about to come free. Backfill would take
// what it has meanwhile, only to be stopped for it at once.
func (c *Scheduler) awaitsLentCapacity(now time.Duration, j *jobstate.Job) bool {
	if !c.mayBorrow(j) {
		return false
	}
	return len(c.rules.Nominated(now, j)) > 0
}

// borrowCapacity finds room for up to n tasks of a job that lost them with a zone. What is to be
// stopped for it is recorded first: should we end in between, the next leader finds who
// was to lend to whom. It says whether that is how the job gets room: not when no further
// loan can be recorded.
func (c *Scheduler) borrowCapacity(now time.Duration, j *jobstate.Job, l *placement.ZoneLimits, n int) bool {
	n -= len(c.rules.Nominated(now, j)) // lent already, and not yet free
	if n <= 0 {
		return true
	}
	request, ok := c.requestInAvailableZones(j, n)
	if !ok || !c.acquireSearch(now, j) {
		return true
	}
	if l.OnlyZone != "" {
		request.MaxPerZone = map[string]int{l.OnlyZone: request.MaxPerZone[l.OnlyZone]}
	}
	cands := c.candidates.All(now)
	k := c.borrowableCapacityOf(now, cands)
	choice := k.choose(j, request, func(x *candidates.Candidate) bool {
		return c.rules.Feasible(now, j, x, l) && !x.Machine.IsNominatedFor(now, j.Spec.ID)
	})
	if len(choice.Picks) == 0 || j.Spec.Shape == protocol.Gang && len(choice.Picks) < n || k.violatesQuota(choice) {
		j.NextLoanSearch = now + searchRetryDelay
		return true
	}
	if err := c.openLoans(now, j, k, choice); err != nil {
		c.log.Info("no loan", "job", j.Spec.ID, "err", err)
		return false
	}
	c.reserveChosenMachines(now, j, cands, l, choice)
	return true
}

// acquireSearch says whether room to borrow may be looked for now, and counts that it is.
func (c *Scheduler) acquireSearch(now time.Duration, j *jobstate.Job) bool {
	z := c.zoneFailover
	if now < j.NextLoanSearch {
		return false
	}
	if now-z.searchCycleStart >= CycleInterval {
		z.searchCycleStart, z.searchesInCycle = now, 0
	}
	z.searchesInCycle++
	return z.searchesInCycle <= c.searchBudget()
}

// reserveChosenMachines keeps the machines of a choice for the job until the lenders have left.
func (c *Scheduler) reserveChosenMachines(
	now time.Duration,
	j *jobstate.Job,
	cands []*candidates.Candidate,
	l *placement.ZoneLimits,
	choice zonefailover.Choice,
) {
	save := 0.0
	for _, task := range choice.Lenders {
		save = max(save, c.jobs[task.Job].Spec.SaveSeconds+c.cfg.Workers.GangPeerSeconds)
	}
	for _, x := range cands {
		if !slices.ContainsFunc(choice.Picks, func(p zonefailover.Pick) bool { return p.Machine == x.Machine.Name }) {
			continue
		}
		c.candidates.ClaimNomination(x)
		l.TasksPerZone[x.Machine.Zone]++
		c.rules.Nominate(x.Machine, j, now+config.Seconds(save+3*c.cfg.Workers.HeartbeatSeconds)+2*CycleInterval)
	}
}
