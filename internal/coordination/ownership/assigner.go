// Package ownership decides which controller serves the connections of which workers.
//
// The leader maintains a single record in the store. It contains an epoch, the controllers that own machines together
// with their incarnations, and the reason why the epoch began. Only this record is authoritative. An owner answers
// workers on behalf of the leader and makes no decisions, so a wrong verdict on an owner costs reconnections but
// violates no guarantee.
//
//   - Assigner maintains the record.
//   - Table maps machines to owners in one epoch.
//   - OwnerStatus determines whether a controller may answer workers as an owner.
//   - HeartbeatFilter determines which heartbeats an owner must forward to the leader.
//
// Assigner is a pure state machine: it performs no I/O, reads no clock and is not safe for concurrent use. The caller
// passes each event to Step and carries out the effects in the order in which they were returned.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/failuredetector"
)

// Timing holds the intervals of the assigner, all of which are derived from the configuration.
type Timing struct {
	// TickInterval is the time between two Ticks.
	TickInterval time.Duration
	// PeerTimeout is how long the latest heartbeat of a peer is valid.
	PeerTimeout time.Duration
	// RejoinDelay is how long a controller may not own machines after a verdict on it. The delay doubles with each
	// further verdict, up to maxRejoinDoublings times. The verdicts are forgotten if no further one follows within
	// twice the last delay, counted from the end of that delay.
	RejoinDelay time.Duration
}

// maxRejoinDoublings is the maximum number of times that the rejoin delay is doubled.
const maxRejoinDoublings = 6

// defaultReason is the reason recorded for an epoch that began for a cause other than a verdict.
const defaultReason = "controllers have come, or begun anew"

// Record is the content of the ownership record, which determines who owns machines. Epoch is 0 if there is no record.
type Record struct {
	Epoch   uint64
	Members []Member // sorted by name
	// Reason is the verdict that caused the epoch, with its evidence, or else a description of what changed.
	Reason   string
	Revision uint64 // of the record's key, or 0 if there is no record
}

// peer is the state kept for one other controller.
type peer struct {
	incarnation   failuredetector.Incarnation
	canOwn        bool
	lastContactAt time.Duration // 0 if there was no contact

	recentVerdicts     int
	verdictsExpireAt   time.Duration // when the recent verdicts are forgotten
	excludedUntil      time.Duration // the peer may not own machines before this time
	failedIncarnations map[failuredetector.Incarnation]bool
}

// Assigner is the state machine of a single controller. Only the assigner of the leader proposes records.
type Assigner struct {
	self          string
	timing        Timing
	incarnation   failuredetector.Incarnation
	leading       bool
	leadingSince  time.Duration
	peers         map[string]*peer
	record        Record
	recordKnown   bool // whether the record has been read
	writeInFlight bool
	pendingReason string // the latest verdict that the record does not reflect yet
}

// New returns the assigner of a controller that does not know any record.
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
		return a.proposeRecord(now)
	case PeerHeartbeat:
		a.handleHeartbeat(now, e)
	case Verdict:
		a.handleVerdict(now, e)
		return a.proposeRecord(now)
	case LocalIncarnation:
		a.incarnation = e.Incarnation
	case Leadership:
		if e.Leading && !a.leading {
			a.leadingSince = now
		}
		a.leading = e.Leading
	case RecordRead:
		return a.adopt(e.Record)
	case WriteDone:
		a.writeInFlight = false
	}
	return nil
}

func (a *Assigner) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	p := a.peers[h.Member.Controller]
	if p == nil {
		return
	}
	p.incarnation, p.canOwn, p.lastContactAt = h.Member.Incarnation, h.CanOwn, now
}

// handleVerdict excludes a controller whose incarnation has failed. The controller can own machines again as another
// incarnation, after a delay that grows with repeated failures.
func (a *Assigner) handleVerdict(now time.Duration, v Verdict) {
	p := a.peers[v.Member.Controller]
	if p == nil || p.failedIncarnations[v.Member.Incarnation] {
		return
	}
	if now >= p.verdictsExpireAt {
		p.recentVerdicts = 0
	}
	clear(p.failedIncarnations) // earlier incarnations send no more heartbeats
	p.failedIncarnations[v.Member.Incarnation] = true
	delay := a.timing.RejoinDelay << min(p.recentVerdicts, maxRejoinDoublings)
	p.recentVerdicts++
	p.excludedUntil = now + delay
	p.verdictsExpireAt = p.excludedUntil + 2*delay
	a.pendingReason = v.Reason
}

// adopt makes a record the current one, unless the current one is at least as recent.
func (a *Assigner) adopt(r Record) []Effect {
	if a.recordKnown && r.Revision <= a.record.Revision {
		return nil
	}
	a.recordKnown, a.record = true, r
	return []Effect{AdoptRecord{Record: r}}
}

// proposeRecord requests that the next epoch be written if the set of owners should change.
func (a *Assigner) proposeRecord(now time.Duration) []Effect {
	if !a.leading || !a.recordKnown || a.writeInFlight {
		return nil
	}
	// A new leader first waits for heartbeats of its peers. Otherwise, all machines would change owners needlessly.
	if now-a.leadingSince < a.timing.PeerTimeout {
		return nil
	}
	members := a.desiredMembers(now)
	if a.record.Epoch > 0 && slices.Equal(members, a.record.Members) {
		a.pendingReason = ""
		return nil
	}
	a.writeInFlight = true
	return []Effect{WriteRecord{Record: Record{
		Epoch:    a.record.Epoch + 1,
		Members:  members,
		Reason:   cmp.Or(a.pendingReason, defaultReason),
		Revision: a.record.Revision,
	}}}
}

// desiredMembers returns the controllers that should own machines, sorted by name: this one, and each peer that
// qualifies.
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

// desiredMember returns the entry that a peer should have, and whether it should have one. An owner that is not in
// contact keeps its machines until there is a verdict on it.
func (a *Assigner) desiredMember(now time.Duration, name string) (Member, bool) {
	p := a.peers[name]
	current, owns := findMember(a.record.Members, name)
	recent := p.lastContactAt > 0 && now-p.lastContactAt <= a.timing.PeerTimeout
	switch {
	case recent && p.canOwn && owns && current.Incarnation.Process == p.incarnation.Process &&
		!p.failedIncarnations[current.Incarnation]:
		return current, true // a refuted suspicion does not justify a new epoch
	case recent && p.canOwn && now >= p.excludedUntil && !p.failedIncarnations[p.incarnation]:
		return Member{Controller: name, Incarnation: p.incarnation}, true
	case recent && !p.canOwn:
		return Member{}, false // restarted with ownership disabled, or draining
	case owns && !p.failedIncarnations[current.Incarnation] && now >= p.excludedUntil:
		return current, true
	}
	return Member{}, false
}
