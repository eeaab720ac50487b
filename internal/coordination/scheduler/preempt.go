package scheduler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
)

const (
	// cyclesBeforePreemption is the number of consecutive cycles in which a job must find no capacity before tasks are
	// preempted for it.
	cyclesBeforePreemption = 2
	// latencyVictimGap is the number of priority levels by which a victim must be lower if it is preempted only to
	// start a task sooner, that is, although there is free capacity.
	latencyVictimGap = 2
	// anyFetchTime admits machines regardless of how long they take to fetch the image.
	anyFetchTime = time.Duration(math.MaxInt64)
)

// waitForMachineWithImage reports whether a task should wait for capacity on a machine that has its image, because on
// the candidate the fetch would take longer than the start latency objective of its class allows. Such capacity is
// obtained by preempting tasks of much lower priority.
func (s *Scheduler) waitForMachineWithImage(
	now time.Duration,
	j *jobstate.Job,
	task int,
	candidate *candidates.Candidate,
	limits *placement.ZoneLimits,
) bool {
	if !s.rules.StartLatency.Has(j.Spec.Class) || s.mayBorrow(j) {
		return false
	}
	objective := config.Seconds(s.rules.StartLatency.Seconds(j.Spec.Class))
	left := objective - (now - j.WaitingSince)
	if left <= 0 && j.HasRun[task] {
		left = objective // a lost replica should be replaced within the same time
	}
	if left <= 0 ||
		s.machines.FetchTimeIfEvicted(now, candidate.Machine, &j.Spec, s.rules.PreemptibleFetches(j)) <= left {
		return false
	}
	for _, nominated := range s.rules.Nominated(now, j) {
		// A nominated machine that already has the capacity was considered and is no better than the candidate.
		if !nominated.NominationClaimed && limits.Allows(nominated.Machine.Zone) &&
			!j.TaskResources.Fits(nominated.Free) {
			s.candidates.ClaimNomination(nominated)
			limits.TasksPerZone[nominated.Machine.Zone]++
			return true
		}
	}
	return s.preemptForTask(now, j, limits, left, j.EffectivePriority+latencyVictimGap)
}

// preempt preempts tasks of lower priority for up to n tasks of a job that found no capacity, on the machines where
// that costs least. Capacity that the job may borrow during a zone failover is obtained through loans instead.
func (s *Scheduler) preempt(now time.Duration, j *jobstate.Job, limits *placement.ZoneLimits, n int) {
	if s.mayBorrow(j) && s.borrowCapacity(now, j, limits, n) {
		return
	}
	if j.UnschedulableCycles < cyclesBeforePreemption {
		return
	}
	n -= len(s.rules.Nominated(now, j)) // already preempted but not free yet
	for n > 0 && s.preemptForTask(now, j, limits, anyFetchTime, j.EffectivePriority+1) {
		n--
	}
}

// preemptForTask preempts tasks with a priority of victimPriority or lower for one task of a job, and nominates the
// machine for the job. Among the machines that can have the image within maxFetchTime, it chooses the one on which
// preemption costs least. It reports whether it found one.
func (s *Scheduler) preemptForTask(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	maxFetchTime time.Duration,
	victimPriority int,
) bool {
	key := placement.SearchKeyOf(j)
	key.VictimPriority = victimPriority
	if !s.preemption.Admit(j, key, s.cycle.count) {
		return false
	}
	best, victims := s.finder.CheapestPreemption(now, j, limits, maxFetchTime, victimPriority)
	if best == nil {
		if maxFetchTime == anyFetchTime && s.searchIsRepresentative(j) {
			s.preemption.RecordFailedSearch(key)
		}
		return false
	}
	allowance := s.checkpointAllowance(now, j, s.machines.FetchTime(now, best.Machine, &j.Spec))
	longestGrace := 0.0
	for _, victim := range victims {
		if !victim.Stopping {
			s.preemptPlacement(now, victim, j.Spec.ID, allowance)
		}
		longestGrace = max(longestGrace, victim.GraceSeconds)
	}
	s.candidates.ClaimNomination(best)
	limits.TasksPerZone[best.Machine.Zone]++
	timeToStop := config.Seconds(longestGrace + 3*s.cfg.Workers.HeartbeatSeconds)
	s.rules.Nominate(best.Machine, j, now+timeToStop+CycleInterval)
	return true
}

// searchIsRepresentative reports whether a search for this job covers all machines that other jobs with the same search
// key could use.
func (s *Scheduler) searchIsRepresentative(j *jobstate.Job) bool {
	return len(j.AvoidedMachines()) == 0 && len(j.NominatedMachines) == 0 && !s.zoneFailover.InFailover()
}

// preemptPlacement stops a placement on behalf of a job that can wait for a checkpoint for as long as
// checkpointAllowance.
func (s *Scheduler) preemptPlacement(
	now time.Duration,
	victim *machineregistry.Placement,
	preemptor string,
	checkpointAllowance time.Duration,
) {
	s.log.Info(
		"task preempted",
		"task", victim.Task,
		"attempt", victim.Attempt,
		"machine", victim.Machine,
		"preemptor", preemptor,
	)
	if victim.Job != nil && victim.Job.CheckpointSaveSeconds >= victim.Job.CheckpointIntervalSeconds/2 {
		checkpointAllowance = 0 // saving would take about as long as redoing the work that is lost without it
	}
	s.evict(now, victim, checkpointAllowance)
}

// checkpointAllowance returns how long a job can wait for victims to save a checkpoint and still start within its
// objective, given the fetch time of its image. The wait is unlimited for a job that has no objective or misses it
// anyway.
func (s *Scheduler) checkpointAllowance(now time.Duration, j *jobstate.Job, fetchTime time.Duration) time.Duration {
	if !s.rules.StartLatency.Has(j.Spec.Class) {
		return math.MaxInt64
	}
	objective := config.Seconds(s.rules.StartLatency.Seconds(j.Spec.Class))
	if left := objective - (now - j.WaitingSince) - fetchTime; left > 0 {
		return left
	}
	return math.MaxInt64
}

// stopCompetingFetches stops the fetches on a candidate that may be preempted for the fetch of a task of the job.
func (s *Scheduler) stopCompetingFetches(now time.Duration, j *jobstate.Job, candidate *candidates.Candidate) {
	preemptible := s.rules.PreemptibleFetches(j)
	if preemptible == nil ||
		s.machines.FetchTime(
			now,
			candidate.Machine,
			&j.Spec,
		) == s.machines.FetchTimeIfEvicted(
			now,
			candidate.Machine,
			&j.Spec,
			preemptible,
		) {
		return
	}
	for _, pl := range placement.PlacementsOn(candidate.Machine) {
		if other := s.jobs[pl.Task.JobID]; other != nil && !pl.Stopping && preemptible(pl) {
			s.log.Info(
				"fetching task preempted",
				"task", pl.Task,
				"attempt", pl.Attempt,
				"machine", pl.Machine,
				"preemptor", j.Spec.ID,
			)
			s.stopPlacement(now, other, pl, 0)
		}
	}
}
