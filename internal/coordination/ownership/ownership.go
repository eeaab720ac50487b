// Package ownership decides which controllers end the connections of which workers. The leader keeps one record: an
// epoch, the controllers that own machines with their incarnations, and the verdict because of which the epoch began,
// with its evidence. What is not in the record is not in force. An owner answers for the leader: it decides nothing, so
// a wrong verdict costs reconnections and never a rule.
//
// Machine is a pure step function: it does no I/O and reads no clock.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/suspicion"
)

// Times are derived from the settings.
type Times struct {
	// Interval is the time between two ticks.
	Interval time.Duration
	// Fresh is for how long what a peer says of itself counts.
	Fresh time.Duration
	// Rejoin is the pause before a controller owns machines again after a verdict on it. It doubles with each further
	// verdict, up to mostDoubled times, and is forgotten after as long without one.
	Rejoin time.Duration
}

// mostDoubled is how often the pause before a controller owns machines again doubles.
const mostDoubled = 6

// Record is what is in force, with the version of its key; an epoch of 0 says that there is none.
type Record struct {
	Epoch   uint64
	Members []Member
	// Reason is the verdict because of which the epoch began, with its evidence, or what else changed.
	Reason  string
	Version uint64
}

// Events.
type (
	// Event is what a step takes.
	Event interface{ event() }
	// Tick lets time pass.
	Tick struct{}
	// Heard is a heartbeat of a peer: its incarnation, and whether it can own machines.
	Heard struct {
		Member Member
		Owns   bool
	}
	// Verdict says that a majority holds that a controller's incarnation has failed, and why.
	Verdict struct {
		Member Member
		Reason string
	}
	// Is tells this controller's own incarnation.
	Is struct{ Incarnation suspicion.Incarnation }
	// Leads says whether this controller leads, has read the records, and may use ownership.
	Leads struct{ Leading bool }
	// InForce is the record as the state service has it.
	InForce struct{ Record Record }
	// WriteDone says that a write has ended, whatever came of it; the record tells.
	WriteDone struct{}
)

// Effects.
type (
	// Effect is what a step asks for.
	Effect interface{ effect() }
	// Write asks that a record replace the one of its version, if this controller still leads.
	Write struct{ Record Record }
	// Adopt says that a record is in force from now on.
	Adopt struct{ Record Record }
)

func (Tick) event()      {}
func (Heard) event()     {}
func (Verdict) event()   {}
func (Is) event()        {}
func (Leads) event()     {}
func (InForce) event()   {}
func (WriteDone) event() {}

func (Write) effect() {}
func (Adopt) effect() {}

// peer is what is known of one other controller.
type peer struct {
	is       suspicion.Incarnation
	owns     bool
	heardAt  time.Duration
	verdicts int           // lately
	until    time.Duration // until then it owns nothing, after a verdict
	calmAt   time.Duration // from when on its verdicts are forgotten
	failed   map[suspicion.Incarnation]bool
}

// Machine is one controller's part in the ownership record.
type Machine struct {
	self    string
	times   Times
	is      suspicion.Incarnation
	leading bool
	since   time.Duration // when it began to lead
	peers   map[string]*peer
	record  Record
	known   bool // the record was read
	writing bool
	reason  string // of the next epoch: the last verdict that is not in the record
}

// New returns the machine of a controller.
func New(self string, peers []string, times Times) *Machine {
	m := &Machine{self: self, times: times, peers: map[string]*peer{}}
	for _, name := range peers {
		m.peers[name] = &peer{failed: map[suspicion.Incarnation]bool{}}
	}
	return m
}

// Step takes an event and returns what is to be done.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return m.propose(now)
	case Heard:
		m.heard(now, e)
	case Verdict:
		m.verdict(now, e)
		return m.propose(now)
	case Is:
		m.is = e.Incarnation
	case Leads:
		if e.Leading && !m.leading {
			m.since = now
		}
		m.leading = e.Leading
	case InForce:
		return m.inForce(e.Record)
	case WriteDone:
		m.writing = false
	}
	return nil
}

// heard takes in a peer's heartbeat.
func (m *Machine) heard(now time.Duration, e Heard) {
	p := m.peers[e.Member.Node]
	if p == nil {
		return
	}
	p.is, p.owns, p.heardAt = e.Member.Is, e.Owns, now
}

// verdict takes in that an incarnation is over. The controller owns machines again as another one, after a pause that
// grows for one that fails again and again.
func (m *Machine) verdict(now time.Duration, e Verdict) {
	p := m.peers[e.Member.Node]
	if p == nil || p.failed[e.Member.Is] {
		return
	}
	if now >= p.calmAt {
		p.verdicts = 0
	}
	clear(p.failed) // of earlier ones nothing is heard any more
	p.failed[e.Member.Is] = true
	pause := m.times.Rejoin << min(p.verdicts, mostDoubled)
	p.verdicts++
	p.until = now + pause
	p.calmAt = p.until + 2*pause
	m.reason = e.Reason
}

// inForce takes in the record.
func (m *Machine) inForce(r Record) []Effect {
	if m.known && r.Version <= m.record.Version {
		return nil
	}
	m.known, m.record = true, r
	return []Effect{Adopt{Record: r}}
}

// propose asks for another epoch if other controllers should own machines than do.
func (m *Machine) propose(now time.Duration) []Effect {
	// A leader that has just begun hears its peers first, or all machines would move for nothing.
	if !m.leading || !m.known || m.writing || now-m.since < m.times.Fresh {
		return nil
	}
	wanted := m.wanted(now)
	if m.record.Epoch > 0 && slices.Equal(wanted, m.record.Members) {
		m.reason = ""
		return nil
	}
	reason := m.reason
	if reason == "" {
		reason = "controllers have come, or begun anew"
	}
	m.writing = true
	return []Effect{Write{Record: Record{Epoch: m.record.Epoch + 1, Members: wanted, Reason: reason, Version: m.record.Version}}}
}

// wanted lists the controllers that should own machines: this one, and peers that can and of which nobody holds that
// they have failed. One that owns machines already keeps them without being heard, until there is a verdict.
func (m *Machine) wanted(now time.Duration) []Member {
	members := []Member{{Node: m.self, Is: m.is}}
	for name, p := range m.peers {
		old, owned := find(m.record.Members, name)
		fresh := p.heardAt > 0 && now-p.heardAt <= m.times.Fresh
		switch {
		case fresh && p.owns && owned && old.Is.Life == p.is.Life && !p.failed[old.Is]:
			members = append(members, old) // that it has refuted a suspicion changes nothing
		case fresh && p.owns && now >= p.until && !p.failed[p.is]:
			members = append(members, Member{Node: name, Is: p.is})
		case fresh && !p.owns:
			// It was restarted without the feature.
		case owned && !p.failed[old.Is] && now >= p.until:
			members = append(members, old)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return members
}
