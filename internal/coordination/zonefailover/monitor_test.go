package zonefailover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const hold = 10 * time.Second

// otherZone is a zone with all of its machines reachable.
var otherZone = Observation{Zone: "b", Machines: 10, Reachable: 10}

// TestZoneStates plays sequences of observations of zone a and another one.
func TestZoneStates(t *testing.T) {
	heard := Observation{Zone: "a", Machines: 10, Reachable: 10}
	silent := Observation{Zone: "a", Machines: 10, Silent: 10}
	expired := Observation{Zone: "a", Machines: 10, Silent: 10, LeaseExpired: 10}
	half := Observation{Zone: "a", Machines: 10, Reachable: 5, Silent: 5, LeaseExpired: 5}
	someHung := Observation{Zone: "a", Machines: 10, Reachable: 6, Silent: 4, LeaseExpired: 4}
	unheard := Observation{Zone: "a", Machines: 10}
	network := Observation{Zone: "b", Machines: 10, Reachable: 2, Silent: 8}
	type row struct {
		a, b  Observation
		after time.Duration
		want  State
	}
	for _, x := range []struct {
		name string
		rows []row
	}{
		{"lost and back", []row{
			{silent, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{heard, otherZone, 1, Returning},
			{heard, otherZone, hold - 1, Returning},
			{heard, otherZone, 2, Available},
		}},
		{"silent for a moment", []row{{silent, otherZone, 1, Suspected}, {heard, otherZone, 1, Available}}},
		{"our own network", []row{{expired, network, 1, Available}, {expired, network, hold, Available}}},
		{"suspected, then our own network", []row{
			{silent, otherZone, 1, Suspected},
			{expired, network, 1, Suspected},
			{expired, otherZone, 1, Lost},
		}},
		{"a few machines", []row{{someHung, otherZone, 1, Available}}},
		{"half of it", []row{
			{expired, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{half, otherZone, 1, Returning},
			{half, otherZone, hold, Available},
		}},
		{"all of it is gone", []row{
			{silent, otherZone, 1, Suspected},
			{Observation{Zone: "a", Departed: 3}, otherZone, 1, Lost},
			{Observation{Zone: "a", Departed: 3}, otherZone, hold, Lost},
			{heard, otherZone, 1, Returning},
		}},
		{"empty for long", []row{
			{silent, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds*hold - 1, Lost},
			{Observation{Zone: "a", Booting: 1}, otherZone, 1, Returning},
			{Observation{Zone: "a", Booting: 1}, otherZone, 2 * hold, Returning},
			{heard, otherZone, 1, Available},
		}},
		{"empty, and nothing is wanted there", []row{
			{silent, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds * hold, Returning},
			{Observation{Zone: "a"}, otherZone, hold - 1, Returning},
			{Observation{Zone: "a"}, otherZone, 1, Available},
		}},
		{"silent machines are no empty zone", []row{
			{silent, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{expired, otherZone, 2 * emptyZoneHolds * hold, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds*hold - 1, Lost},
		}},
		{"all of it was returned to the cloud", []row{
			{silent, otherZone, 1, Suspected},
			{Observation{Zone: "a"}, otherZone, 1, Available},
		}},
		{"its tasks still run", []row{{silent, otherZone, 1, Suspected}, {silent, otherZone, hold, Suspected}}},
		{"a new leader has not heard it yet", []row{
			{unheard, otherZone, 1, Available},
			{unheard, otherZone, hold, Available},
		}},
		{"it flaps", []row{
			{silent, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{heard, otherZone, 1, Returning},
			{silent, otherZone, 1, Suspected},
			{heard, otherZone, 1, Returning},
			{heard, otherZone, hold + 1, Returning},
			{heard, otherZone, hold, Available},
		}},
		{"single zone", []row{{expired, Observation{}, 1, Available}}},
	} {
		t.Run(x.name, func(t *testing.T) {
			m := NewMonitor(0, hold, []string{"a", "b"})
			now := time.Duration(0)
			for i, r := range x.rows {
				now += r.after
				m.Observe(now, []Observation{r.a, r.b})
				if got := m.State("a"); got != r.want {
					t.Fatalf("row %d: %s, want %s", i, got, r.want)
				}
			}
		})
	}
}

// TestZoneInvariants: whatever is observed, a zone is lost only when most of its machines have expired leases and
// those elsewhere are reachable; it is trusted after a loss only a hold time after it was heard again, or was without
// machines for several of them; and the hold time stays within its bounds.
func TestZoneInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMonitor(0, hold, []string{"a", "b"})
		now := time.Duration(0)
		var lost, heardSince time.Duration = -1, -1
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
			var facts []Observation
			for _, zone := range []string{"a", "b"} {
				f := Observation{Zone: zone, Machines: rapid.IntRange(0, 8).Draw(t, "machines")}
				f.Reachable = rapid.IntRange(0, f.Machines).Draw(t, "heard")
				f.Silent = f.Machines - f.Reachable
				f.LeaseExpired = rapid.IntRange(0, f.Silent).Draw(t, "expired")
				facts = append(facts, f)
			}
			for _, c := range m.Observe(now, facts) {
				if c.Zone != "a" {
					continue
				}
				f, other := facts[0], facts[1]
				if c.To == Lost && f.Machines > 0 &&
					(4*f.LeaseExpired < 3*f.Machines || 2*other.Reachable < other.Machines) {
					t.Fatalf("lost with %+v and %+v", f, other)
				}
				if c.From == Lost && f.Machines > 0 && f.Reachable == 0 {
					t.Fatalf("returning with %+v", f)
				}
				if c.To == Available && lost >= 0 && (heardSince < 0 || now-heardSince < hold) {
					t.Fatalf("trusted %v after it was heard again", now-heardSince)
				}
				if c.Hold < hold || c.Hold > hold<<maxHoldDoublings {
					t.Fatalf("held for %v", c.Hold)
				}
				switch c.To {
				case Lost:
					lost, heardSince = now, -1
				case Returning:
					heardSince = now
				case Available:
					lost = -1
				}
			}
		}
	})
}

// TestFlapsAreForgotten: a zone that stays is trusted as quickly again as one that never left.
func TestFlapsAreForgotten(t *testing.T) {
	m := NewMonitor(0, hold, []string{"a", "b"})
	m.Restore(Zone{Name: "a", State: Available, Flaps: 2})
	for now := time.Duration(0); now <= 2*flapDecayHolds*hold; now += time.Second {
		m.Observe(now, []Observation{{Zone: "a", Machines: 4, Reachable: 4}, otherZone})
	}
	if got := m.Zones()[0].Flaps; got != 0 {
		t.Errorf("%d flaps are remembered", got)
	}
}

// TestRestoredState: what an earlier leader recorded goes on, and what cannot be is not
// taken over.
func TestRestoredState(t *testing.T) {
	m := NewMonitor(time.Minute, hold, []string{"a", "b"})
	m.Restore(Zone{Name: "a", State: Lost, Since: 20 * time.Second, Flaps: -3})
	m.Restore(Zone{Name: "b", State: Returning + 1})
	m.Restore(Zone{Name: "elsewhere", State: Lost})
	if since, ok := m.LostSince(
		"a",
	); !ok || since != 20*time.Second || m.Zones()[0].Flaps != 0 || m.State("b") != Available ||
		len(m.Zones()) != 2 {
		t.Errorf("%+v", m.Zones())
	}
	if c := m.Observe(
		time.Minute,
		[]Observation{{Zone: "a", Machines: 4, Reachable: 2}, otherZone},
	); len(c) != 1 ||
		c[0].To != Returning {
		t.Errorf("%+v", c)
	}
}
