package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// jobsOfWrite returns the jobs whose placements a write records.
func jobsOfWrite(w Write) (jobs []string) {
	for _, op := range w.Txn.Then {
		id, _, _ := strings.Cut(strings.TrimPrefix(op.PutKey, storage.PlacementPrefix), "/")
		jobs = append(jobs, id)
	}
	return slices.Compact(jobs)
}

// submit accepts a job of single tasks of half a machine.
func (s *manualStore) submit(id string, prio protocol.Priority, tasks int) {
	s.revision++
	s.step(
		JobAccepted{
			Record: storage.LiveJobRecord{
				Job:          jobSpec(id, protocol.Array, prio, tasks, 4),
				AcceptedAtMS: s.now.Milliseconds(),
			},
			Revision: s.revision,
		},
	)
}

// cycleOnce lets a cycle pass and keeps what is written.
func (s *manualStore) cycleOnce() {
	s.now += CycleInterval
	s.heartbeatAll()
	s.step(Tick{})
}

// answer gives a write its outcome.
func (s *manualStore) answer(w TransactionOutcome) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.WriteID })
	s.revision++
	w.Revision = s.revision
	s.step(w)
}

// startWrites returns the records of starts that are under way.
func (s *manualStore) startWrites() (open []Write) {
	for _, w := range s.inFlight {
		if w.Priority == PriorityStart {
			open = append(open, w)
		}
	}
	return open
}

// newEmptyManualStore is a manualStore with empty machines.
func newEmptyManualStore(machines int) *manualStore {
	s := &manualStore{harness: newHarness([]config.Team{{Name: "red"}}, "a")}
	for i := range machines {
		s.heartbeat(fmt.Sprintf("m%03d", i), "a", false)
	}
	return s
}

// TestUrgentStartIsWrittenFirst: however many records of lower work wait, few are under way, and that of an
// urgent start is the next. They had all stood in one line: an urgent start waited for thousands.
func TestUrgentStartIsWrittenFirst(t *testing.T) {
	const jobs = 200
	s := newEmptyManualStore(jobs)
	for i := range jobs {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
	}
	s.cycleOnce()
	under := s.pagesInFlight(PriorityStart)
	if under == 0 || under > s.scheduler.maxStartPages() {
		t.Fatalf("%d pages under way, want 1 to %d", under, s.scheduler.maxStartPages())
	}
	s.heartbeat("m999", "a", false)
	s.submit("j-urgent", "urgent", 1)
	s.cycleOnce()
	if got := s.pagesInFlight(PriorityStart); got != under {
		t.Fatalf("%d pages under way with an urgent job, %d without", got, under)
	}
	s.answer(TransactionOutcome{WriteID: s.startWrites()[0].ID, Succeeded: true})
	if !slices.ContainsFunc(
		s.startWrites(),
		func(w Write) bool { return slices.Contains(jobsOfWrite(w), "j-urgent") },
	) {
		t.Errorf("the urgent start's record is not the next: %d others are under way", len(s.startWrites()))
	}
}

// TestSharedTransactions: a transaction holds records of several jobs, within the limits, and nothing
// starts before it is carried out.
func TestSharedTransactions(t *testing.T) {
	s := newEmptyManualStore(40)
	for i := range 40 {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
	}
	s.cycleOnce()
	shared := 0
	for served := 0; len(s.startWrites()) > 0 && served < 200; served++ {
		w := s.startWrites()[0]
		if len(w.Txn.Then) > s.scheduler.cfg.Store.TxnOps || len(w.Txn.If) > 4*s.scheduler.cfg.Store.TxnOps {
			t.Fatalf("%d operations and %d conditions", len(w.Txn.Then), len(w.Txn.If))
		}
		if w.Splittable != (len(jobsOfWrite(w)) > 1) {
			t.Fatalf("shared %v with %v", w.Splittable, jobsOfWrite(w))
		}
		if w.Splittable {
			shared++
		}
		for _, id := range jobsOfWrite(w) {
			for _, pl := range s.scheduler.jobs[id].Placements {
				if pl.StartAllowed {
					t.Fatalf("%s may start before its record", pl.Task)
				}
			}
		}
		s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
		for _, id := range jobsOfWrite(w) {
			for _, pl := range s.scheduler.jobs[id].Placements {
				if !pl.StartAllowed {
					t.Fatalf("%s may not start after its record", pl.Task)
				}
			}
		}
	}
	if shared == 0 {
		t.Error("no transaction was shared")
	}
}

// failedWrite returns the outcome of a write that a job's condition makes fail.
func failedWrite(w Write, key string) TransactionOutcome {
	return TransactionOutcome{WriteID: w.ID, FailedKeys: []string{key}}
}

// TestFailedJobIsSplitOffSharedTransaction: a job that was cancelled, or whose page is not what the books
// say, is split off. The others are written again at once; it is tried alone, after a pause that
// doubles, and when that doesn't help the term ends, as the books are wrong.
func TestFailedJobIsSplitOffSharedTransaction(t *testing.T) {
	begin := func() (*manualStore, Write) {
		s := newEmptyManualStore(8)
		for i := range 4 {
			s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
		}
		s.cycleOnce()
		w := s.startWrites()[0]
		if len(jobsOfWrite(w)) != 4 {
			t.Fatalf("the transaction has %v", jobsOfWrite(w))
		}
		return s, w
	}
	t.Run("cancelled", func(t *testing.T) {
		s, w := begin()
		s.answer(failedWrite(w, storage.LiveJobKey("j-001")))
		again := s.startWrites()
		if len(again) != 1 || !slices.Equal(jobsOfWrite(again[0]), []string{"j-000", "j-002", "j-003"}) {
			t.Fatalf("written again: %v", again)
		}
		s.answer(TransactionOutcome{WriteID: again[0].ID, Succeeded: true})
		s.cycleOnce()
		if j := s.scheduler.jobs["j-001"]; j != nil && len(j.Placements) > 0 {
			t.Errorf("the cancelled job holds %d placements", len(j.Placements))
		}
	})
	t.Run("stale", func(t *testing.T) {
		s, w := begin()
		stale := productionPage("j-001")
		s.answer(failedWrite(w, stale))
		again := s.startWrites()
		if len(again) != 1 || !slices.Equal(jobsOfWrite(again[0]), []string{"j-000", "j-002", "j-003"}) {
			t.Fatalf("written again: %v", again)
		}
		s.answer(TransactionOutcome{WriteID: again[0].ID, Succeeded: true})
		var deposed []Effect
		last, pause := s.now, time.Duration(0)
		for tries := 1; len(deposed) == 0; tries++ {
			if tries > maxRecordAttempts {
				t.Fatal("tried for ever")
			}
			for len(s.startWrites()) == 0 && s.now < last+time.Minute {
				s.now += recordBackoff / 4
				s.step(Tick{})
			}
			if got := s.now - last; got < 2*pause-recordBackoff/2 {
				t.Errorf("try %d after %v, the one before after %v", tries, got, pause)
			} else {
				last, pause = s.now, got
			}
			alone := s.startWrites()[0]
			if !slices.Equal(jobsOfWrite(alone), []string{"j-001"}) {
				t.Fatalf("try %d is of %v", tries, jobsOfWrite(alone))
			}
			s.inFlight = nil
			for _, e := range s.scheduler.Step(s.now, failedWrite(alone, stale)) {
				if _, ok := e.(StepDown); ok {
					deposed = append(deposed, e)
				}
			}
		}
	})
	t.Run("the term is over", func(t *testing.T) {
		s, w := begin()
		for _, e := range s.scheduler.Step(s.now, failedWrite(w, storage.TermKey)) {
			if _, ok := e.(StepDown); ok {
				return
			}
		}
		t.Error("the leader goes on")
	})
	t.Run("out of form", func(t *testing.T) {
		s, w := begin()
		s.answer(TransactionOutcome{WriteID: w.ID, Malformed: true})
		tried := map[string]bool{}
		for range 4 {
			for _, a := range s.startWrites() {
				if len(jobsOfWrite(a)) != 1 {
					t.Fatalf("together again: %v", jobsOfWrite(a))
				}
				if id := jobsOfWrite(a)[0]; id != "j-002" {
					tried[id] = true
					s.answer(TransactionOutcome{WriteID: a.ID, Succeeded: true})
				}
			}
			s.cycleOnce()
		}
		if len(tried) != 3 {
			t.Errorf("%v were recorded, want all but j-002", tried)
		}
	})
}

// TestStartsAreBatched: while an array's record waits, the starts that its ends make room for go into
// it: far fewer records than starts.
func TestStartsAreBatched(t *testing.T) {
	s := newEmptyManualStore(10)
	for i := range 20 {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 60)
	}
	records, starts := 0, 0
	for range 40 {
		s.now += CycleInterval / 4
		for name, tasks := range s.tasks {
			for id, task := range tasks {
				task.State, task.Cause = protocol.TaskExited, protocol.CauseDone
				tasks[id] = task
			}
			for _, e := range s.scheduler.Step(s.now, HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)}) {
				switch e := e.(type) {
				case Write:
					s.inFlight = append(s.inFlight, e)
				case HeartbeatReply:
					s.executeCommands(name, e.Body.FencingToken, e.Body.Commands)
				}
			}
		}
		s.step(Tick{})
		if open := s.startWrites(); len(open) > 0 { // one transaction every quarter of a second
			records += len(open[0].Txn.Then)
			before := len(s.runs)
			for _, e := range s.scheduler.Step(s.now, TransactionOutcome{WriteID: open[0].ID, Succeeded: true, Revision: uint64(1000 + records)}) {
				switch e := e.(type) {
				case Write:
					s.inFlight = append(s.inFlight, e)
				case SendCommandBatch:
					s.executeCommands(e.Machine, e.Batch.FencingToken, e.Batch.Commands)
					s.step(
						CommandBatchResult{
							Machine:      e.Machine,
							Acknowledged: true,
							Heartbeat:    s.nextHeartbeat(e.Machine),
						},
					)
				}
			}
			s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == open[0].ID })
			starts += len(s.runs) - before
		}
	}
	if starts < 50 || records > starts {
		t.Errorf("%d records for %d starts", records, starts)
	}
}
