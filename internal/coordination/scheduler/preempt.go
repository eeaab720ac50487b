package scheduler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// displace says whether a task should rather wait a moment for room on a
// machine that has its image, because the fetch on the machine at hand would
// last longer than the class's aim on waiting. It clears such room of work
// that is at least two steps lower in priority. Free room is no reason to make
// a critical replica wait for a fetch of most of a minute.
func (c *Core) displace(now time.Duration, j *job, task int, x *candidate, l *limits) bool {
	within := c.waitAim(j.spec.Class)
	if math.IsInf(within, 1) || c.mayBorrow(j) {
		return false
	}
	left := config.Seconds(within) - (now - j.known)
	if left <= 0 && j.ran[task] {
		left = config.Seconds(within) // a replica that was lost should be back as soon
	}
	if left <= 0 || c.machines.FetchTimeWithout(now, x.m, &j.spec, c.fetchesYield(j)) <= left {
		return false
	}
	for _, y := range c.reservedFor(now, j) {
		// Room that is free by now is no longer waited for: had it been the
		// better one, the task would have got it.
		if !y.taken && l.allow(y.m.Zone) && !j.need.Fits(y.free) {
			c.setTaken(y) // being cleared for one task of the job already
			l.perZone[y.m.Zone]++
			return true
		}
	}
	return c.clear(now, j, l, left, j.level+2)
}

// preempt stops work of lower priority to make room for up to n tasks, on the
// machines where least is lost, and reserves the room.
func (c *Core) preempt(now time.Duration, j *job, l *limits, n int) {
	if c.mayBorrow(j) && c.borrowCapacity(now, j, l, n) {
		return // its room comes by the ledger, or not at all
	}
	if j.short < 2 {
		return
	}
	n -= len(c.reservedFor(now, j)) // cleared already, and not yet free
	for ; n > 0 && c.clear(now, j, l, math.MaxInt64, j.level+1); n-- {
	}
}

// beginPreemption gives the cycle its share of searches for work to stop.
func (c *Core) beginPreemption() {
	c.preemptionLeft = c.preemptionLooks
	c.noVictims = map[kind]uint64{}
}

// endPreemption begins a new round of searches if all that waited have had theirs.
func (c *Core) endPreemption() {
	if c.preemptionLeft > 0 {
		c.preemptionRound++
	}
}

// maySearchVictims says whether work to stop may be looked for now. When the searches of a
// cycle are used up, the jobs that had theirs in this round wait until the others have had one.
func (c *Core) maySearchVictims(j *job, k kind) bool {
	if at, ok := c.noVictims[k]; ok && at == c.roomEvents {
		return false // none was found for its like, and no room has come up since
	}
	if c.preemptionLeft <= 0 {
		return false
	}
	if j.preemptionRound == c.preemptionRound && j.preemptionCycle != c.cycles {
		return false // it had its turn in an earlier cycle of the round
	}
	j.preemptionRound, j.preemptionCycle = c.preemptionRound, c.cycles
	return true
}

// clear makes room for one task on the machine where that costs least, among
// those where the task could run within the given time, and reserves it. Only
// work of at least the given level leaves.
func (c *Core) clear(now time.Duration, j *job, l *limits, within time.Duration, level int) bool {
	k := j.kind()
	k.victims = level
	if !c.maySearchVictims(j, k) {
		return false
	}
	best, victims := c.find.cheapest(now, j, l, within, level)
	if best == nil {
		if within == math.MaxInt64 && len(j.avoids()) == 0 && len(j.reserved) == 0 && !c.inZoneFailover() {
			c.noVictims[k] = c.roomEvents
		}
		return false
	}
	wait := 0.0
	patience := c.patience(now, j, c.machines.FetchTime(now, best.m, &j.spec))
	for _, v := range victims {
		if !v.Stopping {
			c.stopFor(now, v, j.spec.ID, patience)
		}
		wait = max(wait, v.GraceS)
	}
	c.setTaken(best)
	l.perZone[best.m.Zone]++
	c.reserve(best.m, j, now+config.Seconds(wait+3*c.cfg.Workers.HeartbeatSeconds)+Cycle)
	return true
}

// stopFor stops a placement for another job that wants its room, and can wait for work to be
// saved for as long as the patience.
func (c *Core) stopFor(now time.Duration, pl *partition.Placement, id string, patience time.Duration) {
	c.log.Info("preempted", "task", pl.Task, "for", id, "machine", pl.Machine)
	if pl.Job != nil && pl.Job.SaveSeconds >= pl.Job.CheckpointIntervalSeconds/2 {
		patience = 0 // to save takes as long as what is lost without, and the room is wanted
	}
	c.stopOrderly(now, pl, patience)
}

// patience is how long a job can wait for work to be saved and still start in
// the time that its class's aim asks for. One that will be late anyhow, or has
// no such aim, waits as long as it takes.
func (c *Core) patience(now time.Duration, j *job, warm time.Duration) time.Duration {
	within := c.waitAim(j.spec.Class)
	if left := config.Seconds(within) - (now - j.known) - warm; !math.IsInf(within, 1) && left > 0 {
		return left
	}
	return math.MaxInt64
}

// victims chooses the work that would have to leave a machine. Its cost is in
// seconds of work lost or moved.
func (c *Core) victims(now time.Duration, j *job, x *candidate, level int) (out []*partition.Placement, cost float64, ok bool) {
	room := x.free // less what this cycle has given away already
	var lower []*partition.Placement
	x.m.EachPlacement(func(pl *partition.Placement) {
		switch {
		case pl.Stopping:
			room = room.Plus(pl.Resources)
			out = append(out, pl)
		case c.mayPreempt(j, pl, level):
			lower = append(lower, pl)
		}
	})
	sort.Slice(lower, func(a, b int) bool {
		if lower[a].PriorityLevel != lower[b].PriorityLevel {
			return lower[a].PriorityLevel > lower[b].PriorityLevel
		}
		if ja, jb := c.age(now, lower[a]), c.age(now, lower[b]); ja != jb {
			return ja < jb
		}
		if lower[a].StateSince != lower[b].StateSince {
			return lower[a].StateSince > lower[b].StateSince
		}
		return lower[a].Task.String() < lower[b].Task.String()
	})
	for _, pl := range lower {
		if j.need.Fits(room) {
			break
		}
		room = room.Plus(pl.Resources)
		out = append(out, pl)
		lost := (now - pl.StateSince).Seconds()
		if pl.Job != nil && pl.Job.CheckpointIntervalSeconds > 0 {
			lost = pl.Job.SaveSeconds
		}
		// An old job has been passed over or stopped before, and is the more
		// likely to be late for it.
		cost += 1 + lost*pl.Resources.DominantShare(partition.CapacityOf(x.kind)) + c.age(now, pl).Seconds()/10
		if pl.Job != nil && pl.Job.Shape == protocol.Gang {
			// All of it has to find room, and often its image, again.
			cost += float64(pl.Job.TaskCount) * x.kind.BootSeconds
		}
	}
	return out, cost, len(out) > 0 && j.need.Fits(room)
}

// mayPreempt says whether a placement may be stopped to make room for a job: work of at
// least the given level, and work of any level that another team runs beyond its
// guarantee, for a team within its own. What a team runs within its guarantee need not
// yield to another team. Lower work of other teams had been spared altogether: a guest's
// idle-time batch then kept whole machines while urgent gangs waited for minutes.
func (c *Core) mayPreempt(j *job, pl *partition.Placement, level int) bool {
	if c.recoversBefore(pl, j) {
		return false
	}
	if pl.Team == j.spec.Team {
		return pl.PriorityLevel >= level
	}
	return c.borrows(pl) && (pl.PriorityLevel >= level || c.guaranteed(j))
}

// age is how long the job of a placement has been known.
func (c *Core) age(now time.Duration, pl *partition.Placement) time.Duration {
	if j := c.jobs[pl.Task.JobID]; j != nil {
		return now - j.known
	}
	return 0
}
