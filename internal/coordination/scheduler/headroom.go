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

// freeForJob returns the free capacity of a candidate that a job may use: all but the headroom that is
// held for classes that go before it.
func (c *Scheduler) freeForJob(x *candidates.Candidate, j *jobstate.Job) machineregistry.Resources {
	if !x.HasHeadroom() {
		return x.Free
	}
	objective := c.rules.StartLatency.Seconds(j.Spec.Class)
	return x.FreeBeyondHeadroom(j.EffectivePriority, objective, c.zoneFailover.RecoveryPosition(&j.Spec))
}

// holdHeadroom holds back the capacity that classes with a start latency objective are likely to need
// soon. It is held against jobs of the same priority only, as long as lower ones can be preempted in
// time. In a zone failover it is held against all lower priorities too: what is meant for a job that is
// earlier in the recovery order must not go to a later one.
func (c *Scheduler) holdHeadroom(now time.Duration) {
	recovering := c.zoneFailover.InFailover()
	for _, u := range c.forecast.Headroom() {
		j := &jobstate.Job{
			Spec:              *u.Job,
			TaskResources:     machineregistry.TaskResources(u.Job),
			EffectivePriority: u.Job.Priority.Rank(),
		}
		lowest := j.EffectivePriority
		if u.MustBeFree || recovering {
			lowest = max(lowest, autoscaler.PriorityLevels-1)
		}
		c.holdHeadroomFor(now, j, u.Zone, u.Count, lowest)
	}
}

// holdHeadroomFor holds capacity for a number of tasks like those of a job, in the zone if one is given,
// against jobs of its priority down to the lowest one given.
func (c *Scheduler) holdHeadroomFor(now time.Duration, j *jobstate.Job, zone string, tasks, lowest int) {
	anyZone := &placement.ZoneLimits{}
	headroom := candidates.Headroom{
		StartLatencySeconds: c.rules.StartLatency.Seconds(j.Spec.Class),
		RecoveryPosition:    c.zoneFailover.RecoveryPosition(&j.Spec),
		Resources:           j.TaskResources,
	}
	allowed := func(x *candidates.Candidate) bool {
		return (zone == "" || zone == x.Machine.Zone) &&
			j.TaskResources.Fits(x.FreeBeyondHeadroom(j.EffectivePriority, math.Inf(1), math.MaxInt)) &&
			placement.AllowsMachine(&j.Spec, x)
	}
	for range tasks {
		best := c.finder.BestMachine(now, j, anyZone, allowed)
		if best == nil {
			return
		}
		for headroom.Priority = j.EffectivePriority; headroom.Priority <= lowest; headroom.Priority++ {
			c.candidates.HoldHeadroom(best, headroom)
		}
	}
}
