package zonefailover

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

const (
	// fenceDivisor is which part of the machines of lost zones may be fenced in a cycle: one in so many.
	fenceDivisor = 20
	// maxWaitingConsidered is for how many of a job's pending tasks capacity is set aside before machines are fenced
	// for the tasks that it still holds in a lost zone.
	maxWaitingConsidered = 32
)

// FencingRound decides in one cycle which machines of lost zones are fenced, job after job in the recovery order.
//
// Only fencing proves the tasks on a machine gone, so that they may start elsewhere. A machine is fenced only for
// tasks that would find capacity elsewhere; other work stays, and goes on at once when the zone comes back.
type FencingRound struct {
	manager      *Manager
	now          time.Duration
	gracePeriod  time.Duration
	machinesLeft int // that may still be fenced
	searchesLeft int
	capacity     *BorrowableCapacity
}

// NewFencingRound begins the fencing of a cycle. The machines are those that take new tasks.
func (m *Manager) NewFencingRound(now time.Duration, machines []*candidates.Candidate) *FencingRound {
	return &FencingRound{
		manager:      m,
		now:          now,
		gracePeriod:  m.lostMachineGracePeriod(),
		machinesLeft: m.fenceBudget(),
		searchesLeft: m.searchBudget(),
		capacity:     m.BorrowableCapacity(now, machines),
	}
}

// fenceBudget is how many machines may be fenced in a cycle.
func (m *Manager) fenceBudget() int {
	n := 0
	m.options.Machines.Each(func(machine *machineregistry.Machine) {
		if m.IsZoneLost(machine.Zone) {
			n++
		}
	})
	return max(1, n/fenceDivisor)
}

// lostMachineGracePeriod is how long a machine of a lost zone may be silent before it is fenced: until its leases have
// surely expired, and as long as a machine takes to boot. Moving work costs about as much again, for a fetch elsewhere
// and for a boot when the zone is back; waiting as long as moving costs never costs more than twice the best choice in
// hindsight.
func (m *Manager) lostMachineGracePeriod() time.Duration {
	period := m.MaxLeaseLifetime()
	for _, t := range m.options.Machines.MachineTypes() {
		period = max(period, config.Seconds(t.BootSeconds))
	}
	return period
}

// IsExhausted reports whether no more can be done in this cycle.
func (r *FencingRound) IsExhausted() bool { return r.machinesLeft <= 0 || r.searchesLeft <= 0 }

// Movable returns those of a job's placements that are on machines of lost zones which have been silent for longer
// than the grace period.
func (r *FencingRound) Movable(placements []*machineregistry.Placement) (movable []*machineregistry.Placement) {
	for _, placement := range placements {
		machine := r.manager.options.Machines.Machine(placement.Machine)
		if r.manager.IsZoneLost(placement.Zone) && machine != nil && r.now-machine.LastHeartbeat > r.gracePeriod {
			movable = append(movable, placement)
		}
	}
	return movable
}

// Displaced is a job with work in a lost zone or pending tasks.
type Displaced struct {
	Borrower
	// Startable is how many pending tasks its team's quota lets start.
	Startable int
	// Unfinished is how many tasks it has that are pending or placed.
	Unfinished int
	// Movable are its placements that are worth fencing if their tasks find capacity elsewhere.
	Movable []*machineregistry.Placement
}

// FenceFor fences machines that hold movable tasks of a job, as far as there is capacity elsewhere for these tasks
// after the job's pending ones.
func (r *FencingRound) FenceFor(job *Displaced) {
	waiting := min(job.Startable, maxWaitingConsidered)
	whole := job.Job.Shape == protocol.Gang || job.Job.SameZone
	wanted := waiting + len(job.Movable)
	if whole {
		wanted = job.Unfinished
	}
	request, ok := r.manager.Request(&job.Borrower, wanted)
	if !ok {
		return
	}
	r.searchesLeft--
	found := r.capacity.Allocate(&job.Borrower, request, whole) - waiting
	if found <= 0 && len(job.Movable) > 0 {
		r.manager.DelaySearch(r.now, job.Job.ID)
	}
	for _, placement := range job.Movable[:max(0, min(found, len(job.Movable)))] {
		r.fenceMachineOf(job.Job.ID, placement)
	}
}

// fenceMachineOf has the machine of a placement terminated.
func (r *FencingRound) fenceMachineOf(jobID string, placement *machineregistry.Placement) {
	machine := r.manager.options.Machines.Machine(placement.Machine)
	if machine == nil || machine.Terminating {
		return
	}
	since, _ := r.manager.monitor.LostSince(placement.Zone)
	machine.MarkTerminating()
	r.machinesLeft--
	r.manager.decide(MachineFenced{Machine: machine.Name, Zone: machine.Zone, Job: jobID, LostFor: r.now - since})
}
