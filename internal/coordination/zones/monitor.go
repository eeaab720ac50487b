package zones

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

// Facts is what is known of a zone's machines at a moment. A machine that has not been
// heard in this term, and not waited for long enough either, is in neither Heard nor
// Silent.
type Facts struct {
	Zone     string
	Machines int // that run, or may hold tasks
	Heard    int // report, to whichever controller
	Silent   int // have not been heard for a while
	Expired  int // silent for so long that no lease there can still be renewed
	Left     int // have left the cloud's list by themselves since the zone was last available
	Coming   int // were rented and have not been heard yet
}

// Evidence is what a zone's state was concluded from.
type Evidence struct {
	Facts
	// OtherMachines and OtherHeard are those of all other zones. Where those are silent
	// as well, it is our own network that is lost.
	OtherMachines, OtherHeard int
}

// String returns the evidence in a form for logs.
func (e Evidence) String() string {
	return fmt.Sprintf("%d machines, %d heard, %d silent, %d beyond their lease, %d left; elsewhere %d of %d heard",
		e.Machines, e.Heard, e.Silent, e.Expired, e.Left, e.OtherHeard, e.OtherMachines)
}

// Shares of a zone's machines that decide its state.
const (
	suspectShare = 1. / 2 // more silent ones make it suspected
	clearShare   = 1. / 4 // no more silent ones clear it again
	lostShare    = 3. / 4 // as many beyond their lease make it lost
	relapseShare = 1. / 2 // fewer heard, of the most since its return began, are a relapse
)

// fewMachines is how many machines a zone must have for their silence to say something of the
// zone; fewer are fenced one by one, as ever.
const fewMachines = 3

// Holding times, in times of the base that a monitor is made with.
const (
	mostDoublings = 3 // of the holding time
	decayHolds    = 8 // a flap is forgotten after so many base times
	// emptyHolds is for how many holding times a lost zone must be without machines until nothing
	// speaks against it any more. Without it the order of return stayed in force for good once the
	// last machine of a lost zone had been returned and nothing asked for another.
	emptyHolds = 4
)

// Zone is the state of one zone.
type Zone struct {
	Name     string
	State    State
	Since    time.Duration
	Flaps    int // relapses that are not forgotten yet
	Evidence Evidence

	peak      int           // most machines heard since its return began
	emptyFrom time.Duration // since when a lost zone has no machines
	decayFrom time.Duration // when the last flap happened or was forgotten
	returned  bool          // it has been away, as far as is remembered
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
		m.zones[name] = &Zone{Name: name, Since: now, decayFrom: now}
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
	known.decayFrom, known.returned = z.Since, z.State != Available
	known.emptyFrom = max(known.emptyFrom, z.Since)
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

// Any says whether a zone is in one of the states.
func (m *Monitor) Any(states ...State) bool {
	for _, z := range m.zones {
		if slices.Contains(states, z.State) {
			return true
		}
	}
	return false
}

// Step takes in the facts of all zones, and returns what has changed.
func (m *Monitor) Step(now time.Duration, facts []Facts) []Change {
	var changes []Change
	for _, f := range facts {
		z := m.zones[f.Zone]
		if z == nil {
			continue
		}
		e := Evidence{Facts: f}
		for _, other := range facts {
			if other.Zone != f.Zone {
				e.OtherMachines += other.Machines
				e.OtherHeard += other.Heard
			}
		}
		m.forgetFlap(now, z)
		if to := m.judge(now, z, e); to != z.State {
			changes = append(changes, m.enter(now, z, to, e))
		}
	}
	return changes
}

// judge returns the state that the evidence speaks for.
func (m *Monitor) judge(now time.Duration, z *Zone, e Evidence) State {
	z.Evidence = e
	all := float64(e.Machines)
	switch z.State {
	case Available:
		if e.suspicious() {
			return Suspected
		}
	case Suspected:
		switch {
		case float64(e.Silent) <= clearShare*all && e.Heard > 0:
			if z.returned {
				return Returning
			}
			return Available
		case e.suspicious() && float64(e.Expired) >= lostShare*all:
			return Lost
		case e.Machines == 0 && e.Left > 0:
			return Lost // they are proven gone
		case e.Machines == 0:
			return Available // they were returned; nothing speaks against the zone
		}
	case Lost:
		if e.Machines > 0 {
			z.emptyFrom = now
		}
		if e.Heard > 0 || now-z.emptyFrom >= emptyHolds*m.holdOf(z) {
			return Returning
		}
	case Returning:
		z.peak = max(z.peak, e.Heard)
		switch {
		case float64(e.Heard) < relapseShare*float64(z.peak) && e.reference():
			return Suspected
		case now-z.Since >= m.holdOf(z) && (e.Heard > 0 || e.Coming == 0):
			return Available // it is heard, or nothing there could be
		}
	}
	return z.State
}

// suspicious says whether most of the zone's machines are silent while others are heard.
func (e Evidence) suspicious() bool {
	return e.Machines >= fewMachines && float64(e.Silent) > suspectShare*float64(e.Machines) && e.reference()
}

// reference says whether the machines elsewhere are heard. Without it nothing can be said
// of a zone: it may be this controller that hears nobody.
func (e Evidence) reference() bool {
	return e.OtherMachines > 0 && 2*e.OtherHeard >= e.OtherMachines
}

// enter changes a zone's state.
func (m *Monitor) enter(now time.Duration, z *Zone, to State, e Evidence) Change {
	from := z.State
	if to == Suspected && z.returned {
		z.Flaps++
		z.decayFrom = now
	}
	if to == Lost || to == Returning {
		z.returned = true
	}
	z.State, z.Since, z.peak, z.emptyFrom = to, now, e.Heard, now
	return Change{Zone: z.Name, From: from, To: to, Hold: m.holdOf(z), Evidence: e}
}

// holdOf is how long a zone's return is watched.
func (m *Monitor) holdOf(z *Zone) time.Duration { return m.hold << min(z.Flaps, mostDoublings) }

// forgetFlap forgets a flap of a zone that has been available for long enough.
func (m *Monitor) forgetFlap(now time.Duration, z *Zone) {
	if z.State != Available || now-max(z.decayFrom, z.Since) < decayHolds*m.hold {
		return
	}
	z.decayFrom = now
	if z.Flaps > 0 {
		z.Flaps--
		return
	}
	z.returned = false
}
