package scheduler

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestPendingWrites checks that an outcome reaches the handler of its write exactly once, and that pages count as in
// flight until then.
func TestPendingWrites(t *testing.T) {
	s := &Scheduler{writes: newPendingWrites(Term{Number: 5, Revision: 9})}
	var outcomes []uint64
	onOutcome := func(_ time.Duration, outcome TransactionOutcome) { outcomes = append(outcomes, outcome.WriteID) }
	for range 2 {
		id, _ := s.writes.nextID()
		txn := protocol.Txn{If: []protocol.Compare{s.writes.termUnchanged()}, Then: make([]protocol.Op, 3)}
		s.submitPages(Write{ID: id, Txn: txn, Priority: PriorityStart}, onOutcome)
	}
	id, name := s.writes.nextID()
	s.submit(Write{ID: id, Txn: protocol.Txn{Then: make([]protocol.Op, 2)}, Priority: PriorityMaintenance}, onOutcome)
	if name != "5.3" {
		t.Errorf("the third write is named %q, want 5.3", name)
	}
	if got := s.writes.termUnchanged().Revision; got != 9 {
		t.Errorf("writes are conditional on revision %d of the term record, want 9", got)
	}
	if got := s.writes.pagesInFlight; got[PriorityStart] != 6 || got[PriorityMaintenance] != 0 {
		t.Errorf("pages in flight by priority: %v, want 6 of starts and no others", got)
	}
	for _, id := range []uint64{2, 2, 3, 7} {
		s.writes.handleOutcome(0, TransactionOutcome{WriteID: id})
	}
	if !slices.Equal(outcomes, []uint64{2, 3}) {
		t.Errorf("outcomes of the writes %v, want 2 and 3", outcomes)
	}
	if got := s.writes.pagesInFlight[PriorityStart]; got != 3 || s.writes.idle() {
		t.Errorf("%d pages in flight, idle %v, want 3 and not idle", got, s.writes.idle())
	}
	s.writes.handleOutcome(0, TransactionOutcome{WriteID: 1})
	if !s.writes.idle() {
		t.Error("a write counts as in flight after its outcome")
	}
}

// TestDelayedCalls checks that calls run in the order in which they were added, as soon as they are due. A call that is
// added by another call runs with the next tick.
func TestDelayedCalls(t *testing.T) {
	var calls delayedCalls
	var called []string
	call := func(name string) func(time.Duration) {
		return func(time.Duration) { called = append(called, name) }
	}
	calls.add(2, call("late"))
	calls.add(1, call("first"))
	calls.add(1, func(now time.Duration) {
		called = append(called, "second")
		calls.add(now, call("added"))
	})
	for _, tick := range []struct {
		now  time.Duration
		want []string
	}{
		{0, nil},
		{1, []string{"first", "second"}},
		{1, []string{"added"}},
		{3, []string{"late"}},
		{4, nil},
	} {
		called = nil
		calls.run(tick.now)
		if !slices.Equal(called, tick.want) {
			t.Errorf("at %d: %v, want %v", tick.now, called, tick.want)
		}
	}
}
