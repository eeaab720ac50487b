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

// Fetches take up to a third longer than the machine type says, and for large images that is longer than
// some start latency objectives. A task that has not started loses nothing when it moves to a machine that
// has its image and has become free meanwhile.

// minRemainingFetchHeartbeats is how many heartbeats a fetch must still take for its task to be moved.
const minRemainingFetchHeartbeats = 3

// relocateFetchingTasks moves tasks that are fetching their image, one of each job at most.
func (c *Scheduler) relocateFetchingTasks(now time.Duration) {
	for _, j := range c.inSchedulingOrder(c.queues.Fetching) {
		if !c.mayRelocate(j) || !mayBeFetching(j) {
			c.queues.Fetching.Delete(j)
			continue
		}
		c.relocateFetchingTask(now, j)
	}
}

// mayRelocate reports whether tasks of a job are moved to a machine with its image at all. Those of a gang
// wait for the slowest, and would have to move together.
func (c *Scheduler) mayRelocate(j *jobstate.Job) bool {
	return !j.Ended && c.rules.StartLatency.Has(j.Spec.Class) &&
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

// relocateFetchingTask moves the first task of a job that is fetching its image for a while yet, and for
// which a machine has the image. The machine is nominated for the job until the task can start there.
func (c *Scheduler) relocateFetchingTask(now time.Duration, j *jobstate.Job) {
	if c.startForbidden(j) || j.WriteInFlight || j.PendingTasks() > 0 {
		return
	}
	for _, pl := range j.SortedPlacements() {
		if !c.fetchesForLong(now, j, pl) {
			continue
		}
		target := c.relocationTarget(now, j, pl)
		if target == nil {
			continue
		}
		c.log.Info(
			"task evicted for image locality",
			"task", pl.Task,
			"attempt", pl.Attempt,
			"machine", pl.Machine,
			"target_machine", target.Machine.Name,
		)
		c.candidates.SetFree(target, target.Free.Minus(j.TaskResources))
		c.rules.Nominate(target.Machine, j, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
		c.stopPlacement(now, j, pl, 0)
		return
	}
}

// fetchesForLong reports whether a placement is fetching its image and is likely to for several heartbeats.
func (c *Scheduler) fetchesForLong(now time.Duration, j *jobstate.Job, pl *machineregistry.Placement) bool {
	m := c.machines.Machine(pl.Machine)
	if m == nil || !pl.Reported || pl.Stopping || pl.State != protocol.TaskFetching {
		return false
	}
	least := config.Seconds(minRemainingFetchHeartbeats * c.cfg.Workers.HeartbeatSeconds)
	return c.machines.FetchTime(now, m, &j.Spec) >= least
}

// relocationTarget returns the best reliable machine with the image to which a placement could move, or nil.
func (c *Scheduler) relocationTarget(
	now time.Duration,
	j *jobstate.Job,
	pl *machineregistry.Placement,
) *candidates.Candidate {
	limits := placement.ZoneLimitsOf(j)
	limits.TasksPerZone[pl.Zone]--
	if len(j.Placements) == 1 {
		limits.OnlyZone = j.Spec.Zone
	}
	return c.finder.BestWithImage(now, j, limits, func(x *candidates.Candidate) bool {
		return x.Machine.Name != pl.Machine &&
			c.rules.Feasible(now, j, x, limits) &&
			j.TaskResources.Fits(c.freeForJob(x, j)) &&
			!x.Machine.HasAttempt(pl.Task) &&
			len(x.Machine.FailedJobs) == 0
	})
}
