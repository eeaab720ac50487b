package scheduler

import "time"

const (
	// CycleInterval is the longest time between two scheduling cycles, and the time between two plans of capacity.
	CycleInterval = time.Second
	// MinCycleInterval is the shortest time between two cycles, after something relevant has happened.
	MinCycleInterval = CycleInterval / 20

	// A cycle's cost grows with the number of jobs. jobsPerCyclePause is how many of them lengthen the shortest time
	// between two cycles by once itself, up to maxCyclePause: urgent jobs must not wait for a full interval behind
	// any number of others.
	jobsPerCyclePause = 500
	maxCyclePause     = CycleInterval / 4
)

// cycleClock decides when a scheduling cycle and a plan of capacity are due.
type cycleClock struct {
	due        bool // something relevant has happened since the last cycle
	count      uint64
	lastAt     time.Duration
	lastPlanAt time.Duration
}

// newCycleClock returns a clock with a cycle and a plan due at once.
func newCycleClock(now time.Duration) cycleClock {
	return cycleClock{due: true, lastAt: now - CycleInterval, lastPlanAt: now - CycleInterval}
}

// planDue reports whether the next cycle should plan capacity. That has a time of its own: in a large fleet something
// relevant happens before every cycle, and if planning waited for one without, nothing would be scaled or fenced for
// minutes.
func (k *cycleClock) planDue(now time.Duration) bool { return now-k.lastPlanAt >= CycleInterval }

// cycleDue reports whether something relevant has happened and the pause after the last cycle is over.
func (k *cycleClock) cycleDue(now time.Duration, jobs int) bool {
	pause := min(maxCyclePause, MinCycleInterval*time.Duration(1+jobs/jobsPerCyclePause))
	return k.due && now-k.lastAt >= pause
}

// begin records that a cycle begins.
func (k *cycleClock) begin(now time.Duration) { k.lastAt, k.due = now, false }

// tick runs a cycle when one is due, and what goes with it.
func (c *Scheduler) tick(now time.Duration) {
	c.delayedCalls.run(now)
	c.sendProbes(now)
	planDue := c.cycle.planDue(now)
	if planDue || c.cycle.cycleDue(now, len(c.jobs)) {
		c.cycle.begin(now)
		c.runFullCycle(now, planDue)
	}
	c.recordStarts(now) // writes that were put off may be due
	c.sendUrgentCommands(now)
}

// runFullCycle runs a scheduling cycle with all that comes before and after it.
func (c *Scheduler) runFullCycle(now time.Duration, planDue bool) {
	if planDue && c.zoneFailover != nil {
		c.updateZoneStates(now, c.sortedJobs())
	}
	c.evictOnTerminationNotice(now)
	c.runCycle(now)
	c.writeRecords(now)
	if planDue {
		c.planCapacity(now)
	}
	c.writeFailoverRecords(now)
}

// planCapacity scales the fleet, and does what else is due once in an interval.
func (c *Scheduler) planCapacity(now time.Duration) {
	c.cycle.lastPlanAt = now
	c.candidates.Verify(now)
	demands := c.capacityDemand(now)
	for _, e := range c.autoscaler.Plan(now, demands) {
		c.emit(CloudRequest{e})
	}
	c.logUtilization(now, demands)
	c.checkReachability(now)
	c.replaceSupersededPages(now)
	c.writeImageHints(now)
}

// writeRecords writes the records that starts wait for, then the ends of cancelled dependents and of tasks, as far
// as the state service has room for them.
func (c *Scheduler) writeRecords(now time.Duration) {
	c.recordStarts(now)
	c.writeCancelledDependents()
	c.recordCompletions(now)
}
