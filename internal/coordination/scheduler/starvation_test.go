package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestEachTeamIsServed checks that waiting teams are served in turn while capacity becomes free for one task at a time,
// regardless of how many jobs each team has and which one came first.
func TestEachTeamIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "teams")
		var teams []config.Team
		for i := range n {
			teams = append(teams, config.Team{Name: fmt.Sprintf("team-%d", i)})
		}
		h := newHarness(teams, "a")
		for i := range n {
			for k := range rapid.IntRange(3, 9).Draw(t, "jobs") {
				j := jobSpec(fmt.Sprintf("j-%d%d", i, k), protocol.Array, "normal", 3, 8)
				j.Team = teams[i].Name
				h.addJob(j)
			}
		}
		const rounds = 3
		for i := range rounds * n {
			h.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
			h.runCycle()
			h.runFetchingTasks()
		}
		for _, team := range teams {
			if used := h.scheduler.machines.TeamUsage(team.Name).GPUs / 8; used != rounds {
				t.Errorf("%s has %v of %d machines for %d teams, want an equal share", team.Name, used, rounds*n, n)
			}
		}
	})
}

// exitStoppedTasks ends the tasks that were told to stop.
func (h *harness) exitStoppedTasks() {
	for _, tasks := range h.tasks {
		for id, t := range tasks {
			if h.wasStopped(id) {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
				tasks[id] = t
			}
		}
	}
}

// TestPreemptionBudgetStarvesNoJob checks that every job that waits for a preemption is served eventually, even if the
// budget for victim searches is used up in each cycle by older jobs that never find victims.
func TestPreemptionBudgetStarvesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "jobs")
		h := newHarness([]config.Team{{Name: "red"}}, "a", "b")
		h.scheduler.preemption.PerCycle = 1
		for i := range n {
			h.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
			h.addJob(jobSpec(fmt.Sprintf("j-low%d", i), protocol.Array, "normal", 1, 8))
		}
		h.runCycle()
		h.runFetchingTasks()
		const blocked = 3
		for i := range blocked {
			j := jobSpec(fmt.Sprintf("j-blocked%d", i), protocol.Service, "urgent", 1, 8)
			j.Zone, j.CPUs = "b", float64(1+i) // zone b has no machines
			h.addJob(j)
		}
		for i := range n {
			h.now += MinCycleInterval
			h.addJob(jobSpec(fmt.Sprintf("j-high%d", i), protocol.Service, "urgent", 1, 8))
		}
		for range 2 * (n + blocked) * (n + blocked) {
			h.runCycle()
			h.exitStoppedTasks()
			h.runFetchingTasks()
		}
		if len(h.stops) != n {
			t.Errorf("tasks were preempted for %d of %d jobs, want all", len(h.stops), n)
		}
	})
}

// TestSearchesWiden checks that a job finds the only machine that it can use, although more machines than a search may
// examine have free capacity that is reserved for another job.
func TestSearchesWiden(t *testing.T) {
	const machines = 30
	for _, limit := range []int{1, 4} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		indexFinderOf(t, h.scheduler).MaxExamined = limit
		for i := range machines {
			h.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
		}
		h.runCycle()
		for i := range machines - 1 {
			m := h.scheduler.machines.Machine(fmt.Sprintf("m%02d", i))
			m.NominateFor("j-first", h.now+time.Hour)
		}
		first := jobSpec("j-first", protocol.Service, "critical", 1, 8)
		first.Zone = "nowhere"
		h.addJob(first)
		h.scheduler.jobs["j-first"].BackoffUntil = h.now + time.Hour
		h.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 4))
		for range 8 {
			h.runCycle()
			h.runFetchingTasks()
		}
		if h.startedTasks("j-1") != 1 {
			t.Errorf("limit %d: the job did not start", limit)
		}
	}
}
