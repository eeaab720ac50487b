package daemon

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
)

// peerTable holds the latest state that each of the other controllers has reported.
type peerTable struct {
	*environment
	lastContactAt    atomic.Int64 // time of the last message of any peer, on the controller's clock
	storeReachableAt atomic.Int64 // time of the last message of a peer that reported the store as reachable

	mu              sync.Mutex // guards the fields below
	statuses        map[string]election.PeerStatus
	standbyRenewers map[string]time.Duration // peers that renew leases on standby, with the time of their last report
}

func newPeerTable(env *environment) *peerTable {
	return &peerTable{
		environment:     env,
		statuses:        map[string]election.PeerStatus{},
		standbyRenewers: map[string]time.Duration{},
	}
}

// recordContact records a peer's heartbeat or its reply to one.
func (t *peerTable) recordContact(m *protocol.PeerMessage) {
	t.lastContactAt.Store(int64(t.now()))
	if m.StoreReachable {
		t.storeReachableAt.Store(int64(t.now()))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.RenewsLeases {
		t.standbyRenewers[m.From] = t.now()
	} else {
		delete(t.standbyRenewers, m.From)
	}
}

// recordReply records the reply to a heartbeat that was sent at the given time. received is the result of processing
// the intents in the reply; it shows whether this controller now has all intents of the peer.
func (t *peerTable) recordReply(r *protocol.PeerMessage, sent time.Duration, received cancellation.ReceiveResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := election.PeerStatus{
		SentAt:              sent,
		StoreReachable:      r.StoreReachable,
		Leader:              r.Leader,
		IntentsCompleteAsOf: t.statuses[r.From].IntentsCompleteAsOf,
	}
	if received.Complete && received.Recovered {
		s.IntentsCompleteAsOf = sent
	}
	t.statuses[r.From] = s
}

// mayRenewOnStandby reports whether this controller may renew leases because no leader can be elected.
func (t *peerTable) mayRenewOnStandby() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return t.groupStatus(now, *t.view.Load()).MayRenewLeases()
}

// groupStatus returns the state of this controller and its peers as known here. The caller must hold t.mu for as long
// as it uses the result.
func (t *peerTable) groupStatus(now time.Duration, v election.View) election.GroupStatus {
	return election.GroupStatus{
		Now:            now,
		Timing:         t.times,
		View:           v,
		StoreReachable: t.storeReachable(),
		Recovered:      t.intents.Recovered(now),
		Peers:          t.mesh.Peers(),
		Statuses:       t.statuses,
	}
}

// renewsOnStandby reports whether this controller renews leases on standby: it may do so, and no leader runs in this
// process.
func (t *peerTable) renewsOnStandby() bool {
	return t.localLeader.Load() == nil && t.mayRenewOnStandby()
}

// standbyRenewer returns the name of a peer that renews leases on standby, or "" if none is known.
func (t *peerTable) standbyRenewer() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, latest := "", t.now()-t.times.LeaderTimeout/2
	for _, name := range slices.Sorted(maps.Keys(t.standbyRenewers)) {
		if at := t.standbyRenewers[name]; at > latest {
			best, latest = name, at
		}
	}
	return best
}

// inContactWithQuorum reports whether a quorum of the controllers, including this one, has replied within the leader
// timeout.
func (t *peerTable) inContactWithQuorum(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, s := range t.statuses {
		if now-s.SentAt <= t.times.LeaderTimeout {
			n++
		}
	}
	return election.IsQuorum(n, len(t.mesh.Peers()))
}

// leaderless reports whether a quorum agrees that there is no leader and that none can be elected. A local leader that
// could not read the records before the store outage does not know where tasks are placed, so it counts as no leader.
func (t *peerTable) leaderless(now time.Duration) bool {
	v := *t.view.Load()
	if l := t.localLeader.Load(); l != nil && !l.Ready() {
		v.Leading, v.Leader = false, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.groupStatus(now, v).Leaderless(t.cfg.Name)
}

// recentlyInContact reports whether a peer has replied recently enough to count towards a quorum.
func (t *peerTable) recentlyInContact(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.statuses[peer]
	return ok && t.now()-s.SentAt <= t.times.LeaderTimeout/2
}

// hasAllIntents reports whether this controller has received the cancellation intents of a quorum, and so knows of
// every cancellation.
func (t *peerTable) hasAllIntents(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.groupStatus(now, election.View{}).KnowsCancellations()
}

// isolatedFromStore reports whether the key-value store does not answer this controller but probably answers others:
// either a peer reported the store as reachable more than the leader timeout after the last answer to this controller,
// or no peer has sent a message within the leader timeout.
func (t *peerTable) isolatedFromStore() bool {
	sinceResponse := t.store.SinceLastResponse()
	if sinceResponse <= t.times.LeaderTimeout {
		return false
	}
	last := t.now() - sinceResponse
	return time.Duration(t.storeReachableAt.Load()) > last+t.times.LeaderTimeout ||
		t.now()-time.Duration(t.lastContactAt.Load()) > t.times.LeaderTimeout
}
