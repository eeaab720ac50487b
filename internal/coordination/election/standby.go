package election

import "time"

// PeerStatus is the status that a peer last reported, in its reply to the heartbeat that this controller sent at
// SentAt.
type PeerStatus struct {
	SentAt         time.Duration
	StoreReachable bool
	Leader         string // "" if the peer knows no leader
	// IntentsCompleteAsOf is when this controller sent the latest heartbeat whose reply completed the peer's
	// cancellation intents while the peer lacked none that are still relevant. It is 0 if there is no such reply.
	IntentsCompleteAsOf time.Duration
}

// GroupStatus is what a controller knows about itself and its peers at one point in time. It determines what the
// controller may do while there is no leader.
type GroupStatus struct {
	Now    time.Duration
	Timing Timing
	View   View
	// StoreReachable reports whether this controller can reach the store.
	StoreReachable bool
	// Recovered reports whether this controller holds every intent that is still relevant, including those from before
	// its restart.
	Recovered bool
	// Peers lists all other controllers. Statuses contains those that have replied.
	Peers    []string
	Statuses map[string]PeerStatus
}

// MayRenewLeases reports whether this controller may renew workers' leases without a leader. If the leader fails during
// a store outage, no successor can be elected, and every task would be killed when its lease expires.
//
// A quorum that includes this controller must have just reported that it reaches neither the store nor a leader, so no
// leader can be elected. In addition, a quorum must have recently delivered all of its cancellation intents. A quorum
// holds the intent of a job before a user is told that the job is cancelled, so the intents of any quorum together
// identify every task that must be stopped. On that basis, leases may be renewed until the renewal horizon ends. A
// recently started controller lacks the intents of its earlier process, so it is not counted until every task has ended
// whose lease was last renewed without knowledge of those intents. The only commands sent to workers are to stop tasks
// that the intents identify, and a lease is never taken as proof that a task has ended.
func (g GroupStatus) MayRenewLeases() bool {
	return len(g.Peers) > 0 && g.KnowsCancellations() && g.Leaderless("")
}

// KnowsCancellations reports whether this controller knows every cancellation that a controller must know to renew
// leases: within the renewal horizon, a quorum that includes this controller has delivered all of its intents, and no
// member of the quorum lacks any.
func (g GroupStatus) KnowsCancellations() bool {
	if !g.Recovered {
		return false
	}
	known := 1
	for _, name := range g.Peers {
		p, ok := g.Statuses[name]
		if ok && p.IntentsCompleteAsOf > 0 && g.Now-p.IntentsCompleteAsOf <= g.Timing.RenewalHorizon {
			known++
		}
	}
	return IsQuorum(known, len(g.Peers))
}

// Leaderless reports whether a quorum that includes this controller has just reported that it reaches neither the store
// nor a leader, so that no leader can be elected. A peer that considers the controller named ignored to be the leader
// does not count as an objection. Pass "" to ignore none.
func (g GroupStatus) Leaderless(ignored string) bool {
	if g.View.Leading || g.View.Leader != "" || g.StoreReachable {
		return false
	}
	agreeing := 1
	for _, name := range g.Peers {
		p, ok := g.Statuses[name]
		switch {
		case !ok || g.Now-p.SentAt > g.Timing.LeaderTimeout/2:
			// A peer without a recent report neither agrees nor objects.
		case p.StoreReachable || p.Leader != "" && p.Leader != ignored:
			return false // the peer can be elected, or knows the leader
		default:
			agreeing++
		}
	}
	return IsQuorum(agreeing, len(g.Peers))
}
