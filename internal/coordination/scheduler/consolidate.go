package scheduler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
)

// startCountsAfter is how long a replica runs before it may be moved: a start counts
// only if no command stops the task within this time, by the protocol.
const startCountsAfter = 30 * time.Second

// consolidation is the state between two consolidations.
type consolidation struct {
	lastAt time.Duration
	cursor string // the machine at which the next search for machines to empty begins
}

// consolidationPause is the time between two machines that are emptied.
const consolidationPause = 2 * CycleInterval

// consolidate empties a machine that only few replicas hold, by moving them to
// machines in the same zone that have room and the image. Such a move takes a
// replica away for a moment, while a machine held by one small replica is paid
// for as long as it lives. The old attempt is proven gone before the new one
// starts, as always.
func (c *Scheduler) consolidate(now time.Duration) {
	if now-c.consolidation.lastAt < consolidationPause {
		return
	}
	light := c.underutilizedMachines(now)
	sort.SliceStable(light, func(a, b int) bool { return c.utilization(light[a]) < c.utilization(light[b]) })
	for _, x := range light {
		if !c.fitsElsewhere(now, x) {
			continue
		}
		c.consolidation.lastAt = now
		x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
			c.log.Info("moving", "task", pl.Task, "from", pl.Machine)
		})
		for _, pl := range c.placementsOn(x.Machine) {
			c.stopPlacement(now, c.jobs[pl.Task.JobID], pl, 0)
		}
		return
	}
}

// utilization is the part of a machine that is in use.
func (c *Scheduler) utilization(x *candidates.Candidate) float64 {
	capacity := x.Capacity()
	return capacity.Minus(c.machines.FreeCapacity(x.Machine)).DominantShare(capacity)
}

// underutilizedMachines lists machines that could be emptied. In a large fleet it looks at a part of
// the machines, and the next time at the next.
func (c *Scheduler) underutilizedMachines(now time.Duration) (light []*candidates.Candidate) {
	left := placement.MaxExaminedMachines
	from := c.consolidation.cursor
	c.consolidation.cursor = ""
	c.machines.EachFrom(from, func(m *machineregistry.Machine) bool {
		if left--; left < 0 {
			c.consolidation.cursor = m.Name
			return false
		}
		if x := c.candidates.Of(now, m); x != nil && c.canBeEmptied(now, x) {
			light = append(light, x)
		}
		return true
	})
	return light
}

func (c *Scheduler) placementsOn(m *machineregistry.Machine) (out []*machineregistry.Placement) {
	m.EachPlacement(func(pl *machineregistry.Placement) { out = append(out, pl) })
	sort.Slice(out, func(a, b int) bool { return out[a].Task.String() < out[b].Task.String() })
	return out
}

// canBeEmptied says whether a machine holds nothing but a few settled replicas.
func (c *Scheduler) canBeEmptied(now time.Duration, x *candidates.Candidate) bool {
	if x.Machine.PlacementCount() == 0 || c.rules.NominatedForOther(now, x.Machine, "") {
		return false
	}
	ok := true
	x.Machine.EachPlacement(func(pl *machineregistry.Placement) {
		j := c.jobs[pl.Task.JobID]
		if j == nil || j.Ended || j.WriteInFlight || j.Spec.Shape != protocol.Service || pl.Stopping ||
			pl.State != protocol.TaskRunning || now-pl.StateSince < startCountsAfter {
			ok = false
		}
	})
	return ok && c.utilization(x) <= 0.5
}

// fitsElsewhere says whether all that a machine holds fits on machines that
// are fuller, have the images and are in the same zone.
func (c *Scheduler) fitsElsewhere(now time.Duration, x *candidates.Candidate) bool {
	taken := map[*candidates.Candidate]machineregistry.Resources{}
	for _, pl := range c.placementsOn(x.Machine) {
		best := c.fullestTarget(now, x, pl, taken)
		if best == nil {
			return false
		}
		taken[best] = taken[best].Plus(pl.Resources)
	}
	return true
}

// fullestTarget returns the fullest machine that a placement could move to, or nil.
func (c *Scheduler) fullestTarget(
	now time.Duration,
	x *candidates.Candidate,
	pl *machineregistry.Placement,
	taken map[*candidates.Candidate]machineregistry.Resources,
) (best *candidates.Candidate) {
	set := c.machines.MachinesWithImage(pl.Job.Image)
	if set == nil {
		return nil
	}
	looks := 0
	set.Scan(func(m *machineregistry.Machine) bool {
		if looks++; looks > placement.MaxExaminedMachines {
			return false
		}
		y := c.candidates.Of(now, m)
		if y == nil || y == x || m.Zone != x.Machine.Zone || m.Spot || !y.Type.AllowedBy(pl.Job) ||
			c.utilization(y) < c.utilization(x) ||
			m.PlacementCount() == 0 ||
			m.HasAttempt(pl.Task) ||
			len(m.FailedJobs) > 0 ||
			c.machines.FetchTime(now, m, pl.Job) > 0 ||
			c.rules.NominatedForOther(now, m, "") ||
			!pl.Resources.Fits(y.Free.Minus(taken[y])) {
			return true
		}
		if best == nil || c.utilization(y) > c.utilization(best) {
			best = y
		}
		return true
	})
	return best
}

// relocateFetchingTasks has a look at the jobs of which tasks may still fetch their image.
func (c *Scheduler) relocateFetchingTasks(now time.Duration) {
	for _, j := range c.inSchedulingOrder(c.queues.Fetching) {
		if !c.mayRelocate(j) || !mayBeFetching(j) {
			c.queues.Fetching.Delete(j)
			continue
		}
		c.relocateFetchingTask(now, j)
	}
}

// mayRelocate says whether tasks of a job are ever moved to a machine with its image. Those of a
// gang wait for the slowest, and would have to move together.
func (c *Scheduler) mayRelocate(j *jobstate.Job) bool {
	return !j.Ended && !math.IsInf(c.rules.StartLatency.Seconds(j.Spec.Class), 1) &&
		(j.Spec.Shape != protocol.Gang || j.Spec.TaskCount == 1)
}

// mayBeFetching says whether a task of the job may still fetch its image.
func mayBeFetching(j *jobstate.Job) bool {
	for _, pl := range j.Placements {
		if !pl.Reported || pl.State == protocol.TaskFetching {
			return true
		}
	}
	return false
}

// relocateFetchingTask moves tasks that still fetch their image to a machine that has it and
// has come free meanwhile. Fetches take up to a third longer than the type
// says, and for large images that is longer than some aims on waiting; a task
// that has not started loses nothing by the move.
func (c *Scheduler) relocateFetchingTask(now time.Duration, j *jobstate.Job) {
	if c.startForbidden(j) || j.WriteInFlight || j.TaskCounts[jobstate.TaskPending] > 0 {
		return
	}
	for _, pl := range sortedPlacements(j) {
		m := c.machines.Machine(pl.Machine)
		if m == nil || !pl.Reported || pl.Stopping || pl.State != protocol.TaskFetching ||
			c.machines.FetchTime(now, m, &j.Spec) < config.Seconds(3*c.cfg.Workers.HeartbeatSeconds) {
			continue
		}
		l := placement.ZoneLimitsOf(j)
		l.TasksPerZone[pl.Zone]--
		if len(j.Placements) == 1 {
			l.OnlyZone = j.Spec.Zone
		}
		best := c.finder.BestWithImage(now, j, l, func(x *candidates.Candidate) bool {
			return x.Machine != m && c.rules.Feasible(now, j, x, l) && j.TaskResources.Fits(c.freeForJob(x, j)) &&
				!x.Machine.HasAttempt(pl.Task) &&
				len(x.Machine.FailedJobs) == 0
		})
		if best == nil {
			continue
		}
		c.log.Info("moving to a machine with the image", "task", pl.Task, "from", pl.Machine, "to", best.Machine.Name)
		c.candidates.SetFree(best, best.Free.Minus(j.TaskResources))
		c.rules.Nominate(best.Machine, j, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
		c.stopPlacement(now, j, pl, 0)
		return
	}
}
