package zonefailover

import (
	"log/slog"
	"maps"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Jobs is what a Manager asks of the scheduler's jobs and quotas.
type Jobs interface {
	// Lender returns the current state of a task whose capacity is or may be lent.
	Lender(task TaskAttempt) LenderState
	// IsActive reports whether a job is known and has not ended.
	IsActive(jobID string) bool
	// FitsGuaranteedQuota reports whether a team has a guaranteed quota and this usage is within it.
	FitsGuaranteedQuota(team string, usage machineregistry.Resources) bool
	// AllowedZones returns the zones that a job may run in, sorted by name.
	AllowedZones(job *protocol.Job) []string
}

// Options are what a Manager is made with.
type Options struct {
	Settings *config.Deployment
	Machines *machineregistry.Registry
	Jobs     Jobs
	Log      *slog.Logger
	Order    *RecoveryOrder
	// Zones are the zones of the cloud. With a single zone there is nothing to fail over to.
	Zones []string
	// Limits bound the stored records when the term begins.
	Limits RecordLimits
	// CycleInterval is the interval of the scheduling cycle.
	CycleInterval time.Duration
	// Term is the leader's term. It began at TermStartedAt by the leader's clock and at TermStartedMS by the time of
	// day, in milliseconds since the epoch.
	Term          uint64
	TermStartedAt time.Duration
	TermStartedMS int64
}

// Manager owns the state of zone failover in one leader's term and takes its decisions.
//
// The feature is optional. A nil *Manager stands for the feature being off; the methods that say so accept it and
// answer as if no zone could ever be lost.
type Manager struct {
	options Options
	order   *RecoveryOrder
	monitor *Monitor
	ledger  *Ledger
	records recordPages

	lastLoanNumber uint64
	// awaitingPreemption holds the lenders of loans made in this term that have not been preempted yet.
	awaitingPreemption map[TaskAttempt]bool
	// departedMachines holds the zones of machines that failed or left the cloud's list while their zone was not
	// available, by machine.
	departedMachines map[string]string
	// loansByJob counts the loans that each job has made since all zones were last available.
	loansByJob map[string]int
	// displacedJobs holds the zone with which each job has lost tasks, by job.
	displacedJobs map[string]string
	// nextSearch holds when capacity may be searched for again for a job for which there was none, by job.
	nextSearch map[string]time.Duration
	// searchesInCycle counts the searches for capacity to borrow since searchCycleStart.
	searchesInCycle  int
	searchCycleStart time.Duration
	// decisions have not been taken by TakeDecisions yet.
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
		nextSearch:         map[string]time.Duration{},
	}
	m.decide(RecoveryOrderInEffect{Order: m.order.String(), ZoneCount: len(options.Zones)})
	return m
}

// Monitor returns the states of the zones.
func (m *Manager) Monitor() *Monitor { return m.monitor }

// Ledger returns the open loans.
func (m *Manager) Ledger() *Ledger { return m.ledger }

// WatchesZones reports whether there are several zones, so that the loss of one can be told from the loss of this
// controller's own network, and work can go elsewhere.
func (m *Manager) WatchesZones() bool { return len(m.options.Zones) > 1 }

// InFailover reports whether a zone is lost or not trusted again yet. It is false for a nil Manager.
func (m *Manager) InFailover() bool {
	return m != nil && m.WatchesZones() && m.monitor.AnyInState(Lost, Returning)
}

// IsZoneLost reports whether a zone is lost. It is false for a nil Manager.
func (m *Manager) IsZoneLost(zone string) bool { return m != nil && m.monitor.State(zone) == Lost }

// decide adds a decision to those that TakeDecisions returns.
func (m *Manager) decide(d Decision) { m.decisions = append(m.decisions, d) }

// TakeDecisions returns the decisions since the last call, the oldest first. It returns nil for a nil Manager.
func (m *Manager) TakeDecisions() []Decision {
	if m == nil {
		return nil
	}
	decisions := m.decisions
	m.decisions = nil
	return decisions
}

// wallClockMS is the time of day at a moment of the leader's clock, in milliseconds since the epoch.
func (m *Manager) wallClockMS(now time.Duration) int64 {
	return m.options.TermStartedMS + (now - m.options.TermStartedAt).Milliseconds()
}

// MarkDisplaced notes that a job has lost a task with a machine of a zone. Only a zone that is lost or returning
// displaces the job, so that it may borrow capacity elsewhere. It does nothing for a nil Manager.
func (m *Manager) MarkDisplaced(jobID, zone string) {
	if m == nil {
		return
	}
	switch m.monitor.State(zone) {
	case Lost, Returning:
		m.displacedJobs[jobID] = zone
	}
}

// ForgetJob drops what is known of a job that is gone. It does nothing for a nil Manager.
func (m *Manager) ForgetJob(jobID string) {
	if m == nil {
		return
	}
	delete(m.displacedJobs, jobID)
	delete(m.nextSearch, jobID)
}

// EndFailover forgets which jobs were displaced and how often each has lent once all zones are available.
func (m *Manager) EndFailover(now time.Duration) {
	if m.monitor.AnyInState(Suspected, Lost, Returning) {
		return
	}
	clear(m.loansByJob)
	clear(m.displacedJobs)
	maps.DeleteFunc(m.nextSearch, func(_ string, at time.Duration) bool { return now >= at })
}
