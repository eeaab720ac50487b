package election

import (
	"time"
)

func (m *Election) handleLeaderKey(now time.Duration, e LeaderKey) {
	if e.Present && e.Term >= m.keyTerm {
		m.keyTerm, m.keyMissing = e.Term, false
		if e.Term > m.term || e.Term == m.term && m.leader == "" && m.role != roleLeader {
			m.adoptTerm(now, e.Term, e.Holder)
		}
		if e.Holder == m.self && m.role == roleFollower && e.Term == m.term {
			// An earlier life of ours held it: nobody is there.
			m.leader = ""
			m.scheduleClaim(now)
		}
	}
	if !e.Present && e.Term >= m.keyTerm {
		m.keyMissing = true
		if m.role == roleFollower {
			m.scheduleClaim(now)
		}
	}
}

func (m *Election) handleHeartbeat(now time.Duration, e PeerHeartbeat) {
	if e.Term > m.term {
		m.adoptTerm(now, e.Term, e.Leader)
	}
	if m.role == roleLeader && e.Reply && e.Term == m.term && e.Leader == m.self {
		m.ackedAt[e.From] = max(m.ackedAt[e.From], e.SentAt)
		if e.IntentsComplete && (e.Recovered || m.forgottenIntentsSettled(e.IncarnationSince)) {
			m.intentsReceivedAt[e.From] = max(m.intentsReceivedAt[e.From], e.SentAt)
		}
	}
	if m.role != roleLeader && !e.Reply && e.Term == m.term && e.Leader == e.From {
		m.leader, m.leaderHeardAt = e.From, now
		m.claimAt = 0
	}
}

// adoptTerm takes in that a later term exists.
func (m *Election) adoptTerm(now time.Duration, term uint64, leader string) {
	if term < m.term || term == m.term && leader == "" {
		return
	}
	if m.role == roleLeader && term > m.term {
		m.stepDown(now)
	}
	m.term, m.leader, m.leaderHeardAt = term, leader, now
	m.keyMissing = m.keyMissing && term <= m.keyTerm
	m.claimAt = 0
}

func (m *Election) handleClaimResult(now time.Duration, e ClaimResult) {
	if m.role != roleCandidate {
		return
	}
	m.role = roleFollower
	if !e.Won {
		// The state service was silent or somebody was quicker: be calm.
		m.scheduleClaim(now + m.timing.LeaseTTL/4)
		return
	}
	if e.Term <= m.term && m.term != 0 && m.leader != "" && m.leader != m.self {
		return // a later leader is known already
	}
	m.role, m.term, m.leader = roleLeader, e.Term, m.self
	m.leaseID, m.claimSentAt, m.changesKnownUpTo, m.renewalSentAt, m.renewing = e.LeaseID, e.SentAt, 0, now, false
	m.keyMissing, m.keyTerm = false, e.Term
	m.claimAt = 0
	clear(m.ackedAt)
	clear(m.intentsReceivedAt)
	m.effects = append(m.effects, BecomeLeader{Term: e.Term, Revision: e.Revision, FeatureLevel: e.FeatureLevel})
}

func (m *Election) handleRenewalResult(now time.Duration, e RenewalResult) {
	if m.role != roleLeader || e.Term != m.term {
		return
	}
	m.renewing = false
	if e.LeaseExpired {
		m.stepDown(now)
		m.leader = ""
		m.keyMissing = true
		m.scheduleClaim(now)
	}
}
