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
	// maxRecordAttempts is the number of times a write of a single job is retried after the revision of a stored page
	// was not the expected one. After that the state of this leader is considered wrong, and it steps down.
	maxRecordAttempts = 4
	// recordBackoff is the delay before the first of these retries. It doubles with each retry.
	recordBackoff = CycleInterval / 8
)

// recordStarts writes the placements that must be recorded before their tasks may start, in queue order, as many as the
// key-value store can write soon. A transaction contains the placements of several jobs.
func (s *Scheduler) recordStarts(now time.Duration) {
	for !s.writes.paused {
		free := s.recordLimits.MaxStartPages() - s.writes.pagesInFlight[PriorityStart]
		if free <= 0 {
			return
		}
		batch := s.nextStartBatch(now, free)
		if len(batch) == 0 {
			return
		}
		s.writeBatch(PriorityStart, batch)
	}
}

// nextStartBatch dequeues jobs from the start queue for one transaction with a limited number of operations. A job
// whose write has failed before gets a transaction of its own.
func (s *Scheduler) nextStartBatch(now time.Duration, operations int) (batch []*placementrecords.JobWrite) {
	operations = min(operations, s.recordLimits.MaxOperations())
	bytes := placementrecords.MaxTransactionBytes
	order := s.failoverOrder()
	for operations > 0 {
		j := s.queues.Starts.Next(now, order)
		if j == nil {
			return batch
		}
		if len(batch) > 0 && j.RecordAttempts > 0 {
			return batch
		}
		write := s.newJobWrite(j, operations)
		fits := write.Size() <= bytes && write.Operations() <= operations && write.CoversAllStarts()
		if len(batch) > 0 && !fits {
			return batch // this write goes into the next transaction
		}
		s.queues.Starts.Dequeue(j)
		batch = append(batch, write)
		operations -= write.Operations()
		bytes -= write.Size()
		if j.RecordAttempts > 0 {
			return batch
		}
	}
	return batch
}

// newJobWrite returns the next write of a job, narrowing its pages until they fit.
func (s *Scheduler) newJobWrite(j *jobstate.Job, maxOperations int) *placementrecords.JobWrite {
	s.recordLimits.NarrowToFit(j, s.writes.nextName)
	return placementrecords.NewJobWrite(j, maxOperations)
}

// failoverOrder returns the jobs in the start queue, sorted by the recovery order, while that order is in effect.
// Otherwise it returns nil, and the order of the queue applies.
func (s *Scheduler) failoverOrder() []*jobstate.Job {
	if !s.zoneFailover.IsOrderInEffect() {
		return nil
	}
	jobs := s.queues.Starts.Jobs()
	s.sortForRecovery(jobs)
	return jobs
}

// recordCompletions records ended tasks, starting with the job that has waited longest, as many as the key-value store
// can write soon.
func (s *Scheduler) recordCompletions(now time.Duration) {
	for s.mayWriteCompletions() {
		j := s.queues.NextCompletion(now - placementrecords.CompletionDelay)
		if j == nil {
			return
		}
		if now < j.RecordNotBefore {
			s.delayedCalls.add(j.RecordNotBefore, func(now time.Duration) { j.QueueCompletion(now) })
			continue
		}
		write := s.newJobWrite(j, s.recordLimits.PagesPerTransaction())
		s.writeBatch(PriorityCompletion, []*placementrecords.JobWrite{write})
	}
}

// mayWriteCompletions reports whether another write of completions may begin now.
func (s *Scheduler) mayWriteCompletions() bool {
	inFlight := s.writes.pagesInFlight[PriorityCompletion]
	return !s.writes.paused && inFlight < s.recordLimits.MaxCompletionPages()
}

// writeBatch submits the writes of several jobs in one transaction.
func (s *Scheduler) writeBatch(priority WritePriority, batch []*placementrecords.JobWrite) {
	id, name := s.writes.nextID()
	txn := protocol.Txn{If: []protocol.Compare{s.writes.termUnchanged()}}
	for _, write := range batch {
		if err := write.AppendTo(&txn, name); err != nil {
			s.emit(StepDown{Reason: err.Error()}) // the state of this leader cannot be encoded
			return
		}
	}
	for _, write := range batch {
		write.Begin()
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		s.applyBatchOutcome(now, &txn, batch, outcome)
		if priority == PriorityCompletion {
			s.recordCompletions(now)
		} else {
			s.recordStarts(now)
		}
	}
	write := Write{
		ID:         id,
		Txn:        txn,
		Priority:   priority,
		VerifyKey:  txn.Then[0].PutKey,
		VerifyName: name,
		Splittable: len(batch) > 1,
	}
	s.submitPages(write, onOutcome)
}

// applyBatchOutcome applies the outcome of a transaction. If a condition of one job failed, only that job is affected:
// the others are written again immediately, in a new transaction. This is safe because the failed transaction was not
// committed and never will be, as its conditions no longer hold.
func (s *Scheduler) applyBatchOutcome(
	now time.Duration,
	txn *protocol.Txn,
	batch []*placementrecords.JobWrite,
	outcome TransactionOutcome,
) {
	for _, write := range batch {
		write.End()
	}
	failed := !outcome.Succeeded && !outcome.Malformed
	if failed && (len(outcome.FailedKeys) == 0 || slices.Contains(outcome.FailedKeys, storage.TermKey)) {
		// Either another controller leads or the state of this leader is wrong: a new term reads all records again.
		s.stepDownAfter(outcome)
		return
	}
	for _, write := range batch {
		switch {
		case outcome.Succeeded:
			s.jobWriteSucceeded(now, write, outcome.Revision)
		case outcome.Malformed && len(batch) > 1:
			s.retryAlone(now, write) // separate transactions show which write is malformed
		case outcome.Malformed:
			s.jobWriteRejected(now, txn, write)
		default:
			s.jobWriteFailed(now, write, outcome)
		}
	}
	s.sendUrgentCommands(now) // all starts on a machine are sent together
}

// stepDownAfter ends the term after the conditions of a write have failed for an unknown reason.
func (s *Scheduler) stepDownAfter(outcome TransactionOutcome) {
	s.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", outcome.FailedKeys)})
}

// jobWriteFailed handles the failure of a transaction that contained this write.
func (s *Scheduler) jobWriteFailed(now time.Duration, write *placementrecords.JobWrite, outcome TransactionOutcome) {
	j := write.Job
	switch {
	case slices.Contains(outcome.FailedKeys, storage.LiveJobKey(j.Spec.ID)):
		s.cancelUnstarted(now, j)
		s.endJob(now, j)
	case !write.Failed(outcome.FailedKeys):
		s.requeue(now, write)
	case j.RecordAttempts >= maxRecordAttempts:
		s.stepDownAfter(outcome)
	default:
		s.log.Info("placement record conflict", "job", j.Spec.ID, "tries", j.RecordAttempts)
		j.RecordNotBefore = now + recordBackoff<<j.RecordAttempts
		j.RecordAttempts++
		s.requeue(now, write)
	}
}

// jobWriteRejected handles the rejection of a write that had a transaction of its own. It is retried immediately with
// smaller transactions or, if these cannot shrink any further, with narrower pages. If neither is possible, it is
// retried after a delay, so that other jobs get their turn.
func (s *Scheduler) jobWriteRejected(now time.Duration, txn *protocol.Txn, write *placementrecords.JobWrite) {
	j := write.Job
	s.requeue(now, write)
	j.RecordNotBefore = now + rejectedRetryDelay
	if s.shrinkTransactions(txn) {
		j.RecordNotBefore = now
		return
	}
	if j.Pages.CanNarrow() && !j.Ended {
		j.Pages.Narrow()
		j.RecordNotBefore = now
	}
	s.log.Error(
		"placement record rejected",
		"job", j.Spec.ID,
		"page_count", len(write.PageNumbers()),
		"tasks_per_page", j.Pages.Layout().TasksPerPage,
	)
}

// retryAlone retries the write of a job in transactions of its own until it succeeds.
func (s *Scheduler) retryAlone(now time.Duration, write *placementrecords.JobWrite) {
	write.Job.RecordAttempts = max(write.Job.RecordAttempts, 1)
	s.requeue(now, write)
}

// requeue reverts a write that was not committed and queues its job again.
func (s *Scheduler) requeue(now time.Duration, write *placementrecords.JobWrite) {
	j := write.Job
	write.Revert()
	if j.Ended {
		s.cancelUnstarted(now, j)
		s.stopJobTasks(now, j)
		return
	}
	s.queues.Starts.Requeue(j)
	j.QueueCompletion(now)
}

// jobWriteSucceeded applies a committed write and starts the tasks that waited for it.
func (s *Scheduler) jobWriteSucceeded(now time.Duration, write *placementrecords.JobWrite, revision uint64) {
	j := write.Job
	j.RecordAttempts, j.RecordNotBefore = 0, 0
	write.Commit(revision, s.machines.MarkOutcomeRecorded)
	if j.Ended {
		s.cancelUnstarted(now, j)
		s.stopJobTasks(now, j)
		return
	}
	write.MarkStartsRecorded()
	s.log.Debug(
		"placement pages recorded",
		"job", j.Spec.ID,
		"pages", write.PageNumbers(),
		"unrecorded_starts", write.RemainingStarts(),
	)
	s.allowRecordedStarts(j)
	switch {
	case j.AllTasksDone():
		s.completeJob(j)
	case len(j.Unstarted) > 0:
		s.queues.Starts.AddRemaining(j)
	default:
		j.QueueCompletion(now)
	}
}
