package failuredetector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPhiAdaptsToUnevenHeartbeats checks that a peer with uneven intervals between its heartbeats is
// given more time, and so is every peer by an observer that is late itself.
func TestPhiAdaptsToUnevenHeartbeats(t *testing.T) {
	var even, uneven accrualDetector
	for i := range maxSamples {
		even.observe(time.Duration(i+1)*2*testTickInterval, testTickInterval)
		uneven.observe(time.Duration(1+7*(i/2)+i%2)*testTickInterval, testTickInterval) // gaps of one and of six
	}
	even.lastHeardAt, uneven.lastHeardAt = time.Minute, time.Minute
	at := time.Minute + 8*testTickInterval
	evenPhi, unevenPhi := even.phi(at, testTickInterval, 0), uneven.phi(at, testTickInterval, 0)
	if evenPhi <= unevenPhi || unevenPhi >= phiThreshold {
		t.Errorf("phi %v of an even peer, %v of an uneven one", evenPhi, unevenPhi)
	}
	if latePhi := even.phi(at, testTickInterval, 4*testTickInterval); latePhi >= evenPhi {
		t.Errorf("phi %v for a late observer, %v for a punctual one", latePhi, evenPhi)
	}
}

// TestPhiIsMonotonicAndBounded checks that phi grows with the silence, between 0 and its bound,
// whatever the intervals were.
func TestPhiIsMonotonicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a accrualDetector
		now := time.Second
		for range rapid.IntRange(0, 3*maxSamples).Draw(t, "heartbeats") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "gap")) * time.Millisecond
			a.observe(now, testTickInterval)
		}
		last := -1.0
		for silence := time.Duration(0); silence < 10*time.Minute; silence += time.Second {
			phi := a.phi(a.lastHeardAt+silence, testTickInterval, 0)
			if phi < last || phi < 0 || phi > maxPhi {
				t.Fatalf("phi %v after %v", phi, last)
			}
			last = phi
		}
		if last < phiThreshold {
			t.Fatalf("phi %v after ten minutes", last)
		}
	})
}
