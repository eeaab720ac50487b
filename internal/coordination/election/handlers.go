package election

import (
	"time"
)

func (e *Election) handleLeaderKey(now time.Duration, key LeaderKey) {
	if key.Term < e.keyTerm {
		return
	}
	if !key.Present {
		e.keyMissing = true
		if e.role == roleFollower {
			e.scheduleClaim(now)
		}
		return
	}
	e.keyTerm, e.keyMissing = key.Term, false
	if key.Term > e.term || key.Term == e.term && e.leader == "" && e.role != roleLeader {
		e.adoptTerm(now, key.Term, key.Holder)
	}
	if key.Holder == e.self && e.role == roleFollower && key.Term == e.term {
		// An earlier process of this controller holds the key, so nobody leads.
		e.leader = ""
		e.scheduleClaim(now)
	}
}

func (e *Election) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	e.peerHeardAt[h.From] = now
	if h.Term > e.term {
		e.adoptTerm(now, h.Term, h.Leader)
	}
	if e.role == roleLeader && h.Reply && h.Term == e.term && h.Leader == e.self {
		e.ackedAt[h.From] = max(e.ackedAt[h.From], h.SentAt)
		if h.IntentsComplete && (h.Recovered || e.forgottenIntentsSettled(h.IncarnationSince)) {
			e.intentsReceivedAt[h.From] = max(e.intentsReceivedAt[h.From], h.SentAt)
		}
	}
	if e.role != roleLeader && !h.Reply && h.Term == e.term && h.Leader == h.From {
		e.leader, e.leaderHeardAt = h.From, now
		e.claimAt = 0
	}
}

func (e *Election) handleDisconnect(now time.Duration, d PeerDisconnected) {
	delete(e.peerHeardAt, d.Peer)
	if e.role == roleFollower && d.Peer == e.leader {
		e.leaderDisconnectedAt = now
		e.scheduleClaim(now + reconnectHeartbeats*e.timing.HeartbeatInterval)
	}
}

// adoptTerm follows a later term, or learns the leader of the current one. leader is "" if it is
// not known.
func (e *Election) adoptTerm(now time.Duration, term uint64, leader string) {
	if term < e.term || term == e.term && leader == "" {
		return
	}
	if e.role == roleLeader && term > e.term {
		e.stepDown(now)
	}
	e.term, e.leader, e.leaderHeardAt = term, leader, now
	e.keyMissing = e.keyMissing && term <= e.keyTerm
	e.claimAt = 0
}

func (e *Election) handleClaimResult(now time.Duration, r ClaimResult) {
	if e.role != roleCandidate {
		return
	}
	e.role = roleFollower
	if !r.Won {
		// The store did not answer, or another candidate was quicker and will be heard.
		e.scheduleClaim(now + e.timing.LeaseTTL/4)
		return
	}
	if r.Term <= e.term && e.term != 0 && e.leader != "" && e.leader != e.self {
		return // a later leader is known already
	}
	e.becomeLeader(now, r)
}

func (e *Election) becomeLeader(now time.Duration, r ClaimResult) {
	e.role, e.term, e.leader = roleLeader, r.Term, e.self
	e.leaseID, e.claimSentAt, e.renewalSentAt, e.renewing = r.LeaseID, r.SentAt, now, false
	e.changesKnownUpTo = 0
	e.keyMissing, e.keyTerm = false, r.Term
	e.claimAt = 0
	clear(e.ackedAt)
	clear(e.intentsReceivedAt)
	e.emit(BecomeLeader{Term: r.Term, Revision: r.Revision, FeatureLevel: r.FeatureLevel})
}

func (e *Election) handleRenewalResult(now time.Duration, r RenewalResult) {
	if e.role != roleLeader || r.Term != e.term {
		return
	}
	e.renewing = false
	if r.LeaseExpired {
		e.stepDown(now)
		e.leader = ""
		e.keyMissing = true
		e.scheduleClaim(now)
	}
}

func (e *Election) handleResign(now time.Duration, r Resign) {
	if e.role != roleLeader || r.Term != e.term {
		return
	}
	e.stepDown(now)
	e.leader = ""
	if r.DeferToOthers {
		e.deferUntil = now + 2*e.timing.LeaseTTL
	} else {
		e.scheduleClaim(now + e.timing.HeartbeatInterval)
	}
}
