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
func (c *Core) consolidate(now time.Duration, cands []*candidate) {
	if now-c.lastMove < movePause {
		return
	}
	var light []*candidate
	for _, x := range cands {
		if c.movable(now, x) {
			light = append(light, x)
		}
	}
	share := func(x *candidate) float64 {
		return partition.CapacityOf(x.kind).Minus(c.machines.Free(x.m)).Share(partition.CapacityOf(x.kind))
	}
	sort.SliceStable(light, func(a, b int) bool { return share(light[a]) < share(light[b]) })
	for _, x := range light {
		if !c.fitsElsewhere(now, x, cands, share) {
			continue
		}
		c.lastMove = now
		x.m.Placements(func(pl *partition.Placement) {
			c.log.Info("moving", "task", pl.Task, "from", pl.Machine)
		})
		for _, pl := range c.placementsOn(x.m) {
			c.stop(now, c.jobs[pl.Task.Job], pl, 0)
		}
		return
	}
}

func (c *Core) placementsOn(m *partition.Machine) (out []*partition.Placement) {
	m.Placements(func(pl *partition.Placement) { out = append(out, pl) })
	sort.Slice(out, func(a, b int) bool { return out[a].Task.String() < out[b].Task.String() })
	return out
}

// movable says whether a machine holds nothing but a few settled replicas.
func (c *Core) movable(now time.Duration, x *candidate) bool {
	if x.m.Count() == 0 || c.reserved(now, x.m, "") {
		return false
	}
	ok := true
	x.m.Placements(func(pl *partition.Placement) {
		j := c.jobs[pl.Task.Job]
		if j == nil || j.over || j.writing || j.spec.Shape != protocol.Service || pl.Stopping ||
			pl.State != protocol.TaskRunning || now-pl.Since < settled {
			ok = false
		}
	})
	cap := partition.CapacityOf(x.kind)
	return ok && cap.Minus(c.machines.Free(x.m)).Share(cap) <= 0.5
}

// fitsElsewhere says whether all that a machine holds fits on machines that
// are fuller, have the images and are in the same zone.
func (c *Core) fitsElsewhere(now time.Duration, x *candidate, cands []*candidate, share func(*candidate) float64) bool {
	taken := map[*candidate]partition.Need{}
	for _, pl := range c.placementsOn(x.m) {
		var best *candidate
		for _, y := range cands {
			if y == x || y.m.Zone != x.m.Zone || y.m.Spot || !y.kind.Allows(pl.Job) || share(y) < share(x) || y.m.Count() == 0 ||
				y.m.HasAttempt(pl.Task) || len(y.m.Errors) > 0 || c.machines.Warm(now, y.m, pl.Job) > 0 ||
				c.reserved(now, y.m, "") || !pl.Need.Fits(y.free.Minus(taken[y])) {
				continue
			}
			if best == nil || share(y) > share(best) {
				best = y
			}
		}
		if best == nil {
			return false
		}
		taken[best] = taken[best].Plus(pl.Need)
	}
	return true
}

// rewarm moves tasks that still fetch their image to a machine that has it and
// has come free meanwhile. Fetches take up to a third longer than the type
// says, and for large images that is longer than some aims on waiting; a task
// that has not started loses nothing by the move.
func (c *Core) rewarm(now time.Duration, j *job, cands []*candidate) {
	if c.held(j) || j.writing || j.counts[pending] > 0 || len(j.places) == 0 || math.IsInf(c.waitAim(j.spec.Class), 1) {
		return
	}
	if j.spec.Shape == protocol.Gang && j.spec.Tasks > 1 {
		return // its tasks wait for the slowest, and would have to move together
	}
	for _, pl := range placements(j) {
		m := c.machines.Machine(pl.Machine)
		if m == nil || !pl.Seen || pl.Stopping || pl.State != protocol.Fetching ||
			c.machines.Warm(now, m, &j.spec) < config.Seconds(3*c.cfg.Workers.ReportS) {
			continue
		}
		l := c.limits(j)
		l.perZone[pl.Zone]--
		if len(j.places) == 1 {
			l.zone = j.spec.Zone
		}
		var best *candidate
		for _, x := range cands {
			if x.m != m && c.fits(now, j, x, l) && c.machines.Warm(now, x.m, &j.spec) == 0 && j.need.Fits(c.room(x, j)) &&
				!x.m.HasAttempt(pl.Task) && len(x.m.Errors) == 0 && (best == nil || c.score(now, j, x, l) < c.score(now, j, best, l)) {
				best = x
			}
		}
		if best == nil {
			continue
		}
		c.log.Info("moving to a machine with the image", "task", pl.Task, "from", pl.Machine, "to", best.m.Name)
		best.free = best.free.Minus(j.need)
		best.m.Reserved, best.m.ReservedUntil = j.spec.ID, now+config.Seconds(2*c.cfg.Workers.ReportS)
		c.stop(now, j, pl, 0)
		return
	}
}
