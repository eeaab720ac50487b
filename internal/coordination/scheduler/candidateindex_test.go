package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// indexErrors counts the machines for which the candidate index differs from the registry.
func (b *harness) indexErrors() (wrong int) {
	b.scheduler.machines.Each(func(m *machineregistry.Machine) {
		x, ok := m.SchedulerData.(*candidates.Candidate)
		open := b.scheduler.machines.Schedulable(b.now, m)
		switch {
		case !ok || open && !b.scheduler.candidates.Machines.Has(x.Entry):
			wrong++
		case open && x.Free != b.scheduler.machines.FreeCapacity(m):
			wrong++
		}
	})
	return wrong
}

// TestBrokenIndex corrupts the index: machines have free capacity in it that they don't have, are missing, or
// are in a wrong zone. No machine gets more than it holds, no job leaves its zone, and the index is right
// again soon, through refused reservations or verification.
func TestBrokenIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 12
		b := newHarness([]config.Team{{Name: "red"}, {Name: "blue"}}, "a", "b")
		for i := range machines {
			b.heartbeat(fmt.Sprintf("m%02d", i), []string{"a", "b"}[i%2], false)
		}
		b.runCycle()
		for i := range rapid.IntRange(1, 10).Draw(t, "jobs") {
			j := jobSpec(
				fmt.Sprintf("j-%d", i),
				rapid.SampledFrom([]protocol.Shape{protocol.Array, protocol.Gang}).Draw(t, "shape"),
				"normal",
				4,
				2,
			)
			j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
			j.Zone = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone")
			b.addJob(j)
		}
		b.runCycle()
		b.runFetchingTasks()
		b.scheduler.machines.Each(func(m *machineregistry.Machine) {
			x, ok := m.SchedulerData.(*candidates.Candidate)
			if !ok {
				t.Fatalf("%s has no candidate", m.Name)
			}
			switch rapid.IntRange(0, 3).Draw(t, "break") {
			case 0:
				b.scheduler.candidates.Machines.Remove(x.Entry)
			case 1:
				x.Free = machineregistry.Resources{CPUs: 1000, GPUs: 1000, MemoryGB: 1000}
				b.scheduler.candidates.Machines.Put(x.Entry, x.Pool(), x.Capacity(), x.Free)
			case 2:
				b.scheduler.candidates.Machines.Put(
					x.Entry,
					machineindex.Pool{Type: "g8", Zone: "elsewhere"},
					x.Capacity(),
					x.Free,
				)
			}
		})
		for i := range 6 {
			j := jobSpec(fmt.Sprintf("j-after%d", i), protocol.Array, "normal", 4, 2)
			j.Zone = "a"
			b.addJob(j)
			b.runCycle()
			b.runFetchingTasks()
			b.checkCapacity(t)
		}
		for range machines + 2 {
			b.runCycle()
			b.runFetchingTasks()
		}
		b.checkCapacity(t)
		b.scheduler.candidates.Refresh(b.now) // takes over what heartbeats have changed since
		if n := b.indexErrors(); n > 0 {
			t.Errorf("the index is wrong about %d machines", n)
		}
	})
}

// checkCapacity demands that no machine runs more than it holds, and nothing outside its zone.
func (b *harness) checkCapacity(t *rapid.T) {
	for name, tasks := range b.tasks {
		gpus := 0.0
		for id, task := range tasks {
			if task.State == protocol.TaskExited {
				continue
			}
			j := b.scheduler.jobs[id.JobID]
			gpus += j.Spec.GPUs
			if j.Spec.Zone != "" && j.Spec.Zone != b.zoneOf[name] {
				t.Fatalf("%s runs in zone %s", id, b.zoneOf[name])
			}
		}
		if gpus > 8 {
			t.Fatalf("%s runs tasks of %v GPUs", name, gpus)
		}
	}
}

// TestIndexMatchesTheRegistry: after machines came, fell silent, returned as another incarnation or were
// lost, and after types changed, the index agrees with the registry.
func TestIndexMatchesTheRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSchedulerPair(
			t,
			rapid.Uint64().Draw(t, "seed"),
			[]config.Team{{Name: "red"}, {Name: "blue"}, {Name: "green"}},
			nil,
			false,
		)
		for range 8 {
			w.addMachine()
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.drawStep()
		}
		if rapid.Bool().Draw(t, "types change") {
			for _, b := range w.harnesses {
				changed := *b.scheduler.machines.MachineType("g8")
				changed.CPUs *= 2
				b.apply(MachineTypesUpdated{Types: []protocol.MachineType{changed}})
			}
		}
		if rapid.Bool().Draw(t, "old heartbeat") {
			w.applyToBoth("a copy of an old heartbeat", func(b *harness) {
				r := b.nextHeartbeat(w.machines[0])
				r.Sequence = 1
				b.apply(HeartbeatReceived{ReplyTo: w.machines[0], Heartbeat: r})
			})
		}
		b := w.harnesses[0]
		b.scheduler.candidates.Refresh(b.now)
		if n := b.indexErrors(); n > 0 {
			t.Errorf("the index is wrong about %d of %d machines", n, b.scheduler.machines.Len())
		}
	})
}

// TestMachinesExaminedPerStart: the number of machines examined for a start does not grow with the fleet, and
// a cycle in which nothing can be placed does not examine the same ones for every job.
func TestMachinesExaminedPerStart(t *testing.T) {
	const mostPerStart, mostPerWaiting = 80, 4
	for _, machines := range []int{200, 2000, 6000} {
		b := newFleetHarness(machines, 50)
		b.fill(50, serviceSlots)
		b.heartbeatAll()
		finder := indexFinderOf(t, b.scheduler)
		finder.Examined, b.started = 0, 0
		for range 10 {
			b.submit(protocol.Array, b.rng.IntN(50), 64)
			b.advance(MinCycleInterval)
		}
		b.advance(CycleInterval)
		if b.started != 640 || finder.Examined > uint64(mostPerStart*b.started) {
			t.Errorf("%d machines: %d machines examined for %d starts", machines, finder.Examined, b.started)
		}
		t.Logf("%d machines: %.1f machines examined per start", machines, float64(finder.Examined)/float64(b.started))
	}
	b := newOverloadedHarness(200, 50, 500)
	finder := indexFinderOf(t, b.scheduler)
	finder.Examined = 0
	b.advance(CycleInterval)
	if most := uint64(mostPerWaiting * 500); finder.Examined > most {
		t.Errorf("%d machines examined in a cycle in which 500 jobs wait, want %d at most", finder.Examined, most)
	}
}

// TestAllocationsOfAnUnchangedCycle: a cycle in which nothing has changed allocates as much for many machines
// as for few.
func TestAllocationsOfAnUnchangedCycle(t *testing.T) {
	const most = 150
	for _, machines := range []int{200, 4000} {
		b := newFleetHarness(machines, 50)
		b.fill(50, serviceSlots)
		b.heartbeatAll()
		b.advance(CycleInterval)
		allocations := testing.AllocsPerRun(20, func() {
			b.scheduler.cycle.due = true
			b.scheduler.cycle.lastAt = b.now - CycleInterval
			b.scheduler.Step(b.now, Tick{})
		})
		t.Logf("%d machines: %.0f allocations", machines, allocations)
		if allocations > most {
			t.Errorf(
				"%d machines: %.0f allocations in an unchanged cycle, want %d at most",
				machines,
				allocations,
				most,
			)
		}
	}
}
