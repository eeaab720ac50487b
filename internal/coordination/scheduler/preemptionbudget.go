package scheduler

import "pinebay/internal/coordination/jobstate"

// Costs of searches for victims, in machines examined.
const (
	preemptionBudgetPerCycle = 1 << 18
	// victimSelectionCost is what choosing the victims on a machine costs beyond examining it.
	victimSelectionCost = 8
)

// preemptionBudget bounds what the searches for victims cost in a cycle, and shares the searches between
// the jobs that wait for some: when the budget of a cycle is used up, the jobs that had a search in this
// round wait until the others have had one.
type preemptionBudget struct {
	perCycle int
	left     int
	round    uint64
	// capacityEvents counts what may have freed capacity. As long as it stays the same within a cycle, a
	// search that found no victims need not be repeated for the same key.
	capacityEvents uint64
	noVictimsSince map[searchKey]uint64 // by key, the capacityEvents at the search that found none
}

func newPreemptionBudget() preemptionBudget {
	return preemptionBudget{perCycle: preemptionBudgetPerCycle, round: 1}
}

// beginCycle makes the budget of a cycle available.
func (b *preemptionBudget) beginCycle() {
	b.left = b.perCycle
	b.noVictimsSince = map[searchKey]uint64{}
}

// endCycle begins a new round if every job that asked for a search has had one.
func (b *preemptionBudget) endCycle() {
	if b.left > 0 {
		b.round++
	}
}

// spend takes the cost of examined machines from the budget. The last search of a cycle may overdraw it.
func (b *preemptionBudget) spend(machines int) { b.left -= machines }

// admit reports whether a job may search for victims now, and notes its search of the round.
func (b *preemptionBudget) admit(j *jobstate.Job, key searchKey, cycle uint64) bool {
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

// capacityMayBeFree notes that searches that found no victims may find some again.
func (b *preemptionBudget) capacityMayBeFree() { b.capacityEvents++ }

// noVictims notes that a search found none.
func (b *preemptionBudget) noVictims(key searchKey) { b.noVictimsSince[key] = b.capacityEvents }
