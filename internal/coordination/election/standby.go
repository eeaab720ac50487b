package election

import "time"

// PeerStatus is what a peer last said of itself, in answer to a message sent At.
type PeerStatus struct {
	SentAt         time.Duration
	StoreReachable bool   // it reaches the state service
	Leader         string // whom it takes for the leader
	// IntentsReceivedAt is when a message was last sent whose answer brought all its intents, of
	// which it had forgotten none that may still matter; 0: never.
	IntentsReceivedAt time.Duration
}

// MayRenewWithoutLeader says whether this controller may renew workers' leases although
// nobody leads: when the leader has died in an outage of the state service,
// no other can be chosen, and all tasks would be killed by their leases.
//
// It takes a majority, with this controller, of those that have just said that
// they reach neither the state service nor a leader: nobody could do better. And it
// takes one that has handed on all its intents not long ago. Before a user is told that
// a job is cancelled, a majority holds an intent of it; so one of those did, and the
// intents of all of them together tell what has to be stopped. Leases may be renewed on
// the strength of that within the Horizon. A controller that began lately has forgotten
// its intents and counts for nothing: until every task has ended whose lease was last
// renewed without knowing what it forgot. No other command is given, and a lease is
// never a proof that a task is gone.
func MayRenewWithoutLeader(
	now time.Duration,
	t Timing,
	v View,
	stateOK, whole bool,
	peers []string,
	heard map[string]PeerStatus,
) bool {
	return len(peers) > 0 && KnowsCancellations(now, t, whole, peers, heard) &&
		Leaderless(now, t, "", v, stateOK, peers, heard)
}

// KnowsCancellations says whether this controller may renew leases, as far as cancellations go: a majority, with this
// one, has handed on all its intents within the horizon, and none of it has forgotten any.
func KnowsCancellations(now time.Duration, t Timing, whole bool, peers []string, heard map[string]PeerStatus) bool {
	if !whole {
		return false
	}
	known := 1
	for _, name := range peers {
		if p, ok := heard[name]; ok && p.IntentsReceivedAt > 0 && now-p.IntentsReceivedAt <= t.RenewalHorizon {
			known++
		}
	}
	return IsQuorum(known, len(peers))
}

// Leaderless says whether a majority, with this controller, has just said that it
// reaches neither the state service nor a leader, so that none can be elected. A peer
// that takes the named controller for the leader does not count against it; "" names
// none.
func Leaderless(
	now time.Duration,
	t Timing,
	self string,
	v View,
	stateOK bool,
	peers []string,
	heard map[string]PeerStatus,
) bool {
	if v.Leading || v.Leader != "" || stateOK {
		return false
	}
	agree := 1
	for _, name := range peers {
		p, ok := heard[name]
		switch {
		case !ok || now-p.SentAt > t.LeaderTimeout/2:
		case p.StoreReachable || p.Leader != "" && p.Leader != self:
			return false // it will lead, or knows who does
		default:
			agree++
		}
	}
	return IsQuorum(agree, len(peers))
}
