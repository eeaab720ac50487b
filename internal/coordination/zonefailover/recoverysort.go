package zonefailover

import (
	"cmp"
	"slices"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Rank is what the place of a job in the recovery order depends on.
type Rank struct {
	Job      *protocol.Job
	Priority int // level of its priority, 0 for the highest
	// StartLatencyObjective is the wait for a start that its class's objectives allow, in seconds.
	StartLatencyObjective float64
}

// rankedJob is a job with the keys that it is sorted by.
type rankedJob[J any] struct {
	job      J
	position int
	rank     Rank
	debt     float64 // what the job is owed for its loans
}

// IsOrderInEffect reports whether jobs are taken in the recovery order: while a zone is lost or not trusted again
// yet, and until all loans are closed. It is false for a nil Manager.
func (m *Manager) IsOrderInEffect() bool {
	return m != nil && (m.InFailover() || m.ledger.Len() > 0)
}

// SortByRecoveryOrder sorts jobs by the recovery order while that is in effect: by the order that operators have
// stated, priority, what lenders are owed once no zone is lost, and the start latency objective. Jobs that are equal
// in all of these stay as they are. It does nothing for a nil Manager.
func SortByRecoveryOrder[J any](m *Manager, jobs []J, rankOf func(J) Rank) {
	if !m.IsOrderInEffect() {
		return
	}
	var debts map[string]float64
	if !m.monitor.AnyInState(Lost) {
		debts = m.ledger.Debts()
	}
	ranked := make([]rankedJob[J], len(jobs))
	for i, job := range jobs {
		rank := rankOf(job)
		ranked[i] = rankedJob[J]{
			job:      job,
			position: m.order.Position(rank.Job.Class, rank.Job.Team),
			rank:     rank,
			debt:     debts[rank.Job.ID],
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedJob[J]) int {
		return cmp.Or(
			cmp.Compare(a.position, b.position),
			cmp.Compare(a.rank.Priority, b.rank.Priority),
			cmp.Compare(b.debt, a.debt),
			cmp.Compare(a.rank.StartLatencyObjective, b.rank.StartLatencyObjective),
		)
	})
	for i := range ranked {
		jobs[i] = ranked[i].job
	}
}

// RecoveryPosition is the position of a job's class or team in the recovery order, and 0 for every job while no zone
// is lost or returning, or for a nil Manager.
func (m *Manager) RecoveryPosition(job *protocol.Job) int {
	if !m.InFailover() {
		return 0
	}
	return m.order.Position(job.Class, job.Team)
}

// RecoversBefore reports whether the recovery order puts the work of a placement before a job, whatever their
// priorities. It is false for a nil Manager.
func (m *Manager) RecoversBefore(placement *machineregistry.Placement, job *protocol.Job) bool {
	if !m.InFailover() {
		return false
	}
	class := ""
	if placement.Job != nil {
		class = placement.Job.Class
	}
	return m.order.Position(class, placement.Team) < m.order.Position(job.Class, job.Team)
}

// RiskPenalty is what the start of a replica of the highest priority costs more, in seconds, in a zone that may be lost
// again at any time. Other work starts anywhere alike. It is 0 for a nil Manager.
func (m *Manager) RiskPenalty(job *protocol.Job, priority int, zone string) float64 {
	if m == nil || priority > 0 || job.Shape != protocol.Service || m.monitor.State(zone) == Available {
		return 0
	}
	return m.options.Settings.Workers.LeaseSeconds
}

// SortZonesByState sorts zones so that available ones come first: where several have as little capacity, a job must
// not wait for some in a lost one. It does nothing for a nil Manager.
func (m *Manager) SortZonesByState(zones []string) {
	if m == nil {
		return
	}
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Compare(m.monitor.State(a), m.monitor.State(b))
	})
}
