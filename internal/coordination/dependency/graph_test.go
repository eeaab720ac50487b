package dependency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// reference is a simple model of the graph that computes every answer by walking all jobs.
type reference struct {
	jobs  map[string]Job
	ended map[string]State
}

// state returns the number of open dependencies of a job, and whether the job is cancelled because of a dependency.
func (r *reference) state(id string) (open int, cancelled bool) {
	for _, dep := range r.jobs[id].Dependencies {
		switch r.ended[dep] {
		case Done:
			continue
		case Cancelled:
			return 0, true
		}
		if _, c := r.state(dep); c {
			return 0, true
		}
		open++
	}
	return open, false
}

// isLive reports whether a job has neither ended nor been cancelled because of a dependency.
func (r *reference) isLive(id string) bool {
	_, cancelled := r.state(id)
	return r.ended[id] == UnknownOutcome && !cancelled
}

// priority returns the highest priority among a job and the live jobs that depend on it.
func (r *reference) priority(id string) int {
	level := r.jobs[id].Priority
	for other, j := range r.jobs {
		if r.isLive(other) && slices.Contains(j.Dependencies, id) {
			level = min(level, r.priority(other))
		}
	}
	return level
}

// TestGraphAgainstReference compares the graph with the reference on random sequences of submissions, ends and
// cancellations, including dependencies whose final state is unknown when a job that names them is added.
func TestGraphAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, r := New(), &reference{jobs: map[string]Job{}, ended: map[string]State{}}
		unblocked, cancelled := map[string]bool{}, map[string]bool{}
		apply := func(c Change) {
			for _, id := range c.Unblocked {
				if unblocked[id] {
					t.Fatalf("%s is unblocked twice", id)
				}
				unblocked[id] = true
			}
			for _, id := range c.Cancelled {
				if cancelled[id] {
					t.Fatalf("%s is cancelled twice", id)
				}
				cancelled[id] = true
			}
			for _, id := range c.UnknownOutcomes {
				if state := r.ended[id]; state != UnknownOutcome {
					c := g.End(id, state)
					for _, id := range c.Unblocked {
						unblocked[id] = true
					}
					for _, id := range c.Cancelled {
						cancelled[id] = true
					}
				} else {
					t.Fatalf("%s is live, but its final state is to be read", id)
				}
			}
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(r.jobs) == 0 || rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				j := Job{
					ID:       fmt.Sprintf("j-%02d", step),
					Priority: rapid.IntRange(0, 3).Draw(t, "level"),
					Deadline: NoDeadline,
				}
				for other := range r.jobs {
					if rapid.IntRange(0, 3).Draw(t, "needs "+other) == 0 {
						j.Dependencies = append(j.Dependencies, other)
					}
				}
				r.jobs[j.ID] = j
				apply(g.Add(j))
				continue
			}
			id := fmt.Sprintf("j-%02d", rapid.IntRange(0, step).Draw(t, "which"))
			open, cancelledByDependency := r.state(id)
			switch {
			case r.jobs[id].ID == "" || r.ended[id] != UnknownOutcome:
			case cancelledByDependency || rapid.Bool().Draw(t, "cancel"):
				r.ended[id] = Cancelled
				apply(g.End(id, Cancelled))
			case open == 0:
				r.ended[id] = Done
				apply(g.End(id, Done))
			}
		}
		for id := range r.jobs {
			open, cancelledByDependency := r.state(id)
			if r.ended[id] != UnknownOutcome {
				continue
			}
			if got := g.State(id); (got == Cancelled) != cancelledByDependency || got == Done || got == UnknownOutcome {
				t.Fatalf(
					"%s is in state %d, want Cancelled or Live; cancelled by a dependency: %v",
					id,
					got,
					cancelledByDependency,
				)
			}
			if cancelled[id] != cancelledByDependency {
				t.Fatalf("%s reported as cancelled: %v, want %v", id, cancelled[id], cancelledByDependency)
			}
			if cancelledByDependency {
				continue
			}
			if got := g.OpenDependencies(id); got != open {
				t.Fatalf("%s has %d open dependencies, want %d", id, got, open)
			}
			if unblocked[id] && open > 0 {
				t.Fatalf("%s was unblocked with %d open dependencies, want none", id, open)
			}
			if got, ok := g.Priority(id); !ok || got != r.priority(id) {
				t.Fatalf("%s has priority %d, want %d", id, got, r.priority(id))
			}
		}
	})
}

// TestLatestStartReachesDependencies checks that the deadline of the last job determines the latest starts of all its
// dependencies by the longest path, in any order of submission.
func TestLatestStartReachesDependencies(t *testing.T) {
	jobs := []Job{
		{ID: "first", Priority: 3, Deadline: NoDeadline, EstimatedDuration: 10},
		{ID: "short", Priority: 3, Deadline: NoDeadline, EstimatedDuration: 5, Dependencies: []string{"first"}},
		{ID: "long", Priority: 3, Deadline: NoDeadline, EstimatedDuration: 50, Dependencies: []string{"first"}},
		{ID: "last", Priority: 1, Deadline: 200, EstimatedDuration: 20, Dependencies: []string{"short", "long"}},
	}
	want := map[string]time.Duration{"first": 120, "short": 175, "long": 130, "last": 180}
	for _, order := range [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {3, 0, 2, 1}} {
		g := New()
		for _, i := range order {
			g.Add(jobs[i])
		}
		for id, start := range want {
			if got := g.LatestStart(id); got != start {
				t.Errorf("order %v: %s must start by %d, want %d", order, id, got, start)
			}
			if level, _ := g.Priority(id); level != 1 {
				t.Errorf("order %v: %s has priority %d, want that of the last job", order, id, level)
			}
		}
	}
}

// TestUnknownOutcomeBlocksDependents checks that a job with an unknown final state blocks its direct and indirect
// dependents until that state is read.
func TestUnknownOutcomeBlocksDependents(t *testing.T) {
	g := New()
	g.Add(Job{ID: "a", Deadline: NoDeadline})
	g.Add(Job{ID: "b", Dependencies: []string{"a"}, Deadline: NoDeadline})
	g.Add(Job{ID: "c", Dependencies: []string{"b"}, Deadline: NoDeadline})
	if c := g.EndWithUnknownOutcome("a"); !slices.Equal(c.UnknownOutcomes, []string{"a"}) {
		t.Fatalf("unknown outcomes: %v, want a", c.UnknownOutcomes)
	}
	if got := g.UnresolvedDependencies("c", 9); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("unresolved dependencies of the last job: %v, want a", got)
	}
	if c := g.End("a", Cancelled); !slices.Equal(c.Cancelled, []string{"b", "c"}) || g.CancelledBy("c") != "a" {
		t.Errorf(
			"cancelled dependents: %v, c cancelled by %q, want b and c, cancelled by a",
			c.Cancelled,
			g.CancelledBy("c"),
		)
	}
}

// TestCostGrowsWithEdgesOnly checks that the cost of ends and submissions depends only on the affected edges, in a
// chain of 10,000 jobs, with 10,000 dependents of one job, and in fully connected layers.
func TestCostGrowsWithEdgesOnly(t *testing.T) {
	const n = 10_000
	chain, star := New(), New()
	star.Add(Job{ID: "hub", Priority: 3, Deadline: NoDeadline})
	last := ""
	for i := range n {
		id := fmt.Sprintf("j-%05d", i)
		star.Add(Job{ID: id, Priority: 3, Deadline: NoDeadline, Dependencies: []string{"hub"}})
		var dependencies []string
		if last != "" {
			dependencies = []string{last}
		}
		chain.Add(Job{ID: id, Priority: 3, Deadline: NoDeadline, Dependencies: dependencies})
		last = id
	}
	if c := chain.Add(
		Job{ID: "end", Priority: 1, Deadline: time.Hour, Dependencies: []string{last}},
	); len(
		c.Reprioritised,
	) != n+1 {
		t.Errorf("adding the last job of the chain reprioritises %d jobs, want %d", len(c.Reprioritised), n+1)
	}
	if c := chain.End("j-00000", Done); len(c.Unblocked) != 1 || len(c.Reprioritised) != 0 {
		t.Errorf(
			"end of the first job unblocks %d and reprioritises %d jobs, want 1 and 0",
			len(c.Unblocked),
			len(c.Reprioritised),
		)
	}
	if c := star.End("hub", Done); len(c.Unblocked) != n {
		t.Errorf("end of the common dependency unblocks %d jobs, want all dependents", len(c.Unblocked))
	}
	layers := New()
	for layer := range 100 {
		for k := range 100 {
			j := Job{ID: fmt.Sprintf("l%02d-%02d", layer, k), Priority: 3, Deadline: NoDeadline}
			for dep := 0; layer > 0 && dep < 100; dep++ {
				j.Dependencies = append(j.Dependencies, fmt.Sprintf("l%02d-%02d", layer-1, dep))
			}
			layers.Add(j)
		}
	}
	if c := layers.End("l00-00", Cancelled); len(c.Cancelled) != 99*100 {
		t.Errorf(
			"cancellation in the first layer cancels %d jobs, want all jobs of the other layers",
			len(c.Cancelled),
		)
	}
}
