package scheduler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
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
	l *zoneLimits,
) bool {
	within := c.startLatencyObjective(j.Spec.Class)
	if math.IsInf(within, 1) || c.mayBorrow(j) {
		return false
	}
	left := config.Seconds(within) - (now - j.WaitingSince)
	if left <= 0 && j.HasRun[task] {
		left = config.Seconds(within) // a replica that was lost should be back as soon
	}
	if left <= 0 || c.machines.FetchTimeWithout(now, x.Machine, &j.Spec, c.yieldingFetches(j)) <= left {
		return false
	}
	for _, y := range c.nominatedCandidates(now, j) {
		// Room that is free by now is no longer waited for: had it been the
		// better one, the task would have got it.
		if !y.NominationClaimed && l.allows(y.Machine.Zone) && !j.TaskResources.Fits(y.Free) {
			c.candidates.ClaimNomination(y) // being cleared for one task of the job already
			l.tasksPerZone[y.Machine.Zone]++
			return true
		}
	}
	return c.preemptForTask(now, j, l, left, j.EffectivePriority+2)
}

// preempt stops work of lower priority to make room for up to n tasks, on the
// machines where least is lost, and reserves the room.
func (c *Scheduler) preempt(now time.Duration, j *jobstate.Job, l *zoneLimits, n int) {
	if c.mayBorrow(j) && c.borrowCapacity(now, j, l, n) {
		return // its room comes by the ledger, or not at all
	}
	if j.UnschedulableCycles < 2 {
		return
	}
	n -= len(c.nominatedCandidates(now, j)) // cleared already, and not yet free
	for ; n > 0 && c.preemptForTask(now, j, l, math.MaxInt64, j.EffectivePriority+1); n-- {
	}
}

// preemptForTask makes room for one task on the machine where that costs least, among
// those where the task could run within the given time, and reserves it. Only
// work of at least the given level leaves.
func (c *Scheduler) preemptForTask(
	now time.Duration,
	j *jobstate.Job,
	l *zoneLimits,
	within time.Duration,
	level int,
) bool {
	k := searchKeyOf(j)
	k.victimLevel = level
	if !c.preemption.admit(j, k, c.cycleCount) {
		return false
	}
	best, victims := c.finder.cheapestPreemption(now, j, l, within, level)
	if best == nil {
		if within == math.MaxInt64 && len(j.AvoidedMachines()) == 0 && len(j.ReservedMachines) == 0 &&
			!c.inZoneFailover() {
			c.preemption.noVictims(k)
		}
		return false
	}
	wait := 0.0
	patience := c.checkpointAllowance(now, j, c.machines.FetchTime(now, best.Machine, &j.Spec))
	for _, v := range victims {
		if !v.Stopping {
			c.preemptPlacement(now, v, j.Spec.ID, patience)
		}
		wait = max(wait, v.GraceS)
	}
	c.candidates.ClaimNomination(best)
	l.tasksPerZone[best.Machine.Zone]++
	c.nominate(best.Machine, j, now+config.Seconds(wait+3*c.cfg.Workers.HeartbeatSeconds)+CycleInterval)
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
	within := c.startLatencyObjective(j.Spec.Class)
	if left := config.Seconds(within) - (now - j.WaitingSince) - warm; !math.IsInf(within, 1) && left > 0 {
		return left
	}
	return math.MaxInt64
}

// selectVictims chooses the work that would have to leave a machine. Its cost is in
// seconds of work lost or moved.
func (c *Scheduler) selectVictims(
	now time.Duration,
	j *jobstate.Job,
	x *candidates.Candidate,
	level int,
) (out []*machineregistry.Placement, cost float64, ok bool) {
	room := x.Free // less what this cycle has given away already
	var lower []*machineregistry.Placement
	x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
		switch {
		case pl.Stopping:
			room = room.Plus(pl.Resources)
			out = append(out, pl)
		case c.mayPreempt(j, pl, level):
			lower = append(lower, pl)
		}
	})
	sort.Slice(lower, func(a, b int) bool {
		if lower[a].PriorityLevel != lower[b].PriorityLevel {
			return lower[a].PriorityLevel > lower[b].PriorityLevel
		}
		if ja, jb := c.jobAge(now, lower[a]), c.jobAge(now, lower[b]); ja != jb {
			return ja < jb
		}
		if lower[a].StateSince != lower[b].StateSince {
			return lower[a].StateSince > lower[b].StateSince
		}
		return lower[a].Task.String() < lower[b].Task.String()
	})
	for _, pl := range lower {
		if j.TaskResources.Fits(room) {
			break
		}
		room = room.Plus(pl.Resources)
		out = append(out, pl)
		lost := (now - pl.StateSince).Seconds()
		if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
			lost = pl.Job.SaveSeconds
		}
		// An old job has been passed over or stopped before, and is the more
		// likely to be late for it.
		cost += 1 + lost*pl.Resources.DominantShare(
			x.Capacity(),
		) + c.jobAge(now, pl).
			Seconds()/
			10
		if pl.Job != nil && pl.Job.Shape == protocol.Gang {
			// All of it has to find room, and often its image, again.
			cost += float64(pl.Job.TaskCount) * x.Type.BootSeconds
		}
	}
	return out, cost, len(out) > 0 && j.TaskResources.Fits(room)
}

// mayPreempt says whether a placement may be stopped to make room for a job: work of at
// least the given level, and work of any level that another team runs beyond its
// guarantee, for a team within its own. What a team runs within its guarantee need not
// yield to another team. Lower work of other teams had been spared altogether: a guest's
// idle-time batch then kept whole machines while urgent gangs waited for minutes.
func (c *Scheduler) mayPreempt(j *jobstate.Job, pl *machineregistry.Placement, level int) bool {
	if c.recoversBefore(pl, j) {
		return false
	}
	if pl.Team == j.Spec.Team {
		return pl.PriorityLevel >= level
	}
	return c.quotas.ExceedsGuarantee(pl.Team) && (pl.PriorityLevel >= level || c.withinGuaranteedQuota(j))
}

// jobAge is how long the job of a placement has been known.
func (c *Scheduler) jobAge(now time.Duration, pl *machineregistry.Placement) time.Duration {
	if j := c.jobs[pl.Task.JobID]; j != nil {
		return now - j.WaitingSince
	}
	return 0
}
