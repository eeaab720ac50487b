package failuredetector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPhiAdaptsToUnevenHeartbeats checks that a peer with uneven heartbeat intervals is given more time, and that a
// delayed observer gives every peer more time.
func TestPhiAdaptsToUnevenHeartbeats(t *testing.T) {
	var even, uneven accrualDetector
	for i := range maxSamples {
		even.recordHeartbeat(time.Duration(i+1)*2*testTickInterval, testTickInterval)
		// The intervals alternate between one and six ticks.
		uneven.recordHeartbeat(time.Duration(1+7*(i/2)+i%2)*testTickInterval, testTickInterval)
	}
	even.lastContactAt, uneven.lastContactAt = time.Minute, time.Minute
	at := time.Minute + 8*testTickInterval
	evenPhi, unevenPhi := even.phi(at, testTickInterval, 0), uneven.phi(at, testTickInterval, 0)
	if evenPhi <= unevenPhi || unevenPhi >= phiThreshold {
		t.Errorf("phi is %v for even and %v for uneven intervals, want the second lower and below the threshold",
			evenPhi, unevenPhi)
	}
	if latePhi := even.phi(at, testTickInterval, 4*testTickInterval); latePhi >= evenPhi {
		t.Errorf("phi is %v for a delayed observer and %v for a punctual one, want the first lower", latePhi, evenPhi)
	}
}

// TestPhiIsMonotonicAndBounded checks that phi increases with the time without contact and stays within its bounds for
// any sequence of intervals.
func TestPhiIsMonotonicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a accrualDetector
		now := time.Second
		for range rapid.IntRange(0, 3*maxSamples).Draw(t, "heartbeats") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "gap")) * time.Millisecond
			a.recordHeartbeat(now, testTickInterval)
		}
		last := -1.0
		for sinceContact := time.Duration(0); sinceContact < 10*time.Minute; sinceContact += time.Second {
			phi := a.phi(a.lastContactAt+sinceContact, testTickInterval, 0)
			if phi < last || phi < 0 || phi > maxPhi {
				t.Fatalf("phi fell or left its bounds: %v, previously %v", phi, last)
			}
			last = phi
		}
		if last < phiThreshold {
			t.Fatalf("phi is %v after ten minutes, want at least the threshold", last)
		}
	})
}
