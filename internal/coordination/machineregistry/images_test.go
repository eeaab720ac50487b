package machineregistry

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestImagesInUseAreNotEvicted checks that the least recently used image is evicted, and that an image is in use as
// long as a task needs it, no matter how long ago the task started. Its last use is the end of that task. An
// incorrect estimate would place service replicas on machines that have to fetch the image.
func TestImagesInUseAreNotEvicted(t *testing.T) {
	registry := newTestRegistry(1)
	sequence := uint64(0)
	heartbeat := func(now time.Duration, tasks ...protocol.TaskStatus) {
		sequence++
		registry.HandleHeartbeat(now, testHeartbeat(1, sequence, 0, tasks...))
	}
	start := func(now time.Duration, n int, image string, sizeGB float64) {
		heartbeat(now)
		pl := newTestPlacement(n, 1)
		pl.Job.Image, pl.Job.ImageGB = image, sizeGB
		mustReserve(t, registry, now, pl)
		registry.AllowStart(pl)
		heartbeat(now+time.Second, testStatus(n, protocol.TaskRunning))
	}
	end := func(now time.Duration, n int) { heartbeat(now, testExit(n, protocol.CauseDone)) }
	cached := func(now time.Duration, image string) bool {
		return registry.FetchTime(now, registry.Machine("m1"), &protocol.Job{Image: image, ImageGB: 1}) == 0
	}
	start(0, 1, "old", 4) // keeps running
	start(10*time.Second, 2, "short", 4)
	end(20*time.Second, 2)
	start(30*time.Second, 3, "new", 4) // evicts one image
	if now := 40 * time.Second; !cached(now, "old") || cached(now, "short") || !cached(now, "new") {
		t.Errorf(
			"cached: old %v, short %v, new %v, want all but short",
			cached(now, "old"),
			cached(now, "short"),
			cached(now, "new"),
		)
	}
	end(50*time.Second, 3)
	end(60*time.Second, 1)
	start(70*time.Second, 4, "next", 4)
	if now := 80 * time.Second; !cached(now, "old") || cached(now, "new") {
		t.Errorf("cached: old (last used) %v, new %v, want only old", cached(now, "old"), cached(now, "new"))
	}
}
