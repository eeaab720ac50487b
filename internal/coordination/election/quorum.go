package election

import (
	"maps"
	"slices"
	"time"
)

// IsQuorum reports whether count controllers are a majority of a group of one controller and its peers.
func IsQuorum(count, peers int) bool { return 2*count > peers+1 }

// confirmedUntil returns when the leadership ceases to be confirmed. It is confirmed by following the changes in the
// store or by heartbeats that a quorum acknowledges. Renewing the lease does not confirm it: this controller may hold
// the key and still have missed a cancellation that another controller confirmed to a user.
func (e *Election) confirmedUntil(now time.Duration) time.Duration {
	return max(
		e.claimSentAt,
		e.storeChangesKnownUntil,
		e.quorumContactTime(now, e.ackedAt),
	) + e.timing.ConfirmationTimeout
}

// cancellationsKnownUntil returns the time up to which this controller is certain to know every cancellation that was
// confirmed to a user, or 0 if there is no such time. It is certain if it has seen the changes in the store up to that
// time, or if a quorum whose members lack no intents has delivered all of its intents: a cancellation is confirmed only
// after a quorum holds its intent, and any two quorums intersect.
func (e *Election) cancellationsKnownUntil(now time.Duration) time.Duration {
	if now < e.startedAt+e.timing.RecoveryPeriod && !e.lostIntentsResolved(e.startedAt) {
		return e.storeChangesKnownUntil // this controller may lack intents itself, so no quorum may include it
	}
	return max(e.storeChangesKnownUntil, e.quorumContactTime(now, e.intentsCompleteAsOf))
}

// quorumContactTime returns the latest time such that a quorum, which includes this controller, was in contact at or
// after it. contactAt holds the time of the last contact with each peer. The result is 0 if there is no quorum.
func (e *Election) quorumContactTime(now time.Duration, contactAt map[string]time.Duration) time.Duration {
	needed := (len(e.peers) + 1) / 2
	if needed == 0 {
		return now // this controller alone is a quorum
	}
	if times := slices.Sorted(maps.Values(contactAt)); len(times) >= needed {
		return times[len(times)-needed]
	}
	return 0
}

// lostIntentsResolved reports whether the store has shown every cancellation whose intent a process that started at the
// given time may have lost in the restart. A cancellation whose intent predates the start has been committed by then,
// or can no longer be committed without a new intent.
func (e *Election) lostIntentsResolved(startedAt time.Duration) bool {
	return e.storeChangesKnownUntil >= startedAt+e.timing.CancellationTimeout+e.timing.LeaderTimeout
}
