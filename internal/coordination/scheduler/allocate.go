package scheduler

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// gangHoldCycles is how many cycles a gang's partial room stays closed before
// smaller jobs may backfill it, for one cycle at a time.
const gangHoldCycles = 3

// maxFailuresPerSearchKey is after how many jobs of a kind that found no room the others of
// the kind are not tried in the same cycle: thousands of jobs that wait must
// not cost thousands of searches.
const maxFailuresPerSearchKey = 16

// runCycle is the cycle: jobs by priority, then age, teams in turn.
func (c *Scheduler) runCycle(now time.Duration) {
	c.cycleCount++
	c.rules.Cycle = c.cycleCount
	c.candidates.Refresh(now)
	waiting := c.schedulableJobs(now)
	c.orderGangsByDeadline(now, waiting)
	c.holdHeadroom(now)
	c.preemption.BeginCycle()
	failed := map[placement.SearchKey]int{}
	if c.inZoneFailover() {
		c.placeWithinQuota(now, waiting)
	}
	queue := c.newFairShareQueue(waiting)
	for j, ok := queue.Next(); ok; j, ok = queue.Next() {
		j.LastTriedCycle = c.cycleCount
		if len(j.ReservedMachines) > 0 {
			c.preemption.CapacityMayBeFree() // later jobs may take what it is nominated for
		}
		if j.TaskCounts[jobstate.TaskPending] == 0 {
			continue // placed within its team's guarantee just now
		}
		k := placement.SearchKeyOf(j)
		if failed[k] >= maxFailuresPerSearchKey {
			j.UnschedulableCycles++
			continue
		}
		before := j.TaskCounts[jobstate.TaskPending]
		c.placeJob(now, j, c.tasksWithinQuotaLimit(j))
		if j.Spec.Shape != protocol.Gang && j.TaskCounts[jobstate.TaskPending] == before {
			failed[k]++
		}
	}
	c.preemption.EndCycle()
	c.relocateFetchingTasks(now)
	// Last, with the room that is left: what waits still could not use it.
	c.consolidate(now)
}

// schedulableJobs lists the jobs that have tasks to place, in order.
func (c *Scheduler) schedulableJobs(now time.Duration) (waiting []*jobstate.Job) {
	c.queues.Pending.Scan(func(j *jobstate.Job) bool {
		if c.placeableNow(now, j) {
			j.LastWaitingCycle = c.cycleCount
			waiting = append(waiting, j)
		}
		return true
	})
	c.sortForRecovery(waiting)
	return waiting
}

// placeJob allocates as much of a job as there is room for, of so many tasks that are
// allowed: up to minAvailable or nothing for a gang, task by task for the others.
func (c *Scheduler) placeJob(now time.Duration, j *jobstate.Job, allowed int) {
	gang := j.Spec.Shape == protocol.Gang
	if gang && allowed < j.Spec.TaskCount {
		return
	}
	l := placement.ZoneLimitsOf(j)
	var got allocation
	if gang && j.Spec.SameZone && l.OnlyZone == "" {
		got, l = c.bestZone(now, j, l)
	} else {
		got = c.allocate(now, j, l, min(allowed, j.TaskCounts[jobstate.TaskPending]))
	}
	if gang && len(got) < j.Spec.TaskCount {
		c.holdForGang(now, j, got, l)
		return
	}
	wanted := min(allowed, j.TaskCounts[jobstate.TaskPending])
	c.bind(now, j, got)
	if len(got) < wanted {
		j.UnschedulableCycles++
		c.preempt(now, j, l, wanted-len(got))
	} else {
		j.UnschedulableCycles = 0
	}
}

// allocation is room taken for tasks.
type allocation []struct {
	task int
	x    *candidates.Candidate
}

// allocate takes room for up to n tasks, task by task.
func (c *Scheduler) allocate(now time.Duration, j *jobstate.Job, l *placement.ZoneLimits, n int) allocation {
	var got allocation
	for t := j.NextPending(0); t >= 0 && len(got) < n; t = j.NextPending(t + 1) {
		x, attempted := c.selectMachine(now, j, t, l)
		if x == nil {
			if attempted {
				continue
			}
			break
		}
		if j.Spec.Shape != protocol.Gang && c.waitForMachineWithImage(now, j, t, x, l) {
			continue
		}
		c.stopCompetingFetches(now, j, x)
		c.candidates.SetFree(x, x.Free.Minus(j.TaskResources))
		l.TasksPerZone[x.Machine.Zone]++
		if j.Spec.SameZone {
			l.OnlyZone = x.Machine.Zone
		}
		got = append(got, struct {
			task int
			x    *candidates.Candidate
		}{t, x})
	}
	return got
}

// selectMachine chooses the machine for a task. attempted says that one was passed over
// just for this task's sake, so that another task may still have it.
func (c *Scheduler) selectMachine(
	now time.Duration,
	j *jobstate.Job,
	task int,
	l *placement.ZoneLimits,
) (best *candidates.Candidate, attempted bool) {
	id := protocol.TaskID{JobID: j.Spec.ID, Index: task}
	best = c.finder.BestMachine(now, j, l, func(x *candidates.Candidate) bool {
		if !j.TaskResources.Fits(c.freeForJob(x, j)) || !c.rules.Feasible(now, j, x, l) {
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

func (c *Scheduler) undoAllocation(j *jobstate.Job, got allocation) {
	c.preemption.CapacityMayBeFree()
	for _, g := range got {
		c.candidates.SetFree(g.x, g.x.Free.Plus(j.TaskResources))
	}
}

// bestZone tries the zones for a gang that must be in one, and keeps the room
// in the one that holds all of it, or else most of it.
func (c *Scheduler) bestZone(
	now time.Duration,
	j *jobstate.Job,
	l *placement.ZoneLimits,
) (allocation, *placement.ZoneLimits) {
	best, bestN, bestScore := "", -1, 0.0
	try := func(z string) (allocation, *placement.ZoneLimits, float64) {
		zl := &placement.ZoneLimits{OnlyZone: z, TasksPerZone: map[string]int{}, MaxTasksPerZone: l.MaxTasksPerZone}
		got := c.allocate(now, j, zl, j.Spec.TaskCount)
		s := 0.0
		for _, g := range got {
			s = max(s, c.machines.FetchTime(now, g.x.Machine, &j.Spec).Seconds())
		}
		return got, zl, s
	}
	for _, z := range c.zonesByAvailability(&j.Spec) {
		got, _, s := try(z)
		c.undoAllocation(j, got)
		if len(got) > bestN || len(got) == bestN && s < bestScore {
			best, bestN, bestScore = z, len(got), s
		}
	}
	if best == "" {
		return nil, l
	}
	got, zl, _ := try(best)
	return got, zl
}

// holdForGang keeps the room of a short gang closed to others until the next cycle:
// what it was allocated, and for each task without room the machine that is
// nearest to having it. Every fourth short cycle smaller jobs may backfill.
func (c *Scheduler) holdForGang(now time.Duration, j *jobstate.Job, got allocation, l *placement.ZoneLimits) {
	j.UnschedulableCycles++
	missing := j.Spec.TaskCount - len(got)
	c.preempt(now, j, l, missing)
	if j.UnschedulableCycles%(gangHoldCycles+1) == 0 && !c.awaitsLentCapacity(now, j) {
		c.undoAllocation(j, got)
		return
	}
	taken := map[*candidates.Candidate]bool{}
	for range missing {
		x := c.finder.MostFreeCapacity(now, j, l, taken)
		if x == nil {
			return
		}
		taken[x] = true
		c.candidates.SetFree(x, machineregistry.Resources{CPUs: -1, GPUs: -1, MemoryGB: -1})
	}
}

// bind promises room for the tasks, and has their placements recorded.
func (c *Scheduler) bind(now time.Duration, j *jobstate.Job, got allocation) {
	if len(got) == 0 {
		return
	}
	attempt := uint64(0)
	if j.Spec.Shape == protocol.Gang {
		attempt = j.NextAttempt(0)
	}
	var ps []*machineregistry.Placement
	for _, g := range got {
		t, x := g.task, g.x
		a := attempt
		if a == 0 {
			a = j.NextAttempt(t)
		}
		ps = append(ps, &machineregistry.Placement{
			Task: protocol.TaskID{JobID: j.Spec.ID, Index: t}, Attempt: a, Machine: x.Machine.Name,
			Resources: j.TaskResources, Team: j.Spec.Team, PriorityLevel: j.EffectivePriority, Job: &j.Spec,
		})
		page := j.Pages.PageOf(t)
		page.HighestAttempt = max(page.HighestAttempt, a)
	}
	if !c.machines.Reserve(now, ps) {
		c.cycleDue = true
		c.candidates.MarkStale() // the registry knows better; ask again with what it says
		return
	}
	for _, pl := range ps {
		t := pl.Task.Index
		j.SetTask(t, jobstate.TaskPlaced)
		j.Placements[t] = pl
		j.MarkDirty(t, now)
		j.Unstarted = append(j.Unstarted, pl)
		j.Queues.AddPlaced(j)
		if m := c.machines.Machine(pl.Machine); m.ReservedJob == j.Spec.ID {
			m.ClearReservation()
		}
	}
}
