// Package candidates indexes the machines that accept new tasks by free capacity and holds the decisions that the
// current scheduling cycle has made about them.
//
// The index is a cache of the machine registry. Each cycle starts by undoing the changes of the previous cycle and
// applying the changes of the registry. The index only proposes machines: the registry has the final say on every
// reservation, and a rejected reservation marks the index as stale.
package candidates

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// verifyCallsPerPass is the number of calls of Verify in which all machines are checked once.
const verifyCallsPerPass = 64

// Index is an index of candidates. The candidate of a machine is stored in the machine's SchedulerData and stays
// there while the machine accepts no tasks and is not indexed.
type Index struct {
	// Machines is the underlying index, which searches use.
	Machines *machineindex.Index[*Candidate]

	registry       *machineregistry.Registry
	changedInCycle []*Candidate
	// unresponsive holds the candidates that are not indexed until their machine's unresponsive period ends.
	unresponsive map[*Candidate]bool
	// unschedulable holds indexed candidates that a search found to accept no tasks any more.
	unschedulable []*Candidate
	// stale is set after the registry has rejected a reservation that the index proposed.
	stale bool
	// verifyCursor is the name of the machine at which the next call of Verify continues.
	verifyCursor string
}

// NewIndex returns an index of the registry's machines. It is empty until the first Refresh.
func NewIndex(registry *machineregistry.Registry) *Index {
	ix := &Index{registry: registry}
	ix.reset()
	return ix
}

// reset empties the index.
func (ix *Index) reset() {
	*ix = Index{
		Machines:     machineindex.New[*Candidate](),
		registry:     ix.registry,
		unresponsive: map[*Candidate]bool{},
	}
}

// Refresh starts a cycle: it undoes the changes of the previous cycle and applies the changes of the registry.
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
	for _, m := range ix.registry.TakeChangedMachines() {
		ix.refreshMachine(now, m)
	}
	for x := range ix.unresponsive {
		if now >= x.Machine.UnresponsiveUntil {
			ix.refreshCandidate(now, x)
		}
	}
}

// MarkStale causes the next Refresh to rebuild the index.
func (ix *Index) MarkStale() { ix.stale = true }

// Verify updates the next part of the machines from the registry, whether or not they were reported as changed, so
// that an incorrect entry does not persist.
func (ix *Index) Verify(now time.Duration) {
	from := ix.verifyCursor
	ix.verifyCursor = ""
	remaining := 1 + ix.registry.Len()/verifyCallsPerPass
	ix.registry.EachFrom(from, func(m *machineregistry.Machine) bool {
		if remaining--; remaining < 0 {
			ix.verifyCursor = m.Name
			return false
		}
		ix.refreshMachine(now, m)
		return true
	})
}

// rebuild replaces the contents of the index with all machines of the registry.
func (ix *Index) rebuild(now time.Duration) {
	ix.reset()
	ix.registry.TakeChangedMachines() // discarded, as all machines are indexed below
	ix.registry.Each(func(m *machineregistry.Machine) {
		m.SchedulerData = nil
		ix.refreshMachine(now, m)
	})
}

// refreshMachine updates the candidate of a machine from the registry, and creates or deletes it as needed.
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

// refreshCandidate updates the index entry of a candidate from the registry, or removes it from the index if the
// machine accepts no tasks now.
func (ix *Index) refreshCandidate(now time.Duration, x *Candidate) {
	delete(ix.unresponsive, x)
	x.Type = ix.registry.MachineType(x.Machine.Type)
	if x.Machine.Removed() || x.Type == nil || !ix.registry.Schedulable(now, x.Machine) {
		ix.Machines.Remove(x.Entry)
		if now < x.Machine.UnresponsiveUntil {
			ix.unresponsive[x] = true // the registry does not report the end of this period
		}
		return
	}
	x.Free = ix.registry.FreeCapacity(x.Machine)
	ix.put(x)
}

// put indexes a candidate by its free capacity.
func (ix *Index) put(x *Candidate) { ix.Machines.Put(x.Entry, x.Pool(), x.Capacity(), x.Free) }

// CheckSchedulable reports whether a candidate that a search found still accepts tasks. If not, because the machine
// has missed heartbeats since the last Refresh, the candidate is queued for RemoveUnschedulable: the index must not
// be changed during a search.
func (ix *Index) CheckSchedulable(now time.Duration, x *Candidate) bool {
	if ix.registry.Schedulable(now, x.Machine) {
		return true
	}
	ix.unschedulable = append(ix.unschedulable, x)
	return false
}

// RemoveUnschedulable removes the candidates for which CheckSchedulable returned false from the index.
func (ix *Index) RemoveUnschedulable(now time.Duration) {
	for _, x := range ix.unschedulable {
		ix.refreshCandidate(now, x)
	}
	ix.unschedulable = ix.unschedulable[:0]
}

// Indexed returns the candidate of a machine if it is indexed, or nil. The machine may have become unschedulable
// since the last Refresh.
func (ix *Index) Indexed(m *machineregistry.Machine) *Candidate {
	x, ok := m.SchedulerData.(*Candidate)
	if !ok || !ix.Machines.Has(x.Entry) {
		return nil
	}
	return x
}

// CandidateFor returns the candidate of a machine if the machine accepts tasks now, or nil.
func (ix *Index) CandidateFor(now time.Duration, m *machineregistry.Machine) *Candidate {
	x := ix.Indexed(m)
	if x == nil || !ix.registry.Schedulable(now, m) {
		return nil
	}
	return x
}

// All returns the candidates of all machines that accept tasks now, in name order.
func (ix *Index) All(now time.Duration) (list []*Candidate) {
	ix.registry.Each(func(m *machineregistry.Machine) {
		if x := ix.CandidateFor(now, m); x != nil {
			list = append(list, x)
		}
	})
	return list
}

// SetFree changes the free capacity of a candidate for the rest of the cycle.
func (ix *Index) SetFree(x *Candidate, free machineregistry.Resources) {
	ix.markChanged(x)
	x.Free = free
	ix.put(x)
}

// ClaimNomination records for the rest of the cycle that a task counts on the capacity that is being freed by
// preemption on a candidate.
func (ix *Index) ClaimNomination(x *Candidate) {
	ix.markChanged(x)
	x.NominationClaimed = true
}

// HoldHeadroom holds back capacity of a candidate for the rest of the cycle.
func (ix *Index) HoldHeadroom(x *Candidate, h Headroom) {
	ix.markChanged(x)
	x.headroom = append(x.headroom, h)
}

// markChanged records that the next Refresh has to undo changes of a candidate.
func (ix *Index) markChanged(x *Candidate) {
	if !x.changedInCycle {
		x.changedInCycle = true
		ix.changedInCycle = append(ix.changedInCycle, x)
	}
}

// SortByName sorts candidates by machine name.
func SortByName(list []*Candidate) {
	slices.SortFunc(list, func(a, b *Candidate) int { return cmp.Compare(a.Machine.Name, b.Machine.Name) })
}
