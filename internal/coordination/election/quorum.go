package election

import (
	"maps"
	"slices"
	"time"
)

// IsQuorum says whether so many controllers are one, in a group of one with so many
// peers.
func IsQuorum(n, peers int) bool { return 2*n > peers+1 }

// confirmedUntil is until when the leadership counts as confirmed, by knowing the state
// service or by a majority that follows. That its lease is renewed does not count: the
// key may be ours while a cancellation that another controller confirmed has not
// reached us.
func (m *Election) confirmedUntil(now time.Duration) time.Duration {
	return max(m.claimSentAt, m.changesKnownUpTo, m.quorumTime(now, m.ackedAt)) + m.timing.ConfirmationTimeout
}

// cancellationsKnownUpTo is up to when we surely know of every cancellation that users were told
// of; 0 if that cannot be said of any time. Either the state service has shown us
// its changes; or a majority, of which each has forgotten nothing, has handed us
// its intents: a cancellation is not committed before a majority holds its intent,
// and two majorities meet.
func (m *Election) cancellationsKnownUpTo(now time.Duration) time.Duration {
	if now < m.startedAt+m.timing.RecoveryPeriod && !m.forgottenIntentsSettled(m.startedAt) {
		return m.changesKnownUpTo // our own part of a majority may be forgotten
	}
	return max(m.changesKnownUpTo, m.quorumTime(now, m.intentsReceivedAt))
}

// quorumTime is the latest time since which a majority, with us, has spoken.
func (m *Election) quorumTime(now time.Duration, spoke map[string]time.Duration) time.Duration {
	need := (len(m.peers) + 1) / 2
	if need == 0 {
		return now // nobody else tells users anything
	}
	if at := slices.Sorted(maps.Values(spoke)); len(at) >= need {
		return at[len(at)-need]
	}
	return 0
}

// forgottenIntentsSettled says whether the state service has shown us all that a process which
// began at the given time may have forgotten: intents that it held before have
// been committed since, or never will be by their own.
func (m *Election) forgottenIntentsSettled(began time.Duration) bool {
	return m.changesKnownUpTo >= began+m.timing.CancellationTimeout+m.timing.LeaderTimeout
}
