// Package scheduler is the leader's state machine. It accepts jobs, places their tasks on machines, has the placements
// recorded before they start, and reacts to heartbeats, failures, cancellations and lost zones.
//
// A Scheduler does no I/O and reads no clock: Step takes an event and the time, and returns the effects to be carried
// out. It is not safe for concurrent use. One scheduler serves one term: a new leader recovers another from the records
// of the state service.
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

// Scheduler is the state of a leader in its term. It connects the parts that decide, each of which owns its own state:
// the registry of machines, the jobs and their queues, placement, preemption, the autoscaler, the forecast of demand
// and zone failover.
type Scheduler struct {
	cfg                 *config.Deployment
	log                 *slog.Logger
	term                currentTerm
	writes              pendingWrites
	recordLimits        placementrecords.Limits
	targetLevel         featurelevel.Level // the feature level that is being made final, while writes are paused
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
	// cancellationIntents holds the jobs that users may have been told are cancelled, with the time at which their
	// intents stop being valid.
	cancellationIntents map[string]time.Duration

	effects      []Effect
	cycle        cycleClock
	forecast     *demand.Forecast
	imageHints   *imagehints.Writer
	prober       prober
	zoneFailover *zonefailover.Manager // nil unless it is on
}

// Term identifies the term of a leader.
type Term struct {
	Number       uint64
	Revision     uint64 // of the term's record
	Controller   string // the leader
	FeatureLevel featurelevel.Level
}

// RecoveredRecords are the cloud's price list and the records of the state service that a new leader has read.
type RecoveredRecords struct {
	MachineTypes      []protocol.MachineType
	LiveJobs          []protocol.KeyValue
	Pages             []protocol.KeyValue // of placements
	Images            []protocol.KeyValue // hints of the images on machines
	ZoneFailoverPages []protocol.KeyValue
}

// currentTerm identifies the term and when it began, by the leader's time and by the time of day in milliseconds.
type currentTerm struct {
	number     uint64
	controller string
	startedAt  time.Duration
	startedMS  int64
}

// Options are what a Scheduler is made from.
type Options struct {
	Config  *config.Deployment
	Log     *slog.Logger
	Term    Term
	Records RecoveredRecords
	// WallClockMS is the time of day in milliseconds at which the term begins.
	WallClockMS int64
	// RecoveryOrder turns on zone failover. It is off if this is nil.
	RecoveryOrder *zonefailover.RecoveryOrder
}

// New returns the scheduler of a term that begins now, recovered from the records that the new leader has read.
func New(now time.Duration, options Options) *Scheduler {
	c := newScheduler(now, options)
	records := options.Records
	c.machines.SetMachineTypes(records.MachineTypes)
	c.recoverImageHints(records.Images)
	c.recoverLiveJobs(now, records.LiveJobs, jobsWithPlacementPages(records.Pages))
	c.forecast.DropInheritedArrivals()
	c.recoverPages(now, records.Pages)
	c.resumeInterrupted(now)
	if options.RecoveryOrder != nil {
		c.startZoneFailover(now, options.RecoveryOrder, records.ZoneFailoverPages)
	}
	return c
}

// newScheduler returns the scheduler of a term in which nothing is known yet.
func newScheduler(now time.Duration, options Options) *Scheduler {
	cfg, term := options.Config, options.Term
	machines := machineregistry.New(term.Number, cfg.Workers)
	c := &Scheduler{
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
	}
	c.rules = &placement.Rules{
		Machines:     machines,
		Candidates:   c.candidates,
		Quotas:       c.quotas,
		StartLatency: placement.StartLatencyObjectivesOf(cfg.Objectives),
		Zones:        zonePolicy{c},
		Jobs:         c.jobs,
	}
	c.finder = placement.NewFinder(c.rules, c.preemption)
	c.consolidator = placement.NewConsolidator(c.rules, consolidationPause)
	return c
}

// recoverLiveJobs accepts the jobs that were accepted in earlier terms. started names those of which placements are
// recorded.
func (c *Scheduler) recoverLiveJobs(now time.Duration, records []protocol.KeyValue, started map[string]bool) {
	for _, kv := range records {
		var record storage.LiveJobRecord
		if err := protocol.Decode(kv.Value, &record); err != nil {
			c.log.Error("malformed live job record", "key", kv.Key, "error", err)
			continue
		}
		if started[record.Job.ID] {
			record.Job.Dependencies = nil // a job is placed only when all of them are done
		}
		age := time.Duration(max(0, c.term.startedMS-record.AcceptedAtMS)) * time.Millisecond
		c.acceptJob(now, now-age, record, kv.Revision)
	}
}

// resumeInterrupted goes on with what the last leader did not finish.
func (c *Scheduler) resumeInterrupted(now time.Duration) {
	for _, j := range c.sortedJobs() {
		// A gang of which only some placements were recorded is restarted.
		if j.Spec.Shape == protocol.Gang && len(j.Placements) > 0 && j.PendingTasks() > 0 {
			c.stopGang(now, j)
		}
		if j.Ended {
			// When it ended under the last leader is not known.
			c.setFencingDeadline(j, now+c.autoscaler.FencingTimeout())
			c.stopJobTasks(now, j)
		}
	}
}

// Step handles an event at a time and returns the effects to be carried out, in their order.
func (c *Scheduler) Step(now time.Duration, event Event) []Effect {
	c.handle(now, event)
	c.emitDecisions()
	effects := c.effects // of the recovery too, after the first event of a term
	c.effects = nil
	return effects
}

// handle passes an event to its handler.
func (c *Scheduler) handle(now time.Duration, event Event) {
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case HeartbeatReceived:
		c.handleHeartbeat(now, e)
	case UnchangedHeartbeats:
		c.handleUnchangedHeartbeats(now, e)
	case JobAccepted:
		c.acceptJob(now, now, e.Record, e.Revision)
	case JobEnded:
		c.handleJobEnded(now, e.ID)
	case CancellationIntent:
		c.handleCancellationIntent(now, e)
	case WatchProgress:
		c.expireCancellationIntents(e.At)
	case TransactionOutcome:
		c.handleTransactionOutcome(now, e)
	case FinalStateRead:
		c.handleFinalState(now, e)
	case FinaliseFeatureLevel:
		c.beginLevelChange(e)
	case CommandBatchResult:
		c.handleCommandBatchResult(now, e)
	case ProbeReply:
		c.applyHeartbeat(now, e.Heartbeat)
	case MachineTypesUpdated:
		c.machines.SetMachineTypes(e.Types)
	case MachinesListed:
		c.handleMachinesListed(now, e)
	case ScaleOutResult:
		c.handleScaleOut(now, e)
	case ScaleInResult:
		c.handleScaleIn(now, e)
	}
}

// handleTransactionOutcome passes an outcome to the write that waits for it.
func (c *Scheduler) handleTransactionOutcome(now time.Duration, e TransactionOutcome) {
	c.writes.handleOutcome(now, e)
	c.writeLevelWhenIdle()
}

func (c *Scheduler) emit(effects ...Effect) { c.effects = append(c.effects, effects...) }

// Statuses returns the statuses of those of the jobs that Status knows.
func (c *Scheduler) Statuses(ids []string) (known []protocol.JobStatus) {
	for _, id := range ids {
		if s, ok := c.Status(id); ok {
			known = append(known, s)
		}
	}
	return known
}

// Status returns the status of a live job. It returns false for others, and while the end of a job is being recorded.
func (c *Scheduler) Status(id string) (protocol.JobStatus, bool) {
	j := c.jobs[id]
	if j == nil || j.Ended || j.Ending || c.dependencies.State(id) == dependency.Cancelled {
		return protocol.JobStatus{}, false
	}
	status := j.Status()
	status.Unblocked = !j.Blocked && c.recordLimits.Level() >= featurelevel.Pipelines
	return status, true
}

// CycleCount returns how many scheduling cycles have run.
func (c *Scheduler) CycleCount() uint64 { return c.cycle.count }

// sortedJobs returns all jobs by priority and age.
func (c *Scheduler) sortedJobs() []*jobstate.Job {
	return c.sortedJobsWhere(func(*jobstate.Job) bool { return true })
}

// sortedJobsWhere returns the jobs that a condition holds for, by priority and age.
func (c *Scheduler) sortedJobsWhere(which func(*jobstate.Job) bool) []*jobstate.Job {
	var list []*jobstate.Job
	for _, j := range c.jobs {
		if which(j) {
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
