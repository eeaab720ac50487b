package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Bounds of the records of starts and ends that are on their way to the state service.
const (
	// startsAhead is for how long the state service's writes may be promised to records of starts
	// before they are sent: what comes up meanwhile and is more urgent goes first. A job that waits
	// longer gathers more starts in its record.
	startsAhead = Cycle / 8
	// settleDelay is for how long ends of a job are gathered before they are written.
	settleDelay = Cycle / 2
	// recordTries is how often a job's record is tried alone, although its page is not what the books
	// say, until the books count as wrong, and recordBackoff the pause before the first of them.
	recordTries   = 4
	recordBackoff = Cycle / 8
)

// part is what one job writes in a transaction that several may share.
type part struct {
	job      *job
	pages    []int
	bytes    int                    // of its records, about, as the limits count them
	exits    map[int]int            // of a page, how many of its exits the record no longer counts on
	included []*partition.Placement // whose start waits for this record
	replaces []superseded           // stored pages that count for no task once this is written
	conds    []protocol.Compare
	ops      []protocol.Op
}

// pagesPerTransaction is how many full pages one transaction takes.
func (c *Core) pagesPerTransaction() int {
	return max(1, min(c.stateLimits.TxnOps, int(transactionBytes/(c.stateLimits.ValueKB*1024))))
}

// transactionBytes is how much one transaction may hold, with room left for what goes around it.
const transactionBytes = protocol.MaxBodyBytes * 3 / 4

// startPages is how many pages that starts wait for may be on their way at a time, and settlePages how
// many with nothing but ends: as many as the state service takes in half the time for which ends are
// gathered. More would only wait there, and more urgent ones behind them.
func (c *Core) startPages() int { return c.pagesWithin(startsAhead) }

func (c *Core) settlePages() int { return c.pagesWithin(settleDelay / 2) }

func (c *Core) pagesWithin(d time.Duration) int {
	return max(c.pagesPerTransaction(), int(c.stateLimits.WriteRPS*storage.DecideShare*d.Seconds()))
}

// recordStarts writes the records that starts wait for, in their order, as far as the state service
// takes them: several jobs' in one transaction.
func (c *Core) recordStarts(now time.Duration) {
	for !c.paused && c.underWay[Starts] < c.startPages() {
		batch := c.nextBatch(now, c.startPages()-c.underWay[Starts])
		if len(batch) == 0 {
			return
		}
		c.writeParts(Starts, batch)
	}
}

// nextBatch takes jobs off the queue of starts for one transaction of up to so many pages.
func (c *Core) nextBatch(now time.Duration, pages int) (batch []*part) {
	pages, bytes := min(pages, c.stateLimits.TxnOps), transactionBytes
	stated := c.statedOrder()
	for pages > 0 {
		j := c.queues.starts.next(now, stated)
		if j == nil || len(batch) > 0 && j.recordTries > 0 {
			return batch // what has failed is tried alone
		}
		p := c.newPart(j, pages)
		if len(batch) > 0 && (p.bytes > bytes || !p.whole() || p.operations() > pages) {
			return batch // it goes with the next
		}
		c.queues.starts.take(j)
		batch = append(batch, p)
		pages, bytes = pages-p.operations(), bytes-p.bytes
		if j.recordTries > 0 {
			return batch
		}
	}
	return batch
}

// statedOrder lists the jobs whose records wait in the order of return while that is in force; nil
// stands for the usual order.
func (c *Core) statedOrder() []*job {
	if !c.orderInForce() {
		return nil
	}
	jobs := c.queues.starts.byTurn.Items()
	c.sortForReturn(jobs)
	return jobs
}

// settleEnded writes what has ended of jobs, those first that have waited for longest, as far as
// the state service takes it.
func (c *Core) settleEnded(now time.Duration) {
	for !c.paused && c.underWay[Ends] < c.settlePages() {
		j := c.queues.nextEnded(now - settleDelay)
		if j == nil {
			return
		}
		if now < j.recordAfter {
			c.after(j.recordAfter, func(now time.Duration) { j.queues.addEnded(now, j) })
			continue
		}
		c.writeParts(Ends, []*part{c.newPart(j, c.pagesPerTransaction())})
	}
}

// newPart returns what a job writes, up to so many pages, those first for which starts wait, and no
// more than one transaction takes.
func (c *Core) newPart(j *job, most int) *part {
	c.cutToSize(j)
	p := &part{job: j}
	for _, n := range j.pagesToWrite(most) {
		bytes := j.pageBytes(n)
		if len(p.pages) > 0 && p.bytes+bytes > transactionBytes {
			break
		}
		p.pages = append(p.pages, n)
		p.bytes += bytes
	}
	for _, pl := range j.granted {
		if slices.Contains(p.pages, pl.Task.Index/j.layout.Width) {
			p.included = append(p.included, pl)
		}
	}
	for _, old := range j.superseded {
		if p.operations() < most && j.replaced(old, p.pages) {
			p.replaces = append(p.replaces, old)
		}
	}
	return p
}

// operations is how many operations the part takes.
func (p *part) operations() int { return len(p.pages) + len(p.replaces) }

// whole says whether the part has all that its job's starts wait for.
func (p *part) whole() bool { return len(p.included) == len(p.job.granted) }

// encode makes the part's conditions and operations, for a transaction of the given name.
func (p *part) encode(name string) error {
	j := p.job
	p.exits = map[int]int{}
	p.ops = nil
	p.conds = []protocol.Compare{{Key: storage.LiveKey(j.spec.ID), Revision: j.stamp}}
	for _, n := range p.pages {
		value, err := j.encodePage(n, name)
		if err != nil {
			return err
		}
		page, key := j.page(n), j.pageName(n).Key()
		p.exits[n] = len(page.exits)
		p.conds = append(p.conds, protocol.Compare{Key: key, Revision: page.stamp})
		p.ops = append(p.ops, protocol.Op{PutKey: key, Value: value})
	}
	for _, old := range p.replaces {
		p.conds = append(p.conds, protocol.Compare{Key: old.name.Key(), Revision: old.stamp})
		p.ops = append(p.ops, protocol.Op{DeleteKey: old.name.Key()})
	}
	return nil
}

// writeParts writes parts in one transaction.
func (c *Core) writeParts(purpose Purpose, parts []*part) {
	id, name := c.name()
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}}}
	for _, p := range parts {
		if err := p.encode(name); err != nil {
			c.emit(Depose{Reason: err.Error()}) // the books hold what no record can
			return
		}
		t.If = append(t.If, p.conds...)
		t.Then = append(t.Then, p.ops...)
	}
	for _, p := range parts {
		p.job.writing = true
		for _, n := range p.pages {
			p.job.page(n).dirty = false
		}
	}
	c.underWay[purpose] += len(t.Then)
	c.writes[id] = func(now time.Duration, w Written) {
		c.underWay[purpose] -= len(t.Then)
		c.partsWritten(now, &t, parts, w)
		if purpose == Ends {
			c.settleEnded(now)
		} else {
			c.recordStarts(now)
		}
	}
	c.emit(Write{ID: id, Txn: t, For: purpose, Verify: t.Then[0].PutKey, Name: name, Shared: len(parts) > 1})
}

// partsWritten takes in the outcome of a transaction. A failed condition of one job concerns that job
// alone: the others are written again at once, in another transaction. The one that failed can't have
// been carried out and never will be, as its conditions hold no longer.
func (c *Core) partsWritten(now time.Duration, t *protocol.Txn, parts []*part, w Written) {
	for _, p := range parts {
		p.job.writing = false
	}
	if !w.OK && !w.Refused && (len(w.Failed) == 0 || slices.Contains(w.Failed, storage.TermKey)) {
		// Somebody else leads, or the books are wrong: a new term reads everything afresh.
		c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
		return
	}
	for _, p := range parts {
		switch {
		case w.OK:
			c.recorded(now, p, w.Rev)
		case w.Refused && len(parts) > 1:
			c.recordAlone(now, p) // one of them is out of form, and only alone it shows which
		case w.Refused:
			c.partRefused(now, t, p)
		default:
			c.partFailed(now, p, w.Failed)
		}
	}
	c.send(now) // a machine's starts go out together
}

// partFailed takes in that a transaction failed of which this was a part.
func (c *Core) partFailed(now time.Duration, p *part, failed []string) {
	j := p.job
	stale := slices.ContainsFunc(p.conds, func(cond protocol.Compare) bool { return slices.Contains(failed, cond.Key) })
	switch {
	case slices.Contains(failed, storage.LiveKey(j.spec.ID)):
		c.refuseGranted(now, j)
		c.end(now, j)
	case !stale:
		c.putBack(now, p)
	case j.recordTries >= recordTries:
		c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", failed)})
	default:
		c.log.Info("record is not what the books say", "job", j.spec.ID, "tries", j.recordTries)
		j.recordAfter = now + recordBackoff<<j.recordTries
		j.recordTries++
		c.putBack(now, p)
	}
}

// partRefused takes in that a part alone was refused for its form: fewer of its pages are written at a time, and then
// they are cut narrower, as far as that goes. Else it is tried again after a pause, in which others have their turn.
func (c *Core) partRefused(now time.Duration, t *protocol.Txn, p *part) {
	j := p.job
	c.putBack(now, p)
	j.recordAfter = now + refusedPause
	if c.refused(t) {
		j.recordAfter = now // it is written with fewer pages at a time
		return
	}
	if j.layout.Compact && j.layout.Width > 1 && !j.over {
		j.relayout(storage.Layout{Width: (j.layout.Width + 1) / 2, Compact: true})
		j.recordAfter = now
	}
	c.log.Error("record refused", "job", j.spec.ID, "pages", len(p.pages), "width now", j.layout.Width)
}

// recordAlone has a job's record tried alone from now on, until it succeeds.
func (c *Core) recordAlone(now time.Duration, p *part) {
	p.job.recordTries = max(p.job.recordTries, 1)
	c.putBack(now, p)
}

// putBack has a part written again.
func (c *Core) putBack(now time.Duration, p *part) {
	j := p.job
	for _, n := range p.pages {
		j.page(n).dirty = true
	}
	if j.over {
		c.refuseGranted(now, j)
		c.stopJob(now, j)
		return
	}
	c.queues.starts.putBack(j)
	j.queues.addEnded(now, j)
}

// recorded takes in that a part is written.
func (c *Core) recorded(now time.Duration, p *part, rev uint64) {
	j := p.job
	j.recordTries, j.recordAfter = 0, 0
	for _, n := range p.pages {
		page := j.page(n)
		page.stamp = rev
		for _, pl := range page.exits[:p.exits[n]] {
			c.machines.MarkOutcomeRecorded(pl)
		}
		page.exits = page.exits[p.exits[n]:]
	}
	for _, old := range p.replaces {
		j.superseded = slices.DeleteFunc(j.superseded, func(s superseded) bool { return s == old })
	}
	if j.over {
		c.refuseGranted(now, j)
		c.stopJob(now, j)
		return
	}
	for _, pl := range p.included {
		pl.Recorded = true
	}
	c.start(j)
	switch {
	case j.counts[done] == len(j.tasks):
		c.finish(now, j)
	case len(j.granted) > 0:
		c.queues.starts.add(j)
	default:
		c.queues.addEnded(now, j)
	}
}
