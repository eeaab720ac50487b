package scheduler

import (
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// sortForRecovery sorts jobs by the recovery order while that order is in effect. The jobs must already be sorted by
// priority and age.
func (s *Scheduler) sortForRecovery(jobs []*jobstate.Job) {
	if s.zoneFailover == nil {
		return
	}
	zonefailover.SortByRecoveryOrder(s.zoneFailover, jobs, func(j *jobstate.Job) zonefailover.Rank {
		return zonefailover.Rank{
			Job:                   &j.Spec,
			Priority:              j.EffectivePriority,
			StartLatencyObjective: s.rules.StartLatency.Seconds(j.Spec.Class),
		}
	})
}

// zonesByAvailability returns the zones that a job allows, available zones first.
func (s *Scheduler) zonesByAvailability(spec *protocol.Job) []string {
	names := s.allowedZones(spec)
	s.zoneFailover.SortZonesByState(names)
	return names
}

// placeWithinGuaranteedQuota places the tasks that fit into the guaranteed quotas of their teams, in the recovery
// order. These tasks need not wait for other teams. As soon as a job exceeds the quota of its team, the rest of that
// job and all later jobs of the team take turns with other teams: the quota is guaranteed against other teams, not
// among the jobs of one team.
func (s *Scheduler) placeWithinGuaranteedQuota(now time.Duration, waiting []*jobstate.Job) {
	beyondQuota := map[string]bool{} // by team
	for _, j := range waiting {
		if beyondQuota[j.Spec.Team] {
			continue
		}
		minTasks := 1
		if j.Spec.Shape == protocol.Gang {
			minTasks = j.Spec.TaskCount
		}
		guaranteed := s.quotas.TasksWithinGuarantee(j.Spec.Team, j.TaskResources, j.PendingTasks())
		if n := min(s.tasksWithinQuotaLimit(j), guaranteed); n >= minTasks {
			s.placeJob(now, j, n)
		}
		beyondQuota[j.Spec.Team] = j.PendingTasks() > 0
	}
}
