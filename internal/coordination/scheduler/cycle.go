package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// maxFailuresPerSearchKey is the number of jobs with the same search key that may find no machine before the
// others of the key are skipped for the rest of the cycle.
const maxFailuresPerSearchKey = 16

// runCycle runs a scheduling cycle: it places the tasks of waiting jobs, and then moves tasks to better
// machines. Jobs are in the order of priority and age; the teams' shares decide whose job is next.
func (c *Scheduler) runCycle(now time.Duration) {
	c.cycle.count++
	c.rules.Cycle = c.cycle.count
	c.candidates.Refresh(now)
	waiting := c.schedulableJobs(now)
	placement.OrderGangsByDeadline(now, waiting, c.cfg.Objectives)
	c.holdHeadroom(now)
	c.preemption.BeginCycle()
	if c.zoneFailover.InFailover() {
		c.placeWithinQuota(now, waiting)
	}
	c.placeJobs(now, waiting)
	c.preemption.EndCycle()
	c.relocateFetchingTasks(now)
	// Last, as no waiting job could use the capacity that is left.
	c.consolidate(now)
}

// schedulableJobs returns the jobs that have tasks to place in this cycle, in scheduling order.
func (c *Scheduler) schedulableJobs(now time.Duration) (waiting []*jobstate.Job) {
	c.queues.Pending.Scan(func(j *jobstate.Job) bool {
		if c.placeableNow(now, j) {
			j.LastWaitingCycle = c.cycle.count
			waiting = append(waiting, j)
		}
		return true
	})
	c.sortForRecovery(waiting)
	return waiting
}

// placeJobs places the waiting jobs in the order of the fair share queue.
func (c *Scheduler) placeJobs(now time.Duration, waiting []*jobstate.Job) {
	failures := map[placement.SearchKey]int{}
	queue := c.newFairShareQueue(waiting)
	for j, ok := queue.Next(); ok; j, ok = queue.Next() {
		j.LastTriedCycle = c.cycle.count
		if len(j.NominatedMachines) > 0 {
			c.preemption.CapacityMayBeFree() // later jobs may take what the job is nominated for
		}
		pending := j.PendingTasks()
		if pending == 0 {
			continue // placed by placeWithinQuota
		}
		key := placement.SearchKeyOf(j)
		if failures[key] >= maxFailuresPerSearchKey {
			j.UnschedulableCycles++
			continue
		}
		c.placeJob(now, j, c.tasksWithinQuotaLimit(j))
		if j.Spec.Shape != protocol.Gang && j.PendingTasks() == pending {
			failures[key]++
		}
	}
}

// placeableNow reports whether a job has tasks that may be placed in this cycle.
func (c *Scheduler) placeableNow(now time.Duration, j *jobstate.Job) bool {
	if j.PendingTasks() == 0 || c.startForbidden(j) || j.WriteInFlight || now < j.BackoffUntil {
		return false
	}
	// Arrays and services go on while their record waits to be written: their starts are batched in it.
	return j.Spec.Shape != protocol.Gang || len(j.Placements) == 0
}
