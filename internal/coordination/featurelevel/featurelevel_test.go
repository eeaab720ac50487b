package featurelevel

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const interval = time.Second

// finalised returns the level that the effects ask to make final, or Production.
func finalised(effects []Effect) Level {
	for _, e := range effects {
		if f, ok := e.(Finalise); ok {
			return f.Level
		}
	}
	return Production
}

// TestAbsenceIsNoConsent: a level is made final only by a leader, once every configured controller has
// recorded it and none has stated less in its last heartbeat, whatever else is heard and read, in any order.
func TestAbsenceIsNoConsent(t *testing.T) {
	members := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := New("a", members[1:], Pipelines, interval)
		leading, heard := false, map[string]Level{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				leading = rapid.Bool().Draw(t, "leads")
				m.Step(0, Led{Leading: leading})
			case 1:
				node := rapid.SampledFrom(append(members[1:], "stranger")).Draw(t, "from")
				heard[node] = rapid.SampledFrom([]Level{Production, Pipelines}).Draw(t, "level")
				m.Step(0, Heard{Node: node, Level: heard[node]})
			case 2:
				nodes := map[string]Recorded{}
				for _, node := range append(members, "stranger") {
					if rapid.IntRange(0, 3).Draw(t, "recorded "+node) > 0 {
						nodes[node] = Recorded{Level: rapid.SampledFrom([]Level{Production, Pipelines, Pipelines}).Draw(t, "recorded level"), Version: 7}
					}
				}
				want := leading && !slices.ContainsFunc(members, func(node string) bool {
					level, told := heard[node]
					return nodes[node].Level < Pipelines || told && level < Pipelines
				})
				if got := finalised(m.Step(0, Listed{Nodes: nodes})); (got == Pipelines) != want {
					t.Fatalf("leading %v, recorded %v, heard %v: asks for level %d, want one %v", leading, nodes, heard, got, want)
				}
			}
		}
	})
}

// TestLooksUntilItsLevelIsFinal: a controller records its level when the record lacks it, whatever became of an
// earlier try, looks again at the interval, and no more once its level is final.
func TestLooksUntilItsLevelIsFinal(t *testing.T) {
	m := New("a", []string{"b"}, Pipelines, interval)
	looks := func(now time.Duration) bool { return slices.Contains(m.Step(now, Tick{}), Effect(List{})) }
	if !looks(0) || looks(interval) {
		t.Fatal("it looks once, and not again while the answer is awaited")
	}
	m.Step(0, Listed{Failed: true})
	if looks(interval/2) || !looks(interval) {
		t.Fatal("after a failure it looks again at the interval")
	}
	if got := m.Step(interval, Listed{Nodes: map[string]Recorded{"a": {Level: Production, Version: 3}}}); !slices.Contains(got, Effect(Announce{Level: Pipelines, Version: 3})) {
		t.Fatalf("its record lacks the level: %v", got)
	}
	m.Step(interval, AnnounceDone{})
	if !looks(interval) {
		t.Fatal("it looks at once whether its level is recorded")
	}
	nodes := map[string]Recorded{"a": {Level: Pipelines}}
	if got := m.Step(interval, Listed{Nodes: nodes}); len(got) != 0 || !slices.Equal(m.Missing(), []string{"b"}) {
		t.Fatalf("with its own level recorded: %v, missing %v", got, m.Missing())
	}
	nodes = maps.Clone(nodes)
	nodes["b"] = Recorded{Level: Pipelines}
	if got := m.Step(2*interval, Listed{Nodes: nodes, Final: Pipelines}); !slices.Contains(got, Effect(Reached{Level: Pipelines})) {
		t.Fatalf("the level is final: %v", got)
	}
	if looks(10*interval) || m.Final() != Pipelines {
		t.Error("it looks on although its level is final")
	}
	if got := m.Step(0, Finalised{Level: Pipelines}); len(got) != 0 {
		t.Errorf("what is known already is told again: %v", got)
	}
}

// TestProductionLevelIsSilent: a controller held at the level of the version in production looks at nothing and
// records nothing.
func TestProductionLevelIsSilent(t *testing.T) {
	m := New("a", []string{"b"}, Production, interval)
	for now := time.Duration(0); now < 10*interval; now += interval {
		if got := m.Step(now, Tick{}); len(got) != 0 {
			t.Fatalf("it asks for %v", got)
		}
	}
}
