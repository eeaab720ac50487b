package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// beginLevelChange begins to make a feature level final. The transaction changes the term's record, on whose revision
// all of the leader's writes depend. So no other write begins until its outcome is known, and those in flight
// end first.
func (c *Scheduler) beginLevelChange(e FinaliseFeatureLevel) {
	if c.writes.paused || e.Level <= c.recordLimits.Level() {
		return
	}
	c.writes.paused, c.targetLevel = true, e.Level
	c.log.Info("feature level change started", "level", e.Level, "writes_in_flight", len(c.writes.inFlight))
	c.writeLevelWhenIdle()
}

// writeLevelWhenIdle writes the term's record with the new feature level once no other write is in flight.
func (c *Scheduler) writeLevelWhenIdle() {
	if !c.writes.paused || !c.writes.none() {
		return
	}
	id, name := c.writes.nextID()
	value, err := storage.EncodeTerm(storage.TermRecord{
		Term:         c.term.number,
		Controller:   c.term.controller,
		FeatureLevel: int(c.targetLevel),
		WriteName:    name,
	})
	if err != nil {
		c.emit(StepDown{Reason: err.Error()})
		return
	}
	t := protocol.Txn{
		If:   []protocol.Compare{c.writes.termUnchanged()},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}},
	}
	write := Write{ID: id, Txn: t, Priority: PriorityStart, VerifyKey: storage.TermKey, Name: name}
	c.submit(write, c.levelWritten)
}

// levelWritten applies the outcome: the level is final, and the writes that were held back begin.
func (c *Scheduler) levelWritten(now time.Duration, w TransactionOutcome) {
	if !w.Succeeded {
		c.emit(StepDown{Reason: fmt.Sprintf("level not final: conditions failed: %v", w.FailedKeys)})
		return
	}
	c.writes.paused, c.writes.termRevision = false, w.Revision
	c.recordLimits.SetLevel(c.targetLevel)
	c.log.Info(
		"feature level final",
		"level", c.recordLimits.Level(),
		"value_limit_kb", c.recordLimits.ValueKB(),
		"operation_limit", c.recordLimits.MaxOperations(),
	)
	for _, j := range c.sortedJobs() {
		c.resumeWrites(now, j)
	}
	c.zoneFailover.RedistributeLoans(c.failoverRecordLimits())
	c.emit(FeatureLevelFinal{Level: c.recordLimits.Level()})
	c.cycle.due = true
}

// resumeWrites begins those writes of a job that were held back during the change of the level, in its new layout.
func (c *Scheduler) resumeWrites(now time.Duration, j *jobstate.Job) {
	current := j.Pages.Layout()
	if layout := c.recordLimits.LayoutAtMost(current.TasksPerPage); layout != current {
		j.Pages.ChangeLayout(layout)
	}
	j.RecordNotBefore = 0
	if len(j.Pages.Dirty()) > 0 {
		j.QueueCompletion(now)
	}
	switch {
	case j.Ended:
		c.cleanUpEndedJob(j)
	case j.AllTasksDone():
		c.completeJob(j)
	}
}

// replaceSupersededPages causes some superseded pages to be replaced when there is little else to write: each of them
// takes room in the key-value store, and time of the next leader.
func (c *Scheduler) replaceSupersededPages(now time.Duration) {
	inFlight := c.writes.pagesInFlight[PriorityCompletion] + c.writes.pagesInFlight[PriorityStart]
	if c.recordLimits.Level() < featurelevel.Pipelines || inFlight > 0 {
		return
	}
	left := c.recordLimits.MaxCompletionPages()
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

// shrinkTransactions applies the rejection of a malformed transaction, and reports whether later ones are smaller.
func (c *Scheduler) shrinkTransactions(t *protocol.Txn) bool {
	if !c.recordLimits.ShrinkTransactions(len(t.Then)) {
		return false
	}
	c.log.Error(
		"transaction rejected",
		"operations", len(t.Then),
		"operation_limit", c.recordLimits.MaxOperations(),
	)
	return true
}
