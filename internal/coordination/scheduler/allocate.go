package scheduler

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// gangHoldCycles is the number of cycles in a row for which the partial capacity of a gang is held. In the
// cycle after them smaller jobs may backfill it.
const gangHoldCycles = 3

// allocation is the capacity that the current cycle has set aside for tasks of a job.
type allocation []allocatedTask

type allocatedTask struct {
	task      int
	candidate *candidates.Candidate
}

// placeJob places as many of a job's tasks as there is capacity for, up to the given number. A gang is
// placed as a whole or not at all.
func (c *Scheduler) placeJob(now time.Duration, j *jobstate.Job, allowed int) {
	gang := j.Spec.Shape == protocol.Gang
	if gang && allowed < j.Spec.TaskCount {
		return
	}
	wanted := min(allowed, j.PendingTasks())
	limits := placement.ZoneLimitsOf(j)
	var allocated allocation
	if gang && j.Spec.SameZone && limits.OnlyZone == "" {
		allocated, limits = c.allocateInBestZone(now, j, limits)
	} else {
		allocated = c.allocate(now, j, limits, wanted)
	}
	if gang && len(allocated) < j.Spec.TaskCount {
		c.holdForGang(now, j, allocated, limits)
		return
	}
	c.bind(now, j, allocated)
	if len(allocated) < wanted {
		j.UnschedulableCycles++
		c.preempt(now, j, limits, wanted-len(allocated))
	} else {
		j.UnschedulableCycles = 0
	}
}

// allocate sets capacity aside for up to n tasks, one after the other, and updates the zone limits.
func (c *Scheduler) allocate(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
	n int,
) (allocated allocation) {
	for task := j.NextPending(0); task >= 0 && len(allocated) < n; task = j.NextPending(task + 1) {
		x, attempted := c.selectMachine(now, j, task, limits)
		if x == nil {
			if attempted {
				continue // another task may run there
			}
			break
		}
		if j.Spec.Shape != protocol.Gang && c.waitForMachineWithImage(now, j, task, x, limits) {
			continue
		}
		c.stopCompetingFetches(now, j, x)
		c.candidates.SetFree(x, x.Free.Minus(j.TaskResources))
		limits.TasksPerZone[x.Machine.Zone]++
		if j.Spec.SameZone {
			limits.OnlyZone = x.Machine.Zone
		}
		allocated = append(allocated, allocatedTask{task: task, candidate: x})
	}
	return allocated
}

// selectMachine returns the best machine for a task, or nil. attempted reports that a machine was passed
// over only because an earlier attempt of this very task may still be there.
func (c *Scheduler) selectMachine(
	now time.Duration,
	j *jobstate.Job,
	task int,
	limits *placement.ZoneLimits,
) (best *candidates.Candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.Spec.ID, Index: task}
	best = c.finder.BestMachine(now, j, limits, func(x *candidates.Candidate) bool {
		if !j.TaskResources.Fits(c.freeForJob(x, j)) || !c.rules.Feasible(now, j, x, limits) {
			return false
		}
		if x.Machine.HasAttempt(id) {
			attempted = true
			return false
		}
		return true
	})
	return best, attempted
}

// undoAllocation gives capacity that was set aside to later jobs of the cycle.
func (c *Scheduler) undoAllocation(j *jobstate.Job, allocated allocation) {
	c.preemption.CapacityMayBeFree()
	for _, a := range allocated {
		c.candidates.SetFree(a.candidate, a.candidate.Free.Plus(j.TaskResources))
	}
}

// allocateInBestZone allocates a gang that must be in one zone, in the zone that holds most of it. Of zones
// that hold as much, the one in which its images are there first.
func (c *Scheduler) allocateInBestZone(
	now time.Duration,
	j *jobstate.Job,
	limits *placement.ZoneLimits,
) (allocation, *placement.ZoneLimits) {
	bestZone, mostTasks, shortestFetch := "", -1, 0.0
	for _, zone := range c.zonesByAvailability(&j.Spec) {
		allocated, _ := c.allocateInZone(now, j, zone, limits.MaxTasksPerZone)
		fetch := c.longestFetchSeconds(now, j, allocated)
		c.undoAllocation(j, allocated)
		if len(allocated) > mostTasks || len(allocated) == mostTasks && fetch < shortestFetch {
			bestZone, mostTasks, shortestFetch = zone, len(allocated), fetch
		}
	}
	if bestZone == "" {
		return nil, limits
	}
	return c.allocateInZone(now, j, bestZone, limits.MaxTasksPerZone)
}

// allocateInZone allocates as much of a job as fits into a zone.
func (c *Scheduler) allocateInZone(
	now time.Duration,
	j *jobstate.Job,
	zone string,
	maxTasks int,
) (allocation, *placement.ZoneLimits) {
	limits := &placement.ZoneLimits{OnlyZone: zone, TasksPerZone: map[string]int{}, MaxTasksPerZone: maxTasks}
	return c.allocate(now, j, limits, j.Spec.TaskCount), limits
}

// longestFetchSeconds returns how long it takes until the job's image is on all machines of an allocation.
func (c *Scheduler) longestFetchSeconds(now time.Duration, j *jobstate.Job, allocated allocation) float64 {
	longest := 0.0
	for _, a := range allocated {
		longest = max(longest, c.machines.FetchTime(now, a.candidate.Machine, &j.Spec).Seconds())
	}
	return longest
}

// holdForGang holds capacity for a gang that does not fit as a whole, against the later jobs of the cycle:
// what was allocated, and for each other task the machine with the most free capacity. Every few cycles it
// holds nothing, and smaller jobs may backfill.
func (c *Scheduler) holdForGang(
	now time.Duration,
	j *jobstate.Job,
	allocated allocation,
	limits *placement.ZoneLimits,
) {
	j.UnschedulableCycles++
	missing := j.Spec.TaskCount - len(allocated)
	c.preempt(now, j, limits, missing)
	if j.UnschedulableCycles%(gangHoldCycles+1) == 0 && !c.awaitsLentCapacity(now, j) {
		c.undoAllocation(j, allocated)
		return
	}
	nothingFree := machineregistry.Resources{CPUs: -1, GPUs: -1, MemoryGB: -1}
	held := map[*candidates.Candidate]bool{}
	for range missing {
		x := c.finder.MostFreeCapacity(now, j, limits, held)
		if x == nil {
			return
		}
		held[x] = true
		c.candidates.SetFree(x, nothingFree)
	}
}

// bind reserves the capacity of an allocation in the machine registry, all or nothing, and has the
// placements recorded. Their tasks start once the record is written.
func (c *Scheduler) bind(now time.Duration, j *jobstate.Job, allocated allocation) {
	if len(allocated) == 0 {
		return
	}
	placements := newPlacements(j, allocated)
	if !c.machines.Reserve(now, placements) {
		// The registry knows better. The next cycle asks again with what the registry says.
		c.cycle.due = true
		c.candidates.MarkStale()
		return
	}
	for _, pl := range placements {
		j.Bind(now, pl)
		if m := c.machines.Machine(pl.Machine); m.NominatedJob == j.Spec.ID {
			m.ClearNomination()
		}
	}
}

// newPlacements returns the placements of an allocation, with new attempt numbers. The numbers count as used
// even if the capacity is not reserved.
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
