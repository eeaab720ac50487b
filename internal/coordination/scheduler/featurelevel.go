package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// beginLevelChange begins to make a feature level final. That changes the term record, on whose revision all writes of
// the leader are conditional. Therefore writes are paused: those in flight finish first, and no other write begins
// until the outcome of the change is known.
func (s *Scheduler) beginLevelChange(e FinaliseFeatureLevel) {
	if s.writes.paused || e.Level <= s.recordLimits.Level() {
		return
	}
	s.writes.paused, s.targetLevel = true, e.Level
	s.log.Info("feature level change started", "level", e.Level, "writes_in_flight", len(s.writes.inFlight))
	s.writeLevelWhenIdle()
}

// writeLevelWhenIdle writes the term record with the new feature level once no other write is in flight.
func (s *Scheduler) writeLevelWhenIdle() {
	if !s.writes.paused || !s.writes.idle() {
		return
	}
	id, name := s.writes.nextID()
	value, err := storage.EncodeTerm(storage.TermRecord{
		Term:         s.term.number,
		Controller:   s.term.controller,
		FeatureLevel: int(s.targetLevel),
		WriteName:    name,
	})
	if err != nil {
		s.emit(StepDown{Reason: err.Error()})
		return
	}
	txn := protocol.Txn{
		If:   []protocol.Compare{s.writes.termUnchanged()},
		Then: []protocol.Op{{PutKey: storage.TermKey, Value: value}},
	}
	write := Write{ID: id, Txn: txn, Priority: PriorityStart, VerifyKey: storage.TermKey, VerifyName: name}
	s.submit(write, s.levelWritten)
}

// levelWritten handles the outcome of the level change. On success the level is final, and the paused writes resume.
func (s *Scheduler) levelWritten(now time.Duration, outcome TransactionOutcome) {
	if !outcome.Succeeded {
		s.emit(StepDown{Reason: fmt.Sprintf("level not final: conditions failed: %v", outcome.FailedKeys)})
		return
	}
	s.writes.paused, s.writes.termRevision = false, outcome.Revision
	s.recordLimits.SetLevel(s.targetLevel)
	s.log.Info(
		"feature level final",
		"level", s.recordLimits.Level(),
		"value_limit_kb", s.recordLimits.ValueKB(),
		"operation_limit", s.recordLimits.MaxOperations(),
	)
	for _, j := range s.sortedJobs() {
		s.resumeWrites(now, j)
	}
	s.zoneFailover.RedistributeLoans(s.failoverRecordLimits())
	s.emit(FeatureLevelFinal{Level: s.recordLimits.Level()})
	s.cycle.due = true
}

// resumeWrites starts the writes of a job that were paused during the level change, using the page layout of the new
// level.
func (s *Scheduler) resumeWrites(now time.Duration, j *jobstate.Job) {
	current := j.Pages.Layout()
	if layout := s.recordLimits.LayoutAtMost(current.TasksPerPage); layout != current {
		j.Pages.ChangeLayout(layout)
	}
	j.RecordNotBefore = 0
	if len(j.Pages.Dirty()) > 0 {
		j.QueueCompletion(now)
	}
	switch {
	case j.Ended:
		s.cleanUpEndedJob(j)
	case j.AllTasksDone():
		s.completeJob(j)
	}
}

// replaceSupersededPages schedules the replacement of some superseded pages while there are few other writes.
// Superseded pages take up space in the key-value store and prolong the recovery of the next leader.
func (s *Scheduler) replaceSupersededPages(now time.Duration) {
	inFlight := s.writes.pagesInFlight[PriorityCompletion] + s.writes.pagesInFlight[PriorityStart]
	if s.recordLimits.Level() < featurelevel.Pipelines || inFlight > 0 {
		return
	}
	remaining := s.recordLimits.MaxCompletionPages()
	canReplace := func(j *jobstate.Job) bool {
		return len(j.Pages.Superseded()) > 0 && !j.Ended && !j.Ending && !j.WriteInFlight
	}
	for _, j := range s.sortedJobsMatching(canReplace) {
		j.Pages.MarkReplacementsDirty()
		j.QueueCompletion(now)
		if remaining--; remaining <= 0 {
			return
		}
	}
}

// shrinkTransactions handles the rejection of a malformed transaction. It reports whether the size limit for later
// transactions was lowered.
func (s *Scheduler) shrinkTransactions(txn *protocol.Txn) bool {
	if !s.recordLimits.ShrinkTransactions(len(txn.Then)) {
		return false
	}
	s.log.Error(
		"transaction rejected",
		"operations", len(txn.Then),
		"operation_limit", s.recordLimits.MaxOperations(),
	)
	return true
}
