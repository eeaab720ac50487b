package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// rejectedRetryDelay is the pause after which a write is repeated that was rejected as malformed.
const rejectedRetryDelay = 10 * CycleInterval

// completeJob records that all tasks are done: the job's live record is replaced by its final one. If nothing is
// placed any more, its pages are deleted in the same transaction.
func (c *Scheduler) completeJob(j *jobstate.Job) {
	if j.Ending || j.Ended {
		return
	}
	if j.WriteInFlight || c.writes.paused {
		return // it is tried again with the outcome of that write, or after the pause
	}
	j.Ending = true
	id, name := c.writes.nextID()
	value, err := protocol.Encode(storage.EndedJobRecord{
		State:     protocol.JobDone,
		DoneTasks: j.TaskCount(),
		WriteName: name,
	})
	if err != nil {
		c.log.Error("failed to encode ended job record", "job", j.Spec.ID, "error", err)
		return
	}
	live, ended := storage.LiveJobKey(j.Spec.ID), storage.EndedJobKey(j.Spec.ID)
	t := protocol.Txn{
		If:   []protocol.Compare{c.writes.termUnchanged(), {Key: live, Revision: j.LiveRevision}},
		Then: []protocol.Op{{DeleteKey: live}, {PutKey: ended, Value: value}},
	}
	var deletion placementrecords.Deletion
	if len(j.Placements) == 0 {
		deletion = placementrecords.AppendDeletion(&t, j, c.recordLimits.MaxOperations())
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		j.Ending = false
		if outcome.Malformed {
			c.shrinkTransactions(&t)
			c.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { c.completeJob(j) })
			return
		}
		c.applyCompletion(now, j, deletion, outcome)
	}
	priority := PriorityCompletion
	if c.dependencies.HasDependents(j.Spec.ID) {
		priority = PriorityUnblock
	}
	c.submit(Write{ID: id, Txn: t, Priority: priority, VerifyKey: ended, Name: name}, onOutcome)
}

// applyCompletion applies the outcome of the transaction that records a job's end.
func (c *Scheduler) applyCompletion(
	now time.Duration,
	j *jobstate.Job,
	deletion placementrecords.Deletion,
	outcome TransactionOutcome,
) {
	if !outcome.Succeeded && !c.endedMeanwhile(j, outcome) {
		return
	}
	if outcome.Succeeded {
		deletion.Commit(c.machines.MarkOutcomeRecorded)
		c.dependencyEnded(now, j.Spec.ID, dependency.Done)
	}
	c.log.Debug(
		"job done",
		"job", j.Spec.ID,
		"class", j.Spec.Class,
		"task_count", j.TaskCount(),
		"duration", now-j.WaitingSince,
	)
	c.endJob(now, j)
}

// endedMeanwhile reports whether a write failed because the job has ended otherwise. Any other reason means that
// another controller leads or that this leader's state is wrong: it steps down, and a new term reads everything
// again.
func (c *Scheduler) endedMeanwhile(j *jobstate.Job, outcome TransactionOutcome) bool {
	if slices.Contains(outcome.FailedKeys, storage.TermKey) {
		c.emit(StepDown{Reason: "the term has changed"})
		return false
	}
	if slices.Contains(outcome.FailedKeys, storage.LiveJobKey(j.Spec.ID)) {
		return true
	}
	c.stepDownAfter(outcome)
	return false
}

// cleanUpEndedJob deletes the pages of an ended job once nothing of it is placed, and then forgets the job.
func (c *Scheduler) cleanUpEndedJob(j *jobstate.Job) {
	if !j.Ended || j.WriteInFlight || len(j.Placements) > 0 || c.writes.paused {
		return
	}
	placementrecords.ForgetUnstored(j, c.machines.MarkOutcomeRecorded)
	t := protocol.Txn{If: []protocol.Compare{c.writes.termUnchanged()}}
	deletion := placementrecords.AppendDeletion(&t, j, c.recordLimits.MaxOperations())
	if len(t.Then) == 0 {
		delete(c.jobs, j.Spec.ID)
		c.zoneFailover.ForgetJob(j.Spec.ID)
		c.queues.Remove(j)
		return
	}
	j.WriteInFlight = true
	id, _ := c.writes.nextID()
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		j.WriteInFlight = false
		if outcome.Malformed {
			c.shrinkTransactions(&t)
			c.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { c.cleanUpEndedJob(j) })
			return
		}
		if !outcome.Succeeded {
			c.stepDownAfter(outcome)
			return
		}
		deletion.Commit(c.machines.MarkOutcomeRecorded)
		c.cleanUpEndedJob(j)
	}
	c.submit(Write{ID: id, Txn: t, Priority: PriorityMaintenance, VerifyKey: t.Then[0].DeleteKey}, onOutcome)
}

// startRecorded allows placements to start that are recorded; those of a gang only once all of them are.
func (c *Scheduler) startRecorded(j *jobstate.Job) {
	var unrecorded []*machineregistry.Placement
	for _, pl := range j.Unstarted {
		if !pl.Recorded {
			unrecorded = append(unrecorded, pl)
		}
	}
	if j.Spec.Shape == protocol.Gang && len(unrecorded) > 0 {
		return
	}
	for _, pl := range j.Unstarted {
		if pl.Recorded && !pl.Terminated {
			c.machines.AllowStart(pl)
		}
	}
	j.Unstarted = unrecorded
	c.cycle.due = c.cycle.due || j.PendingTasks() > 0
}

// cancelUnstarted withdraws the placements of a job that have not been allowed to start.
func (c *Scheduler) cancelUnstarted(now time.Duration, j *jobstate.Job) {
	unstarted := j.Unstarted
	j.Unstarted = nil
	for _, pl := range unstarted {
		if !pl.StartAllowed {
			c.stopPlacement(now, j, pl, 0)
		}
	}
}
