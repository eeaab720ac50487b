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

const (
	// retryPause is the pause before a task is placed again whose machine could not run it.
	retryPause = CycleInterval / 4
	// Backoff doubles with each failure of a job, up to these numbers of doublings: after errors of its own tasks, and
	// after tasks whose fate their worker does not know.
	maxFaultyDoublings  = 6
	maxUnknownDoublings = 5
	// quarantineJobs is how many jobs must fail on a machine for it to be quarantined.
	quarantineJobs = 2
)

// acceptJob adds a job whose waiting counts since the given time. Of a job that is known only the revision changes.
func (c *Scheduler) acceptJob(now, since time.Duration, record storage.LiveJobRecord, revision uint64) {
	id := record.Job.ID
	if j := c.jobs[id]; j != nil {
		if !j.Ended {
			j.LiveRevision = revision
		}
		return
	}
	j := jobstate.New(record.Job, revision, record.AcceptedAtMS, since, c.recordLimits.NewJobLayout())
	c.jobs[id] = j
	c.addDependencies(now, j)
	c.queues.Add(j)
	if j.Blocked {
		return // it counts as an arrival when it is unblocked
	}
	c.forecast.Arrived(&j.Spec, since)
	c.cycle.due = true
}

// applyObservations applies what the registry has observed of placements to their jobs.
func (c *Scheduler) applyObservations(now time.Duration, observations []machineregistry.Observation) {
	for _, o := range observations {
		pl := o.Placement
		j := c.jobs[pl.Task.JobID]
		switch {
		case j == nil || j.Placements[pl.Task.Index] != pl:
		case pl.Terminated:
			c.placementGone(now, j, pl, o.Lost)
		case pl.State == protocol.TaskRunning && pl.StateSince == now:
			c.taskStarted(now, j, pl)
		}
	}
}

// taskStarted records that a task has begun to run.
func (c *Scheduler) taskStarted(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	j.LastTaskStart = now
	if j.Spec.Shape == protocol.Service {
		j.HasRun[pl.Task.Index] = true
	}
	j.Failures = max(0, j.Failures-1)
	c.log.Debug("task running",
		"task", pl.Task,
		"class", j.Spec.Class,
		"attempt", pl.Attempt,
		"machine", pl.Machine,
		"waited", now-j.WaitingSince,
		"since_placed", now-pl.ReservedAt,
		"image", j.Spec.Image)
}

// placementGone removes a placement that is proven gone, by its worker or, if it is lost, with its machine.
func (c *Scheduler) placementGone(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, lost bool) {
	c.cycle.due = true
	task := pl.Task.Index
	delete(j.Placements, task)
	page := j.Pages.PageOf(task)
	page.UnrecordedExits = append(page.UnrecordedExits, pl)
	if lost {
		c.markDisplaced(j, pl)
		c.log.Info("task lost", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine)
	}
	switch {
	case j.Ended:
		j.SetTask(task, jobstate.TaskDone)
		c.cleanUpEndedJob(j)
	case j.TaskState(task) == jobstate.TaskDone:
	case !lost && pl.Cause == protocol.CauseDone:
		c.taskDone(now, j, task)
	default:
		c.requeueTask(now, j, pl, lost)
	}
}

// taskDone records that a task is done, and with it all tasks of a gang, which completes as a whole.
func (c *Scheduler) taskDone(now time.Duration, j *jobstate.Job, task int) {
	j.SetTask(task, jobstate.TaskDone)
	j.MarkDirty(task, now)
	if j.Spec.Shape == protocol.Gang {
		for t := range j.TaskCount() {
			if j.TaskState(t) != jobstate.TaskDone {
				j.SetTask(t, jobstate.TaskDone)
				j.MarkDirty(t, now)
			}
		}
	}
	if j.AllTasksDone() {
		c.completeJob(j)
	}
}

// requeueTask makes a task pending again whose placement is gone before it was done. A gang is restarted as a whole.
func (c *Scheduler) requeueTask(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, lost bool) {
	task := pl.Task.Index
	j.StartCounted = j.StartCounted || j.LastTaskStart > 0 && now-j.LastTaskStart >= placement.StartCountsAfter
	j.LastTaskStart = 0
	j.SetTask(task, jobstate.TaskPending)
	j.MarkDirty(task, now) // or the worker could never be told to forget the attempt
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

// taskFailed delays the next attempt of a task that has exited although nobody stopped it, by the cause.
func (c *Scheduler) taskFailed(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	switch pl.Cause {
	case protocol.CauseStopped, protocol.CausePeerLost, protocol.CauseDone:
		return
	}
	c.log.Info("task failed", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine, "reason", pl.Cause)
	switch pl.Cause {
	case protocol.CauseError:
		c.taskReturnedError(now, j, pl)
	case protocol.CauseNoCapacity, protocol.CauseOtherAttempt:
		// The machine holds something that the registry does not know of.
		if m := c.machines.Machine(pl.Machine); m != nil {
			m.MarkUnresponsive(max(m.UnresponsiveUntil, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds)))
		}
		j.BackoffUntil = now + retryPause
	case protocol.CauseUnknownTask:
		j.Failures++
		j.BackoffUntil = now + CycleInterval<<min(j.Failures, maxUnknownDoublings)
	default:
		j.BackoffUntil = now + retryPause
	}
}

// taskReturnedError counts an error of a task against its job and its machine. When the job fails everywhere, the
// machines are not at fault, and the job backs off.
func (c *Scheduler) taskReturnedError(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	j.Failures++
	j.FailedOn[pl.Machine] = true
	if !j.LikelyFaulty() {
		return
	}
	backoff := CycleInterval << min(j.Failures, maxFaultyDoublings)
	j.BackoffUntil = now + min(backoff, config.Seconds(2*c.cfg.Workers.CancelSeconds))
	for name := range j.FailedOn {
		if m := c.machines.Machine(name); m != nil {
			delete(m.FailedJobs, j.Spec.ID)
		}
	}
}

// stopGang stops all tasks of a gang that has lost one. It is placed again as a whole, from its checkpoint.
func (c *Scheduler) stopGang(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		if !pl.Stopping || pl.GraceSeconds > 0 {
			c.stopPlacement(now, j, pl, 0)
		}
	}
	j.GangStopping = len(j.Placements) > 0
}

// stopPlacement stops a placement, with so many seconds of grace to save a checkpoint. A placement that cannot have
// started is gone at once.
func (c *Scheduler) stopPlacement(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, graceS float64) {
	c.preemption.CapacityMayBeFree()
	if c.machines.Stop(now, pl, graceS) && !pl.StartAllowed && j.WriteInFlight {
		// Its record may be written at this moment. It names a placement that was never started, and a later write
		// replaces it.
		c.log.Debug("placement stopped before recording", "task", pl.Task)
	}
	if pl.Terminated && j.Placements[pl.Task.Index] == pl {
		c.placementGone(now, j, pl, true)
	}
}

// stopJobTasks stops all tasks of a job that has ended.
func (c *Scheduler) stopJobTasks(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		c.stopPlacement(now, j, pl, 0)
	}
	c.cleanUpEndedJob(j)
}

// endJob ends a job that was cancelled or whose end is recorded.
func (c *Scheduler) endJob(now time.Duration, j *jobstate.Job) {
	j.MarkEnded()
	c.liveRecordDeleted(now, j.Spec.ID)
	c.cycle.due = true
	if !j.AllTasksDone() {
		c.setFencingDeadline(j, c.fencingDeadline(now))
	}
	c.stopJobTasks(now, j)
}

// evictOnTerminationNotice evicts all tasks from machines that the cloud is about to take away.
func (c *Scheduler) evictOnTerminationNotice(now time.Duration) {
	c.machines.EachWithInterruptionNotice(func(m *machineregistry.Machine) {
		for _, pl := range placement.PlacementsOn(m) {
			if !pl.Stopping {
				c.evict(now, pl, math.MaxInt64)
			}
		}
	})
}

// evict stops a placement, and with it all of its gang, with time to save a checkpoint if that can be done within
// the given time.
func (c *Scheduler) evict(now time.Duration, pl *machineregistry.Placement, within time.Duration) {
	j := c.jobs[pl.Task.JobID]
	if j == nil {
		return
	}
	grace := c.checkpointGrace(j, within)
	if j.Spec.Shape != protocol.Gang {
		c.stopPlacement(now, j, pl, grace)
		return
	}
	j.GangStopping = true
	for _, member := range j.SortedPlacements() {
		if !member.Stopping {
			c.stopPlacement(now, j, member, grace)
		}
	}
}

// checkpointGrace returns the seconds of grace that a task needs to save a checkpoint, or 0 if it cannot do so within
// the given time.
func (c *Scheduler) checkpointGrace(j *jobstate.Job, within time.Duration) float64 {
	if j.Spec.CheckpointIntervalSeconds == 0 ||
		config.Seconds(j.Spec.SaveSeconds+c.cfg.Workers.HeartbeatSeconds) >= within {
		return 0
	}
	return j.Spec.SaveSeconds + c.cfg.Workers.GangPeerSeconds
}
