package scheduler

import (
	"math"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/machineregistry"
)

// lacksStartLatencyObjective says whether no aim on waiting is stated for a job's class.
func (c *Scheduler) lacksStartLatencyObjective(j *jobstate.Job) bool {
	return math.IsInf(c.startLatencyObjective(j.Spec.Class), 1)
}

// prefersFreeCapacity says whether the score of machines without the job's image falls with their room.
func (c *Scheduler) prefersFreeCapacity(j *jobstate.Job) bool {
	aim := c.startLatencyObjective(j.Spec.Class)
	if c.lacksStartLatencyObjective(j) {
		return true
	}
	for name, t := range c.machines.MachineTypes() {
		if fetch := c.fetchSeconds(
			j,
			name,
		); fetch > max(aim, t.BootSeconds) ||
			fetch*machineregistry.SlowFetchFactor > aim {
			return true
		}
	}
	return false
}

// poolFeasible says whether machines of a pool may do for a job.
func (c *Scheduler) poolFeasible(j *jobstate.Job, l *zoneLimits, p machineindex.Pool) bool {
	t := c.machines.MachineType(p.Type)
	return t != nil && (!p.Spot || j.Spec.SpotAllowed) && t.AllowedBy(&j.Spec) &&
		(l.tasksPerZone == nil || l.allows(p.Zone))
}

// poolScore is what every machine of a pool adds to a score.
func (c *Scheduler) poolScore(j *jobstate.Job, l *zoneLimits, p machineindex.Pool) float64 {
	s := c.zoneRiskPenalty(j, p.Zone)
	if j.Spec.Spread && l.tasksPerZone != nil {
		s += float64(l.tasksPerZone[p.Zone]) / float64(j.Spec.TaskCount)
	}
	switch {
	case !p.Spot:
	case j.Spec.CheckpointIntervalSeconds > 0:
		s--
	default:
		s += c.machines.MachineType(p.Type).BootSeconds
	}
	return s
}

// fetchSeconds is how long a type of machines takes for the job's image, in seconds.
func (c *Scheduler) fetchSeconds(j *jobstate.Job, kind string) float64 {
	t := c.machines.MachineType(kind)
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	return config.Seconds(j.Spec.ImageGB / t.FetchGBPerSecond).Seconds()
}
