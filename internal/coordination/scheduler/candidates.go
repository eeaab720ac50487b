package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// candidate is a machine that takes new tasks, with what the cycle under way knows of it.
type candidate struct {
	machine     *machineregistry.Machine
	machineType *protocol.MachineType
	free        machineregistry.Resources // less what was granted or is held in this cycle
	// nominationClaimed says that the room reserved on it is spoken for in this cycle.
	nominationClaimed bool
	// headroom is room for jobs to come.
	headroom []heldHeadroom

	indexEntry     *machineindex.Entry[*candidate]
	changedInCycle bool // something of the cycle must be undone when it is over
}

// heldHeadroom is room for jobs to come of a class, against work of the given level that
// can wait for longer. Of the class's own level, it could not be preempted for them.
type heldHeadroom struct {
	level                 int
	startLatencyObjective float64 // the class's on waiting, in seconds
	returnPosition        int     // the class's in the order of return, while that is in force
	need                  machineregistry.Resources
}

// freeBeyondHeadroom is what is left of the free room for work of the level with that aim on
// waiting, and that position in the order of return.
func (x *candidate) freeBeyondHeadroom(level int, aim float64, position int) machineregistry.Resources {
	n := x.free
	for _, k := range x.headroom {
		if k.level == level && k.startLatencyObjective < aim && k.returnPosition <= position {
			n = n.Minus(k.need)
		}
	}
	return n
}

// candidateIndex holds the machines that take new tasks, in an index by their room. It is brought up
// to date at the beginning of each cycle, by what has changed since the last. What it says is
// never more than a proposal: the partition's books decide on each grant.
type candidateIndex struct {
	index          *machineindex.Index[*candidate]
	changedInCycle []*candidate        // changed by the cycle under way
	unresponsive   map[*candidate]bool // out of the index until they may be commanded again
	unschedulable  []*candidate        // found closed by a search, and still in the index
	stale          bool                // the books have refused what the index proposed
	verifiedUpTo   string              // the machine up to which the index was checked
}

func newCandidateIndex() candidateIndex {
	return candidateIndex{index: machineindex.New[*candidate](), unresponsive: map[*candidate]bool{}}
}

// verifiedFraction is which part of the machines is checked against the books in a full cycle,
// whether or not they are known to have changed.
const verifiedFraction = 64

// refreshCandidates brings the roster up to date.
func (c *Scheduler) refreshCandidates(now time.Duration) {
	r := &c.candidateIndex
	if r.stale {
		c.rebuildCandidates(now)
		return
	}
	for _, x := range r.changedInCycle {
		x.changedInCycle, x.nominationClaimed, x.headroom = false, false, nil
		c.refreshCandidate(now, x)
	}
	r.changedInCycle = r.changedInCycle[:0]
	for _, m := range c.machines.TakeChanged() {
		c.refreshMachine(now, m)
	}
	for x := range r.unresponsive {
		if now >= x.machine.UnresponsiveUntil {
			c.refreshCandidate(now, x)
		}
	}
}

// verifyCandidates checks some machines against the books, so that a wrong entry does not last.
func (c *Scheduler) verifyCandidates(now time.Duration) {
	from := c.candidateIndex.verifiedUpTo
	c.candidateIndex.verifiedUpTo = ""
	left := 1 + c.machines.Len()/verifiedFraction
	c.machines.EachFrom(from, func(m *machineregistry.Machine) bool {
		if left--; left < 0 {
			c.candidateIndex.verifiedUpTo = m.Name
			return false
		}
		c.refreshMachine(now, m)
		return true
	})
}

// rebuildCandidates enters all machines anew, since the index has turned out to be wrong.
func (c *Scheduler) rebuildCandidates(now time.Duration) {
	c.candidateIndex = newCandidateIndex()
	c.machines.TakeChanged() // all are entered
	c.machines.Each(func(m *machineregistry.Machine) {
		m.SchedulerData = nil
		c.refreshMachine(now, m)
	})
}

// refreshMachine enters a machine by its books.
func (c *Scheduler) refreshMachine(now time.Duration, m *machineregistry.Machine) {
	x, ok := m.SchedulerData.(*candidate)
	switch {
	case m.Removed() && ok:
		c.candidateIndex.index.Remove(x.indexEntry)
		delete(c.candidateIndex.unresponsive, x)
		m.SchedulerData = nil
		return
	case m.Removed():
		return
	case !ok:
		x = &candidate{machine: m}
		x.indexEntry = machineindex.NewEntry(m.Name, x)
		m.SchedulerData = x
	}
	c.refreshCandidate(now, x)
}

// refreshCandidate enters a candidate by its machine's books, or takes it out if the machine takes no
// new tasks now.
func (c *Scheduler) refreshCandidate(now time.Duration, x *candidate) {
	delete(c.candidateIndex.unresponsive, x)
	x.machineType = c.machines.MachineType(x.machine.Type)
	if x.machine.Removed() || x.machineType == nil || !c.machines.Schedulable(now, x.machine) {
		c.candidateIndex.index.Remove(x.indexEntry)
		if now < x.machine.UnresponsiveUntil {
			c.candidateIndex.unresponsive[x] = true // no event tells when that is over
		}
		return
	}
	x.free = c.machines.FreeCapacity(x.machine)
	c.indexCandidate(x)
}

// indexCandidate enters a candidate where its room says.
func (c *Scheduler) indexCandidate(x *candidate) {
	key := machineindex.Pool{Type: x.machine.Type, Zone: x.machine.Zone, Spot: x.machine.Spot}
	c.candidateIndex.index.Put(x.indexEntry, key, machineregistry.CapacityOf(x.machineType), x.free)
}

// checkSchedulable says whether a candidate still takes new tasks. One that does not, since it fell silent,
// leaves the index after the search.
func (c *Scheduler) checkSchedulable(now time.Duration, x *candidate) bool {
	if c.machines.Schedulable(now, x.machine) {
		return true
	}
	c.candidateIndex.unschedulable = append(c.candidateIndex.unschedulable, x)
	return false
}

// removeUnschedulable takes the candidates out of the index that searches found closed.
func (c *Scheduler) removeUnschedulable(now time.Duration) {
	for _, x := range c.candidateIndex.unschedulable {
		c.refreshCandidate(now, x)
	}
	c.candidateIndex.unschedulable = c.candidateIndex.unschedulable[:0]
}

// candidateOf returns the candidate of a machine if it takes new tasks now, or nil.
func (c *Scheduler) candidateOf(now time.Duration, m *machineregistry.Machine) *candidate {
	x, ok := m.SchedulerData.(*candidate)
	if !ok || !c.candidateIndex.index.Has(x.indexEntry) || !c.machines.Schedulable(now, m) {
		return nil
	}
	return x
}

// schedulableCandidates lists the machines that take new tasks now, in name order.
func (c *Scheduler) schedulableCandidates(now time.Duration) (cands []*candidate) {
	c.machines.Each(func(m *machineregistry.Machine) {
		if x := c.candidateOf(now, m); x != nil {
			cands = append(cands, x)
		}
	})
	return cands
}

// markChanged notes that the cycle has changed something of a candidate that ends with it.
func (c *Scheduler) markChanged(x *candidate) {
	if !x.changedInCycle {
		x.changedInCycle = true
		c.candidateIndex.changedInCycle = append(c.candidateIndex.changedInCycle, x)
	}
}

// setFree changes a candidate's room for the rest of the cycle.
func (c *Scheduler) setFree(x *candidate, free machineregistry.Resources) {
	c.markChanged(x)
	x.free = free
	c.indexCandidate(x)
}

// claimNomination says that the room reserved on a candidate is spoken for in this cycle.
func (c *Scheduler) claimNomination(x *candidate) {
	c.markChanged(x)
	x.nominationClaimed = true
}

// freeForJob is what a job may use of a candidate.
func (c *Scheduler) freeForJob(x *candidate, j *Job) machineregistry.Resources {
	if len(x.headroom) == 0 {
		return x.free
	}
	return x.freeBeyondHeadroom(j.EffectivePriority, c.startLatencyObjective(j.Spec.Class), c.recoveryPosition(&j.Spec))
}

// holdHeadroom sets aside the room that classes with an aim on waiting are likely to
// want soon. Against lower work it needs no keeping where there is time to
// preempt that. While the order of return is in force, lower work must not have what
// is kept from higher work.
func (c *Scheduler) holdHeadroom(now time.Duration) {
	none := &zoneLimits{}
	recovering := c.inZoneFailover()
	for _, u := range c.forecastUnits {
		j := &Job{
			Spec:              *u.Job,
			TaskResources:     machineregistry.TaskResources(u.Job),
			EffectivePriority: u.Job.Priority.Rank(),
		}
		aim, position := c.startLatencyObjective(u.Job.Class), c.recoveryPosition(u.Job)
		allowed := func(x *candidate) bool {
			return (u.Zone == "" || u.Zone == x.machine.Zone) &&
				j.TaskResources.Fits(x.freeBeyondHeadroom(j.EffectivePriority, math.Inf(1), math.MaxInt)) &&
				(!x.machine.Spot || j.Spec.SpotAllowed) &&
				x.machineType.AllowedBy(&j.Spec)
		}
		for range u.Count {
			best := c.finder.bestMachine(now, j, none, allowed)
			if best == nil {
				break
			}
			c.markChanged(best)
			for level := j.EffectivePriority; level == j.EffectivePriority || (u.MustBeFree || recovering) && level < autoscaler.PriorityLevels; level++ {
				best.headroom = append(best.headroom, heldHeadroom{level, aim, position, j.TaskResources})
			}
		}
	}
}

// nominate has the room on a machine cleared for a job until the given time.
func (c *Scheduler) nominate(m *machineregistry.Machine, j *Job, until time.Duration) {
	m.ReservedJob, m.ReservedUntil = j.Spec.ID, until
	if j.ReservedMachines == nil {
		j.ReservedMachines = map[*machineregistry.Machine]bool{}
	}
	j.ReservedMachines[m] = true
}

// nominatedCandidates lists the candidates on which room is cleared for a job, in name order.
func (c *Scheduler) nominatedCandidates(now time.Duration, j *Job) (list []*candidate) {
	for m := range j.ReservedMachines {
		if !m.IsReservedFor(now, j.Spec.ID) || m.Removed() {
			delete(j.ReservedMachines, m)
			continue
		}
		if x := c.candidateOf(now, m); x != nil {
			list = append(list, x)
		}
	}
	sortCandidates(list)
	return list
}
