package election

import (
	"sort"
	"time"
)

const (
	// peerContactIntervals is the number of heartbeat intervals for which a peer counts as reachable after its last
	// heartbeat.
	peerContactIntervals = 3
	// stableQuorumIntervals is the number of heartbeat intervals for which a quorum must have been reachable before
	// this controller may replace a leader that it has no contact with. A shorter contact does not rule out that this
	// controller is the one that is partitioned.
	stableQuorumIntervals = 3
	// leaderReconnectIntervals is the number of heartbeat intervals that a follower waits for a disconnected leader. A
	// live leader reconnects within one interval.
	leaderReconnectIntervals = 2
	// renewalsPerTTL is the number of lease renewals that the leader sends during one time to live of the lease.
	renewalsPerTTL = 3
)

// candidateRank returns this controller's position in the order in which candidates that become ready together claim
// the leadership. The order rotates with the term, so that a candidate that is unable to lead does not always go first.
func (e *Election) candidateRank() int {
	all := append([]string{e.self}, e.peers...)
	sort.Strings(all)
	position := uint64(sort.SearchStrings(all, e.self))
	return int((position + e.term) % uint64(len(all)))
}

// scheduleClaim schedules a claim at the given time plus a delay that grows with the candidate's rank. It never
// postpones a claim that is already scheduled.
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
		// Wait for the ClaimResult.
	}
}

func (e *Election) tickFollower(now time.Duration) {
	e.trackQuorum(now)
	if e.claimAt == 0 && (now-e.leaderContactAt > e.timing.LeaderTimeout || e.leaderKeyMissing) {
		e.scheduleClaim(now)
	}
	if e.claimAt != 0 && now >= max(e.claimAt, e.noClaimBefore) && e.mayReplaceLeader(now) {
		e.claimAt = 0
		e.role = roleCandidate
		e.emit(Claim{AboveTerm: e.term})
	}
}

// trackQuorum records since when a quorum has been reachable without interruption. A quorum that has only just become
// reachable does not justify a claim: when connections are restored after a network partition, the connection to the
// leader may be the last one.
func (e *Election) trackQuorum(now time.Duration) {
	switch {
	case !e.quorumContactAfter(now, 0):
		e.quorumContactSince = 0
	case e.quorumContactSince == 0:
		e.quorumContactSince = now
	}
}

func (e *Election) tickLeader(now time.Duration) {
	if now >= e.confirmedUntil(now) {
		// Another controller may have become the leader and know of cancellations that this one has missed, so workers
		// must be free to switch to it.
		e.stepDown(now)
		e.leader = ""
		return
	}
	if !e.renewalInFlight && now-e.renewalSentAt >= e.timing.LeaseTTL/renewalsPerTTL {
		e.renewalInFlight, e.renewalSentAt = true, now
		e.emit(RenewLease{LeaseID: e.leaseID, Term: e.term})
	}
}

// mayReplaceLeader reports whether the leader may be replaced after contact with it was lost. A leader whose key is
// still in the store counts as failed only while this controller reaches a quorum: otherwise it is more likely that
// this controller is partitioned, or that all controllers are partitioned from each other while the leader still serves
// the workers and keeps its key. Without this check, the leadership changed hands repeatedly for as long as connections
// between controllers were refused. A leader that has really failed loses its key when the lease expires.
func (e *Election) mayReplaceLeader(now time.Duration) bool {
	if e.leaderKeyMissing || e.leader == "" || e.leader == e.self {
		return true
	}
	stable := stableQuorumIntervals * e.timing.HeartbeatInterval
	return e.quorumContactSince != 0 && now-e.quorumContactSince >= stable &&
		e.quorumContactAfter(now, e.leaderDisconnectedAt+e.timing.HeartbeatInterval/2)
}

// quorumContactAfter reports whether a quorum, which includes this controller, has been in contact recently and after
// the given time.
func (e *Election) quorumContactAfter(now, after time.Duration) bool {
	inContact := 1
	for _, at := range e.peerContactAt {
		if now-at <= peerContactIntervals*e.timing.HeartbeatInterval && at > after {
			inContact++
		}
	}
	return IsQuorum(inContact, len(e.peers))
}

// stepDown turns the leader into a follower.
func (e *Election) stepDown(now time.Duration) {
	e.emit(StepDown{Term: e.term, LeaseID: e.leaseID})
	e.role, e.leaseID, e.renewalInFlight = roleFollower, 0, false
	e.leaderContactAt = now
	clear(e.ackedAt)
	clear(e.intentsCompleteAsOf)
}
