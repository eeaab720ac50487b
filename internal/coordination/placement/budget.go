package placement

import "pinebay/internal/coordination/jobstate"

// Costs of searches for victims, in machines examined.
const (
	defaultPreemptionBudget = 1 << 18
	// victimSelectionCost is what choosing the victims on a machine costs beyond examining it.
	victimSelectionCost = 8
)

// PreemptionBudget bounds what the searches for victims cost in a cycle, and shares the searches between
// the jobs that wait for some: when the budget of a cycle is used up, the jobs that had a search in this
// round wait until the others have had one.
type PreemptionBudget struct {
	// PerCycle is the budget of each cycle, in machines examined.
	PerCycle int

	left  int
	round uint64
	// capacityEvents counts what may have freed capacity. As long as it stays the same within a cycle, a
	// search that found no victims need not be repeated for the same key.
	capacityEvents uint64
	noVictimsSince map[SearchKey]uint64 // by key, the capacityEvents at the search that found none
}

// NewPreemptionBudget returns a budget with the default limit. It is used up until the first BeginCycle.
func NewPreemptionBudget() *PreemptionBudget {
	return &PreemptionBudget{PerCycle: defaultPreemptionBudget, round: 1}
}

// BeginCycle makes the budget of a cycle available.
func (b *PreemptionBudget) BeginCycle() {
	b.left = b.PerCycle
	b.noVictimsSince = map[SearchKey]uint64{}
}

// EndCycle begins a new round if every job that asked for a search has had one.
func (b *PreemptionBudget) EndCycle() {
	if b.left > 0 {
		b.round++
	}
}

// spend takes the cost of examined machines from the budget. The last search of a cycle may overdraw it.
func (b *PreemptionBudget) spend(machines int) { b.left -= machines }

// Admit reports whether a job may search for victims now, and notes its search of the round.
func (b *PreemptionBudget) Admit(j *jobstate.Job, key SearchKey, cycle uint64) bool {
	if at, ok := b.noVictimsSince[key]; ok && at == b.capacityEvents {
		return false
	}
	if b.left <= 0 {
		return false
	}
	if j.PreemptionRound == b.round && j.PreemptionCycle != cycle {
		return false // it had its search in an earlier cycle of the round
	}
	j.PreemptionRound, j.PreemptionCycle = b.round, cycle
	return true
}

// CapacityMayBeFree notes that searches that found no victims may find some again.
func (b *PreemptionBudget) CapacityMayBeFree() { b.capacityEvents++ }

// NoVictims notes that a search found none.
func (b *PreemptionBudget) NoVictims(key SearchKey) { b.noVictimsSince[key] = b.capacityEvents }
