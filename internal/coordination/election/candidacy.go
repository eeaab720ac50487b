package election

import (
	"sort"
	"time"
)

const (
	// recentHeartbeats is for how many heartbeat intervals a peer counts as heard.
	recentHeartbeats = 3
	// stableHeartbeats is for how many heartbeat intervals a quorum must have been heard before
	// this controller trusts that it is not itself the one that is cut off.
	stableHeartbeats = 3
	// reconnectHeartbeats is how many heartbeat intervals a follower waits for a leader whose
	// connection has ended. A live leader connects again within one.
	reconnectHeartbeats = 2
	// renewalsPerTTL is how many times the leader renews its lease within the lease's time to live.
	renewalsPerTTL = 3
)

// candidateRank spreads the claims of candidates that become ready together. The order changes
// with the term, so that a candidate that cannot lead is not always first.
func (e *Election) candidateRank() int {
	all := append([]string{e.self}, e.peers...)
	sort.Strings(all)
	position := uint64(sort.SearchStrings(all, e.self))
	return int((position + e.term) % uint64(len(all)))
}

// scheduleClaim plans a claim at a time, delayed by the candidate's rank. An earlier planned claim
// stays.
func (e *Election) scheduleClaim(at time.Duration) {
	at += time.Duration(e.candidateRank()) * e.timing.CandidateDelay
	if e.claimAt == 0 || at < e.claimAt {
		e.claimAt = at
	}
}

func (e *Election) tick(now time.Duration) {
	switch e.role {
	case roleFollower:
		e.tickFollower(now)
	case roleLeader:
		e.tickLeader(now)
	case roleCandidate:
		// The outcome of the claim decides.
	}
}

func (e *Election) tickFollower(now time.Duration) {
	e.trackQuorum(now)
	if e.claimAt == 0 && (now-e.leaderHeardAt > e.timing.LeaderTimeout || e.keyMissing) {
		e.scheduleClaim(now)
	}
	if e.claimAt != 0 && now >= max(e.claimAt, e.deferUntil) && e.mayReplaceLeader(now) {
		e.claimAt = 0
		e.role = roleCandidate
		e.emit(Claim{AboveTerm: e.term})
	}
}

// trackQuorum notes since when a quorum has been heard without interruption. When connections come
// back after a cut, the leader's may be the last one.
func (e *Election) trackQuorum(now time.Duration) {
	switch {
	case !e.quorumHeardAfter(now, 0):
		e.quorumHeardSince = 0
	case e.quorumHeardSince == 0:
		e.quorumHeardSince = now
	}
}

func (e *Election) tickLeader(now time.Duration) {
	if now >= e.confirmedUntil(now) {
		// Others may lead by now, and know of cancellations that we don't. Workers must be free to
		// find them.
		e.stepDown(now)
		e.leader = ""
		return
	}
	if !e.renewing && now-e.renewalSentAt >= e.timing.LeaseTTL/renewalsPerTTL {
		e.renewing, e.renewalSentAt = true, now
		e.emit(RenewLease{LeaseID: e.leaseID, Term: e.term})
	}
}

// mayReplaceLeader says whether a silent leader whose key is still there counts as failed: only
// while a quorum is heard. A controller that hears hardly anybody is more likely cut off itself;
// or all are cut off from each other, while the leader serves the workers and keeps its key.
// Without this check the leadership moved on again and again as long as connections between
// controllers were refused. The lease of the key still ends the term of a leader that has failed.
func (e *Election) mayReplaceLeader(now time.Duration) bool {
	if e.keyMissing || e.leader == "" || e.leader == e.self {
		return true
	}
	stable := stableHeartbeats * e.timing.HeartbeatInterval
	return e.quorumHeardSince != 0 && now-e.quorumHeardSince >= stable &&
		e.quorumHeardAfter(now, e.leaderDisconnectedAt+e.timing.HeartbeatInterval/2)
}

// quorumHeardAfter says whether a quorum, including this controller, was heard recently and after
// the given time.
func (e *Election) quorumHeardAfter(now, after time.Duration) bool {
	heard := 1
	for _, at := range e.peerHeardAt {
		if now-at <= recentHeartbeats*e.timing.HeartbeatInterval && at > after {
			heard++
		}
	}
	return IsQuorum(heard, len(e.peers))
}

// stepDown makes a leader a follower.
func (e *Election) stepDown(now time.Duration) {
	e.emit(StepDown{Term: e.term, LeaseID: e.leaseID})
	e.role, e.leaseID, e.renewing = roleFollower, 0, false
	e.leaderHeardAt = now
	clear(e.ackedAt)
	clear(e.intentsReceivedAt)
}
