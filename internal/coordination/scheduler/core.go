package scheduler

import (
	"log/slog"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Cycle is the interval of the scheduling cycle, and Eager the shortest time
// between two when something relevant has arrived.
const (
	Cycle = time.Second
	Eager = Cycle / 20
)

// crowd is how many jobs make the pause between eager cycles longer by once itself, for a
// cycle's cost grows with them, and maxPause the longest that it becomes: urgent work must not
// wait for a whole cycle behind any number of others.
const (
	crowd    = 500
	maxPause = Cycle / 4
)

// Core is the leader's state.
type Core struct {
	cfg       *config.Deployment
	log       *slog.Logger
	term      uint64
	termStamp uint64
	node      string
	// level is the feature level that is final, and stateLimits are what records keep to.
	level       featurelevel.Level
	stateLimits config.StoreLimits
	// writesPaused says that no writes begin until those under way have ended and the level is final.
	writesPaused bool
	targetLevel  featurelevel.Level // while paused: the level to be made final
	graph        *dependency.Graph
	cascade      []*job // cancelled with a job that they await, and not recorded yet
	delayedCalls []delayedCall

	machines               *partition.Registry
	fleet                  *fleet.Autoscaler
	jobs                   map[string]*job
	queues                 *jobQueues
	teams                  map[string]*config.Team
	startLatencyObjectives map[string]float64 // by class, in seconds
	candidateIndex         candidateIndex
	finder                 machineFinder
	// pagesInFlight counts the pages that are being written, by purpose.
	pagesInFlight [Upkeep + 1]int
	// capacityEvents counts what may have made room within a cycle.
	capacityEvents uint64
	// preemptionBudgetLeft is what searches for work to stop may still cost in this cycle,
	// preemptionRound counts the rounds in which every waiting job has one, and preemptionCursor is
	// where the next search of a large fleet begins.
	preemptionBudgetLeft int
	preemptionRound      uint64
	preemptionCursor     string
	noVictimsSince       map[searchKey]uint64
	searchLimit          int    // at how many machines a search looks at first
	preemptionBudget     int    // what preemptionBudgetLeft begins with
	machinesExamined     uint64 // machines that searches have looked at
	consolidationCursor  string // where the next look for machines to empty begins
	// withdrawn holds the jobs that users may have been told are cancelled, until the
	// state service tells, by when one must have been told.
	withdrawn map[string]time.Duration

	out                 []Effect
	writesInFlight      map[uint64]func(now time.Duration, w Written)
	lastWriteID         uint64
	due                 bool // something relevant has arrived since the last cycle
	cycles              uint64
	lastCycle           time.Duration
	lastPlan            time.Duration // when the fleet was last planned
	lastConsolidation   time.Duration
	began               time.Duration
	arrivals            map[string][]time.Duration // by class, newest last
	sample              map[string]*protocol.Job   // the newest job of each class
	sizes               map[string]float64         // mean tasks of a job
	spareNow            []fleet.Demand             // room wanted for jobs to come
	counted             map[string]float64         // jobs in the memory of arrivals, by class
	prior               map[string]float64         // what the last leader counted
	imageHintPages      map[string]string          // images records as written
	imageHintsInFlight  bool
	lastImageHintKey    string // the key of the last page of them that was written
	inspector           inspector
	imageHintsWrittenAt time.Duration
	wallMS              int64              // time of day when the term began
	zoneFailover        *zoneFailoverState // nil unless it is on
}

// Term is the term that a core leads.
type Term struct {
	Number, Stamp uint64 // its number, and the version of its record
	Node          string // this controller
	Level         featurelevel.Level
}

// Records is what a new leader reads.
type Records struct {
	Types                          []protocol.MachineType
	Live, Pages, Images, ZonePages []protocol.KeyValue
}

// New returns the core of a term that has read the records, at the given time of day. order
// turns on zone return; nil leaves it off.
func New(now time.Duration, cfg *config.Deployment, log *slog.Logger, term Term, rec Records, wallMS int64, order *zones.RecoveryOrder) *Core {
	c := &Core{
		cfg: cfg, log: log, term: term.Number, termStamp: term.Stamp, node: term.Node, wallMS: wallMS, graph: dependency.New(),
		machines: partition.New(term.Number, cfg.Workers), fleet: fleet.New(term.Number, cfg.Cloud, cfg.Workers), jobs: map[string]*job{}, withdrawn: map[string]time.Duration{},
		writesInFlight: map[uint64]func(time.Duration, Written){}, due: true, began: now,
		lastCycle: now - Cycle, lastPlan: now - Cycle,
		arrivals: map[string][]time.Duration{}, sample: map[string]*protocol.Job{}, sizes: map[string]float64{},
		counted: map[string]float64{}, prior: map[string]float64{}, imageHintPages: map[string]string{}, imageHintsWrittenAt: now,
	}
	c.setFeatureLevel(term.Level)
	c.queues, c.candidateIndex, c.finder, c.preemptionRound = newJobQueues(), newCandidateIndex(), indexFinder{c}, 1
	c.searchLimit, c.preemptionBudget = maxExaminedMachines, preemptionBudgetPerCycle
	c.teams, c.startLatencyObjectives = map[string]*config.Team{}, startLatencyObjectivesOf(cfg.Objectives)
	for i := range cfg.Teams {
		c.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	c.machines.SetMachineTypes(rec.Types)
	c.recoverImageHints(rec.Images)
	started := jobsWithPages(rec.Pages)
	for _, p := range rec.Live {
		var rec storage.LiveJobRecord
		if err := protocol.Decode(p.Value, &rec); err != nil {
			log.Error("live record out of form", "key", p.Key, "err", err)
			continue
		}
		if started[rec.Job.ID] {
			rec.Job.Dependencies = nil // its record proves that all of them are done
		}
		age := time.Duration(max(0, wallMS-rec.AcceptedAtMS)) * time.Millisecond
		c.accept(now, now-age, rec, p.Revision)
	}
	for class := range c.prior {
		// The last leader has counted those jobs that live.
		delete(c.arrivals, class)
	}
	c.recoverPages(now, rec.Pages)
	for _, j := range c.sorted() {
		// A gang that the last leader did not finish writing starts anew.
		if j.spec.Shape == protocol.Gang && len(j.places) > 0 && j.counts[pending] > 0 {
			c.stopGang(now, j)
		}
		if j.over {
			// It ended under another leader, who knows when.
			c.setFencingDeadline(j, now+c.fleet.FencingTimeout())
			c.stopJob(now, j)
		}
	}
	if order != nil {
		c.startZoneFailover(now, order, rec.ZonePages)
	}
	return c
}

// Step takes an event and returns what is to be done.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case Reported:
		c.reported(now, e)
	case Alive:
		c.alive(now, e)
	case JobSet:
		c.accept(now, now, e.Record, e.Stamp)
	case JobDropped:
		c.dropped(now, e.ID)
	case Withdrawn:
		c.withdraw(now, e)
	case Fresh:
		c.fresh(e.At)
	case Written:
		if f := c.writesInFlight[e.Write]; f != nil {
			delete(c.writesInFlight, e.Write)
			f(now, e)
		}
		c.writeLevelWhenIdle()
	case EndRead:
		c.endRead(now, e)
	case Finalise:
		c.beginLevelChange(e)
	case OrdersDone:
		c.ordersDone(now, e)
	case Inspected:
		c.heard(now, e.Report)
	case Types:
		c.machines.SetMachineTypes(e.Types)
	case Listed:
		if e.Failed {
			c.fleet.HandleListFailure()
			break
		}
		c.inspectListed(now, e.Machines)
		for i := range e.Machines {
			if e.Machines[i].State == protocol.MachineFailed {
				c.noteDepartedMachine(e.Machines[i].Name)
			}
		}
		for _, name := range c.fleet.HandleList(now, e.Asked, c.machines, e.Machines) {
			c.log.Info("machine has left the list", "machine", name)
			c.noteDepartedMachine(name)
			c.facts(now, c.machines.Remove(now, name))
		}
	case Rented:
		c.log.Info("rented", "request", e.Request, "machines", len(e.Names), "refused", e.Refused)
		c.fleet.HandleScaleOut(now, e.Asked, c.machines, e.Request, e.Names, e.Refused)
	case Released:
		c.fleet.HandleScaleIn(now, e.Names, e.OK)
		if e.OK {
			for _, n := range e.Names {
				c.facts(now, c.machines.Remove(now, n))
			}
		}
	}
	c.emitDecisions()
	out := c.out // with what was asked for at the beginning of the term
	c.out = nil
	return out
}

func (c *Core) emit(effects ...Effect) { c.out = append(c.out, effects...) }

// Statuses tells what the leader knows of jobs; those that it does not know are missing.
func (c *Core) Statuses(ids []string) (known []protocol.JobStatus) {
	for _, id := range ids {
		if s, ok := c.Status(id); ok {
			known = append(known, s)
		}
	}
	return known
}

// Status tells what the leader knows of a job.
func (c *Core) Status(id string) (protocol.JobStatus, bool) {
	j := c.jobs[id]
	if j == nil || j.over || j.finishing || c.graph.State(id) == dependency.Cancelled {
		return protocol.JobStatus{}, false
	}
	status := j.standing()
	status.Unblocked = !j.blocked && c.level >= featurelevel.Pipelines
	return status, true
}

// Cycles returns how many scheduling cycles have run.
func (c *Core) Cycles() uint64 { return c.cycles }

// sorted returns the jobs in an order that does not depend on chance.
func (c *Core) sorted() []*job { return c.sortedIf(func(*job) bool { return true }) }

// sortedIf is sorted for the jobs that the function names.
func (c *Core) sortedIf(which func(*job) bool) []*job {
	var list []*job
	for _, j := range c.jobs {
		if which(j) {
			list = append(list, j)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].level != list[b].level {
			return list[a].level < list[b].level
		}
		if list[a].atMS != list[b].atMS {
			return list[a].atMS < list[b].atMS
		}
		return list[a].spec.ID < list[b].spec.ID
	})
	return list
}

// tick runs a cycle when it is time for one, and what goes with it. The fleet has
// a clock of its own: in a large one something relevant comes in every eager
// cycle, and had planning waited for a cycle without, nothing would have been
// rented, returned or fenced for minutes.
func (c *Core) tick(now time.Duration) {
	c.runDelayedCalls(now)
	c.inspectSome(now)
	full := now-c.lastPlan >= Cycle
	if full || c.due && now-c.lastCycle >= min(maxPause, Eager*time.Duration(1+len(c.jobs)/crowd)) {
		c.lastCycle, c.due = now, false
		if full && c.zoneFailover != nil {
			c.updateZoneStates(now, c.sorted())
		}
		c.stopOnNotice(now)
		c.runCycle(now)
		c.writeAll(now)
		if full {
			c.plan(now)
		}
		c.writeFailoverRecords(now)
	}
	c.recordStarts(now) // what was put back may be due
	c.send(now)
}

// plan has the fleet rent and return machines, and does what else is due once a second.
func (c *Core) plan(now time.Duration) {
	c.lastPlan = now
	c.verifyCandidates(now)
	units := c.demand(now)
	for _, e := range c.fleet.Plan(now, c.machines, units) {
		c.emit(Fleet{e})
	}
	c.logFleet(now, units)
	c.checkReach(now)
	c.replaceSupersededPages(now)
	c.writeImageHints(now)
}

// writeAll writes the records that starts wait for, and what has ended as far as there is room.
func (c *Core) writeAll(now time.Duration) {
	c.recordStarts(now)
	c.recordCancelled()
	c.recordCompletions(now)
}
