package election

import "time"

// PeerStatus is what a peer last reported about itself, in its answer to a heartbeat of ours that
// was sent at SentAt.
type PeerStatus struct {
	SentAt         time.Duration
	StoreReachable bool
	Leader         string // "" if the peer knows none
	// IntentsReceivedAt is when the last heartbeat was sent whose answer completed the peer's
	// cancellation intents, of which it lacked none that still matters; 0: never.
	IntentsReceivedAt time.Duration
}

// GroupStatus is what a controller knows of itself and its peers at one moment. It decides what
// the controller may do while nobody leads.
type GroupStatus struct {
	Now    time.Duration
	Timing Timing
	View   View
	// StoreReachable says that this controller reaches the store.
	StoreReachable bool
	// Recovered says that this controller lacks no intent that still matters.
	Recovered bool
	// Peers names all other controllers, and Statuses holds those that have answered.
	Peers    []string
	Statuses map[string]PeerStatus
}

// MayRenewLeases says whether this controller may renew workers' leases although nobody leads. If
// the leader fails during an outage of the store, no other one can be elected, and all tasks would
// be killed when their leases expire.
//
// It takes a quorum, including this controller, that has just reported that it reaches neither the
// store nor a leader: nobody else could do better. It also takes a quorum that has recently handed
// over all its cancellation intents. Before a user is told that a job is cancelled, a quorum holds
// an intent of it, so the intents of any quorum together name every task that must be stopped.
// On that basis leases may be renewed within the renewal horizon. A controller that has started
// recently lacks the intents of its earlier process and counts for nothing, until every task has
// ended whose lease was last renewed without them. No command other than those stops is given, and
// a lease never proves that a task has ended.
func (g GroupStatus) MayRenewLeases() bool {
	return len(g.Peers) > 0 && g.KnowsCancellations() && g.Leaderless("")
}

// KnowsCancellations says whether this controller knows every cancellation that whoever renews
// leases must know: a quorum, including this controller, has handed over all its intents within
// the renewal horizon, and none of it lacks any.
func (g GroupStatus) KnowsCancellations() bool {
	if !g.Recovered {
		return false
	}
	known := 1
	for _, name := range g.Peers {
		p, ok := g.Statuses[name]
		if ok && p.IntentsReceivedAt > 0 && g.Now-p.IntentsReceivedAt <= g.Timing.RenewalHorizon {
			known++
		}
	}
	return IsQuorum(known, len(g.Peers))
}

// Leaderless says whether a quorum, including this controller, has just reported that it reaches
// neither the store nor a leader, so that none can be elected. A peer that takes the controller
// named ignored for the leader does not count against it; "" names none.
func (g GroupStatus) Leaderless(ignored string) bool {
	if g.View.Leading || g.View.Leader != "" || g.StoreReachable {
		return false
	}
	agreeing := 1
	for _, name := range g.Peers {
		p, ok := g.Statuses[name]
		switch {
		case !ok || g.Now-p.SentAt > g.Timing.LeaderTimeout/2:
			// Not heard recently: neither agrees nor objects.
		case p.StoreReachable || p.Leader != "" && p.Leader != ignored:
			return false // it can be elected, or knows who leads
		default:
			agreeing++
		}
	}
	return IsQuorum(agreeing, len(g.Peers))
}
