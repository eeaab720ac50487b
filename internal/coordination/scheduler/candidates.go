package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// candidate is a machine that takes new tasks, with what the cycle under way knows of it.
type candidate struct {
	m    *partition.Machine
	kind *protocol.MachineType
	free partition.Resources // less what was granted or is held in this cycle
	// taken says that the room reserved on it is spoken for in this cycle.
	taken bool
	// kept is room for jobs to come.
	kept []kept

	entry *machineindex.Entry[*candidate]
	dirty bool // something of the cycle must be undone when it is over
}

// kept is room for jobs to come of a class, against work of the given level that
// can wait for longer. Of the class's own level, it could not be preempted for them.
type kept struct {
	level    int
	aim      float64 // the class's on waiting, in seconds
	position int     // the class's in the order of return, while that is in force
	need     partition.Resources
}

// less is what is left of the free room for work of the level with that aim on
// waiting, and that position in the order of return.
func (x *candidate) less(level int, aim float64, position int) partition.Resources {
	n := x.free
	for _, k := range x.kept {
		if k.level == level && k.aim < aim && k.position <= position {
			n = n.Minus(k.need)
		}
	}
	return n
}

// roster holds the machines that take new tasks, in an index by their room. It is brought up
// to date at the beginning of each cycle, by what has changed since the last. What it says is
// never more than a proposal: the partition's books decide on each grant.
type roster struct {
	index   *machineindex.Index[*candidate]
	dirty   []*candidate        // changed by the cycle under way
	muted   map[*candidate]bool // out of the index until they may be commanded again
	closed  []*candidate        // found closed by a search, and still in the index
	wrong   bool                // the books have refused what the index proposed
	audited string              // the machine up to which the index was checked
}

func newRoster() roster {
	return roster{index: machineindex.New[*candidate](), muted: map[*candidate]bool{}}
}

// auditShare is which part of the machines is checked against the books in a full cycle,
// whether or not they are known to have changed.
const auditShare = 64

// beginCycle brings the roster up to date.
func (c *Core) beginCycle(now time.Duration) {
	r := &c.roster
	if r.wrong {
		c.rebuild(now)
		return
	}
	for _, x := range r.dirty {
		x.dirty, x.taken, x.kept = false, false, nil
		c.refresh(now, x)
	}
	r.dirty = r.dirty[:0]
	for _, m := range c.machines.TakeChanged() {
		c.refreshMachine(now, m)
	}
	for x := range r.muted {
		if now >= x.m.UnresponsiveUntil {
			c.refresh(now, x)
		}
	}
}

// audit checks some machines against the books, so that a wrong entry does not last.
func (c *Core) audit(now time.Duration) {
	from := c.roster.audited
	c.roster.audited = ""
	left := 1 + c.machines.Len()/auditShare
	c.machines.EachFrom(from, func(m *partition.Machine) bool {
		if left--; left < 0 {
			c.roster.audited = m.Name
			return false
		}
		c.refreshMachine(now, m)
		return true
	})
}

// rebuild enters all machines anew, since the index has turned out to be wrong.
func (c *Core) rebuild(now time.Duration) {
	c.roster = newRoster()
	c.machines.TakeChanged() // all are entered
	c.machines.Each(func(m *partition.Machine) {
		m.SchedulerData = nil
		c.refreshMachine(now, m)
	})
}

// refreshMachine enters a machine by its books.
func (c *Core) refreshMachine(now time.Duration, m *partition.Machine) {
	x, ok := m.SchedulerData.(*candidate)
	switch {
	case m.Removed() && ok:
		c.roster.index.Remove(x.entry)
		delete(c.roster.muted, x)
		m.SchedulerData = nil
		return
	case m.Removed():
		return
	case !ok:
		x = &candidate{m: m}
		x.entry = machineindex.NewEntry(m.Name, x)
		m.SchedulerData = x
	}
	c.refresh(now, x)
}

// refresh enters a candidate by its machine's books, or takes it out if the machine takes no
// new tasks now.
func (c *Core) refresh(now time.Duration, x *candidate) {
	delete(c.roster.muted, x)
	x.kind = c.machines.MachineType(x.m.Type)
	if x.m.Removed() || x.kind == nil || !c.machines.Schedulable(now, x.m) {
		c.roster.index.Remove(x.entry)
		if now < x.m.UnresponsiveUntil {
			c.roster.muted[x] = true // no event tells when that is over
		}
		return
	}
	x.free = c.machines.FreeCapacity(x.m)
	c.enter(x)
}

// enter enters a candidate where its room says.
func (c *Core) enter(x *candidate) {
	key := machineindex.Pool{Type: x.m.Type, Zone: x.m.Zone, Spot: x.m.Spot}
	c.roster.index.Put(x.entry, key, partition.CapacityOf(x.kind), x.free)
}

// open says whether a candidate still takes new tasks. One that does not, since it fell silent,
// leaves the index after the search.
func (c *Core) open(now time.Duration, x *candidate) bool {
	if c.machines.Schedulable(now, x.m) {
		return true
	}
	c.roster.closed = append(c.roster.closed, x)
	return false
}

// removeClosed takes the candidates out of the index that searches found closed.
func (c *Core) removeClosed(now time.Duration) {
	for _, x := range c.roster.closed {
		c.refresh(now, x)
	}
	c.roster.closed = c.roster.closed[:0]
}

// candidateOf returns the candidate of a machine if it takes new tasks now, or nil.
func (c *Core) candidateOf(now time.Duration, m *partition.Machine) *candidate {
	x, ok := m.SchedulerData.(*candidate)
	if !ok || !c.roster.index.Has(x.entry) || !c.machines.Schedulable(now, m) {
		return nil
	}
	return x
}

// candidates lists the machines that take new tasks now, in name order.
func (c *Core) candidates(now time.Duration) (cands []*candidate) {
	c.machines.Each(func(m *partition.Machine) {
		if x := c.candidateOf(now, m); x != nil {
			cands = append(cands, x)
		}
	})
	return cands
}

// mark notes that the cycle has changed something of a candidate that ends with it.
func (c *Core) mark(x *candidate) {
	if !x.dirty {
		x.dirty = true
		c.roster.dirty = append(c.roster.dirty, x)
	}
}

// setFree changes a candidate's room for the rest of the cycle.
func (c *Core) setFree(x *candidate, free partition.Resources) {
	c.mark(x)
	x.free = free
	c.enter(x)
}

// setTaken says that the room reserved on a candidate is spoken for in this cycle.
func (c *Core) setTaken(x *candidate) {
	c.mark(x)
	x.taken = true
}

// room is what a job may use of a candidate.
func (c *Core) room(x *candidate, j *job) partition.Resources {
	if len(x.kept) == 0 {
		return x.free
	}
	return x.less(j.level, c.waitAim(j.spec.Class), c.recoveryPosition(&j.spec))
}

// keep sets aside the room that classes with an aim on waiting are likely to
// want soon. Against lower work it needs no keeping where there is time to
// preempt that. While the order of return is in force, lower work must not have what
// is kept from higher work.
func (c *Core) keep(now time.Duration) {
	none := &limits{}
	recovering := c.inZoneFailover()
	for _, u := range c.spareNow {
		j := &job{spec: *u.Job, need: partition.TaskResources(u.Job), level: u.Job.Priority.Rank()}
		aim, position := c.waitAim(u.Job.Class), c.recoveryPosition(u.Job)
		allowed := func(x *candidate) bool {
			return (u.Zone == "" || u.Zone == x.m.Zone) && j.need.Fits(x.less(j.level, math.Inf(1), math.MaxInt)) &&
				(!x.m.Spot || j.spec.SpotAllowed) && x.kind.AllowedBy(&j.spec)
		}
		for range u.Count {
			best := c.find.best(now, j, none, allowed)
			if best == nil {
				break
			}
			c.mark(best)
			for level := j.level; level == j.level || (u.MustBeFree || recovering) && level < fleet.PriorityLevels; level++ {
				best.kept = append(best.kept, kept{level, aim, position, j.need})
			}
		}
	}
}

// reserve has the room on a machine cleared for a job until the given time.
func (c *Core) reserve(m *partition.Machine, j *job, until time.Duration) {
	m.ReservedJob, m.ReservedUntil = j.spec.ID, until
	if j.reserved == nil {
		j.reserved = map[*partition.Machine]bool{}
	}
	j.reserved[m] = true
}

// reservedFor lists the candidates on which room is cleared for a job, in name order.
func (c *Core) reservedFor(now time.Duration, j *job) (list []*candidate) {
	for m := range j.reserved {
		if !m.IsReservedFor(now, j.spec.ID) || m.Removed() {
			delete(j.reserved, m)
			continue
		}
		if x := c.candidateOf(now, m); x != nil {
			list = append(list, x)
		}
	}
	sortCandidates(list)
	return list
}
