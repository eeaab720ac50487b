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

// indexErrors returns the number of machines for which the candidate index differs from the registry.
func (h *harness) indexErrors() (wrong int) {
	h.scheduler.machines.Each(func(m *machineregistry.Machine) {
		candidate, ok := m.SchedulerData.(*candidates.Candidate)
		schedulable := h.scheduler.machines.Schedulable(h.now, m)
		switch {
		case !ok || schedulable && !h.scheduler.candidates.Machines.Has(candidate.Entry):
			wrong++
		case schedulable && candidate.Free != h.scheduler.machines.FreeCapacity(m):
			wrong++
		}
	})
	return wrong
}

// TestCorruptedIndexIsRepaired corrupts the candidate index: machines have free capacity that they do not have, are
// missing, or are in the wrong zone. No machine may be overcommitted, no job may leave its zone, and refused
// reservations or verification must soon repair the index.
func TestCorruptedIndexIsRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 12
		h := newHarness([]config.Team{{Name: "red"}, {Name: "blue"}}, "a", "b")
		for i := range machines {
			h.heartbeat(fmt.Sprintf("m%02d", i), []string{"a", "b"}[i%2], false)
		}
		h.runCycle()
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
			h.addJob(j)
		}
		h.runCycle()
		h.runFetchingTasks()
		h.scheduler.machines.Each(func(m *machineregistry.Machine) {
			candidate, ok := m.SchedulerData.(*candidates.Candidate)
			if !ok {
				t.Fatalf("%s has no candidate", m.Name)
			}
			switch rapid.IntRange(0, 3).Draw(t, "break") {
			case 0:
				h.scheduler.candidates.Machines.Remove(candidate.Entry)
			case 1:
				candidate.Free = machineregistry.Resources{CPUs: 1000, GPUs: 1000, MemoryGB: 1000}
				h.scheduler.candidates.Machines.Put(
					candidate.Entry,
					candidate.Pool(),
					candidate.Capacity(),
					candidate.Free,
				)
			case 2:
				h.scheduler.candidates.Machines.Put(
					candidate.Entry,
					machineindex.Pool{Type: "g8", Zone: "elsewhere"},
					candidate.Capacity(),
					candidate.Free,
				)
			}
		})
		for i := range 6 {
			j := jobSpec(fmt.Sprintf("j-after%d", i), protocol.Array, "normal", 4, 2)
			j.Zone = "a"
			h.addJob(j)
			h.runCycle()
			h.runFetchingTasks()
			h.checkCapacity(t)
		}
		for range machines + 2 {
			h.runCycle()
			h.runFetchingTasks()
		}
		h.checkCapacity(t)
		h.scheduler.candidates.Refresh(h.now) // applies what heartbeats have changed since the last cycle
		if n := h.indexErrors(); n > 0 {
			t.Errorf("the index differs from the registry for %d machines", n)
		}
	})
}

// checkCapacity checks that no machine is overcommitted and no task runs outside its zone.
func (h *harness) checkCapacity(t *rapid.T) {
	for name, tasks := range h.tasks {
		gpus := 0.0
		for id, task := range tasks {
			if task.State == protocol.TaskExited {
				continue
			}
			j := h.scheduler.jobs[id.JobID]
			gpus += j.Spec.GPUs
			if j.Spec.Zone != "" && j.Spec.Zone != h.zoneOf[name] {
				t.Fatalf("%s runs in zone %s", id, h.zoneOf[name])
			}
		}
		if gpus > 8 {
			t.Fatalf("%s runs tasks that need %v of 8 GPUs", name, gpus)
		}
	}
}

// TestIndexMatchesRegistry checks that the index agrees with the registry after machines were added, became
// unreachable, returned as another incarnation or were lost, and after machine types changed.
func TestIndexMatchesRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSchedulerPair(
			t,
			rapid.Uint64().Draw(t, "seed"),
			[]config.Team{{Name: "red"}, {Name: "blue"}, {Name: "green"}},
			nil,
			false,
		)
		for range 8 {
			p.addMachine()
		}
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			p.applyRandomStep()
		}
		if rapid.Bool().Draw(t, "types change") {
			for _, h := range p.harnesses {
				changed := *h.scheduler.machines.MachineType("g8")
				changed.CPUs *= 2
				h.apply(MachineTypesUpdated{Types: []protocol.MachineType{changed}})
			}
		}
		if rapid.Bool().Draw(t, "old heartbeat") {
			p.applyToBoth("a copy of an old heartbeat", func(h *harness) {
				heartbeat := h.nextHeartbeat(p.machines[0])
				heartbeat.Sequence = 1
				h.apply(HeartbeatReceived{ReplyTo: p.machines[0], Heartbeat: heartbeat})
			})
		}
		h := p.harnesses[0]
		h.scheduler.candidates.Refresh(h.now)
		if n := h.indexErrors(); n > 0 {
			t.Errorf("the index differs from the registry for %d of %d machines", n, h.scheduler.machines.Len())
		}
	})
}

// TestMachinesExaminedPerStart checks that the number of machines examined for a start does not grow with the fleet,
// and that a cycle in which nothing can be placed does not examine the same machines again for every job.
func TestMachinesExaminedPerStart(t *testing.T) {
	const maxPerStart, maxPerWaitingJob = 80, 4
	for _, machines := range []int{200, 2000, 6000} {
		h := newFleetHarness(machines, 50)
		h.fill(50, serviceSlots)
		h.heartbeatAll()
		finder := indexFinderOf(t, h.scheduler)
		finder.Examined, h.started = 0, 0
		for range 10 {
			h.submit(protocol.Array, h.rng.IntN(50), 64)
			h.advance(MinCycleInterval)
		}
		h.advance(CycleInterval)
		if h.started != 640 || finder.Examined > uint64(maxPerStart*h.started) {
			t.Errorf("%d machines: %d machines examined for %d starts", machines, finder.Examined, h.started)
		}
		t.Logf("%d machines: %.1f machines examined per start", machines, float64(finder.Examined)/float64(h.started))
	}
	h := newOverloadedHarness(200, 50, 500)
	finder := indexFinderOf(t, h.scheduler)
	finder.Examined = 0
	h.advance(CycleInterval)
	if maximum := uint64(maxPerWaitingJob * 500); finder.Examined > maximum {
		t.Errorf("%d machines examined in a cycle in which 500 jobs wait, want %d at most", finder.Examined, maximum)
	}
}

// TestAllocationsOfUnchangedCycle checks that the memory allocations of a cycle in which nothing has changed do not
// grow with the fleet.
func TestAllocationsOfUnchangedCycle(t *testing.T) {
	const maximum = 150
	for _, machines := range []int{200, 4000} {
		h := newFleetHarness(machines, 50)
		h.fill(50, serviceSlots)
		h.heartbeatAll()
		h.advance(CycleInterval)
		allocations := testing.AllocsPerRun(20, func() {
			h.scheduler.cycle.due = true
			h.scheduler.cycle.lastAt = h.now - CycleInterval
			h.scheduler.Step(h.now, Tick{})
		})
		t.Logf("%d machines: %.0f allocations", machines, allocations)
		if allocations > maximum {
			t.Errorf(
				"%d machines: %.0f allocations in an unchanged cycle, want %d at most",
				machines,
				allocations,
				maximum,
			)
		}
	}
}
