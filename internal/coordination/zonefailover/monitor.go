package zonefailover

import (
	"fmt"
	"slices"
	"time"
)

// State is the state of a zone.
type State uint8

// States of a zone. Their numbers are stored.
const (
	// Available: the zone's machines are heard.
	Available State = iota
	// Suspected: most of the zone's machines are silent, but their tasks may still run.
	Suspected
	// Lost: most of the zone's machines have been silent for so long that no lease there can still be renewed.
	Lost
	// Returning: machines are heard again, or the zone has been without machines for long. It is not trusted yet.
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

// Observation counts the machines of a zone at a moment. A machine that has not been heard in this term, and not been
// waited for long enough either, is neither reachable nor silent.
type Observation struct {
	Zone         string
	Machines     int // that run, or may hold tasks
	Reachable    int // whose heartbeats arrive, by whichever controller
	Silent       int // not heard for longer than the silence timeout
	LeaseExpired int // silent for so long that no lease there can still be renewed
	Departed     int // failed, or left the cloud's list, since the zone was last available
	Booting      int // rented and not heard yet
}

// Evidence is what a zone's state was derived from.
type Evidence struct {
	Observation
	// OtherMachines and OtherReachable count the machines of all other zones. Where those are silent as well, it is
	// this controller's own network that has failed.
	OtherMachines, OtherReachable int
}

// String returns the evidence in a form for logs.
func (e Evidence) String() string {
	return fmt.Sprintf(
		"%d machines, %d reachable, %d silent, %d with expired leases, %d departed; %d of %d reachable elsewhere",
		e.Machines, e.Reachable, e.Silent, e.LeaseExpired, e.Departed, e.OtherReachable, e.OtherMachines,
	)
}

// mostlySilent reports whether most of the zone's machines are silent while machines elsewhere are reachable.
func (e Evidence) mostlySilent() bool {
	return e.Machines >= minMachinesToSuspect && float64(e.Silent) > suspectFraction*float64(e.Machines) &&
		e.otherZonesReachable()
}

// otherZonesReachable reports whether at least half of the machines elsewhere are reachable. Otherwise nothing can be
// said of a zone: it may be this controller that nobody reaches.
func (e Evidence) otherZonesReachable() bool {
	return e.OtherMachines > 0 && 2*e.OtherReachable >= e.OtherMachines
}

// Fractions of a zone's machines that decide its state.
const (
	suspectFraction = 1. / 2 // a zone with more silent machines becomes suspected
	clearFraction   = 1. / 4 // a suspected zone with no more silent machines is cleared
	lostFraction    = 3. / 4 // a suspected zone with as many machines with expired leases becomes lost
	relapseFraction = 1. / 2 // a returning zone with fewer reachable machines, of its peak, has relapsed
)

// minMachinesToSuspect is how many machines a zone must have for their silence to be evidence of the zone's state.
// Fewer silent machines are fenced one by one.
const minMachinesToSuspect = 3

// The hold time is how long a return is watched before the zone is trusted. Its base is set when a Monitor is made.
const (
	maxHoldDoublings = 3 // each flap doubles the hold time, up to so many times
	flapDecayHolds   = 8 // a flap is forgotten after so many base hold times
	// emptyZoneHolds is after how many hold times without machines a lost zone begins to return, as nothing speaks
	// against it any more. Otherwise the recovery order would stay in effect for good once the last machine of a lost
	// zone is gone and nothing asks for another.
	emptyZoneHolds = 4
)

// Zone is the state of one zone.
type Zone struct {
	Name     string
	State    State
	Since    time.Duration // when the state was entered
	Flaps    int           // relapses that have not decayed yet
	Evidence Evidence      // the latest

	peakReachable  int           // most machines reachable at once since the return began
	emptySince     time.Duration // since when a lost zone has had no machines
	flapDecaySince time.Duration // when the last flap happened or decayed
	recentlyLost   bool          // it was lost, and all its flaps since have not decayed yet
}

// Change is a change of a zone's state.
type Change struct {
	Zone     string
	From, To State
	Hold     time.Duration // how long a return is watched before the zone is trusted
	Evidence Evidence
}

// Monitor derives the states of the zones from the heartbeats of their machines. A state only says where capacity
// should be prepared: silence alone never makes a task count as gone.
type Monitor struct {
	hold  time.Duration
	zones map[string]*Zone
	names []string
}

// NewMonitor returns a Monitor of the named zones, all of them available. hold is the base hold time.
func NewMonitor(now, hold time.Duration, names []string) *Monitor {
	m := &Monitor{hold: hold, zones: map[string]*Zone{}, names: slices.Sorted(slices.Values(names))}
	for _, name := range m.names {
		m.zones[name] = &Zone{Name: name, Since: now, flapDecaySince: now}
	}
	return m
}

// Restore takes over the state of a zone that an earlier leader recorded. Unknown zones and states are ignored.
func (m *Monitor) Restore(z Zone) {
	known := m.zones[z.Name]
	if known == nil || z.State > Returning {
		return
	}
	known.State, known.Since, known.Flaps = z.State, z.Since, max(0, z.Flaps)
	known.flapDecaySince, known.recentlyLost = z.Since, z.State != Available
	known.emptySince = max(known.emptySince, z.Since)
}

// Zones returns the zones, sorted by name.
func (m *Monitor) Zones() []Zone {
	out := make([]Zone, 0, len(m.names))
	for _, name := range m.names {
		out = append(out, *m.zones[name])
	}
	return out
}

// State returns a zone's state. An unknown zone is available.
func (m *Monitor) State(zone string) State {
	if z := m.zones[zone]; z != nil {
		return z.State
	}
	return Available
}

// LostSince returns when a zone was lost, and false if it is not lost.
func (m *Monitor) LostSince(zone string) (time.Duration, bool) {
	if z := m.zones[zone]; z != nil && z.State == Lost {
		return z.Since, true
	}
	return 0, false
}

// AnyInState reports whether any zone is in one of the states.
func (m *Monitor) AnyInState(states ...State) bool {
	for _, z := range m.zones {
		if slices.Contains(states, z.State) {
			return true
		}
	}
	return false
}

// Observe derives the zones' states from observations of all zones, and returns the changes.
func (m *Monitor) Observe(now time.Duration, observations []Observation) []Change {
	var changes []Change
	for _, o := range observations {
		z := m.zones[o.Zone]
		if z == nil {
			continue
		}
		z.Evidence = evidenceFor(o, observations)
		m.decayFlaps(now, z)
		if to := m.nextState(now, z); to != z.State {
			changes = append(changes, m.transition(now, z, to))
		}
	}
	return changes
}

// evidenceFor sets an observation against those of all other zones.
func evidenceFor(o Observation, observations []Observation) Evidence {
	e := Evidence{Observation: o}
	for _, other := range observations {
		if other.Zone != o.Zone {
			e.OtherMachines += other.Machines
			e.OtherReachable += other.Reachable
		}
	}
	return e
}

// nextState returns the state that a zone's evidence speaks for.
func (m *Monitor) nextState(now time.Duration, z *Zone) State {
	switch z.State {
	case Available:
		if z.Evidence.mostlySilent() {
			return Suspected
		}
	case Suspected:
		return z.afterSuspected()
	case Lost:
		return m.afterLost(now, z)
	case Returning:
		return m.afterReturning(now, z)
	}
	return z.State
}

// afterSuspected returns the next state of a suspected zone.
func (z *Zone) afterSuspected() State {
	e, machines := z.Evidence, float64(z.Evidence.Machines)
	switch {
	case float64(e.Silent) <= clearFraction*machines && e.Reachable > 0:
		if z.recentlyLost {
			return Returning
		}
		return Available
	case e.mostlySilent() && float64(e.LeaseExpired) >= lostFraction*machines:
		return Lost
	case e.Machines == 0 && e.Departed > 0:
		return Lost // all have failed
	case e.Machines == 0:
		return Available // all were returned to the cloud: nothing speaks against the zone
	}
	return Suspected
}

// afterLost returns the next state of a lost zone.
func (m *Monitor) afterLost(now time.Duration, z *Zone) State {
	if z.Evidence.Machines > 0 {
		z.emptySince = now
	}
	if z.Evidence.Reachable > 0 || now-z.emptySince >= emptyZoneHolds*m.holdTime(z) {
		return Returning
	}
	return Lost
}

// afterReturning returns the next state of a returning zone.
func (m *Monitor) afterReturning(now time.Duration, z *Zone) State {
	e := z.Evidence
	z.peakReachable = max(z.peakReachable, e.Reachable)
	switch {
	case float64(e.Reachable) < relapseFraction*float64(z.peakReachable) && e.otherZonesReachable():
		return Suspected
	case now-z.Since >= m.holdTime(z) && (e.Reachable > 0 || e.Booting == 0):
		return Available // machines are reachable, or none is expected
	}
	return Returning
}

// transition changes a zone's state.
func (m *Monitor) transition(now time.Duration, z *Zone, to State) Change {
	from := z.State
	if to == Suspected && z.recentlyLost {
		z.Flaps++
		z.flapDecaySince = now
	}
	if to == Lost || to == Returning {
		z.recentlyLost = true
	}
	z.State, z.Since = to, now
	z.peakReachable, z.emptySince = z.Evidence.Reachable, now
	return Change{Zone: z.Name, From: from, To: to, Hold: m.holdTime(z), Evidence: z.Evidence}
}

// holdTime is how long a return of the zone is watched.
func (m *Monitor) holdTime(z *Zone) time.Duration { return m.hold << min(z.Flaps, maxHoldDoublings) }

// decayFlaps forgets one flap of a zone that has been available for long enough, or at last that it was lost.
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
