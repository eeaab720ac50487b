// Package scheduler is the leader's state machine: jobs and their tasks, the
// cycle that places them, and what follows from reports, records and failures.
// It does no I/O and reads no clock: a step takes an event and the time, and
// returns effects.
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
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Cycle is the interval of the scheduling cycle, and Eager the shortest time
// between two when something relevant has arrived.
const (
	CycleInterval    = time.Second
	MinCycleInterval = CycleInterval / 20
)

// crowd is how many jobs make the pause between eager cycles longer by once itself, for a
// cycle's cost grows with them, and maxCyclePause the longest that it becomes: urgent work must not
// wait for a whole cycle behind any number of others.
const (
	jobsPerCyclePause = 500
	maxCyclePause     = CycleInterval / 4
)

// Scheduler is the leader's state.
type Scheduler struct {
	cfg          *config.Deployment
	log          *slog.Logger
	term         uint64
	termRevision uint64
	controller   string
	// level is the feature level that is final, and stateLimits are what records keep to.
	level       featurelevel.Level
	stateLimits config.StoreLimits
	// writesPaused says that no writes begin until those under way have ended and the level is final.
	writesPaused        bool
	targetLevel         featurelevel.Level // while paused: the level to be made final
	dependencies        *dependency.Graph
	cancelledDependents []*jobstate.Job // cancelled with a job that they await, and not recorded yet
	delayedCalls        []delayedCall

	machines   *machineregistry.Registry
	autoscaler *autoscaler.Autoscaler
	jobs       map[string]*jobstate.Job
	queues     *jobstate.Queues
	quotas     *fairshare.Quotas
	rules      *placement.Rules
	candidates *candidates.Index
	finder     machineFinder
	// pagesInFlight counts the pages that are being written, by purpose.
	pagesInFlight [PriorityMaintenance + 1]int
	preemption    *placement.PreemptionBudget
	consolidator  *placement.Consolidator
	// cancellationIntents holds the jobs that users may have been told are cancelled, until the
	// state service tells, by when one must have been told.
	cancellationIntents map[string]time.Duration

	effects             []Effect
	writesInFlight      map[uint64]func(now time.Duration, w TransactionOutcome)
	lastWriteID         uint64
	cycleDue            bool // something relevant has arrived since the last cycle
	cycleCount          uint64
	lastCycleAt         time.Duration
	lastPlanAt          time.Duration // when the fleet was last planned
	termStartedAt       time.Duration
	forecast            *demand.Forecast
	headroom            []autoscaler.Demand // for jobs to come, by the last plan
	imageHintPages      map[string]string   // images records as written
	imageHintsInFlight  bool
	lastImageHintKey    string // the key of the last page of them that was written
	prober              prober
	imageHintsWrittenAt time.Duration
	termStartedMS       int64                 // time of day when the term began
	zoneFailover        *zonefailover.Manager // nil unless it is on
}

// Term is the term that a core leads.
type Term struct {
	Number, Revision uint64 // its number, and the version of its record
	Controller       string // this controller
	FeatureLevel     featurelevel.Level
}

// RecoveredRecords is what a new leader reads.
type RecoveredRecords struct {
	MachineTypes                             []protocol.MachineType
	LiveJobs, Pages, Images, ZoneReturnPages []protocol.KeyValue
}

// New returns the core of a term that has read the records, at the given time of day. order
// turns on zone return; nil leaves it off.
func New(
	now time.Duration,
	cfg *config.Deployment,
	log *slog.Logger,
	term Term,
	rec RecoveredRecords,
	wallMS int64,
	order *zonefailover.RecoveryOrder,
) *Scheduler {
	machines := machineregistry.New(term.Number, cfg.Workers)
	c := &Scheduler{
		cfg:                 cfg,
		log:                 log,
		term:                term.Number,
		termRevision:        term.Revision,
		controller:          term.Controller,
		termStartedMS:       wallMS,
		dependencies:        dependency.New(),
		machines:            machines,
		autoscaler:          autoscaler.New(term.Number, cfg.Cloud, cfg.Workers, machines),
		jobs:                map[string]*jobstate.Job{},
		cancellationIntents: map[string]time.Duration{},
		writesInFlight:      map[uint64]func(time.Duration, TransactionOutcome){},
		cycleDue:            true,
		termStartedAt:       now,
		lastCycleAt:         now - CycleInterval,
		lastPlanAt:          now - CycleInterval,
		forecast:            demand.NewForecast(now),
		imageHintPages:      map[string]string{},
		imageHintsWrittenAt: now,
	}
	c.setFeatureLevel(term.FeatureLevel)
	c.queues, c.candidates = jobstate.NewQueues(), candidates.NewIndex(c.machines)
	c.quotas = fairshare.NewQuotas(cfg.Teams, c.machines)
	c.rules = &placement.Rules{
		Machines:     c.machines,
		Candidates:   c.candidates,
		Quotas:       c.quotas,
		StartLatency: placement.StartLatencyObjectivesOf(cfg.Objectives),
		Zones:        zonePolicy{c},
		Jobs:         c.jobs,
	}
	c.preemption = placement.NewPreemptionBudget()
	c.finder = placement.NewFinder(c.rules, c.preemption)
	c.consolidator = placement.NewConsolidator(c.rules, consolidationPause)
	c.machines.SetMachineTypes(rec.MachineTypes)
	c.recoverImageHints(rec.Images)
	started := jobsWithPlacementPages(rec.Pages)
	for _, p := range rec.LiveJobs {
		var rec storage.LiveJobRecord
		if err := protocol.Decode(p.Value, &rec); err != nil {
			log.Error("live record out of form", "key", p.Key, "err", err)
			continue
		}
		if started[rec.Job.ID] {
			rec.Job.Dependencies = nil // its record proves that all of them are done
		}
		age := time.Duration(max(0, wallMS-rec.AcceptedAtMS)) * time.Millisecond
		c.acceptJob(now, now-age, rec, p.Revision)
	}
	c.forecast.DropInheritedArrivals()
	c.recoverPages(now, rec.Pages)
	for _, j := range c.sortedJobs() {
		// A gang that the last leader did not finish writing starts anew.
		if j.Spec.Shape == protocol.Gang && len(j.Placements) > 0 && j.TaskCounts[jobstate.TaskPending] > 0 {
			c.stopGang(now, j)
		}
		if j.Ended {
			// It ended under another leader, who knows when.
			c.setFencingDeadline(j, now+c.autoscaler.FencingTimeout())
			c.stopJobTasks(now, j)
		}
	}
	if order != nil {
		c.startZoneFailover(now, order, rec.ZoneReturnPages)
	}
	return c
}

// Step takes an event and returns what is to be done.
func (c *Scheduler) Step(now time.Duration, event Event) []Effect {
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
		if f := c.writesInFlight[e.WriteID]; f != nil {
			delete(c.writesInFlight, e.WriteID)
			f(now, e)
		}
		c.writeLevelWhenIdle()
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
		if e.Failed {
			c.autoscaler.HandleListFailure()
			break
		}
		c.probeListed(now, e.Machines)
		for i := range e.Machines {
			if e.Machines[i].State == protocol.MachineFailed {
				c.noteDepartedMachine(e.Machines[i].Name)
			}
		}
		for _, name := range c.autoscaler.HandleList(now, e.RequestedAt, e.Machines) {
			c.log.Info("machine has left the list", "machine", name)
			c.noteDepartedMachine(name)
			c.applyObservations(now, c.machines.Remove(now, name))
		}
	case ScaleOutResult:
		c.log.Info("rented", "request", e.Request, "machines", len(e.Machines), "refused", e.Refused)
		c.autoscaler.HandleScaleOut(now, autoscaler.RentalOutcome{
			RequestID:   e.Request,
			RequestedAt: e.RequestedAt,
			Machines:    e.Machines,
			Refused:     e.Refused,
		})
	case ScaleInResult:
		c.autoscaler.HandleScaleIn(now, e.Machines, e.Succeeded)
		if e.Succeeded {
			for _, n := range e.Machines {
				c.applyObservations(now, c.machines.Remove(now, n))
			}
		}
	}
	c.emitDecisions()
	out := c.effects // with what was asked for at the beginning of the term
	c.effects = nil
	return out
}

func (c *Scheduler) emit(effects ...Effect) { c.effects = append(c.effects, effects...) }

// Statuses tells what the leader knows of jobs; those that it does not know are missing.
func (c *Scheduler) Statuses(ids []string) (known []protocol.JobStatus) {
	for _, id := range ids {
		if s, ok := c.Status(id); ok {
			known = append(known, s)
		}
	}
	return known
}

// Status tells what the leader knows of a job.
func (c *Scheduler) Status(id string) (protocol.JobStatus, bool) {
	j := c.jobs[id]
	if j == nil || j.Ended || j.Ending || c.dependencies.State(id) == dependency.Cancelled {
		return protocol.JobStatus{}, false
	}
	status := j.Status()
	status.Unblocked = !j.Blocked && c.level >= featurelevel.Pipelines
	return status, true
}

// CycleCount returns how many scheduling cycles have run.
func (c *Scheduler) CycleCount() uint64 { return c.cycleCount }

// sortedJobs returns the jobs in an order that does not depend on chance.
func (c *Scheduler) sortedJobs() []*jobstate.Job {
	return c.sortedJobsWhere(func(*jobstate.Job) bool { return true })
}

// sortedJobsWhere is sorted for the jobs that the function names.
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

// tick runs a cycle when it is time for one, and what goes with it. The fleet has
// a clock of its own: in a large one something relevant comes in every eager
// cycle, and had planning waited for a cycle without, nothing would have been
// rented, returned or fenced for minutes.
func (c *Scheduler) tick(now time.Duration) {
	c.runDelayedCalls(now)
	c.sendProbes(now)
	full := now-c.lastPlanAt >= CycleInterval
	if full ||
		c.cycleDue &&
			now-c.lastCycleAt >= min(maxCyclePause, MinCycleInterval*time.Duration(1+len(c.jobs)/jobsPerCyclePause)) {
		c.lastCycleAt, c.cycleDue = now, false
		if full && c.zoneFailover != nil {
			c.updateZoneStates(now, c.sortedJobs())
		}
		c.evictOnTerminationNotice(now)
		c.runCycle(now)
		c.writeRecords(now)
		if full {
			c.planCapacity(now)
		}
		c.writeFailoverRecords(now)
	}
	c.recordStarts(now) // what was put back may be due
	c.sendUrgentCommands(now)
}

// planCapacity has the fleet rent and return machines, and does what else is due once a second.
func (c *Scheduler) planCapacity(now time.Duration) {
	c.lastPlanAt = now
	c.candidates.Verify(now)
	units := c.capacityDemand(now)
	for _, e := range c.autoscaler.Plan(now, units) {
		c.emit(CloudRequest{e})
	}
	c.logUtilization(now, units)
	c.checkReachability(now)
	c.replaceSupersededPages(now)
	c.writeImageHints(now)
}

// writeRecords writes the records that starts wait for, and what has ended as far as there is room.
func (c *Scheduler) writeRecords(now time.Duration) {
	c.recordStarts(now)
	c.writeCancelledDependents()
	c.recordCompletions(now)
}
