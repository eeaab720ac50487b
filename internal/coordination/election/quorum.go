package election

import (
	"maps"
	"slices"
	"time"
)

// IsQuorum says whether count controllers are a majority of a group that consists of one
// controller and its peers.
func IsQuorum(count, peers int) bool { return 2*count > peers+1 }

// confirmedUntil is when the leadership stops being confirmed. It is confirmed by following the
// changes of the store, or by heartbeats that a quorum acknowledges. A renewed lease does not
// confirm it: the key may be ours while a cancellation that another controller confirmed has not
// reached us.
func (e *Election) confirmedUntil(now time.Duration) time.Duration {
	return max(e.claimSentAt, e.changesKnownUpTo, e.quorumTime(now, e.ackedAt)) + e.timing.ConfirmationTimeout
}

// cancellationsKnownUpTo is the time up to which this controller certainly knows of every
// cancellation that users were told of, or 0. Either the store has shown its changes up to then;
// or a quorum, none of which lacks an intent, has handed over its intents: a cancellation is not
// confirmed before a quorum holds its intent, and two quorums have a member in common.
func (e *Election) cancellationsKnownUpTo(now time.Duration) time.Duration {
	if now < e.startedAt+e.timing.RecoveryPeriod && !e.forgottenIntentsSettled(e.startedAt) {
		return e.changesKnownUpTo // this controller itself may lack intents, so it counts for no quorum
	}
	return max(e.changesKnownUpTo, e.quorumTime(now, e.intentsReceivedAt))
}

// quorumTime returns the latest time at or after which a quorum, including this controller, was
// heard, by the time at which each peer was last heard. Without a quorum it is 0.
func (e *Election) quorumTime(now time.Duration, heardAt map[string]time.Duration) time.Duration {
	needed := (len(e.peers) + 1) / 2
	if needed == 0 {
		return now // there are no peers
	}
	if times := slices.Sorted(maps.Values(heardAt)); len(times) >= needed {
		return times[len(times)-needed]
	}
	return 0
}

// forgottenIntentsSettled says whether the store has shown every cancellation of which a process
// that started at the given time may lack the intent. Intents of before its start have been
// committed by now, or never will be without a new intent.
func (e *Election) forgottenIntentsSettled(startedAt time.Duration) bool {
	return e.changesKnownUpTo >= startedAt+e.timing.CancellationTimeout+e.timing.LeaderTimeout
}
