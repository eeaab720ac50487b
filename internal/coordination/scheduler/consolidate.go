package scheduler

import (
	"time"

	"pinebay/internal/coordination/placement"
)

// consolidationInterval is the minimum time between draining two machines for consolidation.
const consolidationInterval = 2 * CycleInterval

// consolidate drains a machine with few replicas if these fit on fuller machines. It stops the replicas, and the
// following cycles place them there. As always, a new attempt starts only after the old one is known to be gone.
func (s *Scheduler) consolidate(now time.Duration) {
	m := s.consolidator.Next(now)
	if m == nil {
		return
	}
	for _, pl := range placement.PlacementsOn(m) {
		s.log.Info("task evicted for consolidation", "task", pl.Task, "attempt", pl.Attempt, "machine", m.Name)
		s.stopPlacement(now, s.jobs[pl.Task.JobID], pl, 0)
	}
}
