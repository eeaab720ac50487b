package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// manualStore is a harness in which the test determines the outcome of each write.
type manualStore struct {
	*harness
	inFlight []Write
}

// newManualStore returns a manualStore with running jobs, each with two tasks on a machine of its own.
func newManualStore(t *testing.T, jobs int) *manualStore {
	t.Helper()
	s := &manualStore{harness: newHarness([]config.Team{{Name: "red"}}, "a")}
	for i := range jobs {
		s.heartbeat(fmt.Sprintf("m%03d", i), "a", false)
		s.addJob(jobSpec(fmt.Sprintf("j-%03d", i), protocol.Array, "normal", 2, 4))
	}
	s.runCycle()
	s.runFetchingTasks()
	for i := range jobs {
		if s.startedTasks(fmt.Sprintf("j-%03d", i)) != 2 {
			t.Fatalf("job %d did not start", i)
		}
	}
	return s
}

// step passes an event to the scheduler and keeps the resulting writes in flight.
func (s *manualStore) step(e Event) {
	for _, effect := range s.scheduler.Step(s.now, e) {
		if w, ok := effect.(Write); ok {
			s.inFlight = append(s.inFlight, w)
		}
	}
}

// endFirstTasks reports the first task of each job as done.
func (s *manualStore) endFirstTasks() {
	for _, name := range sortedNames(s.tasks) {
		for id, t := range s.tasks[name] {
			if id.Index == 0 {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				s.tasks[name][id] = t
			}
		}
		s.step(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

// heartbeatAll delivers a heartbeat of each machine.
func (s *manualStore) heartbeatAll() {
	for _, name := range sortedNames(s.tasks) {
		s.step(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

func sortedNames(m map[string]map[protocol.TaskID]protocol.TaskStatus) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pagesInFlight returns the number of pages in flight with a priority.
func (s *manualStore) pagesInFlight(p WritePriority) (pages int) {
	for _, w := range s.inFlight {
		if w.Priority == p {
			pages += len(w.Txn.Then)
		}
	}
	return pages
}

// TestStartsDoNotWaitForCompletions checks that only a few writes of completions are in flight, however many there are
// to record and however slow the store is, so that a start is written immediately. With a thousand workers, completions
// alone used to take up the leader's whole share of the writes, and an urgent task had to wait for them.
func TestStartsDoNotWaitForCompletions(t *testing.T) {
	s := newManualStore(t, 60)
	s.endFirstTasks()
	for range 3 {
		s.now += CycleInterval
		s.heartbeatAll()
		s.step(Tick{})
	}
	limit := s.scheduler.recordLimits.MaxCompletionPages()
	if n := s.pagesInFlight(PriorityCompletion); n == 0 || n > limit {
		t.Fatalf("%d pages of completions in flight, want 1 to %d", n, limit)
	}
	s.submit("j-urgent", "urgent", 1)
	s.now += MinCycleInterval
	s.step(Tick{})
	if s.pagesInFlight(PriorityStart) != 1 {
		t.Errorf("%d pages of starts in flight, want 1", s.pagesInFlight(PriorityStart))
	}
}

// TestCompletionsAreRecordedOldestFirst checks that all completions are recorded eventually, starting with the one that
// has waited longest, while the store processes one write at a time.
func TestCompletionsAreRecordedOldestFirst(t *testing.T) {
	const jobs = 40
	s := newManualStore(t, jobs)
	s.endFirstTasks()
	s.now += CycleInterval
	s.step(Tick{})
	var order []string
	for len(s.inFlight) > 0 {
		w := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		order = append(order, w.Txn.Then[0].PutKey)
		s.revision++
		s.step(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
	}
	if len(order) != jobs || !slices.IsSorted(order) {
		t.Errorf(
			"%d of %d jobs' completions recorded, want all; in the order %v, want it sorted",
			len(order),
			jobs,
			order,
		)
	}
	if s.scheduler.writes.pagesInFlight[PriorityCompletion] != 0 {
		t.Errorf("%d pages still count as in flight, want none", s.scheduler.writes.pagesInFlight[PriorityCompletion])
	}
}

// TestPagesOfStartsAreWrittenFirst checks that, if a job has many pages to write, the pages of placements that wait to
// start are written first.
func TestPagesOfStartsAreWrittenFirst(t *testing.T) {
	j := jobstate.New(jobSpec("j-1", protocol.Array, "normal", 100, 1), 1, 0, 0, storage.PageLayout{TasksPerPage: 10})
	for task := range 100 {
		j.MarkDirty(task, 0)
	}
	j.Unstarted = []*machineregistry.Placement{{Task: protocol.TaskID{JobID: "j-1", Index: 95}}}
	if got := j.PagesToWrite(3); !slices.Equal(got, []int{0, 1, 9}) {
		t.Errorf("pages %v, want the page of the start and two others", got)
	}
}
