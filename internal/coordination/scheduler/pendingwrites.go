package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// outcomeHandler is called with the outcome of a write once it is known.
type outcomeHandler func(now time.Duration, outcome TransactionOutcome)

// pendingWrite is a write in flight.
type pendingWrite struct {
	onOutcome outcomeHandler
	priority  WritePriority
	pages     int // how many count as in flight until the outcome is known
}

// pendingWrites are the transactions in flight. Each depends on the revision of the term's record, so that none
// of them is carried out once another controller leads.
type pendingWrites struct {
	term         uint64
	termRevision uint64
	lastID       uint64
	inFlight     map[uint64]pendingWrite
	// pagesInFlight counts the pages of placements that are being written, by priority.
	pagesInFlight [PriorityMaintenance + 1]int
	// paused says that no write may begin: the term's record is about to change (see beginLevelChange).
	paused bool
}

func newPendingWrites(term Term) pendingWrites {
	return pendingWrites{term: term.Number, termRevision: term.Revision, inFlight: map[uint64]pendingWrite{}}
}

// nextID returns the number of a new write, and the name by which its author recognises its records.
func (w *pendingWrites) nextID() (id uint64, name string) {
	w.lastID++
	return w.lastID, fmt.Sprintf("%d.%d", w.term, w.lastID)
}

// nextName is nextID without the number.
func (w *pendingWrites) nextName() string {
	_, name := w.nextID()
	return name
}

// termUnchanged is the condition that this controller still leads.
func (w *pendingWrites) termUnchanged() protocol.Compare {
	return protocol.Compare{Key: storage.TermKey, Revision: w.termRevision}
}

// none reports whether no write is in flight.
func (w *pendingWrites) none() bool { return len(w.inFlight) == 0 }

// handleOutcome calls the handler of a write. Of an outcome that is reported twice the second one is ignored.
func (w *pendingWrites) handleOutcome(now time.Duration, outcome TransactionOutcome) {
	write, ok := w.inFlight[outcome.WriteID]
	if !ok {
		return
	}
	delete(w.inFlight, outcome.WriteID)
	w.pagesInFlight[write.priority] -= write.pages
	write.onOutcome(now, outcome)
}

// submit asks for a write.
func (c *Scheduler) submit(write Write, onOutcome outcomeHandler) {
	c.writes.inFlight[write.ID] = pendingWrite{onOutcome: onOutcome, priority: write.Priority}
	c.emit(write)
}

// submitPages asks for a write of placement pages, which count as in flight until its outcome is known.
func (c *Scheduler) submitPages(write Write, onOutcome outcomeHandler) {
	pages := len(write.Txn.Then)
	c.writes.pagesInFlight[write.Priority] += pages
	c.writes.inFlight[write.ID] = pendingWrite{onOutcome: onOutcome, priority: write.Priority, pages: pages}
	c.emit(write)
}
