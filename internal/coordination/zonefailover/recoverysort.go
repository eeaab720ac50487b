package zonefailover

import (
	"cmp"
	"slices"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Rank holds the properties of a job that determine its place in the recovery order.
type Rank struct {
	Job      *protocol.Job
	Priority int // priority level, 0 is the highest
	// StartLatencyObjective is the start latency objective of the job's class, in seconds.
	StartLatencyObjective float64
}

// rankedJob is a job with its sort keys.
type rankedJob[J any] struct {
	job      J
	position int
	rank     Rank
	debt     float64 // owed to the job for its loans
}

// IsOrderInEffect reports whether the recovery order is in effect: while any zone is lost or returning, and until all
// loans are closed. It returns false for a nil Manager.
func (m *Manager) IsOrderInEffect() bool {
	return m != nil && (m.InFailover() || m.ledger.Len() > 0)
}

// SortByRecoveryOrder sorts jobs by the recovery order while it is in effect. The sort keys are the position in the
// operators' order, the priority, the debt for loans (only while no zone is lost) and the start latency objective. The
// sort is stable. The function does nothing for a nil Manager.
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

// RecoveryPosition returns the position of a job's class or team in the recovery order. It returns 0 while no zone is
// lost or returning, and for a nil Manager.
func (m *Manager) RecoveryPosition(job *protocol.Job) int {
	if !m.InFailover() {
		return 0
	}
	return m.order.Position(job.Class, job.Team)
}

// RecoversBefore reports whether the recovery order puts a placement's work before a job, regardless of their
// priorities. It returns false for a nil Manager.
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

// RiskPenalty returns the additional cost, in seconds, of starting a task of a highest-priority service in a zone that
// may be lost again at any time. It returns 0 for other work and for a nil Manager.
func (m *Manager) RiskPenalty(job *protocol.Job, priority int, zone string) float64 {
	if m == nil || priority > 0 || job.Shape != protocol.Service || m.monitor.State(zone) == Available {
		return 0
	}
	return m.options.Settings.Workers.LeaseSeconds
}

// SortZonesByState sorts zones so that available ones come first, because among zones with equally little capacity, a
// job must not wait for capacity in a lost one. The sort is stable. The method does nothing for a nil Manager.
func (m *Manager) SortZonesByState(zones []string) {
	if m == nil {
		return
	}
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Compare(m.monitor.State(a), m.monitor.State(b))
	})
}
