package election

import (
	"sort"
	"time"
)

// candidateRank spreads candidates that wake at the same time; the order changes from
// term to term, so that a bad candidate is not first for ever.
func (m *Election) candidateRank() int {
	all := append([]string{m.self}, m.peers...)
	sort.Strings(all)
	return int((uint64(sort.SearchStrings(all, m.self)) + m.term) % uint64(len(all)))
}

func (m *Election) scheduleClaim(at time.Duration) {
	at += time.Duration(m.candidateRank()) * m.timing.CandidateDelay
	if m.claimAt == 0 || at < m.claimAt {
		m.claimAt = at
	}
}

func (m *Election) tick(now time.Duration) {
	switch m.role {
	case roleFollower:
		// When connections come back, the leader's may be the last to.
		switch {
		case !m.quorumHeardAfter(now, 0):
			m.quorumHeardSince = 0
		case m.quorumHeardSince == 0:
			m.quorumHeardSince = now
		}
		if m.claimAt == 0 && (now-m.leaderHeardAt > m.timing.LeaderTimeout || m.keyMissing) {
			m.scheduleClaim(now)
		}
		if m.claimAt != 0 && now >= max(m.claimAt, m.deferUntil) && m.mayReplaceLeader(now) {
			m.claimAt = 0
			m.role = roleCandidate
			m.effects = append(m.effects, Claim{AboveTerm: m.term})
		}
	case roleLeader:
		if now >= m.confirmedUntil(now) {
			// Nobody confirms us: others may lead, and know of cancellations
			// that we don't. Our workers must be free to find them.
			m.stepDown(now)
			m.leader = ""
			return
		}
		if !m.renewing && now-m.renewalSentAt >= m.timing.LeaseTTL/3 {
			m.renewing, m.renewalSentAt = true, now
			m.effects = append(m.effects, RenewLease{m.leaseID, m.term})
		}
	}
}

// mayReplaceLeader says whether the silence of a leader whose key is there may be
// taken for its end: only while a majority is heard. A controller that hears
// hardly anybody is more likely to be cut off from the others itself, or they
// all are from each other, while the leader serves the workers and keeps its
// key. Without this the leadership went round from one to the next for as long
// as connections between controllers were refused. The key's lease still ends
// the term of a leader that is gone.
func (m *Election) mayReplaceLeader(now time.Duration) bool {
	if m.keyMissing || m.leader == "" || m.leader == m.self {
		return true
	}
	return m.quorumHeardSince != 0 && now-m.quorumHeardSince >= 3*m.timing.HeartbeatInterval &&
		m.quorumHeardAfter(now, m.leaderDisconnectedAt+m.timing.HeartbeatInterval/2)
}

// quorumHeardAfter says whether a majority, with this controller, was heard lately and
// since the given time.
func (m *Election) quorumHeardAfter(now, since time.Duration) bool {
	n := 1
	for _, at := range m.peerHeardAt {
		if now-at <= 3*m.timing.HeartbeatInterval && at > since {
			n++
		}
	}
	return IsQuorum(n, len(m.peers))
}

func (m *Election) stepDown(now time.Duration) {
	m.effects = append(m.effects, StepDown{m.term, m.leaseID})
	m.role, m.leaseID, m.renewing = roleFollower, 0, false
	m.leaderHeardAt = now
	clear(m.ackedAt)
	clear(m.intentsReceivedAt)
}
