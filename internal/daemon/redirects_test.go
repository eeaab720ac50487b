package daemon

import (
	"testing"
	"time"
)

// TestRedirectTracker guards machines that a follower can hear and the leader cannot:
// they are sent to the leader once, and when they come back they are served; one
// that has had the leader's word is served at once, for with long leases left a
// second way round had cost half of a large fleet its tasks. From time to time
// they try the leader again, and a new leader gets its chance.
func TestRedirectTracker(t *testing.T) {
	tr := newRedirectTracker(10 * time.Second)
	for i, x := range []struct {
		machine, leader string
		met             bool
		at              time.Duration
		relay           bool
	}{
		{"m1", "a", false, 1 * time.Second, false},
		{"m2", "a", false, 2 * time.Second, false},
		{"m3", "a", true, 3 * time.Second, true},
		{"m1", "a", false, 6 * time.Second, true},
		{"m1", "a", true, 15 * time.Second, true},
		{"m1", "a", true, 17 * time.Second, false}, // tries the leader
		{"m1", "a", true, 23 * time.Second, true},  // in vain
		{"m2", "a", false, 40 * time.Second, false},
		{"m1", "b", false, 41 * time.Second, false},
		{"m1", "b", false, 46 * time.Second, true},
	} {
		if got := tr.shouldRelay(x.machine, x.leader, x.met, x.at); got != x.relay {
			t.Errorf("%d: %+v: %v", i, x, got)
		}
	}
}
