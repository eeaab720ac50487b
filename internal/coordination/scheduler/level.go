package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// layout is how the pages of new jobs are cut.
func (c *Core) layout() storage.Layout {
	if c.level < featurelevel.Pipelines {
		return storage.Layout{Width: storage.ProductionPageTasks(c.cfg.State.ValueKB)}
	}
	return storage.Layout{Width: storage.CompactPageTasks(c.stateLimits.ValueKB), Compact: true}
}

// narrowed is the layout in force for a job of which pages are stored that cover so many tasks at the least: of a
// task that several pages cover, the narrowest counts, so that a job's pages never become wider.
func (c *Core) narrowed(width int) storage.Layout {
	layout := c.layout()
	layout.Width = min(layout.Width, width)
	return layout
}

// setLevel takes in that a feature level is final: from then on records keep to the state service's next
// limits as well.
func (c *Core) setLevel(level featurelevel.Level) {
	c.level, c.stateLimits = level, c.cfg.State
	if level >= featurelevel.Pipelines {
		c.stateLimits = c.cfg.State.Lowest()
	}
}

// fewestOperations is how many operations a transaction must be able to have: the end of a job takes two.
const fewestOperations = 2

// refused takes in that a transaction was refused for its form, and says whether it had more operations than it
// needs: later ones have half as many. The limits may be lower than the settings say.
func (c *Core) refused(t *protocol.Txn) bool {
	if len(t.Then) <= fewestOperations {
		return false
	}
	c.stateLimits.TxnOps = max(fewestOperations, min(c.stateLimits.TxnOps, len(t.Then)/2))
	c.log.Error("transaction refused for its form", "operations", len(t.Then), "operations now", c.stateLimits.TxnOps)
	return true
}

// finalise begins to make a level final. The transaction changes the term's record, on whose version all of
// the leader's writes depend. So no others begin until it is carried out, and those under way end first.
func (c *Core) finalise(e Finalise) {
	if c.paused || e.Level <= c.level {
		return
	}
	c.paused, c.target = true, e.Level
	c.log.Info("making the feature level final", "level", e.Level, "writes under way", len(c.writes))
	c.finaliseWhenQuiet()
}

// finaliseWhenQuiet makes the level final once no writes are under way.
func (c *Core) finaliseWhenQuiet() {
	if !c.paused || len(c.writes) > 0 {
		return
	}
	id, name := c.name()
	value, err := storage.EncodeTerm(storage.TermRecord{Term: c.term, Node: c.node, Level: int(c.target), Write: name})
	if err != nil {
		c.emit(Depose{Reason: err.Error()})
		return
	}
	c.writes[id] = c.finalised
	c.emit(Write{ID: id, For: Starts, Verify: storage.TermKey, Name: name, Txn: protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}},
	}})
}

// finalised takes in the outcome, and goes on with the writes.
func (c *Core) finalised(now time.Duration, w Written) {
	if !w.OK {
		c.emit(Depose{Reason: fmt.Sprintf("level not final: conditions failed: %v", w.Failed)})
		return
	}
	c.paused, c.termStamp = false, w.Rev
	c.setLevel(c.target)
	c.log.Info("feature level is final", "level", c.level, "value KB", c.stateLimits.ValueKB, "operations", c.stateLimits.TxnOps)
	for _, j := range c.sorted() {
		if layout := c.narrowed(j.layout.Width); layout != j.layout {
			j.relayout(layout)
		}
		j.recordAfter = 0
		if len(j.dirtyPages()) > 0 {
			j.queues.addEnded(now, j)
		}
		switch {
		case j.over:
			c.sweep(now, j)
		case j.counts[done] == len(j.tasks):
			c.finish(now, j)
		}
	}
	c.spreadLoans()
	c.emit(LevelReached{Level: c.level})
	c.due = true
}

// replacePages has some superseded pages replaced, when there is little else to write: each that stays takes
// room, and time of the next leader.
func (c *Core) replacePages(now time.Duration) {
	if c.level < featurelevel.Pipelines || c.underWay[Ends]+c.underWay[Starts] > 0 {
		return
	}
	left := c.settlePages()
	for _, j := range c.sortedIf(func(j *job) bool { return len(j.superseded) > 0 && !j.over && !j.finishing && !j.writing }) {
		j.replaceSuperseded(now)
		if left--; left <= 0 {
			return
		}
	}
}

// timer is something that is to be done later.
type timer struct {
	at time.Duration
	do func(now time.Duration)
}

// after has something done at a later time.
func (c *Core) after(at time.Duration, do func(now time.Duration)) {
	c.timers = append(c.timers, timer{at, do})
}

// runTimers does what is due.
func (c *Core) runTimers(now time.Duration) {
	if len(c.timers) == 0 {
		return
	}
	all := c.timers
	c.timers = nil
	for _, t := range all {
		if now < t.at {
			c.timers = append(c.timers, t)
			continue
		}
		t.do(now)
	}
}
