package zonefailover

import (
	"fmt"
	"slices"
	"time"
)

// State is the state of a zone.
type State uint8

// States of a zone. Their numeric values are stored.
const (
	// Available means that the zone is trusted to run tasks.
	Available State = iota
	// Suspected means that most of the zone's machines are unreachable, but their tasks may still run.
	Suspected
	// Lost means that most of the zone's machines have been unreachable for so long that none of their leases can be
	// renewed any more.
	Lost
	// Returning means that machines send heartbeats again, or that the zone has had no machines for a long time. The
	// zone is not trusted yet.
	Returning
)

var stateNames = [...]string{Available: "available", Suspected: "suspected", Lost: "lost", Returning: "returning"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Observation holds the machine counts of a zone at one time. A machine that has sent no heartbeat in this term counts
// as neither reachable nor unreachable until UnreachableTimeout of the registry has passed.
type Observation struct {
	Zone         string
	Machines     int // running, or may hold tasks
	Reachable    int // heartbeats arrive at any controller
	Unreachable  int // no heartbeat for longer than UnreachableTimeout of the registry
	LeaseExpired int // unreachable for so long that no lease on it can be renewed any more
	Departed     int // failed or left the cloud's list since the zone was last available
	Booting      int // rented, no heartbeat yet
}

// Evidence holds the facts from which a zone's state was derived.
type Evidence struct {
	Observation
	// OtherMachines and OtherReachable count the machines of all other zones. If most of these machines are unreachable
	// as well, this controller's own network has failed.
	OtherMachines, OtherReachable int
}

// String returns a description of the evidence for logs.
func (e Evidence) String() string {
	return fmt.Sprintf(
		"%d machines, %d reachable, %d unreachable, %d with expired leases, %d departed; %d of %d reachable elsewhere",
		e.Machines, e.Reachable, e.Unreachable, e.LeaseExpired, e.Departed, e.OtherReachable, e.OtherMachines,
	)
}

// mostlyUnreachable reports whether most of the zone's machines are unreachable while machines in other zones are
// reachable.
func (e Evidence) mostlyUnreachable() bool {
	return e.Machines >= minMachinesToSuspect && float64(e.Unreachable) > suspectFraction*float64(e.Machines) &&
		e.otherZonesReachable()
}

// otherZonesReachable reports whether at least half of the machines in other zones are reachable. Otherwise nothing can
// be concluded about the zone, because this controller itself may be unreachable.
func (e Evidence) otherZonesReachable() bool {
	return e.OtherMachines > 0 && 2*e.OtherReachable >= e.OtherMachines
}

// Fractions of a zone's machines that determine its state.
const (
	suspectFraction = 1. / 2 // a zone with more unreachable machines becomes suspected
	clearFraction   = 1. / 4 // a suspected zone with at most this many unreachable machines is cleared
	lostFraction    = 3. / 4 // a suspected zone with expired leases on at least this many machines becomes lost
	relapseFraction = 1. / 2 // a returning zone with fewer reachable machines, relative to the peak, has relapsed
)

// minMachinesToSuspect is the minimum number of machines in a zone for their missing heartbeats to be evidence about
// the zone. In smaller zones, unreachable machines are fenced individually.
const minMachinesToSuspect = 3

// The hold time is how long a returning zone is observed before it is trusted. NewMonitor sets the base hold time. A
// flap is a relapse: a zone that was recently lost becomes suspected again.
const (
	maxHoldDoublings = 3 // each flap doubles the hold time, at most this many times
	flapDecayHolds   = 8 // number of base hold times after which a flap is forgotten
	// emptyZoneHolds is the number of hold times without machines after which a lost zone becomes returning, because
	// there is no evidence against it any more. Otherwise the recovery order would stay in effect forever if the last
	// machine of a lost zone is terminated and no job needs another one there.
	emptyZoneHolds = 4
)

// Zone is the state of one zone.
type Zone struct {
	Name     string
	State    State
	Since    time.Duration // time of the last state change
	Flaps    int           // number of relapses that have not decayed yet
	Evidence Evidence      // from the latest observation

	peakReachable  int           // maximum number of reachable machines since the return began
	emptySince     time.Duration // start of the period in which a lost zone has had no machines
	flapDecaySince time.Duration // time of the last flap or decay of a flap
	recentlyLost   bool          // the zone was lost, and its flaps since then have not all decayed
}

// Change is a state change of a zone.
type Change struct {
	Zone     string
	From, To State
	Hold     time.Duration // how long a returning zone is observed before it is trusted
	Evidence Evidence
}

// Monitor derives the states of the zones from the heartbeats of their machines. A state determines only where capacity
// should be prepared: missing heartbeats alone never prove that a task has ended.
type Monitor struct {
	baseHold time.Duration
	zones    map[string]*Zone
	names    []string
}

// NewMonitor returns a Monitor in which all named zones are available. hold is the base hold time.
func NewMonitor(now, hold time.Duration, names []string) *Monitor {
	m := &Monitor{baseHold: hold, zones: map[string]*Zone{}, names: slices.Sorted(slices.Values(names))}
	for _, name := range m.names {
		m.zones[name] = &Zone{Name: name, Since: now, flapDecaySince: now}
	}
	return m
}

// Restore restores the state of a zone from an earlier leader's record. It ignores unknown zones and states.
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

// State returns the state of a zone. An unknown zone is available.
func (m *Monitor) State(zone string) State {
	if z := m.zones[zone]; z != nil {
		return z.State
	}
	return Available
}

// LostSince returns the time at which a zone became lost, and false if it is not lost.
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

// Observe updates the states of the zones from observations of all zones and returns the changes.
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

// evidenceFor combines an observation with the totals of all other zones.
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

// nextState returns the state that follows from a zone's evidence.
func (m *Monitor) nextState(now time.Duration, z *Zone) State {
	switch z.State {
	case Available:
		if z.Evidence.mostlyUnreachable() {
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
	case float64(e.Unreachable) <= clearFraction*machines && e.Reachable > 0:
		if z.recentlyLost {
			return Returning
		}
		return Available
	case e.mostlyUnreachable() && float64(e.LeaseExpired) >= lostFraction*machines:
		return Lost
	case e.Machines == 0 && e.Departed > 0:
		return Lost // all machines have failed
	case e.Machines == 0:
		return Available // all machines were released, which is no evidence against the zone
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
		return Available // machines are reachable, or none is expected to register
	}
	return Returning
}

// transition changes the state of a zone.
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

// holdTime returns how long a return of the zone is observed.
func (m *Monitor) holdTime(z *Zone) time.Duration {
	return m.baseHold << min(z.Flaps, maxHoldDoublings)
}

// decayFlaps forgets one flap of a zone that has been available long enough. If no flap is left, it forgets that the
// zone was lost.
func (m *Monitor) decayFlaps(now time.Duration, z *Zone) {
	if z.State != Available || now-max(z.flapDecaySince, z.Since) < flapDecayHolds*m.baseHold {
		return
	}
	z.flapDecaySince = now
	if z.Flaps > 0 {
		z.Flaps--
		return
	}
	z.recentlyLost = false
}
