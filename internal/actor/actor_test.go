package actor

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestMailboxRun checks that messages are processed in order and before the tick, and that the tick is called at the
// interval when there are no messages.
func TestMailboxRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		box := NewMailbox[string]()
		box.Send("first")
		box.Send("second")
		var calls []string
		box.Run(
			ctx,
			time.Second,
			func(message string) { calls = append(calls, message) },
			func() { calls = append(calls, "tick") },
		)
		if want := []string{"first", "second", "tick", "tick", "tick", "tick"}; !slices.Equal(calls, want) {
			t.Errorf("calls %v, want %v", calls, want)
		}
	})
}

// TestThrottle checks that the function is called only when the interval has passed since its last call.
func TestThrottle(t *testing.T) {
	var clock time.Duration
	var called []time.Duration
	tick := Throttle(
		2*time.Second,
		func() time.Duration { return clock },
		func(now time.Duration) { called = append(called, now) },
	)
	for clock = 0; clock < 8*time.Second; clock += 1500 * time.Millisecond {
		tick()
	}
	if want := []time.Duration{3 * time.Second, 6 * time.Second}; !slices.Equal(called, want) {
		t.Errorf("called at %v, want %v", called, want)
	}
}
