package scheduler

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// gangHoldCycles is the number of consecutive cycles for which the partial capacity of a gang is held. In the following
// cycle smaller jobs may backfill that capacity.
const gangHoldCycles = 3

// allocation is the capacity that the current cycle has set aside for tasks of one job.
type allocation []allocatedTask

type allocatedTask struct {
	task      int
	candidate *candidates.Candidate
}

// placeJob places as many tasks of a job as there is capacity for, up to the allowed number. A gang is placed as a
// whole or not at all.
func (s *Scheduler) placeJob(now time.Duration, j *jobstate.Job, allowed int) {
	gang := j.Spec.Shape == protocol.Gang
	if gang && allowed < j.Spec.TaskCount {
		return
	}
	wanted := min(allowed, j.PendingTasks())
	limits := placement.ZoneLimitsOf(j)
	var allocated allocation
	if gang && j.Spec.SameZone && limits.OnlyZone == "" {
		allocated, limits = s.allocateInBestZone(now, j, limits)
	} else {
		allocated = s.allocate(now, j, limits, wanted)
	}
	if gang && len(allocated) < j.Spec.TaskCount {
		s.holdForGang(now, j, allocated, limits)
		return
	}
	s.bind(now, j, allocated)
	if len(allocated) < wanted {
		j.UnschedulableCycles++
		s.preempt(now, j, limits, wanted-len(allocated))
	} else {
		j.UnschedulableCycles = 0
	}
}

// allocate sets aside capacity for up to n tasks, one at a time, and updates the zone limits.
func (s *Scheduler) allocate(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	n int,
) (allocated allocation) {
	for task := j.NextPending(0); task >= 0 && len(allocated) < n; task = j.NextPending(task + 1) {
		best, attempted := s.selectMachine(now, j, task, limits)
		if best == nil {
			if attempted {
				continue // the excluded machine may still be used for another task
			}
			break
		}
		if j.Spec.Shape != protocol.Gang && s.waitForMachineWithImage(now, j, task, best, limits) {
			continue
		}
		s.stopCompetingFetches(now, j, best)
		s.candidates.SetFree(best, best.Free.Minus(j.TaskResources))
		limits.TasksPerZone[best.Machine.Zone]++
		if j.Spec.SameZone {
			limits.OnlyZone = best.Machine.Zone
		}
		allocated = append(allocated, allocatedTask{task: task, candidate: best})
	}
	return allocated
}

// selectMachine returns the best machine for a task, or nil. attempted is set if a machine was excluded only because an
// earlier attempt of the same task may still be on it.
func (s *Scheduler) selectMachine(
	now time.Duration,
	j *jobstate.Job,
	task int,
	limits *placement.ZoneLimits,
) (best *candidates.Candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.Spec.ID, Index: task}
	best = s.finder.BestMachine(now, j, limits, func(candidate *candidates.Candidate) bool {
		if !j.TaskResources.Fits(s.freeForJob(candidate, j)) || !s.rules.Feasible(now, j, candidate, limits) {
			return false
		}
		if candidate.Machine.HasAttempt(id) {
			attempted = true
			return false
		}
		return true
	})
	return best, attempted
}

// undoAllocation returns capacity that was set aside, so that later jobs of the cycle can use it.
func (s *Scheduler) undoAllocation(j *jobstate.Job, allocated allocation) {
	s.preemption.InvalidateFailedSearches()
	for _, a := range allocated {
		s.candidates.SetFree(a.candidate, a.candidate.Free.Plus(j.TaskResources))
	}
}

// allocateInBestZone allocates a gang that must run in a single zone. It chooses the zone that can hold the most tasks
// and, among equals, the one in which the image is available on all machines soonest.
func (s *Scheduler) allocateInBestZone(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
) (allocation, *placement.ZoneLimits) {
	bestZone, mostTasks, shortestFetch := "", -1, 0.0
	for _, zone := range s.zonesByAvailability(&j.Spec) {
		allocated, _ := s.allocateInZone(now, j, zone, limits.MaxTasksPerZone)
		fetch := s.longestFetchSeconds(now, j, allocated)
		s.undoAllocation(j, allocated)
		if len(allocated) > mostTasks || len(allocated) == mostTasks && fetch < shortestFetch {
			bestZone, mostTasks, shortestFetch = zone, len(allocated), fetch
		}
	}
	if bestZone == "" {
		return nil, limits
	}
	return s.allocateInZone(now, j, bestZone, limits.MaxTasksPerZone)
}

// allocateInZone allocates as many tasks of a job as fit into a zone.
func (s *Scheduler) allocateInZone(
	now time.Duration,
	j *jobstate.Job,
	zone string,
	maxTasks int,
) (allocation, *placement.ZoneLimits) {
	limits := &placement.ZoneLimits{OnlyZone: zone, TasksPerZone: map[string]int{}, MaxTasksPerZone: maxTasks}
	return s.allocate(now, j, limits, j.Spec.TaskCount), limits
}

// longestFetchSeconds returns the time, in seconds, until the image of the job is available on all machines of an
// allocation.
func (s *Scheduler) longestFetchSeconds(now time.Duration, j *jobstate.Job, allocated allocation) float64 {
	longest := 0.0
	for _, a := range allocated {
		longest = max(longest, s.machines.FetchTime(now, a.candidate.Machine, &j.Spec).Seconds())
	}
	return longest
}

// holdForGang holds capacity for a gang that does not fit as a whole, so that later jobs of the cycle cannot use it:
// the capacity that was allocated and, for each missing task, the machine with the most free capacity. In every
// (gangHoldCycles+1)th cycle it holds no capacity, so that smaller jobs can backfill.
func (s *Scheduler) holdForGang(
	now time.Duration,
	j *jobstate.Job,
	allocated allocation,
	limits *placement.ZoneLimits,
) {
	j.UnschedulableCycles++
	missing := j.Spec.TaskCount - len(allocated)
	s.preempt(now, j, limits, missing)
	if j.UnschedulableCycles%(gangHoldCycles+1) == 0 && !s.awaitsLentCapacity(now, j) {
		s.undoAllocation(j, allocated)
		return
	}
	nothingFree := machineregistry.Resources{CPUs: -1, GPUs: -1, MemoryGB: -1}
	held := map[*candidates.Candidate]bool{}
	for range missing {
		candidate := s.finder.MostFreeCapacity(now, j, limits, held)
		if candidate == nil {
			return
		}
		held[candidate] = true
		s.candidates.SetFree(candidate, nothingFree)
	}
}

// bind reserves the capacity of an allocation in the machine registry, all or nothing, and has the placements recorded.
// Their tasks start once the record is written.
func (s *Scheduler) bind(now time.Duration, j *jobstate.Job, allocated allocation) {
	if len(allocated) == 0 {
		return
	}
	placements := newPlacements(j, allocated)
	if !s.machines.Reserve(now, placements) {
		// The registry is authoritative. The next cycle tries again with refreshed candidates.
		s.cycle.due = true
		s.candidates.MarkStale()
		return
	}
	for _, pl := range placements {
		j.Bind(now, pl)
		if m := s.machines.Machine(pl.Machine); m.NominatedJob == j.Spec.ID {
			m.ClearNomination()
		}
	}
}

// newPlacements returns the placements of an allocation, each with a new attempt number. Attempt numbers are used up
// even if the capacity cannot be reserved.
func newPlacements(j *jobstate.Job, allocated allocation) []*machineregistry.Placement {
	gang := j.Spec.Shape == protocol.Gang
	gangAttempt := uint64(0)
	if gang {
		gangAttempt = j.NextAttempt(0)
	}
	placements := make([]*machineregistry.Placement, 0, len(allocated))
	for _, a := range allocated {
		attempt := gangAttempt
		if !gang {
			attempt = j.NextAttempt(a.task)
		}
		placements = append(placements, &machineregistry.Placement{
			Task:          protocol.TaskID{JobID: j.Spec.ID, Index: a.task},
			Attempt:       attempt,
			Machine:       a.candidate.Machine.Name,
			Resources:     j.TaskResources,
			Team:          j.Spec.Team,
			PriorityLevel: j.EffectivePriority,
			Job:           &j.Spec,
		})
		page := j.Pages.PageOf(a.task)
		page.HighestAttempt = max(page.HighestAttempt, attempt)
	}
	return placements
}
