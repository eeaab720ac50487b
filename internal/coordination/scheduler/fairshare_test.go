package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
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
			teams = append(teams, config.Team{Name: fmt.Sprintf("team-%d", i), GuaranteedGPUs: float64(rapid.IntRange(0, 1).Draw(t, "guarantee") * 4)})
		}
		b := newBench(teams, "a")
		var waiting []*job
		for i := range rapid.IntRange(0, 30).Draw(t, "jobs") {
			j := spec(fmt.Sprintf("j-%d", i), protocol.Array, rapid.SampledFrom([]protocol.Priority{"critical", "normal"}).Draw(t, "priority"), 1, float64(rapid.IntRange(1, 3).Draw(t, "gpus")))
			j.Team = teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].Name
			waiting = append(waiting, newJob(j, 1, int64(i), 0, storage.PageLayout{TasksPerPage: 10}))
		}
		slices.SortFunc(waiting, func(a, b *job) int {
			if scheduledBefore(a, b) {
				return -1
			}
			return 1
		})
		left := slices.Clone(waiting)
		turns := b.c.newFairShareQueue(waiting)
		for len(left) > 0 {
			want := referenceNext(b.c, left)
			got := turns.next()
			if got != want {
				t.Fatalf("turn of %v, want %v", got, want.spec.ID)
			}
			left = slices.DeleteFunc(left, func(j *job) bool { return j == got })
			if rapid.Bool().Draw(t, "placed") {
				occupy(b, got)
			}
		}
		if got := turns.next(); got != nil {
			t.Errorf("%s has two turns", got.spec.ID)
		}
	})
}

// occupy puts a task of a job on a machine, so that its team uses more.
func occupy(b *bench, j *job) {
	b.c.machines.Adopt(0, &partition.Placement{Task: protocol.TaskID{JobID: j.spec.ID}, Attempt: 1, Machine: "m-" + j.spec.ID, Resources: j.need,
		Team: j.spec.Team, PriorityLevel: j.level, Job: &j.spec})
}

// referenceNext walks all heads of queues.
func referenceNext(c *Core, left []*job) *job {
	var best *job
	seen := map[string]bool{}
	for _, j := range left {
		if seen[j.spec.Team] {
			continue
		}
		seen[j.spec.Team] = true
		if best == nil || referenceBefore(c, j, best) {
			best = j
		}
	}
	return best
}

func referenceBefore(c *Core, a, b *job) bool {
	if c.withinGuaranteedQuota(a) != c.withinGuaranteedQuota(b) {
		return c.withinGuaranteedQuota(a)
	}
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(c.weightedUsage(a.spec.Team), c.weightedUsage(b.spec.Team))) < 0
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
		b := newBench(teams, "a")
		for i := range n {
			for k := range rapid.IntRange(3, 9).Draw(t, "jobs") {
				j := spec(fmt.Sprintf("j-%d%d", i, k), protocol.Array, "normal", 3, 8)
				j.Team = teams[i].Name
				b.job(j)
			}
		}
		const rounds = 3
		for i := range rounds * n {
			b.machine(fmt.Sprintf("m%02d", i), "a", false)
			b.cycle()
			b.settle()
		}
		for _, team := range teams {
			if used := b.c.machines.TeamUsage(team.Name).GPUs / 8; used != rounds {
				t.Errorf("%s has %v of %d places for %d teams", team.Name, used, rounds*n, n)
			}
		}
	})
}

// exitStoppedTasks ends the tasks that were told to stop.
func (b *bench) exitStoppedTasks() {
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
		b := newBench([]config.Team{{Name: "red"}}, "a", "b")
		b.c.preemptionBudget = 1
		for i := range n {
			b.machine(fmt.Sprintf("m%02d", i), "a", false)
			b.job(spec(fmt.Sprintf("j-low%d", i), protocol.Array, "normal", 1, 8))
		}
		b.cycle()
		b.settle()
		const blocked = 3
		for i := range blocked {
			j := spec(fmt.Sprintf("j-blocked%d", i), protocol.Service, "urgent", 1, 8)
			j.Zone, j.CPUs = "b", float64(1+i) // no machine is there
			b.job(j)
		}
		for i := range n {
			b.now += Eager
			b.job(spec(fmt.Sprintf("j-high%d", i), protocol.Service, "urgent", 1, 8))
		}
		for range 2 * (n + blocked) * (n + blocked) {
			b.cycle()
			b.exitStoppedTasks()
			b.settle()
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
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.searchLimit = looks
		for i := range machines {
			b.machine(fmt.Sprintf("m%02d", i), "a", false)
		}
		b.cycle()
		for i := range machines - 1 {
			// Cleared for a job that waits and goes first.
			m := b.c.machines.Machine(fmt.Sprintf("m%02d", i))
			m.ReservedJob, m.ReservedUntil = "j-first", b.now+time.Hour
		}
		first := spec("j-first", protocol.Service, "critical", 1, 8)
		first.Zone = "nowhere"
		b.job(first)
		b.c.jobs["j-first"].notBefore = b.now + time.Hour
		b.job(spec("j-1", protocol.Array, "normal", 1, 4))
		for range 8 {
			b.cycle()
			b.settle()
		}
		if b.started("j-1") != 1 {
			t.Errorf("%d looks: the job was passed over", looks)
		}
	}
}
