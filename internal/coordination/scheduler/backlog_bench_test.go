package scheduler

import (
	"fmt"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// BenchmarkBacklog measures a cycle while thousands of jobs wait and all machines are full.
func BenchmarkBacklog(b *testing.B) {
	h := newHarness([]config.Team{{Name: "red"}}, "a", "b")
	for i := range 130 {
		h.heartbeat(fmt.Sprintf("m%03d", i), []string{"a", "b"}[i%2], false)
	}
	for i := range 5000 {
		j := jobSpec(fmt.Sprintf("j-%d", i), protocol.Array, "normal", 3, 1)
		j.Image = fmt.Sprintf("i%d", i%10)
		h.addJob(j)
	}
	for range 5 {
		h.runCycle()
	}
	for b.Loop() {
		for i := range 130 {
			h.heartbeat(fmt.Sprintf("m%03d", i), []string{"a", "b"}[i%2], false)
		}
		h.runCycle()
	}
}
