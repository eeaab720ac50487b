package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// after returns a job that awaits others.
func after(id string, prio protocol.Priority, tasks int, awaits ...string) protocol.Job {
	j := spec(id, protocol.Array, prio, tasks, 4)
	j.Dependencies = awaits
	return j
}

// stepAll is step, and has the machines carry out their commands.
func (s *manualStore) stepAll(e Event) {
	for _, effect := range s.c.Step(s.now, e) {
		switch effect := effect.(type) {
		case Write:
			s.inFlight = append(s.inFlight, effect)
		case Order:
			s.take(effect.Machine, effect.Orders.FencingToken, effect.Orders.Commands)
			s.stepAll(OrdersDone{Machine: effect.Machine, OK: true, Report: s.report(effect.Machine)})
		case Answer:
			s.take(effect.Tag.(string), effect.Body.FencingToken, effect.Body.Commands)
		}
	}
}

// cycleAll lets a cycle pass, in which the machines report and carry out commands.
func (s *manualStore) cycleAll() {
	s.now += Cycle
	for _, name := range sortedNames(s.tasks) {
		s.stepAll(Reported{Tag: name, Report: s.report(name)})
	}
	s.stepAll(Tick{})
}

// accept hands in an accepted job.
func (s *manualStore) accept(j protocol.Job) {
	s.rev++
	s.step(JobSet{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: s.now.Milliseconds()}, Stamp: s.rev})
}

// endAll ends all tasks of a job.
func (s *manualStore) endAll(id string) {
	for _, name := range sortedNames(s.tasks) {
		for task, t := range s.tasks[name] {
			if task.JobID == id {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				s.tasks[name][task] = t
			}
		}
		s.step(Reported{Tag: name, Report: s.report(name)})
	}
}

// answerAll answers the writes that are under way, in order.
func (s *manualStore) answerAll() {
	for len(s.inFlight) > 0 {
		s.answer(Written{Write: s.inFlight[0].ID, OK: true})
	}
}

// TestFreedByTheRecordAlone: that all tasks of a job have exited frees nothing: only the record of its end does, and
// that goes before other ends.
func TestFreedByTheRecordAlone(t *testing.T) {
	s := newEmptyManualStore(3)
	s.accept(spec("j-1", protocol.Array, "normal", 2, 4))
	s.accept(after("j-2", "normal", 1, "j-1"))
	s.cycleAll()
	s.answerAll()
	s.cycleAll()
	s.cycleAll()
	s.endAll("j-1")
	i := slices.IndexFunc(s.inFlight, func(w Write) bool { return w.Verify == storage.EndedJobKey("j-1") })
	if i < 0 || s.inFlight[i].For != Frees {
		t.Fatalf("its end is not written as one that others await: %+v", s.inFlight)
	}
	for range 5 {
		s.cycleOnce()
		if j := s.c.jobs["j-2"]; len(j.places) > 0 || !j.blocked {
			t.Fatal("the job after it has a placement before its end is recorded")
		}
	}
	s.answer(Written{Write: s.inFlight[i].ID, OK: true})
	s.cycleOnce()
	if len(s.c.jobs["j-2"].places) != 1 {
		t.Error("the job after it has no placement although its end is recorded")
	}
}

// TestWaitingHoldsNothing: a job that awaits another holds no part of its team's limit, its waiting times count
// from when it is freed, and a cycle without news does nothing for it.
func TestWaitingHoldsNothing(t *testing.T) {
	b := newBench([]config.Team{{Name: "red", MaxGPUs: 8}}, "a")
	b.machine("m1", "a", false)
	b.machine("m2", "a", false)
	b.job(spec("j-1", protocol.Array, "normal", 1, 4))
	b.job(after("j-2", "critical", 2, "j-1"))
	b.job(spec("j-3", protocol.Array, "best_effort", 1, 4))
	b.cycle()
	if b.started("j-1") != 1 || b.started("j-3") != 1 || b.started("j-2") != 0 {
		t.Fatalf("starts: %d, %d, %d", b.started("j-1"), b.started("j-3"), b.started("j-2"))
	}
	b.now += time.Minute
	b.machine("m1", "a", false)
	b.machine("m2", "a", false)
	for name, tasks := range b.tasks {
		for id, task := range tasks {
			if id.JobID == "j-1" {
				task.State, task.Cause = protocol.TaskExited, protocol.CauseDone
				b.machine(name, "a", false, task)
			}
		}
	}
	if j := b.c.jobs["j-2"]; j.blocked || j.known != b.now {
		t.Errorf("freed: blocked %v, its waiting counts from %v at %v", j.blocked, j.known, b.now)
	}
}

// TestCascadeIsRecorded: jobs that are cancelled with one that they await, at any depth, end by the leader's
// records, several in a transaction within the limits; what was submitted later too.
func TestCascadeIsRecorded(t *testing.T) {
	s := newEmptyManualStore(2)
	s.accept(spec("j-0", protocol.Array, "normal", 1, 4))
	const n = 40
	for i := 1; i <= n; i++ {
		s.accept(after(fmt.Sprintf("j-%d", i), "normal", 1, fmt.Sprintf("j-%d", i-1)))
	}
	s.cycleOnce()
	s.answerAll()
	s.rev++
	s.step(JobDropped{ID: "j-0"})
	s.step(EndRead{ID: "j-0", Standing: protocol.JobCancelled})
	if _, ok := s.c.Status("j-40"); ok {
		t.Error("the leader still tells how the last one stands")
	}
	s.accept(after("j-41", "normal", 1, "j-7"))
	ended := map[string]string{}
	for len(s.inFlight) > 0 {
		w := s.inFlight[0]
		if len(w.Txn.Then) > s.c.stateLimits.TxnOps || len(w.Txn.If) > 4*s.c.stateLimits.TxnOps {
			t.Fatalf("%d operations and %d conditions", len(w.Txn.Then), len(w.Txn.If))
		}
		for _, op := range w.Txn.Then {
			var rec storage.EndedJobRecord
			if op.PutKey != "" && protocol.Decode(op.Value, &rec) == nil && rec.State == protocol.JobCancelled {
				ended[op.PutKey] = rec.CancelledDependency
			}
		}
		s.answer(Written{Write: w.ID, OK: true})
	}
	for i := 1; i <= n+1; i++ {
		if id := fmt.Sprintf("j-%d", i); ended[storage.EndedJobKey(id)] != "j-0" || s.c.jobs[id] != nil {
			t.Errorf("%s: recorded as cancelled with %q, still known %v", id, ended[storage.EndedJobKey(id)], s.c.jobs[id] != nil)
		}
	}
	if s.c.graph.Len() != 0 {
		t.Errorf("%d jobs stay in the graph", s.c.graph.Len())
	}
}

// TestPriorityFlowsBack: the last job's priority and deadline reach what it awaits, waiting or running, when it is
// submitted: nothing is restarted, and what is lower may then not make room.
func TestPriorityFlowsBack(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m1", "a", false)
	b.job(spec("j-1", protocol.Array, "best_effort", 2, 4))
	b.job(after("j-2", "best_effort", 1, "j-1"))
	b.cycle()
	if b.started("j-1") != 2 {
		t.Fatalf("%d starts", b.started("j-1"))
	}
	last := after("j-3", "urgent", 1, "j-2")
	last.DeadlineSeconds, last.EstimateSeconds = 100, 10
	b.job(last)
	for _, id := range []string{"j-1", "j-2"} {
		if j := b.c.jobs[id]; j.level != 1 || j.latestStart == dependency.Never {
			t.Errorf("%s has level %d, latest start %v", id, j.level, j.latestStart)
		}
	}
	if m := b.c.machines.Machine("m1"); m.PreemptibleResources(2).GPUs != 0 || m.PreemptibleResources(1).GPUs != 8 {
		t.Error("the running tasks still count by the old priority")
	}
	if b.started("j-1") != 2 || len(b.stops) > 0 {
		t.Error("something was stopped or started anew")
	}
	b.job(spec("j-4", protocol.Array, "normal", 1, 8))
	for range 5 {
		b.cycle()
	}
	if len(b.stops) > 0 {
		t.Error("normal work has made what urgent work awaits leave")
	}
}

// TestRecoveryOfPipelines: a new leader asks how those needs ended that don't live any more, but not of jobs of
// which placements are recorded, for they could not have been before; nothing starts before the answer.
func TestRecoveryOfPipelines(t *testing.T) {
	old := newBench([]config.Team{{Name: "red"}}, "a")
	record := func(j protocol.Job) protocol.KeyValue {
		raw, err := protocol.Encode(storage.LiveJobRecord{Job: j})
		if err != nil {
			t.Fatal(err)
		}
		return protocol.KeyValue{Key: storage.LiveJobKey(j.ID), Value: raw, Revision: 3}
	}
	page, err := storage.EncodePage(&storage.PlacementPage{HighestAttempt: 1, Team: "red", GPUs: 4, CPUs: 1, MemoryGB: 1, Zones: []string{"a"},
		Placements: []storage.Placement{{Task: 0, Machine: "m1", Incarnation: 1, Attempt: 1}}}, storage.PageLayout{TasksPerPage: 48, Compact: true})
	if err != nil {
		t.Fatal(err)
	}
	started := storage.PageID{Job: "j-2", Layout: storage.PageLayout{TasksPerPage: 48, Compact: true}}
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c = New(0, old.c.cfg, old.c.log, Term{Number: 6, Stamp: 2, Level: featurelevel.Pipelines}, Records{
		Types: []protocol.MachineType{*old.c.machines.MachineType("g8")},
		Live:  []protocol.KeyValue{record(after("j-2", "normal", 1, "j-1")), record(after("j-3", "normal", 1, "j-1")), record(after("j-4", "normal", 1, "j-3"))},
		Pages: []protocol.KeyValue{{Key: started.Key(), Value: page, Revision: 4}},
	}, 0, nil)
	var asked []string
	b.onEffect = func(e Effect) {
		if r, ok := e.(ReadEnd); ok {
			asked = append(asked, r.ID)
		}
	}
	b.machine("m1", "a", false, running(protocol.TaskID{JobID: "j-2"}, 1))
	b.machine("m2", "a", false)
	for range 3 {
		b.cycle()
	}
	if !slices.Equal(asked, []string{"j-1"}) {
		t.Errorf("it asks for the ends of %v", asked)
	}
	if status, ok := b.c.Status("j-2"); !ok || !status.Unblocked || b.c.jobs["j-2"].blocked || b.started("j-3")+b.started("j-4") > 0 {
		t.Errorf("the started one: %+v %v; the others have %d starts", status, ok, b.started("j-3")+b.started("j-4"))
	}
	b.do(EndRead{ID: "j-1"}) // not to be read yet
	b.now += Cycle
	b.do(Tick{})
	if len(asked) != 2 {
		t.Errorf("it has asked %d times although there was no answer", len(asked))
	}
	b.do(EndRead{ID: "j-1", Standing: protocol.JobDone})
	b.machine("m1", "a", false)
	b.machine("m2", "a", false)
	b.cycle()
	if b.started("j-3") != 1 || b.started("j-4") != 0 {
		t.Errorf("starts after the answer: %d, %d", b.started("j-3"), b.started("j-4"))
	}
}

// TestCyclesDoNothingForWhatWaits: with fifty thousand jobs that await others, a cycle without news allocates no
// more than without them, and an end costs those that it frees.
func TestCyclesDoNothingForWhatWaits(t *testing.T) {
	costs := func(waiting int) (cycle, end float64) {
		s := newEmptyManualStore(50)
		s.accept(spec("j-hub", protocol.Array, "normal", 1, 4))
		for i := range waiting {
			s.accept(after(fmt.Sprintf("j-%05d", i), "normal", 1, "j-hub"))
		}
		s.accept(spec("j-a", protocol.Array, "normal", 1, 4))
		s.accept(after("j-b", "normal", 1, "j-a"))
		s.cycleOnce()
		s.answerAll()
		cycle = testing.AllocsPerRun(20, func() {
			s.now += Cycle // with a plan of the fleet
			s.c.Step(s.now, Tick{})
		})
		runs := 0
		end = testing.AllocsPerRun(1, func() {
			if runs++; runs == 1 {
				s.c.needEnded(s.now, "j-a", dependency.Done)
			}
		})
		return cycle, end
	}
	smallCycle, smallEnd := costs(10)
	largeCycle, largeEnd := costs(50_000)
	if largeCycle > smallCycle+2*mostForeseen || largeEnd > smallEnd+10 {
		t.Errorf("allocations with 50,000 that wait: %v a cycle, %v an end; with 10: %v, %v", largeCycle, largeEnd, smallCycle, smallEnd)
	}
}

// TestForeseen: room is wanted for a job that awaits others once all of them run and are likely to end before a machine
// rented now would be up, and not before.
func TestForeseen(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m1", "a", false)
	need := spec("j-1", protocol.Array, "normal", 1, 4)
	need.EstimateSeconds = 50 // longer than a boot time of 30 s
	b.job(need)
	b.job(after("j-2", "normal", 3, "j-1"))
	b.job(after("j-3", "normal", 3, "j-2"))
	wanted := func() (ids []string) {
		for _, u := range b.c.foreseen(b.now) {
			ids = append(ids, u.Job.ID)
		}
		return ids
	}
	b.cycle()
	if got := wanted(); len(got) > 0 {
		t.Fatalf("before what it awaits runs: %v", got)
	}
	b.machine("m1", "a", false, running(protocol.TaskID{JobID: "j-1"}, 1))
	if got := wanted(); len(got) > 0 {
		t.Fatalf("long before what it awaits ends: %v", got)
	}
	b.now += 25 * time.Second
	if got := wanted(); !slices.Equal(got, []string{"j-2"}) {
		t.Errorf("shortly before what it awaits ends: %v", got)
	}
}
