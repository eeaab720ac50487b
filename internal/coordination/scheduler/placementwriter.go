package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

const (
	// maxRecordAttempts is how often a job's write is repeated alone although the stored page isn't the expected one.
	// After that this leader's state counts as wrong, and it steps down.
	maxRecordAttempts = 4
	// recordBackoff is the pause before the first of these attempts. It doubles with each.
	recordBackoff = CycleInterval / 8
)

// recordStarts writes the placements that starts wait for, in the order of the queue, as far as the key-value store
// can write them soon. Several jobs share a transaction.
func (c *Scheduler) recordStarts(now time.Duration) {
	for !c.writes.paused {
		free := c.recordLimits.MaxStartPages() - c.writes.pagesInFlight[PriorityStart]
		if free <= 0 {
			return
		}
		batch := c.nextStartBatch(now, free)
		if len(batch) == 0 {
			return
		}
		c.writeBatch(PriorityStart, batch)
	}
}

// nextStartBatch takes jobs from the queue of starts for one transaction with a limited number of operations. A job
// that has failed before is written alone.
func (c *Scheduler) nextStartBatch(now time.Duration, operations int) (batch []*placementrecords.JobWrite) {
	operations = min(operations, c.recordLimits.MaxOperations())
	bytes := placementrecords.MaxTransactionBytes
	order := c.failoverOrder()
	for operations > 0 {
		j := c.queues.Starts.Next(now, order)
		if j == nil {
			return batch
		}
		if len(batch) > 0 && j.RecordAttempts > 0 {
			return batch
		}
		write := c.newJobWrite(j, operations)
		fits := write.Size() <= bytes && write.Operations() <= operations && write.CoversAllStarts()
		if len(batch) > 0 && !fits {
			return batch // it begins the next one
		}
		c.queues.Starts.Dequeue(j)
		batch = append(batch, write)
		operations -= write.Operations()
		bytes -= write.Size()
		if j.RecordAttempts > 0 {
			return batch
		}
	}
	return batch
}

// newJobWrite returns the next write of a job, whose pages are narrowed until they fit.
func (c *Scheduler) newJobWrite(j *jobstate.Job, maxOperations int) *placementrecords.JobWrite {
	c.recordLimits.NarrowToFit(j, c.writes.nextName)
	return placementrecords.NewJobWrite(j, maxOperations)
}

// failoverOrder returns the jobs in the queue of starts in the order of recovery, while that is in effect. Otherwise it
// returns nil, and the order of the queue holds.
func (c *Scheduler) failoverOrder() []*jobstate.Job {
	if !c.zoneFailover.IsOrderInEffect() {
		return nil
	}
	jobs := c.queues.Starts.Jobs()
	c.sortForRecovery(jobs)
	return jobs
}

// recordCompletions writes what has ended of jobs, longest waiting first, as far as the key-value store can write it
// soon.
func (c *Scheduler) recordCompletions(now time.Duration) {
	for c.mayWriteCompletions() {
		j := c.queues.NextCompletion(now - placementrecords.CompletionDelay)
		if j == nil {
			return
		}
		if now < j.RecordNotBefore {
			c.delayedCalls.add(j.RecordNotBefore, func(now time.Duration) { j.QueueCompletion(now) })
			continue
		}
		write := c.newJobWrite(j, c.recordLimits.PagesPerTransaction())
		c.writeBatch(PriorityCompletion, []*placementrecords.JobWrite{write})
	}
}

// mayWriteCompletions reports whether another write of completions may begin now.
func (c *Scheduler) mayWriteCompletions() bool {
	inFlight := c.writes.pagesInFlight[PriorityCompletion]
	return !c.writes.paused && inFlight < c.recordLimits.MaxCompletionPages()
}

// writeBatch submits the writes of several jobs in one transaction.
func (c *Scheduler) writeBatch(priority WritePriority, batch []*placementrecords.JobWrite) {
	id, name := c.writes.nextID()
	t := protocol.Txn{If: []protocol.Compare{c.writes.termUnchanged()}}
	for _, write := range batch {
		if err := write.AppendTo(&t, name); err != nil {
			c.emit(StepDown{Reason: err.Error()}) // no record can hold this leader's state
			return
		}
	}
	for _, write := range batch {
		write.Begin()
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		c.applyBatchOutcome(now, &t, batch, outcome)
		if priority == PriorityCompletion {
			c.recordCompletions(now)
		} else {
			c.recordStarts(now)
		}
	}
	write := Write{
		ID:         id,
		Txn:        t,
		Priority:   priority,
		VerifyKey:  t.Then[0].PutKey,
		Name:       name,
		Splittable: len(batch) > 1,
	}
	c.submitPages(write, onOutcome)
}

// applyBatchOutcome applies the outcome of a transaction. A failed condition of one job concerns that job alone: the
// others are written again at once, in another transaction. The one that failed was not carried out and never
// will be, as its conditions no longer hold.
func (c *Scheduler) applyBatchOutcome(
	now time.Duration,
	t *protocol.Txn,
	batch []*placementrecords.JobWrite,
	outcome TransactionOutcome,
) {
	for _, write := range batch {
		write.End()
	}
	failed := !outcome.Succeeded && !outcome.Malformed
	if failed && (len(outcome.FailedKeys) == 0 || slices.Contains(outcome.FailedKeys, storage.TermKey)) {
		// Another controller leads, or this leader's state is wrong: a new term reads everything again.
		c.stepDownAfter(outcome)
		return
	}
	for _, write := range batch {
		switch {
		case outcome.Succeeded:
			c.jobWriteSucceeded(now, write, outcome.Revision)
		case outcome.Malformed && len(batch) > 1:
			c.retryAlone(now, write) // one of them is malformed; alone it shows which
		case outcome.Malformed:
			c.jobWriteRejected(now, t, write)
		default:
			c.jobWriteFailed(now, write, outcome)
		}
	}
	c.sendUrgentCommands(now) // the starts of a machine go out together
}

// stepDownAfter ends the term after a write whose conditions failed for no known reason.
func (c *Scheduler) stepDownAfter(outcome TransactionOutcome) {
	c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", outcome.FailedKeys)})
}

// jobWriteFailed handles the failure of a transaction that this write was part of.
func (c *Scheduler) jobWriteFailed(now time.Duration, write *placementrecords.JobWrite, outcome TransactionOutcome) {
	j := write.Job
	switch {
	case slices.Contains(outcome.FailedKeys, storage.LiveJobKey(j.Spec.ID)):
		c.cancelUnstarted(now, j)
		c.endJob(now, j)
	case !write.Failed(outcome.FailedKeys):
		c.requeue(now, write)
	case j.RecordAttempts >= maxRecordAttempts:
		c.stepDownAfter(outcome)
	default:
		c.log.Info("placement record conflict", "job", j.Spec.ID, "tries", j.RecordAttempts)
		j.RecordNotBefore = now + recordBackoff<<j.RecordAttempts
		j.RecordAttempts++
		c.requeue(now, write)
	}
}

// jobWriteRejected handles the rejection of a write that was alone in its transaction. It is repeated with fewer pages
// at a time, and then with narrower pages, as far as possible; else after a pause, in which others have their turn.
func (c *Scheduler) jobWriteRejected(now time.Duration, t *protocol.Txn, write *placementrecords.JobWrite) {
	j := write.Job
	c.requeue(now, write)
	j.RecordNotBefore = now + rejectedRetryDelay
	if c.shrinkTransactions(t) {
		j.RecordNotBefore = now
		return
	}
	if j.Pages.CanNarrow() && !j.Ended {
		j.Pages.Narrow()
		j.RecordNotBefore = now
	}
	c.log.Error(
		"placement record rejected",
		"job", j.Spec.ID,
		"page_count", write.Pages(),
		"tasks_per_page", j.Pages.Layout().TasksPerPage,
	)
}

// retryAlone repeats a job's write in a transaction of its own, until it succeeds.
func (c *Scheduler) retryAlone(now time.Duration, write *placementrecords.JobWrite) {
	write.Job.RecordAttempts = max(write.Job.RecordAttempts, 1)
	c.requeue(now, write)
}

// requeue causes a write to be repeated that was not carried out.
func (c *Scheduler) requeue(now time.Duration, write *placementrecords.JobWrite) {
	j := write.Job
	write.Revert()
	if j.Ended {
		c.cancelUnstarted(now, j)
		c.stopJobTasks(now, j)
		return
	}
	c.queues.Starts.Requeue(j)
	j.QueueCompletion(now)
}

// jobWriteSucceeded applies a write that was carried out, and starts what waited for it.
func (c *Scheduler) jobWriteSucceeded(now time.Duration, write *placementrecords.JobWrite, revision uint64) {
	j := write.Job
	j.RecordAttempts, j.RecordNotBefore = 0, 0
	write.Commit(revision, c.machines.MarkOutcomeRecorded)
	if j.Ended {
		c.cancelUnstarted(now, j)
		c.stopJobTasks(now, j)
		return
	}
	write.MarkStartsRecorded()
	c.startRecorded(j)
	switch {
	case j.AllTasksDone():
		c.completeJob(j)
	case len(j.Unstarted) > 0:
		c.queues.Starts.Add(j)
	default:
		j.QueueCompletion(now)
	}
}
