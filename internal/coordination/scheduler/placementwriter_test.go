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

// jobsOfWrite returns the jobs whose pages a write contains.
func jobsOfWrite(w Write) (jobs []string) {
	for _, op := range w.Txn.Then {
		id, _, _ := strings.Cut(strings.TrimPrefix(op.PutKey, storage.PlacementPrefix), "/")
		jobs = append(jobs, id)
	}
	return slices.Compact(jobs)
}

// submit delivers an accepted array, each of whose tasks takes half a machine.
func (s *manualStore) submit(id string, priority protocol.Priority, tasks int) {
	s.revision++
	s.step(JobAccepted{
		Record: storage.LiveJobRecord{
			Job:          jobSpec(id, protocol.Array, priority, tasks, 4),
			AcceptedAtMS: s.now.Milliseconds(),
		},
		Revision: s.revision,
	})
}

// cycleOnce runs a cycle and keeps the resulting writes in flight.
func (s *manualStore) cycleOnce() {
	s.now += CycleInterval
	s.heartbeatAll()
	s.step(Tick{})
}

// answer delivers the outcome of a write.
func (s *manualStore) answer(outcome TransactionOutcome) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == outcome.WriteID })
	s.revision++
	outcome.Revision = s.revision
	s.step(outcome)
}

// commit lets a write succeed, makes the machines execute the resulting commands, and returns the keys of the placement
// pages that it has stored.
func (s *manualStore) commit(w Write) (pages []string) {
	for _, op := range w.Txn.Then {
		if strings.HasPrefix(op.PutKey, storage.PlacementPrefix) {
			pages = append(pages, op.PutKey)
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.ID })
	s.revision++
	s.stepWithCommands(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
	return pages
}

// startWrites returns the writes in flight of placements that must be recorded before their tasks may start.
func (s *manualStore) startWrites() (open []Write) {
	for _, w := range s.inFlight {
		if w.Priority == PriorityStart {
			open = append(open, w)
		}
	}
	return open
}

// newEmptyManualStore returns a manualStore with idle machines and no jobs.
func newEmptyManualStore(machines int) *manualStore {
	s := &manualStore{harness: newHarness([]config.Team{{Name: "red"}}, "a")}
	for i := range machines {
		s.heartbeat(fmt.Sprintf("m%03d", i), "a", false)
	}
	return s
}

// TestUrgentStartIsWrittenFirst checks that, however many starts of lower priority wait for their record, only a few of
// these records are in flight and the record of an urgent start is written next. With a single queue for all of them,
// an urgent start used to wait for thousands of others.
func TestUrgentStartIsWrittenFirst(t *testing.T) {
	const jobs = 200
	s := newEmptyManualStore(jobs)
	for i := range jobs {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
	}
	s.cycleOnce()
	inFlight := s.pagesInFlight(PriorityStart)
	if inFlight == 0 || inFlight > s.scheduler.recordLimits.MaxStartPages() {
		t.Fatalf("%d pages in flight, want 1 to %d", inFlight, s.scheduler.recordLimits.MaxStartPages())
	}
	s.heartbeat("m999", "a", false)
	s.submit("j-urgent", "urgent", 1)
	s.cycleOnce()
	if got := s.pagesInFlight(PriorityStart); got != inFlight {
		t.Fatalf("%d pages in flight with an urgent job, %d without", got, inFlight)
	}
	s.answer(TransactionOutcome{WriteID: s.startWrites()[0].ID, Succeeded: true})
	isUrgent := func(w Write) bool { return slices.Contains(jobsOfWrite(w), "j-urgent") }
	if !slices.ContainsFunc(s.startWrites(), isUrgent) {
		t.Errorf("the urgent start is not written next: %d others are in flight", len(s.startWrites()))
	}
}

// TestBatchedTransactions checks that a transaction contains pages of several jobs within the limits, and that no task
// may start before the transaction is committed.
func TestBatchedTransactions(t *testing.T) {
	s := newEmptyManualStore(40)
	for i := range 40 {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
	}
	s.cycleOnce()
	shared := 0
	for served := 0; len(s.startWrites()) > 0 && served < 200; served++ {
		w := s.startWrites()[0]
		if len(w.Txn.Then) > s.scheduler.cfg.Store.TxnOps || len(w.Txn.If) > 4*s.scheduler.cfg.Store.TxnOps {
			t.Fatalf("%d operations and %d conditions exceed the limits", len(w.Txn.Then), len(w.Txn.If))
		}
		if w.Splittable != (len(jobsOfWrite(w)) > 1) {
			t.Fatalf(
				"splittable %v with jobs %v, want splittable exactly if there are several",
				w.Splittable,
				jobsOfWrite(w),
			)
		}
		if w.Splittable {
			shared++
		}
		for _, id := range jobsOfWrite(w) {
			for _, pl := range s.scheduler.jobs[id].Placements {
				if pl.StartAllowed {
					t.Fatalf("%s may start before it is recorded", pl.Task)
				}
			}
		}
		s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
		for _, id := range jobsOfWrite(w) {
			for _, pl := range s.scheduler.jobs[id].Placements {
				if !pl.StartAllowed {
					t.Fatalf("%s may not start although it is recorded", pl.Task)
				}
			}
		}
	}
	if shared == 0 {
		t.Error("no transaction contained several jobs")
	}
}

// failedWrite returns the outcome of a write that failed because of the condition on a key.
func failedWrite(w Write, key string) TransactionOutcome {
	return TransactionOutcome{WriteID: w.ID, FailedKeys: []string{key}}
}

// newBatchWrite returns a write in flight that contains the placements of four jobs.
func newBatchWrite(t *testing.T) (*manualStore, Write) {
	t.Helper()
	s := newEmptyManualStore(8)
	for i := range 4 {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 2)
	}
	s.cycleOnce()
	w := s.startWrites()[0]
	if len(jobsOfWrite(w)) != 4 {
		t.Fatalf("the transaction contains %v, want four jobs", jobsOfWrite(w))
	}
	return s, w
}

// requireOthersRewritten checks that the other three jobs are written again immediately, and lets that write succeed.
func (s *manualStore) requireOthersRewritten(t *testing.T) {
	t.Helper()
	again := s.startWrites()
	if len(again) != 1 || !slices.Equal(jobsOfWrite(again[0]), []string{"j-000", "j-002", "j-003"}) {
		t.Fatalf("writes in flight: %v, want a single one with the other three jobs", again)
	}
	s.answer(TransactionOutcome{WriteID: again[0].ID, Succeeded: true})
}

// stepsDown passes an event to the scheduler and reports whether the leader steps down.
func (s *manualStore) stepsDown(e Event) bool {
	return slices.ContainsFunc(s.scheduler.Step(s.now, e), func(effect Effect) bool {
		_, ok := effect.(StepDown)
		return ok
	})
}

// TestCancelledJobIsSplitOffTransaction checks that a job that was cancelled is removed from a transaction of several
// jobs, and that the others are written again immediately.
func TestCancelledJobIsSplitOffTransaction(t *testing.T) {
	s, w := newBatchWrite(t)
	s.answer(failedWrite(w, storage.LiveJobKey("j-001")))
	s.requireOthersRewritten(t)
	s.cycleOnce()
	if j := s.scheduler.jobs["j-001"]; j != nil && len(j.Placements) > 0 {
		t.Errorf("the cancelled job still has %d placements", len(j.Placements))
	}
}

// TestFailedJobIsSplitOffTransaction checks that a job whose stored page is not the expected one is removed from a
// transaction of several jobs and retried alone, with a delay that doubles. If the retries fail, the state of the
// leader is wrong and it steps down.
func TestFailedJobIsSplitOffTransaction(t *testing.T) {
	s, w := newBatchWrite(t)
	stale := originalPageKey("j-001")
	s.answer(failedWrite(w, stale))
	s.requireOthersRewritten(t)
	last, pause := s.now, time.Duration(0)
	for attempt, steppedDown := 1, false; !steppedDown; attempt++ {
		if attempt > maxRecordAttempts {
			t.Fatal("the leader did not step down after the last attempt")
		}
		for len(s.startWrites()) == 0 && s.now < last+time.Minute {
			s.now += recordBackoff / 4
			s.step(Tick{})
		}
		if got := s.now - last; got < 2*pause-recordBackoff/2 {
			t.Errorf("attempt %d after a pause of %v, want about twice the previous pause of %v", attempt, got, pause)
		} else {
			last, pause = s.now, got
		}
		alone := s.startWrites()[0]
		if !slices.Equal(jobsOfWrite(alone), []string{"j-001"}) {
			t.Fatalf("attempt %d contains %v, want only j-001", attempt, jobsOfWrite(alone))
		}
		s.inFlight = nil
		steppedDown = s.stepsDown(failedWrite(alone, stale))
	}
}

// TestLeaderStepsDownWhenTermHasChanged checks that the leader steps down when a write fails because the term record
// has changed.
func TestLeaderStepsDownWhenTermHasChanged(t *testing.T) {
	s, w := newBatchWrite(t)
	if !s.stepsDown(failedWrite(w, storage.TermKey)) {
		t.Error("the leader did not step down")
	}
}

// TestMalformedTransactionIsSplit checks that, after a transaction of several jobs was rejected as malformed, each job
// is retried alone and only the malformed one has to wait.
func TestMalformedTransactionIsSplit(t *testing.T) {
	s, w := newBatchWrite(t)
	s.answer(TransactionOutcome{WriteID: w.ID, Malformed: true})
	succeeded := map[string]bool{}
	for range 4 {
		for _, alone := range s.startWrites() {
			if len(jobsOfWrite(alone)) != 1 {
				t.Fatalf("several jobs in one transaction again: %v, want one", jobsOfWrite(alone))
			}
			if id := jobsOfWrite(alone)[0]; id != "j-002" {
				succeeded[id] = true
				s.answer(TransactionOutcome{WriteID: alone.ID, Succeeded: true})
			}
		}
		s.cycleOnce()
	}
	if len(succeeded) != 3 {
		t.Errorf("%v were recorded, want all but j-002", succeeded)
	}
}

// TestStartsAreBatched checks that, while the record of an array waits to be written, the starts that follow from
// completions are added to it, so that there are no more records than starts.
func TestStartsAreBatched(t *testing.T) {
	s := newEmptyManualStore(10)
	for i := range 20 {
		s.submit(fmt.Sprintf("j-%03d", i), "normal", 60)
	}
	records, starts := 0, 0
	for range 40 {
		s.now += CycleInterval / 4
		s.completeRunningTasks()
		s.step(Tick{})
		if open := s.startWrites(); len(open) > 0 { // one transaction per quarter of a second
			records += len(open[0].Txn.Then)
			before := len(s.runs)
			s.commit(open[0])
			starts += len(s.runs) - before
		}
	}
	if starts < 50 || records > starts {
		t.Errorf("%d records for %d starts, want at least 50 starts and no more records than starts", records, starts)
	}
}

// completeRunningTasks reports all tasks on machines as done, and makes the machines execute the commands in the
// replies.
func (s *manualStore) completeRunningTasks() {
	for name, tasks := range s.tasks {
		for id, task := range tasks {
			task.State, task.Cause = protocol.TaskExited, protocol.CauseDone
			tasks[id] = task
		}
		heartbeat := HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)}
		for _, e := range s.scheduler.Step(s.now, heartbeat) {
			switch e := e.(type) {
			case Write:
				s.inFlight = append(s.inFlight, e)
			case HeartbeatReply:
				s.executeCommands(name, e.Body.FencingToken, e.Body.Commands)
			}
		}
	}
}
