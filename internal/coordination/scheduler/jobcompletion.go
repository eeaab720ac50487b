package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// completeJob records that all tasks are done. The job's end moves it from its
// live key to its final one; pages without placements go with it.
func (c *Core) completeJob(now time.Duration, j *job) {
	if j.finishing || j.over {
		return
	}
	if j.writeInFlight || c.writesPaused {
		return // the outcome of that write, or the end of the pause, comes back here
	}
	j.finishing = true
	id, name := c.nextWriteID()
	value, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: len(j.tasks), WriteName: name})
	if err != nil {
		c.log.Error("ended record", "err", err)
		return
	}
	t := protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}, {Key: storage.LiveJobKey(j.spec.ID), Revision: j.stamp}},
		Then: []protocol.Op{{DeleteKey: storage.LiveJobKey(j.spec.ID)}, {PutKey: storage.EndedJobKey(j.spec.ID), Value: value}},
	}
	var dropped pageDeletions
	if len(j.places) == 0 {
		dropped = c.addPageDeletions(j, &t)
	}
	c.writesInFlight[id] = func(now time.Duration, w Written) {
		j.finishing = false
		if w.Refused {
			c.shrinkTransactions(&t)
			c.callAt(now+rejectedRetryDelay, func(now time.Duration) { c.completeJob(now, j) })
			return
		}
		if !w.OK && !c.endedMeanwhile(now, j, w) {
			return
		}
		if w.OK {
			c.pagesDeleted(j, dropped)
			c.needEnded(now, j.spec.ID, dependency.Done)
		}
		c.log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks), "took", now-j.known)
		c.end(now, j)
	}
	purpose := Ends
	if c.graph.Needed(j.spec.ID) {
		purpose = Frees
	}
	c.emit(Write{ID: id, Txn: t, For: purpose, Verify: storage.EndedJobKey(j.spec.ID), Name: name})
}

// rejectedRetryDelay is the time after which a write is tried again that was refused for its form.
const rejectedRetryDelay = 10 * Cycle

func (c *Core) nextWriteID() (uint64, string) {
	c.lastWriteID++
	return c.lastWriteID, fmt.Sprintf("%d.%d", c.term, c.lastWriteID)
}

func (c *Core) forgetExits(p *placementPage) {
	for _, pl := range p.unrecordedExits {
		c.machines.MarkOutcomeRecorded(pl)
	}
	p.unrecordedExits = nil
}

// endedMeanwhile says whether a write failed because the job is over. Any other
// reason means that somebody else leads or that the books are wrong; either
// way a new term, which reads everything afresh, is the safe answer.
func (c *Core) endedMeanwhile(now time.Duration, j *job, w Written) bool {
	for _, k := range w.Failed {
		if k == storage.TermKey {
			c.emit(Depose{Reason: "the term has changed"})
			return false
		}
	}
	for _, k := range w.Failed {
		if k == storage.LiveJobKey(j.spec.ID) {
			return true
		}
	}
	c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
	return false
}

// cleanUpEndedJob removes the pages of a job that is over, once nothing of it is left.
func (c *Core) cleanUpEndedJob(now time.Duration, j *job) {
	if !j.over || j.writeInFlight || len(j.places) > 0 || c.writesPaused {
		return
	}
	if len(j.supersededPages) == 0 {
		for n, p := range j.pages {
			if p.revision == 0 {
				c.forgetExits(p)
				delete(j.pages, n)
			}
		}
	}
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}}}
	dropped := c.addPageDeletions(j, &t)
	if len(t.Then) == 0 {
		delete(c.jobs, j.spec.ID)
		c.queues.remove(j)
		return
	}
	j.writeInFlight = true
	id, _ := c.nextWriteID()
	c.writesInFlight[id] = func(now time.Duration, w Written) {
		j.writeInFlight = false
		if w.Refused {
			c.shrinkTransactions(&t)
			c.callAt(now+rejectedRetryDelay, func(now time.Duration) { c.cleanUpEndedJob(now, j) })
			return
		}
		if !w.OK {
			c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
			return
		}
		c.pagesDeleted(j, dropped)
		c.cleanUpEndedJob(now, j)
	}
	c.emit(Write{ID: id, Txn: t, For: Upkeep, Verify: t.Then[0].DeleteKey})
}

// startRecorded lets recorded placements go; a gang's only when all are recorded.
func (c *Core) startRecorded(j *job) {
	var rest []*partition.Placement
	for _, pl := range j.unstarted {
		if !pl.Recorded {
			rest = append(rest, pl)
		}
	}
	if j.spec.Shape == protocol.Gang && len(rest) > 0 {
		return
	}
	for _, pl := range j.unstarted {
		if pl.Recorded && !pl.Terminated {
			c.machines.AllowStart(pl)
		}
	}
	j.unstarted = rest
	c.due = c.due || j.counts[pending] > 0
}

func (c *Core) cancelUnstarted(now time.Duration, j *job) {
	granted := j.unstarted
	j.unstarted = nil
	for _, pl := range granted {
		if !pl.StartAllowed {
			c.stop(now, j, pl, 0)
		}
	}
}
