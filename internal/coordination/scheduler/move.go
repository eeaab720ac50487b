package scheduler

import (
	"sort"
	"time"

	"pinebay/internal/coordination/part"
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
		return part.CapacityOf(x.kind).Minus(c.part.Free(x.m)).Share(part.CapacityOf(x.kind))
	}
	sort.SliceStable(light, func(a, b int) bool { return share(light[a]) < share(light[b]) })
	for _, x := range light {
		if !c.fitsElsewhere(now, x, cands, share) {
			continue
		}
		c.lastMove = now
		x.m.Placements(func(pl *part.Placement) {
			c.log.Info("moving", "task", pl.Task, "from", pl.Machine)
		})
		for _, pl := range c.placementsOn(x.m) {
			c.stop(now, c.jobs[pl.Task.Job], pl, 0, false)
		}
		return
	}
}

func (c *Core) placementsOn(m *part.Machine) (out []*part.Placement) {
	m.Placements(func(pl *part.Placement) { out = append(out, pl) })
	sort.Slice(out, func(a, b int) bool { return out[a].Task.String() < out[b].Task.String() })
	return out
}

// movable says whether a machine holds nothing but a few settled replicas.
func (c *Core) movable(now time.Duration, x *candidate) bool {
	if x.m.Count() == 0 || x.m.Reserved != "" && now < x.m.ReservedUntil {
		return false
	}
	ok := true
	x.m.Placements(func(pl *part.Placement) {
		j := c.jobs[pl.Task.Job]
		if j == nil || j.over || j.writing || j.spec.Shape != protocol.Service || pl.Stopping ||
			pl.State != protocol.TaskRunning || now-pl.Since < settled {
			ok = false
		}
	})
	cap := part.CapacityOf(x.kind)
	return ok && cap.Minus(c.part.Free(x.m)).Share(cap) <= 0.5
}

// fitsElsewhere says whether all that a machine holds fits on machines that
// are fuller, have the images and are in the same zone.
func (c *Core) fitsElsewhere(now time.Duration, x *candidate, cands []*candidate, share func(*candidate) float64) bool {
	taken := map[*candidate]part.Need{}
	for _, pl := range c.placementsOn(x.m) {
		var best *candidate
		for _, y := range cands {
			if y == x || y.m.Zone != x.m.Zone || y.m.Spot || !y.kind.Allows(pl.Job) || share(y) < share(x) || y.m.Count() == 0 ||
				y.m.Haunted(pl.Task) || len(y.m.Errors) > 0 || c.part.Warm(now, y.m, pl.Job) > 0 ||
				y.m.Reserved != "" && now < y.m.ReservedUntil || !pl.Need.Fits(y.free.Minus(taken[y])) {
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
