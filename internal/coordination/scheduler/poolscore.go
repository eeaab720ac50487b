package scheduler

import (
	"math"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineindex"
	"pinebay/internal/coordination/partition"
)

// aimless says whether no aim on waiting is stated for a job's class.
func (c *Core) aimless(j *job) bool { return math.IsInf(c.waitAim(j.spec.Class), 1) }

// prefersRoom says whether the score of machines without the job's image falls with their room.
func (c *Core) prefersRoom(j *job) bool {
	aim := c.waitAim(j.spec.Class)
	if c.aimless(j) {
		return true
	}
	for name, t := range c.machines.MachineTypes() {
		if fetch := c.fetchS(j, name); fetch > max(aim, t.BootSeconds) || fetch*partition.SlowFetchFactor > aim {
			return true
		}
	}
	return false
}

// poolAllows says whether machines of a pool may do for a job.
func (c *Core) poolAllows(j *job, l *limits, p machineindex.Pool) bool {
	t := c.machines.MachineType(p.Type)
	return t != nil && (!p.Spot || j.spec.SpotAllowed) && t.AllowedBy(&j.spec) && (l.perZone == nil || l.allow(p.Zone))
}

// poolScore is what every machine of a pool adds to a score.
func (c *Core) poolScore(j *job, l *limits, p machineindex.Pool) float64 {
	s := c.zoneRiskPenalty(j, p.Zone)
	if j.spec.Spread && l.perZone != nil {
		s += float64(l.perZone[p.Zone]) / float64(j.spec.TaskCount)
	}
	switch {
	case !p.Spot:
	case j.spec.CheckpointIntervalSeconds > 0:
		s--
	default:
		s += c.machines.MachineType(p.Type).BootSeconds
	}
	return s
}

// fetchS is how long a type of machines takes for the job's image, in seconds.
func (c *Core) fetchS(j *job, kind string) float64 {
	t := c.machines.MachineType(kind)
	if t == nil || t.FetchGBPerSecond <= 0 {
		return 0
	}
	return config.Seconds(j.spec.ImageGB / t.FetchGBPerSecond).Seconds()
}
