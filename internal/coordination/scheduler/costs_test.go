package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// The tests in this file bound the costs of the leader's work in counts that are the same on every machine:
// allocations, cycles and bytes. The bounds are about a half above what was measured when they were written
// (docs/experiments.md, "Costs by message").

// TestAllocationsOfHeartbeat: a heartbeat without a change costs a fixed number of allocations and a few for each of
// its tasks, however large the fleet.
func TestAllocationsOfHeartbeat(t *testing.T) {
	const fixed, perTask = 8, 1
	for _, machines := range []int{50, 200} {
		b := largeHarness(machines)
		name := "m0001"
		report := b.nextHeartbeat(name)
		allocations := testing.AllocsPerRun(200, func() {
			report.Sequence++
			b.scheduler.Step(b.now, HeartbeatReceived{ReplyTo: name, Heartbeat: report})
		})
		t.Logf("%d machines: %.0f allocations for %d tasks", machines, allocations, len(report.Tasks))
		if most := float64(fixed + perTask*len(report.Tasks)); allocations > most {
			t.Errorf(
				"%d machines: %.0f allocations for a report of %d tasks, want %.0f at most",
				machines,
				allocations,
				len(report.Tasks),
				most,
			)
		}
	}
}

// TestAllocationsOfQuietTick: a tick between two cycles costs nothing that grows with the fleet.
func TestAllocationsOfQuietTick(t *testing.T) {
	const most = 4
	b := largeHarness(200)
	b.apply(Tick{})
	if allocations := testing.AllocsPerRun(200, func() { b.scheduler.Step(b.now, Tick{}) }); allocations > most {
		t.Errorf("%.0f allocations, want %d at most", allocations, most)
	}
}

// TestCyclesForManyTriggers: cycles keep their shortest interval, however many relevant events arrive.
func TestCyclesForManyTriggers(t *testing.T) {
	b := largeHarness(50)
	before, from := b.scheduler.cycle.count, b.now
	const triggers = 2000
	for i := range triggers {
		b.now = from + time.Duration(i)*time.Second/triggers
		b.addJob(jobSpec(fmt.Sprintf("j-trigger%d", i), protocol.Array, "normal", 1, 1))
		b.apply(Tick{})
	}
	if got, most := b.scheduler.cycle.count-before, uint64(time.Second/MinCycleInterval)+1; got > most {
		t.Errorf("%d cycles for %d triggers in a second, want %d at most", got, triggers, most)
	}
}

// TestMemoryHeld: the memory that a leader holds is bounded by the number of machines, jobs and tasks.
func TestMemoryHeld(t *testing.T) {
	const perMachine, perJob, perTask = 2 << 10, 1 << 10, 512
	held := func() int64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	before := held()
	b := largeHarness(200)
	b.transactions, b.runs, b.machineOf, b.stops = nil, nil, nil, nil // the test's own books
	got := held() - before
	machines, jobs, tasks := 200, len(b.scheduler.jobs), 0
	for _, j := range b.scheduler.jobs {
		tasks += j.TaskCount()
	}
	t.Logf("%d bytes for %d machines, %d jobs and %d tasks", got, machines, jobs, tasks)
	if most := int64(machines*perMachine + jobs*perJob + tasks*perTask); got > most {
		t.Errorf("%d bytes held, want %d at most", got, most)
	}
	runtime.KeepAlive(b)
}

// TestCostOfZoneReturn: while no zone is lost, watching the zones costs a second's planning few
// allocations, however many machines there are, and writes nothing.
func TestCostOfZoneReturn(t *testing.T) {
	const most = 8
	b := largeHarness(200)
	b.scheduler.startZoneFailover(b.now, zonefailover.DefaultRecoveryOrder(), nil)
	jobs := b.scheduler.sortedJobs()
	allocations := testing.AllocsPerRun(100, func() {
		b.scheduler.updateZoneStates(b.now, jobs)
		b.scheduler.sortForRecovery(jobs)
		b.scheduler.writeFailoverRecords(b.now)
	})
	t.Logf("%.0f allocations", allocations)
	if allocations > most || len(b.scheduler.writes.inFlight) > 0 {
		t.Errorf(
			"%.0f allocations and %d writes, want %d and none",
			allocations,
			len(b.scheduler.writes.inFlight),
			most,
		)
	}
}
