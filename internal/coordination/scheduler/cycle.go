package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// maxFailuresPerSearchKey limits the failed searches for each search key in a cycle. After that many jobs with the same
// key have found no machine, the remaining ones are skipped until the next cycle.
const maxFailuresPerSearchKey = 16

// runCycle runs a scheduling cycle: it places the tasks of waiting jobs and then moves tasks to better machines. Jobs
// are sorted by priority and age, and the fair shares of the teams determine whose job comes next.
func (s *Scheduler) runCycle(now time.Duration) {
	s.cycle.count++
	s.rules.Cycle = s.cycle.count
	s.candidates.Refresh(now)
	waiting := s.schedulableJobs(now)
	placement.OrderGangsByObjective(now, waiting, s.cfg.Objectives)
	s.holdHeadroom(now)
	s.preemption.BeginCycle()
	if s.zoneFailover.InFailover() {
		s.placeWithinGuaranteedQuota(now, waiting)
	}
	s.placeJobs(now, waiting)
	s.preemption.EndCycle()
	s.relocateFetchingTasks(now)
	// Consolidation runs last, when no waiting job can use the remaining capacity.
	s.consolidate(now)
}

// schedulableJobs returns the jobs that have tasks to place in this cycle, in scheduling order.
func (s *Scheduler) schedulableJobs(now time.Duration) (waiting []*jobstate.Job) {
	s.queues.Pending.Scan(func(j *jobstate.Job) bool {
		if s.placeableNow(now, j) {
			j.LastWaitingCycle = s.cycle.count
			waiting = append(waiting, j)
		}
		return true
	})
	s.sortForRecovery(waiting)
	return waiting
}

// placeJobs places the waiting jobs in the order of the fair share queue.
func (s *Scheduler) placeJobs(now time.Duration, waiting []*jobstate.Job) {
	failures := map[placement.SearchKey]int{}
	queue := s.newFairShareQueue(waiting)
	for j, ok := queue.Next(); ok; j, ok = queue.Next() {
		j.LastTriedCycle = s.cycle.count
		if len(j.NominatedMachines) > 0 {
			// Later jobs may use the nominated machines that this job does not need.
			s.preemption.InvalidateFailedSearches()
		}
		pending := j.PendingTasks()
		if pending == 0 {
			continue // already placed by placeWithinGuaranteedQuota
		}
		key := placement.SearchKeyOf(j)
		if failures[key] >= maxFailuresPerSearchKey {
			j.UnschedulableCycles++
			continue
		}
		s.placeJob(now, j, s.tasksWithinQuotaLimit(j))
		if j.Spec.Shape != protocol.Gang && j.PendingTasks() == pending {
			failures[key]++
		}
	}
}

// placeableNow reports whether a job has tasks that may be placed in this cycle.
func (s *Scheduler) placeableNow(now time.Duration, j *jobstate.Job) bool {
	if j.PendingTasks() == 0 || s.startForbidden(j) || j.WriteInFlight || now < j.BackoffUntil {
		return false
	}
	// Arrays and services keep being placed while their record waits to be written: the new placements join the same
	// record.
	return j.Spec.Shape != protocol.Gang || len(j.Placements) == 0
}
