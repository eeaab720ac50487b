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

// borrowerOf describes a job to zone failover, which searches for capacity that the job can borrow.
func (s *Scheduler) borrowerOf(j *jobstate.Job) zonefailover.Borrower {
	limits := placement.ZoneLimitsOf(j)
	return zonefailover.Borrower{
		Job:       &j.Spec,
		Need:      j.TaskResources,
		Priority:  j.EffectivePriority,
		MaxInZone: limits.MaxTasksPerZone,
		InZone:    limits.TasksPerZone,
	}
}

// mayBorrow reports whether a job may borrow capacity because it has lost tasks with a zone that is not available yet.
func (s *Scheduler) mayBorrow(j *jobstate.Job) bool {
	return s.zoneFailover != nil && s.zoneFailover.MayBorrow(j.Spec.ID)
}

// awaitsLentCapacity reports whether capacity that was lent to a job is about to become free. Meanwhile, backfilling
// the capacity that the job already holds would only lead to an immediate preemption.
func (s *Scheduler) awaitsLentCapacity(now time.Duration, j *jobstate.Job) bool {
	return s.mayBorrow(j) && len(s.rules.Nominated(now, j)) > 0
}

// borrowCapacity searches for capacity that a job can borrow for up to n of the tasks that it has lost with a zone. It
// returns false only if the loans cannot be recorded, in which case the job has to get its capacity by ordinary
// preemption.
func (s *Scheduler) borrowCapacity(now time.Duration, j *jobstate.Job, limits *placement.ZoneLimits, n int) bool {
	n -= len(s.rules.Nominated(now, j)) // already lent but not free yet
	if n <= 0 {
		return true
	}
	failover := s.zoneFailover
	borrower := s.borrowerOf(j)
	request, ok := failover.Request(&borrower, n)
	if !ok || !failover.AcquireSearch(now, j.Spec.ID) {
		return true
	}
	if limits.OnlyZone != "" {
		request = request.InZone(limits.OnlyZone)
	}
	all := s.candidates.All(now)
	capacity := failover.BorrowableCapacity(now, all)
	choice := capacity.Choose(&borrower, request, func(candidate *candidates.Candidate) bool {
		return s.rules.Feasible(now, j, candidate, limits) && !candidate.Machine.IsNominatedFor(now, j.Spec.ID)
	})
	incomplete := j.Spec.Shape == protocol.Gang && len(choice.Picks) < n
	if len(choice.Picks) == 0 || incomplete || capacity.ViolatesQuota(choice) {
		failover.DelaySearch(now, j.Spec.ID)
		return true
	}
	if err := failover.Lend(now, j.Spec.ID, choice.Lenders, s.failoverRecordLimits()); err != nil {
		s.log.Info("failed to open loans", "job", j.Spec.ID, "error", err)
		return false
	}
	s.nominatePicks(now, j, all, limits, choice)
	return true
}

// nominatePicks nominates the chosen machines for the borrower until the lenders have stopped.
func (s *Scheduler) nominatePicks(
	now time.Duration,
	j *jobstate.Job,
	all []*candidates.Candidate,
	limits *placement.ZoneLimits,
	choice zonefailover.Choice,
) {
	saveSeconds := 0.0
	for _, lender := range choice.Lenders {
		saveSeconds = max(saveSeconds, s.jobs[lender.Job].Spec.CheckpointSaveSeconds+s.cfg.Workers.GangPeerSeconds)
	}
	until := now + config.Seconds(saveSeconds+3*s.cfg.Workers.HeartbeatSeconds) + 2*CycleInterval
	for _, candidate := range all {
		if !slices.ContainsFunc(
			choice.Picks,
			func(p zonefailover.Pick) bool { return p.Machine == candidate.Machine.Name },
		) {
			continue
		}
		s.candidates.ClaimNomination(candidate)
		limits.TasksPerZone[candidate.Machine.Zone]++
		s.rules.Nominate(candidate.Machine, j, until)
	}
}
