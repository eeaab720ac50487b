package scheduler

import (
	"math"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/candidates"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placement"
)

// freeForJob returns the free capacity of a candidate that a job may use: everything except the headroom held for
// classes that take precedence over the job.
func (s *Scheduler) freeForJob(candidate *candidates.Candidate, j *jobstate.Job) machineregistry.Resources {
	if !candidate.HasHeadroom() {
		return candidate.Free
	}
	objective := s.rules.StartLatency.Seconds(j.Spec.Class)
	return candidate.FreeBeyondHeadroom(j.EffectivePriority, objective, s.zoneFailover.RecoveryPosition(&j.Spec))
}

// holdHeadroom reserves the capacity that classes with a start latency objective are likely to need soon. Normally it
// is held against jobs of the same priority only, provided that tasks of lower priority can be preempted in time.
// During a zone failover it is held against all lower priorities, so that capacity intended for a job early in the
// recovery order does not go to a later one.
func (s *Scheduler) holdHeadroom(now time.Duration) {
	recovering := s.zoneFailover.InFailover()
	for _, demanded := range s.forecast.Headroom() {
		j := &jobstate.Job{
			Spec:              *demanded.Job,
			TaskResources:     machineregistry.TaskResources(demanded.Job),
			EffectivePriority: demanded.Job.Priority.Rank(),
		}
		lowest := j.EffectivePriority
		if demanded.MustBeFree || recovering {
			lowest = max(lowest, autoscaler.PriorityLevels-1)
		}
		s.holdHeadroomFor(now, j, demanded.Zone, demanded.Count, lowest)
	}
}

// holdHeadroomFor holds headroom for a number of tasks of a job, in the given zone or, if zone is empty, in any. It is
// held against jobs with priorities from that of the job down to lowest.
func (s *Scheduler) holdHeadroomFor(now time.Duration, j *jobstate.Job, zone string, tasks, lowest int) {
	anyZone := &placement.ZoneLimits{}
	headroom := candidates.Headroom{
		StartLatencySeconds: s.rules.StartLatency.Seconds(j.Spec.Class),
		RecoveryPosition:    s.zoneFailover.RecoveryPosition(&j.Spec),
		Resources:           j.TaskResources,
	}
	allowed := func(candidate *candidates.Candidate) bool {
		return (zone == "" || zone == candidate.Machine.Zone) &&
			j.TaskResources.Fits(candidate.FreeBeyondHeadroom(j.EffectivePriority, math.Inf(1), math.MaxInt)) &&
			placement.AllowsMachine(&j.Spec, candidate)
	}
	for range tasks {
		best := s.finder.BestMachine(now, j, anyZone, allowed)
		if best == nil {
			return
		}
		for headroom.Priority = j.EffectivePriority; headroom.Priority <= lowest; headroom.Priority++ {
			s.candidates.HoldHeadroom(best, headroom)
		}
	}
}
