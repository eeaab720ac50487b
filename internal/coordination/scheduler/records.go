package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// finish records that all tasks are done. The job's end moves it from its
// live key to its final one; pages without placements go with it.
func (c *Core) finish(now time.Duration, j *job) {
	if j.finishing || j.over {
		return
	}
	if j.writing || c.paused {
		return // the outcome of that write, or the end of the pause, comes back here
	}
	j.finishing = true
	id, name := c.name()
	value, err := protocol.Encode(storage.EndedRecord{Standing: protocol.JobDone, Done: len(j.tasks), Write: name})
	if err != nil {
		c.log.Error("ended record", "err", err)
		return
	}
	t := protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}, {Key: storage.LiveKey(j.spec.ID), Revision: j.stamp}},
		Then: []protocol.Op{{DeleteKey: storage.LiveKey(j.spec.ID)}, {PutKey: storage.EndedKey(j.spec.ID), Value: value}},
	}
	var dropped pageDrops
	if len(j.places) == 0 {
		dropped = c.dropPages(j, &t)
	}
	c.writes[id] = func(now time.Duration, w Written) {
		j.finishing = false
		if w.Refused {
			c.refused(&t)
			c.after(now+refusedPause, func(now time.Duration) { c.finish(now, j) })
			return
		}
		if !w.OK && !c.overtaken(now, j, w) {
			return
		}
		if w.OK {
			c.pagesDropped(j, dropped)
			c.needEnded(now, j.spec.ID, dependency.Done)
		}
		c.log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks), "took", now-j.known)
		c.end(now, j)
	}
	purpose := Ends
	if c.graph.Needed(j.spec.ID) {
		purpose = Frees
	}
	c.emit(Write{ID: id, Txn: t, For: purpose, Verify: storage.EndedKey(j.spec.ID), Name: name})
}

// refusedPause is the time after which a write is tried again that was refused for its form.
const refusedPause = 10 * Cycle

func (c *Core) name() (uint64, string) {
	c.seq++
	return c.seq, fmt.Sprintf("%d.%d", c.term, c.seq)
}

func (c *Core) settle(p *page) {
	for _, pl := range p.exits {
		c.machines.MarkOutcomeRecorded(pl)
	}
	p.exits = nil
}

// overtaken says whether a write failed because the job is over. Any other
// reason means that somebody else leads or that the books are wrong; either
// way a new term, which reads everything afresh, is the safe answer.
func (c *Core) overtaken(now time.Duration, j *job, w Written) bool {
	for _, k := range w.Failed {
		if k == storage.TermKey {
			c.emit(Depose{Reason: "the term has changed"})
			return false
		}
	}
	for _, k := range w.Failed {
		if k == storage.LiveKey(j.spec.ID) {
			return true
		}
	}
	c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
	return false
}

// sweep removes the pages of a job that is over, once nothing of it is left.
func (c *Core) sweep(now time.Duration, j *job) {
	if !j.over || j.writing || len(j.places) > 0 || c.paused {
		return
	}
	if len(j.superseded) == 0 {
		for n, p := range j.pages {
			if p.stamp == 0 {
				c.settle(p)
				delete(j.pages, n)
			}
		}
	}
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}}}
	dropped := c.dropPages(j, &t)
	if len(t.Then) == 0 {
		delete(c.jobs, j.spec.ID)
		c.queues.remove(j)
		return
	}
	j.writing = true
	id, _ := c.name()
	c.writes[id] = func(now time.Duration, w Written) {
		j.writing = false
		if w.Refused {
			c.refused(&t)
			c.after(now+refusedPause, func(now time.Duration) { c.sweep(now, j) })
			return
		}
		if !w.OK {
			c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
			return
		}
		c.pagesDropped(j, dropped)
		c.sweep(now, j)
	}
	c.emit(Write{ID: id, Txn: t, For: Upkeep, Verify: t.Then[0].DeleteKey})
}

// start lets recorded placements go; a gang's only when all are recorded.
func (c *Core) start(j *job) {
	var rest []*partition.Placement
	for _, pl := range j.granted {
		if !pl.Recorded {
			rest = append(rest, pl)
		}
	}
	if j.spec.Shape == protocol.Gang && len(rest) > 0 {
		return
	}
	for _, pl := range j.granted {
		if pl.Recorded && !pl.Terminated {
			c.machines.AllowStart(pl)
		}
	}
	j.granted = rest
	c.due = c.due || j.counts[pending] > 0
}

func (c *Core) refuseGranted(now time.Duration, j *job) {
	granted := j.granted
	j.granted = nil
	for _, pl := range granted {
		if !pl.StartAllowed {
			c.stop(now, j, pl, 0)
		}
	}
}
