// Package election decides which controller leads. The leader holds a key of
// the state service by a lease; each change of leader raises the term, whose
// number is the workers' token and whose record fences every write. So taking
// over early is safe, and this state machine only has to keep it calm.
package election

import (
	"time"
)

// Role of this controller.
type Role int

// Roles.
const (
	Following Role = iota
	Claiming
	Leading
)

// Times of the election; all are ratios of the settings' figures.
type Times struct {
	Beat   time.Duration // between two beats to a peer
	Silent time.Duration // a leader that is silent so long may be replaced
	TTL    time.Duration // of the leader's lease
	Hold   time.Duration // a leader without any confirmation goes on so long
	// Horizon is for how long whoever knew of every cancellation up to some time may
	// still renew leases: the leases must be over before the tasks have to be gone.
	Horizon time.Duration
	// Confirm is within what time of its intent a cancellation is confirmed, or
	// else not without another intent.
	Confirm time.Duration
	// Recovery is how long after its start a controller may have forgotten intents
	// that matter: until every task has ended whose lease was last renewed by
	// somebody who did not know them.
	Recovery time.Duration
	Step     time.Duration // between candidates that wake at the same time
}

// Machine is the state machine of one controller.
type Machine struct {
	self  string
	peers []string
	times Times

	role          Role
	term          uint64 // highest known
	leader        string // of that term, as far as known
	heard         time.Duration
	majoritySince time.Duration // since when a majority has been heard; 0: it is not
	missed        time.Duration // when the leader's connection last ended
	keyTerm       uint64
	keyGone       bool
	claimAt       time.Duration            // 0: none intended
	deferUntil    time.Duration            // until then others should lead
	peerAt        map[string]time.Duration // when each peer was last heard; not there once its connection has ended

	lease   uint64
	asked   time.Duration
	asking  bool
	began   time.Duration
	won     time.Duration            // when the claim of our term was sent
	freshAt time.Duration            // up to when we know the state service's changes; 0: not at all
	acks    map[string]time.Duration // when the last beat was sent that was acknowledged
	full    map[string]time.Duration // and with all intents
	out     []Effect
}

// New returns a follower that knows nothing.
func New(now time.Duration, self string, peers []string, t Times) *Machine {
	return &Machine{self: self, peers: peers, times: t, heard: now, began: now,
		peerAt: map[string]time.Duration{}, acks: map[string]time.Duration{}, full: map[string]time.Duration{}}
}

// View is what others may know of the machine.
type View struct {
	Term    uint64
	Leader  string // "" when unknown or silent
	Leading bool
	Until   time.Duration // when leading: it is confirmed until then
	// Aware is, when leading, until when workers may be answered: whoever renews
	// their leases must know of every cancellation that a user may have been told of.
	Aware time.Duration
}

// View returns the current view.
func (m *Machine) View(now time.Duration) View {
	v := View{Term: m.term, Leader: m.leader, Leading: m.role == Leading}
	switch {
	case v.Leading:
		v.Until = m.confirmed(now)
		if at := m.aware(now); at > 0 {
			v.Aware = at + m.times.Horizon
		}
	case m.leader == m.self || now-m.heard > m.times.Silent:
		v.Leader = ""
	}
	return v
}

// Step takes an event and returns what is to be done.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.out = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Key:
		m.key(now, e)
	case Beat:
		m.peerAt[e.From] = now
		m.beat(now, e)
	case Lost:
		delete(m.peerAt, e.Peer)
		if m.role == Following && e.Peer == m.leader {
			m.missed = now
			// A live leader connects again within a beat.
			m.intend(now + 2*m.times.Beat)
		}
	case Claimed:
		m.claimed(now, e)
	case Renewed:
		m.renewal(now, e)
	case Fresh:
		if m.role == Leading && e.Term == m.term {
			m.freshAt = max(m.freshAt, e.At)
		}
	case Higher:
		m.higher(now, e.Term, "")
	case Resign:
		if m.role == Leading && e.Term == m.term {
			m.yield(now)
			m.leader = ""
			if e.Away {
				m.deferUntil = now + 2*m.times.TTL
			} else {
				m.intend(now + m.times.Beat)
			}
		}
	}
	return m.out
}
