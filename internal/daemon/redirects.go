package daemon

import (
	"maps"
	"sync"
	"time"
)

// redirectTracker remembers which machines were redirected to a target, the leader. One that
// comes back cannot reach it, although this controller can: its heartbeats are relayed, or its
// lease would expire while it is redirected in a circle. After a lease it is redirected
// once more, since commands reach it sooner from the target.
type redirectTracker struct {
	mu        sync.Mutex
	lease     time.Duration
	target    string
	visits    map[string]visit
	expiredAt time.Duration // when expire last dropped visits
}

// visit is when a machine was last here and since when its heartbeats are relayed;
// 0 if they are not.
type visit struct{ lastSeen, relayedSince time.Duration }

// retentionLeases is for how many leases a machine that was redirected is remembered.
const retentionLeases = 3

// newRedirectTracker returns an empty tracker.
func newRedirectTracker(lease time.Duration) *redirectTracker {
	return &redirectTracker{lease: lease, visits: map[string]visit{}}
}

// shouldRelay records that a machine is here although it should be at the target, and returns
// whether its heartbeat should be relayed. answered says that the target has answered the machine
// already: it would not be here if it could reach the target. A new target forgets all machines.
func (t *redirectTracker) shouldRelay(machine, target string, answered bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target != t.target {
		t.target = target
		clear(t.visits)
	}
	v, known := t.visits[machine]
	recent := known && now-v.lastSeen <= retentionLeases*t.lease
	switch {
	case recent && v.relayedSince > 0 && now-v.relayedSince > t.lease:
		v.relayedSince = 0 // time for another try
	case recent && v.relayedSince > 0:
	case recent || answered:
		v.relayedSince = now
	default:
		v.relayedSince = 0
	}
	v.lastSeen = now
	t.visits[machine] = v
	t.expire(now)
	return v.relayedSince > 0
}

// expire drops the machines that were not here for long, at most once per lease: were all compared whenever one is
// recorded, thousands that come at once would cost millions of comparisons.
func (t *redirectTracker) expire(now time.Duration) {
	if now-t.expiredAt < t.lease {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.visits, func(_ string, v visit) bool { return now-v.lastSeen > retentionLeases*t.lease })
}
