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

// reference derives by a walk over all jobs what the graph keeps up to date.
type reference struct {
	jobs  map[string]Job
	ended map[string]State
}

// state returns how many dependencies of a job are open, and whether it is cancelled because of one.
func (r *reference) state(id string) (open int, cancelled bool) {
	for _, need := range r.jobs[id].Dependencies {
		switch r.ended[need] {
		case Done:
			continue
		case Cancelled:
			return 0, true
		}
		if _, c := r.state(need); c {
			return 0, true
		}
		open++
	}
	return open, false
}

// lives reports whether a job has neither ended nor been cancelled with another.
func (r *reference) lives(id string) bool {
	_, cancelled := r.state(id)
	return r.ended[id] == UnknownOutcome && !cancelled
}

// priority returns the highest priority of a job and of the live jobs that depend on it.
func (r *reference) priority(id string) int {
	level := r.jobs[id].Priority
	for other, j := range r.jobs {
		if r.lives(other) && slices.Contains(j.Dependencies, id) {
			level = min(level, r.priority(other))
		}
	}
	return level
}

// TestGraphAgainstReference draws graphs, orders of submission, ends and cancellations, also of dependencies whose
// final state was not known when they were named, and compares every answer with the reference's.
func TestGraphAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, r := New(), &reference{jobs: map[string]Job{}, ended: map[string]State{}}
		freed, cancelled := map[string]bool{}, map[string]bool{}
		take := func(c Change) {
			for _, id := range c.Unblocked {
				if freed[id] {
					t.Fatalf("%s is unblocked twice", id)
				}
				freed[id] = true
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
						freed[id] = true
					}
					for _, id := range c.Cancelled {
						cancelled[id] = true
					}
				} else {
					t.Fatalf("%s lives, and its final state is to be read", id)
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
				take(g.Add(j))
				continue
			}
			id := fmt.Sprintf("j-%02d", rapid.IntRange(0, step).Draw(t, "which"))
			open, cancelledWithNeed := r.state(id)
			switch {
			case r.jobs[id].ID == "" || r.ended[id] != UnknownOutcome:
			case cancelledWithNeed || rapid.Bool().Draw(t, "cancel"):
				r.ended[id] = Cancelled
				take(g.End(id, Cancelled))
			case open == 0:
				r.ended[id] = Done
				take(g.End(id, Done))
			}
		}
		for id := range r.jobs {
			open, cancelledWithNeed := r.state(id)
			if r.ended[id] != UnknownOutcome {
				continue
			}
			if got := g.State(id); (got == Cancelled) != cancelledWithNeed || got == Done || got == UnknownOutcome {
				t.Fatalf("%s is in state %d, cancelled %v", id, got, cancelledWithNeed)
			}
			if cancelled[id] != cancelledWithNeed {
				t.Fatalf("%s was reported as cancelled: %v, want %v", id, cancelled[id], cancelledWithNeed)
			}
			if cancelledWithNeed {
				continue
			}
			if got := g.OpenDependencies(id); got != open {
				t.Fatalf("%s has %d open dependencies, want %d", id, got, open)
			}
			if freed[id] && open > 0 {
				t.Fatalf("%s was unblocked with %d open dependencies", id, open)
			}
			if got, ok := g.Priority(id); !ok || got != r.priority(id) {
				t.Fatalf("%s has priority %d, want %d", id, got, r.priority(id))
			}
		}
	})
}

// TestLatestStartReachesDependencies: the deadline of the last job bounds the latest starts of all its dependencies, by
// the longest path and whatever the order of submission.
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

// TestUnknownOutcomeHoldsDependents: a job whose final state is not known blocks its direct and indirect dependents
// until that is read.
func TestUnknownOutcomeHoldsDependents(t *testing.T) {
	g := New()
	g.Add(Job{ID: "a", Deadline: NoDeadline})
	g.Add(Job{ID: "b", Dependencies: []string{"a"}, Deadline: NoDeadline})
	g.Add(Job{ID: "c", Dependencies: []string{"b"}, Deadline: NoDeadline})
	if c := g.EndWithUnknownOutcome("a"); !slices.Equal(c.UnknownOutcomes, []string{"a"}) {
		t.Fatalf("final states to be read: %v", c.UnknownOutcomes)
	}
	if got := g.UnknownOutcomesBefore("c", 9); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("dependencies of the last job with unknown outcomes: %v", got)
	}
	if c := g.End("a", Cancelled); !slices.Equal(c.Cancelled, []string{"b", "c"}) || g.CancelledBy("c") != "a" {
		t.Errorf("cancelled with it: %v, by %q", c.Cancelled, g.CancelledBy("c"))
	}
}

// TestCostGrowsWithEdgesOnly: the cost of an end and of a submission is that of the edges concerned, in a chain of ten
// thousand jobs, with ten thousand dependents of one job, and in layers.
func TestCostGrowsWithEdgesOnly(t *testing.T) {
	const n = 10_000
	chain, star := New(), New()
	star.Add(Job{ID: "hub", Priority: 3, Deadline: NoDeadline})
	last := ""
	for i := range n {
		id := fmt.Sprintf("j-%05d", i)
		star.Add(Job{ID: id, Priority: 3, Deadline: NoDeadline, Dependencies: []string{"hub"}})
		var needs []string
		if last != "" {
			needs = []string{last}
		}
		chain.Add(Job{ID: id, Priority: 3, Deadline: NoDeadline, Dependencies: needs})
		last = id
	}
	if c := chain.Add(
		Job{ID: "end", Priority: 1, Deadline: time.Hour, Dependencies: []string{last}},
	); len(
		c.Reprioritised,
	) != n+1 {
		t.Errorf("the chain's end reprioritises %d jobs, want %d", len(c.Reprioritised), n+1)
	}
	if c := chain.End("j-00000", Done); len(c.Unblocked) != 1 || len(c.Reprioritised) != 0 {
		t.Errorf("the chain's first end unblocks %d and reprioritises %d jobs", len(c.Unblocked), len(c.Reprioritised))
	}
	if c := star.End("hub", Done); len(c.Unblocked) != n {
		t.Errorf("the end of the common dependency unblocks %d jobs", len(c.Unblocked))
	}
	layers := New()
	for layer := range 100 {
		for k := range 100 {
			j := Job{ID: fmt.Sprintf("l%02d-%02d", layer, k), Priority: 3, Deadline: NoDeadline}
			for need := 0; layer > 0 && need < 100; need++ {
				j.Dependencies = append(j.Dependencies, fmt.Sprintf("l%02d-%02d", layer-1, need))
			}
			layers.Add(j)
		}
	}
	if c := layers.End("l00-00", Cancelled); len(c.Cancelled) != 99*100 {
		t.Errorf(
			"a cancellation in the first layer cancels %d jobs after it, want all of the others'",
			len(c.Cancelled),
		)
	}
}
