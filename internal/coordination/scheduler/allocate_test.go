package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
)

// TestAllocationInvariants throws jobs at machines: gangs start whole or not
// at all, nothing is overcommitted, and limits, zones and kinds are kept.
func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(0, 30).Draw(t, "limit"))
		b := newHarness([]config.Team{{Name: "red", MaxGPUs: limit}, {Name: "blue"}}, "a", "b")
		zone, spot := map[string]string{}, map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			name := fmt.Sprintf("m%d", i)
			zone[name] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			spot[name] = rapid.IntRange(0, 3).Draw(t, "spot") == 0
			b.heartbeat(name, zone[name], spot[name])
		}
		jobs := map[string]protocol.Job{}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := jobSpec(
				fmt.Sprintf("j-%d", i),
				rapid.SampledFrom([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}).Draw(t, "shape"),
				rapid.SampledFrom([]protocol.Priority{"critical", "normal", "best_effort"}).Draw(t, "prio"),
				rapid.IntRange(1, 9).Draw(t, "tasks"),
				float64(rapid.IntRange(1, 8).Draw(t, "gpus")),
			)
			j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
			j.SameZone = rapid.Bool().Draw(t, "same")
			j.Spread = !j.SameZone && rapid.Bool().Draw(t, "spread")
			j.SpotAllowed = rapid.Bool().Draw(t, "spot")
			if rapid.Bool().Draw(t, "fixed") {
				j.Zone = "a"
			}
			jobs[j.ID] = j
			b.addJob(j)
			if rapid.Bool().Draw(t, "cycle") {
				b.runCycle()
			}
		}
		for range 6 {
			b.runCycle()
		}
		used, red := map[string]float64{}, 0.0
		zones := map[string]map[string]int{}
		for id, m := range b.machineOf {
			j := jobs[id.JobID]
			used[m] += j.GPUs
			if j.Team == "red" {
				red += j.GPUs
			}
			if zones[id.JobID] == nil {
				zones[id.JobID] = map[string]int{}
			}
			zones[id.JobID][zone[m]]++
			if spot[m] && !j.SpotAllowed || j.Zone != "" && j.Zone != zone[m] {
				t.Fatalf("%v on %s: zone %s spot %v", id, m, zone[m], spot[m])
			}
		}
		for m, u := range used {
			if u > 8 {
				t.Fatalf("%s holds %v of 8 GPUs", m, u)
			}
		}
		if limit > 0 && red > limit {
			t.Fatalf("team uses %v of %v", red, limit)
		}
		for id, j := range jobs {
			n := b.startedTasks(id)
			if j.Shape == protocol.Gang && n != 0 && n != j.TaskCount {
				t.Fatalf("gang %s: %d of %d started", id, n, j.TaskCount)
			}
			if j.SameZone && len(zones[id]) > 1 {
				t.Fatalf("%s is in zones %v", id, zones[id])
			}
			for z, n := range zones[id] {
				if j.Spread && n > (j.TaskCount+1)/2 {
					t.Fatalf("%s has %d of %d in %s", id, n, j.TaskCount, z)
				}
			}
		}
	})
}

// TestGangHoldAndBackfill: capacity for a part of a gang is held against smaller jobs for three cycles, and
// then they may backfill it.
func TestGangHoldAndBackfill(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m1", "a", false)
	b.addJob(jobSpec("j-1", protocol.Gang, "urgent", 2, 8)) // needs two machines
	small := jobSpec("j-2", protocol.Array, "urgent", 1, 1)
	small.Class = "d"
	for cycle := 1; cycle <= gangHoldCycles+1; cycle++ {
		if cycle == 1 {
			b.now++
			b.addJob(small)
		}
		b.heartbeat("m1", "a", false)
		b.runCycle()
		if got, want := b.startedTasks("j-2"), cycle > gangHoldCycles; (got == 1) != want {
			t.Fatalf("cycle %d: backfilled %v", cycle, got)
		}
	}
	if b.startedTasks("j-1") != 0 {
		t.Error("part of the gang was started")
	}
}

// TestCapacityIsPlannedUnderLoad: however often events make a cycle due, capacity is planned once a second.
// With hundreds of machines a cycle is always due, and dead machines would not be fenced for minutes.
func TestCapacityIsPlannedUnderLoad(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	lists, until := 0, 30*time.Second
	for i := 0; b.now < until; i++ {
		b.now += MinCycleInterval
		b.addJob(jobSpec(fmt.Sprintf("j-%d", i), protocol.Array, "normal", 1, 1))
		for _, e := range b.scheduler.Step(b.now, Tick{}) {
			if f, ok := e.(CloudRequest); ok && f.Effect == (autoscaler.ListMachines{}) {
				lists++
				b.apply(MachinesListed{RequestedAt: b.now})
			}
		}
	}
	// A list is requested when the capacity is planned next.
	every := config.Seconds(b.scheduler.cfg.Cloud.ListLagSeconds/2) + CycleInterval
	if want := int(until / every); lists < want {
		t.Errorf("the machines were listed %d times, want %d", lists, want)
	}
}

// TestTeamsShareFairly: under overload, the queue of one team does not shut out another's.
func TestTeamsShareFairly(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}, {Name: "blue"}}, "a")
	for i := range 20 {
		b.addJob(jobSpec(fmt.Sprintf("j-%d", i), protocol.Service, "normal", 1, 1))
	}
	b.now++
	for i := range 20 {
		j := jobSpec(fmt.Sprintf("j-%d", 100+i), protocol.Service, "normal", 1, 1)
		j.Team = "blue"
		b.addJob(j)
	}
	b.heartbeat("m1", "a", false)
	b.runCycle()
	red, blue := b.scheduler.machines.TeamUsage("red").GPUs, b.scheduler.machines.TeamUsage("blue").GPUs
	if red != 4 || blue != 4 {
		t.Errorf("red has %v, blue %v of 8", red, blue)
	}
}

// TestLargestJob: a job of 100,000 tasks is accepted, recorded and placed, and its size does not show in the
// cost of a cycle.
func TestLargestJob(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	for i := range 10 {
		b.heartbeat(fmt.Sprintf("m%d", i), "a", false)
	}
	b.addJob(jobSpec("j-1", protocol.Array, "normal", protocol.MaxTasks, 1))
	done := 0
	for range 30 {
		b.runCycle()
		by := map[string][]protocol.TaskStatus{}
		for id, c := range b.runs {
			by[b.machineOf[id]] = append(by[b.machineOf[id]], exitedTask(id, c.Attempt, protocol.CauseDone))
			done++
		}
		clear(b.runs)
		for i := range 10 {
			m := fmt.Sprintf("m%d", i)
			b.heartbeat(m, "a", false, by[m]...)
		}
	}
	if s, ok := b.scheduler.Status("j-1"); !ok || s.DoneTasks != done || done < 30*80/2 {
		t.Errorf("%+v, %d done", s, done)
	}
}
