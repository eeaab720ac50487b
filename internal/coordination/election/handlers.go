package election

import (
	"time"
)

func (e *Election) handleLeaderKey(now time.Duration, key LeaderKey) {
	if key.Term < e.leaderKeyTerm {
		return
	}
	if !key.Present {
		e.leaderKeyMissing = true
		if e.role == roleFollower {
			e.scheduleClaim(now)
		}
		return
	}
	e.leaderKeyTerm, e.leaderKeyMissing = key.Term, false
	if key.Term > e.term || key.Term == e.term && e.leader == "" && e.role != roleLeader {
		e.adoptTerm(now, key.Term, key.Holder)
	}
	if key.Holder == e.self && e.role == roleFollower && key.Term == e.term {
		// The key belongs to an earlier process of this controller, so there is no leader.
		e.leader = ""
		e.scheduleClaim(now)
	}
}

func (e *Election) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	e.peerContactAt[h.From] = now
	if h.Term > e.term {
		e.adoptTerm(now, h.Term, h.Leader)
	}
	if e.role == roleLeader && h.Reply && h.Term == e.term && h.Leader == e.self {
		e.ackedAt[h.From] = max(e.ackedAt[h.From], h.SentAt)
		if h.IntentsComplete && (h.Recovered || e.lostIntentsResolved(h.IncarnationSince)) {
			e.intentsCompleteAsOf[h.From] = max(e.intentsCompleteAsOf[h.From], h.SentAt)
		}
	}
	if e.role != roleLeader && !h.Reply && h.Term == e.term && h.Leader == h.From {
		e.leader, e.leaderContactAt = h.From, now
		e.claimAt = 0
	}
}

func (e *Election) handleDisconnect(now time.Duration, d PeerDisconnected) {
	delete(e.peerContactAt, d.Peer)
	if e.role == roleFollower && d.Peer == e.leader {
		e.leaderDisconnectedAt = now
		e.scheduleClaim(now + leaderReconnectIntervals*e.timing.HeartbeatInterval)
	}
}

// adoptTerm switches to a higher term, or records the leader of the current term. The leader is "" if unknown.
func (e *Election) adoptTerm(now time.Duration, term uint64, leader string) {
	if term < e.term || term == e.term && leader == "" {
		return
	}
	if e.role == roleLeader && term > e.term {
		e.stepDown(now)
	}
	e.term, e.leader, e.leaderContactAt = term, leader, now
	e.leaderKeyMissing = e.leaderKeyMissing && term <= e.leaderKeyTerm
	e.claimAt = 0
}

func (e *Election) handleClaimResult(now time.Duration, r ClaimResult) {
	if e.role != roleCandidate {
		return
	}
	e.role = roleFollower
	if !r.Won {
		// Either the store did not respond, or another candidate won and will announce itself.
		e.scheduleClaim(now + e.timing.LeaseTTL/4)
		return
	}
	if r.Term <= e.term && e.term != 0 && e.leader != "" && e.leader != e.self {
		return // a later leader is already known
	}
	e.becomeLeader(now, r)
}

func (e *Election) becomeLeader(now time.Duration, r ClaimResult) {
	e.role, e.term, e.leader = roleLeader, r.Term, e.self
	e.leaseID, e.claimSentAt, e.renewalSentAt, e.renewalInFlight = r.LeaseID, r.SentAt, now, false
	e.storeChangesKnownUntil = 0
	e.leaderKeyMissing, e.leaderKeyTerm = false, r.Term
	e.claimAt = 0
	clear(e.ackedAt)
	clear(e.intentsCompleteAsOf)
	e.emit(BecomeLeader{Term: r.Term, Revision: r.Revision, FeatureLevel: r.FeatureLevel})
}

func (e *Election) handleRenewalResult(now time.Duration, r RenewalResult) {
	if e.role != roleLeader || r.Term != e.term {
		return
	}
	e.renewalInFlight = false
	if r.LeaseExpired {
		e.stepDown(now)
		e.leader = ""
		e.leaderKeyMissing = true
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
		e.noClaimBefore = now + 2*e.timing.LeaseTTL
	} else {
		e.scheduleClaim(now + e.timing.HeartbeatInterval)
	}
}
