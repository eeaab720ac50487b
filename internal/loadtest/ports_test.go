package loadtest

import (
	"testing"
)

// TestWorkerAddresses checks that every hollow worker has a distinct loopback address that does not end in 0 or 255.
func TestWorkerAddresses(t *testing.T) {
	seen := map[string]bool{}
	for i := range 20_000 {
		ip := hollowWorkerIP(i + 1)
		if !ip.IsLoopback() || seen[ip.String()] || ip.To4()[3] == 0 || ip.To4()[3] == 255 {
			t.Fatalf("worker %d has %s, want a new loopback address that does not end in 0 or 255", i, ip)
		}
		seen[ip.String()] = true
	}
}
