package simulation

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// largeGangTasks is the number of tasks of a gang that fills six of the twelve machines of a cluster and takes four
// transactions to record under nextLimits.
const largeGangTasks = 384

// submitLargeGang submits a gang that takes several transactions to record, and returns its ID.
func (c *cluster) submitLargeGang(sameZone bool) string {
	j := c.newJob(protocol.Gang, largeGangTasks, 0)
	j.CPUs, j.MemoryGB, j.Priority, j.SameZone = 1, 0.5, "urgent", sameZone
	c.mu.Lock()
	c.world.RunTimes[j.ID] = 20 * s
	c.mu.Unlock()
	c.submit(j)
	return j.ID
}

// largeGang is a step that submits a large gang.
func largeGang(c *cluster) { c.submitLargeGang(false) }

// largeGangInOneZone is a step that submits a large gang whose tasks must all run in the same zone.
func largeGangInOneZone(c *cluster) { c.submitLargeGang(true) }

// cancelledLargeGang returns a step that submits a large gang and cancels it after a while.
func cancelledLargeGang(after time.Duration) func(*cluster) {
	return func(c *cluster) {
		id := c.submitLargeGang(false)
		time.AfterFunc(after, func() {
			c.recordOccurrence("gang cancelled")
			c.cancelUntilFinal(id, c.controllers, 3*time.Minute)
		})
	}
}

// TestLargeGangs guards against a gang that is never started because its placements take more pages than a transaction
// may hold, also while leaders change, transactions are late and other jobs start.
func TestLargeGangs(t *testing.T) {
	scenarios := []scenario{
		{
			name:    "lower limits",
			timings: fastTimings,
			steps:   []step{{0, lowerLimits}, {s, largeGang}},
		},
		{
			name:    "while other jobs start",
			timings: slowTimings,
			steps:   []step{{0, submitBatches(2)}, {s, largeGang}, {2 * s, submissionStorm(20 * s)}},
		},
		{
			name:    "leaders crash while it is recorded",
			timings: fastTimings,
			steps: []step{
				{0, lowerLimits},
				{s, largeGang},
				{3 * s, crashLeader(5 * s)},
				{14 * s, crashLeader(300 * ms)},
				{25 * s, crashAllControllers(2 * s)},
			},
			occurred: []string{"crash"},
		},
		{
			name:    "in one zone, with late writes, lost machines and a crash",
			timings: fastTimings,
			steps: []step{
				{0, lowerLimits},
				{s, during(40*s, delayedWrites(0.2))},
				{2 * s, largeGangInOneZone},
				{12 * s, loseMachines(3)},
				{20 * s, crashLeader(5 * s)},
				{32 * s, loseMachines(3)},
				{34 * s, crashLeader(300 * ms)},
			},
			occurred: []string{"write", "lost", "crash"},
		},
		{
			name:    "cancelled while it is recorded",
			timings: fastTimings,
			steps: []step{
				{0, lowerLimits},
				{s, cancelledLargeGang(700 * ms)},
				{5 * s, largeGang},
				{20 * s, cancelledLargeGang(1500 * ms)},
				{21 * s, crashLeader(5 * s)},
			},
			occurred: []string{"gang cancelled", "crash"},
		},
		{
			name:    "limits become lower while it is recorded",
			timings: fastTimings,
			steps:   []step{{s, largeGang}, {1500 * ms, lowerLimits}, {20 * s, largeGang}},
		},
	}
	runScenarios(t, 900, scenarios, func(c *cluster, x *scenario) {
		c.runToCompletion(x.steps, x.occurred)
		c.checkRecords()
	}, announceLowerLimits)
}
