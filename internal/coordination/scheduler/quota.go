package scheduler

import "pinebay/internal/coordination/fairshare"

// tasksWithinQuotaLimit returns how many more tasks of a job its team's quota limit admits.
func (c *Scheduler) tasksWithinQuotaLimit(j *Job) int {
	return c.quotas.TasksWithinLimit(j.Spec.Team, j.TaskResources)
}

// withinGuaranteedQuota reports whether a job's team is still within its guaranteed quota with one more
// of the job's tasks.
func (c *Scheduler) withinGuaranteedQuota(j *Job) bool {
	return c.quotas.WithinGuarantee(j.Spec.Team, j.TaskResources)
}

// newFairShareQueue returns the queue of a cycle's jobs, which are in scheduling order. While the
// recovery order of a zone failover is in effect, it goes before the teams' shares.
func (c *Scheduler) newFairShareQueue(waiting []*Job) *fairshare.Queue[*Job] {
	if c.inZoneFailover() {
		return fairshare.NewOrderedQueue(waiting)
	}
	return fairshare.NewQueue(c.quotas, waiting, fairShareRequest)
}

func fairShareRequest(j *Job) fairshare.Request {
	return fairshare.Request{Team: j.Spec.Team, Task: j.TaskResources, Priority: j.EffectivePriority}
}
