package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Bounds of the records of starts and ends that are on their way to the state service.
const (
	// startWriteWindow is for how long the state service's writes may be promised to records of starts
	// before they are sent: what comes up meanwhile and is more urgent goes first. A job that waits
	// longer gathers more starts in its record.
	startWriteWindow = CycleInterval / 8
	// completionDelay is for how long ends of a job are gathered before they are written.
	completionDelay = CycleInterval / 2
	// maxRecordAttempts is how often a job's record is tried alone, although its page is not what the books
	// say, until the books count as wrong, and recordBackoff the pause before the first of them.
	maxRecordAttempts = 4
	recordBackoff     = CycleInterval / 8
)

// jobWrite is what one job writes in a transaction that several may share.
type jobWrite struct {
	job          *jobstate.Job
	pages        []int
	size         int                          // of its records, about, as the limits count them
	coveredExits map[int]int                  // of a page, how many of its exits the record no longer counts on
	starting     []*machineregistry.Placement // whose start waits for this record
	replaces     []placementpages.Superseded  // stored pages that count for no task once this is written
	compares     []protocol.Compare
	ops          []protocol.Op
}

// pagesPerTransaction is how many full pages one transaction takes.
func (c *Scheduler) pagesPerTransaction() int {
	return max(1, min(c.stateLimits.TxnOps, int(maxTransactionBytes/(c.stateLimits.ValueKB*1024))))
}

// maxTransactionBytes is how much one transaction may hold, with room left for what goes around it.
const maxTransactionBytes = protocol.MaxBodyBytes * 3 / 4

// maxStartPages is how many pages that starts wait for may be on their way at a time, and maxCompletionPages how
// many with nothing but ends: as many as the state service takes in half the time for which ends are
// gathered. More would only wait there, and more urgent ones behind them.
func (c *Scheduler) maxStartPages() int { return c.pagesWithin(startWriteWindow) }

func (c *Scheduler) maxCompletionPages() int { return c.pagesWithin(completionDelay / 2) }

func (c *Scheduler) pagesWithin(d time.Duration) int {
	return max(c.pagesPerTransaction(), int(c.stateLimits.WriteRPS*storage.PlacementShare*d.Seconds()))
}

// recordStarts writes the records that starts wait for, in their order, as far as the state service
// takes them: several jobs' in one transaction.
func (c *Scheduler) recordStarts(now time.Duration) {
	for !c.writesPaused && c.pagesInFlight[PriorityStart] < c.maxStartPages() {
		batch := c.nextStartBatch(now, c.maxStartPages()-c.pagesInFlight[PriorityStart])
		if len(batch) == 0 {
			return
		}
		c.writeBatch(PriorityStart, batch)
	}
}

// nextStartBatch takes jobs off the queue of starts for one transaction of up to so many pages.
func (c *Scheduler) nextStartBatch(now time.Duration, pages int) (batch []*jobWrite) {
	pages, bytes := min(pages, c.stateLimits.TxnOps), maxTransactionBytes
	stated := c.failoverOrder()
	for pages > 0 {
		j := c.queues.Starts.Next(now, stated)
		if j == nil || len(batch) > 0 && j.RecordAttempts > 0 {
			return batch // what has failed is tried alone
		}
		p := c.newJobWrite(j, pages)
		if len(batch) > 0 && (p.size > bytes || !p.coversAllStarts() || p.operations() > pages) {
			return batch // it goes with the next
		}
		c.queues.Starts.Dequeue(j)
		batch = append(batch, p)
		pages, bytes = pages-p.operations(), bytes-p.size
		if j.RecordAttempts > 0 {
			return batch
		}
	}
	return batch
}

// failoverOrder lists the jobs whose records wait in the order of return while that is in force; nil
// stands for the usual order.
func (c *Scheduler) failoverOrder() []*jobstate.Job {
	if !c.zoneFailover.IsOrderInEffect() {
		return nil
	}
	jobs := c.queues.Starts.ByTurn.Items()
	c.sortForRecovery(jobs)
	return jobs
}

// recordCompletions writes what has ended of jobs, those first that have waited for longest, as far as
// the state service takes it.
func (c *Scheduler) recordCompletions(now time.Duration) {
	for !c.writesPaused && c.pagesInFlight[PriorityCompletion] < c.maxCompletionPages() {
		j := c.queues.NextCompletion(now - completionDelay)
		if j == nil {
			return
		}
		if now < j.RecordNotBefore {
			c.callAt(j.RecordNotBefore, func(now time.Duration) { j.QueueCompletion(now) })
			continue
		}
		c.writeBatch(PriorityCompletion, []*jobWrite{c.newJobWrite(j, c.pagesPerTransaction())})
	}
}

// newJobWrite returns what a job writes, up to so many pages, those first for which starts wait, and no
// more than one transaction takes.
func (c *Scheduler) newJobWrite(j *jobstate.Job, most int) *jobWrite {
	c.narrowToFit(j)
	p := &jobWrite{job: j}
	for _, n := range j.PagesToWrite(most) {
		bytes := j.EstimatedPageBytes(n)
		if len(p.pages) > 0 && p.size+bytes > maxTransactionBytes {
			break
		}
		p.pages = append(p.pages, n)
		p.size += bytes
	}
	for _, pl := range j.Unstarted {
		if slices.Contains(p.pages, j.Pages.NumberOf(pl.Task.Index)) {
			p.starting = append(p.starting, pl)
		}
	}
	for _, old := range j.Pages.Superseded() {
		if p.operations() < most && j.Pages.FullyReplaced(old, p.pages) {
			p.replaces = append(p.replaces, old)
		}
	}
	return p
}

// operations is how many operations the part takes.
func (p *jobWrite) operations() int { return len(p.pages) + len(p.replaces) }

// coversAllStarts says whether the part has all that its job's starts wait for.
func (p *jobWrite) coversAllStarts() bool { return len(p.starting) == len(p.job.Unstarted) }

// encode makes the part's conditions and operations, for a transaction of the given name.
func (p *jobWrite) encode(name string) error {
	j := p.job
	p.coveredExits = map[int]int{}
	p.ops = nil
	p.compares = []protocol.Compare{{Key: storage.LiveJobKey(j.Spec.ID), Revision: j.LiveRevision}}
	for _, n := range p.pages {
		value, err := j.EncodePage(n, name)
		if err != nil {
			return err
		}
		page, key := j.Pages.Page(n), j.Pages.ID(n).Key()
		p.coveredExits[n] = len(page.UnrecordedExits)
		p.compares = append(p.compares, protocol.Compare{Key: key, Revision: page.Revision})
		p.ops = append(p.ops, protocol.Op{PutKey: key, Value: value})
	}
	for _, old := range p.replaces {
		p.compares = append(p.compares, protocol.Compare{Key: old.ID.Key(), Revision: old.Revision})
		p.ops = append(p.ops, protocol.Op{DeleteKey: old.ID.Key()})
	}
	return nil
}

// writeBatch writes parts in one transaction.
func (c *Scheduler) writeBatch(purpose WritePriority, parts []*jobWrite) {
	id, name := c.nextWriteID()
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termRevision}}}
	for _, p := range parts {
		if err := p.encode(name); err != nil {
			c.emit(StepDown{Reason: err.Error()}) // the books hold what no record can
			return
		}
		t.If = append(t.If, p.compares...)
		t.Then = append(t.Then, p.ops...)
	}
	for _, p := range parts {
		p.job.WriteInFlight = true
		for _, n := range p.pages {
			p.job.Pages.Page(n).Dirty = false
		}
	}
	c.pagesInFlight[purpose] += len(t.Then)
	c.writesInFlight[id] = func(now time.Duration, w TransactionOutcome) {
		c.pagesInFlight[purpose] -= len(t.Then)
		c.batchWritten(now, &t, parts, w)
		if purpose == PriorityCompletion {
			c.recordCompletions(now)
		} else {
			c.recordStarts(now)
		}
	}
	c.emit(
		Write{ID: id, Txn: t, Priority: purpose, VerifyKey: t.Then[0].PutKey, Name: name, Splittable: len(parts) > 1},
	)
}

// batchWritten takes in the outcome of a transaction. A failed condition of one job concerns that job
// alone: the others are written again at once, in another transaction. The one that failed can't have
// been carried out and never will be, as its conditions hold no longer.
func (c *Scheduler) batchWritten(now time.Duration, t *protocol.Txn, parts []*jobWrite, w TransactionOutcome) {
	for _, p := range parts {
		p.job.WriteInFlight = false
	}
	if !w.Succeeded && !w.Malformed && (len(w.FailedKeys) == 0 || slices.Contains(w.FailedKeys, storage.TermKey)) {
		// Somebody else leads, or the books are wrong: a new term reads everything afresh.
		c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", w.FailedKeys)})
		return
	}
	for _, p := range parts {
		switch {
		case w.Succeeded:
			c.jobWriteSucceeded(now, p, w.Revision)
		case w.Malformed && len(parts) > 1:
			c.retryAlone(now, p) // one of them is out of form, and only alone it shows which
		case w.Malformed:
			c.jobWriteRejected(now, t, p)
		default:
			c.jobWriteFailed(now, p, w.FailedKeys)
		}
	}
	c.sendUrgentCommands(now) // a machine's starts go out together
}

// jobWriteFailed takes in that a transaction failed of which this was a part.
func (c *Scheduler) jobWriteFailed(now time.Duration, p *jobWrite, failed []string) {
	j := p.job
	stale := slices.ContainsFunc(
		p.compares,
		func(cond protocol.Compare) bool { return slices.Contains(failed, cond.Key) },
	)
	switch {
	case slices.Contains(failed, storage.LiveJobKey(j.Spec.ID)):
		c.cancelUnstarted(now, j)
		c.endJob(now, j)
	case !stale:
		c.requeue(now, p)
	case j.RecordAttempts >= maxRecordAttempts:
		c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", failed)})
	default:
		c.log.Info("record is not what the books say", "job", j.Spec.ID, "tries", j.RecordAttempts)
		j.RecordNotBefore = now + recordBackoff<<j.RecordAttempts
		j.RecordAttempts++
		c.requeue(now, p)
	}
}

// jobWriteRejected takes in that a part alone was refused for its form: fewer of its pages are written at a time, and
// then they are cut narrower, as far as that goes. Else it is tried again after a pause, in which others have their
// turn.
func (c *Scheduler) jobWriteRejected(now time.Duration, t *protocol.Txn, p *jobWrite) {
	j := p.job
	c.requeue(now, p)
	j.RecordNotBefore = now + rejectedRetryDelay
	if c.shrinkTransactions(t) {
		j.RecordNotBefore = now // it is written with fewer pages at a time
		return
	}
	if j.Pages.CanNarrow() && !j.Ended {
		j.Pages.Narrow()
		j.RecordNotBefore = now
	}
	c.log.Error("record refused", "job", j.Spec.ID, "pages", len(p.pages), "width now", j.Pages.Layout().TasksPerPage)
}

// retryAlone has a job's record tried alone from now on, until it succeeds.
func (c *Scheduler) retryAlone(now time.Duration, p *jobWrite) {
	p.job.RecordAttempts = max(p.job.RecordAttempts, 1)
	c.requeue(now, p)
}

// requeue has a part written again.
func (c *Scheduler) requeue(now time.Duration, p *jobWrite) {
	j := p.job
	for _, n := range p.pages {
		j.Pages.Page(n).Dirty = true
	}
	if j.Ended {
		c.cancelUnstarted(now, j)
		c.stopJobTasks(now, j)
		return
	}
	c.queues.Starts.Requeue(j)
	j.QueueCompletion(now)
}

// jobWriteSucceeded takes in that a part is written.
func (c *Scheduler) jobWriteSucceeded(now time.Duration, p *jobWrite, rev uint64) {
	j := p.job
	j.RecordAttempts, j.RecordNotBefore = 0, 0
	for _, n := range p.pages {
		page := j.Pages.Page(n)
		page.Revision = rev
		for _, pl := range page.UnrecordedExits[:p.coveredExits[n]] {
			c.machines.MarkOutcomeRecorded(pl)
		}
		page.UnrecordedExits = page.UnrecordedExits[p.coveredExits[n]:]
	}
	for _, old := range p.replaces {
		j.Pages.RemoveSuperseded(old)
	}
	if j.Ended {
		c.cancelUnstarted(now, j)
		c.stopJobTasks(now, j)
		return
	}
	for _, pl := range p.starting {
		pl.Recorded = true
	}
	c.startRecorded(j)
	switch {
	case j.AllTasksDone():
		c.completeJob(now, j)
	case len(j.Unstarted) > 0:
		c.queues.Starts.Add(j)
	default:
		j.QueueCompletion(now)
	}
}
