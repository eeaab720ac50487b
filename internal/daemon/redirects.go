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
	mu     sync.Mutex
	lease  time.Duration
	leader string
	seen   map[string]visit
	swept  time.Duration // when those that are too old were last dropped
}

// visit is when a machine last came and since when its reports are passed on;
// 0 if they are not.
type visit struct{ last, since time.Duration }

// keepLeases is how long a machine that was sent away is remembered.
const keepLeases = 3

// NewRedirectTracker returns an empty memory.
func NewRedirectTracker(lease time.Duration) *RedirectTracker {
	return &RedirectTracker{lease: lease, seen: map[string]visit{}}
}

// Relay notes that a machine is here although the named node leads, and says
// whether its report should be passed on. met says that it has had the leader's
// word, and so would be there if it could.
func (t *RedirectTracker) Relay(machine, leader string, met bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader != t.leader {
		t.leader = leader
		clear(t.seen)
	}
	v, known := t.seen[machine]
	recent := known && now-v.last <= keepLeases*t.lease
	switch {
	case recent && v.since > 0 && now-v.since > t.lease:
		v.since = 0 // time for another try
	case recent && v.since > 0:
	case recent || met:
		v.since = now
	default:
		v.since = 0
	}
	v.last = now
	t.seen[machine] = v
	t.sweep(now)
	return v.since > 0
}

// sweep drops the machines that have not come for long, once in a lease: had each new machine been
// compared with all others, thousands that come at once would have been millions of looks.
func (t *RedirectTracker) sweep(now time.Duration) {
	if now-t.swept < t.lease {
		return
	}
	t.swept = now
	maps.DeleteFunc(t.seen, func(_ string, v visit) bool { return now-v.last > keepLeases*t.lease })
}
