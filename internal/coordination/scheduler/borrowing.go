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

// borrowerOf describes a job for which zone failover searches for capacity.
func (c *Scheduler) borrowerOf(j *jobstate.Job) zonefailover.Borrower {
	limits := placement.ZoneLimitsOf(j)
	return zonefailover.Borrower{
		Job:       &j.Spec,
		Need:      j.TaskResources,
		Priority:  j.EffectivePriority,
		MaxInZone: limits.MaxTasksPerZone,
		InZone:    limits.TasksPerZone,
	}
}

// mayBorrow reports whether a job may borrow capacity, since it has lost tasks with a zone that is not available
// again.
func (c *Scheduler) mayBorrow(j *jobstate.Job) bool {
	return c.zoneFailover != nil && c.zoneFailover.MayBorrow(j.Spec.ID)
}

// awaitsLentCapacity reports whether capacity that a job was lent is about to come free. Backfill would take what the
// job has meanwhile, only to be preempted for it at once.
func (c *Scheduler) awaitsLentCapacity(now time.Duration, j *jobstate.Job) bool {
	return c.mayBorrow(j) && len(c.rules.Nominated(now, j)) > 0
}

// borrowCapacity finds capacity for up to n tasks of a job that lost them with a zone. It reports whether that is how
// the job gets its capacity, which it is unless no further loan can be recorded.
func (c *Scheduler) borrowCapacity(now time.Duration, j *jobstate.Job, l *placement.ZoneLimits, n int) bool {
	n -= len(c.rules.Nominated(now, j)) // lent already, and not free yet
	if n <= 0 {
		return true
	}
	m := c.zoneFailover
	borrower := c.borrowerOf(j)
	request, ok := m.Request(&borrower, n)
	if !ok || !m.AcquireSearch(now, j.Spec.ID) {
		return true
	}
	if l.OnlyZone != "" {
		request = request.InZone(l.OnlyZone)
	}
	all := c.candidates.All(now)
	capacity := m.BorrowableCapacity(now, all)
	choice := capacity.Choose(&borrower, request, func(x *candidates.Candidate) bool {
		return c.rules.Feasible(now, j, x, l) && !x.Machine.IsNominatedFor(now, j.Spec.ID)
	})
	incomplete := j.Spec.Shape == protocol.Gang && len(choice.Picks) < n
	if len(choice.Picks) == 0 || incomplete || capacity.ViolatesQuota(choice) {
		m.DelaySearch(now, j.Spec.ID)
		return true
	}
	if err := m.Lend(now, j.Spec.ID, choice.Lenders, c.failoverRecordLimits()); err != nil {
		c.log.Info("failed to open loans", "job", j.Spec.ID, "error", err)
		return false
	}
	c.nominateChosen(now, j, all, l, choice)
	return true
}

// nominateChosen keeps the machines of a choice for the job until the lenders have left.
func (c *Scheduler) nominateChosen(
	now time.Duration,
	j *jobstate.Job,
	all []*candidates.Candidate,
	l *placement.ZoneLimits,
	choice zonefailover.Choice,
) {
	save := 0.0
	for _, lender := range choice.Lenders {
		save = max(save, c.jobs[lender.Job].Spec.SaveSeconds+c.cfg.Workers.GangPeerSeconds)
	}
	until := now + config.Seconds(save+3*c.cfg.Workers.HeartbeatSeconds) + 2*CycleInterval
	for _, x := range all {
		if !slices.ContainsFunc(choice.Picks, func(p zonefailover.Pick) bool { return p.Machine == x.Machine.Name }) {
			continue
		}
		c.candidates.ClaimNomination(x)
		l.TasksPerZone[x.Machine.Zone]++
		c.rules.Nominate(x.Machine, j, until)
	}
}
