package placement

import "pinebay/internal/coordination/jobstate"

// Limits and costs of preemption searches, in machines examined.
const (
	// defaultPreemptionBudget is the default of PreemptionBudget.PerCycle.
	defaultPreemptionBudget = 1 << 18
	// victimSelectionCost is the extra cost of selecting the victims on a machine, on top of the cost of 1 for
	// examining it.
	victimSelectionCost = 8
)

// PreemptionBudget limits the cost of the preemption searches of each scheduling cycle and divides the searches
// fairly among the waiting jobs: once the budget of a cycle is used up, a job that has already searched in the
// current round does not search again until every other job that asked for a search has had one.
type PreemptionBudget struct {
	// PerCycle is the budget of each cycle, in machines examined.
	PerCycle int

	remaining int
	round     uint64
	// capacityEvents counts the events that may have freed capacity. Within a cycle, a search that found no victims
	// need not be repeated for the same key until this counter changes.
	capacityEvents uint64
	// failedSearches maps the key of each search that found no victims to the value of capacityEvents at that time.
	failedSearches map[SearchKey]uint64
}

// NewPreemptionBudget returns a budget with the default limit. It admits no search before the first call of
// BeginCycle.
func NewPreemptionBudget() *PreemptionBudget {
	return &PreemptionBudget{PerCycle: defaultPreemptionBudget, round: 1}
}

// BeginCycle starts a scheduling cycle with a full budget.
func (b *PreemptionBudget) BeginCycle() {
	b.remaining = b.PerCycle
	b.failedSearches = map[SearchKey]uint64{}
}

// EndCycle ends a scheduling cycle. If budget remains, every job that asked for a search has had one, and a new round
// starts.
func (b *PreemptionBudget) EndCycle() {
	if b.remaining > 0 {
		b.round++
	}
}

// spend charges the budget for examined machines. The last search of a cycle may overdraw it.
func (b *PreemptionBudget) spend(machines int) { b.remaining -= machines }

// Admit reports whether a job may search for victims now and, if so, records the search for the current round.
func (b *PreemptionBudget) Admit(j *jobstate.Job, key SearchKey, cycle uint64) bool {
	if events, ok := b.failedSearches[key]; ok && events == b.capacityEvents {
		return false
	}
	if b.remaining <= 0 {
		return false
	}
	if j.PreemptionRound == b.round && j.PreemptionCycle != cycle {
		return false // it already searched in an earlier cycle of this round
	}
	j.PreemptionRound, j.PreemptionCycle = b.round, cycle
	return true
}

// InvalidateFailedSearches records that capacity may have been freed, so that searches that found no victims may be
// repeated.
func (b *PreemptionBudget) InvalidateFailedSearches() { b.capacityEvents++ }

// RecordFailedSearch records that a search found no victims.
func (b *PreemptionBudget) RecordFailedSearch(key SearchKey) {
	b.failedSearches[key] = b.capacityEvents
}
