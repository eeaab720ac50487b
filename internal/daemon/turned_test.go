package daemon

import (
	"testing"
	"time"
)

// TestTurned guards machines that a follower can hear and the leader cannot:
// they are sent to the leader once, and when they come back they are served;
// a new leader gets its chance again.
func TestTurned(t *testing.T) {
	tr := NewTurned(10 * time.Second)
	for i, x := range []struct {
		machine, leader string
		at              time.Duration
		back            bool
	}{
		{"m1", "a", 1 * time.Second, false},
		{"m2", "a", 2 * time.Second, false},
		{"m1", "a", 6 * time.Second, true},
		{"m1", "a", 30 * time.Second, true}, // kept as long as it comes
		{"m2", "a", 40 * time.Second, false},
		{"m1", "b", 41 * time.Second, false},
		{"m1", "b", 46 * time.Second, true},
	} {
		if got := tr.Back(x.machine, x.leader, x.at); got != x.back {
			t.Errorf("%d: %+v: %v", i, x, got)
		}
	}
}
