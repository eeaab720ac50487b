package election

import (
	"sort"
	"time"
)

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
			m.majoritySince = 0
		case m.majoritySince == 0:
			m.majoritySince = now
		}
		if m.claimAt == 0 && (now-m.heard > m.times.Silent || m.keyGone) {
			m.intend(now)
		}
		if m.claimAt != 0 && now >= max(m.claimAt, m.deferUntil) && m.mayReplace(now) {
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
// taken for its end: only while a majority is heard. A controller that hears
// hardly anybody is more likely to be cut off from the others itself, or they
// all are from each other, while the leader serves the workers and keeps its
// key. Without this the leadership went round from one to the next for as long
// as connections between controllers were refused. The key's lease still ends
// the term of a leader that is gone.
func (m *Machine) mayReplace(now time.Duration) bool {
	if m.keyGone || m.leader == "" || m.leader == m.self {
		return true
	}
	return m.majoritySince != 0 && now-m.majoritySince >= 3*m.times.Beat && m.heardMost(now, m.missed+m.times.Beat/2)
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

func (m *Machine) yield(now time.Duration) {
	m.out = append(m.out, Yield{m.term, m.lease})
	m.role, m.lease, m.asking = Following, 0, false
	m.heard = now
	clear(m.acks)
	clear(m.full)
}
