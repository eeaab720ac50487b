package daemon

import (
	"maps"
	"sync"
	"time"
)

// redirectTracker remembers which machines were redirected to a target, which is the leader or the machine's owner. A
// machine that comes back cannot reach the target, although this controller can. Its heartbeats are relayed to the
// leader or answered here, because its lease would expire while it is redirected back and forth. After the duration of
// a lease the machine is redirected again, because the target's commands reach it sooner on a direct connection.
type redirectTracker struct {
	mu        sync.Mutex
	lease     time.Duration
	target    string // name of the leader; for redirects to owners, the ownership epoch
	entries   map[string]redirectEntry
	expiredAt time.Duration // when expire last removed entries
}

// redirectEntry records when a machine was last seen, and since when its heartbeats are relayed; relayedSince is 0 if
// they are not.
type redirectEntry struct{ lastSeen, relayedSince time.Duration }

// retentionLeases is how long a redirected machine is remembered, as a multiple of the lease duration.
const retentionLeases = 3

// newRedirectTracker returns an empty tracker. lease is the duration of the workers' leases.
func newRedirectTracker(lease time.Duration) *redirectTracker {
	return &redirectTracker{lease: lease, entries: map[string]redirectEntry{}}
}

// shouldRelay records that a machine has sent a heartbeat here instead of to the target, and reports whether this
// controller should relay or answer the heartbeat instead of redirecting the machine. answeredByTarget is set if the
// target has answered the machine before: such a machine would not have come here if it could still reach the target.
// All machines are forgotten when the target changes.
func (t *redirectTracker) shouldRelay(machine, target string, answeredByTarget bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target != t.target {
		t.target = target
		clear(t.entries)
	}
	entry, seen := t.entries[machine]
	recent := seen && now-entry.lastSeen <= retentionLeases*t.lease
	switch {
	case recent && entry.relayedSince > 0 && now-entry.relayedSince > t.lease:
		entry.relayedSince = 0 // redirect again
	case recent && entry.relayedSince > 0:
	case recent || answeredByTarget:
		entry.relayedSince = now
	default:
		entry.relayedSince = 0
	}
	entry.lastSeen = now
	t.entries[machine] = entry
	t.expire(now)
	return entry.relayedSince > 0
}

// expire removes machines that have not been seen for a long time. It does so at most once per lease: checking all
// entries whenever a machine is recorded would cost millions of comparisons when thousands of machines arrive at once.
func (t *redirectTracker) expire(now time.Duration) {
	if now-t.expiredAt < t.lease {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.entries, func(_ string, e redirectEntry) bool { return now-e.lastSeen > retentionLeases*t.lease })
}
