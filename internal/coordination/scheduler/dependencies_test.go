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

// dependentJob returns a job that depends on others.
func dependentJob(id string, prio protocol.Priority, tasks int, awaits ...string) protocol.Job {
	j := jobSpec(id, protocol.Array, prio, tasks, 4)
	j.Dependencies = awaits
	return j
}

// stepWithCommands is step, and has the machines carry out their commands.
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

// cycleWithHeartbeats runs a cycle in which the machines send heartbeats and carry out commands.
func (s *manualStore) cycleWithHeartbeats() {
	s.now += CycleInterval
	for _, name := range sortedNames(s.tasks) {
		s.stepWithCommands(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
	s.stepWithCommands(Tick{})
}

// accept applies an accepted job.
func (s *manualStore) accept(j protocol.Job) {
	s.revision++
	s.step(JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: s.now.Milliseconds()}, Revision: s.revision})
}

// exitAllTasks ends all tasks of a job.
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

// answerAllWrites answers the writes in flight, in order.
func (s *manualStore) answerAllWrites() {
	for len(s.inFlight) > 0 {
		s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
	}
}

// TestUnblockedByFinalRecordOnly: a job whose tasks have all exited unblocks its dependents only once its end is
// recorded, and that record goes before the ends of other jobs.
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
		t.Fatalf("its end is not written with the priority of one that unblocks others: %+v", s.inFlight)
	}
	for range 5 {
		s.cycleOnce()
		if j := s.scheduler.jobs["j-2"]; len(j.Placements) > 0 || !j.Blocked {
			t.Fatal("its dependent has a placement before its end is recorded")
		}
	}
	s.answer(TransactionOutcome{WriteID: s.inFlight[i].ID, Succeeded: true})
	s.cycleOnce()
	if len(s.scheduler.jobs["j-2"].Placements) != 1 {
		t.Error("its dependent has no placement although its end is recorded")
	}
}

// TestBlockedJobUsesNoQuota: a blocked job uses nothing of its team's quota, and its waiting counts from when it is
// unblocked.
func TestBlockedJobUsesNoQuota(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red", MaxGPUs: 8}}, "a")
	b.heartbeat("m1", "a", false)
	b.heartbeat("m2", "a", false)
	b.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 4))
	b.addJob(dependentJob("j-2", "critical", 2, "j-1"))
	b.addJob(jobSpec("j-3", protocol.Array, "best_effort", 1, 4))
	b.runCycle()
	if b.startedTasks("j-1") != 1 || b.startedTasks("j-3") != 1 || b.startedTasks("j-2") != 0 {
		t.Fatalf("starts: %d, %d, %d", b.startedTasks("j-1"), b.startedTasks("j-3"), b.startedTasks("j-2"))
	}
	b.now += time.Minute
	b.heartbeat("m1", "a", false)
	b.heartbeat("m2", "a", false)
	for name, tasks := range b.tasks {
		for id, task := range tasks {
			if id.JobID == "j-1" {
				task.State, task.Cause = protocol.TaskExited, protocol.CauseDone
				b.heartbeat(name, "a", false, task)
			}
		}
	}
	if j := b.scheduler.jobs["j-2"]; j.Blocked || j.WaitingSince != b.now {
		t.Errorf("unblocked: blocked %v, its waiting counts from %v at %v", j.Blocked, j.WaitingSince, b.now)
	}
}

// TestCancelledDependentsAreRecorded: the leader records the ends of all jobs that are cancelled with a dependency, at
// any depth and also if submitted later, several in a transaction within the limits.
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
		t.Error("the leader still has a status of the last one")
	}
	s.accept(dependentJob("j-41", "normal", 1, "j-7"))
	ended := map[string]string{}
	for len(s.inFlight) > 0 {
		w := s.inFlight[0]
		if len(w.Txn.Then) > s.scheduler.recordLimits.MaxOperations() ||
			len(w.Txn.If) > 4*s.scheduler.recordLimits.MaxOperations() {
			t.Fatalf("%d operations and %d conditions", len(w.Txn.Then), len(w.Txn.If))
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
				"%s: recorded as cancelled with %q, still known %v",
				id,
				ended[storage.EndedJobKey(id)],
				s.scheduler.jobs[id] != nil,
			)
		}
	}
	if s.scheduler.dependencies.Len() != 0 {
		t.Errorf("%d jobs stay in the graph", s.scheduler.dependencies.Len())
	}
}

// TestPriorityReachesDependencies: the priority and deadline of a job apply to its dependencies, waiting or running,
// once it is submitted. Nothing is restarted for that, and lower priorities don't preempt them any more.
func TestPriorityReachesDependencies(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m1", "a", false)
	b.addJob(jobSpec("j-1", protocol.Array, "best_effort", 2, 4))
	b.addJob(dependentJob("j-2", "best_effort", 1, "j-1"))
	b.runCycle()
	if b.startedTasks("j-1") != 2 {
		t.Fatalf("%d starts", b.startedTasks("j-1"))
	}
	last := dependentJob("j-3", "urgent", 1, "j-2")
	last.DeadlineSeconds, last.EstimateSeconds = 100, 10
	b.addJob(last)
	for _, id := range []string{"j-1", "j-2"} {
		if j := b.scheduler.jobs[id]; j.EffectivePriority != 1 || j.LatestStart == dependency.NoDeadline {
			t.Errorf("%s has priority %d, latest start %v", id, j.EffectivePriority, j.LatestStart)
		}
	}
	if m := b.scheduler.machines.Machine(
		"m1",
	); m.PreemptibleResources(2).GPUs != 0 ||
		m.PreemptibleResources(1).GPUs != 8 {
		t.Error("the running tasks still count with the old priority")
	}
	if b.startedTasks("j-1") != 2 || len(b.stops) > 0 {
		t.Error("something was stopped or started again")
	}
	b.addJob(jobSpec("j-4", protocol.Array, "normal", 1, 8))
	for range 5 {
		b.runCycle()
	}
	if len(b.stops) > 0 {
		t.Error("normal work has preempted a dependency of urgent work")
	}
}

// TestRecoveryOfPipelines: a new leader reads the final states of dependencies that don't live any more, and starts
// nothing before the answer. Of jobs with recorded placements it needs none: all their dependencies were done.
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
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.scheduler = New(0, Options{
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
			Pages: []protocol.KeyValue{{Key: started.Key(), Value: page, Revision: 4}},
		},
	})
	var asked []string
	b.onEffect = func(e Effect) {
		if r, ok := e.(ReadFinalState); ok {
			asked = append(asked, r.ID)
		}
	}
	b.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-2"}, 1))
	b.heartbeat("m2", "a", false)
	for range 3 {
		b.runCycle()
	}
	if !slices.Equal(asked, []string{"j-1"}) {
		t.Errorf("it reads the final states of %v", asked)
	}
	if status, ok := b.scheduler.Status(
		"j-2",
	); !ok || !status.Unblocked || b.scheduler.jobs["j-2"].Blocked ||
		b.startedTasks("j-3")+b.startedTasks("j-4") > 0 {
		t.Errorf(
			"the started one: %+v %v; the others have %d starts",
			status,
			ok,
			b.startedTasks("j-3")+b.startedTasks("j-4"),
		)
	}
	b.apply(FinalStateRead{ID: "j-1"}) // not to be read yet
	b.now += CycleInterval
	b.apply(Tick{})
	if len(asked) != 2 {
		t.Errorf("%d reads although there was no answer, want 2", len(asked))
	}
	b.apply(FinalStateRead{ID: "j-1", State: protocol.JobDone})
	b.heartbeat("m1", "a", false)
	b.heartbeat("m2", "a", false)
	b.runCycle()
	if b.startedTasks("j-3") != 1 || b.startedTasks("j-4") != 0 {
		t.Errorf("starts after the answer: %d, %d", b.startedTasks("j-3"), b.startedTasks("j-4"))
	}
}

// TestCycleCostIgnoresBlockedJobs: with fifty thousand blocked jobs a cycle without events allocates no more than
// without them, and the end of a job costs no more than its own dependents.
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
			s.now += CycleInterval // with a plan of the fleet
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
			"allocations with 50,000 that wait: %v a cycle, %v an end; with 10: %v, %v",
			largeCycle,
			largeEnd,
			smallCycle,
			smallEnd,
		)
	}
}

// TestForecastOfBlockedJobs: capacity is demanded for a blocked job once all its dependencies run and are likely to end
// before a machine requested now has booted, and not before.
func TestForecastOfBlockedJobs(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m1", "a", false)
	need := jobSpec("j-1", protocol.Array, "normal", 1, 4)
	need.EstimateSeconds = 50 // longer than a boot time of 30 s
	b.addJob(need)
	b.addJob(dependentJob("j-2", "normal", 3, "j-1"))
	b.addJob(dependentJob("j-3", "normal", 3, "j-2"))
	wanted := func() (ids []string) {
		for _, u := range b.scheduler.forecastBlockedJobs(b.now) {
			ids = append(ids, u.Job.ID)
		}
		return ids
	}
	b.runCycle()
	if got := wanted(); len(got) > 0 {
		t.Fatalf("before its dependency runs: %v", got)
	}
	b.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
	if got := wanted(); len(got) > 0 {
		t.Fatalf("long before its dependency ends: %v", got)
	}
	b.now += 25 * time.Second
	if got := wanted(); !slices.Equal(got, []string{"j-2"}) {
		t.Errorf("shortly before its dependency ends: %v", got)
	}
}
