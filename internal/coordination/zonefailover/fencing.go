package zonefailover

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

const (
	// fenceDivisor limits fencing: one in fenceDivisor of the machines in lost zones may be fenced per cycle.
	fenceDivisor = 20
	// maxPendingConsidered is the maximum number of a job's pending tasks for which capacity is reserved before
	// machines are fenced to move its tasks out of a lost zone.
	maxPendingConsidered = 32
)

// FencingRound decides during one cycle which machines of lost zones are fenced, job by job in recovery order.
//
// Only fencing proves that the tasks on a machine no longer run, so that they may start elsewhere. A machine is fenced
// only if the movable tasks on it would find capacity elsewhere. Other tasks stay and continue at once when the zone
// returns.
type FencingRound struct {
	manager           *Manager
	now               time.Duration
	gracePeriod       time.Duration
	machinesRemaining int // machines that may still be fenced
	searchesRemaining int
	capacity          *BorrowableCapacity
}

// NewFencingRound starts the fencing round of a cycle. machines are the machines that accept new tasks.
func (m *Manager) NewFencingRound(now time.Duration, machines []*candidates.Candidate) *FencingRound {
	return &FencingRound{
		manager:           m,
		now:               now,
		gracePeriod:       m.lostMachineGracePeriod(),
		machinesRemaining: m.fenceBudget(),
		searchesRemaining: m.searchBudget(),
		capacity:          m.BorrowableCapacity(now, machines),
	}
}

// fenceBudget returns the maximum number of machines that may be fenced per cycle.
func (m *Manager) fenceBudget() int {
	n := 0
	m.options.Machines.Each(func(machine *machineregistry.Machine) {
		if m.IsZoneLost(machine.Zone) {
			n++
		}
	})
	return max(1, n/fenceDivisor)
}

// lostMachineGracePeriod returns how long a machine of a lost zone must be unreachable before it may be fenced: until
// its leases have certainly expired, and at least one boot time. Moving work costs about one boot time as well, because
// the image is fetched elsewhere and a machine is booted when the zone returns. To wait for as long as a move costs is
// at most twice as expensive as the best choice in hindsight.
func (m *Manager) lostMachineGracePeriod() time.Duration {
	period := m.MaxLeaseLifetime()
	for _, t := range m.options.Machines.MachineTypes() {
		period = max(period, config.Seconds(t.BootSeconds))
	}
	return period
}

// IsExhausted reports whether the fencing or search budget of this cycle is used up.
func (r *FencingRound) IsExhausted() bool {
	return r.machinesRemaining <= 0 || r.searchesRemaining <= 0
}

// Movable returns the placements on machines of lost zones that have been unreachable for longer than the grace period.
func (r *FencingRound) Movable(placements []*machineregistry.Placement) (movable []*machineregistry.Placement) {
	for _, placement := range placements {
		machine := r.manager.options.Machines.Machine(placement.Machine)
		if r.manager.IsZoneLost(placement.Zone) && machine != nil && r.now-machine.LastHeartbeat > r.gracePeriod {
			movable = append(movable, placement)
		}
	}
	return movable
}

// DisplacedJob is a job with tasks in a lost zone or pending tasks.
type DisplacedJob struct {
	Borrower
	// Startable is the number of pending tasks that the team's quota allows to start.
	Startable int
	// Unfinished is the number of pending and placed tasks.
	Unfinished int
	// Movable holds the placements whose machines should be fenced if the tasks find capacity elsewhere.
	Movable []*machineregistry.Placement
}

// FenceFor fences machines with movable tasks of a job, as far as there is capacity elsewhere for these tasks in
// addition to the job's pending ones.
func (r *FencingRound) FenceFor(job *DisplacedJob) {
	pending := min(job.Startable, maxPendingConsidered)
	allOrNothing := job.Job.Shape == protocol.Gang || job.Job.SameZone
	wanted := pending + len(job.Movable)
	if allOrNothing {
		wanted = job.Unfinished
	}
	request, ok := r.manager.Request(&job.Borrower, wanted)
	if !ok {
		return
	}
	r.searchesRemaining--
	found := r.capacity.Allocate(&job.Borrower, request, allOrNothing) - pending
	if found <= 0 && len(job.Movable) > 0 {
		r.manager.DelaySearch(r.now, job.Job.ID)
	}
	for _, placement := range job.Movable[:max(0, min(found, len(job.Movable)))] {
		r.fenceMachineOf(job.Job.ID, placement)
	}
}

// fenceMachineOf marks the machine of a placement for termination.
func (r *FencingRound) fenceMachineOf(jobID string, placement *machineregistry.Placement) {
	machine := r.manager.options.Machines.Machine(placement.Machine)
	if machine == nil || machine.Terminating {
		return
	}
	lostAt, _ := r.manager.monitor.LostSince(placement.Zone)
	machine.MarkTerminating()
	r.machinesRemaining--
	r.manager.addDecision(MachineFenced{Machine: machine.Name, Zone: machine.Zone, Job: jobID, LostFor: r.now - lostAt})
}
