// Package ownership decides which controllers serve the connections of which workers.
//
// The leader maintains one record in the store. It holds an epoch, the controllers that own
// machines with their incarnations, and why the epoch began. Nothing but this record is in force.
// An owner answers workers on behalf of the leader and decides nothing itself, so a wrong verdict
// on an owner costs reconnections but breaks no guarantee.
//
//   - Assigner maintains the record.
//   - Table maps machines to owners in an epoch.
//   - OwnerStatus decides whether a controller may answer as an owner.
//   - HeartbeatFilter decides which heartbeats an owner must forward to the leader.
//
// Assigner is a pure state machine: it does no I/O, reads no clock and is not safe for concurrent
// use. The caller passes every event to Step and carries out the effects in the order in which they
// were returned.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/failuredetector"
)

// Timing holds the intervals of the ownership. All are derived from the settings.
type Timing struct {
	// TickInterval is the time between two Ticks.
	TickInterval time.Duration
	// PeerTimeout is how long a peer's heartbeat counts.
	PeerTimeout time.Duration
	// RejoinDelay is how long a controller owns no machines after a verdict on it. It doubles with
	// each further verdict, up to maxRejoinDoublings times. The verdicts are forgotten after twice the
	// last delay without another one.
	RejoinDelay time.Duration
}

const maxRejoinDoublings = 6

// defaultReason is the reason of an epoch that did not begin because of a verdict.
const defaultReason = "controllers have come, or begun anew"

// Record is the ownership that is in force. Epoch 0 means that there is none.
type Record struct {
	Epoch   uint64
	Members []Member // in the order of their names
	// Reason is the verdict because of which the epoch began, with its evidence, or what else
	// changed.
	Reason   string
	Revision uint64 // of the record's key; 0: there is no record
}

// peer is what is known of one other controller.
type peer struct {
	incarnation failuredetector.Incarnation
	canOwn      bool
	heardAt     time.Duration // 0: never

	verdicts           int           // recent ones
	verdictsExpireAt   time.Duration // when they are forgotten
	excludedUntil      time.Duration // it owns nothing before
	failedIncarnations map[failuredetector.Incarnation]bool
}

// Assigner is the state machine of one controller. Only that of the leader proposes records.
type Assigner struct {
	self          string
	timing        Timing
	incarnation   failuredetector.Incarnation
	leading       bool
	leadingSince  time.Duration
	peers         map[string]*peer
	record        Record
	recordKnown   bool // the record was read
	writing       bool
	pendingReason string // the last verdict that is not reflected by the record
}

// New returns the assigner of a controller that knows no record.
func New(self string, peers []string, timing Timing) *Assigner {
	a := &Assigner{self: self, timing: timing, peers: map[string]*peer{}}
	for _, name := range peers {
		a.peers[name] = &peer{failedIncarnations: map[failuredetector.Incarnation]bool{}}
	}
	return a
}

// Step processes an event and returns the effects that the caller must carry out, in order.
func (a *Assigner) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		return a.propose(now)
	case PeerHeartbeat:
		a.handleHeartbeat(now, e)
	case Verdict:
		a.handleVerdict(now, e)
		return a.propose(now)
	case OwnIncarnation:
		a.incarnation = e.Incarnation
	case Leadership:
		if e.Leading && !a.leading {
			a.leadingSince = now
		}
		a.leading = e.Leading
	case RecordRead:
		return a.adopt(e.Record)
	case WriteDone:
		a.writing = false
	}
	return nil
}

func (a *Assigner) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	p := a.peers[h.Member.Controller]
	if p == nil {
		return
	}
	p.incarnation, p.canOwn, p.heardAt = h.Member.Incarnation, h.CanOwn, now
}

// handleVerdict excludes a controller whose incarnation has failed. It owns machines again in
// another incarnation, after a delay that grows if it fails again and again.
func (a *Assigner) handleVerdict(now time.Duration, v Verdict) {
	p := a.peers[v.Member.Controller]
	if p == nil || p.failedIncarnations[v.Member.Incarnation] {
		return
	}
	if now >= p.verdictsExpireAt {
		p.verdicts = 0
	}
	clear(p.failedIncarnations) // earlier ones are not heard any more
	p.failedIncarnations[v.Member.Incarnation] = true
	delay := a.timing.RejoinDelay << min(p.verdicts, maxRejoinDoublings)
	p.verdicts++
	p.excludedUntil = now + delay
	p.verdictsExpireAt = p.excludedUntil + 2*delay
	a.pendingReason = v.Reason
}

// adopt puts a record into force, unless a later one is.
func (a *Assigner) adopt(r Record) []Effect {
	if a.recordKnown && r.Revision <= a.record.Revision {
		return nil
	}
	a.recordKnown, a.record = true, r
	return []Effect{AdoptRecord{Record: r}}
}

// propose asks to write the next epoch if other controllers should own machines than do.
func (a *Assigner) propose(now time.Duration) []Effect {
	if !a.leading || !a.recordKnown || a.writing {
		return nil
	}
	// A new leader hears its peers first, or all machines would move for nothing.
	if now-a.leadingSince < a.timing.PeerTimeout {
		return nil
	}
	members := a.desiredMembers(now)
	if a.record.Epoch > 0 && slices.Equal(members, a.record.Members) {
		a.pendingReason = ""
		return nil
	}
	a.writing = true
	return []Effect{WriteRecord{Record: Record{
		Epoch:    a.record.Epoch + 1,
		Members:  members,
		Reason:   cmp.Or(a.pendingReason, defaultReason),
		Revision: a.record.Revision,
	}}}
}

// desiredMembers returns the controllers that should own machines, in the order of their names:
// this one, and every peer that should.
func (a *Assigner) desiredMembers(now time.Duration) []Member {
	members := []Member{{Controller: a.self, Incarnation: a.incarnation}}
	for name := range a.peers {
		if m, ok := a.desiredMember(now, name); ok {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(x, y Member) int { return cmp.Compare(x.Controller, y.Controller) })
	return members
}

// desiredMember returns the entry that a peer should have, if any. A peer that owns machines keeps
// them while it is silent, until there is a verdict.
func (a *Assigner) desiredMember(now time.Duration, name string) (Member, bool) {
	p := a.peers[name]
	current, owns := findMember(a.record.Members, name)
	recent := p.heardAt > 0 && now-p.heardAt <= a.timing.PeerTimeout
	switch {
	case recent && p.canOwn && owns && current.Incarnation.Process == p.incarnation.Process &&
		!p.failedIncarnations[current.Incarnation]:
		return current, true // a refuted suspicion is no reason for another epoch
	case recent && p.canOwn && now >= p.excludedUntil && !p.failedIncarnations[p.incarnation]:
		return Member{Controller: name, Incarnation: p.incarnation}, true
	case recent && !p.canOwn:
		return Member{}, false // it was restarted without ownership, or is draining
	case owns && !p.failedIncarnations[current.Incarnation] && now >= p.excludedUntil:
		return current, true
	}
	return Member{}, false
}
