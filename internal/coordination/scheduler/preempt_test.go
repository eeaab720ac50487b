package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestPreemption: work of lower priority gives way, and saves if it can; work
// of the same priority never does.
func TestPreemption(t *testing.T) {
	for _, x := range []struct {
		prio       protocol.Priority
		checkpoint float64
		aim        float64 // on waiting
		grace      float64
		stops      int
	}{{"critical", 10, 60, 6, 1}, {"critical", 4, 60, 0, 1}, {"critical", 10, 4, 0, 1}, {"normal", 10, 60, 0, 0}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: x.aim, Fraction: 0.9}})
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

// TestPreemptionAcrossTeams: lower work of another team makes room as well, but for what
// that team runs within its guarantee; and equal work does so for a guarantee alone.
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

// TestPreemptedCapacityIsUsed: room that was cleared for a task for want of any is
// taken when it is free, although its fetch now lasts longer than what is left
// of the aim on waiting. Waiting on for room with the image, which nobody was
// clearing, had used up the whole aim.
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
		t.Fatal("no room was cleared")
	}
	b.runCycle()
	b.heartbeat(
		"m1",
		"a",
		false,
		protocol.TaskStatus{
			TaskName:        id.String(),
			Attempt:         1,
			State:           protocol.TaskExited,
			Cause:           protocol.CauseStopped,
			CheckpointSaved: true,
		},
	)
	b.runCycle()
	if b.startedTasks("j-2") != 1 {
		t.Error("the cleared room was not taken")
	}
}

// TestLateGangsYield: when more is asked than can be done, a gang that can
// still start in time goes before an older one of its class that is late
// whatever is done; and that one comes first again in the end.
func TestLateGangsYield(t *testing.T) {
	for _, x := range []struct {
		waited int // seconds, by the older gang
		want   string
	}{{5, "j-2"}, {25, "j-3"}, {70, "j-2"}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.setObjectives([]config.Objective{
			{
				Kind:          "wait",
				Class:         "big",
				WithinSeconds: 20,
				Fraction:      0.9,
			},
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
		b.heartbeat(
			"m1",
			"a",
			false,
			protocol.TaskStatus{
				TaskName: id.String(),
				Attempt:  1,
				State:    protocol.TaskExited,
				Cause:    protocol.CauseDone,
			},
		)
		b.runCycle()
		if b.startedTasks(x.want) != 1 || b.startedTasks("j-2")+b.startedTasks("j-3") != 1 {
			t.Errorf(
				"after %d s j-2 started %d, j-3 %d, want %s",
				x.waited,
				b.startedTasks("j-2"),
				b.startedTasks("j-3"),
				x.want,
			)
		}
	}
}

// TestNominationYieldsToEarlierJobs: room that is being cleared for one gang is
// closed to later jobs, not to those that come first, and is open again once its
// gang has found room elsewhere. Else gangs each sit on a part of what one needs.
func TestNominationYieldsToEarlierJobs(t *testing.T) {
	for _, x := range []struct {
		owner string // for whom the first machine is being cleared
		want  map[string]int
	}{{"j-2", map[string]int{"j-1": 2, "j-3": 0}}, {"j-0", map[string]int{"j-1": 2, "j-3": 0}}, {"j-1", map[string]int{"j-1": 2, "j-3": 0}}} {
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
		m.NominateFor(x.owner, b.now+time.Minute)
		b.runCycle()
		for id, n := range x.want {
			if got := b.startedTasks(id); got != n {
				t.Errorf("cleared for %s: %s started %d tasks, want %d", x.owner, id, got, n)
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
		t.Error("a later job took room that is being cleared")
	}
}

// TestReplicaWithoutImageLeavesCapacityForTheNext: a replica that must fetch, for longer than
// its class's aim, goes beside others where most room is left, so that the next
// of its kind starts there without a fetch; not to an empty machine, which jobs
// that want a whole one need.
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

// TestFetchingArraysYield: in a crowd, arrays that came first fetch on every
// machine. A replica takes a machine as if they had left, and they leave: they
// lose nothing but a fetch, while it would take twice as long beside them. Arrays
// that run stay.
func TestFetchingArraysYield(t *testing.T) {
	for _, x := range []struct {
		state protocol.TaskState
		prio  protocol.Priority
		stops int
	}{{protocol.TaskFetching, "critical", 1}, {"", "critical", 0}, {protocol.TaskRunning, "critical", 0}, {protocol.TaskFetching, "urgent", 0}} {
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

// TestMachineWithImageIsPreempted guards the aim on short waits: a critical task with
// cold free room and a warm machine full of lower work waits for the latter
// to be cleared, and is not sent to fetch for longer than its aim.
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
			b.heartbeat(
				"m1",
				"a",
				false,
				protocol.TaskStatus{
					TaskName: two.String(),
					Attempt:  1,
					State:    protocol.TaskExited,
					Cause:    protocol.CauseStopped,
				},
			)
		}
		b.runCycle()
		if got := b.machineOf[protocol.TaskID{JobID: "j-3"}]; got != x.want {
			t.Errorf("%s went to %q, want %s", x.prio, got, x.want)
		}
	}
}

// TestSlowFetchesAreNotSwapped: two machines fetch the same image and
// take longer than the type's rate says. Neither task may be moved to the
// other's machine, where the fetch would begin anew once its own task has left;
// only when one is seen past its fetch does the other join it.
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

// TestHeadroomForStartLatencyObjectives: arrays of the same level, which could not be
// preempted for it, leave the room that a class with a wait aim is likely to
// want, also if they have a looser one; the class itself may use it.
func TestHeadroomForStartLatencyObjectives(t *testing.T) {
	t.Run("no aim", func(t *testing.T) { checkHeadroomIsHeld(t) })
	t.Run("looser aim", func(t *testing.T) {
		checkHeadroomIsHeld(t, config.Objective{Kind: "wait", Class: "c", WithinSeconds: 100, Fraction: 0.9})
	})
}

func checkHeadroomIsHeld(t *testing.T, aims ...config.Objective) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives(append(aims, config.Objective{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}))
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
		t.Errorf("%d array tasks took the room kept for others", n)
	}
	quick.ID = "j-3"
	b.heartbeat("m1", "a", false)
	b.addJob(quick)
	b.runCycle()
	if b.startedTasks("j-3") != 1 {
		t.Error("the room was kept from those it was kept for")
	}
}

// TestHeadroomIsHeldAgainstLowerPriorities: a class whose fetch leaves no time to clear
// room of arrays has its room kept free of them, and rented for if need be. At
// many machines, arrays had else left no whole one free anywhere.
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
			t.Errorf("aim of %v s: %d array tasks on the last whole machine, want %d", x.within, n, x.tasks)
		}
		gang.ID = "j-3"
		b.heartbeat("m2", "a", false)
		b.addJob(gang)
		b.runCycle()
		if x.tasks == 0 && b.startedTasks("j-3") != 1 {
			t.Error("the room was kept from those it was kept for")
		}
	}
}
