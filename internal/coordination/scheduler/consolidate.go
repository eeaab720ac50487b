package scheduler

import (
	"time"

	"pinebay/internal/coordination/placement"
)

// consolidationPause is the least time between two machines that are emptied.
const consolidationPause = 2 * CycleInterval

// consolidate empties a machine that few replicas hold, if they fit on fuller machines: it stops them, and
// the following cycles place them there. The old attempts are proven gone before the new ones start, as
// always.
func (c *Scheduler) consolidate(now time.Duration) {
	m := c.consolidator.Next(now)
	if m == nil {
		return
	}
	for _, pl := range placement.PlacementsOn(m) {
		c.log.Info("task evicted for consolidation", "task", pl.Task, "attempt", pl.Attempt, "machine", m.Name)
		c.stopPlacement(now, c.jobs[pl.Task.JobID], pl, 0)
	}
}
