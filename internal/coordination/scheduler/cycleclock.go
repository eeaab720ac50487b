package scheduler

import "time"

const (
	// CycleInterval is the maximum time between two scheduling cycles, and the time between two capacity plans.
	CycleInterval = time.Second
	// MinCycleInterval is the minimum time between two scheduling cycles while relevant events keep arriving.
	MinCycleInterval = CycleInterval / 20

	// The cost of a cycle grows with the number of jobs, so the minimum time between two cycles does, too: it grows by
	// MinCycleInterval for every jobsPerPauseStep jobs. maxCyclePause bounds it, because urgent jobs must not have to
	// wait for a full CycleInterval however many other jobs there are.
	jobsPerPauseStep = 500
	maxCyclePause    = CycleInterval / 4
)

// cycleClock determines when a scheduling cycle and a capacity plan are due.
type cycleClock struct {
	due        bool // a relevant event has occurred since the last cycle
	count      uint64
	lastAt     time.Duration
	lastPlanAt time.Duration
}

// newCycleClock returns a clock for which a cycle and a plan are due immediately.
func newCycleClock(now time.Duration) cycleClock {
	return cycleClock{due: true, lastAt: now - CycleInterval, lastPlanAt: now - CycleInterval}
}

// planDue reports whether the next cycle should also plan capacity. Planning has an interval of its own: in a large
// fleet a relevant event precedes every cycle, and if planning waited for a cycle without such an event, machines would
// not be scaled or fenced for minutes.
func (c *cycleClock) planDue(now time.Duration) bool { return now-c.lastPlanAt >= CycleInterval }

// cycleDue reports whether a relevant event has occurred and the pause after the last cycle has elapsed.
func (c *cycleClock) cycleDue(now time.Duration, jobs int) bool {
	pause := min(maxCyclePause, MinCycleInterval*time.Duration(1+jobs/jobsPerPauseStep))
	return c.due && now-c.lastAt >= pause
}

// begin records the start of a cycle.
func (c *cycleClock) begin(now time.Duration) { c.lastAt, c.due = now, false }

// tick runs a scheduling cycle if one is due, and all other work that depends on time alone.
func (s *Scheduler) tick(now time.Duration) {
	s.delayedCalls.run(now)
	s.sendProbes(now)
	planDue := s.cycle.planDue(now)
	if planDue || s.cycle.cycleDue(now, len(s.jobs)) {
		s.cycle.begin(now)
		s.runFullCycle(now, planDue)
	}
	s.recordStarts(now) // delayed writes may be due
	s.sendUrgentCommands(now)
}

// runFullCycle runs a scheduling cycle with the steps that precede and follow it.
func (s *Scheduler) runFullCycle(now time.Duration, planDue bool) {
	if planDue && s.zoneFailover != nil {
		s.updateZoneStates(now, s.sortedJobs())
	}
	s.evictOnInterruptionNotice(now)
	s.runCycle(now)
	s.writeRecords(now)
	if planDue {
		s.planCapacity(now)
	}
	s.writeFailoverRecords(now)
}

// planCapacity scales the fleet and does the other work that is due once per CycleInterval.
func (s *Scheduler) planCapacity(now time.Duration) {
	s.cycle.lastPlanAt = now
	s.candidates.Verify(now)
	demands := s.capacityDemand(now)
	for _, e := range s.autoscaler.Plan(now, demands) {
		s.emit(CloudRequest{e})
	}
	s.logUtilization(now, demands)
	s.checkReachability(now)
	s.replaceSupersededPages(now)
	s.writeImageHints(now)
}

// writeRecords writes first the placements that must be recorded before their tasks may start, then the ends of
// cancelled dependents, then completed tasks, as far as the key-value store has capacity for them.
func (s *Scheduler) writeRecords(now time.Duration) {
	s.recordStarts(now)
	s.writeCancelledDependents()
	s.recordCompletions(now)
}
