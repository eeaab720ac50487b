package featurelevel

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testPollInterval = time.Second

// finalisedLevel returns the level that the effects make final, or Baseline if there is none.
func finalisedLevel(effects []Effect) Level {
	for _, e := range effects {
		if f, ok := e.(Finalise); ok {
			return f.Level
		}
	}
	return Baseline
}

// TestFinalNeedsEveryController checks with random events that only a leader makes a level final, and only once all
// configured controllers have recorded it and none stated a lower one in its latest heartbeat.
func TestFinalNeedsEveryController(t *testing.T) {
	controllers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		g := New("a", controllers[1:], Pipelines, testPollInterval)
		leading, stated := false, map[string]Level{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				leading = rapid.Bool().Draw(t, "leading")
				g.Step(0, Leadership{Leading: leading})
			case 1:
				name := rapid.SampledFrom([]string{"b", "c", "stranger"}).Draw(t, "from")
				stated[name] = rapid.SampledFrom([]Level{Baseline, Pipelines}).Draw(t, "level")
				g.Step(0, PeerHeartbeat{Controller: name, Level: stated[name]})
			case 2:
				records := drawRecords(t, append(slices.Clone(controllers), "stranger"))
				blocked := slices.ContainsFunc(controllers, func(name string) bool {
					level, ok := stated[name]
					return records[name].Level < Pipelines || ok && level < Pipelines
				})
				got := finalisedLevel(g.Step(0, RecordsListed{Controllers: records}))
				if want := leading && !blocked; (got == Pipelines) != want {
					t.Fatalf("leading %v, recorded %v, stated %v: finalised level %d, want Pipelines finalised: %v",
						leading, records, stated, got, want)
				}
			}
		}
	})
}

// drawRecords draws which of the controllers have a record, and at which level.
func drawRecords(t *rapid.T, names []string) map[string]Record {
	records := map[string]Record{}
	for _, name := range names {
		if rapid.IntRange(0, 3).Draw(t, "recorded "+name) > 0 {
			level := rapid.SampledFrom([]Level{Baseline, Pipelines, Pipelines}).Draw(t, "recorded level")
			records[name] = Record{Level: level, Revision: 7}
		}
	}
	return records
}

// requireEffects fails the test unless an event has exactly the given effects.
func requireEffects(t *testing.T, g *Gate, now time.Duration, event Event, want ...Effect) {
	t.Helper()
	if got := g.Step(now, event); !slices.Equal(got, want) {
		t.Fatalf("at %v: event %#v returned %#v, want %#v", now, event, got, want)
	}
}

// TestPollsUntilSupportedLevelIsFinal checks that a controller polls the records at the given interval, even after a
// failure, announces its level if its record is missing or lower, and stops polling once its level is final.
func TestPollsUntilSupportedLevelIsFinal(t *testing.T) {
	g := New("a", []string{"b"}, Pipelines, testPollInterval)
	requireEffects(t, g, 0, Tick{}, ListRecords{})
	requireEffects(t, g, testPollInterval, Tick{}) // the first request is still in flight

	requireEffects(t, g, 0, RecordsListed{Failed: true})
	requireEffects(t, g, testPollInterval/2, Tick{})
	requireEffects(t, g, testPollInterval, Tick{}, ListRecords{})

	records := map[string]Record{"a": {Level: Baseline, Revision: 3}}
	requireEffects(t, g, testPollInterval, RecordsListed{Controllers: records}, Announce{Level: Pipelines, Revision: 3})
	requireEffects(t, g, testPollInterval, AnnounceDone{})
	requireEffects(t, g, testPollInterval, Tick{}, ListRecords{}) // polls at once to learn the outcome

	records = map[string]Record{"a": {Level: Pipelines}}
	requireEffects(t, g, testPollInterval, RecordsListed{Controllers: records})
	if missing := g.Missing(); !slices.Equal(missing, []string{"b"}) {
		t.Fatalf("missing %v, want b", missing)
	}

	records = map[string]Record{"a": {Level: Pipelines}, "b": {Level: Pipelines}}
	listed := RecordsListed{Controllers: records, Final: Pipelines}
	requireEffects(t, g, 2*testPollInterval, listed, Activate{Level: Pipelines})
	requireEffects(t, g, 10*testPollInterval, Tick{})
	requireEffects(t, g, 0, Finalised{Level: Pipelines})
	if g.Final() != Pipelines {
		t.Errorf("final level %d, want %d", g.Final(), Pipelines)
	}
}

// TestBaselineLevelDoesNothing checks that a controller that supports only the lowest level neither polls nor records
// anything.
func TestBaselineLevelDoesNothing(t *testing.T) {
	g := New("a", []string{"b"}, Baseline, testPollInterval)
	for now := time.Duration(0); now < 10*testPollInterval; now += testPollInterval {
		requireEffects(t, g, now, Tick{})
	}
}
