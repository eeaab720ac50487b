package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestFairShareQueue: on drawn queues the next job is always the one at the head of its team's queue that
// goes first by guarantee, priority, the team's share and age, also when usage changes between two
// turns; every job has its turn once.
func TestFairShareQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams []config.Team
		for i := range rapid.IntRange(2, 6).Draw(t, "teams") {
			teams = append(
				teams,
				config.Team{
					Name:           fmt.Sprintf("team-%d", i),
					GuaranteedGPUs: float64(rapid.IntRange(0, 1).Draw(t, "guarantee") * 4),
				},
			)
		}
		b := newHarness(teams, "a")
		var waiting []*Job
		for i := range rapid.IntRange(0, 30).Draw(t, "jobs") {
			j := jobSpec(
				fmt.Sprintf("j-%d", i),
				protocol.Array,
				rapid.SampledFrom([]protocol.Priority{"critical", "normal"}).Draw(t, "priority"),
				1,
				float64(rapid.IntRange(1, 3).Draw(t, "gpus")),
			)
			j.Team = teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].Name
			waiting = append(waiting, NewJob(j, 1, int64(i), 0, storage.PageLayout{TasksPerPage: 10}))
		}
		slices.SortFunc(waiting, func(a, b *Job) int {
			if scheduledBefore(a, b) {
				return -1
			}
			return 1
		})
		left := slices.Clone(waiting)
		turns := b.scheduler.newFairShareQueue(waiting)
		for len(left) > 0 {
			want := referenceNext(b.scheduler, left)
			got := turns.next()
			if got != want {
				t.Fatalf("turn of %v, want %v", got, want.Spec.ID)
			}
			left = slices.DeleteFunc(left, func(j *Job) bool { return j == got })
			if rapid.Bool().Draw(t, "placed") {
				occupy(b, got)
			}
		}
		if got := turns.next(); got != nil {
			t.Errorf("%s has two turns", got.Spec.ID)
		}
	})
}

// occupy puts a task of a job on a machine, so that its team uses more.
func occupy(b *harness, j *Job) {
	b.scheduler.machines.Adopt(0, &machineregistry.Placement{
		Task: protocol.TaskID{JobID: j.Spec.ID}, Attempt: 1, Machine: "m-" + j.Spec.ID, Resources: j.TaskResources,
		Team: j.Spec.Team, PriorityLevel: j.EffectivePriority, Job: &j.Spec,
	})
}

// referenceNext walks all heads of queues.
func referenceNext(c *Scheduler, left []*Job) *Job {
	var best *Job
	seen := map[string]bool{}
	for _, j := range left {
		if seen[j.Spec.Team] {
			continue
		}
		seen[j.Spec.Team] = true
		if best == nil || referenceBefore(c, j, best) {
			best = j
		}
	}
	return best
}

func referenceBefore(c *Scheduler, a, b *Job) bool {
	if c.withinGuaranteedQuota(a) != c.withinGuaranteedQuota(b) {
		return c.withinGuaranteedQuota(a)
	}
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(c.weightedUsage(a.Spec.Team), c.weightedUsage(b.Spec.Team)),
	) < 0
}

// TestEachTeamIsServed: while room for one task after the other comes up, teams that wait are
// served in turn, however many jobs each of them has waiting and whoever came first.
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

// exitStoppedTasks ends the tasks that were told to stop.
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

// TestPreemptionBudgetStarvesNoJob: when the looks for work to stop are used up in each cycle, every job
// that waits for some has its turn all the same, also behind older ones that never find any.
func TestPreemptionBudgetStarvesNoJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 10).Draw(t, "jobs")
		b := newHarness([]config.Team{{Name: "red"}}, "a", "b")
		b.scheduler.preemptionBudget = 1
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

// TestSearchesWiden: a job finds the one machine with room for it, although more machines than a
// search may look at have room that is kept from it, and however few looks there are.
func TestSearchesWiden(t *testing.T) {
	const machines = 30
	for _, looks := range []int{1, 4} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.scheduler.searchLimit = looks
		for i := range machines {
			b.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
		}
		b.runCycle()
		for i := range machines - 1 {
			// Cleared for a job that waits and goes first.
			m := b.scheduler.machines.Machine(fmt.Sprintf("m%02d", i))
			m.ReservedJob, m.ReservedUntil = "j-first", b.now+time.Hour
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
			t.Errorf("%d looks: the job was passed over", looks)
		}
	}
}
