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

// peerTable holds what the other controllers last said of themselves.
type peerTable struct {
	*environment
	heardAt        atomic.Int64 // when a peer was last heard, on the controller's clock
	reachedStoreAt atomic.Int64 // when a peer last said that the key-value store answers it

	mu       sync.Mutex // guards what follows
	statuses map[string]election.PeerStatus
	renewers map[string]time.Duration // peers that renew leases without a leader, and when they last said so
}

func newPeerTable(env *environment) *peerTable {
	return &peerTable{
		environment: env,
		statuses:    map[string]election.PeerStatus{},
		renewers:    map[string]time.Duration{},
	}
}

// recordContact records a heartbeat of a peer, or its answer to one.
func (t *peerTable) recordContact(m *protocol.PeerMessage) {
	t.heardAt.Store(int64(t.now()))
	if m.StoreReachable {
		t.reachedStoreAt.Store(int64(t.now()))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.RenewsLeases {
		t.renewers[m.From] = t.now()
	} else {
		delete(t.renewers, m.From)
	}
}

// recordReply records the answer to a heartbeat that was sent at the given time, and whether it brought all intents of
// the peer.
func (t *peerTable) recordReply(r *protocol.PeerMessage, sent time.Duration, received cancellation.ReceiveResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := election.PeerStatus{
		SentAt:            sent,
		StoreReachable:    r.StoreReachable,
		Leader:            r.Leader,
		IntentsReceivedAt: t.statuses[r.From].IntentsReceivedAt,
	}
	if received.Complete && received.Recovered {
		s.IntentsReceivedAt = sent
	}
	t.statuses[r.From] = s
}

// mayRenewOnStandby returns whether this controller may renew leases because no leader can be elected.
func (t *peerTable) mayRenewOnStandby() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return t.group(now, *t.view.Load()).MayRenewLeases()
}

// group returns what this controller knows of itself and its peers. The lock must be held while it is used.
func (t *peerTable) group(now time.Duration, v election.View) election.GroupStatus {
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

// renewsOnStandby returns whether this controller renews leases although nobody leads.
func (t *peerTable) renewsOnStandby() bool { return t.leading.Load() == nil && t.mayRenewOnStandby() }

// standbyRenewer returns a peer that renews leases although nobody leads, or "".
func (t *peerTable) standbyRenewer() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, latest := "", t.now()-t.times.LeaderTimeout/2
	for _, name := range slices.Sorted(maps.Keys(t.renewers)) {
		if at := t.renewers[name]; at > latest {
			best, latest = name, at
		}
	}
	return best
}

// hearsQuorum returns whether a majority of the controllers, with this one, has answered lately.
func (t *peerTable) hearsQuorum(now time.Duration) bool {
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

// leaderless returns whether a majority agrees that nobody leads and nobody can. A leader
// that could not read the records before the store went does not know where
// tasks are placed, and counts as none.
func (t *peerTable) leaderless(now time.Duration) bool {
	v := *t.view.Load()
	if l := t.leading.Load(); l != nil && !l.Ready() {
		v.Leading, v.Leader = false, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group(now, v).Leaderless(t.cfg.Name)
}

// recentlyHeard returns whether a peer has answered so lately that it counts for a majority.
func (t *peerTable) recentlyHeard(peer string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.statuses[peer]
	return ok && t.now()-s.SentAt <= t.times.LeaderTimeout/2
}

// intentsKnown returns whether this controller, with a majority, knows of every cancellation.
func (t *peerTable) intentsKnown(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.group(now, election.View{}).KnowsCancellations()
}

// isolatedFromStore returns whether the key-value store does not answer this controller but, as far as known, others:
// a peer has had an answer well after our last, or no peer is in contact at all.
func (t *peerTable) isolatedFromStore() bool {
	silent := t.store.SinceLastAnswer()
	if silent <= t.times.LeaderTimeout {
		return false
	}
	last := t.now() - silent
	return time.Duration(t.reachedStoreAt.Load()) > last+t.times.LeaderTimeout ||
		t.now()-time.Duration(t.heardAt.Load()) > t.times.LeaderTimeout
}
