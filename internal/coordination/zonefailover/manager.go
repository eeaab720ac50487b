package zonefailover

import (
	"log/slog"
	"maps"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Jobs gives a Manager access to the scheduler's jobs and quotas.
type Jobs interface {
	// Lender returns the current state of a task whose capacity is or may be lent.
	Lender(task TaskAttempt) LenderState
	// IsActive reports whether a job is known and has not ended.
	IsActive(jobID string) bool
	// FitsGuaranteedQuota reports whether a team has a guaranteed quota that covers the usage.
	FitsGuaranteedQuota(team string, usage machineregistry.Resources) bool
	// AllowedZones returns the zones that a job may run in, sorted by name.
	AllowedZones(job *protocol.Job) []string
}

// Options configures a Manager.
type Options struct {
	Settings *config.Deployment
	Machines *machineregistry.Registry
	Jobs     Jobs
	Log      *slog.Logger
	Order    *RecoveryOrder
	// Zones holds the zones of the cloud. With a single zone, failover is not possible.
	Zones []string
	// Limits holds the limits on the stored records at the start of the term.
	Limits RecordLimits
	// CycleInterval is the interval of the scheduling cycle.
	CycleInterval time.Duration
	// Term is the leader's term. It started at TermStartedAt on the leader's clock, which is TermStartedMS in Unix
	// milliseconds.
	Term          uint64
	TermStartedAt time.Duration
	TermStartedMS int64
}

// Manager owns the state of zone failover in one leader's term and makes its decisions.
//
// Zone failover is optional, and a nil *Manager means that it is off. The methods whose comments mention a nil Manager
// accept one and behave as if no zone could be lost.
type Manager struct {
	options Options
	order   *RecoveryOrder
	monitor *Monitor
	ledger  *Ledger
	records recordPages

	lastLoanNumber uint64
	// awaitingPreemption is the set of lenders of loans made in this term that have not been preempted yet.
	awaitingPreemption map[TaskAttempt]bool
	// departedMachines holds the zone of each machine that failed or left the cloud's list while the zone was not
	// available, by machine name.
	departedMachines map[string]string
	// loansByJob is the number of loans in which each job was the lender since all zones were last available.
	loansByJob map[string]int
	// displacedJobs maps each job that lost tasks with a zone to that zone.
	displacedJobs map[string]string
	// nextSearchAt is, for each job whose last capacity search failed, the earliest time of the next one.
	nextSearchAt map[string]time.Duration
	// searchesInCycle is the number of capacity searches since searchCycleStart.
	searchesInCycle  int
	searchCycleStart time.Duration
	// decisions holds the decisions since the last call of TakeDecisions.
	decisions []Decision
}

// NewManager returns the Manager of a term in which all zones are available and no loan is open.
func NewManager(now time.Duration, options Options) *Manager {
	m := &Manager{
		options:            options,
		order:              options.Order,
		monitor:            NewMonitor(now, config.Seconds(options.Settings.Workers.LeaseSeconds), options.Zones),
		ledger:             NewLedger(options.Limits.maxOpenLoans(options.Settings.Quota.RAMMB)),
		records:            newRecordPages(),
		awaitingPreemption: map[TaskAttempt]bool{},
		departedMachines:   map[string]string{},
		loansByJob:         map[string]int{},
		displacedJobs:      map[string]string{},
		nextSearchAt:       map[string]time.Duration{},
	}
	m.addDecision(RecoveryOrderInEffect{Order: m.order.String(), ZoneCount: len(options.Zones)})
	return m
}

// Monitor returns the monitor of the zones' states.
func (m *Manager) Monitor() *Monitor { return m.monitor }

// Ledger returns the ledger of open loans.
func (m *Manager) Ledger() *Ledger { return m.ledger }

// HasMultipleZones reports whether there are several zones. Only then can the loss of a zone be distinguished from a
// failure of this controller's own network, and work move elsewhere.
func (m *Manager) HasMultipleZones() bool { return len(m.options.Zones) > 1 }

// InFailover reports whether any zone is lost or returning. It returns false for a nil Manager.
func (m *Manager) InFailover() bool {
	return m != nil && m.HasMultipleZones() && m.monitor.AnyInState(Lost, Returning)
}

// IsZoneLost reports whether a zone is lost. It returns false for a nil Manager.
func (m *Manager) IsZoneLost(zone string) bool { return m != nil && m.monitor.State(zone) == Lost }

// addDecision adds a decision to those that TakeDecisions returns.
func (m *Manager) addDecision(d Decision) { m.decisions = append(m.decisions, d) }

// TakeDecisions returns the decisions since the last call, oldest first. It returns nil for a nil Manager.
func (m *Manager) TakeDecisions() []Decision {
	if m == nil {
		return nil
	}
	decisions := m.decisions
	m.decisions = nil
	return decisions
}

// unixMS converts a time of the leader's clock to Unix milliseconds.
func (m *Manager) unixMS(now time.Duration) int64 {
	return m.options.TermStartedMS + (now - m.options.TermStartedAt).Milliseconds()
}

// MarkDisplaced records that a job lost a task with a machine of a zone. If the zone is lost or returning, the job may
// borrow capacity elsewhere. Otherwise the call has no effect. It does nothing for a nil Manager.
func (m *Manager) MarkDisplaced(jobID, zone string) {
	if m == nil {
		return
	}
	switch m.monitor.State(zone) {
	case Lost, Returning:
		m.displacedJobs[jobID] = zone
	}
}

// ForgetJob drops the state of a job that no longer exists. It does nothing for a nil Manager.
func (m *Manager) ForgetJob(jobID string) {
	if m == nil {
		return
	}
	delete(m.displacedJobs, jobID)
	delete(m.nextSearchAt, jobID)
}

// ResetAfterFailover resets the displaced jobs and the loan counts per job once all zones are available.
func (m *Manager) ResetAfterFailover(now time.Duration) {
	if m.monitor.AnyInState(Suspected, Lost, Returning) {
		return
	}
	clear(m.loansByJob)
	clear(m.displacedJobs)
	maps.DeleteFunc(m.nextSearchAt, func(_ string, at time.Duration) bool { return now >= at })
}
