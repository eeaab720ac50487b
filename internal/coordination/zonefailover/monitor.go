package zonefailover

import (
	"fmt"
	"slices"
	"time"
)

// State is how a zone stands.
type State uint8

// States of a zone.
const (
	// Available: the zone's machines report.
	Available State = iota
	// Suspected: most of its machines are silent, but their tasks may still run.
	Suspected
	// Lost: most of its machines have been silent for so long that no lease there can
	// still be renewed.
	Lost
	// Returning: machines report again, or the zone has been without machines for long, and it is not
	// trusted yet.
	Returning
)

var stateNames = [...]string{Available: "available", Suspected: "suspected", Lost: "lost", Returning: "returning"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Observation is what is known of a zone's machines at a moment. A machine that has not been
// heard in this term, and not waited for long enough either, is in neither Heard nor
// Silent.
type Observation struct {
	Zone         string
	Machines     int // that run, or may hold tasks
	Reachable    int // report, to whichever controller
	Silent       int // have not been heard for a while
	LeaseExpired int // silent for so long that no lease there can still be renewed
	Departed     int // have left the cloud's list by themselves since the zone was last available
	Booting      int // were rented and have not been heard yet
}

// Evidence is what a zone's state was concluded from.
type Evidence struct {
	Observation
	// OtherMachines and OtherReachable are those of all other zones. Where those are silent
	// as well, it is our own network that is lost.
	OtherMachines, OtherReachable int
}

// String returns the evidence in a form for logs.
func (e Evidence) String() string {
	return fmt.Sprintf("%d machines, %d heard, %d silent, %d beyond their lease, %d left; elsewhere %d of %d heard",
		e.Machines, e.Reachable, e.Silent, e.LeaseExpired, e.Departed, e.OtherReachable, e.OtherMachines)
}

// Shares of a zone's machines that decide its state.
const (
	suspectFraction = 1. / 2 // more silent ones make it suspected
	clearFraction   = 1. / 4 // no more silent ones clear it again
	lostFraction    = 3. / 4 // as many beyond their lease make it lost
	relapseFraction = 1. / 2 // fewer heard, of the most since its return began, are a relapse
)

// minMachinesToSuspect is how many machines a zone must have for their silence to say something of the
// zone; fewer are fenced one by one, as ever.
const minMachinesToSuspect = 3

// Holding times, in times of the base that a monitor is made with.
const (
	maxHoldDoublings = 3 // of the holding time
	flapDecayHolds   = 8 // a flap is forgotten after so many base times
	// emptyZoneHolds is for how many holding times a lost zone must be without machines until nothing
	// speaks against it any more. Without it the order of return stayed in force for good once the
	// last machine of a lost zone had been returned and nothing asked for another.
	emptyZoneHolds = 4
)

// Zone is the state of one zone.
type Zone struct {
	Name     string
	State    State
	Since    time.Duration
	Flaps    int // relapses that are not forgotten yet
	Evidence Evidence

	peakReachable  int           // most machines heard since its return began
	emptySince     time.Duration // since when a lost zone has no machines
	flapDecaySince time.Duration // when the last flap happened or was forgotten
	recentlyLost   bool          // it has been away, as far as is remembered
}

// Change says that a zone's state has changed.
type Change struct {
	Zone     string
	From, To State
	Hold     time.Duration // how long a return is watched before the zone is trusted
	Evidence Evidence
}

// Monitor judges the zones. Silence alone never makes a task count as gone: a verdict
// only says where work should be prepared for.
type Monitor struct {
	hold  time.Duration
	zones map[string]*Zone
	names []string
}

// NewMonitor returns a monitor of the named zones, all of them available. A zone that
// returns is watched for the holding time, twice as long after each flap.
func NewMonitor(now, hold time.Duration, names []string) *Monitor {
	m := &Monitor{hold: hold, zones: map[string]*Zone{}, names: slices.Sorted(slices.Values(names))}
	for _, name := range m.names {
		m.zones[name] = &Zone{Name: name, Since: now, flapDecaySince: now}
	}
	return m
}

// Restore takes over what an earlier leader recorded of a zone. What is not known here
// is passed over.
func (m *Monitor) Restore(z Zone) {
	known := m.zones[z.Name]
	if known == nil || z.State > Returning {
		return
	}
	known.State, known.Since, known.Flaps = z.State, z.Since, max(0, z.Flaps)
	known.flapDecaySince, known.recentlyLost = z.Since, z.State != Available
	known.emptySince = max(known.emptySince, z.Since)
}

// Zones returns the zones in the order of their names.
func (m *Monitor) Zones() []Zone {
	out := make([]Zone, 0, len(m.names))
	for _, name := range m.names {
		out = append(out, *m.zones[name])
	}
	return out
}

// State returns a zone's state; one that is not known is available.
func (m *Monitor) State(zone string) State {
	if z := m.zones[zone]; z != nil {
		return z.State
	}
	return Available
}

// LostSince returns since when a zone is lost, and false if it is not.
func (m *Monitor) LostSince(zone string) (time.Duration, bool) {
	if z := m.zones[zone]; z != nil && z.State == Lost {
		return z.Since, true
	}
	return 0, false
}

// AnyInState says whether a zone is in one of the states.
func (m *Monitor) AnyInState(states ...State) bool {
	for _, z := range m.zones {
		if slices.Contains(states, z.State) {
			return true
		}
	}
	return false
}

// Observe takes in the facts of all zones, and returns what has changed.
func (m *Monitor) Observe(now time.Duration, facts []Observation) []Change {
	var changes []Change
	for _, f := range facts {
		z := m.zones[f.Zone]
		if z == nil {
			continue
		}
		e := Evidence{Observation: f}
		for _, other := range facts {
			if other.Zone != f.Zone {
				e.OtherMachines += other.Machines
				e.OtherReachable += other.Reachable
			}
		}
		m.decayFlaps(now, z)
		if to := m.nextState(now, z, e); to != z.State {
			changes = append(changes, m.transition(now, z, to, e))
		}
	}
	return changes
}

// nextState returns the state that the evidence speaks for.
func (m *Monitor) nextState(now time.Duration, z *Zone, e Evidence) State {
	z.Evidence = e
	all := float64(e.Machines)
	switch z.State {
	case Available:
		if e.mostlySilent() {
			return Suspected
		}
	case Suspected:
		switch {
		case float64(e.Silent) <= clearFraction*all && e.Reachable > 0:
			if z.recentlyLost {
				return Returning
			}
			return Available
		case e.mostlySilent() && float64(e.LeaseExpired) >= lostFraction*all:
			return Lost
		case e.Machines == 0 && e.Departed > 0:
			return Lost // they are proven gone
		case e.Machines == 0:
			return Available // they were returned; nothing speaks against the zone
		}
	case Lost:
		if e.Machines > 0 {
			z.emptySince = now
		}
		if e.Reachable > 0 || now-z.emptySince >= emptyZoneHolds*m.holdTime(z) {
			return Returning
		}
	case Returning:
		z.peakReachable = max(z.peakReachable, e.Reachable)
		switch {
		case float64(e.Reachable) < relapseFraction*float64(z.peakReachable) && e.otherZonesReachable():
			return Suspected
		case now-z.Since >= m.holdTime(z) && (e.Reachable > 0 || e.Booting == 0):
			return Available // it is heard, or nothing there could be
		}
	}
	return z.State
}

// mostlySilent says whether most of the zone's machines are silent while others are heard.
func (e Evidence) mostlySilent() bool {
	return e.Machines >= minMachinesToSuspect && float64(e.Silent) > suspectFraction*float64(e.Machines) &&
		e.otherZonesReachable()
}

// otherZonesReachable says whether the machines elsewhere are heard. Without it nothing can be said
// of a zone: it may be this controller that hears nobody.
func (e Evidence) otherZonesReachable() bool {
	return e.OtherMachines > 0 && 2*e.OtherReachable >= e.OtherMachines
}

// transition changes a zone's state.
func (m *Monitor) transition(now time.Duration, z *Zone, to State, e Evidence) Change {
	from := z.State
	if to == Suspected && z.recentlyLost {
		z.Flaps++
		z.flapDecaySince = now
	}
	if to == Lost || to == Returning {
		z.recentlyLost = true
	}
	z.State, z.Since, z.peakReachable, z.emptySince = to, now, e.Reachable, now
	return Change{Zone: z.Name, From: from, To: to, Hold: m.holdTime(z), Evidence: e}
}

// holdTime is how long a zone's return is watched.
func (m *Monitor) holdTime(z *Zone) time.Duration { return m.hold << min(z.Flaps, maxHoldDoublings) }

// decayFlaps forgets a flap of a zone that has been available for long enough.
func (m *Monitor) decayFlaps(now time.Duration, z *Zone) {
	if z.State != Available || now-max(z.flapDecaySince, z.Since) < flapDecayHolds*m.hold {
		return
	}
	z.flapDecaySince = now
	if z.Flaps > 0 {
		z.Flaps--
		return
	}
	z.recentlyLost = false
}
