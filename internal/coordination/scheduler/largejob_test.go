package scheduler

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
)

// maxTestWrites limits the number of writes that a test commits, so that a leader that writes without end fails it.
const maxTestWrites = 1000

// newStoreWithSmallPages returns a manualStore with idle machines for 640 tasks, with random limits under which a
// page holds few tasks and a transaction few pages.
func newStoreWithSmallPages(t *rapid.T) *manualStore {
	s := newEmptyManualStore(10)
	s.scheduler.cfg.Store = config.StoreLimits{
		RPS:      100,
		WriteRPS: float64(rapid.IntRange(5, 60).Draw(t, "writes per second")),
		ValueKB:  rapid.SampledFrom([]float64{0.5, 1, 2, 8}).Draw(t, "value"),
		TxnOps:   rapid.IntRange(2, 16).Draw(t, "operations"),
	}
	levels := []featurelevel.Level{featurelevel.Baseline, featurelevel.Pipelines}
	s.scheduler.recordLimits.SetLevel(rapid.SampledFrom(levels).Draw(t, "level"))
	return s
}

// TestLargeJobIsRecordedPageByPage guards against a gang that is never started because it has more pages than a
// transaction may hold and each of its writes contains the same pages. Whatever the shape of the job, the limits and
// the other starts, each page is written once, and no task of a gang starts before the last of them.
func TestLargeJobIsRecordedPageByPage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStoreWithSmallPages(t)
		shapes := []protocol.Shape{protocol.Gang, protocol.Array, protocol.Service}
		shape := rapid.SampledFrom(shapes).Draw(t, "shape")
		tasks := rapid.IntRange(1, 500).Draw(t, "tasks")
		large := jobSpec("j-large", shape, "normal", tasks, 0)
		large.ImageGB = 0
		s.accept(large)
		for i := range rapid.IntRange(0, 20).Draw(t, "other jobs") {
			other := jobSpec("j-"+strings.Repeat("x", 1+i), protocol.Array, "normal", 1+i%3, 0)
			other.ImageGB = 0
			s.accept(other)
		}
		s.cycleWithHeartbeats()
		written := map[string]bool{}
		for range maxTestWrites {
			if len(s.inFlight) == 0 {
				break
			}
			for _, page := range s.commit(s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "write")]) {
				if written[page] {
					t.Fatalf("%s is written again although it has not changed", page)
				}
				written[page] = true
			}
			started := s.startedTasks("j-large")
			if shape == protocol.Gang && started > 0 && len(s.scheduler.jobs["j-large"].Unstarted) > 0 {
				t.Fatalf("%d tasks of the gang have started before all are recorded", started)
			}
		}
		for id, j := range s.scheduler.jobs {
			if started := s.startedTasks(id); started != j.TaskCount() {
				t.Errorf("%d of %d tasks of %s have started", started, j.TaskCount(), id)
			}
		}
	})
}
