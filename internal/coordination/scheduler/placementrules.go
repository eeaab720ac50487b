package scheduler

import (
	"time"

	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
)

// machineFinder searches for machines within a cycle. The implementation is placement.Finder; tests compare it with one
// that examines all machines.
type machineFinder interface {
	// BestMachine returns the admitted candidate with the lowest score for a task of the job, or nil.
	BestMachine(
		now time.Duration,
		j *jobstate.Job,
		limits *placement.ZoneLimits,
		admits placement.Filter,
	) *candidates.Candidate
	// BestWithImage is like BestMachine but considers only candidates that have the image of the job.
	BestWithImage(
		now time.Duration,
		j *jobstate.Job,
		limits *placement.ZoneLimits,
		admits placement.Filter,
	) *candidates.Candidate
	// CheapestPreemption returns the candidate on which preempting tasks for a task of the job costs least, and the
	// victims.
	CheapestPreemption(
		now time.Duration,
		j *jobstate.Job,
		limits *placement.ZoneLimits,
		maxFetchTime time.Duration,
		victimPriority int,
	) (*candidates.Candidate, []*machineregistry.Placement)
	// MostFreeCapacity returns the feasible candidate with the most free capacity, ignoring those in except.
	MostFreeCapacity(
		now time.Duration,
		j *jobstate.Job,
		limits *placement.ZoneLimits,
		except map[*candidates.Candidate]bool,
	) *candidates.Candidate
}

// zonePolicy adds the constraints of zone failover to the placement rules.
type zonePolicy struct{ scheduler *Scheduler }

// RiskPenalty implements placement.ZonePolicy.
func (p zonePolicy) RiskPenalty(j *jobstate.Job, zone string) float64 {
	return p.scheduler.zoneFailover.RiskPenalty(&j.Spec, j.EffectivePriority, zone)
}

// RecoversBefore implements placement.ZonePolicy.
func (p zonePolicy) RecoversBefore(pl *machineregistry.Placement, j *jobstate.Job) bool {
	return p.scheduler.zoneFailover.RecoversBefore(pl, &j.Spec)
}
