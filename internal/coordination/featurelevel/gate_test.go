package featurelevel

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testPollInterval = time.Second

// finalisedLevel returns the level that the effects ask to make final, or Production.
func finalisedLevel(effects []Effect) Level {
	for _, e := range effects {
		if f, ok := e.(Finalise); ok {
			return f.Level
		}
	}
	return Production
}

// TestFinalNeedsEveryController: a level is made final only by a leader, once every configured controller has
// recorded it and none has stated less in its last heartbeat, whatever else is heard and read, in any order.
func TestFinalNeedsEveryController(t *testing.T) {
	members := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		m := New("a", members[1:], Pipelines, testPollInterval)
		leading, heard := false, map[string]Level{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				leading = rapid.Bool().Draw(t, "leads")
				m.Step(0, Leadership{Leading: leading})
			case 1:
				node := rapid.SampledFrom(append(members[1:], "stranger")).Draw(t, "from")
				heard[node] = rapid.SampledFrom([]Level{Production, Pipelines}).Draw(t, "level")
				m.Step(0, PeerHeartbeat{Controller: node, Level: heard[node]})
			case 2:
				nodes := map[string]Record{}
				for _, node := range append(members, "stranger") {
					if rapid.IntRange(0, 3).Draw(t, "recorded "+node) > 0 {
						nodes[node] = Record{
							Level: rapid.SampledFrom([]Level{Production, Pipelines, Pipelines}).
								Draw(t, "recorded level"),
							Revision: 7,
						}
					}
				}
				want := leading && !slices.ContainsFunc(members, func(node string) bool {
					level, told := heard[node]
					return nodes[node].Level < Pipelines || told && level < Pipelines
				})
				if got := finalisedLevel(m.Step(0, RecordsListed{Controllers: nodes})); (got == Pipelines) != want {
					t.Fatalf(
						"leading %v, recorded %v, heard %v: asks for level %d, want one %v",
						leading,
						nodes,
						heard,
						got,
						want,
					)
				}
			}
		}
	})
}

// TestPollsUntilOwnLevelIsFinal: a controller records its level when the record lacks it, whatever became of an
// earlier try, looks again at the interval, and no more once its level is final.
func TestPollsUntilOwnLevelIsFinal(t *testing.T) {
	m := New("a", []string{"b"}, Pipelines, testPollInterval)
	looks := func(now time.Duration) bool { return slices.Contains(m.Step(now, Tick{}), Effect(ListRecords{})) }
	if !looks(0) || looks(testPollInterval) {
		t.Fatal("it looks once, and not again while the answer is awaited")
	}
	m.Step(0, RecordsListed{Failed: true})
	if looks(testPollInterval/2) || !looks(testPollInterval) {
		t.Fatal("after a failure it looks again at the interval")
	}
	if got := m.Step(
		testPollInterval,
		RecordsListed{Controllers: map[string]Record{"a": {Level: Production, Revision: 3}}},
	); !slices.Contains(
		got,
		Effect(Announce{Level: Pipelines, Revision: 3}),
	) {
		t.Fatalf("its record lacks the level: %v", got)
	}
	m.Step(testPollInterval, AnnounceDone{})
	if !looks(testPollInterval) {
		t.Fatal("it looks at once whether its level is recorded")
	}
	nodes := map[string]Record{"a": {Level: Pipelines}}
	if got := m.Step(
		testPollInterval,
		RecordsListed{Controllers: nodes},
	); len(got) != 0 ||
		!slices.Equal(m.Missing(), []string{"b"}) {
		t.Fatalf("with its own level recorded: %v, missing %v", got, m.Missing())
	}
	nodes = maps.Clone(nodes)
	nodes["b"] = Record{Level: Pipelines}
	if got := m.Step(
		2*testPollInterval,
		RecordsListed{Controllers: nodes, Final: Pipelines},
	); !slices.Contains(
		got,
		Effect(Activate{Level: Pipelines}),
	) {
		t.Fatalf("the level is final: %v", got)
	}
	if looks(10*testPollInterval) || m.Final() != Pipelines {
		t.Error("it looks on although its level is final")
	}
	if got := m.Step(0, Finalised{Level: Pipelines}); len(got) != 0 {
		t.Errorf("what is known already is told again: %v", got)
	}
}

// TestProductionLevelDoesNothing: a controller held at the level of the version in production looks at nothing and
// records nothing.
func TestProductionLevelDoesNothing(t *testing.T) {
	m := New("a", []string{"b"}, Production, testPollInterval)
	for now := time.Duration(0); now < 10*testPollInterval; now += testPollInterval {
		if got := m.Step(now, Tick{}); len(got) != 0 {
			t.Fatalf("it asks for %v", got)
		}
	}
}
