package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestPreemption checks that tasks of lower priority are preempted, with time to save a checkpoint if the objective
// leaves enough, and that tasks of the same priority never are.
func TestPreemption(t *testing.T) {
	for _, tc := range []struct {
		prio       protocol.Priority
		checkpoint float64
		objective  float64 // for the start latency, in seconds
		grace      float64
		stops      int
	}{{"critical", 10, 60, 6, 1}, {"critical", 4, 60, 0, 1}, {"critical", 10, 4, 0, 1}, {"normal", 10, 60, 0, 0}} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: tc.objective, Fraction: 0.9}})
		h.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "normal", 1, 8)
		low.CheckpointIntervalSeconds, low.CheckpointSaveSeconds = tc.checkpoint, 2
		h.addJob(low)
		h.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		high := jobSpec("j-2", protocol.Service, tc.prio, 1, 4)
		high.Class = "quick"
		h.addJob(high)
		for range 4 {
			h.heartbeat("m1", "a", false, runningTask(id, 1))
			h.runCycle()
		}
		if len(h.stops) != tc.stops || h.stops[id] != tc.grace {
			t.Errorf("%s: stopped with grace periods %v", tc.prio, h.stops)
		}
	}
}

// TestPreemptionAcrossTeams checks that tasks of lower priority are also preempted if they belong to another team,
// except those within the guaranteed quota of that team. Tasks of equal priority are preempted only for a guaranteed
// quota.
func TestPreemptionAcrossTeams(t *testing.T) {
	for _, tc := range []struct {
		name       string
		red, guest config.Team
		prio       protocol.Priority
		stops      int
	}{
		{"lower work of a guest", config.Team{}, config.Team{}, "urgent", 1},
		{"equal work of a guest", config.Team{}, config.Team{}, "best_effort", 0},
		{"equal work of a guest, for a guarantee", config.Team{GuaranteedGPUs: 8}, config.Team{}, "best_effort", 1},
		{"lower work within its guarantee", config.Team{}, config.Team{GuaranteedGPUs: 8}, "urgent", 0},
		{"lower work beyond its guarantee", config.Team{}, config.Team{GuaranteedGPUs: 4}, "urgent", 1},
	} {
		tc.red.Name, tc.guest.Name = "red", "guest"
		h := newHarness([]config.Team{tc.red, tc.guest}, "a")
		h.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "best_effort", 1, 8)
		low.Team = "guest"
		h.addJob(low)
		h.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		h.addJob(jobSpec("j-2", protocol.Gang, tc.prio, 1, 8))
		for range 4 {
			h.heartbeat("m1", "a", false, runningTask(id, 1))
			h.runCycle()
		}
		if len(h.stops) != tc.stops {
			t.Errorf("%s: stopped %v", tc.name, h.stops)
		}
	}
}

// TestPreemptedCapacityIsUsed checks that capacity that was preempted for a task is used once it is free, although the
// fetch now takes longer than what is left of the start latency objective. Waiting for a machine with the image, on
// which nothing is being preempted, would use up the rest of the objective.
func TestPreemptedCapacityIsUsed(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}})
	h.heartbeat("m1", "a", false)
	low := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
	low.CheckpointIntervalSeconds, low.CheckpointSaveSeconds = 30, 3
	h.addJob(low)
	h.runCycle()
	id := protocol.TaskID{JobID: "j-1"}
	h.heartbeat("m1", "a", false, runningTask(id, 1))
	quick := jobSpec("j-2", protocol.Service, "critical", 1, 8)
	quick.Class, quick.Image, quick.ImageGB = "quick", "big", 9
	h.addJob(quick)
	for range 3 {
		h.runCycle()
		h.heartbeat("m1", "a", false, runningTask(id, 1))
	}
	if _, stopped := h.stops[id]; !stopped {
		t.Fatal("j-1 was not preempted for j-2")
	}
	h.runCycle()
	saved := exitedTask(id, 1, protocol.CauseStopped)
	saved.CheckpointSaved = true
	h.heartbeat("m1", "a", false, saved)
	h.runCycle()
	if h.startedTasks("j-2") != 1 {
		t.Error("the preempted capacity was not used")
	}
}

// TestLateGangsYield checks that, under overload, a gang that can still start in time takes precedence over an older
// gang of its class that is late in any case, and that the older gang eventually takes precedence again.
func TestLateGangsYield(t *testing.T) {
	for _, tc := range []struct {
		waited int // seconds, by the older gang
		want   string
	}{{5, "j-2"}, {25, "j-3"}, {70, "j-2"}} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.setObjectives([]config.Objective{
			{Kind: "wait", Class: "big", WithinSeconds: 20, Fraction: 0.9},
			{Kind: "finished", Class: "big", WithinSeconds: 30, Fraction: 0.9},
		})
		gang := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateSeconds = "big", 20
		h.heartbeat("m1", "a", false)
		h.addJob(gang)
		h.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		h.heartbeat("m1", "a", false, runningTask(id, 1))
		gang.ID = "j-2"
		h.addJob(gang)
		for range tc.waited {
			h.heartbeat("m1", "a", false, runningTask(id, 1))
			h.runCycle()
		}
		gang.ID = "j-3"
		h.addJob(gang)
		h.heartbeat("m1", "a", false, exitedTask(id, 1, protocol.CauseDone))
		h.runCycle()
		second, third := h.startedTasks("j-2"), h.startedTasks("j-3")
		if h.startedTasks(tc.want) != 1 || second+third != 1 {
			t.Errorf("after %d s: j-2 started %d tasks and j-3 %d, want only %s", tc.waited, second, third, tc.want)
		}
	}
}

// TestNominationYieldsToEarlierJobs checks that a machine that is nominated for a gang is closed to jobs later in the
// scheduling order but not to earlier ones, and that it is open again once its gang has found capacity elsewhere.
// Otherwise each gang could hold a part of the capacity that any one of them needs.
func TestNominationYieldsToEarlierJobs(t *testing.T) {
	want := map[string]int{"j-1": 2, "j-3": 0}
	for _, nominated := range []string{"j-2", "j-0", "j-1"} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.heartbeat("m0", "a", false)
		h.addJob(jobSpec("j-0", protocol.Gang, "urgent", 1, 8))
		h.runCycle()
		h.heartbeat("m0", "a", false, runningTask(protocol.TaskID{JobID: "j-0"}, 1))
		for _, m := range []string{"m1", "m2"} {
			h.heartbeat(m, "a", false)
		}
		h.addJob(jobSpec("j-1", protocol.Gang, "urgent", 2, 8))
		h.addJob(jobSpec("j-2", protocol.Gang, "urgent", 2, 8))
		h.addJob(jobSpec("j-3", protocol.Array, "normal", 1, 1))
		m := h.scheduler.machines.Machine("m1")
		m.NominateFor(nominated, h.now+time.Minute)
		h.runCycle()
		for id, n := range want {
			if got := h.startedTasks(id); got != n {
				t.Errorf("nominated for %s: %s started %d tasks, want %d", nominated, id, got, n)
			}
		}
	}
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m1", "a", false)
	h.addJob(jobSpec("j-1", protocol.Service, "critical", 1, 16)) // fits nowhere
	h.addJob(jobSpec("j-2", protocol.Array, "normal", 1, 1))
	m := h.scheduler.machines.Machine("m1")
	m.NominateFor("j-1", h.now+time.Minute)
	h.runCycle()
	if h.startedTasks("j-2") != 0 {
		t.Error("a later job took capacity of a nominated machine")
	}
}

// TestReplicaWithoutImageLeavesCapacityForNext checks that a replica whose fetch takes longer than the start latency
// objective is placed on the used machine with the most free capacity, so that the next replica can start there without
// a fetch. It must not be placed on an empty machine, which jobs that need a whole machine could use.
func TestReplicaWithoutImageLeavesCapacityForNext(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 1, Fraction: 0.9}})
	for i, gpus := range []float64{6, 3} {
		name := fmt.Sprintf("m%d", i+1)
		h.heartbeat(name, "a", false)
		j := jobSpec(fmt.Sprintf("j-%d", i+1), protocol.Service, "critical", 1, gpus)
		j.CPUs, j.MemoryGB = 8*gpus, 32*gpus
		h.addJob(j)
		h.runCycle()
		h.heartbeat(name, "a", false, runningTask(protocol.TaskID{JobID: j.ID}, 1))
		h.scheduler.machines.Machine("m1").Quarantined = i == 0 // so that each job gets a machine of its own
	}
	h.scheduler.machines.Machine("m1").Quarantined = false
	h.heartbeat("m0", "a", false)
	quick := jobSpec("j-3", protocol.Service, "critical", 1, 1)
	quick.Class, quick.Image, quick.ImageGB = "quick", "small", 1
	h.addJob(quick)
	h.runCycle()
	if got := h.machineOf[protocol.TaskID{JobID: "j-3"}]; got != "m2" {
		t.Errorf("the replica was placed on %q, want m2", got)
	}
}

// TestFetchingArraysYield checks that a replica is placed on a machine as if arrays that are still fetching their image
// were not there, and that these arrays are stopped. When many jobs arrive at once, the arrays that came first fetch on
// every machine. Stopping them loses nothing but a fetch, whereas the fetch of the replica would take twice as long
// beside theirs. Arrays that are running are not stopped.
func TestFetchingArraysYield(t *testing.T) {
	for _, tc := range []struct {
		state protocol.TaskState
		prio  protocol.Priority
		stops int
	}{
		{protocol.TaskFetching, "critical", 1},
		{"", "critical", 0},
		{protocol.TaskRunning, "critical", 0},
		{protocol.TaskFetching, "urgent", 0},
	} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 40, Fraction: 0.9}})
		h.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "normal", 1, 1)
		low.Image, low.ImageGB = "low", 20
		h.addJob(low)
		h.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		if tc.state != "" { // otherwise the task was started, perhaps by an earlier leader, and not reported yet
			h.heartbeat("m1", "a", false, protocol.TaskStatus{TaskName: id.String(), Attempt: 1, State: tc.state})
		} else {
			h.scheduler.jobs["j-1"].Placements[0].State = ""
		}
		high := jobSpec("j-2", protocol.Service, tc.prio, 1, 2)
		high.Class, high.Image, high.ImageGB = "quick", "high", 30
		h.addJob(high)
		h.runCycle()
		h.apply(Tick{}) // the run command is sent after the stop command is answered
		if h.startedTasks("j-2") != 1 || len(h.stops) != tc.stops {
			t.Errorf(
				"%s replica and array in state %q: started %d tasks, stopped %v",
				tc.prio,
				tc.state,
				h.startedTasks("j-2"),
				h.stops,
			)
		}
	}
}

// TestMachineWithImageIsPreempted checks that a critical task waits for the preemption of a machine that has its image,
// if the fetch on a free machine without the image would take longer than its objective allows.
func TestMachineWithImageIsPreempted(t *testing.T) {
	for _, tc := range []struct {
		prio protocol.Priority
		want string
	}{{"critical", "m1"}, {"urgent", "m2"}} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}})
		h.heartbeat("m1", "a", false)
		low := jobSpec("j-2", protocol.Array, "normal", 1, 4)
		low.CheckpointIntervalSeconds, low.CheckpointSaveSeconds = 10, 2
		h.addJob(low)
		h.runCycle()
		two := protocol.TaskID{JobID: "j-2"}
		h.heartbeat("m1", "a", false, runningTask(two, 1))
		first := jobSpec("j-1", protocol.Service, "critical", 1, 4)
		first.Class, first.Image, first.ImageGB = "quick", "big", 60
		h.addJob(first)
		h.runCycle()
		one := protocol.TaskID{JobID: "j-1"}
		h.heartbeat("m1", "a", false, runningTask(one, 1))
		h.heartbeat("m2", "a", false) // empty, without the image

		next := first
		next.ID, next.Priority = "j-3", tc.prio
		h.addJob(next)
		h.runCycle()
		if _, stopped := h.stops[two]; stopped {
			h.heartbeat("m1", "a", false, exitedTask(two, 1, protocol.CauseStopped))
		}
		h.runCycle()
		if got := h.machineOf[protocol.TaskID{JobID: "j-3"}]; got != tc.want {
			t.Errorf("the %s task was placed on %q, want %s", tc.prio, got, tc.want)
		}
	}
}

// TestSlowFetchesAreNotSwapped checks that two tasks do not swap machines while both machines fetch the same image more
// slowly than their machine type states. Both fetches would start over, because a fetch is aborted when the task that
// needs it leaves. Only after one of the fetches is known to be complete does the other task move to that machine.
func TestSlowFetchesAreNotSwapped(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 40, Fraction: 0.9}})
	one, two := protocol.TaskID{JobID: "j-1"}, protocol.TaskID{JobID: "j-2"}
	fetching := func(id protocol.TaskID) protocol.TaskStatus {
		return protocol.TaskStatus{TaskName: id.String(), Attempt: 1, State: protocol.TaskFetching}
	}
	for _, id := range []protocol.TaskID{one, two} {
		h.heartbeat("m-"+id.JobID, "a", false)
		j := jobSpec(id.JobID, protocol.Service, "critical", 1, 4)
		j.Class, j.Image, j.ImageGB = "quick", "big", 40
		h.addJob(j)
		h.runCycle()
		h.heartbeat("m-"+id.JobID, "a", false, fetching(id))
		h.scheduler.machines.Machine("m-j-1").Quarantined = id == one // so that each job gets a machine of its own
	}
	h.scheduler.machines.Machine("m-j-1").Quarantined = false
	h.stops = map[protocol.TaskID]float64{}
	for range 55 {
		h.heartbeat(h.machineOf[one], "a", false, fetching(one))
		h.heartbeat(h.machineOf[two], "a", false, fetching(two))
		h.runCycle()
	}
	if h.machineOf[one] == h.machineOf[two] || len(h.stops) > 0 {
		t.Fatalf(
			"tasks on %s and %s, stopped %v, want two machines and none stopped",
			h.machineOf[one],
			h.machineOf[two],
			h.stops,
		)
	}
	h.heartbeat(h.machineOf[one], "a", false, runningTask(one, 1))
	h.runCycle()
	if _, ok := h.stops[two]; !ok {
		t.Error("the other task was not moved to the machine that has the image")
	}
}

// TestHeadroomForStartLatencyObjectives checks that arrays leave free the capacity that a class with a start latency
// objective is likely to need, if they have the same priority and therefore could not be preempted for it. That also
// applies to arrays with a longer objective. The class itself may use the capacity.
func TestHeadroomForStartLatencyObjectives(t *testing.T) {
	t.Run("no objective", func(t *testing.T) { checkHeadroomIsHeld(t) })
	t.Run("longer objective", func(t *testing.T) {
		checkHeadroomIsHeld(t, config.Objective{Kind: "wait", Class: "c", WithinSeconds: 100, Fraction: 0.9})
	})
}

func checkHeadroomIsHeld(t *testing.T, objectives ...config.Objective) {
	t.Helper()
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives(
		append(objectives, config.Objective{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}),
	)
	h.heartbeat("m1", "a", false)
	quick := jobSpec("j-1", protocol.Service, "normal", 1, 4)
	quick.Class = "quick"
	h.addJob(quick)
	h.runCycle()
	h.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
	h.runCycle()
	h.heartbeat("m1", "a", false)
	h.addJob(jobSpec("j-2", protocol.Array, "normal", 8, 1))
	h.runCycle()
	if n := h.startedTasks("j-2"); n != 0 {
		t.Errorf("%d array tasks use the headroom of another class", n)
	}
	quick.ID = "j-3"
	h.heartbeat("m1", "a", false)
	h.addJob(quick)
	h.runCycle()
	if h.startedTasks("j-3") != 1 {
		t.Error("the headroom was held against the class that it is for")
	}
}

// TestHeadroomIsHeldAgainstLowerPriorities checks that the headroom of a class is held against lower priorities, too,
// if its fetch leaves no time to preempt them. Otherwise arrays would occupy a part of every machine, however many
// there are.
func TestHeadroomIsHeldAgainstLowerPriorities(t *testing.T) {
	for _, tc := range []struct {
		within float64
		tasks  int // number of array tasks that may start
	}{{45, 0}, {65, 8}} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.setObjectives([]config.Objective{{Kind: "wait", Class: "big", WithinSeconds: tc.within, Fraction: 0.9}})
		h.heartbeat("m1", "a", false)
		gang := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.Image, gang.ImageGB = "big", "big", 40
		h.addJob(gang)
		h.runCycle()
		h.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
		h.runCycle()
		h.heartbeat("m2", "a", false)
		low := jobSpec("j-2", protocol.Array, "normal", 8, 1)
		low.CheckpointIntervalSeconds, low.CheckpointSaveSeconds = 10, 2
		h.addJob(low)
		h.runCycle()
		if n := h.startedTasks("j-2"); n != tc.tasks {
			t.Errorf("objective of %v s: %d array tasks on the last whole machine, want %d", tc.within, n, tc.tasks)
		}
		gang.ID = "j-3"
		h.heartbeat("m2", "a", false)
		h.addJob(gang)
		h.runCycle()
		if tc.tasks == 0 && h.startedTasks("j-3") != 1 {
			t.Error("the headroom was held against the class that it is for")
		}
	}
}

func exitedTask(id protocol.TaskID, attempt uint64, cause protocol.ExitCause) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: id.String(), Attempt: attempt, State: protocol.TaskExited, Cause: cause}
}
