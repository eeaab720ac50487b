package scheduler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// settled is how long a replica runs before it may be moved: a start counts
// only if no command stops the task within this time, by the protocol.
const settled = 30 * time.Second

// movePause is the time between two machines that are emptied.
const movePause = 2 * Cycle

// consolidate empties a machine that only few replicas hold, by moving them to
// machines in the same zone that have room and the image. Such a move takes a
// replica away for a moment, while a machine held by one small replica is paid
// for as long as it lives. The old attempt is proven gone before the new one
// starts, as always.
func (c *Core) consolidate(now time.Duration) {
	if now-c.lastMove < movePause {
		return
	}
	light := c.lightMachines(now)
	sort.SliceStable(light, func(a, b int) bool { return c.usedShare(light[a]) < c.usedShare(light[b]) })
	for _, x := range light {
		if !c.fitsElsewhere(now, x) {
			continue
		}
		c.lastMove = now
		x.m.EachPlacement(func(pl *partition.Placement) {
			c.log.Info("moving", "task", pl.Task, "from", pl.Machine)
		})
		for _, pl := range c.placementsOn(x.m) {
			c.stop(now, c.jobs[pl.Task.JobID], pl, 0)
		}
		return
	}
}

// usedShare is the part of a machine that is in use.
func (c *Core) usedShare(x *candidate) float64 {
	capacity := partition.CapacityOf(x.kind)
	return capacity.Minus(c.machines.FreeCapacity(x.m)).DominantShare(capacity)
}

// lightMachines lists machines that could be emptied. In a large fleet it looks at a part of
// the machines, and the next time at the next.
func (c *Core) lightMachines(now time.Duration) (light []*candidate) {
	left := maxLooks
	from := c.lightFrom
	c.lightFrom = ""
	c.machines.EachFrom(from, func(m *partition.Machine) bool {
		if left--; left < 0 {
			c.lightFrom = m.Name
			return false
		}
		if x := c.candidateOf(now, m); x != nil && c.movable(now, x) {
			light = append(light, x)
		}
		return true
	})
	return light
}

func (c *Core) placementsOn(m *partition.Machine) (out []*partition.Placement) {
	m.EachPlacement(func(pl *partition.Placement) { out = append(out, pl) })
	sort.Slice(out, func(a, b int) bool { return out[a].Task.String() < out[b].Task.String() })
	return out
}

// movable says whether a machine holds nothing but a few settled replicas.
func (c *Core) movable(now time.Duration, x *candidate) bool {
	if x.m.PlacementCount() == 0 || c.reserved(now, x.m, "") {
		return false
	}
	ok := true
	x.m.EachPlacement(func(pl *partition.Placement) {
		j := c.jobs[pl.Task.JobID]
		if j == nil || j.over || j.writeInFlight || j.spec.Shape != protocol.Service || pl.Stopping ||
			pl.State != protocol.TaskRunning || now-pl.StateSince < settled {
			ok = false
		}
	})
	return ok && c.usedShare(x) <= 0.5
}

// fitsElsewhere says whether all that a machine holds fits on machines that
// are fuller, have the images and are in the same zone.
func (c *Core) fitsElsewhere(now time.Duration, x *candidate) bool {
	taken := map[*candidate]partition.Resources{}
	for _, pl := range c.placementsOn(x.m) {
		best := c.fuller(now, x, pl, taken)
		if best == nil {
			return false
		}
		taken[best] = taken[best].Plus(pl.Resources)
	}
	return true
}

// fuller returns the fullest machine that a placement could move to, or nil.
func (c *Core) fuller(now time.Duration, x *candidate, pl *partition.Placement, taken map[*candidate]partition.Resources) (best *candidate) {
	set := c.machines.MachinesWithImage(pl.Job.Image)
	if set == nil {
		return nil
	}
	looks := 0
	set.Scan(func(m *partition.Machine) bool {
		if looks++; looks > maxLooks {
			return false
		}
		y := c.candidateOf(now, m)
		if y == nil || y == x || m.Zone != x.m.Zone || m.Spot || !y.kind.AllowedBy(pl.Job) || c.usedShare(y) < c.usedShare(x) || m.PlacementCount() == 0 ||
			m.HasAttempt(pl.Task) || len(m.FailedJobs) > 0 || c.machines.FetchTime(now, m, pl.Job) > 0 ||
			c.reserved(now, m, "") || !pl.Resources.Fits(y.free.Minus(taken[y])) {
			return true
		}
		if best == nil || c.usedShare(y) > c.usedShare(best) {
			best = y
		}
		return true
	})
	return best
}

// refetchAll has a look at the jobs of which tasks may still fetch their image.
func (c *Core) refetchAll(now time.Duration) {
	for _, j := range c.inTurn(c.queues.fetchingJobs) {
		if !c.mayRewarm(j) || !fetches(j) {
			c.queues.fetchingJobs.Delete(j)
			continue
		}
		c.refetch(now, j)
	}
}

// mayRewarm says whether tasks of a job are ever moved to a machine with its image. Those of a
// gang wait for the slowest, and would have to move together.
func (c *Core) mayRewarm(j *job) bool {
	return !j.over && !math.IsInf(c.waitAim(j.spec.Class), 1) && (j.spec.Shape != protocol.Gang || j.spec.TaskCount == 1)
}

// fetches says whether a task of the job may still fetch its image.
func fetches(j *job) bool {
	for _, pl := range j.places {
		if !pl.Reported || pl.State == protocol.TaskFetching {
			return true
		}
	}
	return false
}

// refetch moves tasks that still fetch their image to a machine that has it and
// has come free meanwhile. Fetches take up to a third longer than the type
// says, and for large images that is longer than some aims on waiting; a task
// that has not started loses nothing by the move.
func (c *Core) refetch(now time.Duration, j *job) {
	if c.held(j) || j.writeInFlight || j.counts[pending] > 0 {
		return
	}
	for _, pl := range placements(j) {
		m := c.machines.Machine(pl.Machine)
		if m == nil || !pl.Reported || pl.Stopping || pl.State != protocol.TaskFetching ||
			c.machines.FetchTime(now, m, &j.spec) < config.Seconds(3*c.cfg.Workers.HeartbeatSeconds) {
			continue
		}
		l := c.limits(j)
		l.perZone[pl.Zone]--
		if len(j.places) == 1 {
			l.zone = j.spec.Zone
		}
		best := c.find.withImage(now, j, l, func(x *candidate) bool {
			return x.m != m && c.fits(now, j, x, l) && j.need.Fits(c.room(x, j)) && !x.m.HasAttempt(pl.Task) && len(x.m.FailedJobs) == 0
		})
		if best == nil {
			continue
		}
		c.log.Info("moving to a machine with the image", "task", pl.Task, "from", pl.Machine, "to", best.m.Name)
		c.setFree(best, best.free.Minus(j.need))
		c.reserve(best.m, j, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
		c.stop(now, j, pl, 0)
		return
	}
}
