package scheduler

import (
	"math"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

func (c *Scheduler) acceptJob(now, since time.Duration, rec storage.LiveJobRecord, stamp uint64) {
	id := rec.Job.ID
	if j := c.jobs[id]; j != nil {
		if !j.Ended {
			j.LiveRevision = stamp
		}
		return
	}
	j := jobstate.New(rec.Job, stamp, rec.AcceptedAtMS, since, c.newJobLayout())
	c.jobs[id] = j
	c.addDependencies(now, j)
	c.queues.Add(j)
	if j.Blocked {
		return // it arrives when it is freed
	}
	c.forecast.Arrived(&j.Spec, since)
	c.cycle.due = true
}

// applyObservations takes in what became of placements.
func (c *Scheduler) applyObservations(now time.Duration, facts []machineregistry.Observation) {
	for _, f := range facts {
		pl := f.Placement
		j := c.jobs[pl.Task.JobID]
		if j == nil || j.Placements[pl.Task.Index] != pl {
			continue
		}
		if !pl.Terminated {
			if pl.State == protocol.TaskRunning && pl.StateSince == now {
				j.LastTaskStart = now
				if j.Spec.Shape == protocol.Service {
					j.HasRun[pl.Task.Index] = true
				}
				j.Failures = max(0, j.Failures-1)
				c.log.Debug(
					"running",
					"task",
					pl.Task,
					"class",
					j.Spec.Class,
					"attempt",
					pl.Attempt,
					"machine",
					pl.Machine,
					"waited",
					now-j.WaitingSince,
					"placed",
					now-pl.ReservedAt,
					"image",
					j.Spec.Image,
				)
			}
			continue
		}
		c.placementGone(now, j, pl, f.Lost)
	}
}

// placementGone takes in that a placement is proven gone.
func (c *Scheduler) placementGone(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, lost bool) {
	c.cycle.due = true
	task := pl.Task.Index
	delete(j.Placements, task)
	page := j.Pages.PageOf(task)
	page.UnrecordedExits = append(page.UnrecordedExits, pl)
	if lost {
		c.markDisplaced(j, pl)
		c.log.Info("task lost with its machine", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine)
	}
	switch {
	case j.Ended:
		j.SetTask(task, jobstate.TaskDone)
		c.cleanUpEndedJob(now, j)
		return
	case j.TaskState(task) == jobstate.TaskDone:
		return
	case !lost && pl.Cause == protocol.CauseDone:
		j.SetTask(task, jobstate.TaskDone)
		j.MarkDirty(task, now)
		if j.Spec.Shape == protocol.Gang {
			// A gang completes together.
			for t := range j.TaskCount() {
				if j.TaskState(t) != jobstate.TaskDone {
					j.SetTask(t, jobstate.TaskDone)
					j.MarkDirty(t, now)
				}
			}
		}
		if j.AllTasksDone() {
			c.completeJob(now, j)
		}
		return
	}
	j.StartCounted = j.StartCounted || j.LastTaskStart > 0 && now-j.LastTaskStart >= placement.StartCountsAfter
	j.LastTaskStart = 0
	j.SetTask(task, jobstate.TaskPending)
	j.MarkDirty(task, now) // or its exited entry could never be forgotten
	if !lost {
		c.taskFailed(now, j, pl)
	}
	if j.Spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		if len(j.Placements) == 0 {
			j.GangStopping = false
		}
	}
}

// taskFailed draws the conclusions from an exit that was not asked for.
func (c *Scheduler) taskFailed(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	switch pl.Cause {
	case protocol.CauseStopped, protocol.CausePeerLost, protocol.CauseDone:
		return
	}
	c.log.Info("task failed", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine, "cause", pl.Cause)
	m := c.machines.Machine(pl.Machine)
	switch pl.Cause {
	case protocol.CauseError:
		j.Failures++
		j.FailedOn[pl.Machine] = true
		if j.LikelyFaulty() {
			// It fails everywhere: the job is at fault, not the machines. Back
			// off, so that it spoils neither machines nor our verdict on them.
			j.BackoffUntil = now + min(CycleInterval<<min(j.Failures, 6), config.Seconds(2*c.cfg.Workers.CancelSeconds))
			for name := range j.FailedOn {
				if o := c.machines.Machine(name); o != nil {
					delete(o.FailedJobs, j.Spec.ID)
				}
			}
		}
	case protocol.CauseNoCapacity, protocol.CauseOtherAttempt:
		// The machine holds something that we don't know of.
		if m != nil {
			m.MarkUnresponsive(max(m.UnresponsiveUntil, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds)))
		}
		j.BackoffUntil = now + CycleInterval/4
	case protocol.CauseUnknownTask:
		j.Failures++
		j.BackoffUntil = now + CycleInterval<<min(j.Failures, 5)
	default:
		j.BackoffUntil = now + CycleInterval/4
	}
}

// stopGang stops all of a gang that has lost a task: below minAvailable it is
// requeued as a whole, from its checkpoint.
func (c *Scheduler) stopGang(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		if !pl.Stopping || pl.GraceSeconds > 0 {
			c.stopPlacement(now, j, pl, 0)
		}
	}
	j.GangStopping = len(j.Placements) > 0
}

// stopPlacement asks a placement to end, and takes in when that needs no proof.
func (c *Scheduler) stopPlacement(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, graceS float64) {
	c.preemption.CapacityMayBeFree()
	if c.machines.Stop(now, pl, graceS) && !pl.StartAllowed && j.WriteInFlight {
		// Its record may be written at this moment; it names a placement that
		// was never started, which a later write replaces.
		c.log.Debug("placement withdrawn before its record", "task", pl.Task)
	}
	if pl.Terminated && j.Placements[pl.Task.Index] == pl {
		c.placementGone(now, j, pl, true)
	}
}

// stopJobTasks stops everything of a job that is over.
func (c *Scheduler) stopJobTasks(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		c.stopPlacement(now, j, pl, 0)
	}
	c.cleanUpEndedJob(now, j)
}

// endJob takes in that a job is over.
func (c *Scheduler) endJob(now time.Duration, j *jobstate.Job) {
	j.MarkEnded()
	c.liveRecordDeleted(now, j.Spec.ID)
	c.cycle.due = true
	if !j.AllTasksDone() {
		c.setFencingDeadline(j, c.fencingDeadline(now))
	}
	c.stopJobTasks(now, j)
}

// evictOnTerminationNotice takes work off machines that the cloud is about to take away: saved
// if that can be done in time.
func (c *Scheduler) evictOnTerminationNotice(now time.Duration) {
	c.machines.EachWithInterruptionNotice(func(m *machineregistry.Machine) {
		for _, pl := range placement.PlacementsOn(m) {
			if !pl.Stopping {
				c.evict(now, pl, math.MaxInt64)
			}
		}
	})
}

// evict stops a placement, with all of its gang if it has one, so that
// its progress is saved if there is time for that.
func (c *Scheduler) evict(now time.Duration, pl *machineregistry.Placement, within time.Duration) {
	j := c.jobs[pl.Task.JobID]
	if j == nil {
		return
	}
	grace := 0.0
	if j.Spec.CheckpointIntervalSeconds > 0 &&
		config.Seconds(j.Spec.SaveSeconds+c.cfg.Workers.HeartbeatSeconds) < within {
		grace = j.Spec.SaveSeconds + c.cfg.Workers.GangPeerSeconds
	}
	if j.Spec.Shape != protocol.Gang {
		c.stopPlacement(now, j, pl, grace)
		return
	}
	j.GangStopping = true
	for _, o := range j.SortedPlacements() {
		if !o.Stopping {
			c.stopPlacement(now, j, o, grace)
		}
	}
}
