package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// rejectedRetryDelay is the delay before a write is retried that was rejected as malformed.
const rejectedRetryDelay = 10 * CycleInterval

// completeJob records that all tasks of a job are done by replacing its live record with its final one. If the job has
// no placements left, its pages are deleted in the same transaction.
func (s *Scheduler) completeJob(j *jobstate.Job) {
	if j.Ending || j.Ended {
		return
	}
	if j.WriteInFlight || s.writes.paused {
		return // tried again after the outcome of that write or the end of the pause
	}
	j.Ending = true
	id, name := s.writes.nextID()
	value, err := protocol.Encode(storage.EndedJobRecord{
		State:     protocol.JobDone,
		DoneTasks: j.TaskCount(),
		WriteName: name,
	})
	if err != nil {
		s.log.Error("failed to encode ended job record", "job", j.Spec.ID, "error", err)
		return
	}
	live, ended := storage.LiveJobKey(j.Spec.ID), storage.EndedJobKey(j.Spec.ID)
	txn := protocol.Txn{
		If:   []protocol.Compare{s.writes.termUnchanged(), {Key: live, Revision: j.LiveRevision}},
		Then: []protocol.Op{{DeleteKey: live}, {PutKey: ended, Value: value}},
	}
	var deletion placementrecords.Deletion
	if len(j.Placements) == 0 {
		deletion = placementrecords.AppendDeletion(&txn, j, s.recordLimits.MaxOperations())
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		j.Ending = false
		if outcome.Malformed {
			s.shrinkTransactions(&txn)
			s.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { s.completeJob(j) })
			return
		}
		s.applyCompletion(now, j, deletion, outcome)
	}
	priority := PriorityCompletion
	if s.dependencies.HasDependents(j.Spec.ID) {
		priority = PriorityUnblock
	}
	s.submit(Write{ID: id, Txn: txn, Priority: priority, VerifyKey: ended, VerifyName: name}, onOutcome)
}

// applyCompletion applies the outcome of the transaction that records the end of a job.
func (s *Scheduler) applyCompletion(
	now time.Duration,
	j *jobstate.Job,
	deletion placementrecords.Deletion,
	outcome TransactionOutcome,
) {
	if !outcome.Succeeded && !s.endedConcurrently(j, outcome) {
		return
	}
	if outcome.Succeeded {
		deletion.Commit(s.machines.MarkOutcomeRecorded)
		s.dependencyEnded(now, j.Spec.ID, dependency.Done)
	}
	s.log.Debug(
		"job done",
		"job", j.Spec.ID,
		"class", j.Spec.Class,
		"task_count", j.TaskCount(),
		"duration", now-j.WaitingSince,
	)
	s.endJob(now, j)
}

// endedConcurrently reports whether a write failed because the job has ended concurrently. If the write failed for
// another reason, either another controller leads or the state of this leader is wrong. This leader then steps down,
// and a new term reads all records again.
func (s *Scheduler) endedConcurrently(j *jobstate.Job, outcome TransactionOutcome) bool {
	if slices.Contains(outcome.FailedKeys, storage.TermKey) {
		s.emit(StepDown{Reason: "the term has changed"})
		return false
	}
	if slices.Contains(outcome.FailedKeys, storage.LiveJobKey(j.Spec.ID)) {
		return true
	}
	s.stepDownAfter(outcome)
	return false
}

// cleanUpEndedJob deletes the pages of an ended job once it has no placements left, and then removes the job.
func (s *Scheduler) cleanUpEndedJob(j *jobstate.Job) {
	if !j.Ended || j.WriteInFlight || len(j.Placements) > 0 || s.writes.paused {
		return
	}
	placementrecords.RemoveUnstoredPages(j, s.machines.MarkOutcomeRecorded)
	txn := protocol.Txn{If: []protocol.Compare{s.writes.termUnchanged()}}
	deletion := placementrecords.AppendDeletion(&txn, j, s.recordLimits.MaxOperations())
	if len(txn.Then) == 0 {
		delete(s.jobs, j.Spec.ID)
		s.zoneFailover.ForgetJob(j.Spec.ID)
		s.queues.Remove(j)
		return
	}
	j.WriteInFlight = true
	id, _ := s.writes.nextID()
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		j.WriteInFlight = false
		if outcome.Malformed {
			s.shrinkTransactions(&txn)
			s.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { s.cleanUpEndedJob(j) })
			return
		}
		if !outcome.Succeeded {
			s.stepDownAfter(outcome)
			return
		}
		deletion.Commit(s.machines.MarkOutcomeRecorded)
		s.cleanUpEndedJob(j)
	}
	s.submit(Write{ID: id, Txn: txn, Priority: PriorityMaintenance, VerifyKey: txn.Then[0].DeleteKey}, onOutcome)
}

// allowRecordedStarts allows recorded placements to start. The placements of a gang may start only after all of them
// are recorded.
func (s *Scheduler) allowRecordedStarts(j *jobstate.Job) {
	unrecorded := j.UnrecordedStarts()
	if j.Spec.Shape == protocol.Gang && len(unrecorded) > 0 {
		return
	}
	for _, pl := range j.Unstarted {
		if pl.Recorded && !pl.Terminated {
			s.machines.AllowStart(pl)
		}
	}
	j.Unstarted = unrecorded
	s.cycle.due = s.cycle.due || j.PendingTasks() > 0
}

// cancelUnstarted stops the placements of a job that have not been allowed to start.
func (s *Scheduler) cancelUnstarted(now time.Duration, j *jobstate.Job) {
	unstarted := j.Unstarted
	j.Unstarted = nil
	for _, pl := range unstarted {
		if !pl.StartAllowed {
			s.stopPlacement(now, j, pl, 0)
		}
	}
}
