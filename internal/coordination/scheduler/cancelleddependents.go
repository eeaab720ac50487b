package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// cancelledDependents is the queue of jobs that were cancelled together with a dependency and whose ends have yet to be
// recorded. They count as cancelled even without a record, because every controller derives their cancellation from the
// dependency. The record saves controllers that derivation.
type cancelledDependents struct{ jobs []*jobstate.Job }

func (q *cancelledDependents) empty() bool { return len(q.jobs) == 0 }

func (q *cancelledDependents) add(jobs ...*jobstate.Job) { q.jobs = append(q.jobs, jobs...) }

// next removes and returns the first job. The queue must not be empty.
func (q *cancelledDependents) next() *jobstate.Job {
	j := q.jobs[0]
	q.jobs[0] = nil
	q.jobs = q.jobs[1:]
	return j
}

// writeCancelledDependents records the ends of cancelled dependents, as far as the key-value store has capacity for
// them.
func (s *Scheduler) writeCancelledDependents() {
	for !s.cancelledDependents.empty() && s.mayWriteCompletions() {
		id, name := s.writes.nextID()
		txn, jobs := s.nextCancellationBatch(name)
		if len(jobs) == 0 {
			return
		}
		s.writeCancellationBatch(id, name, txn, jobs)
	}
}

// nextCancellationBatch returns a transaction that records the ends of the next cancelled dependents, and the jobs that
// it covers.
func (s *Scheduler) nextCancellationBatch(name string) (txn protocol.Txn, jobs []*jobstate.Job) {
	txn.If = []protocol.Compare{s.writes.termUnchanged()}
	maxOperations := max(placementrecords.MinOperations, s.recordLimits.MaxOperations())
	for !s.cancelledDependents.empty() && len(txn.Then)+placementrecords.MinOperations <= maxOperations {
		j := s.cancelledDependents.next()
		if j.Ended || j.WriteInFlight || j.Ending {
			continue // it has ended for another reason or is about to
		}
		value, err := protocol.Encode(storage.EndedJobRecord{
			State:               protocol.JobCancelled,
			WriteName:           name,
			CancelledDependency: s.dependencies.CancelledBy(j.Spec.ID),
		})
		if err != nil {
			s.log.Error("failed to encode ended job record", "job", j.Spec.ID, "error", err)
			continue
		}
		live, ended := storage.LiveJobKey(j.Spec.ID), storage.EndedJobKey(j.Spec.ID)
		txn.If = append(txn.If, protocol.Compare{Key: live, Revision: j.LiveRevision}, protocol.Compare{Key: ended})
		txn.Then = append(txn.Then, protocol.Op{DeleteKey: live}, protocol.Op{PutKey: ended, Value: value})
		jobs = append(jobs, j)
	}
	return txn, jobs
}

// writeCancellationBatch records the ends of several jobs in one transaction.
func (s *Scheduler) writeCancellationBatch(id uint64, name string, txn protocol.Txn, jobs []*jobstate.Job) {
	for _, j := range jobs {
		j.Ending = true
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		for _, j := range jobs {
			j.Ending = false
		}
		switch {
		case outcome.Succeeded:
			for _, j := range jobs {
				s.log.Debug("job cancelled with dependency", "job", j.Spec.ID)
				s.dependencies.EndWithUnknownOutcome(j.Spec.ID)
				s.endJob(now, j)
			}
		case outcome.Malformed:
			s.shrinkTransactions(&txn)
			s.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { s.cancelledDependents.add(jobs...) })
			return
		case !s.handleConcurrentEnds(now, jobs, outcome):
			return
		default:
			// Some of the jobs have ended concurrently. The others are written again.
			s.cancelledDependents.add(jobs...)
		}
		s.writeCancelledDependents()
	}
	write := Write{ID: id, Txn: txn, Priority: PriorityCompletion, VerifyKey: txn.Then[1].PutKey, VerifyName: name}
	s.submitPages(write, onOutcome)
}

// handleConcurrentEnds ends the jobs whose records were changed by another transaction, which made the leader's
// transaction fail. It returns false if the transaction failed for another reason; the leader has then stepped down.
func (s *Scheduler) handleConcurrentEnds(now time.Duration, jobs []*jobstate.Job, outcome TransactionOutcome) bool {
	ended := false
	for _, j := range jobs {
		if slices.Contains(outcome.FailedKeys, storage.LiveJobKey(j.Spec.ID)) ||
			slices.Contains(outcome.FailedKeys, storage.EndedJobKey(j.Spec.ID)) {
			s.endJob(now, j)
			ended = true
		}
	}
	return ended || s.endedConcurrently(jobs[0], outcome)
}
