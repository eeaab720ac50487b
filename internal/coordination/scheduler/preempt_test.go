package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestPreemption: work of lower priority is preempted, and saves a checkpoint if there is time; work of the
// same priority never is.
func TestPreemption(t *testing.T) {
	for _, x := range []struct {
		prio       protocol.Priority
		checkpoint float64
		objective  float64 // for the start latency, in seconds
		grace      float64
		stops      int
	}{{"critical", 10, 60, 6, 1}, {"critical", 4, 60, 0, 1}, {"critical", 10, 4, 0, 1}, {"normal", 10, 60, 0, 0}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: x.objective, Fraction: 0.9}})
		b.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "normal", 1, 8)
		low.CheckpointIntervalSeconds, low.SaveSeconds = x.checkpoint, 2
		b.addJob(low)
		b.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		high := jobSpec("j-2", protocol.Service, x.prio, 1, 4)
		high.Class = "quick"
		b.addJob(high)
		for range 4 {
			b.heartbeat("m1", "a", false, runningTask(id, 1))
			b.runCycle()
		}
		if len(b.stops) != x.stops || b.stops[id] != x.grace {
			t.Errorf("%s: stopped %v", x.prio, b.stops)
		}
	}
}

// TestPreemptionAcrossTeams: lower work of another team is preempted too, except what that team runs within
// its guaranteed quota. Equal work is preempted only for a guaranteed quota.
func TestPreemptionAcrossTeams(t *testing.T) {
	for _, x := range []struct {
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
		x.red.Name, x.guest.Name = "red", "guest"
		b := newHarness([]config.Team{x.red, x.guest}, "a")
		b.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "best_effort", 1, 8)
		low.Team = "guest"
		b.addJob(low)
		b.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		b.addJob(jobSpec("j-2", protocol.Gang, x.prio, 1, 8))
		for range 4 {
			b.heartbeat("m1", "a", false, runningTask(id, 1))
			b.runCycle()
		}
		if len(b.stops) != x.stops {
			t.Errorf("%s: stopped %v", x.name, b.stops)
		}
	}
}

// TestPreemptedCapacityIsUsed: capacity that was preempted for a task is used when it is free, although the
// fetch now outlasts what is left of the start latency objective. To wait for a machine with the image, on
// which nothing is preempted, would use up the whole objective.
func TestPreemptedCapacityIsUsed(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}})
	b.heartbeat("m1", "a", false)
	low := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
	low.CheckpointIntervalSeconds, low.SaveSeconds = 30, 3
	b.addJob(low)
	b.runCycle()
	id := protocol.TaskID{JobID: "j-1"}
	b.heartbeat("m1", "a", false, runningTask(id, 1))
	quick := jobSpec("j-2", protocol.Service, "critical", 1, 8)
	quick.Class, quick.Image, quick.ImageGB = "quick", "big", 9
	b.addJob(quick)
	for range 3 {
		b.runCycle()
		b.heartbeat("m1", "a", false, runningTask(id, 1))
	}
	if _, stopped := b.stops[id]; !stopped {
		t.Fatal("nothing was preempted")
	}
	b.runCycle()
	saved := exitedTask(id, 1, protocol.CauseStopped)
	saved.CheckpointSaved = true
	b.heartbeat("m1", "a", false, saved)
	b.runCycle()
	if b.startedTasks("j-2") != 1 {
		t.Error("the preempted capacity was not used")
	}
}

// TestLateGangsYield: under overload, a gang that can still start in time goes before an older one of its
// class that is late in any case; and that one goes first again in the end.
func TestLateGangsYield(t *testing.T) {
	for _, x := range []struct {
		waited int // seconds, by the older gang
		want   string
	}{{5, "j-2"}, {25, "j-3"}, {70, "j-2"}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{
			{Kind: "wait", Class: "big", WithinSeconds: 20, Fraction: 0.9},
			{Kind: "finished", Class: "big", WithinSeconds: 30, Fraction: 0.9},
		})
		gang := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateSeconds = "big", 20
		b.heartbeat("m1", "a", false)
		b.addJob(gang)
		b.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		b.heartbeat("m1", "a", false, runningTask(id, 1))
		gang.ID = "j-2"
		b.addJob(gang)
		for range x.waited {
			b.heartbeat("m1", "a", false, runningTask(id, 1))
			b.runCycle()
		}
		gang.ID = "j-3"
		b.addJob(gang)
		b.heartbeat("m1", "a", false, exitedTask(id, 1, protocol.CauseDone))
		b.runCycle()
		second, third := b.startedTasks("j-2"), b.startedTasks("j-3")
		if b.startedTasks(x.want) != 1 || second+third != 1 {
			t.Errorf("after %d s j-2 started %d, j-3 %d, want %s", x.waited, second, third, x.want)
		}
	}
}

// TestNominationYieldsToEarlierJobs: a machine that is nominated for one gang is closed to later jobs, not to
// those that go first, and is open again once its gang has found capacity elsewhere. Otherwise each gang
// would hold a part of what one of them needs.
func TestNominationYieldsToEarlierJobs(t *testing.T) {
	want := map[string]int{"j-1": 2, "j-3": 0}
	for _, nominated := range []string{"j-2", "j-0", "j-1"} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.heartbeat("m0", "a", false)
		b.addJob(jobSpec("j-0", protocol.Gang, "urgent", 1, 8))
		b.runCycle()
		b.heartbeat("m0", "a", false, runningTask(protocol.TaskID{JobID: "j-0"}, 1))
		for _, m := range []string{"m1", "m2"} {
			b.heartbeat(m, "a", false)
		}
		b.addJob(jobSpec("j-1", protocol.Gang, "urgent", 2, 8))
		b.addJob(jobSpec("j-2", protocol.Gang, "urgent", 2, 8))
		b.addJob(jobSpec("j-3", protocol.Array, "normal", 1, 1))
		m := b.scheduler.machines.Machine("m1")
		m.NominateFor(nominated, b.now+time.Minute)
		b.runCycle()
		for id, n := range want {
			if got := b.startedTasks(id); got != n {
				t.Errorf("nominated for %s: %s started %d tasks, want %d", nominated, id, got, n)
			}
		}
	}
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m1", "a", false)
	b.addJob(jobSpec("j-1", protocol.Service, "critical", 1, 16)) // fits nowhere
	b.addJob(jobSpec("j-2", protocol.Array, "normal", 1, 1))
	m := b.scheduler.machines.Machine("m1")
	m.NominateFor("j-1", b.now+time.Minute)
	b.runCycle()
	if b.startedTasks("j-2") != 0 {
		t.Error("a later job took capacity of a nominated machine")
	}
}

// TestReplicaWithoutImageLeavesCapacityForTheNext: a replica whose fetch outlasts the start latency objective
// goes to the used machine with the most free capacity, so that the next of its kind starts there without a
// fetch; not to an empty machine, which jobs that need a whole one want.
func TestReplicaWithoutImageLeavesCapacityForTheNext(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 1, Fraction: 0.9}})
	for i, gpus := range []float64{6, 3} {
		name := fmt.Sprintf("m%d", i+1)
		b.heartbeat(name, "a", false)
		j := jobSpec(fmt.Sprintf("j-%d", i+1), protocol.Service, "critical", 1, gpus)
		j.CPUs, j.MemoryGB = 8*gpus, 32*gpus
		b.addJob(j)
		b.runCycle()
		b.heartbeat(name, "a", false, runningTask(protocol.TaskID{JobID: j.ID}, 1))
		b.scheduler.machines.Machine("m1").Quarantined = i == 0 // so that each has its own
	}
	b.scheduler.machines.Machine("m1").Quarantined = false
	b.heartbeat("m0", "a", false)
	quick := jobSpec("j-3", protocol.Service, "critical", 1, 1)
	quick.Class, quick.Image, quick.ImageGB = "quick", "small", 1
	b.addJob(quick)
	b.runCycle()
	if got := b.machineOf[protocol.TaskID{JobID: "j-3"}]; got != "m2" {
		t.Errorf("the replica went to %q, want m2", got)
	}
}

// TestFetchingArraysYield: when many jobs come at once, arrays that came first fetch on every machine. A
// replica takes a machine as if they had left, and they are stopped: they lose nothing but a fetch, while the
// replica's would take twice as long beside them. Arrays that run stay.
func TestFetchingArraysYield(t *testing.T) {
	for _, x := range []struct {
		state protocol.TaskState
		prio  protocol.Priority
		stops int
	}{
		{protocol.TaskFetching, "critical", 1},
		{"", "critical", 0},
		{protocol.TaskRunning, "critical", 0},
		{protocol.TaskFetching, "urgent", 0},
	} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 40, Fraction: 0.9}})
		b.heartbeat("m1", "a", false)
		low := jobSpec("j-1", protocol.Array, "normal", 1, 1)
		low.Image, low.ImageGB = "low", 20
		b.addJob(low)
		b.runCycle()
		id := protocol.TaskID{JobID: "j-1"}
		if x.state != "" { // else started, perhaps by an earlier leader, and not reported yet
			b.heartbeat("m1", "a", false, protocol.TaskStatus{TaskName: id.String(), Attempt: 1, State: x.state})
		} else {
			b.scheduler.jobs["j-1"].Placements[0].State = ""
		}
		high := jobSpec("j-2", protocol.Service, x.prio, 1, 2)
		high.Class, high.Image, high.ImageGB = "quick", "high", 30
		b.addJob(high)
		b.runCycle()
		b.apply(Tick{}) // the run goes out once the stop is answered
		if b.startedTasks("j-2") != 1 || len(b.stops) != x.stops {
			t.Errorf("%s beside %s: started %d, stopped %v", x.prio, x.state, b.startedTasks("j-2"), b.stops)
		}
	}
}

// TestMachineWithImageIsPreempted: a critical task that could start on a free machine without its image, or on
// a machine with the image that is full of lower work, waits for the latter to be preempted if the fetch
// would outlast its objective.
func TestMachineWithImageIsPreempted(t *testing.T) {
	for _, x := range []struct {
		prio protocol.Priority
		want string
	}{{"critical", "m1"}, {"urgent", "m2"}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}})
		b.heartbeat("m1", "a", false)
		low := jobSpec("j-2", protocol.Array, "normal", 1, 4)
		low.CheckpointIntervalSeconds, low.SaveSeconds = 10, 2
		b.addJob(low)
		b.runCycle()
		two := protocol.TaskID{JobID: "j-2"}
		b.heartbeat("m1", "a", false, runningTask(two, 1))
		first := jobSpec("j-1", protocol.Service, "critical", 1, 4)
		first.Class, first.Image, first.ImageGB = "quick", "big", 60
		b.addJob(first)
		b.runCycle()
		one := protocol.TaskID{JobID: "j-1"}
		b.heartbeat("m1", "a", false, runningTask(one, 1))
		b.heartbeat("m2", "a", false) // empty, without the image

		next := first
		next.ID, next.Priority = "j-3", x.prio
		b.addJob(next)
		b.runCycle()
		if _, stopped := b.stops[two]; stopped {
			b.heartbeat("m1", "a", false, exitedTask(two, 1, protocol.CauseStopped))
		}
		b.runCycle()
		if got := b.machineOf[protocol.TaskID{JobID: "j-3"}]; got != x.want {
			t.Errorf("%s went to %q, want %s", x.prio, got, x.want)
		}
	}
}

// TestSlowFetchesAreNotSwapped: two machines fetch the same image, and take longer than the rate of the machine
// type. Neither task may be moved to the other's machine, where the fetch would begin anew once its own task
// has left; only when one is seen past its fetch does the other join it.
func TestSlowFetchesAreNotSwapped(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 40, Fraction: 0.9}})
	one, two := protocol.TaskID{JobID: "j-1"}, protocol.TaskID{JobID: "j-2"}
	fetching := func(id protocol.TaskID) protocol.TaskStatus {
		return protocol.TaskStatus{TaskName: id.String(), Attempt: 1, State: protocol.TaskFetching}
	}
	for _, id := range []protocol.TaskID{one, two} {
		b.heartbeat("m-"+id.JobID, "a", false)
		j := jobSpec(id.JobID, protocol.Service, "critical", 1, 4)
		j.Class, j.Image, j.ImageGB = "quick", "big", 40
		b.addJob(j)
		b.runCycle()
		b.heartbeat("m-"+id.JobID, "a", false, fetching(id))
		b.scheduler.machines.Machine("m-j-1").Quarantined = id == one // so that each has its own
	}
	b.scheduler.machines.Machine("m-j-1").Quarantined = false
	b.stops = map[protocol.TaskID]float64{}
	for range 55 {
		b.heartbeat(b.machineOf[one], "a", false, fetching(one))
		b.heartbeat(b.machineOf[two], "a", false, fetching(two))
		b.runCycle()
	}
	if b.machineOf[one] == b.machineOf[two] || len(b.stops) > 0 {
		t.Fatalf("on %s and %s, stopped %v", b.machineOf[one], b.machineOf[two], b.stops)
	}
	b.heartbeat(b.machineOf[one], "a", false, runningTask(one, 1))
	b.runCycle()
	if _, ok := b.stops[two]; !ok {
		t.Error("the other task does not join the image that is there")
	}
}

// TestHeadroomForStartLatencyObjectives: arrays of the same priority, which could not be preempted for it,
// leave the capacity that a class with a start latency objective is likely to need, also if they have a
// longer one; the class itself may use it.
func TestHeadroomForStartLatencyObjectives(t *testing.T) {
	t.Run("no objective", func(t *testing.T) { checkHeadroomIsHeld(t) })
	t.Run("longer objective", func(t *testing.T) {
		checkHeadroomIsHeld(t, config.Objective{Kind: "wait", Class: "c", WithinSeconds: 100, Fraction: 0.9})
	})
}

func checkHeadroomIsHeld(t *testing.T, objectives ...config.Objective) {
	t.Helper()
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives(
		append(objectives, config.Objective{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}),
	)
	b.heartbeat("m1", "a", false)
	quick := jobSpec("j-1", protocol.Service, "normal", 1, 4)
	quick.Class = "quick"
	b.addJob(quick)
	b.runCycle()
	b.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
	b.runCycle()
	b.heartbeat("m1", "a", false)
	b.addJob(jobSpec("j-2", protocol.Array, "normal", 8, 1))
	b.runCycle()
	if n := b.startedTasks("j-2"); n != 0 {
		t.Errorf("%d array tasks took the headroom of others", n)
	}
	quick.ID = "j-3"
	b.heartbeat("m1", "a", false)
	b.addJob(quick)
	b.runCycle()
	if b.startedTasks("j-3") != 1 {
		t.Error("the headroom was held against those it was for")
	}
}

// TestHeadroomIsHeldAgainstLowerPriorities: the headroom of a class whose fetch leaves no time to preempt
// arrays is held against them too. Otherwise arrays leave no whole machine free, however many there are.
func TestHeadroomIsHeldAgainstLowerPriorities(t *testing.T) {
	for _, x := range []struct {
		within float64
		tasks  int // of the array that may start
	}{{45, 0}, {65, 8}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{{Kind: "wait", Class: "big", WithinSeconds: x.within, Fraction: 0.9}})
		b.heartbeat("m1", "a", false)
		gang := jobSpec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.Image, gang.ImageGB = "big", "big", 40
		b.addJob(gang)
		b.runCycle()
		b.heartbeat("m1", "a", false, runningTask(protocol.TaskID{JobID: "j-1"}, 1))
		b.runCycle()
		b.heartbeat("m2", "a", false)
		low := jobSpec("j-2", protocol.Array, "normal", 8, 1)
		low.CheckpointIntervalSeconds, low.SaveSeconds = 10, 2
		b.addJob(low)
		b.runCycle()
		if n := b.startedTasks("j-2"); n != x.tasks {
			t.Errorf("objective of %v s: %d array tasks on the last whole machine, want %d", x.within, n, x.tasks)
		}
		gang.ID = "j-3"
		b.heartbeat("m2", "a", false)
		b.addJob(gang)
		b.runCycle()
		if x.tasks == 0 && b.startedTasks("j-3") != 1 {
			t.Error("the headroom was held against those it was for")
		}
	}
}

func exitedTask(id protocol.TaskID, attempt uint64, cause protocol.ExitCause) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: id.String(), Attempt: attempt, State: protocol.TaskExited, Cause: cause}
}
