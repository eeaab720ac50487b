package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// cancelledDependents is the queue of the jobs that were cancelled with a dependency and whose ends have to be
// recorded. They count as cancelled without a record, since every controller derives that from the dependency. The
// record saves that work.
type cancelledDependents struct{ jobs []*jobstate.Job }

func (q *cancelledDependents) empty() bool { return len(q.jobs) == 0 }

func (q *cancelledDependents) add(jobs ...*jobstate.Job) { q.jobs = append(q.jobs, jobs...) }

// next removes and returns the next job. The queue must not be empty.
func (q *cancelledDependents) next() *jobstate.Job {
	j := q.jobs[0]
	q.jobs[0] = nil
	q.jobs = q.jobs[1:]
	return j
}

// writeCancelledDependents records the ends of cancelled dependents, as far as the state service has room for them.
func (c *Scheduler) writeCancelledDependents() {
	for !c.cancelledDependents.empty() && c.mayWriteCompletions() {
		id, name := c.writes.nextID()
		t, jobs := c.nextCancellations(name)
		if len(jobs) == 0 {
			return
		}
		c.writeCancellations(id, name, t, jobs)
	}
}

// nextCancellations returns a transaction that records the ends of the next cancelled dependents, and those jobs.
func (c *Scheduler) nextCancellations(name string) (t protocol.Txn, jobs []*jobstate.Job) {
	t.If = []protocol.Compare{c.writes.termUnchanged()}
	maxOperations := max(placementrecords.MinOperations, c.recordLimits.MaxOperations())
	for !c.cancelledDependents.empty() && len(t.Then)+placementrecords.MinOperations <= maxOperations {
		j := c.cancelledDependents.next()
		if j.Ended || j.WriteInFlight || j.Ending {
			continue // it has ended otherwise, or is about to
		}
		value, err := protocol.Encode(storage.EndedJobRecord{
			State:               protocol.JobCancelled,
			WriteName:           name,
			CancelledDependency: c.dependencies.CancelledBy(j.Spec.ID),
		})
		if err != nil {
			c.log.Error("failed to encode ended job record", "job", j.Spec.ID, "error", err)
			continue
		}
		live, ended := storage.LiveJobKey(j.Spec.ID), storage.EndedJobKey(j.Spec.ID)
		t.If = append(t.If, protocol.Compare{Key: live, Revision: j.LiveRevision}, protocol.Compare{Key: ended})
		t.Then = append(t.Then, protocol.Op{DeleteKey: live}, protocol.Op{PutKey: ended, Value: value})
		jobs = append(jobs, j)
	}
	return t, jobs
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
			c.delayedCalls.add(now+rejectedRetryDelay, func(time.Duration) { c.cancelledDependents.add(jobs...) })
			return
		case !c.handleEndedElsewhere(now, jobs, w):
			return
		default:
			// Some have ended meanwhile. The others are written again.
			c.cancelledDependents.add(jobs...)
		}
		c.writeCancelledDependents()
	}
	write := Write{ID: id, Txn: t, Priority: PriorityCompletion, VerifyKey: t.Then[1].PutKey, Name: name}
	c.submitPages(write, onOutcome)
}

// handleEndedElsewhere ends the jobs whose records another transaction has changed, and so made the leader's fail. It
// returns false if that was not the reason, and the leader has stepped down.
func (c *Scheduler) handleEndedElsewhere(now time.Duration, jobs []*jobstate.Job, w TransactionOutcome) bool {
	ended := false
	for _, j := range jobs {
		if slices.Contains(w.FailedKeys, storage.LiveJobKey(j.Spec.ID)) ||
			slices.Contains(w.FailedKeys, storage.EndedJobKey(j.Spec.ID)) {
			c.endJob(now, j)
			ended = true
		}
	}
	return ended || c.endedMeanwhile(jobs[0], w)
}
