package zonefailover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const hold = 10 * time.Second

// otherZone is a zone in which all machines are reachable.
var otherZone = Observation{Zone: "b", Machines: 10, Reachable: 10}

// TestZoneStates checks the states of zone a for sequences of observations of zones a and b.
func TestZoneStates(t *testing.T) {
	reachable := Observation{Zone: "a", Machines: 10, Reachable: 10}
	unreachable := Observation{Zone: "a", Machines: 10, Unreachable: 10}
	expired := Observation{Zone: "a", Machines: 10, Unreachable: 10, LeaseExpired: 10}
	halfReachable := Observation{Zone: "a", Machines: 10, Reachable: 5, Unreachable: 5, LeaseExpired: 5}
	someUnreachable := Observation{Zone: "a", Machines: 10, Reachable: 6, Unreachable: 4, LeaseExpired: 4}
	noHeartbeatYet := Observation{Zone: "a", Machines: 10}
	ownNetworkDown := Observation{Zone: "b", Machines: 10, Reachable: 2, Unreachable: 8}
	type row struct {
		a, b  Observation
		after time.Duration
		want  State
	}
	for _, test := range []struct {
		name string
		rows []row
	}{
		{"lost and back", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{reachable, otherZone, 1, Returning},
			{reachable, otherZone, hold - 1, Returning},
			{reachable, otherZone, 2, Available},
		}},
		{"silent for a moment", []row{{unreachable, otherZone, 1, Suspected}, {reachable, otherZone, 1, Available}}},
		{"our own network", []row{{expired, ownNetworkDown, 1, Available}, {expired, ownNetworkDown, hold, Available}}},
		{"suspected, then our own network", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, ownNetworkDown, 1, Suspected},
			{expired, otherZone, 1, Lost},
		}},
		{"a few machines", []row{{someUnreachable, otherZone, 1, Available}}},
		{"half of it", []row{
			{expired, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{halfReachable, otherZone, 1, Returning},
			{halfReachable, otherZone, hold, Available},
		}},
		{"all of it is gone", []row{
			{unreachable, otherZone, 1, Suspected},
			{Observation{Zone: "a", Departed: 3}, otherZone, 1, Lost},
			{Observation{Zone: "a", Departed: 3}, otherZone, hold, Lost},
			{reachable, otherZone, 1, Returning},
		}},
		{"empty for long", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds*hold - 1, Lost},
			{Observation{Zone: "a", Booting: 1}, otherZone, 1, Returning},
			{Observation{Zone: "a", Booting: 1}, otherZone, 2 * hold, Returning},
			{reachable, otherZone, 1, Available},
		}},
		{"empty, and nothing is wanted there", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds * hold, Returning},
			{Observation{Zone: "a"}, otherZone, hold - 1, Returning},
			{Observation{Zone: "a"}, otherZone, 1, Available},
		}},
		{"silent machines are no empty zone", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{expired, otherZone, 2 * emptyZoneHolds * hold, Lost},
			{Observation{Zone: "a"}, otherZone, emptyZoneHolds*hold - 1, Lost},
		}},
		{"all of it was returned to the cloud", []row{
			{unreachable, otherZone, 1, Suspected},
			{Observation{Zone: "a"}, otherZone, 1, Available},
		}},
		{"its tasks still run", []row{
			{unreachable, otherZone, 1, Suspected},
			{unreachable, otherZone, hold, Suspected},
		}},
		{"a new leader has not heard it yet", []row{
			{noHeartbeatYet, otherZone, 1, Available},
			{noHeartbeatYet, otherZone, hold, Available},
		}},
		{"it flaps", []row{
			{unreachable, otherZone, 1, Suspected},
			{expired, otherZone, 1, Lost},
			{reachable, otherZone, 1, Returning},
			{unreachable, otherZone, 1, Suspected},
			{reachable, otherZone, 1, Returning},
			{reachable, otherZone, hold + 1, Returning},
			{reachable, otherZone, hold, Available},
		}},
		{"single zone", []row{{expired, Observation{}, 1, Available}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := NewMonitor(0, hold, []string{"a", "b"})
			now := time.Duration(0)
			for i, r := range test.rows {
				now += r.after
				m.Observe(now, []Observation{r.a, r.b})
				if got := m.State("a"); got != r.want {
					t.Fatalf("after row %d: state %s, want %s", i, got, r.want)
				}
			}
		})
	}
}

// TestZoneInvariants checks three properties for random observations. A zone with machines becomes lost only if most of
// them have expired leases and the other zone's machines are reachable. After a loss, a zone becomes available only one
// hold time after its machines sent heartbeats again, or after several hold times without machines. The hold time stays
// within its bounds.
func TestZoneInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMonitor(0, hold, []string{"a", "b"})
		now := time.Duration(0)
		var lostAt, returnedAt time.Duration = -1, -1
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
			var observations []Observation
			for _, zone := range []string{"a", "b"} {
				o := Observation{Zone: zone, Machines: rapid.IntRange(0, 8).Draw(t, "machines")}
				o.Reachable = rapid.IntRange(0, o.Machines).Draw(t, "heard")
				o.Unreachable = o.Machines - o.Reachable
				o.LeaseExpired = rapid.IntRange(0, o.Unreachable).Draw(t, "expired")
				observations = append(observations, o)
			}
			for _, c := range m.Observe(now, observations) {
				if c.Zone != "a" {
					continue
				}
				o, other := observations[0], observations[1]
				if c.To == Lost && o.Machines > 0 &&
					(4*o.LeaseExpired < 3*o.Machines || 2*other.Reachable < other.Machines) {
					t.Fatalf("zone a became lost with %+v, zone b %+v", o, other)
				}
				if c.From == Lost && o.Machines > 0 && o.Reachable == 0 {
					t.Fatalf("lost zone became returning with %+v", o)
				}
				if c.To == Available && lostAt >= 0 && (returnedAt < 0 || now-returnedAt < hold) {
					t.Fatalf("zone became available %v after it began to return", now-returnedAt)
				}
				if c.Hold < hold || c.Hold > hold<<maxHoldDoublings {
					t.Fatalf("hold time %v is out of bounds", c.Hold)
				}
				switch c.To {
				case Lost:
					lostAt, returnedAt = now, -1
				case Returning:
					returnedAt = now
				case Available:
					lostAt = -1
				}
			}
		}
	})
}

// TestFlapsAreForgotten checks that the flaps of a zone are forgotten after it has been available for long enough, so
// that a later return is trusted as quickly as the first one.
func TestFlapsAreForgotten(t *testing.T) {
	m := NewMonitor(0, hold, []string{"a", "b"})
	m.Restore(Zone{Name: "a", State: Available, Flaps: 2})
	for now := time.Duration(0); now <= 2*flapDecayHolds*hold; now += time.Second {
		m.Observe(now, []Observation{{Zone: "a", Machines: 4, Reachable: 4}, otherZone})
	}
	if got := m.Zones()[0].Flaps; got != 0 {
		t.Errorf("%d flaps are still counted, want none", got)
	}
}

// TestRestoredState checks that a zone's state from an earlier leader is restored, and that unknown zones and states
// are ignored.
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
