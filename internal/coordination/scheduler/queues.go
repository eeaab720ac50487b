package scheduler

import (
	"github.com/tidwall/btree"

	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
)

// inSchedulingOrder returns the jobs in a queue in scheduling order, or in the recovery order while that order is in
// effect.
func (s *Scheduler) inSchedulingOrder(queue *btree.BTreeG[*jobstate.Job]) []*jobstate.Job {
	jobs := queue.Items()
	s.sortForRecovery(jobs)
	return jobs
}

// newFairShareQueue returns the fair share queue of a cycle for jobs in scheduling order. During a zone failover the
// recovery order takes precedence over the fair shares of the teams.
func (s *Scheduler) newFairShareQueue(waiting []*jobstate.Job) *fairshare.Queue[*jobstate.Job] {
	if s.zoneFailover.InFailover() {
		return fairshare.NewOrderedQueue(waiting)
	}
	return fairshare.NewQueue(s.quotas, waiting, fairShareRequest)
}

func fairShareRequest(j *jobstate.Job) fairshare.Request {
	return fairshare.Request{Team: j.Spec.Team, Task: j.TaskResources, Priority: j.EffectivePriority}
}

// tasksWithinQuotaLimit returns the number of additional tasks of a job that the quota limit of its team admits.
func (s *Scheduler) tasksWithinQuotaLimit(j *jobstate.Job) int {
	return s.quotas.TasksWithinLimit(j.Spec.Team, j.TaskResources)
}
