package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestEachTeamIsServed: while capacity for one task after the other becomes free, waiting teams are served in
// turn, however many jobs each of them has and whoever came first.
func TestEachTeamIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "teams")
		var teams []config.Team
		for i := range n {
			teams = append(teams, config.Team{Name: fmt.Sprintf("team-%d", i)})
		}
		b := newHarness(teams, "a")
		for i := range n {
			for k := range rapid.IntRange(3, 9).Draw(t, "jobs") {
				j := jobSpec(fmt.Sprintf("j-%d%d", i, k), protocol.Array, "normal", 3, 8)
				j.Team = teams[i].Name
				b.addJob(j)
			}
		}
		const rounds = 3
		for i := range rounds * n {
			b.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
			b.runCycle()
			b.runFetchingTasks()
		}
		for _, team := range teams {
			if used := b.scheduler.machines.TeamUsage(team.Name).GPUs / 8; used != rounds {
				t.Errorf("%s has %v of %d places for %d teams", team.Name, used, rounds*n, n)
			}
		}
	})
}

// exitStoppedTasks ends the tasks that were commanded to stop.
func (b *harness) exitStoppedTasks() {
	for _, tasks := range b.tasks {
		for id, t := range tasks {
			if b.wasStopped(id) {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseStopped
				tasks[id] = t
			}
		}
	}
}

// TestPreemptionBudgetStarvesNoJob: when the budget of searches for victims is used up in each cycle, every
// job that waits for some is served, also behind older ones that never find any.
func TestPreemptionBudgetStarvesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "jobs")
		b := newHarness([]config.Team{{Name: "red"}}, "a", "b")
		b.scheduler.preemption.PerCycle = 1
		for i := range n {
			b.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
			b.addJob(jobSpec(fmt.Sprintf("j-low%d", i), protocol.Array, "normal", 1, 8))
		}
		b.runCycle()
		b.runFetchingTasks()
		const blocked = 3
		for i := range blocked {
			j := jobSpec(fmt.Sprintf("j-blocked%d", i), protocol.Service, "urgent", 1, 8)
			j.Zone, j.CPUs = "b", float64(1+i) // no machine is there
			b.addJob(j)
		}
		for i := range n {
			b.now += MinCycleInterval
			b.addJob(jobSpec(fmt.Sprintf("j-high%d", i), protocol.Service, "urgent", 1, 8))
		}
		for range 2 * (n + blocked) * (n + blocked) {
			b.runCycle()
			b.exitStoppedTasks()
			b.runFetchingTasks()
		}
		if len(b.stops) != n {
			t.Errorf("work was stopped for %d of %d jobs", len(b.stops), n)
		}
	})
}

// TestSearchesWiden: a job finds the one machine with capacity for it, although more machines than a search
// may examine have capacity that is not for it.
func TestSearchesWiden(t *testing.T) {
	const machines = 30
	for _, limit := range []int{1, 4} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		indexFinderOf(t, b.scheduler).MaxExamined = limit
		for i := range machines {
			b.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
		}
		b.runCycle()
		for i := range machines - 1 {
			m := b.scheduler.machines.Machine(fmt.Sprintf("m%02d", i))
			m.NominateFor("j-first", b.now+time.Hour)
		}
		first := jobSpec("j-first", protocol.Service, "critical", 1, 8)
		first.Zone = "nowhere"
		b.addJob(first)
		b.scheduler.jobs["j-first"].BackoffUntil = b.now + time.Hour
		b.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 4))
		for range 8 {
			b.runCycle()
			b.runFetchingTasks()
		}
		if b.startedTasks("j-1") != 1 {
			t.Errorf("limit %d: the job was passed over", limit)
		}
	}
}
