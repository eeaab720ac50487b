package scheduler

import (
	"github.com/tidwall/btree"

	"pinebay/internal/coordination/fairshare"
	"pinebay/internal/coordination/jobstate"
)

// inSchedulingOrder returns the jobs of a queue in scheduling order, or in the recovery order while that is
// in effect.
func (c *Scheduler) inSchedulingOrder(queue *btree.BTreeG[*jobstate.Job]) []*jobstate.Job {
	jobs := queue.Items()
	c.sortForRecovery(jobs)
	return jobs
}

// newFairShareQueue returns the queue of a cycle's jobs, which are in scheduling order. While the
// recovery order of a zone failover is in effect, it goes before the teams' shares.
func (c *Scheduler) newFairShareQueue(waiting []*jobstate.Job) *fairshare.Queue[*jobstate.Job] {
	if c.zoneFailover.InFailover() {
		return fairshare.NewOrderedQueue(waiting)
	}
	return fairshare.NewQueue(c.quotas, waiting, fairShareRequest)
}

func fairShareRequest(j *jobstate.Job) fairshare.Request {
	return fairshare.Request{Team: j.Spec.Team, Task: j.TaskResources, Priority: j.EffectivePriority}
}

// tasksWithinQuotaLimit returns how many more tasks of a job its team's quota limit admits.
func (c *Scheduler) tasksWithinQuotaLimit(j *jobstate.Job) int {
	return c.quotas.TasksWithinLimit(j.Spec.Team, j.TaskResources)
}
