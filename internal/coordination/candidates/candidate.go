package candidates

import (
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Candidate is a machine that accepts new tasks, with what the current cycle has decided about it.
type Candidate struct {
	Machine *machineregistry.Machine
	Type    *protocol.MachineType
	// Free is the capacity that the current cycle has not yet given away. Index.SetFree changes it.
	Free machineregistry.Resources
	// NominationClaimed reports that a task of the job for which work was preempted here already counts
	// on the capacity in this cycle.
	NominationClaimed bool
	// Entry is the candidate's place in the Index.
	Entry *machineindex.Entry[*Candidate]

	headroom       []Headroom
	changedInCycle bool // something must be undone when the cycle is over
}

// Headroom is capacity held back for expected jobs of a class against jobs of one priority whose start
// may be later.
type Headroom struct {
	// Priority is that of the jobs against which the capacity is held. Jobs of the class's own priority
	// could not be preempted for it later.
	Priority int
	// StartLatencySeconds is the class's objective.
	StartLatencySeconds float64
	// RecoveryPosition is the class's position in the recovery order of a zone failover.
	RecoveryPosition int
	Resources        machineregistry.Resources
}

// HasHeadroom reports whether capacity is held back on the candidate.
func (x *Candidate) HasHeadroom() bool { return len(x.headroom) > 0 }

// FreeBeyondHeadroom returns the free capacity that jobs of the given priority may use: all of it but
// what is held for classes with a shorter start latency objective that are not later in the recovery
// order.
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

// Capacity returns what the machine offers when it is empty.
func (x *Candidate) Capacity() machineregistry.Resources { return machineregistry.CapacityOf(x.Type) }

// Pool returns the machine's pool in the index.
func (x *Candidate) Pool() machineindex.Pool {
	return machineindex.Pool{Type: x.Machine.Type, Zone: x.Machine.Zone, Spot: x.Machine.Spot}
}
