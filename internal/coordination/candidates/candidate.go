package candidates

import (
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Candidate is a machine that accepts new tasks, together with the decisions that the current scheduling cycle has
// made about it.
type Candidate struct {
	Machine *machineregistry.Machine
	Type    *protocol.MachineType
	// Free is the capacity that is neither reserved nor allocated in the current cycle. It is changed with
	// Index.SetFree.
	Free machineregistry.Resources
	// NominationClaimed is set if a task of the job that the machine is nominated for already counts on the capacity
	// in this cycle.
	NominationClaimed bool
	// Entry is the candidate's entry in Index.Machines.
	Entry *machineindex.Entry[*Candidate]

	headroom []Headroom
	// changedInCycle is set if the next Refresh has to undo changes of this cycle.
	changedInCycle bool
}

// Headroom is capacity that is held back for expected jobs of a class. It is withheld from jobs of one priority whose
// start is less urgent.
type Headroom struct {
	// Priority is the priority of the jobs from which the capacity is withheld. The capacity is withheld at least
	// from jobs of the class's own priority, because these could not be preempted for the expected jobs later.
	Priority int
	// StartLatencySeconds is the start latency objective of the class.
	StartLatencySeconds float64
	// RecoveryPosition is the position of the class in the recovery order of a zone failover.
	RecoveryPosition int
	Resources        machineregistry.Resources
}

// HasHeadroom reports whether capacity is held back on the candidate.
func (x *Candidate) HasHeadroom() bool { return len(x.headroom) > 0 }

// FreeBeyondHeadroom returns the free capacity that jobs of the given priority may use. It excludes capacity held
// back for classes that have a shorter start latency objective and are not later in the recovery order.
func (x *Candidate) FreeBeyondHeadroom(
	priority int,
	startLatencySeconds float64,
	recoveryPosition int,
) machineregistry.Resources {
	free := x.Free
	for _, h := range x.headroom {
		if h.Priority == priority && h.StartLatencySeconds < startLatencySeconds &&
			h.RecoveryPosition <= recoveryPosition {
			free = free.Minus(h.Resources)
		}
	}
	return free
}

// Capacity returns the capacity of the machine when it is empty.
func (x *Candidate) Capacity() machineregistry.Resources { return machineregistry.CapacityOf(x.Type) }

// Pool returns the index pool to which the machine belongs.
func (x *Candidate) Pool() machineindex.Pool {
	return machineindex.Pool{Type: x.Machine.Type, Zone: x.Machine.Zone, Spot: x.Machine.Spot}
}
