package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// shortCycles is how many cycles a gang's partial room stays closed before
// smaller jobs may backfill it, for one cycle at a time.
const shortCycles = 3

// candidate is a machine that takes new tasks in this cycle.
type candidate struct {
	m    *partition.Machine
	kind *protocol.MachineType
	free partition.Need // less what was granted or is held in this cycle
	// taken says that the room reserved on it is spoken for in this cycle.
	taken bool
	// kept is room for jobs to come.
	kept []kept
}

// kept is room for jobs to come of a class, against work of the given rank that
// can wait for longer. Of the class's own rank, it could not be preempted for them.
type kept struct {
	rank     int
	aim      float64 // the class's on waiting, in seconds
	position int     // the class's in the order of return, while that is in force
	need     partition.Need
}

// less is what is left of the free room for work of the rank with that aim on
// waiting, and that position in the order of return.
func (x *candidate) less(rank int, aim float64, position int) partition.Need {
	n := x.free
	for _, k := range x.kept {
		if k.rank == rank && k.aim < aim && k.position <= position {
			n = n.Minus(k.need)
		}
	}
	return n
}

// room is what a job may use of a candidate.
func (c *Core) room(x *candidate, j *job) partition.Need {
	if len(x.kept) == 0 {
		return x.free
	}
	return x.less(j.rank, c.waitAim(j.spec.Class), c.returnPosition(&j.spec))
}

// keep sets aside the room that classes with an aim on waiting are likely to
// want soon. Against lower work it needs no keeping where there is time to
// preempt that. While the order of return is in force, lower work must not have what
// is kept from higher work.
func (c *Core) keep(now time.Duration, cands []*candidate) {
	none := &limits{}
	recovering := c.recovering()
	for _, u := range c.spareNow {
		j := &job{spec: *u.Job, need: partition.NeedOf(u.Job), rank: u.Job.Priority.Rank()}
		aim, position := c.waitAim(u.Job.Class), c.returnPosition(u.Job)
		for range u.Count {
			var best *candidate
			bestScore := 0.0
			for _, x := range cands {
				if u.Zone != "" && u.Zone != x.m.Zone || !j.need.Fits(x.less(j.rank, math.Inf(1), math.MaxInt)) ||
					x.m.Spot && !j.spec.Spot || !x.kind.Allows(&j.spec) {
					continue
				}
				if s := c.score(now, j, x, none); best == nil || s < bestScore {
					best, bestScore = x, s
				}
			}
			if best == nil {
				break
			}
			for rank := j.rank; rank == j.rank || (u.Quick || recovering) && rank < fleet.Ranks; rank++ {
				best.kept = append(best.kept, kept{rank, aim, position, j.need})
			}
		}
	}
}

// candidates lists the machines that take new tasks now, with their free room.
func (c *Core) candidates(now time.Duration) (cands []*candidate) {
	c.machines.Each(func(m *partition.Machine) {
		if t := c.machines.Type(m.Type); t != nil && c.machines.Open(now, m) {
			cands = append(cands, &candidate{m: m, kind: t, free: c.machines.Free(m)})
		}
	})
	return cands
}

// schedule is the cycle: jobs by priority, then age, teams in turn.
func (c *Core) schedule(now time.Duration, jobs []*job) {
	var waiting []*job
	c.cycles++
	for _, j := range jobs {
		if c.waits(now, j) {
			j.queued = c.cycles
			waiting = append(waiting, j)
		}
	}
	c.byDeadline(now, waiting)
	cands := c.candidates(now)
	c.keep(now, cands)
	failed := map[kind]int{}
	if c.recovering() {
		c.placeGuaranteed(now, waiting, cands)
	}
	for len(waiting) > 0 {
		i := c.next(waiting)
		j := waiting[i]
		waiting = append(waiting[:i], waiting[i+1:]...)
		j.served = c.cycles
		if j.counts[pending] == 0 {
			continue // placed within its team's guarantee just now
		}
		k := j.kind()
		if failed[k] >= manyAlike {
			j.short++
			continue
		}
		before := j.counts[pending]
		c.place(now, j, cands, c.allowance(j))
		if j.spec.Shape != protocol.Gang && j.counts[pending] == before {
			failed[k]++
		}
	}
	for _, j := range jobs {
		c.rewarm(now, j, cands)
	}
	// Last, with the room that is left: what waits still could not use it.
	c.consolidate(now, cands)
}

// place allocates as much of a job as there is room for, of so many tasks that are
// allowed: up to minAvailable or nothing for a gang, task by task for the others.
func (c *Core) place(now time.Duration, j *job, cands []*candidate, allowed int) {
	gang := j.spec.Shape == protocol.Gang
	if gang && allowed < j.spec.Tasks {
		return
	}
	l := c.limits(j)
	var got allocation
	if gang && j.spec.SameZone && l.zone == "" {
		got, l = c.bestZone(now, j, cands, l)
	} else {
		got = c.allocate(now, j, cands, l, min(allowed, j.counts[pending]))
	}
	if gang && len(got) < j.spec.Tasks {
		c.hold(now, j, cands, got, l)
		return
	}
	wanted := min(allowed, j.counts[pending])
	c.grant(now, j, got)
	if len(got) < wanted {
		j.short++
		c.preempt(now, j, cands, l, wanted-len(got))
	} else {
		j.short = 0
	}
}

// allocation is room taken for tasks.
type allocation []struct {
	task int
	x    *candidate
}

// allocate takes room for up to n tasks, task by task.
func (c *Core) allocate(now time.Duration, j *job, cands []*candidate, l *limits, n int) allocation {
	var got allocation
	for t := j.nextPending(0); t >= 0 && len(got) < n; t = j.nextPending(t + 1) {
		x, attempted := c.pick(now, j, t, cands, l)
		if x == nil {
			if attempted {
				continue
			}
			break
		}
		if j.spec.Shape != protocol.Gang && c.displace(now, j, t, x, cands, l) {
			continue
		}
		c.stopCompetingFetches(now, j, x)
		x.free = x.free.Minus(j.need)
		l.perZone[x.m.Zone]++
		if j.spec.SameZone {
			l.zone = x.m.Zone
		}
		got = append(got, struct {
			task int
			x    *candidate
		}{t, x})
	}
	return got
}

func release(j *job, got allocation) {
	for _, g := range got {
		g.x.free = g.x.free.Plus(j.need)
	}
}

// bestZone tries the zones for a gang that must be in one, and keeps the room
// in the one that holds all of it, or else most of it.
func (c *Core) bestZone(now time.Duration, j *job, cands []*candidate, l *limits) (allocation, *limits) {
	best, bestN, bestScore := "", -1, 0.0
	try := func(z string) (allocation, *limits, float64) {
		zl := &limits{zone: z, perZone: map[string]int{}, most: l.most}
		got := c.allocate(now, j, cands, zl, j.spec.Tasks)
		s := 0.0
		for _, g := range got {
			s = max(s, c.machines.Warm(now, g.x.m, &j.spec).Seconds())
		}
		return got, zl, s
	}
	for _, z := range c.zonesToTry(&j.spec) {
		got, _, s := try(z)
		release(j, got)
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

// hold keeps the room of a short gang closed to others until the next cycle:
// what it was allocated, and for each task without room the machine that is
// nearest to having it. Every fourth short cycle smaller jobs may backfill.
func (c *Core) hold(now time.Duration, j *job, cands []*candidate, got allocation, l *limits) {
	j.short++
	missing := j.spec.Tasks - len(got)
	c.preempt(now, j, cands, l, missing)
	if j.short%(shortCycles+1) == 0 && !c.awaitsLoan(now, j, cands) {
		release(j, got)
		return
	}
	taken := map[*candidate]bool{}
	for range missing {
		var best *candidate
		for _, x := range cands {
			if taken[x] || !c.fits(now, j, x, l) || !j.need.Fits(partition.CapacityOf(x.kind)) {
				continue
			}
			if best == nil || x.free.Share(partition.CapacityOf(x.kind)) > best.free.Share(partition.CapacityOf(best.kind)) {
				best = x
			}
		}
		if best == nil {
			return
		}
		taken[best] = true
		best.free = partition.Need{CPUs: -1, GPUs: -1, MemoryGB: -1}
	}
}

// grant promises room for the tasks, and has their placements recorded.
func (c *Core) grant(now time.Duration, j *job, got allocation) {
	if len(got) == 0 {
		return
	}
	attempt := uint64(0)
	if j.spec.Shape == protocol.Gang {
		attempt = j.attempt(0)
	}
	var ps []*partition.Placement
	for _, g := range got {
		t, x := g.task, g.x
		a := attempt
		if a == 0 {
			a = j.attempt(t)
		}
		ps = append(ps, &partition.Placement{
			Task: protocol.TaskID{Job: j.spec.ID, Task: t}, Attempt: a, Machine: x.m.Name,
			Need: j.need, Team: j.spec.Team, Rank: j.rank, Job: &j.spec,
		})
		p := j.pageOf(t)
		p.attempts = max(p.attempts, a)
	}
	if !c.machines.Grant(now, ps) {
		c.due = true // the partition knows better; ask again with what it says
		return
	}
	for _, pl := range ps {
		t := pl.Task.Task
		j.set(t, placed)
		j.places[t] = pl
		j.touch(t, now)
		j.granted = append(j.granted, pl)
		if m := c.machines.Machine(pl.Machine); m.Reserved == j.spec.ID {
			m.Reserved = ""
		}
	}
}
