package daemon

import (
	"testing"
	"time"
)

// TestRedirectTracker checks how machines are treated that can reach a follower but not the leader. They are redirected
// once, and relayed when they come back. A machine that the leader has answered before is relayed at once: when the
// leases had long to run, a second redirect had cost half of a large fleet its tasks. Machines are redirected again
// after a while, and when the leader changes.
func TestRedirectTracker(t *testing.T) {
	tracker := newRedirectTracker(10 * time.Second)
	for i, row := range []struct {
		machine, leader string
		answered        bool
		at              time.Duration
		relay           bool
	}{
		{"m1", "a", false, 1 * time.Second, false},
		{"m2", "a", false, 2 * time.Second, false},
		{"m3", "a", true, 3 * time.Second, true},
		{"m1", "a", false, 6 * time.Second, true},
		{"m1", "a", true, 15 * time.Second, true},
		{"m1", "a", true, 17 * time.Second, false}, // redirected again
		{"m1", "a", true, 23 * time.Second, true},  // still cannot reach the leader
		{"m2", "a", false, 40 * time.Second, false},
		{"m1", "b", false, 41 * time.Second, false},
		{"m1", "b", false, 46 * time.Second, true},
	} {
		if got := tracker.shouldRelay(row.machine, row.leader, row.answered, row.at); got != row.relay {
			t.Errorf("step %d: %+v: shouldRelay returned %v, want the value of relay", i, row, got)
		}
	}
}
