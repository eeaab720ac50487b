package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// jobsWithPlacementPages returns the jobs of which placements are recorded.
func jobsWithPlacementPages(pairs []protocol.KeyValue) map[string]bool {
	ids := map[string]bool{}
	for _, pair := range pairs {
		if name, err := storage.ParsePageKey(pair.Key, 1); err == nil {
			ids[name.Job] = true
		}
	}
	return ids
}

// addDependencies adds an accepted job to the graph of dependencies, which says whether it is blocked.
func (c *Scheduler) addDependencies(now time.Duration, j *jobstate.Job) {
	due := dependency.NoDeadline
	if j.Spec.DeadlineSeconds > 0 {
		due = j.WaitingSince + config.Seconds(j.Spec.DeadlineSeconds)
	}
	change := c.dependencies.Add(
		dependency.Job{
			ID:                j.Spec.ID,
			Dependencies:      j.Spec.Dependencies,
			Priority:          j.EffectivePriority,
			Deadline:          due,
			EstimatedDuration: config.Seconds(j.Spec.EstimateSeconds * estimateSlack),
		},
	)
	j.SetBlocked(c.dependencies.OpenDependencies(j.Spec.ID) > 0 ||
		c.dependencies.State(j.Spec.ID) == dependency.Cancelled)
	c.applyDependencyChange(now, change)
}

// estimateSlack is how many times its estimate a job with dependents is expected to take: estimates are wrong by half.
const estimateSlack = 1.5

// dependencyEnded applies the final state of a job, which must be recorded, to its dependents.
func (c *Scheduler) dependencyEnded(now time.Duration, id string, state dependency.State) {
	c.applyDependencyChange(now, c.dependencies.End(id, state))
}

// liveRecordDeleted records that a job has ended in a state that has to be read if others depend on it.
func (c *Scheduler) liveRecordDeleted(now time.Duration, id string) {
	if c.dependencies.State(id) != dependency.UnknownOutcome {
		c.applyDependencyChange(now, c.dependencies.EndWithUnknownOutcome(id))
	}
}

// handleFinalState applies the final state of a dependency. It is read again later if there is none.
func (c *Scheduler) handleFinalState(now time.Duration, e FinalStateRead) {
	switch e.State {
	case protocol.JobDone:
		c.dependencyEnded(now, e.ID, dependency.Done)
	case protocol.JobCancelled:
		c.dependencyEnded(now, e.ID, dependency.Cancelled)
	default:
		// The job lives, which the watch has not delivered yet, or the state service has not answered.
		c.delayedCalls.add(now+CycleInterval/4, func(time.Duration) { c.requestFinalState(e.ID) })
	}
}

// requestFinalState reads how a job has ended, if others still depend on it.
func (c *Scheduler) requestFinalState(id string) {
	if c.dependencies.HasDependents(id) && c.dependencies.State(id) == dependency.UnknownOutcome {
		c.emit(ReadFinalState{ID: id})
	}
}

// applyDependencyChange applies what follows from a change of the graph to the jobs concerned.
func (c *Scheduler) applyDependencyChange(now time.Duration, change dependency.Change) {
	for _, id := range change.UnknownOutcomes {
		c.requestFinalState(id)
	}
	for _, id := range change.Reprioritised {
		c.reprioritise(c.jobs[id])
	}
	for _, id := range change.Unblocked {
		c.unblock(now, c.jobs[id])
	}
	for _, id := range change.Cancelled {
		if j := c.jobs[id]; j != nil && !j.Ended {
			j.SetBlocked(true)
			c.cancelledDependents.add(j)
		}
	}
	c.writeCancelledDependents()
}

// unblock lets a job start whose dependencies are all durably done.
func (c *Scheduler) unblock(now time.Duration, j *jobstate.Job) {
	if j == nil || j.Ended || !j.Blocked {
		return
	}
	c.log.Debug("job unblocked", "job", j.Spec.ID, "class", j.Spec.Class, "waited", now-j.WaitingSince)
	j.Unblock(now)
	c.forecast.Arrived(&j.Spec, now)
	c.cycle.due = true
}

// reprioritise gives a job the priority and the latest start that it has by itself and by its dependents. Its tasks go
// on running, and count with the new priority.
func (c *Scheduler) reprioritise(j *jobstate.Job) {
	if j == nil || j.Ended {
		return
	}
	level, ok := c.dependencies.Priority(j.Spec.ID)
	start := c.dependencies.LatestStart(j.Spec.ID)
	if !c.dependencies.InPipeline(j.Spec.ID) {
		start = dependency.NoDeadline // outside of pipelines age decides
	}
	if !ok || level == j.EffectivePriority && start == j.LatestStart {
		return
	}
	j.Reprioritise(level, start)
	for _, pl := range j.Placements {
		c.machines.SetPriorityLevel(pl, level)
	}
	c.cycle.due = true
}
