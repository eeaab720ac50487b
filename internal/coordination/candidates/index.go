// Package candidates keeps the machines that accept new tasks in an index by their free capacity, and
// what a scheduling cycle has decided about them so far.
//
// The index is a cache of the machine registry. It is brought up to date at the beginning of each cycle
// from what has changed since the last one, and what a cycle changes in it is undone by the next. It only
// proposes machines: the registry decides on each reservation, and a refused one marks the index stale.
package candidates

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// verifiedFraction is the part of the machines that one call of Verify compares with the registry: one in so many.
const verifiedFraction = 64

// Index is an index of candidates. The candidate of a machine is in the machine's SchedulerData; it stays
// there while the machine accepts no tasks and is out of the index.
type Index struct {
	// Machines is the underlying index, for searches.
	Machines *machineindex.Index[*Candidate]

	registry       *machineregistry.Registry
	changedInCycle []*Candidate
	unresponsive   map[*Candidate]bool // out of the index until they may be sent commands again
	unschedulable  []*Candidate        // found by a search to accept no tasks, and still in the index
	stale          bool                // the registry has refused what the index proposed
	verifyFrom     string              // the machine from which the next verification goes on
}

// NewIndex returns an index of the registry's machines. It is empty until the first Refresh.
func NewIndex(registry *machineregistry.Registry) *Index {
	ix := &Index{registry: registry}
	ix.reset()
	return ix
}

func (ix *Index) reset() {
	*ix = Index{
		Machines:     machineindex.New[*Candidate](),
		registry:     ix.registry,
		unresponsive: map[*Candidate]bool{},
	}
}

// Refresh begins a cycle: it undoes what the last one changed, and takes over what has changed in the
// registry.
func (ix *Index) Refresh(now time.Duration) {
	if ix.stale {
		ix.rebuild(now)
		return
	}
	for _, x := range ix.changedInCycle {
		x.changedInCycle, x.NominationClaimed, x.headroom = false, false, nil
		ix.refreshCandidate(now, x)
	}
	ix.changedInCycle = ix.changedInCycle[:0]
	for _, m := range ix.registry.TakeChanged() {
		ix.refreshMachine(now, m)
	}
	for x := range ix.unresponsive {
		if now >= x.Machine.UnresponsiveUntil {
			ix.refreshCandidate(now, x)
		}
	}
}

// MarkStale has the next Refresh build the index anew.
func (ix *Index) MarkStale() { ix.stale = true }

// Verify compares a part of the machines with the registry, whether or not they are known to have
// changed, so that a wrong entry does not last.
func (ix *Index) Verify(now time.Duration) {
	from := ix.verifyFrom
	ix.verifyFrom = ""
	left := 1 + ix.registry.Len()/verifiedFraction
	ix.registry.EachFrom(from, func(m *machineregistry.Machine) bool {
		if left--; left < 0 {
			ix.verifyFrom = m.Name
			return false
		}
		ix.refreshMachine(now, m)
		return true
	})
}

// rebuild replaces the index by one of all machines of the registry.
func (ix *Index) rebuild(now time.Duration) {
	ix.reset()
	ix.registry.TakeChanged() // all are indexed below
	ix.registry.Each(func(m *machineregistry.Machine) {
		m.SchedulerData = nil
		ix.refreshMachine(now, m)
	})
}

// refreshMachine indexes a machine by what the registry says of it.
func (ix *Index) refreshMachine(now time.Duration, m *machineregistry.Machine) {
	x, ok := m.SchedulerData.(*Candidate)
	switch {
	case m.Removed() && ok:
		ix.Machines.Remove(x.Entry)
		delete(ix.unresponsive, x)
		m.SchedulerData = nil
		return
	case m.Removed():
		return
	case !ok:
		x = &Candidate{Machine: m}
		x.Entry = machineindex.NewEntry(m.Name, x)
		m.SchedulerData = x
	}
	ix.refreshCandidate(now, x)
}

// refreshCandidate indexes a candidate by what the registry says of its machine, or removes it from the
// index if the machine accepts no tasks now.
func (ix *Index) refreshCandidate(now time.Duration, x *Candidate) {
	delete(ix.unresponsive, x)
	x.Type = ix.registry.MachineType(x.Machine.Type)
	if x.Machine.Removed() || x.Type == nil || !ix.registry.Schedulable(now, x.Machine) {
		ix.Machines.Remove(x.Entry)
		if now < x.Machine.UnresponsiveUntil {
			ix.unresponsive[x] = true // no event announces the end of that
		}
		return
	}
	x.Free = ix.registry.FreeCapacity(x.Machine)
	ix.put(x)
}

// put indexes a candidate by its free capacity.
func (ix *Index) put(x *Candidate) { ix.Machines.Put(x.Entry, x.Pool(), x.Capacity(), x.Free) }

// CheckSchedulable reports whether a candidate that a search has found still accepts tasks. One that does
// not, because it has fallen silent since the last Refresh, leaves the index with RemoveUnschedulable; a
// search must not change the index that it walks.
func (ix *Index) CheckSchedulable(now time.Duration, x *Candidate) bool {
	if ix.registry.Schedulable(now, x.Machine) {
		return true
	}
	ix.unschedulable = append(ix.unschedulable, x)
	return false
}

// RemoveUnschedulable removes the candidates from the index for which CheckSchedulable returned false.
func (ix *Index) RemoveUnschedulable(now time.Duration) {
	for _, x := range ix.unschedulable {
		ix.refreshCandidate(now, x)
	}
	ix.unschedulable = ix.unschedulable[:0]
}

// Indexed returns the candidate of a machine if it is in the index, or nil. The machine may have fallen
// silent since the last Refresh.
func (ix *Index) Indexed(m *machineregistry.Machine) *Candidate {
	x, ok := m.SchedulerData.(*Candidate)
	if !ok || !ix.Machines.Has(x.Entry) {
		return nil
	}
	return x
}

// Of returns the candidate of a machine if it accepts tasks now, or nil.
func (ix *Index) Of(now time.Duration, m *machineregistry.Machine) *Candidate {
	x := ix.Indexed(m)
	if x == nil || !ix.registry.Schedulable(now, m) {
		return nil
	}
	return x
}

// All returns the machines that accept tasks now, in name order.
func (ix *Index) All(now time.Duration) (list []*Candidate) {
	ix.registry.Each(func(m *machineregistry.Machine) {
		if x := ix.Of(now, m); x != nil {
			list = append(list, x)
		}
	})
	return list
}

// SetFree changes a candidate's free capacity for the rest of the cycle.
func (ix *Index) SetFree(x *Candidate, free machineregistry.Resources) {
	ix.markChanged(x)
	x.Free = free
	ix.put(x)
}

// ClaimNomination notes for the rest of the cycle that a task counts on the capacity for which work is
// being preempted on a candidate.
func (ix *Index) ClaimNomination(x *Candidate) {
	ix.markChanged(x)
	x.NominationClaimed = true
}

// HoldHeadroom holds capacity of a candidate back for the rest of the cycle.
func (ix *Index) HoldHeadroom(x *Candidate, h Headroom) {
	ix.markChanged(x)
	x.headroom = append(x.headroom, h)
}

// markChanged notes that the next Refresh has to undo something of a candidate.
func (ix *Index) markChanged(x *Candidate) {
	if !x.changedInCycle {
		x.changedInCycle = true
		ix.changedInCycle = append(ix.changedInCycle, x)
	}
}

// SortByName sorts candidates by the names of their machines.
func SortByName(list []*Candidate) {
	slices.SortFunc(list, func(a, b *Candidate) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
}
