// Package scheduler implements the leader's scheduler as a deterministic state machine. It accepts jobs, places their
// tasks on machines, records each placement in the key-value store before the task may start, and reacts to heartbeats,
// failures, cancellations and lost zones.
//
// A [Scheduler] does no I/O and reads no clock: [Scheduler.Step] takes an event and the current time and returns the
// effects that the caller has to carry out. It is not safe for concurrent use. A Scheduler serves one term; a new
// leader builds another one from the records in the key-value store.
package scheduler

import (
	"log/slog"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/demand"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/imagehints"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Scheduler is the state of a leader during its term. It connects the components that make the decisions, each of which
// owns its own state: the machine registry, the jobs and their queues, placement, preemption, the autoscaler, the
// demand forecast and zone failover.
type Scheduler struct {
	cfg                 *config.Deployment
	log                 *slog.Logger
	term                currentTerm
	writes              pendingWrites
	recordLimits        placementrecords.Limits
	targetLevel         featurelevel.Level // the level being made final; valid while writes are paused
	dependencies        *dependency.Graph
	cancelledDependents cancelledDependents
	delayedCalls        delayedCalls

	machines     *machineregistry.Registry
	autoscaler   *autoscaler.Autoscaler
	jobs         map[string]*jobstate.Job
	queues       *jobstate.Queues
	quotas       *fairshare.Quotas
	rules        *placement.Rules
	candidates   *candidates.Index
	finder       machineFinder
	preemption   *placement.PreemptionBudget
	consolidator *placement.Consolidator
	// cancellationIntents maps each job that users may have been told is cancelled to the time at which the intent
	// expires.
	cancellationIntents map[string]time.Duration

	effects        []Effect
	cycle          cycleClock
	forecast       *demand.Forecast
	imageHints     *imagehints.Writer
	prober         prober
	workerRequests workerRequests
	zoneFailover   *zonefailover.Manager // nil if zone failover is off
}

// Term identifies a term of leadership.
type Term struct {
	Number       uint64
	Revision     uint64 // revision of the term record
	Controller   string // name of the leader
	FeatureLevel featurelevel.Level
}

// RecoveredRecords holds what a new leader has read before it starts: the price list of the cloud and the records of
// the key-value store.
type RecoveredRecords struct {
	MachineTypes      []protocol.MachineType
	LiveJobs          []protocol.KeyValue
	PlacementPages    []protocol.KeyValue
	ImageHints        []protocol.KeyValue // which images are cached on which machines
	ZoneFailoverPages []protocol.KeyValue
}

// currentTerm identifies the term and its start, as time on the leader's clock and as wall clock time in milliseconds.
type currentTerm struct {
	number     uint64
	controller string
	startedAt  time.Duration
	startedMS  int64
}

// Options configures a Scheduler.
type Options struct {
	Config  *config.Deployment
	Log     *slog.Logger
	Term    Term
	Records RecoveredRecords
	// WallClockMS is the wall clock time, in milliseconds, at which the term begins.
	WallClockMS int64
	// RecoveryOrder turns zone failover on. Zone failover is off if it is nil.
	RecoveryOrder *zonefailover.RecoveryOrder
}

// New returns the scheduler of a term that begins now, with its state recovered from the records that the new leader
// has read.
func New(now time.Duration, options Options) *Scheduler {
	s := newScheduler(now, options)
	records := options.Records
	s.machines.SetMachineTypes(records.MachineTypes)
	s.recoverImageHints(records.ImageHints)
	s.recoverLiveJobs(now, records.LiveJobs, jobsWithPlacementPages(records.PlacementPages))
	s.forecast.DropRecoveredArrivals()
	s.recoverPlacementPages(now, records.PlacementPages)
	s.resumeInterrupted(now)
	if options.RecoveryOrder != nil {
		s.startZoneFailover(now, options.RecoveryOrder, records.ZoneFailoverPages)
	}
	return s
}

// newScheduler returns a scheduler with no jobs and no machines.
func newScheduler(now time.Duration, options Options) *Scheduler {
	cfg, term := options.Config, options.Term
	machines := machineregistry.New(term.Number, cfg.Workers)
	s := &Scheduler{
		cfg: cfg,
		log: options.Log,
		term: currentTerm{
			number:     term.Number,
			controller: term.Controller,
			startedAt:  now,
			startedMS:  options.WallClockMS,
		},
		writes:              newPendingWrites(term),
		recordLimits:        placementrecords.NewLimits(&cfg.Store, term.FeatureLevel),
		dependencies:        dependency.New(),
		machines:            machines,
		autoscaler:          autoscaler.New(term.Number, cfg.Cloud, cfg.Workers, machines),
		jobs:                map[string]*jobstate.Job{},
		queues:              jobstate.NewQueues(),
		quotas:              fairshare.NewQuotas(cfg.Teams, machines),
		candidates:          candidates.NewIndex(machines),
		preemption:          placement.NewPreemptionBudget(),
		cancellationIntents: map[string]time.Duration{},
		cycle:               newCycleClock(now),
		forecast:            demand.NewForecast(now),
		imageHints:          imagehints.NewWriter(now),
		workerRequests:      newWorkerRequests(cfg.Quota.MaxWorkerRequests()),
	}
	s.rules = &placement.Rules{
		Machines:     machines,
		Candidates:   s.candidates,
		Quotas:       s.quotas,
		StartLatency: placement.StartLatencyObjectivesOf(cfg.Objectives),
		Zones:        zonePolicy{s},
		Jobs:         s.jobs,
	}
	s.finder = placement.NewFinder(s.rules, s.preemption)
	s.consolidator = placement.NewConsolidator(s.rules, consolidationInterval)
	return s
}

// recoverLiveJobs adds the jobs that were accepted in earlier terms. started is the set of jobs that have placement
// pages.
func (s *Scheduler) recoverLiveJobs(now time.Duration, records []protocol.KeyValue, started map[string]bool) {
	for _, kv := range records {
		var record storage.LiveJobRecord
		if err := protocol.Decode(kv.Value, &record); err != nil {
			s.log.Error("malformed live job record", "key", kv.Key, "error", err)
			continue
		}
		if started[record.Job.ID] {
			record.Job.Dependencies = nil // a job is placed only after all of them are done
		}
		age := time.Duration(max(0, s.term.startedMS-record.AcceptedAtMS)) * time.Millisecond
		s.acceptJob(now, now-age, record, kv.Revision)
	}
}

// resumeInterrupted continues the work that the previous leader left unfinished.
func (s *Scheduler) resumeInterrupted(now time.Duration) {
	for _, j := range s.sortedJobs() {
		// A gang is restarted if only some placements of its latest attempt were recorded. The records of its other
		// tasks may still list an earlier attempt, possibly in another zone.
		if j.Spec.Shape == protocol.Gang && len(j.Placements) > 0 && !j.PlacedAsWhole() {
			s.stopGang(now, j)
		}
		if j.Ended {
			// The time at which the job ended in the previous term is unknown, so the deadline counts from now.
			s.setFencingDeadline(j, now+s.autoscaler.FencingTimeout())
			s.stopJobTasks(now, j)
		}
	}
}

// Step handles an event that occurs at time now and returns the effects to carry out, in order.
func (s *Scheduler) Step(now time.Duration, event Event) []Effect {
	s.handle(now, event)
	s.emitDecisions()
	s.revokeOutdatedBatches()
	effects := s.effects // the first Step of a term also returns the effects of the recovery
	s.effects = nil
	return effects
}

// handle dispatches an event to its handler.
func (s *Scheduler) handle(now time.Duration, event Event) {
	switch e := event.(type) {
	case Tick:
		s.tick(now)
	case HeartbeatReceived:
		s.handleHeartbeat(now, e)
	case UnchangedHeartbeats:
		s.handleUnchangedHeartbeats(now, e)
	case JobAccepted:
		s.acceptJob(now, now, e.Record, e.Revision)
	case JobEnded:
		s.handleJobEnded(now, e.ID)
	case CancellationIntent:
		s.handleCancellationIntent(now, e)
	case WatchProgress:
		s.expireCancellationIntents(e.At)
	case TransactionOutcome:
		s.handleTransactionOutcome(now, e)
	case FinalStateRead:
		s.handleFinalState(now, e)
	case FinaliseFeatureLevel:
		s.beginLevelChange(e)
	case CommandBatchResult:
		s.handleCommandBatchResult(now, e)
	case ProbeReply:
		s.handleProbeReply(now, e)
	case MachineTypesUpdated:
		s.machines.SetMachineTypes(e.Types)
	case MachinesListed:
		s.handleMachinesListed(now, e)
	case ScaleOutResult:
		s.handleScaleOut(now, e)
	case ScaleInResult:
		s.handleScaleIn(now, e)
	}
}

// handleTransactionOutcome passes an outcome to the write that waits for it. If that was the last write in flight, a
// pending change of the feature level can go on.
func (s *Scheduler) handleTransactionOutcome(now time.Duration, e TransactionOutcome) {
	s.writes.handleOutcome(now, e)
	s.writeLevelWhenIdle()
}

func (s *Scheduler) emit(effects ...Effect) { s.effects = append(s.effects, effects...) }

// Statuses returns the statuses of the given jobs, omitting those for which Status returns false.
func (s *Scheduler) Statuses(ids []string) (known []protocol.JobStatus) {
	for _, id := range ids {
		if status, ok := s.Status(id); ok {
			known = append(known, status)
		}
	}
	return known
}

// Status returns the status of a live job. It returns false for any other job, and also while the end of a job is being
// recorded.
func (s *Scheduler) Status(id string) (protocol.JobStatus, bool) {
	j := s.jobs[id]
	if j == nil || j.Ended || j.Ending || s.dependencies.State(id) == dependency.Cancelled {
		return protocol.JobStatus{}, false
	}
	status := j.Status()
	status.Unblocked = !j.Blocked && s.recordLimits.Level() >= featurelevel.Pipelines
	return status, true
}

// CycleCount returns the number of scheduling cycles that have run.
func (s *Scheduler) CycleCount() uint64 { return s.cycle.count }

// sortedJobs returns all jobs, sorted by priority and age.
func (s *Scheduler) sortedJobs() []*jobstate.Job {
	return s.sortedJobsMatching(func(*jobstate.Job) bool { return true })
}

// sortedJobsMatching returns the jobs for which the predicate is true, sorted by priority and age.
func (s *Scheduler) sortedJobsMatching(matches func(*jobstate.Job) bool) []*jobstate.Job {
	var list []*jobstate.Job
	for _, j := range s.jobs {
		if matches(j) {
			list = append(list, j)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].EffectivePriority != list[b].EffectivePriority {
			return list[a].EffectivePriority < list[b].EffectivePriority
		}
		if list[a].AcceptedMS != list[b].AcceptedMS {
			return list[a].AcceptedMS < list[b].AcceptedMS
		}
		return list[a].Spec.ID < list[b].Spec.ID
	})
	return list
}
