package daemon

import (
	"sync"
	"time"
)

// Turned remembers which machines were sent to the leader. One that comes back
// soon after cannot reach it, although we can: its reports are passed on, or
// its lease would run out while it goes round in a circle.
type Turned struct {
	mu     sync.Mutex
	keep   time.Duration
	leader string
	when   map[string]time.Duration
}

// NewTurned returns an empty memory that keeps a machine for some leases.
func NewTurned(lease time.Duration) *Turned {
	return &Turned{keep: 3 * lease, when: map[string]time.Duration{}}
}

// Back notes that a machine is here although the named node leads, and says
// whether it has been sent there before.
func (t *Turned) Back(machine, leader string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader != t.leader {
		t.leader = leader
		clear(t.when)
	}
	at, ok := t.when[machine]
	t.when[machine] = now
	if len(t.when) > 1 && !ok {
		for m, at := range t.when {
			if now-at > t.keep {
				delete(t.when, m)
			}
		}
	}
	return ok && now-at <= t.keep
}
