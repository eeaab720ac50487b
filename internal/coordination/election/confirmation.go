package election

import (
	"maps"
	"slices"
	"time"
)

// Majority says whether so many controllers are one, in a group of one with so many
// peers.
func Majority(n, peers int) bool { return 2*n > peers+1 }

// confirmed is until when the leadership counts as confirmed, by knowing the state
// service or by a majority that follows. That its lease is renewed does not count: the
// key may be ours while a cancellation that another controller confirmed has not
// reached us.
func (m *Machine) confirmed(now time.Duration) time.Duration {
	return max(m.won, m.freshAt, m.majority(now, m.acks)) + m.times.Hold
}

// aware is up to when we surely know of every cancellation that users were told
// of; 0 if that cannot be said of any time. Either the state service has shown us
// its changes; or a majority, of which each has forgotten nothing, has handed us
// its intents: a cancellation is not committed before a majority holds its intent,
// and two majorities meet.
func (m *Machine) aware(now time.Duration) time.Duration {
	if now < m.began+m.times.Recovery && !m.outlived(m.began) {
		return m.freshAt // our own part of a majority may be forgotten
	}
	return max(m.freshAt, m.majority(now, m.full))
}

// majority is the latest time since which a majority, with us, has spoken.
func (m *Machine) majority(now time.Duration, spoke map[string]time.Duration) time.Duration {
	need := (len(m.peers) + 1) / 2
	if need == 0 {
		return now // nobody else tells users anything
	}
	if at := slices.Sorted(maps.Values(spoke)); len(at) >= need {
		return at[len(at)-need]
	}
	return 0
}

// outlived says whether the state service has shown us all that a process which
// began at the given time may have forgotten: intents that it held before have
// been committed since, or never will be by their own.
func (m *Machine) outlived(began time.Duration) bool {
	return m.freshAt >= began+m.times.Confirm+m.times.Silent
}
