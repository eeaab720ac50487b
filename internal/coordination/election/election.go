// Package election decides which controller leads. The leader holds a key of
// the state service by a lease; each change of leader raises the term, whose
// number is the workers' token and whose record fences every write. So taking
// over early is safe, and this state machine only has to keep it calm.
package election

import (
	"maps"
	"slices"
	"sort"
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
	// Amnesia is how long after its start a controller may have forgotten intents
	// that matter: until every task has ended whose lease was last renewed by
	// somebody who did not know them.
	Amnesia time.Duration
	Step    time.Duration // between candidates that wake at the same time
}

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Key is what the state service says of the leader's key.
	Key struct {
		Present bool
		Node    string
		Term    uint64
	}
	// Beat is a peer's message; Reply is true if it answers ours, sent at Sent.
	// Complete says that we now hold every intent which the peer holds, Whole that
	// it has forgotten none that may still matter, and LifeAt when its process first
	// answered us.
	Beat struct {
		From            string
		Term            uint64
		Leader          string
		Reply           bool
		Complete, Whole bool
		LifeAt          time.Duration
		Sent            time.Duration
	}
	// Lost says that a peer's connection to us has ended.
	Lost struct{ Peer string }
	// Claimed is the outcome of a claim. Without Won, Key says who leads, if known.
	Claimed struct {
		Won   bool
		Term  uint64
		Stamp uint64
		Lease uint64
		Sent  time.Duration
	}
	// Renewed is the outcome of a renewal; NoLease says that the lease is over.
	Renewed struct {
		NoLease bool
		Term    uint64
	}
	// Sight says that the leader of the term knows every change of the accepted
	// jobs up to At.
	Sight struct {
		Term uint64
		At   time.Duration
	}
	// Higher says that a higher term exists somewhere.
	Higher struct{ Term uint64 }
	// Resign ends our leadership, if the term is still ours. Away says that
	// another controller should lead.
	Resign struct {
		Term uint64
		Away bool
	}
)

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// Claim asks for the leadership, over a leader of at most the given term.
	Claim struct{ Over uint64 }
	// Renew renews the leader's lease.
	Renew struct{ Lease, Term uint64 }
	// Lead begins the leadership of a term.
	Lead struct{ Term, Stamp uint64 }
	// Yield ends the leadership of a term, and the lease that holds its key.
	Yield struct{ Term, Lease uint64 }
)

func (Tick) event()    {}
func (Key) event()     {}
func (Beat) event()    {}
func (Lost) event()    {}
func (Claimed) event() {}
func (Renewed) event() {}
func (Sight) event()   {}
func (Higher) event()  {}
func (Resign) event()  {}

func (Claim) effect() {}
func (Renew) effect() {}
func (Lead) effect()  {}
func (Yield) effect() {}

// Machine is the state machine of one controller.
type Machine struct {
	self  string
	peers []string
	times Times

	role    Role
	term    uint64 // highest known
	leader  string // of that term, as far as known
	heard   time.Duration
	company time.Duration // since when a majority has been heard; 0: it is not
	missed  time.Duration // when the leader's connection last ended
	keyTerm uint64
	keyGone bool
	claimAt time.Duration            // 0: none intended
	shy     time.Duration            // until then others should lead
	peerAt  map[string]time.Duration // when each peer was last heard; not there once its connection has ended

	lease  uint64
	asked  time.Duration
	asking bool
	began  time.Duration
	won    time.Duration            // when the claim of our term was sent
	sight  time.Duration            // up to when we know the state service's changes; 0: not at all
	acks   map[string]time.Duration // when the last beat was sent that was acknowledged
	full   map[string]time.Duration // and with all intents
	out    []Effect
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
	case Sight:
		if m.role == Leading && e.Term == m.term {
			m.sight = max(m.sight, e.At)
		}
	case Higher:
		m.higher(now, e.Term, "")
	case Resign:
		if m.role == Leading && e.Term == m.term {
			m.yield(now)
			m.leader = ""
			if e.Away {
				m.shy = now + 2*m.times.TTL
			} else {
				m.intend(now + m.times.Beat)
			}
		}
	}
	return m.out
}

// rank spreads candidates that wake at the same time; the order changes from
// term to term, so that a bad candidate is not first for ever.
func (m *Machine) rank() int {
	all := append([]string{m.self}, m.peers...)
	sort.Strings(all)
	return int((uint64(sort.SearchStrings(all, m.self)) + m.term) % uint64(len(all)))
}

func (m *Machine) intend(at time.Duration) {
	at += time.Duration(m.rank()) * m.times.Step
	if m.claimAt == 0 || at < m.claimAt {
		m.claimAt = at
	}
}

func (m *Machine) tick(now time.Duration) {
	switch m.role {
	case Following:
		// When connections come back, the leader's may be the last to.
		switch {
		case !m.heardMost(now, 0):
			m.company = 0
		case m.company == 0:
			m.company = now
		}
		if m.claimAt == 0 && (now-m.heard > m.times.Silent || m.keyGone) {
			m.intend(now)
		}
		if m.claimAt != 0 && now >= max(m.claimAt, m.shy) && m.mayReplace(now) {
			m.claimAt = 0
			m.role = Claiming
			m.out = append(m.out, Claim{Over: m.term})
		}
	case Leading:
		if now >= m.confirmed(now) {
			// Nobody confirms us: others may lead, and know of cancellations
			// that we don't. Our workers must be free to find them.
			m.yield(now)
			m.leader = ""
			return
		}
		if !m.asking && now-m.asked >= m.times.TTL/3 {
			m.asking, m.asked = true, now
			m.out = append(m.out, Renew{m.lease, m.term})
		}
	}
}

// mayReplace says whether the silence of a leader whose key is there may be
// taken for its end: only in the company of a majority. A controller that hears
// hardly anybody is more likely to be cut off from the others itself, or they
// all are from each other, while the leader serves the workers and keeps its
// key. Without this the leadership went round from one to the next for as long
// as connections between controllers were refused. The key's lease still ends
// the term of a leader that is gone.
func (m *Machine) mayReplace(now time.Duration) bool {
	if m.keyGone || m.leader == "" || m.leader == m.self {
		return true
	}
	return m.company != 0 && now-m.company >= 3*m.times.Beat && m.heardMost(now, m.missed+m.times.Beat/2)
}

// heardMost says whether a majority, with this controller, was heard lately and
// since the given time.
func (m *Machine) heardMost(now, since time.Duration) bool {
	n := 1
	for _, at := range m.peerAt {
		if now-at <= 3*m.times.Beat && at > since {
			n++
		}
	}
	return Majority(n, len(m.peers))
}

// Majority says whether so many controllers are one, in a group of one with so many
// peers.
func Majority(n, peers int) bool { return 2*n > peers+1 }

// confirmed is until when the leadership counts as confirmed, by sight of the state
// service or by a majority that follows. That its lease is renewed does not count: the
// key may be ours while a cancellation that another controller confirmed has not
// reached us.
func (m *Machine) confirmed(now time.Duration) time.Duration {
	return max(m.won, m.sight, m.majority(now, m.acks)) + m.times.Hold
}

// aware is up to when we surely know of every cancellation that users were told
// of; 0 if that cannot be said of any time. Either the state service has shown us
// its changes; or a majority, of which each has forgotten nothing, has handed us
// its intents: a cancellation is not committed before a majority holds its intent,
// and two majorities meet.
func (m *Machine) aware(now time.Duration) time.Duration {
	if now < m.began+m.times.Amnesia && !m.outlived(m.began) {
		return m.sight // our own part of a majority may be forgotten
	}
	return max(m.sight, m.majority(now, m.full))
}

// majority is the latest time since which a majority, with us, has spoken.
func (m *Machine) majority(now time.Duration, spoke map[string]time.Duration) time.Duration {
	need := (len(m.peers) + 1) / 2
	if need == 0 {
		return now // nobody else tells users anything
	}
	if at := slices.Sorted(maps.Values(spoke)); len(at) >= need {
		return at[len(at)-need]
	}
	return 0
}

// outlived says whether the state service has shown us all that a process which
// began at the given time may have forgotten: intents that it held before have
// been committed since, or never will be by their own.
func (m *Machine) outlived(began time.Duration) bool {
	return m.sight >= began+m.times.Confirm+m.times.Silent
}

func (m *Machine) key(now time.Duration, e Key) {
	if e.Present && e.Term >= m.keyTerm {
		m.keyTerm, m.keyGone = e.Term, false
		if e.Term > m.term || e.Term == m.term && m.leader == "" && m.role != Leading {
			m.higher(now, e.Term, e.Node)
		}
		if e.Node == m.self && m.role == Following && e.Term == m.term {
			// An earlier life of ours held it: nobody is there.
			m.leader = ""
			m.intend(now)
		}
	}
	if !e.Present && e.Term >= m.keyTerm {
		m.keyGone = true
		if m.role == Following {
			m.intend(now)
		}
	}
}

func (m *Machine) beat(now time.Duration, e Beat) {
	if e.Term > m.term {
		m.higher(now, e.Term, e.Leader)
	}
	if m.role == Leading && e.Reply && e.Term == m.term && e.Leader == m.self {
		m.acks[e.From] = max(m.acks[e.From], e.Sent)
		if e.Complete && (e.Whole || m.outlived(e.LifeAt)) {
			m.full[e.From] = max(m.full[e.From], e.Sent)
		}
	}
	if m.role != Leading && !e.Reply && e.Term == m.term && e.Leader == e.From {
		m.leader, m.heard = e.From, now
		m.claimAt = 0
	}
}

// higher takes in that a later term exists.
func (m *Machine) higher(now time.Duration, term uint64, leader string) {
	if term < m.term || term == m.term && leader == "" {
		return
	}
	if m.role == Leading && term > m.term {
		m.yield(now)
	}
	m.term, m.leader, m.heard = term, leader, now
	m.keyGone = m.keyGone && term <= m.keyTerm
	m.claimAt = 0
}

func (m *Machine) yield(now time.Duration) {
	m.out = append(m.out, Yield{m.term, m.lease})
	m.role, m.lease, m.asking = Following, 0, false
	m.heard = now
	clear(m.acks)
	clear(m.full)
}

func (m *Machine) claimed(now time.Duration, e Claimed) {
	if m.role != Claiming {
		return
	}
	m.role = Following
	if !e.Won {
		// The state service was silent or somebody was quicker: be calm.
		m.intend(now + m.times.TTL/4)
		return
	}
	if e.Term <= m.term && m.term != 0 && m.leader != "" && m.leader != m.self {
		return // a later leader is known already
	}
	m.role, m.term, m.leader = Leading, e.Term, m.self
	m.lease, m.won, m.sight, m.asked, m.asking = e.Lease, e.Sent, 0, now, false
	m.keyGone, m.keyTerm = false, e.Term
	m.claimAt = 0
	clear(m.acks)
	clear(m.full)
	m.out = append(m.out, Lead{e.Term, e.Stamp})
}

func (m *Machine) renewal(now time.Duration, e Renewed) {
	if m.role != Leading || e.Term != m.term {
		return
	}
	m.asking = false
	if e.NoLease {
		m.yield(now)
		m.leader = ""
		m.keyGone = true
		m.intend(now)
	}
}
