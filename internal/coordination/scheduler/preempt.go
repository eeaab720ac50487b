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
	// cyclesBeforePreemption is the number of cycles in a row in which a job must find no capacity before
	// work is preempted for it.
	cyclesBeforePreemption = 2
	// latencyVictimGap is by how many priorities the work must be lower that is preempted just to start a
	// task sooner, although there is free capacity.
	latencyVictimGap = 2
	// anyFetchTime admits machines however long the image takes to fetch.
	anyFetchTime = time.Duration(math.MaxInt64)
)

// waitForMachineWithImage reports whether a task should wait for capacity on a machine that has its image,
// instead of starting on the candidate, where the fetch would outlast the start latency objective of its
// class. Such capacity is preempted from work of much lower priority.
func (c *Scheduler) waitForMachineWithImage(
	now time.Duration,
	j *jobstate.Job,
	task int,
	x *candidates.Candidate,
	limits *placement.ZoneLimits,
) bool {
	if !c.rules.StartLatency.Has(j.Spec.Class) || c.mayBorrow(j) {
		return false
	}
	objective := config.Seconds(c.rules.StartLatency.Seconds(j.Spec.Class))
	left := objective - (now - j.WaitingSince)
	if left <= 0 && j.HasRun[task] {
		left = objective // a replica that was lost should be back as soon
	}
	if left <= 0 || c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, c.rules.YieldingFetches(j)) <= left {
		return false
	}
	for _, y := range c.rules.Nominated(now, j) {
		// A nominated machine that has the capacity by now was considered, and is not the better one.
		if !y.NominationClaimed && limits.Allows(y.Machine.Zone) && !j.TaskResources.Fits(y.Free) {
			c.candidates.ClaimNomination(y)
			limits.TasksPerZone[y.Machine.Zone]++
			return true
		}
	}
	return c.preemptForTask(now, j, limits, left, j.EffectivePriority+latencyVictimGap)
}

// preempt preempts work of lower priority for up to n tasks of a job that found no capacity, on the machines
// where that costs least. Capacity that the job may borrow during a zone failover comes by way of the
// ledger of loans instead.
func (c *Scheduler) preempt(now time.Duration, j *jobstate.Job, limits *placement.ZoneLimits, n int) {
	if c.mayBorrow(j) && c.borrowCapacity(now, j, limits, n) {
		return
	}
	if j.UnschedulableCycles < cyclesBeforePreemption {
		return
	}
	n -= len(c.rules.Nominated(now, j)) // preempted before, and not yet free
	for n > 0 && c.preemptForTask(now, j, limits, anyFetchTime, j.EffectivePriority+1) {
		n--
	}
}

// preemptForTask preempts work of at least the victim priority for one task, on the machine where that costs
// least among those that can have the image in the given time, and nominates the machine. It reports whether
// it did.
func (c *Scheduler) preemptForTask(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	maxFetchTime time.Duration,
	victimPriority int,
) bool {
	key := placement.SearchKeyOf(j)
	key.VictimPriority = victimPriority
	if !c.preemption.Admit(j, key, c.cycle.count) {
		return false
	}
	best, victims := c.finder.CheapestPreemption(now, j, limits, maxFetchTime, victimPriority)
	if best == nil {
		if maxFetchTime == anyFetchTime && c.searchedAsItsLike(j) {
			c.preemption.NoVictims(key)
		}
		return false
	}
	allowance := c.checkpointAllowance(now, j, c.machines.FetchTime(now, best.Machine, &j.Spec))
	longestGrace := 0.0
	for _, victim := range victims {
		if !victim.Stopping {
			c.preemptPlacement(now, victim, j.Spec.ID, allowance)
		}
		longestGrace = max(longestGrace, victim.GraceSeconds)
	}
	c.candidates.ClaimNomination(best)
	limits.TasksPerZone[best.Machine.Zone]++
	stopped := config.Seconds(longestGrace + 3*c.cfg.Workers.HeartbeatSeconds)
	c.rules.Nominate(best.Machine, j, now+stopped+CycleInterval)
	return true
}

// searchedAsItsLike reports whether a search for a job covers all machines that other jobs with its search
// key could use.
func (c *Scheduler) searchedAsItsLike(j *jobstate.Job) bool {
	return len(j.AvoidedMachines()) == 0 && len(j.NominatedMachines) == 0 && !c.zoneFailover.InFailover()
}

// preemptPlacement stops a placement for a job that can wait for a checkpoint for as long as allowed.
func (c *Scheduler) preemptPlacement(
	now time.Duration,
	victim *machineregistry.Placement,
	preemptor string,
	checkpointAllowance time.Duration,
) {
	c.log.Info(
		"task preempted",
		"task", victim.Task,
		"attempt", victim.Attempt,
		"machine", victim.Machine,
		"preemptor", preemptor,
	)
	if victim.Job != nil && victim.Job.SaveSeconds >= victim.Job.CheckpointIntervalSeconds/2 {
		checkpointAllowance = 0 // a checkpoint takes about as long as the work that is lost without it
	}
	c.evict(now, victim, checkpointAllowance)
}

// checkpointAllowance returns how long a job can wait for victims to save a checkpoint and still start
// within its objective, if its image is there after the fetch time. A job that is late in any case, or has
// no objective, waits for as long as it takes.
func (c *Scheduler) checkpointAllowance(now time.Duration, j *jobstate.Job, fetchTime time.Duration) time.Duration {
	if !c.rules.StartLatency.Has(j.Spec.Class) {
		return math.MaxInt64
	}
	objective := config.Seconds(c.rules.StartLatency.Seconds(j.Spec.Class))
	if left := objective - (now - j.WaitingSince) - fetchTime; left > 0 {
		return left
	}
	return math.MaxInt64
}

// stopCompetingFetches stops the fetches on a candidate that yield to the fetch of a job's task.
func (c *Scheduler) stopCompetingFetches(now time.Duration, j *jobstate.Job, x *candidates.Candidate) {
	yields := c.rules.YieldingFetches(j)
	if yields == nil ||
		c.machines.FetchTime(now, x.Machine, &j.Spec) == c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, yields) {
		return
	}
	for _, pl := range placement.PlacementsOn(x.Machine) {
		if o := c.jobs[pl.Task.JobID]; o != nil && !pl.Stopping && yields(pl) {
			c.log.Info(
				"fetching task preempted",
				"task", pl.Task,
				"attempt", pl.Attempt,
				"machine", pl.Machine,
				"preemptor", j.Spec.ID,
			)
			c.stopPlacement(now, o, pl, 0)
		}
	}
}
