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

	"pinebay/internal/coordination/failuredetector"
)

// Timing are derived from the settings.
type Timing struct {
	// TickInterval is the time between two ticks.
	TickInterval time.Duration
	// PeerTimeout is for how long what a peer says of itself counts.
	PeerTimeout time.Duration
	// RejoinDelay is the pause before a controller owns machines again after a verdict on it. It doubles with each
	// further verdict, up to maxRejoinDoublings times, and is forgotten after as long without one.
	RejoinDelay time.Duration
}

// maxRejoinDoublings is how often the pause before a controller owns machines again doubles.
const maxRejoinDoublings = 6

// Record is what is in force, with the version of its key; an epoch of 0 says that there is none.
type Record struct {
	Epoch   uint64
	Members []Member
	// Reason is the verdict because of which the epoch began, with its evidence, or what else changed.
	Reason   string
	Revision uint64
}

// Events.
type (
	// Event is what a step takes.
	Event interface{ event() }
	// Tick lets time pass.
	Tick struct{}
	// PeerHeartbeat is a heartbeat of a peer: its incarnation, and whether it can own machines.
	PeerHeartbeat struct {
		Member Member
		CanOwn bool
	}
	// Verdict says that a majority holds that a controller's incarnation has failed, and why.
	Verdict struct {
		Member Member
		Reason string
	}
	// OwnIncarnation tells this controller's own incarnation.
	OwnIncarnation struct{ Incarnation failuredetector.Incarnation }
	// Leadership says whether this controller leads, has read the records, and may use ownership.
	Leadership struct{ Leading bool }
	// RecordRead is the record as the state service has it.
	RecordRead struct{ Record Record }
	// WriteDone says that a write has ended, whatever came of it; the record tells.
	WriteDone struct{}
)

// Effects.
type (
	// Effect is what a step asks for.
	Effect interface{ effect() }
	// WriteRecord asks that a record replace the one of its version, if this controller still leads.
	WriteRecord struct{ Record Record }
	// AdoptRecord says that a record is in force from now on.
	AdoptRecord struct{ Record Record }
)

func (Tick) event()           {}
func (PeerHeartbeat) event()  {}
func (Verdict) event()        {}
func (OwnIncarnation) event() {}
func (Leadership) event()     {}
func (RecordRead) event()     {}
func (WriteDone) event()      {}

func (WriteRecord) effect() {}
func (AdoptRecord) effect() {}

// peer is what is known of one other controller.
type peer struct {
	incarnation        failuredetector.Incarnation
	canOwn             bool
	heardAt            time.Duration
	verdicts           int           // lately
	excludedUntil      time.Duration // until then it owns nothing, after a verdict
	verdictsExpireAt   time.Duration // from when on its verdicts are forgotten
	failedIncarnations map[failuredetector.Incarnation]bool
}

// Assigner is one controller's part in the ownership record.
type Assigner struct {
	self          string
	timing        Timing
	incarnation   failuredetector.Incarnation
	leading       bool
	leadingSince  time.Duration // when it began to lead
	peers         map[string]*peer
	record        Record
	recordKnown   bool // the record was read
	writing       bool
	pendingReason string // of the next epoch: the last verdict that is not in the record
}

// New returns the machine of a controller.
func New(self string, peers []string, times Timing) *Assigner {
	m := &Assigner{self: self, timing: times, peers: map[string]*peer{}}
	for _, name := range peers {
		m.peers[name] = &peer{failedIncarnations: map[failuredetector.Incarnation]bool{}}
	}
	return m
}

// Step takes an event and returns what is to be done.
func (m *Assigner) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return m.propose(now)
	case PeerHeartbeat:
		m.handleHeartbeat(now, e)
	case Verdict:
		m.handleVerdict(now, e)
		return m.propose(now)
	case OwnIncarnation:
		m.incarnation = e.Incarnation
	case Leadership:
		if e.Leading && !m.leading {
			m.leadingSince = now
		}
		m.leading = e.Leading
	case RecordRead:
		return m.adopt(e.Record)
	case WriteDone:
		m.writing = false
	}
	return nil
}

// handleHeartbeat takes in a peer's heartbeat.
func (m *Assigner) handleHeartbeat(now time.Duration, e PeerHeartbeat) {
	p := m.peers[e.Member.Controller]
	if p == nil {
		return
	}
	p.incarnation, p.canOwn, p.heardAt = e.Member.Incarnation, e.CanOwn, now
}

// handleVerdict takes in that an incarnation is over. The controller owns machines again as another one, after a pause
// that grows for one that fails again and again.
func (m *Assigner) handleVerdict(now time.Duration, e Verdict) {
	p := m.peers[e.Member.Controller]
	if p == nil || p.failedIncarnations[e.Member.Incarnation] {
		return
	}
	if now >= p.verdictsExpireAt {
		p.verdicts = 0
	}
	clear(p.failedIncarnations) // of earlier ones nothing is heard any more
	p.failedIncarnations[e.Member.Incarnation] = true
	pause := m.timing.RejoinDelay << min(p.verdicts, maxRejoinDoublings)
	p.verdicts++
	p.excludedUntil = now + pause
	p.verdictsExpireAt = p.excludedUntil + 2*pause
	m.pendingReason = e.Reason
}

// adopt takes in the record.
func (m *Assigner) adopt(r Record) []Effect {
	if m.recordKnown && r.Revision <= m.record.Revision {
		return nil
	}
	m.recordKnown, m.record = true, r
	return []Effect{AdoptRecord{Record: r}}
}

// propose asks for another epoch if other controllers should own machines than do.
func (m *Assigner) propose(now time.Duration) []Effect {
	// A leader that has just begun hears its peers first, or all machines would move for nothing.
	if !m.leading || !m.recordKnown || m.writing || now-m.leadingSince < m.timing.PeerTimeout {
		return nil
	}
	wanted := m.desiredMembers(now)
	if m.record.Epoch > 0 && slices.Equal(wanted, m.record.Members) {
		m.pendingReason = ""
		return nil
	}
	reason := m.pendingReason
	if reason == "" {
		reason = "controllers have come, or begun anew"
	}
	m.writing = true
	return []Effect{
		WriteRecord{
			Record: Record{Epoch: m.record.Epoch + 1, Members: wanted, Reason: reason, Revision: m.record.Revision},
		},
	}
}

// desiredMembers lists the controllers that should own machines: this one, and peers that can and of which nobody holds
// that they have failed. One that owns machines already keeps them without being heard, until there is a verdict.
func (m *Assigner) desiredMembers(now time.Duration) []Member {
	members := []Member{{Controller: m.self, Incarnation: m.incarnation}}
	for name, p := range m.peers {
		old, owned := findMember(m.record.Members, name)
		fresh := p.heardAt > 0 && now-p.heardAt <= m.timing.PeerTimeout
		switch {
		case fresh && p.canOwn && owned && old.Incarnation.Process == p.incarnation.Process && !p.failedIncarnations[old.Incarnation]:
			members = append(members, old) // that it has refuted a suspicion changes nothing
		case fresh && p.canOwn && now >= p.excludedUntil && !p.failedIncarnations[p.incarnation]:
			members = append(members, Member{Controller: name, Incarnation: p.incarnation})
		case fresh && !p.canOwn:
			// It was restarted without the feature.
		case owned && !p.failedIncarnations[old.Incarnation] && now >= p.excludedUntil:
			members = append(members, old)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Controller, b.Controller) })
	return members
}
