package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// newJobLayout is how the pages of new jobs are cut.
func (c *Core) newJobLayout() storage.PageLayout {
	if c.level < featurelevel.Pipelines {
		return storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(c.cfg.Store.ValueKB)}
	}
	return storage.PageLayout{TasksPerPage: storage.CompactPageTasks(c.stateLimits.ValueKB), Compact: true}
}

// layoutAtMost is the layout in force for a job of which pages are stored that cover so many tasks at the least: of a
// task that several pages cover, the narrowest counts, so that a job's pages never become wider.
func (c *Core) layoutAtMost(width int) storage.PageLayout {
	layout := c.newJobLayout()
	layout.TasksPerPage = min(layout.TasksPerPage, width)
	return layout
}

// setFeatureLevel takes in that a feature level is final: from then on records keep to the state service's next
// limits as well.
func (c *Core) setFeatureLevel(level featurelevel.Level) {
	c.level, c.stateLimits = level, c.cfg.Store
	if level >= featurelevel.Pipelines {
		c.stateLimits = c.cfg.Store.Lowest()
	}
}

// minTransactionOperations is how many operations a transaction must be able to have: the end of a job takes two.
const minTransactionOperations = 2

// shrinkTransactions takes in that a transaction was refused for its form, and says whether it had more operations than it
// needs: later ones have half as many. The limits may be lower than the settings say.
func (c *Core) shrinkTransactions(t *protocol.Txn) bool {
	if len(t.Then) <= minTransactionOperations {
		return false
	}
	c.stateLimits.TxnOps = max(minTransactionOperations, min(c.stateLimits.TxnOps, len(t.Then)/2))
	c.log.Error("transaction refused for its form", "operations", len(t.Then), "operations now", c.stateLimits.TxnOps)
	return true
}

// beginLevelChange begins to make a level final. The transaction changes the term's record, on whose version all of
// the leader's writes depend. So no others begin until it is carried out, and those under way end first.
func (c *Core) beginLevelChange(e Finalise) {
	if c.writesPaused || e.Level <= c.level {
		return
	}
	c.writesPaused, c.targetLevel = true, e.Level
	c.log.Info("making the feature level final", "level", e.Level, "writes under way", len(c.writesInFlight))
	c.writeLevelWhenIdle()
}

// writeLevelWhenIdle makes the level final once no writes are under way.
func (c *Core) writeLevelWhenIdle() {
	if !c.writesPaused || len(c.writesInFlight) > 0 {
		return
	}
	id, name := c.nextWriteID()
	value, err := storage.EncodeTerm(storage.TermRecord{Term: c.term, Controller: c.node, FeatureLevel: int(c.targetLevel), WriteName: name})
	if err != nil {
		c.emit(Depose{Reason: err.Error()})
		return
	}
	c.writesInFlight[id] = c.levelWritten
	c.emit(Write{ID: id, For: Starts, Verify: storage.TermKey, Name: name, Txn: protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}},
	}})
}

// levelWritten takes in the outcome, and goes on with the writes.
func (c *Core) levelWritten(now time.Duration, w Written) {
	if !w.OK {
		c.emit(Depose{Reason: fmt.Sprintf("level not final: conditions failed: %v", w.Failed)})
		return
	}
	c.writesPaused, c.termStamp = false, w.Rev
	c.setFeatureLevel(c.targetLevel)
	c.log.Info("feature level is final", "level", c.level, "value KB", c.stateLimits.ValueKB, "operations", c.stateLimits.TxnOps)
	for _, j := range c.sorted() {
		if layout := c.layoutAtMost(j.layout.TasksPerPage); layout != j.layout {
			j.changeLayout(layout)
		}
		j.recordNotBefore = 0
		if len(j.dirtyPages()) > 0 {
			j.queues.addEnded(now, j)
		}
		switch {
		case j.over:
			c.cleanUpEndedJob(now, j)
		case j.counts[done] == len(j.tasks):
			c.completeJob(now, j)
		}
	}
	c.redistributeLoanPages()
	c.emit(LevelReached{Level: c.level})
	c.due = true
}

// replaceSupersededPages has some superseded pages replaced, when there is little else to write: each that stays takes
// room, and time of the next leader.
func (c *Core) replaceSupersededPages(now time.Duration) {
	if c.level < featurelevel.Pipelines || c.pagesInFlight[Ends]+c.pagesInFlight[Starts] > 0 {
		return
	}
	left := c.maxCompletionPages()
	for _, j := range c.sortedIf(func(j *job) bool { return len(j.supersededPages) > 0 && !j.over && !j.finishing && !j.writeInFlight }) {
		j.markReplacementsDirty(now)
		if left--; left <= 0 {
			return
		}
	}
}

// delayedCall is something that is to be done later.
type delayedCall struct {
	at time.Duration
	do func(now time.Duration)
}

// callAt has something done at a later time.
func (c *Core) callAt(at time.Duration, do func(now time.Duration)) {
	c.delayedCalls = append(c.delayedCalls, delayedCall{at, do})
}

// runDelayedCalls does what is due.
func (c *Core) runDelayedCalls(now time.Duration) {
	if len(c.delayedCalls) == 0 {
		return
	}
	all := c.delayedCalls
	c.delayedCalls = nil
	for _, t := range all {
		if now < t.at {
			c.delayedCalls = append(c.delayedCalls, t)
			continue
		}
		t.do(now)
	}
}
