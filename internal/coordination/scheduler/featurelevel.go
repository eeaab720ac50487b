package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// newJobLayout is how the pages of new jobs are cut.
func (c *Scheduler) newJobLayout() storage.PageLayout {
	if c.level < featurelevel.Pipelines {
		return storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(c.cfg.Store.ValueKB)}
	}
	return storage.PageLayout{TasksPerPage: storage.CompactPageTasks(c.stateLimits.ValueKB), Compact: true}
}

// layoutAtMost is the layout in force for a job of which pages are stored that cover so many tasks at the least: of a
// task that several pages cover, the narrowest counts, so that a job's pages never become wider.
func (c *Scheduler) layoutAtMost(width int) storage.PageLayout {
	layout := c.newJobLayout()
	layout.TasksPerPage = min(layout.TasksPerPage, width)
	return layout
}

// setFeatureLevel takes in that a feature level is final: from then on records keep to the state service's next
// limits as well.
func (c *Scheduler) setFeatureLevel(level featurelevel.Level) {
	c.level, c.stateLimits = level, c.cfg.Store
	if level >= featurelevel.Pipelines {
		c.stateLimits = c.cfg.Store.Lowest()
	}
}

// minTransactionOperations is how many operations a transaction must be able to have: the end of a job takes two.
const minTransactionOperations = 2

// shrinkTransactions takes in that a transaction was refused for its form, and says whether it had more operations than
// it needs: later ones have half as many. The limits may be lower than the settings say.
func (c *Scheduler) shrinkTransactions(t *protocol.Txn) bool {
	if len(t.Then) <= minTransactionOperations {
		return false
	}
	c.stateLimits.TxnOps = max(minTransactionOperations, min(c.stateLimits.TxnOps, len(t.Then)/2))
	c.log.Error("transaction refused for its form", "operations", len(t.Then), "operations now", c.stateLimits.TxnOps)
	return true
}

// beginLevelChange begins to make a level final. The transaction changes the term's record, on whose version all of
// the leader's writes depend. So no others begin until it is carried out, and those under way end first.
func (c *Scheduler) beginLevelChange(e FinaliseFeatureLevel) {
	if c.writesPaused || e.Level <= c.level {
		return
	}
	c.writesPaused, c.targetLevel = true, e.Level
	c.log.Info("making the feature level final", "level", e.Level, "writes under way", len(c.writesInFlight))
	c.writeLevelWhenIdle()
}

// writeLevelWhenIdle makes the level final once no writes are under way.
func (c *Scheduler) writeLevelWhenIdle() {
	if !c.writesPaused || len(c.writesInFlight) > 0 {
		return
	}
	id, name := c.nextWriteID()
	value, err := storage.EncodeTerm(
		storage.TermRecord{Term: c.term, Controller: c.controller, FeatureLevel: int(c.targetLevel), WriteName: name},
	)
	if err != nil {
		c.emit(StepDown{Reason: err.Error()})
		return
	}
	c.writesInFlight[id] = c.levelWritten
	c.emit(Write{ID: id, Priority: PriorityStart, VerifyKey: storage.TermKey, Name: name, Txn: protocol.Txn{
		If:   []protocol.Compare{{Key: storage.TermKey, Revision: c.termRevision}},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}},
	}})
}

// levelWritten takes in the outcome, and goes on with the writes.
func (c *Scheduler) levelWritten(now time.Duration, w TransactionOutcome) {
	if !w.Succeeded {
		c.emit(StepDown{Reason: fmt.Sprintf("level not final: conditions failed: %v", w.FailedKeys)})
		return
	}
	c.writesPaused, c.termRevision = false, w.Revision
	c.setFeatureLevel(c.targetLevel)
	c.log.Info(
		"feature level is final",
		"level",
		c.level,
		"value KB",
		c.stateLimits.ValueKB,
		"operations",
		c.stateLimits.TxnOps,
	)
	for _, j := range c.sortedJobs() {
		current := j.Pages.Layout()
		if layout := c.layoutAtMost(current.TasksPerPage); layout != current {
			j.Pages.ChangeLayout(layout)
		}
		j.RecordNotBefore = 0
		if len(j.Pages.Dirty()) > 0 {
			j.QueueCompletion(now)
		}
		switch {
		case j.Ended:
			c.cleanUpEndedJob(now, j)
		case j.AllTasksDone():
			c.completeJob(now, j)
		}
	}
	c.zoneFailover.RedistributeLoans(c.failoverRecordLimits())
	c.emit(FeatureLevelFinal{Level: c.level})
	c.cycle.due = true
}

// replaceSupersededPages has some superseded pages replaced, when there is little else to write: each that stays takes
// room, and time of the next leader.
func (c *Scheduler) replaceSupersededPages(now time.Duration) {
	if c.level < featurelevel.Pipelines || c.pagesInFlight[PriorityCompletion]+c.pagesInFlight[PriorityStart] > 0 {
		return
	}
	left := c.maxCompletionPages()
	canReplace := func(j *jobstate.Job) bool {
		return len(j.Pages.Superseded()) > 0 && !j.Ended && !j.Ending && !j.WriteInFlight
	}
	for _, j := range c.sortedJobsWhere(canReplace) {
		j.Pages.MarkReplacementsDirty()
		j.QueueCompletion(now)
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
func (c *Scheduler) callAt(at time.Duration, do func(now time.Duration)) {
	c.delayedCalls = append(c.delayedCalls, delayedCall{at, do})
}

// runDelayedCalls does what is due.
func (c *Scheduler) runDelayedCalls(now time.Duration) {
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
