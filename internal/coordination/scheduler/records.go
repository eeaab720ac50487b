package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recoverPage takes over what a page records.
func (c *Core) recoverPage(now time.Duration, p protocol.Pair) {
	id, n, rec, err := storage.DecodePage(p)
	if err != nil {
		c.log.Error("page out of form", "key", p.Key, "err", err)
		return
	}
	j := c.jobs[id]
	if j == nil {
		// The job is over, but its tasks may not be gone: they still count.
		j = newJob(protocol.Job{ID: id, Team: rec.Team, CPUs: rec.CPUs, GPUs: rec.GPUs,
			MemoryGB: rec.MemoryGB, Priority: "best_effort"}, 0, 0, now, c.perPage)
		j.over = true
		c.jobs[id] = j
		c.enqueue(j)
	}
	if more := (n+1)*c.perPage - len(j.tasks); j.over && more > 0 {
		j.tasks = append(j.tasks, make([]taskState, more)...)
		j.counts[pending] += more
	}
	pg := j.page(n)
	pg.stamp, pg.attempts = p.Version, rec.Attempts
	for _, d := range rec.Done {
		for t := d[0]; t <= d[1]; t++ {
			j.set(t, done)
		}
	}
	for _, pl := range rec.Places {
		if pl.Task >= len(j.tasks) || j.places[pl.Task] != nil {
			continue
		}
		np := &partition.Placement{
			Task: protocol.TaskID{Job: id, Task: pl.Task}, Attempt: pl.Attempt, Machine: pl.Machine, Session: pl.Session,
			Zone: rec.Zones[pl.Zone], Need: j.need, Team: j.spec.Team, Level: j.level, Job: &j.spec,
		}
		j.places[pl.Task] = np
		if j.tasks[pl.Task] != done {
			j.set(pl.Task, placed)
		}
		c.machines.Adopt(now, np)
	}
	j.queues.addPlaced(j)
}

// finish records that all tasks are done. The job's end moves it from its
// live key to its final one; pages without placements go with it.
func (c *Core) finish(now time.Duration, j *job) {
	if j.finishing || j.over {
		return
	}
	if j.writing {
		return // the outcome of that write comes back here
	}
	j.finishing = true
	id, name := c.name()
	value, err := protocol.Encode(storage.EndedRecord{Standing: protocol.Done, Done: len(j.tasks), Write: name})
	if err != nil {
		c.log.Error("ended record", "err", err)
		return
	}
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}, {Key: storage.LiveKey(j.spec.ID), Version: j.stamp}},
		Then: []protocol.Op{{Delete: storage.LiveKey(j.spec.ID)}, {Put: storage.EndedKey(j.spec.ID), Value: value}},
	}
	var dropped []int
	if len(j.places) == 0 {
		for _, n := range slices.Sorted(maps.Keys(j.pages)) {
			p := j.pages[n]
			if p.stamp != 0 && len(t.Then) < c.cfg.State.TxnOps {
				t.If = append(t.If, protocol.Cond{Key: storage.PageKey(j.spec.ID, n), Version: p.stamp})
				t.Then = append(t.Then, protocol.Op{Delete: storage.PageKey(j.spec.ID, n)})
				dropped = append(dropped, n)
			}
		}
	}
	c.writes[id] = func(now time.Duration, w Written) {
		j.finishing = false
		if !w.OK && !c.overtaken(now, j, w) {
			return
		}
		if w.OK {
			for _, n := range dropped {
				c.settle(j.pages[n])
				delete(j.pages, n)
			}
		}
		c.log.Debug("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.tasks), "took", now-j.known)
		c.end(now, j)
	}
	c.emit(Write{ID: id, Txn: t, For: Ends, Verify: storage.EndedKey(j.spec.ID), Name: name})
}

func (c *Core) name() (uint64, string) {
	c.seq++
	return c.seq, fmt.Sprintf("%d.%d", c.term, c.seq)
}

func (c *Core) settle(p *page) {
	for _, pl := range p.exits {
		c.machines.Settle(pl)
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
	if !j.over || j.writing || len(j.places) > 0 {
		return
	}
	t := protocol.Txn{If: []protocol.Cond{{Key: storage.TermKey, Version: c.termStamp}}}
	var dropped []int
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		p := j.pages[n]
		if p.stamp == 0 {
			c.settle(p)
			delete(j.pages, n)
		} else if len(t.Then) < c.cfg.State.TxnOps {
			t.If = append(t.If, protocol.Cond{Key: storage.PageKey(j.spec.ID, n), Version: p.stamp})
			t.Then = append(t.Then, protocol.Op{Delete: storage.PageKey(j.spec.ID, n)})
			dropped = append(dropped, n)
		}
	}
	if len(dropped) == 0 {
		delete(c.jobs, j.spec.ID)
		c.queues.remove(j)
		return
	}
	j.writing = true
	id, _ := c.name()
	c.writes[id] = func(now time.Duration, w Written) {
		j.writing = false
		if !w.OK {
			c.emit(Depose{Reason: fmt.Sprintf("conditions failed: %v", w.Failed)})
			return
		}
		for _, n := range dropped {
			c.settle(j.pages[n])
			delete(j.pages, n)
		}
		c.sweep(now, j)
	}
	c.emit(Write{ID: id, Txn: t, For: Upkeep, Verify: storage.PageKey(j.spec.ID, dropped[0])})
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
		if pl.Recorded && !pl.Gone {
			c.machines.Start(pl)
		}
	}
	j.granted = rest
	c.due = c.due || j.counts[pending] > 0
}

func (c *Core) refuseGranted(now time.Duration, j *job) {
	granted := j.granted
	j.granted = nil
	for _, pl := range granted {
		if !pl.Written {
			c.stop(now, j, pl, 0)
		}
	}
}
