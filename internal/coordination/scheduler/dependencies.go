package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// jobsWithPlacementPages returns the set of jobs that have placement pages.
func jobsWithPlacementPages(pairs []protocol.KeyValue) map[string]bool {
	ids := map[string]bool{}
	for _, pair := range pairs {
		if name, err := storage.ParsePageKey(pair.Key, 1); err == nil {
			ids[name.Job] = true
		}
	}
	return ids
}

// addDependencies adds an accepted job to the dependency graph and marks the job as blocked if it has open dependencies
// or one that was cancelled.
func (s *Scheduler) addDependencies(now time.Duration, j *jobstate.Job) {
	deadline := dependency.NoDeadline
	if j.Spec.DeadlineSeconds > 0 {
		deadline = j.WaitingSince + config.Seconds(j.Spec.DeadlineSeconds)
	}
	change := s.dependencies.Add(
		dependency.Job{
			ID:                j.Spec.ID,
			Dependencies:      j.Spec.Dependencies,
			Priority:          j.EffectivePriority,
			Deadline:          deadline,
			EstimatedDuration: config.Seconds(j.Spec.EstimateSeconds * estimateSlack),
		},
	)
	j.SetBlocked(s.dependencies.OpenDependencies(j.Spec.ID) > 0 ||
		s.dependencies.State(j.Spec.ID) == dependency.Cancelled)
	s.applyDependencyChange(now, change)
}

// estimateSlack is the factor by which the estimated duration of a job is multiplied when its latest start is computed,
// because estimates are off by half.
const estimateSlack = 1.5

// dependencyEnded applies the final state of a job to its dependents. That state must have been recorded.
func (s *Scheduler) dependencyEnded(now time.Duration, id string, state dependency.State) {
	s.applyDependencyChange(now, s.dependencies.End(id, state))
}

// liveRecordDeleted records that a job has ended. If other jobs depend on it, its final state still has to be read.
func (s *Scheduler) liveRecordDeleted(now time.Duration, id string) {
	if s.dependencies.State(id) != dependency.UnknownOutcome {
		s.applyDependencyChange(now, s.dependencies.EndWithUnknownOutcome(id))
	}
}

// handleFinalState applies the final state of a dependency. If no final state was read, the read is repeated later.
func (s *Scheduler) handleFinalState(now time.Duration, e FinalStateRead) {
	switch e.State {
	case protocol.JobDone:
		s.dependencyEnded(now, e.ID, dependency.Done)
	case protocol.JobCancelled:
		s.dependencyEnded(now, e.ID, dependency.Cancelled)
	default:
		// Either the job is live and the watch has not delivered it yet, or the key-value store did not answer.
		s.delayedCalls.add(now+CycleInterval/4, func(time.Duration) { s.requestFinalState(e.ID) })
	}
}

// requestFinalState reads the final state of a job if other jobs still depend on it.
func (s *Scheduler) requestFinalState(id string) {
	if s.dependencies.HasDependents(id) && s.dependencies.State(id) == dependency.UnknownOutcome {
		s.emit(ReadFinalState{ID: id})
	}
}

// applyDependencyChange applies a change of the dependency graph to the affected jobs.
func (s *Scheduler) applyDependencyChange(now time.Duration, change dependency.Change) {
	for _, id := range change.UnknownOutcomes {
		s.requestFinalState(id)
	}
	for _, id := range change.Reprioritised {
		s.reprioritise(s.jobs[id])
	}
	for _, id := range change.Unblocked {
		s.unblock(now, s.jobs[id])
	}
	for _, id := range change.Cancelled {
		if j := s.jobs[id]; j != nil && !j.Ended {
			j.SetBlocked(true)
			s.cancelledDependents.add(j)
		}
	}
	s.writeCancelledDependents()
}

// unblock allows a job to start after all of its dependencies were recorded as done.
func (s *Scheduler) unblock(now time.Duration, j *jobstate.Job) {
	if j == nil || j.Ended || !j.Blocked {
		return
	}
	s.log.Debug("job unblocked", "job", j.Spec.ID, "class", j.Spec.Class, "waited", now-j.WaitingSince)
	j.Unblock(now)
	s.forecast.RecordArrival(&j.Spec, now)
	s.cycle.due = true
}

// reprioritise sets the effective priority and the latest start of a job, which depend on the job itself and on its
// dependents. The running tasks of the job are not interrupted and get the new priority, too.
func (s *Scheduler) reprioritise(j *jobstate.Job) {
	if j == nil || j.Ended {
		return
	}
	level, ok := s.dependencies.Priority(j.Spec.ID)
	start := s.dependencies.LatestStart(j.Spec.ID)
	if !s.dependencies.InPipeline(j.Spec.ID) {
		start = dependency.NoDeadline // outside pipelines, jobs are sorted by age instead
	}
	if !ok || level == j.EffectivePriority && start == j.LatestStart {
		return
	}
	j.Reprioritise(level, start)
	for _, pl := range j.Placements {
		s.machines.SetPriorityLevel(pl, level)
	}
	s.cycle.due = true
}
