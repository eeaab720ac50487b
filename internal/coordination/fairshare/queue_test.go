package fairshare

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// testJob is a waiting job with one task.
type testJob struct {
	id string
	Request
}

func requestOf(j *testJob) Request { return j.Request }

// TestQueue checks on random queues that Next always returns the head job of the team that goes first by guaranteed
// quota, priority, weighted usage and position, even if usage changes between calls, and that every job is returned
// once.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var teams []config.Team
		for i := range rapid.IntRange(2, 6).Draw(t, "teams") {
			teams = append(teams, config.Team{
				Name:           fmt.Sprintf("team-%d", i),
				GuaranteedGPUs: float64(rapid.IntRange(0, 1).Draw(t, "guarantee") * 4),
			})
		}
		machines := machineregistry.New(1, config.Workers{})
		quotas := NewQuotas(teams, machines)
		var waiting []*testJob
		for i := range rapid.IntRange(0, 30).Draw(t, "jobs") {
			waiting = append(waiting, &testJob{
				id: fmt.Sprintf("j-%d", i),
				Request: Request{
					Priority: rapid.SampledFrom([]int{0, 2}).Draw(t, "priority"),
					Task: machineregistry.Resources{
						CPUs: 1, GPUs: float64(rapid.IntRange(1, 3).Draw(t, "gpus")), MemoryGB: 1,
					},
					Team: teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].Name,
				},
			})
		}
		slices.SortStableFunc(waiting, func(a, b *testJob) int { return cmp.Compare(a.Priority, b.Priority) })
		left := slices.Clone(waiting)
		queue := NewQueue(quotas, waiting, requestOf)
		for len(left) > 0 {
			want := referenceNext(quotas, left)
			got, ok := queue.Next()
			if !ok || got != want {
				t.Fatalf("Next returned %v, %v, want %v", got, ok, want.id)
			}
			left = slices.DeleteFunc(left, func(j *testJob) bool { return j == got })
			if rapid.Bool().Draw(t, "placed") {
				placeTask(machines, got)
			}
		}
		if got, ok := queue.Next(); ok {
			t.Errorf("%s is returned after all jobs were returned once", got.id)
		}
	})
}

// placeTask places the task of a job on a machine, which increases the usage of its team.
func placeTask(machines *machineregistry.Registry, j *testJob) {
	machines.Adopt(0, &machineregistry.Placement{
		Task:          protocol.TaskID{JobID: j.id},
		Attempt:       1,
		Machine:       "m-" + j.id,
		Resources:     j.Task,
		Team:          j.Team,
		PriorityLevel: j.Priority,
		Job:           &protocol.Job{ID: j.id, Team: j.Team},
	})
}

// referenceNext returns the expected result of Next by comparing the first jobs of all teams.
func referenceNext(quotas *Quotas, left []*testJob) *testJob {
	var best *testJob
	seen := map[string]bool{}
	for _, j := range left {
		if seen[j.Team] {
			continue
		}
		seen[j.Team] = true
		if best == nil || referenceBefore(quotas, j, best) {
			best = j
		}
	}
	return best
}

// referenceBefore reports whether a goes before b, unless they are equal.
func referenceBefore(quotas *Quotas, a, b *testJob) bool {
	withinA, withinB := quotas.WithinGuarantee(a.Team, a.Task), quotas.WithinGuarantee(b.Team, b.Task)
	if withinA != withinB {
		return withinA
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(quotas.WeightedUsage(a.Team), quotas.WeightedUsage(b.Team)),
	) < 0
}

// TestOrderedQueue checks that jobs keep their order if there is only one team, and in an ordered queue.
func TestOrderedQueue(t *testing.T) {
	var waiting []*testJob
	for i := range 5 {
		waiting = append(waiting, &testJob{id: fmt.Sprint(i), Request: Request{Team: "red", Priority: 5 - i}})
	}
	oneTeam := NewQuotas([]config.Team{{Name: "red"}}, machineregistry.New(1, config.Workers{}))
	for name, queue := range map[string]*Queue[*testJob]{
		"one team": NewQueue(oneTeam, waiting, requestOf),
		"ordered":  NewOrderedQueue(waiting),
	} {
		var got []*testJob
		for j, ok := queue.Next(); ok; j, ok = queue.Next() {
			got = append(got, j)
		}
		if !slices.Equal(got, waiting) {
			t.Errorf("%s: jobs in the order %v, want their original order", name, got)
		}
	}
}

func TestQuotas(t *testing.T) {
	task := machineregistry.Resources{CPUs: 2, GPUs: 1, MemoryGB: 1}
	for _, test := range []struct {
		name             string
		team             config.Team
		placed           int
		withinLimit      int
		withinGuarantee  int
		exceedsGuarantee bool
		weightedUsage    float64
		unlimited        bool
	}{
		{
			name:             "no quota",
			placed:           3,
			unlimited:        true,
			exceedsGuarantee: true,
			weightedUsage:    9,
		},
		{
			name:             "limit of one resource",
			team:             config.Team{MaxGPUs: 4},
			placed:           3,
			withinLimit:      1,
			exceedsGuarantee: true,
			weightedUsage:    9,
		},
		{
			name:             "tighter limit counts",
			team:             config.Team{MaxGPUs: 10, MaxCPUs: 10},
			placed:           3,
			withinLimit:      2,
			exceedsGuarantee: true,
			weightedUsage:    9,
		},
		{
			name:             "beyond the limit",
			team:             config.Team{MaxGPUs: 2},
			placed:           3,
			exceedsGuarantee: true,
			weightedUsage:    9,
		},
		{
			name:            "within the guarantee",
			team:            config.Team{GuaranteedGPUs: 6},
			placed:          3,
			unlimited:       true,
			withinGuarantee: 3,
			weightedUsage:   0.5,
		},
		{
			name:          "guarantee used up",
			team:          config.Team{GuaranteedGPUs: 3},
			placed:        3,
			unlimited:     true,
			weightedUsage: 1,
		},
		{
			name:             "beyond the guarantee",
			team:             config.Team{GuaranteedGPUs: 2},
			placed:           3,
			unlimited:        true,
			exceedsGuarantee: true,
			weightedUsage:    1.5,
		},
		{
			name:            "decimal amounts",
			team:            config.Team{GuaranteedGPUs: 3.3, GuaranteedCPUs: 6.6, MaxGPUs: 3.3},
			withinLimit:     3,
			withinGuarantee: 3,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.team.Name = "red"
			machines := machineregistry.New(1, config.Workers{})
			quotas := NewQuotas([]config.Team{test.team}, machines)
			for i := range test.placed {
				placeTask(machines, &testJob{id: fmt.Sprintf("j-%d", i), Request: Request{Team: "red", Task: task}})
			}
			if test.unlimited {
				test.withinLimit = 1<<31 - 1
			}
			if got := quotas.TasksWithinLimit("red", task); got != test.withinLimit {
				t.Errorf("%d more tasks within the limit, want %d", got, test.withinLimit)
			}
			if got := quotas.TasksWithinGuarantee("red", task, 3); got != test.withinGuarantee {
				t.Errorf("%d more tasks within the guarantee, want %d", got, test.withinGuarantee)
			}
			if got := quotas.WithinGuarantee("red", task); got != (test.withinGuarantee > 0) {
				t.Errorf("WithinGuarantee returned %v, want the opposite", got)
			}
			if got := quotas.ExceedsGuarantee("red"); got != test.exceedsGuarantee {
				t.Errorf("ExceedsGuarantee returned %v, want the opposite", got)
			}
			if got := quotas.WeightedUsage("red"); got != test.weightedUsage {
				t.Errorf("weighted usage %v, want %v", got, test.weightedUsage)
			}
		})
	}
}
