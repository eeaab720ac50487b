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

// TestAllocationInvariants checks the invariants of allocation for random jobs and machines: gangs start as a whole or
// not at all, no machine is overcommitted, and quota limits, zones and the exclusion of spot machines are respected.
func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(0, 30).Draw(t, "limit"))
		h := newHarness([]config.Team{{Name: "red", MaxGPUs: limit}, {Name: "blue"}}, "a", "b")
		zone, spot := map[string]string{}, map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			name := fmt.Sprintf("m%d", i)
			zone[name] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			spot[name] = rapid.IntRange(0, 3).Draw(t, "spot") == 0
			h.heartbeat(name, zone[name], spot[name])
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
			h.addJob(j)
			if rapid.Bool().Draw(t, "cycle") {
				h.runCycle()
			}
		}
		for range 6 {
			h.runCycle()
		}
		used, red := map[string]float64{}, 0.0
		zones := map[string]map[string]int{}
		for id, m := range h.machineOf {
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
				t.Fatalf(
					"%v was placed on %s in zone %s (spot %v), which its job does not allow",
					id,
					m,
					zone[m],
					spot[m],
				)
			}
		}
		for m, u := range used {
			if u > 8 {
				t.Fatalf("tasks on %s use %v of 8 GPUs", m, u)
			}
		}
		if limit > 0 && red > limit {
			t.Fatalf("team red uses %v GPUs, limit %v", red, limit)
		}
		for id, j := range jobs {
			n := h.startedTasks(id)
			if j.Shape == protocol.Gang && n != 0 && n != j.TaskCount {
				t.Fatalf("gang %s: %d of %d tasks started, want all or none", id, n, j.TaskCount)
			}
			if j.SameZone && len(zones[id]) > 1 {
				t.Fatalf("tasks of %s run in several zones: %v, want one", id, zones[id])
			}
			for z, n := range zones[id] {
				if j.Spread && n > (j.TaskCount+1)/2 {
					t.Fatalf("%s runs %d of %d tasks in zone %s, want at most half, rounded up", id, n, j.TaskCount, z)
				}
			}
		}
	})
}

// TestGangHoldAndBackfill checks that capacity for a part of a gang is held against smaller jobs for gangHoldCycles
// cycles and that smaller jobs may backfill it in the next one.
func TestGangHoldAndBackfill(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m1", "a", false)
	h.addJob(jobSpec("j-1", protocol.Gang, "urgent", 2, 8)) // needs two machines
	small := jobSpec("j-2", protocol.Array, "urgent", 1, 1)
	small.Class = "d"
	for cycle := 1; cycle <= gangHoldCycles+1; cycle++ {
		if cycle == 1 {
			h.now++
			h.addJob(small)
		}
		h.heartbeat("m1", "a", false)
		h.runCycle()
		if got, want := h.startedTasks("j-2"), cycle > gangHoldCycles; (got == 1) != want {
			t.Fatalf("cycle %d: %d backfilling tasks started, want 1 only in the cycle after the hold", cycle, got)
		}
	}
	if h.startedTasks("j-1") != 0 {
		t.Error("a part of the gang was started")
	}
}

// TestCapacityIsPlannedUnderLoad checks that capacity is planned once per second even if events keep making a cycle
// due. With hundreds of machines a cycle is always due; if planning waited for an idle moment, dead machines would not
// be fenced for minutes.
func TestCapacityIsPlannedUnderLoad(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	lists, until := 0, 30*time.Second
	for i := 0; h.now < until; i++ {
		h.now += MinCycleInterval
		h.addJob(jobSpec(fmt.Sprintf("j-%d", i), protocol.Array, "normal", 1, 1))
		for _, e := range h.scheduler.Step(h.now, Tick{}) {
			if request, ok := e.(CloudRequest); ok && request.Effect == (autoscaler.ListMachines{}) {
				lists++
				h.apply(MachinesListed{RequestedAt: h.now})
			}
		}
	}
	// The list of machines is requested with the next capacity plan.
	every := config.Seconds(h.scheduler.cfg.Cloud.ListLagSeconds/2) + CycleInterval
	if want := int(until / every); lists < want {
		t.Errorf("the machines were listed %d times, want at least %d", lists, want)
	}
}

// TestTeamsShareFairly checks that under overload the queue of one team does not starve another team.
func TestTeamsShareFairly(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}, {Name: "blue"}}, "a")
	for i := range 20 {
		h.addJob(jobSpec(fmt.Sprintf("j-%d", i), protocol.Service, "normal", 1, 1))
	}
	h.now++
	for i := range 20 {
		j := jobSpec(fmt.Sprintf("j-%d", 100+i), protocol.Service, "normal", 1, 1)
		j.Team = "blue"
		h.addJob(j)
	}
	h.heartbeat("m1", "a", false)
	h.runCycle()
	red, blue := h.scheduler.machines.TeamUsage("red").GPUs, h.scheduler.machines.TeamUsage("blue").GPUs
	if red != 4 || blue != 4 {
		t.Errorf("red uses %v and blue %v of 8 GPUs, want 4 each", red, blue)
	}
}

// TestLargestJob checks that a job with the maximum of 100,000 tasks is accepted, recorded and placed, and that the
// cost of a cycle does not depend on its size.
func TestLargestJob(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	for i := range 10 {
		h.heartbeat(fmt.Sprintf("m%d", i), "a", false)
	}
	h.addJob(jobSpec("j-1", protocol.Array, "normal", protocol.MaxTasks, 1))
	done := 0
	for range 30 {
		h.runCycle()
		exits := map[string][]protocol.TaskStatus{} // by machine
		for id, c := range h.runs {
			exits[h.machineOf[id]] = append(exits[h.machineOf[id]], exitedTask(id, c.Attempt, protocol.CauseDone))
			done++
		}
		clear(h.runs)
		for i := range 10 {
			m := fmt.Sprintf("m%d", i)
			h.heartbeat(m, "a", false, exits[m]...)
		}
	}
	if s, ok := h.scheduler.Status("j-1"); !ok || s.DoneTasks != done || done < 30*80/2 {
		t.Errorf(
			"status %+v, %d tasks reported as done, want the same number and at least half of the slots used",
			s,
			done,
		)
	}
}
