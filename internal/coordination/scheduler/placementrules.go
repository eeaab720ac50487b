package scheduler

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
)

// machineFinder finds machines within a cycle. It is a placement.Finder; tests compare that with one that
// examines all machines.
type machineFinder interface {
	// BestMachine returns the admitted candidate with the lowest score for a task of the job, or nil.
	BestMachine(
		now time.Duration,
		j *jobstate.Job,
		l *placement.ZoneLimits,
		admits placement.Filter,
	) *candidates.Candidate
	// BestWithImage is BestMachine among those that have the job's image.
	BestWithImage(
		now time.Duration,
		j *jobstate.Job,
		l *placement.ZoneLimits,
		admits placement.Filter,
	) *candidates.Candidate
	// CheapestPreemption returns the candidate on which it costs least to preempt work for a task of the
	// job, and the victims.
	CheapestPreemption(
		now time.Duration,
		j *jobstate.Job,
		l *placement.ZoneLimits,
		maxFetchTime time.Duration,
		victimPriority int,
	) (*candidates.Candidate, []*machineregistry.Placement)
	// MostFreeCapacity returns the feasible candidate with the most free capacity, except those given.
	MostFreeCapacity(
		now time.Duration,
		j *jobstate.Job,
		l *placement.ZoneLimits,
		except map[*candidates.Candidate]bool,
	) *candidates.Candidate
}

// zonePolicy is what the zone failover adds to the rules of placement.
type zonePolicy struct{ scheduler *Scheduler }

// RiskPenalty implements placement.ZonePolicy.
func (p zonePolicy) RiskPenalty(j *jobstate.Job, zone string) float64 {
	return p.scheduler.zoneFailover.RiskPenalty(&j.Spec, j.EffectivePriority, zone)
}

// RecoversBefore implements placement.ZonePolicy.
func (p zonePolicy) RecoversBefore(pl *machineregistry.Placement, j *jobstate.Job) bool {
	return p.scheduler.zoneFailover.RecoversBefore(pl, &j.Spec)
}
