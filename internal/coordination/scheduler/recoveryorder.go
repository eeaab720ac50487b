package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// sortForRecovery puts jobs, which come sorted by priority and age, into the recovery order while that is in effect.
func (c *Scheduler) sortForRecovery(jobs []*jobstate.Job) {
	if c.zoneFailover == nil {
		return
	}
	zonefailover.SortByRecoveryOrder(c.zoneFailover, jobs, func(j *jobstate.Job) zonefailover.Rank {
		return zonefailover.Rank{
			Job:                   &j.Spec,
			Priority:              j.EffectivePriority,
			StartLatencyObjective: c.rules.StartLatency.Seconds(j.Spec.Class),
		}
	})
}

// zonesByAvailability lists the zones that a job may run in, those that are available first.
func (c *Scheduler) zonesByAvailability(spec *protocol.Job) []string {
	names := c.allowedZones(spec)
	c.zoneFailover.SortZonesByState(names)
	return names
}

// placeWithinQuota places what teams run within their guaranteed quotas, in the recovery order: it need not wait for
// other teams. What is beyond a team's quota takes its turn with the others, and so do the team's jobs after it: the
// quota is guaranteed against other teams, not among the jobs of one.
func (c *Scheduler) placeWithinQuota(now time.Duration, waiting []*jobstate.Job) {
	beyondQuota := map[string]bool{} // teams
	for _, j := range waiting {
		if beyondQuota[j.Spec.Team] {
			continue
		}
		fewest := 1
		if j.Spec.Shape == protocol.Gang {
			fewest = j.Spec.TaskCount
		}
		guaranteed := c.quotas.TasksWithinGuarantee(j.Spec.Team, j.TaskResources, j.PendingTasks())
		if n := min(c.tasksWithinQuotaLimit(j), guaranteed); n >= fewest {
			c.placeJob(now, j, n)
		}
		beyondQuota[j.Spec.Team] = j.PendingTasks() > 0
	}
}
