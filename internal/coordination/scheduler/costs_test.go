package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// The tests in this file bound the costs of the leader in quantities that do not depend on the machine that runs them:
// allocations, cycles and bytes. The bounds are about 50% above the values that were measured when the tests were
// written (docs/experiments.md, "Costs by message").

// TestAllocationsOfHeartbeat checks that a heartbeat without changes costs a fixed number of allocations plus a few for
// each task in it, regardless of the size of the fleet.
func TestAllocationsOfHeartbeat(t *testing.T) {
	const fixed, perTask = 8, 1
	for _, machines := range []int{50, 200} {
		h := largeHarness(machines)
		name := "m0001"
		heartbeat := h.nextHeartbeat(name)
		allocations := testing.AllocsPerRun(200, func() {
			heartbeat.Sequence++
			h.scheduler.Step(h.now, HeartbeatReceived{ReplyTo: name, Heartbeat: heartbeat})
		})
		t.Logf("%d machines: %.0f allocations for %d tasks", machines, allocations, len(heartbeat.Tasks))
		if maximum := float64(fixed + perTask*len(heartbeat.Tasks)); allocations > maximum {
			t.Errorf(
				"%d machines: %.0f allocations for a heartbeat with %d tasks, want %.0f at most",
				machines,
				allocations,
				len(heartbeat.Tasks),
				maximum,
			)
		}
	}
}

// TestAllocationsOfQuietTick checks that the cost of a tick between two cycles does not grow with the fleet.
func TestAllocationsOfQuietTick(t *testing.T) {
	const maximum = 4
	h := largeHarness(200)
	h.apply(Tick{})
	if allocations := testing.AllocsPerRun(200, func() { h.scheduler.Step(h.now, Tick{}) }); allocations > maximum {
		t.Errorf("%.0f allocations, want %d at most", allocations, maximum)
	}
}

// TestCyclesForManyTriggers checks that cycles keep their minimum interval, no matter how many relevant events arrive.
func TestCyclesForManyTriggers(t *testing.T) {
	h := largeHarness(50)
	before, from := h.scheduler.cycle.count, h.now
	const triggers = 2000
	for i := range triggers {
		h.now = from + time.Duration(i)*time.Second/triggers
		h.addJob(jobSpec(fmt.Sprintf("j-trigger%d", i), protocol.Array, "normal", 1, 1))
		h.apply(Tick{})
	}
	if got, maximum := h.scheduler.cycle.count-before, uint64(time.Second/MinCycleInterval)+1; got > maximum {
		t.Errorf("%d cycles for %d triggers in a second, want %d at most", got, triggers, maximum)
	}
}

// TestMemoryHeld checks that the memory in use by a leader is bounded by the number of machines, jobs and tasks.
func TestMemoryHeld(t *testing.T) {
	const perMachine, perJob, perTask = 2 << 10, 1 << 10, 512
	heapInUse := func() int64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	before := heapInUse()
	h := largeHarness(200)
	h.transactions, h.runs, h.machineOf, h.stops = nil, nil, nil, nil // the records of the harness itself
	held := heapInUse() - before
	machines, jobs, tasks := 200, len(h.scheduler.jobs), 0
	for _, j := range h.scheduler.jobs {
		tasks += j.TaskCount()
	}
	t.Logf("%d bytes for %d machines, %d jobs and %d tasks", held, machines, jobs, tasks)
	if maximum := int64(machines*perMachine + jobs*perJob + tasks*perTask); held > maximum {
		t.Errorf("%d bytes in use, want %d at most", held, maximum)
	}
	runtime.KeepAlive(h)
}

// TestCostOfIdleZoneFailover checks that, while no zone is lost, monitoring the zones costs few allocations per second,
// regardless of the number of machines, and causes no writes.
func TestCostOfIdleZoneFailover(t *testing.T) {
	const maximum = 8
	h := largeHarness(200)
	h.scheduler.startZoneFailover(h.now, zonefailover.DefaultRecoveryOrder(), nil)
	jobs := h.scheduler.sortedJobs()
	allocations := testing.AllocsPerRun(100, func() {
		h.scheduler.updateZoneStates(h.now, jobs)
		h.scheduler.sortForRecovery(jobs)
		h.scheduler.writeFailoverRecords(h.now)
	})
	t.Logf("%.0f allocations", allocations)
	if allocations > maximum || len(h.scheduler.writes.inFlight) > 0 {
		t.Errorf(
			"%.0f allocations and %d writes, want at most %d allocations and no writes",
			allocations,
			len(h.scheduler.writes.inFlight),
			maximum,
		)
	}
}
