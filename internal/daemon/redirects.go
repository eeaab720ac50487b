package daemon

import (
	"maps"
	"sync"
	"time"
)

// RedirectTracker remembers which machines were sent to the leader. One that comes from
// there cannot reach it, although we can: its reports are passed on, or its
// lease would run out while it goes round in a circle. After a lease it is sent
// to the leader once more, for commands reach it sooner there.
type RedirectTracker struct {
	mu        sync.Mutex
	lease     time.Duration
	leader    string
	visits    map[string]visit
	expiredAt time.Duration // when those that are too old were last dropped
}

// visit is when a machine last came and since when its reports are passed on;
// 0 if they are not.
type visit struct{ lastSeen, relayedSince time.Duration }

// retentionLeases is how long a machine that was sent away is remembered.
const retentionLeases = 3

// NewRedirectTracker returns an empty memory.
func NewRedirectTracker(lease time.Duration) *RedirectTracker {
	return &RedirectTracker{lease: lease, visits: map[string]visit{}}
}

// ShouldRelay notes that a machine is here although the named node leads, and says
// whether its report should be passed on. met says that it has had the leader's
// word, and so would be there if it could.
func (t *RedirectTracker) ShouldRelay(machine, leader string, met bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader != t.leader {
		t.leader = leader
		clear(t.visits)
	}
	v, known := t.visits[machine]
	recent := known && now-v.lastSeen <= retentionLeases*t.lease
	switch {
	case recent && v.relayedSince > 0 && now-v.relayedSince > t.lease:
		v.relayedSince = 0 // time for another try
	case recent && v.relayedSince > 0:
	case recent || met:
		v.relayedSince = now
	default:
		v.relayedSince = 0
	}
	v.lastSeen = now
	t.visits[machine] = v
	t.expire(now)
	return v.relayedSince > 0
}

// expire drops the machines that have not come for long, once in a lease: had each new machine been
// compared with all others, thousands that come at once would have been millions of looks.
func (t *RedirectTracker) expire(now time.Duration) {
	if now-t.expiredAt < t.lease {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.visits, func(_ string, v visit) bool { return now-v.lastSeen > retentionLeases*t.lease })
}
