package zonefailover

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

const (
	// searchesPerCore is the maximum number of capacity searches per cycle and CPU core of the controller's quota. A
	// search among a hundred full machines takes a core one to two milliseconds, and the core does other work as well.
	searchesPerCore = 100
	// minSearches is the minimum number of capacity searches per cycle, however small the controller's CPU share is.
	minSearches = 2
	// searchRetryCycles is the number of cycles after which a search is repeated for a job that found no capacity.
	searchRetryCycles = 3
	// disruptionHeartbeats is the cost of preempting tasks of one more job, in heartbeat intervals.
	disruptionHeartbeats = 3
)

// Borrower is a job that needs capacity.
type Borrower struct {
	Job       *protocol.Job
	Need      machineregistry.Resources // of one task
	Priority  int                       // priority level, 0 is the highest
	OnlyZone  string                    // the only zone that its tasks may start in, or ""
	MaxInZone int                       // maximum number of its tasks in one zone
	InZone    map[string]int            // number of placed tasks by zone
}

// MayBorrow reports whether a job may borrow capacity: it must have lost tasks with a zone that is not available again
// yet. The method returns false for a nil Manager.
func (m *Manager) MayBorrow(jobID string) bool {
	if m == nil {
		return false
	}
	zone, displaced := m.displacedJobs[jobID]
	return displaced && m.monitor.State(zone) != Available
}

// MaySearch reports whether a capacity search is allowed for a job now. After a failed search, DelaySearch delays the
// next one.
func (m *Manager) MaySearch(now time.Duration, jobID string) bool {
	return now >= m.nextSearchAt[jobID]
}

// AcquireSearch reports whether a capacity search for a job is allowed now and within the budget of the current cycle.
// It counts an allowed search toward the budget.
func (m *Manager) AcquireSearch(now time.Duration, jobID string) bool {
	if !m.MaySearch(now, jobID) {
		return false
	}
	if now-m.searchCycleStart >= m.options.CycleInterval {
		m.searchCycleStart, m.searchesInCycle = now, 0
	}
	m.searchesInCycle++
	return m.searchesInCycle <= m.searchBudget()
}

// searchBudget returns the maximum number of capacity searches per cycle.
func (m *Manager) searchBudget() int {
	return max(minSearches, int(searchesPerCore*m.options.Settings.Quota.CoreShare))
}

// DelaySearch delays the next search for a job for which no capacity was found.
func (m *Manager) DelaySearch(now time.Duration, jobID string) {
	m.nextSearchAt[jobID] = now + searchRetryCycles*m.options.CycleInterval
}

// Request returns a request for capacity for the given number of tasks of a job, limited to available zones. It returns
// false if no zone may take any of the tasks.
func (m *Manager) Request(borrower *Borrower, tasks int) (CapacityRequest, bool) {
	perZone := map[string]int{}
	total := 0
	for _, zone := range m.monitor.Zones() {
		if zone.State != Available || borrower.Job.Zone != "" && borrower.Job.Zone != zone.Name {
			continue
		}
		if n := min(tasks, borrower.MaxInZone-borrower.InZone[zone.Name]); n > 0 {
			perZone[zone.Name] = n
			total += n
		}
	}
	return CapacityRequest{
		Need:           borrower.Need,
		Tasks:          min(tasks, total),
		MaxPerZone:     perZone,
		DisruptionCost: disruptionHeartbeats * m.options.Settings.Workers.HeartbeatSeconds,
	}, total > 0
}

// BorrowableCapacity tracks the free and lendable capacity in available zones while it is allocated to one job after
// another.
type BorrowableCapacity struct {
	manager  *Manager
	now      time.Duration
	machines []*borrowableMachine
	// usageByTeam is the resource usage of teams that have lent capacity, minus what they have lent.
	usageByTeam map[string]machineregistry.Resources
	lent        map[TaskAttempt]bool
}

// borrowableMachine is a machine in an available zone.
type borrowableMachine struct {
	candidate *candidates.Candidate
	free      machineregistry.Resources    // not allocated yet
	lenders   []*machineregistry.Placement // tasks that may lend to some job, sorted by task
}

// BorrowableCapacity returns the capacity of the given machines that are in available zones.
func (m *Manager) BorrowableCapacity(now time.Duration, machines []*candidates.Candidate) *BorrowableCapacity {
	b := &BorrowableCapacity{
		manager:     m,
		now:         now,
		usageByTeam: map[string]machineregistry.Resources{},
		lent:        map[TaskAttempt]bool{},
	}
	for _, candidate := range machines {
		if m.monitor.State(candidate.Machine.Zone) == Available {
			b.machines = append(b.machines, m.borrowableMachine(candidate))
		}
	}
	return b
}

// borrowableMachine returns a machine with its potential lenders. Resources of tasks that are being stopped count as
// free.
func (m *Manager) borrowableMachine(candidate *candidates.Candidate) *borrowableMachine {
	b := &borrowableMachine{candidate: candidate, free: candidate.Free}
	candidate.Machine.EachPlacement(func(placement *machineregistry.Placement) {
		switch {
		case placement.Stopping:
			b.free = b.free.Plus(placement.Resources)
		case m.isLendable(placement):
			b.lenders = append(b.lenders, placement)
		}
	})
	slices.SortFunc(b.lenders, func(x, y *machineregistry.Placement) int {
		return cmp.Or(cmp.Compare(x.Task.JobID, y.Task.JobID), cmp.Compare(x.Task.Index, y.Task.Index))
	})
	return b
}

// isLendable reports whether the capacity of a placement may be lent: its job must be active and not of the highest
// priority, and the capacity must not be lent already.
func (m *Manager) isLendable(placement *machineregistry.Placement) bool {
	return placement.PriorityLevel > 0 && m.options.Jobs.IsActive(placement.Task.JobID) &&
		!m.ledger.IsLent(attemptOf(placement))
}

// attemptOf returns the task attempt of a placement.
func attemptOf(placement *machineregistry.Placement) TaskAttempt {
	return TaskAttempt{Job: placement.Task.JobID, Task: placement.Task.Index, Attempt: placement.Attempt}
}

// Choose chooses capacity for a request on the feasible machines, without allocating it.
func (b *BorrowableCapacity) Choose(
	borrower *Borrower,
	request CapacityRequest,
	feasible func(*candidates.Candidate) bool,
) Choice {
	var offers []CapacityOffer
	for _, borrowable := range b.machines {
		candidate, machine := borrowable.candidate, borrowable.candidate.Machine
		if request.MaxPerZone[machine.Zone] <= 0 || !feasible(candidate) ||
			!borrower.Need.Fits(candidate.Capacity()) {
			continue
		}
		fetch := b.manager.options.Machines.FetchTime(b.now, machine, borrower.Job)
		offers = append(offers, CapacityOffer{
			Machine:   machine.Name,
			Zone:      machine.Zone,
			Free:      borrowable.free,
			Lenders:   b.lendersFor(borrower, borrowable),
			StartCost: fetch.Seconds(),
		})
	}
	return ChooseLenders(request, offers)
}

// lendersFor returns the tasks on a machine that may lend to a job: tasks of lower priority that are not covered by the
// guaranteed quota of their team.
func (b *BorrowableCapacity) lendersFor(borrower *Borrower, machine *borrowableMachine) (lenders []Lender) {
	capacity := machine.candidate.Capacity()
	for _, placement := range machine.lenders {
		lender := attemptOf(placement)
		if placement.PriorityLevel <= borrower.Priority ||
			b.manager.RecoversBefore(placement, borrower.Job) ||
			b.lent[lender] || b.isProtected(placement) {
			continue
		}
		isGang := placement.Job != nil && placement.Job.Shape == protocol.Gang
		cost := lostWorkSeconds(b.now, placement) * placement.Resources.DominantShare(capacity)
		// A job that has lent before is more likely to miss its objectives if it lends again.
		cost += float64(b.manager.loansByJob[lender.Job])
		if isGang {
			// All tasks of the gang must find capacity again, and often fetch their image again.
			cost += machine.candidate.Type.BootSeconds
		}
		lenders = append(lenders, Lender{Task: lender, Need: placement.Resources, Cost: cost, Gang: isGang})
	}
	return lenders
}

// isProtected reports whether the usage of a placement's team, minus what it has lent, is within its guaranteed quota.
func (b *BorrowableCapacity) isProtected(placement *machineregistry.Placement) bool {
	return b.manager.options.Jobs.FitsGuaranteedQuota(placement.Team, b.teamUsage(placement.Team))
}

// teamUsage returns the resource usage of a team, minus what it has lent.
func (b *BorrowableCapacity) teamUsage(team string) machineregistry.Resources {
	usage, ok := b.usageByTeam[team]
	if !ok {
		usage = b.manager.options.Machines.TeamUsage(team)
	}
	return usage
}

// Allocate allocates capacity for the tasks of a request on any machine and returns the number of tasks that have
// capacity. If allOrNothing is set, it allocates nothing unless all tasks have capacity.
func (b *BorrowableCapacity) Allocate(borrower *Borrower, request CapacityRequest, allOrNothing bool) int {
	choose := b.Choose
	if borrower.Job.SameZone {
		choose = b.chooseSingleZone
	}
	choice := choose(borrower, request, func(*candidates.Candidate) bool { return true })
	if allOrNothing && len(choice.Picks) < request.Tasks {
		return 0
	}
	b.markAllocated(borrower, choice)
	return len(choice.Picks)
}

// chooseSingleZone chooses capacity in a single zone: the one with capacity for the most tasks, and the cheapest of
// several such zones.
func (b *BorrowableCapacity) chooseSingleZone(
	borrower *Borrower,
	request CapacityRequest,
	feasible func(*candidates.Candidate) bool,
) (best Choice) {
	for _, zone := range b.manager.options.Jobs.AllowedZones(borrower.Job) {
		choice := b.Choose(borrower, request.InZone(zone), feasible)
		more := len(choice.Picks) - len(best.Picks)
		if more > 0 || more == 0 && choice.Cost < best.Cost {
			best = choice
		}
	}
	return best
}

// markAllocated marks the capacity of a choice as allocated.
func (b *BorrowableCapacity) markAllocated(borrower *Borrower, choice Choice) {
	for _, machine := range b.machines {
		for _, placement := range machine.lenders {
			if !slices.Contains(choice.Lenders, attemptOf(placement)) {
				continue
			}
			b.lent[attemptOf(placement)] = true
			b.usageByTeam[placement.Team] = b.teamUsage(placement.Team).Minus(placement.Resources)
			machine.free = machine.free.Plus(placement.Resources)
		}
		for _, pick := range choice.Picks {
			if pick.Machine == machine.candidate.Machine.Name {
				machine.free = machine.free.Minus(borrower.Need)
			}
		}
	}
}

// ViolatesQuota reports whether a choice as a whole would take capacity from a team's guaranteed quota. Each lender on
// its own is beyond the guaranteed quota, but several lenders of one team together may reach into it.
func (b *BorrowableCapacity) ViolatesQuota(choice Choice) bool {
	usage := map[string]machineregistry.Resources{} // by team, minus what this choice lends
	for _, machine := range b.machines {
		for _, placement := range machine.lenders {
			if !slices.Contains(choice.Lenders, attemptOf(placement)) {
				continue
			}
			used, ok := usage[placement.Team]
			if !ok {
				used = b.teamUsage(placement.Team)
			}
			if b.manager.options.Jobs.FitsGuaranteedQuota(placement.Team, used) {
				return true
			}
			usage[placement.Team] = used.Minus(placement.Resources)
		}
	}
	return false
}
