package election

import (
	"time"
)

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
	m.lease, m.won, m.freshAt, m.asked, m.asking = e.Lease, e.Sent, 0, now, false
	m.keyGone, m.keyTerm = false, e.Term
	m.claimAt = 0
	clear(m.acks)
	clear(m.full)
	m.out = append(m.out, Lead{Term: e.Term, Stamp: e.Stamp, Level: e.Level})
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
