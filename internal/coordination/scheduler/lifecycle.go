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
	// retryDelay is the delay before a task is placed again after its machine could not run it.
	retryDelay = CycleInterval / 4
	// The backoff of a job doubles with each failure, up to this number of doublings: maxErrorBackoffDoublings after
	// errors of its own tasks, maxUnknownTaskBackoffDoublings after tasks that their workers do not know.
	maxErrorBackoffDoublings       = 6
	maxUnknownTaskBackoffDoublings = 5
	// quarantineThreshold is the number of jobs that must fail on a machine before the machine is quarantined.
	quarantineThreshold = 2
)

// acceptJob adds a job whose waiting time counts from since. For a job that is already known, it only updates the
// revision.
func (s *Scheduler) acceptJob(now, since time.Duration, record storage.LiveJobRecord, revision uint64) {
	id := record.Job.ID
	if j := s.jobs[id]; j != nil {
		if !j.Ended {
			j.LiveRevision = revision
		}
		return
	}
	j := jobstate.New(record.Job, revision, record.AcceptedAtMS, since, s.recordLimits.NewJobLayout())
	s.jobs[id] = j
	s.addDependencies(now, j)
	s.queues.Add(j)
	if j.Blocked {
		return // a blocked job counts as an arrival once it is unblocked
	}
	s.forecast.RecordArrival(&j.Spec, since)
	s.cycle.due = true
}

// applyObservations applies the changes that the machine registry has observed in placements to their jobs.
func (s *Scheduler) applyObservations(now time.Duration, observations []machineregistry.Observation) {
	for _, o := range observations {
		pl := o.Placement
		j := s.jobs[pl.Task.JobID]
		switch {
		case j == nil || j.Placements[pl.Task.Index] != pl:
		case pl.Terminated:
			s.placementTerminated(now, j, pl, o.Lost)
		case pl.State == protocol.TaskRunning && pl.StateSince == now:
			s.taskStarted(now, j, pl)
		}
	}
}

// taskStarted handles a task that has begun to run.
func (s *Scheduler) taskStarted(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	j.LastTaskStart = now
	if j.Spec.Shape == protocol.Service {
		j.HasRun[pl.Task.Index] = true
	}
	j.Failures = max(0, j.Failures-1)
	s.log.Debug("task running",
		"task", pl.Task,
		"class", j.Spec.Class,
		"attempt", pl.Attempt,
		"machine", pl.Machine,
		"waited", now-j.WaitingSince,
		"since_placed", now-pl.ReservedAt,
		"image", j.Spec.Image)
}

// placementTerminated removes a placement that no longer exists, either because its worker has reported the end of the
// task or, if lost is set, because its machine is gone or the task was stopped before it could start.
func (s *Scheduler) placementTerminated(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, lost bool) {
	s.cycle.due = true
	task := pl.Task.Index
	delete(j.Placements, task)
	page := j.Pages.PageOf(task)
	page.UnrecordedExits = append(page.UnrecordedExits, pl)
	if lost {
		s.markDisplaced(j, pl)
		s.log.Info("task lost", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine)
	}
	switch {
	case j.Ended:
		j.SetTask(task, jobstate.TaskDone)
		s.cleanUpEndedJob(j)
	case j.TaskState(task) == jobstate.TaskDone:
	case !lost && pl.Cause == protocol.CauseDone:
		s.taskDone(now, j, task)
	default:
		s.requeueTask(now, j, pl, lost)
	}
}

// taskDone marks a task as done. A gang completes as a whole, so that all of its tasks are marked as done.
func (s *Scheduler) taskDone(now time.Duration, j *jobstate.Job, task int) {
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
		s.completeJob(j)
	}
}

// requeueTask makes a task pending again after its placement ended before the task was done. A gang restarts as a
// whole.
func (s *Scheduler) requeueTask(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement, lost bool) {
	task := pl.Task.Index
	j.StartCounted = j.StartCounted || j.LastTaskStart > 0 && now-j.LastTaskStart >= placement.MinCountedRunTime
	j.LastTaskStart = 0
	j.SetTask(task, jobstate.TaskPending)
	j.MarkDirty(task, now) // the worker can forget the attempt only after its outcome is recorded
	if !lost {
		s.taskFailed(now, j, pl)
	}
	if j.Spec.Shape == protocol.Gang {
		s.stopGang(now, j)
		if len(j.Placements) == 0 {
			j.GangStopping = false
		}
	}
}

// taskFailed delays the next attempt of a task that exited without having been stopped. The delay depends on the cause.
func (s *Scheduler) taskFailed(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	switch pl.Cause {
	case protocol.CauseStopped, protocol.CausePeerLost, protocol.CauseDone:
		return
	}
	s.log.Info("task failed", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine, "reason", pl.Cause)
	switch pl.Cause {
	case protocol.CauseError:
		s.taskReturnedError(now, j, pl)
	case protocol.CauseNoCapacity, protocol.CauseOtherAttempt:
		// The worker holds capacity or another attempt of the task that the registry does not know about.
		if m := s.machines.Machine(pl.Machine); m != nil {
			m.MarkUnresponsive(max(m.UnresponsiveUntil, now+config.Seconds(2*s.cfg.Workers.HeartbeatSeconds)))
		}
		j.BackoffUntil = now + retryDelay
	case protocol.CauseUnknownTask:
		j.Failures++
		j.BackoffUntil = now + CycleInterval<<min(j.Failures, maxUnknownTaskBackoffDoublings)
	default:
		j.BackoffUntil = now + retryDelay
	}
}

// taskReturnedError counts an error of a task against both its job and its machine. If the job has failed on so many
// machines that it is likely to be faulty, the errors are attributed to the job alone: the job backs off, and they no
// longer count against the machines.
func (s *Scheduler) taskReturnedError(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) {
	j.Failures++
	j.FailedOn[pl.Machine] = true
	if !j.LikelyFaulty() {
		return
	}
	backoff := CycleInterval << min(j.Failures, maxErrorBackoffDoublings)
	j.BackoffUntil = now + min(backoff, config.Seconds(2*s.cfg.Workers.CancelSeconds))
	for name := range j.FailedOn {
		if m := s.machines.Machine(name); m != nil {
			delete(m.FailedJobs, j.Spec.ID)
		}
	}
}

// stopGang stops all tasks of a gang after one of them was lost. The gang is then placed again as a whole and resumes
// from its checkpoint.
func (s *Scheduler) stopGang(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		if !pl.Stopping || pl.GraceSeconds > 0 {
			s.stopPlacement(now, j, pl, 0)
		}
	}
	j.GangStopping = len(j.Placements) > 0
}

// stopPlacement stops a placement and gives it graceSeconds to save a checkpoint. A placement that cannot have started
// terminates immediately.
func (s *Scheduler) stopPlacement(
	now time.Duration,
	j *jobstate.Job,
	pl *machineregistry.Placement,
	graceSeconds float64,
) {
	s.preemption.InvalidateFailedSearches()
	if s.machines.Stop(now, pl, graceSeconds) && !pl.StartAllowed && j.WriteInFlight {
		// A write in flight may still record this placement. That is harmless: the placement was never started, and a
		// later write replaces the record.
		s.log.Debug("placement stopped before recording", "task", pl.Task)
	}
	if pl.Terminated && j.Placements[pl.Task.Index] == pl {
		s.placementTerminated(now, j, pl, true)
	}
}

// stopJobTasks stops all tasks of a job that has ended.
func (s *Scheduler) stopJobTasks(now time.Duration, j *jobstate.Job) {
	for _, pl := range j.SortedPlacements() {
		s.stopPlacement(now, j, pl, 0)
	}
	s.cleanUpEndedJob(j)
}

// endJob ends a job that was cancelled or whose end has been recorded.
func (s *Scheduler) endJob(now time.Duration, j *jobstate.Job) {
	j.MarkEnded()
	s.liveRecordDeleted(now, j.Spec.ID)
	s.cycle.due = true
	if !j.AllTasksDone() {
		s.setFencingDeadline(j, s.fencingDeadline(now))
	}
	s.stopJobTasks(now, j)
}

// evictOnInterruptionNotice evicts all tasks from machines that the cloud has announced it will interrupt.
func (s *Scheduler) evictOnInterruptionNotice(now time.Duration) {
	s.machines.EachWithInterruptionNotice(func(m *machineregistry.Machine) {
		for _, pl := range placement.PlacementsOn(m) {
			if !pl.Stopping {
				s.evict(now, pl, math.MaxInt64)
			}
		}
	})
}

// evict stops a placement, together with the rest of its gang. The tasks get time to save a checkpoint if they can do
// so within the given duration.
func (s *Scheduler) evict(now time.Duration, pl *machineregistry.Placement, within time.Duration) {
	j := s.jobs[pl.Task.JobID]
	if j == nil {
		return
	}
	grace := s.checkpointGrace(j, within)
	if j.Spec.Shape != protocol.Gang {
		s.stopPlacement(now, j, pl, grace)
		return
	}
	j.GangStopping = true
	for _, member := range j.SortedPlacements() {
		if !member.Stopping {
			s.stopPlacement(now, j, member, grace)
		}
	}
}

// checkpointGrace returns the grace period, in seconds, that a task needs to save a checkpoint. It returns 0 if the
// task saves no checkpoints or cannot save one within the given duration.
func (s *Scheduler) checkpointGrace(j *jobstate.Job, within time.Duration) float64 {
	if j.Spec.CheckpointIntervalSeconds == 0 ||
		config.Seconds(j.Spec.CheckpointSaveSeconds+s.cfg.Workers.HeartbeatSeconds) >= within {
		return 0
	}
	return j.Spec.CheckpointSaveSeconds + s.cfg.Workers.GangPeerSeconds
}
