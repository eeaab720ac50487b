package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// startZoneFailover turns zone failover on and restores what earlier leaders recorded for it.
func (s *Scheduler) startZoneFailover(
	now time.Duration,
	order *zonefailover.RecoveryOrder,
	pages []protocol.KeyValue,
) {
	s.zoneFailover = zonefailover.NewManager(now, zonefailover.Options{
		Settings:      s.cfg,
		Machines:      s.machines,
		Jobs:          failoverJobs{s},
		Log:           s.log,
		Order:         order,
		Zones:         s.allowedZones(&protocol.Job{}),
		Limits:        s.failoverRecordLimits(),
		CycleInterval: CycleInterval,
		Term:          s.term.number,
		TermStartedAt: s.term.startedAt,
		TermStartedMS: s.term.startedMS,
	})
	if s.zoneFailover.HasMultipleZones() {
		s.zoneFailover.Restore(now, pages)
		s.recoverDisplacedJobs()
	}
}

// failoverRecordLimits returns the limits in force for the records of zone failover.
func (s *Scheduler) failoverRecordLimits() zonefailover.RecordLimits {
	return zonefailover.RecordLimits{
		LoansPerPage:        storage.LoansPerPage(s.recordLimits.ValueKB()),
		PagesPerTransaction: s.recordLimits.PagesPerTransaction(),
	}
}

// recoverDisplacedJobs marks the jobs that have started but have pending tasks again as displaced by a zone that was
// lost under an earlier leader.
func (s *Scheduler) recoverDisplacedJobs() {
	for _, zone := range s.zoneFailover.Monitor().Zones() {
		if zone.State != zonefailover.Lost && zone.State != zonefailover.Returning {
			continue
		}
		for _, j := range s.jobs {
			if j.PendingTasks() > 0 && j.HasStarted() {
				s.zoneFailover.MarkDisplaced(j.Spec.ID, zone.Name)
			}
		}
	}
}

// failoverJobs gives zone failover access to the jobs and quotas of the scheduler.
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

// updateZoneStates updates the states of the zones and acts on the changes.
func (s *Scheduler) updateZoneStates(now time.Duration, jobs []*jobstate.Job) {
	failover := s.zoneFailover
	if failover == nil || !failover.HasMultipleZones() {
		return
	}
	for _, zone := range failover.UpdateZones(now) {
		s.probeZone(zone)
	}
	failover.CloseFinishedLoans(now)
	s.autoscaler.SetZonePolicies(failover.ZonePolicies(now))
	s.fenceLostMachines(now, jobs)
	failover.ResetAfterFailover(now)
}

// probeZone probes all machines of a returning zone, instead of waiting until their workers have found the leader.
func (s *Scheduler) probeZone(zone string) {
	s.machines.Each(func(m *machineregistry.Machine) {
		if m.Zone == zone && m.Addr != "" && !m.Terminating {
			s.prober.enqueue(m.Name, m.Addr)
		}
	})
}

// fenceLostMachines goes through the given jobs in order and fences the machines of lost zones whose tasks would find
// capacity elsewhere.
func (s *Scheduler) fenceLostMachines(now time.Duration, jobs []*jobstate.Job) {
	if !s.zoneFailover.Monitor().AnyInState(zonefailover.Lost) {
		return
	}
	s.candidates.Refresh(now)
	round := s.zoneFailover.NewFencingRound(now, s.candidates.All(now))
	for _, j := range jobs {
		if round.IsExhausted() {
			return
		}
		if s.startForbidden(j) || !s.zoneFailover.MaySearch(now, j.Spec.ID) {
			continue
		}
		movable := round.Movable(j.SortedPlacements())
		startable := min(j.PendingTasks(), s.tasksWithinQuotaLimit(j))
		if startable+len(movable) == 0 {
			continue
		}
		round.FenceFor(&zonefailover.DisplacedJob{
			Borrower:   s.borrowerOf(j),
			Startable:  startable,
			Unfinished: j.PendingTasks() + len(j.Placements),
			Movable:    movable,
		})
	}
}

// emitDecisions emits the decisions that zone failover has made.
func (s *Scheduler) emitDecisions() {
	for _, d := range s.zoneFailover.TakeDecisions() {
		s.emit(ZoneDecision{d})
	}
}

// markDisplaced records that a job has lost a task. If the zone of the task was lost, the job may borrow capacity in
// other zones.
func (s *Scheduler) markDisplaced(j *jobstate.Job, pl *machineregistry.Placement) {
	if !j.Ended {
		s.zoneFailover.MarkDisplaced(j.Spec.ID, pl.Zone)
	}
}
