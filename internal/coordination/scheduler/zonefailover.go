package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// startZoneFailover turns zone failover on, with what an earlier leader recorded.
func (c *Scheduler) startZoneFailover(
	now time.Duration,
	order *zonefailover.RecoveryOrder,
	pages []protocol.KeyValue,
) {
	c.zoneFailover = zonefailover.NewManager(now, zonefailover.Options{
		Settings:      c.cfg,
		Machines:      c.machines,
		Jobs:          failoverJobs{c},
		Log:           c.log,
		Order:         order,
		Zones:         c.allowedZones(&protocol.Job{}),
		Limits:        c.failoverRecordLimits(),
		CycleInterval: CycleInterval,
		Term:          c.term.number,
		TermStartedAt: c.term.startedAt,
		TermStartedMS: c.term.startedMS,
	})
	if c.zoneFailover.WatchesZones() {
		c.zoneFailover.Restore(now, pages)
		c.recoverDisplacedJobs()
	}
}

// failoverRecordLimits are the limits in force for the stored records of zone failover.
func (c *Scheduler) failoverRecordLimits() zonefailover.RecordLimits {
	return zonefailover.RecordLimits{
		LoansPerPage:        storage.LoansPerPage(c.recordLimits.ValueKB()),
		PagesPerTransaction: c.recordLimits.PagesPerTransaction(),
	}
}

// recoverDisplacedJobs marks the jobs that wait although they had started, when a zone was lost under an earlier
// leader.
func (c *Scheduler) recoverDisplacedJobs() {
	for _, zone := range c.zoneFailover.Monitor().Zones() {
		if zone.State != zonefailover.Lost && zone.State != zonefailover.Returning {
			continue
		}
		for _, j := range c.jobs {
			if j.PendingTasks() > 0 && j.HasStarted() {
				c.zoneFailover.MarkDisplaced(j.Spec.ID, zone.Name)
			}
		}
	}
}

// failoverJobs gives zone failover its view of the scheduler's jobs and quotas.
type failoverJobs struct{ scheduler *Scheduler }

// Lender implements zonefailover.Jobs.
func (f failoverJobs) Lender(task zonefailover.TaskAttempt) zonefailover.LenderState {
	j := f.scheduler.jobs[task.Job]
	if j == nil {
		return zonefailover.LenderState{Ended: true}
	}
	return zonefailover.LenderState{
		Ended:     j.Ended || task.Task >= j.TaskCount() || j.TaskState(task.Task) == jobstate.TaskDone,
		Placement: j.Placements[task.Task],
	}
}

// IsActive implements zonefailover.Jobs.
func (f failoverJobs) IsActive(jobID string) bool {
	j := f.scheduler.jobs[jobID]
	return j != nil && !j.Ended
}

// FitsGuaranteedQuota implements zonefailover.Jobs.
func (f failoverJobs) FitsGuaranteedQuota(team string, usage machineregistry.Resources) bool {
	return f.scheduler.quotas.GuaranteeCovers(team, usage)
}

// AllowedZones implements zonefailover.Jobs.
func (f failoverJobs) AllowedZones(job *protocol.Job) []string { return f.scheduler.allowedZones(job) }

// updateZoneStates derives the states of the zones and acts on them.
func (c *Scheduler) updateZoneStates(now time.Duration, jobs []*jobstate.Job) {
	m := c.zoneFailover
	if m == nil || !m.WatchesZones() {
		return
	}
	for _, zone := range m.UpdateZones(now) {
		c.probeZone(zone)
	}
	m.CloseFinishedLoans(now)
	c.autoscaler.SetZonePolicies(m.ZonePolicies(now))
	c.fenceLostMachines(now, jobs)
	m.EndFailover(now)
}

// probeZone asks the machines of a zone that returns for their state, without waiting for their workers to find the
// leader.
func (c *Scheduler) probeZone(zone string) {
	c.machines.Each(func(m *machineregistry.Machine) {
		if m.Zone == zone && m.Addr != "" && !m.Terminating {
			c.prober.enqueue(m.Name, m.Addr)
		}
	})
}

// fenceLostMachines fences machines of lost zones whose tasks would find capacity elsewhere, in the order of the jobs.
func (c *Scheduler) fenceLostMachines(now time.Duration, jobs []*jobstate.Job) {
	if !c.zoneFailover.Monitor().AnyInState(zonefailover.Lost) {
		return
	}
	c.candidates.Refresh(now)
	round := c.zoneFailover.NewFencingRound(now, c.candidates.All(now))
	for _, j := range jobs {
		if round.IsExhausted() {
			return
		}
		if c.startForbidden(j) || !c.zoneFailover.MaySearch(now, j.Spec.ID) {
			continue
		}
		movable := round.Movable(j.SortedPlacements())
		startable := min(j.PendingTasks(), c.tasksWithinQuotaLimit(j))
		if startable+len(movable) == 0 {
			continue
		}
		round.FenceFor(&zonefailover.Displaced{
			Borrower:   c.borrowerOf(j),
			Startable:  startable,
			Unfinished: j.PendingTasks() + len(j.Placements),
			Movable:    movable,
		})
	}
}

// emitDecisions passes the decisions of zone failover on.
func (c *Scheduler) emitDecisions() {
	for _, d := range c.zoneFailover.TakeDecisions() {
		c.emit(ZoneDecision{d})
	}
}

// markDisplaced notes that a job has lost a task, which may go elsewhere if it was lost with its zone.
func (c *Scheduler) markDisplaced(j *jobstate.Job, pl *machineregistry.Placement) {
	if !j.Ended {
		c.zoneFailover.MarkDisplaced(j.Spec.ID, pl.Zone)
	}
}
