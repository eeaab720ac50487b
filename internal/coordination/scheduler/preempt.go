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

// waitForMachineWithImage says whether a task should rather wait a moment for room on a
// machine that has its image, because the fetch on the machine at hand would
// last longer than the class's aim on waiting. It clears such room of work
// that is at least two steps lower in priority. Free room is no reason to make
// a critical replica wait for a fetch of most of a minute.
func (c *Scheduler) waitForMachineWithImage(
	now time.Duration,
	j *jobstate.Job,
	task int,
	x *candidates.Candidate,
	l *placement.ZoneLimits,
) bool {
	within := c.rules.StartLatency.Seconds(j.Spec.Class)
	if math.IsInf(within, 1) || c.mayBorrow(j) {
		return false
	}
	left := config.Seconds(within) - (now - j.WaitingSince)
	if left <= 0 && j.HasRun[task] {
		left = config.Seconds(within) // a replica that was lost should be back as soon
	}
	if left <= 0 || c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, c.rules.YieldingFetches(j)) <= left {
		return false
	}
	for _, y := range c.rules.Nominated(now, j) {
		// Room that is free by now is no longer waited for: had it been the
		// better one, the task would have got it.
		if !y.NominationClaimed && l.Allows(y.Machine.Zone) && !j.TaskResources.Fits(y.Free) {
			c.candidates.ClaimNomination(y) // being cleared for one task of the job already
			l.TasksPerZone[y.Machine.Zone]++
			return true
		}
	}
	return c.preemptForTask(now, j, l, left, j.EffectivePriority+2)
}

// preempt stops work of lower priority to make room for up to n tasks, on the
// machines where least is lost, and reserves the room.
func (c *Scheduler) preempt(now time.Duration, j *jobstate.Job, l *placement.ZoneLimits, n int) {
	if c.mayBorrow(j) && c.borrowCapacity(now, j, l, n) {
		return // its room comes by the ledger, or not at all
	}
	if j.UnschedulableCycles < 2 {
		return
	}
	n -= len(c.rules.Nominated(now, j)) // cleared already, and not yet free
	for ; n > 0 && c.preemptForTask(now, j, l, math.MaxInt64, j.EffectivePriority+1); n-- {
	}
}

// preemptForTask makes room for one task on the machine where that costs least, among
// those where the task could run within the given time, and reserves it. Only
// work of at least the given level leaves.
func (c *Scheduler) preemptForTask(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
	within time.Duration,
	level int,
) bool {
	k := placement.SearchKeyOf(j)
	k.VictimPriority = level
	if !c.preemption.Admit(j, k, c.cycleCount) {
		return false
	}
	best, victims := c.finder.CheapestPreemption(now, j, l, within, level)
	if best == nil {
		if within == math.MaxInt64 && len(j.AvoidedMachines()) == 0 && len(j.NominatedMachines) == 0 &&
			!c.inZoneFailover() {
			c.preemption.NoVictims(k)
		}
		return false
	}
	wait := 0.0
	patience := c.checkpointAllowance(now, j, c.machines.FetchTime(now, best.Machine, &j.Spec))
	for _, v := range victims {
		if !v.Stopping {
			c.preemptPlacement(now, v, j.Spec.ID, patience)
		}
		wait = max(wait, v.GraceSeconds)
	}
	c.candidates.ClaimNomination(best)
	l.TasksPerZone[best.Machine.Zone]++
	c.rules.Nominate(best.Machine, j, now+config.Seconds(wait+3*c.cfg.Workers.HeartbeatSeconds)+CycleInterval)
	return true
}

// preemptPlacement stops a placement for another job that wants its room, and can wait for work to be
// saved for as long as the patience.
func (c *Scheduler) preemptPlacement(
	now time.Duration,
	pl *machineregistry.Placement,
	id string,
	patience time.Duration,
) {
	c.log.Info("preempted", "task", pl.Task, "for", id, "machine", pl.Machine)
	if pl.Job != nil && pl.Job.SaveSeconds >= pl.Job.CheckpointIntervalSeconds/2 {
		patience = 0 // to save takes as long as what is lost without, and the room is wanted
	}
	c.evict(now, pl, patience)
}

// checkpointAllowance is how long a job can wait for work to be saved and still start in
// the time that its class's aim asks for. One that will be late anyhow, or has
// no such aim, waits as long as it takes.
func (c *Scheduler) checkpointAllowance(now time.Duration, j *jobstate.Job, warm time.Duration) time.Duration {
	within := c.rules.StartLatency.Seconds(j.Spec.Class)
	if left := config.Seconds(within) - (now - j.WaitingSince) - warm; !math.IsInf(within, 1) && left > 0 {
		return left
	}
	return math.MaxInt64
}

// stopCompetingFetches stops the fetches that yield to a task's.
func (c *Scheduler) stopCompetingFetches(now time.Duration, j *jobstate.Job, x *candidates.Candidate) {
	yields := c.rules.YieldingFetches(j)
	if yields == nil ||
		c.machines.FetchTime(now, x.Machine, &j.Spec) == c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, yields) {
		return
	}
	for _, pl := range c.placementsOn(x.Machine) {
		if o := c.jobs[pl.Task.JobID]; o != nil && !pl.Stopping && yields(pl) {
			c.log.Info("stopped fetching", "task", pl.Task, "for", j.Spec.ID, "machine", pl.Machine)
			c.stopPlacement(now, o, pl, 0)
		}
	}
}
