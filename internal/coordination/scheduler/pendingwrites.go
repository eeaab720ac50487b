package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// outcomeHandler is called once with the outcome of a write.
type outcomeHandler func(now time.Duration, outcome TransactionOutcome)

// pendingWrite is a write in flight.
type pendingWrite struct {
	onOutcome outcomeHandler
	priority  WritePriority
	pages     int // number of pages that count as in flight until the outcome is known
}

// pendingWrites holds the transactions in flight. Each is conditional on the revision of the term record, so that none
// is committed after another controller has become the leader.
type pendingWrites struct {
	term         uint64
	termRevision uint64
	lastID       uint64
	inFlight     map[uint64]pendingWrite
	// pagesInFlight is the number of placement pages being written, by priority.
	pagesInFlight [PriorityMaintenance + 1]int
	// paused is set while no write may begin because the term record is about to change (see beginLevelChange).
	paused bool
}

func newPendingWrites(term Term) pendingWrites {
	return pendingWrites{term: term.Number, termRevision: term.Revision, inFlight: map[uint64]pendingWrite{}}
}

// nextID returns the ID and the name of a new write. The name identifies the records that the write has stored.
func (w *pendingWrites) nextID() (id uint64, name string) {
	w.lastID++
	return w.lastID, fmt.Sprintf("%d.%d", w.term, w.lastID)
}

// nextName returns the name of a new write.
func (w *pendingWrites) nextName() string {
	_, name := w.nextID()
	return name
}

// termUnchanged returns the condition that this controller is still the leader.
func (w *pendingWrites) termUnchanged() protocol.Compare {
	return protocol.Compare{Key: storage.TermKey, Revision: w.termRevision}
}

// idle reports whether no write is in flight.
func (w *pendingWrites) idle() bool { return len(w.inFlight) == 0 }

// handleOutcome calls the handler of a write. An outcome that is reported again is ignored.
func (w *pendingWrites) handleOutcome(now time.Duration, outcome TransactionOutcome) {
	write, ok := w.inFlight[outcome.WriteID]
	if !ok {
		return
	}
	delete(w.inFlight, outcome.WriteID)
	w.pagesInFlight[write.priority] -= write.pages
	write.onOutcome(now, outcome)
}

// submit emits a write and registers the handler of its outcome.
func (s *Scheduler) submit(write Write, onOutcome outcomeHandler) {
	s.writes.inFlight[write.ID] = pendingWrite{onOutcome: onOutcome, priority: write.Priority}
	s.emit(write)
}

// submitPages emits a write of placement pages, which count as in flight until its outcome is known.
func (s *Scheduler) submitPages(write Write, onOutcome outcomeHandler) {
	pages := len(write.Txn.Then)
	s.writes.pagesInFlight[write.Priority] += pages
	s.writes.inFlight[write.ID] = pendingWrite{onOutcome: onOutcome, priority: write.Priority, pages: pages}
	s.emit(write)
}
