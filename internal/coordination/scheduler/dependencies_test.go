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

// dependentJob returns a job with dependencies.
func dependentJob(id string, prio protocol.Priority, tasks int, dependencies ...string) protocol.Job {
	j := jobSpec(id, protocol.Array, prio, tasks, 4)
	j.Dependencies = dependencies
	return j
}

// stepWithCommands is like step, but machines execute the commands sent to them.
func (s *manualStore) stepWithCommands(e Event) {
	for _, effect := range s.scheduler.Step(s.now, e) {
		switch effect := effect.(type) {
		case Write:
			s.inFlight = append(s.inFlight, effect)
		case SendCommandBatch:
			s.executeCommands(effect.Machine, effect.Batch.FencingToken, effect.Batch.Commands)
			s.stepWithCommands(
				CommandBatchResult{
					Machine:      effect.Machine,
					Acknowledged: true,
					Heartbeat:    s.nextHeartbeat(effect.Machine),
				},
			)
		case HeartbeatReply:
			s.executeReply(effect)
		}
	}
}

// cycleWithHeartbeats runs a cycle in which machines send heartbeats and execute commands.
func (s *manualStore) cycleWithHeartbeats() {
	s.now += CycleInterval
	for _, name := range sortedNames(s.tasks) {
		s.stepWithCommands(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
	s.stepWithCommands(Tick{})
}

// accept delivers an accepted job.
func (s *manualStore) accept(j protocol.Job) {
	s.revision++
	s.step(JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: s.now.Milliseconds()}, Revision: s.revision})
}

// exitAllTasks reports all tasks of a job as done.
func (s *manualStore) exitAllTasks(id string) {
	for _, name := range sortedNames(s.tasks) {
		for task, t := range s.tasks[name] {
			if task.JobID == id {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				s.tasks[name][task] = t
			}
		}
		s.step(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

// answerAllWrites lets all writes in flight succeed, in order.
func (s *manualStore) answerAllWrites() {
	for len(s.inFlight) > 0 {
		s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
	}
}

// TestUnblockedByFinalRecordOnly checks that a job whose tasks have all exited unblocks its dependents only after its
// end is recorded, and that its record takes precedence over the ends of other jobs.
func TestUnblockedByFinalRecordOnly(t *testing.T) {
	s := newEmptyManualStore(3)
	s.accept(jobSpec("j-1", protocol.Array, "normal", 2, 4))
	s.accept(dependentJob("j-2", "normal", 1, "j-1"))
	s.cycleWithHeartbeats()
	s.answerAllWrites()
	s.cycleWithHeartbeats()
	s.cycleWithHeartbeats()
	s.exitAllTasks("j-1")
	i := slices.IndexFunc(s.inFlight, func(w Write) bool { return w.VerifyKey == storage.EndedJobKey("j-1") })
	if i < 0 || s.inFlight[i].Priority != PriorityUnblock {
		t.Fatalf("the end of j-1 is not written with PriorityUnblock: %+v", s.inFlight)
	}
	for range 5 {
		s.cycleOnce()
		if j := s.scheduler.jobs["j-2"]; len(j.Placements) > 0 || !j.Blocked {
			t.Fatal("the dependent was unblocked or placed before the end of its dependency was recorded")
		}
	}
	s.answer(TransactionOutcome{WriteID: s.inFlight[i].ID, Succeeded: true})
	s.cycleOnce()
	if len(s.scheduler.jobs["j-2"].Placements) != 1 {
		t.Error("the dependent was not placed after the end of its dependency was recorded")
	}
}

// TestBlockedJobUsesNoQuota checks that a blocked job uses none of the quota of its team, and that its waiting time
// counts from the time at which it is unblocked.
func TestBlockedJobUsesNoQuota(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red", MaxGPUs: 8}}, "a")
	h.heartbeat("m1", "a", false)
	h.heartbeat("m2", "a", false)
	h.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 4))
	h.addJob(dependentJob("j-2", "critical", 2, "j-1"))
	h.addJob(jobSpec("j-3", protocol.Array, "best_effort", 1, 4))
	h.runCycle()
	if h.startedTasks("j-1") != 1 || h.startedTasks("j-3") != 1 || h.startedTasks("j-2") != 0 {
		t.Fatalf(
			"j-1, j-3 and j-2 started %d, %d and %d tasks, want 1, 1 and 0",
			h.startedTasks("j-1"),
			h.startedTasks("j-3"),
			h.startedTasks("j-2"),
		)
	}
	h.now += time.Minute
	h.heartbeat("m1", "a", false)
	h.heartbeat("m2", "a", false)
	for name, tasks := range h.tasks {
		for id, task := range tasks {
			if id.JobID == "j-1" {
				task.State, task.Cause = protocol.TaskExited, protocol.CauseDone
				h.heartbeat(name, "a", false, task)
			}
		}
	}
	if j := h.scheduler.jobs["j-2"]; j.Blocked || j.WaitingSince != h.now {
		t.Errorf(
			"blocked %v, waiting since %v, want an unblocked job waiting since %v",
			j.Blocked,
			j.WaitingSince,
			h.now,
		)
	}
}

// TestCancelledDependentsAreRecorded checks that the leader records the ends of all jobs that are cancelled with a
// dependency, at any depth and even if they are submitted later, several in a transaction within the limits.
func TestCancelledDependentsAreRecorded(t *testing.T) {
	s := newEmptyManualStore(2)
	s.accept(jobSpec("j-0", protocol.Array, "normal", 1, 4))
	const n = 40
	for i := 1; i <= n; i++ {
		s.accept(dependentJob(fmt.Sprintf("j-%d", i), "normal", 1, fmt.Sprintf("j-%d", i-1)))
	}
	s.cycleOnce()
	s.answerAllWrites()
	s.revision++
	s.step(JobEnded{ID: "j-0"})
	s.step(FinalStateRead{ID: "j-0", State: protocol.JobCancelled})
	if _, ok := s.scheduler.Status("j-40"); ok {
		t.Error("the leader still returns a status of j-40")
	}
	s.accept(dependentJob("j-41", "normal", 1, "j-7"))
	ended := map[string]string{}
	for len(s.inFlight) > 0 {
		w := s.inFlight[0]
		if len(w.Txn.Then) > s.scheduler.recordLimits.MaxOperations() ||
			len(w.Txn.If) > 4*s.scheduler.recordLimits.MaxOperations() {
			t.Fatalf("%d operations and %d conditions exceed the limits", len(w.Txn.Then), len(w.Txn.If))
		}
		for _, op := range w.Txn.Then {
			var rec storage.EndedJobRecord
			if op.PutKey != "" && protocol.Decode(op.Value, &rec) == nil && rec.State == protocol.JobCancelled {
				ended[op.PutKey] = rec.CancelledDependency
			}
		}
		s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
	}
	for i := 1; i <= n+1; i++ {
		if id := fmt.Sprintf("j-%d", i); ended[storage.EndedJobKey(id)] != "j-0" || s.scheduler.jobs[id] != nil {
			t.Errorf(
				"%s: recorded as cancelled with %q, still known %v, want j-0 and not known",
				id,
				ended[storage.EndedJobKey(id)],
				s.scheduler.jobs[id] != nil,
			)
		}
	}
	if s.scheduler.dependencies.Len() != 0 {
		t.Errorf("%d jobs remain in the graph, want none", s.scheduler.dependencies.Len())
	}
}

// TestPriorityReachesDependencies checks that the priority and deadline of a job apply to its waiting and running
// dependencies as soon as it is submitted. The dependencies are not restarted for that, and jobs of lower priority no
// longer preempt them.
func TestPriorityReachesDependencies(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m1", "a", false)
	h.addJob(jobSpec("j-1", protocol.Array, "best_effort", 2, 4))
	h.addJob(dependentJob("j-2", "best_effort", 1, "j-1"))
	h.runCycle()
	if h.startedTasks("j-1") != 2 {
		t.Fatalf("%d tasks started, want 2", h.startedTasks("j-1"))
	}
	last := dependentJob("j-3", "urgent", 1, "j-2")
	last.DeadlineSeconds, last.EstimateSeconds = 100, 10
	h.addJob(last)
	for _, id := range []string{"j-1", "j-2"} {
		if j := h.scheduler.jobs[id]; j.EffectivePriority != 1 || j.LatestStart == dependency.NoDeadline {
			t.Errorf(
				"%s has priority %d and latest start %v, want those of j-3",
				id,
				j.EffectivePriority,
				j.LatestStart,
			)
		}
	}
	if m := h.scheduler.machines.Machine(
		"m1",
	); m.PreemptibleResources(2).GPUs != 0 ||
		m.PreemptibleResources(1).GPUs != 8 {
		t.Error("the running tasks still count with the old priority")
	}
	if h.startedTasks("j-1") != 2 || len(h.stops) > 0 {
		t.Error("a task was stopped or restarted")
	}
	h.addJob(jobSpec("j-4", protocol.Array, "normal", 1, 8))
	for range 5 {
		h.runCycle()
	}
	if len(h.stops) > 0 {
		t.Error("a job of normal priority preempted a dependency of an urgent job")
	}
}

// TestRecoveryOfPipelines checks that a new leader reads the final states of dependencies that are no longer live, and
// starts no dependents before the answer. Jobs with recorded placements need no answer: all of their dependencies were
// done.
func TestRecoveryOfPipelines(t *testing.T) {
	old := newHarness([]config.Team{{Name: "red"}}, "a")
	record := func(j protocol.Job) protocol.KeyValue {
		raw, err := protocol.Encode(storage.LiveJobRecord{Job: j})
		if err != nil {
			t.Fatal(err)
		}
		return protocol.KeyValue{Key: storage.LiveJobKey(j.ID), Value: raw, Revision: 3}
	}
	page, err := storage.EncodePage(&storage.PlacementPage{
		HighestAttempt: 1, Team: "red", GPUs: 4, CPUs: 1, MemoryGB: 1, Zones: []string{"a"},
		Placements: []storage.Placement{{Task: 0, Machine: "m1", Incarnation: 1, Attempt: 1}},
	}, storage.PageLayout{TasksPerPage: 48, Compact: true})
	if err != nil {
		t.Fatal(err)
	}
	started := storage.PageID{Job: "j-2", Layout: storage.PageLayout{TasksPerPage: 48, Compact: true}}
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.scheduler = New(0, Options{
		Config: old.scheduler.cfg,
		Log:    old.scheduler.log,
		Term:   Term{Number: 6, Revision: 2, FeatureLevel: featurelevel.Pipelines},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*old.scheduler.machines.MachineType("g8")},
			LiveJobs: []protocol.KeyValue{
				record(dependentJob("j-2", "normal", 1, "j-1")),
				record(dependentJob("j-3", "normal", 1, "j-1")),
				record(dependentJob("j-4", "normal", 1, "j-3")),
			},
			PlacementPages: []protocol.KeyValue{{Key: started.Key(), Value: page, Revision: 4}},
		},
	})
	var read []string
	h.onEffect = func(e Effect) {
		if r, ok := e.(ReadFinalState); ok {
			read = append(read, r.ID)
		}
	}
	h.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-2"}, 1))
	h.heartbeat("m2", "a", false)
	for range 3 {
		h.runCycle()
	}
	if !slices.Equal(read, []string{"j-1"}) {
		t.Errorf("final states read: %v, want j-1", read)
	}
	if status, ok := h.scheduler.Status(
		"j-2",
	); !ok || !status.Unblocked || h.scheduler.jobs["j-2"].Blocked ||
		h.startedTasks("j-3")+h.startedTasks("j-4") > 0 {
		t.Errorf(
			"started job: %+v, known %v, want it known and unblocked; the others started %d tasks, want none",
			status,
			ok,
			h.startedTasks("j-3")+h.startedTasks("j-4"),
		)
	}
	h.apply(FinalStateRead{ID: "j-1"}) // the state could not be read
	h.now += CycleInterval
	h.apply(Tick{})
	if len(read) != 2 {
		t.Errorf("%d reads after an answer without a state, want 2", len(read))
	}
	h.apply(FinalStateRead{ID: "j-1", State: protocol.JobDone})
	h.heartbeat("m1", "a", false)
	h.heartbeat("m2", "a", false)
	h.runCycle()
	if h.startedTasks("j-3") != 1 || h.startedTasks("j-4") != 0 {
		t.Errorf(
			"after the answer j-3 and j-4 started %d and %d tasks, want 1 and 0",
			h.startedTasks("j-3"),
			h.startedTasks("j-4"),
		)
	}
}

// TestCycleCostIgnoresBlockedJobs checks that a cycle without events allocates no more with fifty thousand blocked jobs
// than with a few, and that the cost of a job's end depends only on its own dependents.
func TestCycleCostIgnoresBlockedJobs(t *testing.T) {
	costs := func(waiting int) (cycle, end float64) {
		s := newEmptyManualStore(50)
		s.accept(jobSpec("j-hub", protocol.Array, "normal", 1, 4))
		for i := range waiting {
			s.accept(dependentJob(fmt.Sprintf("j-%05d", i), "normal", 1, "j-hub"))
		}
		s.accept(jobSpec("j-a", protocol.Array, "normal", 1, 4))
		s.accept(dependentJob("j-b", "normal", 1, "j-a"))
		s.cycleOnce()
		s.answerAllWrites()
		cycle = testing.AllocsPerRun(20, func() {
			s.now += CycleInterval // includes a capacity plan
			s.scheduler.Step(s.now, Tick{})
		})
		runs := 0
		end = testing.AllocsPerRun(1, func() {
			if runs++; runs == 1 {
				s.scheduler.dependencyEnded(s.now, "j-a", dependency.Done)
			}
		})
		return cycle, end
	}
	smallCycle, smallEnd := costs(10)
	largeCycle, largeEnd := costs(50_000)
	if largeCycle > smallCycle+2*maxForecastJobs || largeEnd > smallEnd+10 {
		t.Errorf(
			"allocations with 50,000 blocked jobs: %v per cycle, %v per end, want about as many as with 10: %v, %v",
			largeCycle,
			largeEnd,
			smallCycle,
			smallEnd,
		)
	}
}

// TestForecastOfBlockedJobs checks that capacity is requested for a blocked job as soon as all of its dependencies are
// running and likely to end before a machine requested now has booted, and not before.
func TestForecastOfBlockedJobs(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m1", "a", false)
	first := jobSpec("j-1", protocol.Array, "normal", 1, 4)
	first.EstimateSeconds = 50 // longer than the boot time of 30 s
	h.addJob(first)
	h.addJob(dependentJob("j-2", "normal", 3, "j-1"))
	h.addJob(dependentJob("j-3", "normal", 3, "j-2"))
	forecast := func() (ids []string) {
		for _, d := range h.scheduler.forecastBlockedJobs(h.now) {
			ids = append(ids, d.Job.ID)
		}
		return ids
	}
	h.runCycle()
	if got := forecast(); len(got) > 0 {
		t.Fatalf("forecast before the dependency runs: %v, want none", got)
	}
	h.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
	if got := forecast(); len(got) > 0 {
		t.Fatalf("forecast long before the dependency ends: %v, want none", got)
	}
	h.now += 25 * time.Second
	if got := forecast(); !slices.Equal(got, []string{"j-2"}) {
		t.Errorf("forecast shortly before the dependency ends: %v, want j-2", got)
	}
}
