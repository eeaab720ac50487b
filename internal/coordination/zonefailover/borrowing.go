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
	// searchesPerCore is for how many jobs a whole core searches for capacity in a cycle, next to its other work: a
	// search among a hundred full machines takes it a millisecond or two.
	searchesPerCore = 100
	// minSearches is for how many jobs capacity is searched for in a cycle on however small a part of a core.
	minSearches = 2
	// searchRetryCycles is after how many cycles capacity is searched for again for a job for which there was none.
	searchRetryCycles = 3
	// disturbanceHeartbeats is what it costs that one more job lends capacity, in times of the heartbeat interval.
	disturbanceHeartbeats = 3
)

// Borrower is a job for which capacity is searched.
type Borrower struct {
	Job       *protocol.Job
	Need      machineregistry.Resources // of one task
	Priority  int                       // level of its priority, 0 for the highest
	OnlyZone  string                    // that its tasks may start in, or ""
	MaxInZone int                       // how many of its tasks may be in one zone
	InZone    map[string]int            // tasks that it has placed, by zone
}

// MayBorrow reports whether a job may borrow capacity: it has lost tasks with a zone that is not available again. It
// is false for a nil Manager.
func (m *Manager) MayBorrow(jobID string) bool {
	if m == nil {
		return false
	}
	zone, displaced := m.displacedJobs[jobID]
	return displaced && m.monitor.State(zone) != Available
}

// MaySearch reports whether capacity may be searched for now for a job, given earlier searches in vain.
func (m *Manager) MaySearch(now time.Duration, jobID string) bool { return now >= m.nextSearch[jobID] }

// AcquireSearch reports whether capacity to borrow may be searched for now for a job, and counts the search.
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

// searchBudget is for how many jobs capacity may be searched for in a cycle.
func (m *Manager) searchBudget() int {
	return max(minSearches, int(searchesPerCore*m.options.Settings.Quota.CoreShare))
}

// DelaySearch puts off the next search for a job for which no capacity was found.
func (m *Manager) DelaySearch(now time.Duration, jobID string) {
	m.nextSearch[jobID] = now + searchRetryCycles*m.options.CycleInterval
}

// Request returns the capacity that so many tasks of a job may take in available zones, and false if it may take none.
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
		Need:            borrower.Need,
		Tasks:           min(tasks, total),
		MaxPerZone:      perZone,
		DisturbanceCost: disturbanceHeartbeats * m.options.Settings.Workers.HeartbeatSeconds,
	}, total > 0
}

// BorrowableCapacity is the capacity in available zones, free or held by work that may lend it, while it is dealt out
// to jobs one after the other.
type BorrowableCapacity struct {
	manager  *Manager
	now      time.Duration
	machines []*borrowableMachine
	// usageByTeam is the usage of teams that have lent, less what they have lent.
	usageByTeam map[string]machineregistry.Resources
	lent        map[TaskAttempt]bool
}

// borrowableMachine is a machine of an available zone.
type borrowableMachine struct {
	candidate *candidates.Candidate
	free      machineregistry.Resources    // less what has been dealt out
	lenders   []*machineregistry.Placement // that may lend to some job, sorted by task
}

// BorrowableCapacity returns the capacity on those of the machines that are in available zones.
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

// borrowableMachine returns a machine with its possible lenders. What is being stopped counts as free.
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

// isLendable reports whether a placement's capacity may be lent at all: never that of the highest priority, nor what
// has been lent already.
func (m *Manager) isLendable(placement *machineregistry.Placement) bool {
	return placement.PriorityLevel > 0 && m.options.Jobs.IsActive(placement.Task.JobID) &&
		!m.ledger.IsLent(attemptOf(placement))
}

// attemptOf returns the attempt that a placement is of.
func attemptOf(placement *machineregistry.Placement) TaskAttempt {
	return TaskAttempt{Job: placement.Task.JobID, Task: placement.Task.Index, Attempt: placement.Attempt}
}

// Choose chooses capacity for a request on the machines that are feasible, without taking it.
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

// lendersFor returns the work on a machine that may lend to a job: work of lower priority that its team does not run
// within its guaranteed quota.
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
		// A job that has lent before is the more likely to miss its objectives for it.
		cost += float64(b.manager.loansByJob[lender.Job])
		if isGang {
			// All of it has to find capacity, and often its image, again.
			cost += machine.candidate.Type.BootSeconds
		}
		lenders = append(lenders, Lender{Task: lender, Need: placement.Resources, Cost: cost, Gang: isGang})
	}
	return lenders
}

// isProtected reports whether a placement's team uses no more than its guaranteed quota, less what it has lent.
func (b *BorrowableCapacity) isProtected(placement *machineregistry.Placement) bool {
	return b.manager.options.Jobs.FitsGuaranteedQuota(placement.Team, b.teamUsage(placement.Team))
}

// teamUsage is what a team uses, less what it has lent.
func (b *BorrowableCapacity) teamUsage(team string) machineregistry.Resources {
	usage, ok := b.usageByTeam[team]
	if !ok {
		usage = b.manager.options.Machines.TeamUsage(team)
	}
	return usage
}

// Allocate takes capacity for the tasks of a request, on any machine, and returns for how many there is some. A
// request that must be met whole gets all or nothing.
func (b *BorrowableCapacity) Allocate(borrower *Borrower, request CapacityRequest, whole bool) int {
	choose := b.Choose
	if borrower.Job.SameZone {
		choose = b.chooseSingleZone
	}
	choice := choose(borrower, request, func(*candidates.Candidate) bool { return true })
	if whole && len(choice.Picks) < request.Tasks {
		return 0
	}
	b.take(borrower, choice)
	return len(choice.Picks)
}

// chooseSingleZone chooses capacity in one zone: the cheapest of those with capacity for most tasks.
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

// take takes the capacity of a choice, so that it is not dealt out again.
func (b *BorrowableCapacity) take(borrower *Borrower, choice Choice) {
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

// ViolatesQuota reports whether a choice as a whole would take from what a team is guaranteed: each lender alone is
// beyond its team's guaranteed quota, but several together may not be.
func (b *BorrowableCapacity) ViolatesQuota(choice Choice) bool {
	usage := map[string]machineregistry.Resources{} // by team, less what it lends by this choice
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
