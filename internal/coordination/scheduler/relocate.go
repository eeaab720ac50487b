package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// Fetching an image takes up to a third longer than the machine type states. For large images that can exceed a start
// latency objective. A task that is still fetching loses nothing by moving to a machine that already has its image and
// has become free in the meantime.

// minRemainingFetchHeartbeats is the minimum remaining time of a fetch, in heartbeat intervals, for its task to be
// moved.
const minRemainingFetchHeartbeats = 3

// relocateFetchingTasks moves tasks that are still fetching their image, at most one per job.
func (s *Scheduler) relocateFetchingTasks(now time.Duration) {
	for _, j := range s.inSchedulingOrder(s.queues.Fetching) {
		if !s.mayRelocate(j) || !mayBeFetching(j) {
			s.queues.Fetching.Delete(j)
			continue
		}
		s.relocateFetchingTask(now, j)
	}
}

// mayRelocate reports whether tasks of a job may be moved to a machine that has its image. The tasks of a gang are not
// moved: they wait for the slowest one and would have to move together.
func (s *Scheduler) mayRelocate(j *jobstate.Job) bool {
	return !j.Ended && s.rules.StartLatency.Has(j.Spec.Class) &&
		(j.Spec.Shape != protocol.Gang || j.Spec.TaskCount == 1)
}

// mayBeFetching reports whether a task of the job may still be fetching its image.
func mayBeFetching(j *jobstate.Job) bool {
	for _, pl := range j.Placements {
		if !pl.Reported || pl.State == protocol.TaskFetching {
			return true
		}
	}
	return false
}

// relocateFetchingTask moves the first task of a job whose fetch has a long time left and for which another machine has
// the image. That machine is nominated for the job until the task can start there.
func (s *Scheduler) relocateFetchingTask(now time.Duration, j *jobstate.Job) {
	if s.startForbidden(j) || j.WriteInFlight || j.PendingTasks() > 0 {
		return
	}
	for _, pl := range j.SortedPlacements() {
		if !s.hasLongFetchLeft(now, j, pl) {
			continue
		}
		target := s.relocationTarget(now, j, pl)
		if target == nil {
			continue
		}
		s.log.Info(
			"task evicted for image locality",
			"task", pl.Task,
			"attempt", pl.Attempt,
			"machine", pl.Machine,
			"target_machine", target.Machine.Name,
		)
		s.candidates.SetFree(target, target.Free.Minus(j.TaskResources))
		s.rules.Nominate(target.Machine, j, now+config.Seconds(2*s.cfg.Workers.HeartbeatSeconds))
		s.stopPlacement(now, j, pl, 0)
		return
	}
}

// hasLongFetchLeft reports whether a placement is fetching its image and is likely to do so for several heartbeats
// more.
func (s *Scheduler) hasLongFetchLeft(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) bool {
	m := s.machines.Machine(pl.Machine)
	if m == nil || !pl.Reported || pl.Stopping || pl.State != protocol.TaskFetching {
		return false
	}
	minRemaining := config.Seconds(minRemainingFetchHeartbeats * s.cfg.Workers.HeartbeatSeconds)
	return s.machines.FetchTime(now, m, &j.Spec) >= minRemaining
}

// relocationTarget returns the best machine to which a placement can move, or nil. The machine must have the image, and
// no job may have failed on it.
func (s *Scheduler) relocationTarget(
	now time.Duration,
	j *jobstate.Job,
	pl *machineregistry.Placement,
) *candidates.Candidate {
	limits := placement.ZoneLimitsOf(j)
	limits.TasksPerZone[pl.Zone]--
	if len(j.Placements) == 1 {
		limits.OnlyZone = j.Spec.Zone
	}
	return s.finder.BestWithImage(now, j, limits, func(candidate *candidates.Candidate) bool {
		return candidate.Machine.Name != pl.Machine &&
			s.rules.Feasible(now, j, candidate, limits) &&
			j.TaskResources.Fits(s.freeForJob(candidate, j)) &&
			!candidate.Machine.HasAttempt(pl.Task) &&
			len(candidate.Machine.FailedJobs) == 0
	})
}
