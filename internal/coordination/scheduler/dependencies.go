package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementrecords"
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
		c.delayedCalls.add(now+CycleInterval/4, func(now time.Duration) { c.requestFinalState(e.ID) })
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
			c.cancelledDependents = append(c.cancelledDependents, j)
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

// writeCancelledDependents records the ends of jobs that are cancelled because a dependency is. They count as cancelled
// without a record, since every controller derives that from the dependency; the record saves that work.
func (c *Scheduler) writeCancelledDependents() {
	limit := max(placementrecords.MinOperations, c.recordLimits.MaxOperations())
	for len(c.cancelledDependents) > 0 && c.mayWriteCompletions() {
		id, name := c.writes.nextID()
		t := protocol.Txn{If: []protocol.Compare{c.writes.termUnchanged()}}
		var jobs []*jobstate.Job
		for len(c.cancelledDependents) > 0 && len(t.Then)+placementrecords.MinOperations <= limit {
			j := c.cancelledDependents[0]
			c.cancelledDependents[0] = nil
			c.cancelledDependents = c.cancelledDependents[1:]
			if j.Ended || j.WriteInFlight || j.Ending {
				continue // it has ended otherwise, or is about to
			}
			value, err := protocol.Encode(
				storage.EndedJobRecord{
					State:               protocol.JobCancelled,
					WriteName:           name,
					CancelledDependency: c.dependencies.CancelledBy(j.Spec.ID),
				},
			)
			if err != nil {
				c.log.Error("failed to encode ended job record", "job", j.Spec.ID, "error", err)
				continue
			}
			live, ended := storage.LiveJobKey(j.Spec.ID), storage.EndedJobKey(j.Spec.ID)
			t.If = append(t.If, protocol.Compare{Key: live, Revision: j.LiveRevision}, protocol.Compare{Key: ended})
			t.Then = append(t.Then, protocol.Op{DeleteKey: live}, protocol.Op{PutKey: ended, Value: value})
			jobs = append(jobs, j)
		}
		if len(jobs) == 0 {
			return
		}
		c.writeCancellations(id, name, t, jobs)
	}
}

// writeCancellations records the ends of jobs in one transaction.
func (c *Scheduler) writeCancellations(id uint64, name string, t protocol.Txn, jobs []*jobstate.Job) {
	for _, j := range jobs {
		j.Ending = true
	}
	onOutcome := func(now time.Duration, w TransactionOutcome) {
		for _, j := range jobs {
			j.Ending = false
		}
		switch {
		case w.Succeeded:
			for _, j := range jobs {
				c.log.Debug("job cancelled with dependency", "job", j.Spec.ID)
				c.dependencies.EndWithUnknownOutcome(j.Spec.ID)
				c.endJob(now, j)
			}
		case w.Malformed:
			c.shrinkTransactions(&t)
			c.delayedCalls.add(
				now+rejectedRetryDelay,
				func(time.Duration) { c.cancelledDependents = append(c.cancelledDependents, jobs...) },
			)
			return
		case !c.handleEndedElsewhere(now, jobs, w):
			return
		default:
			// Some have ended meanwhile. The others are written again.
			c.cancelledDependents = append(c.cancelledDependents, jobs...)
		}
		c.writeCancelledDependents()
	}
	write := Write{ID: id, Txn: t, Priority: PriorityCompletion, VerifyKey: t.Then[1].PutKey, Name: name}
	c.submitPages(write, onOutcome)
}

// handleEndedElsewhere ends the jobs whose records another transaction has changed, and so made the leader's fail. It
// returns false if that was not the reason, and the leader has stepped down.
func (c *Scheduler) handleEndedElsewhere(now time.Duration, jobs []*jobstate.Job, w TransactionOutcome) bool {
	over := false
	for _, j := range jobs {
		if slices.Contains(w.FailedKeys, storage.LiveJobKey(j.Spec.ID)) ||
			slices.Contains(w.FailedKeys, storage.EndedJobKey(j.Spec.ID)) {
			c.endJob(now, j)
			over = true
		}
	}
	return over || c.endedMeanwhile(jobs[0], w)
}

// forecastBlockedJobs returns the capacity that blocked jobs are likely to need before a machine requested now has
// booted.
func (c *Scheduler) forecastBlockedJobs(now time.Duration) (units []autoscaler.Demand) {
	left := maxForecastJobs
	c.queues.Blocked.Scan(func(j *jobstate.Job) bool {
		if left--; left < 0 {
			return false
		}
		if c.dependencies.State(j.Spec.ID) == dependency.Live && c.dependenciesEndSoon(now, j) {
			units = append(
				units,
				autoscaler.Demand{
					Job:      &j.Spec,
					Count:    min(j.Spec.TaskCount, c.tasksWithinQuotaLimit(j)),
					Headroom: true,
				},
			)
		}
		return true
	})
	return units
}

// maxForecastJobs is how many blocked jobs a plan considers, in scheduling order.
const maxForecastJobs = 256

// dependenciesEndSoon reports whether all dependencies of a job run and are likely to be done within a boot time.
func (c *Scheduler) dependenciesEndSoon(now time.Duration, j *jobstate.Job) bool {
	boot := 0.0
	for _, t := range c.machines.MachineTypes() {
		boot = max(boot, t.BootSeconds)
	}
	for _, id := range j.Spec.Dependencies {
		need := c.jobs[id]
		if need == nil || need.Ended {
			continue
		}
		if need.LastTaskStart == 0 || need.PendingTasks() > 0 ||
			(need.LastTaskStart+config.Seconds(need.Spec.EstimateSeconds)-now).Seconds() > boot {
			return false
		}
	}
	return true
}
