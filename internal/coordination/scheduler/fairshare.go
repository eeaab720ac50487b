package scheduler

import (
	"cmp"
	"container/heap"
)

// fairShareQueue deals out the turns of a cycle: teams within their guarantee first, then by priority;
// among equals the team that has least for its share, and of its queue the oldest job. Each
// team has a queue of its own, in order; the teams are in a heap by the job at the head of
// their queue, which is put right when a team's usage has changed.
type fairShareQueue struct {
	scheduler   *Scheduler
	fixedOrder  []*Job // where there are no teams to choose between, or the order of return is in force
	teams       []*teamQueue
	teamsByName map[string]*teamQueue
}

// teamQueue is a team's waiting jobs.
type teamQueue struct {
	jobs                  []*Job
	ranks                 []int // where the jobs stand in the order of all
	withinGuaranteedQuota bool  // the job at the head is within the team's guarantee
	share                 float64
	heapIndex             int // in the heap, -1 when it is out
}

// newFairShareQueue returns the turns of jobs that are in order.
func (c *Scheduler) newFairShareQueue(waiting []*Job) *fairShareQueue {
	t := &fairShareQueue{scheduler: c, teamsByName: map[string]*teamQueue{}}
	if len(c.cfg.Teams) < 2 || c.inZoneFailover() {
		t.fixedOrder = waiting
		return t
	}
	for i, j := range waiting {
		q := t.teamsByName[j.Spec.Team]
		if q == nil {
			q = &teamQueue{heapIndex: len(t.teams)}
			t.teamsByName[j.Spec.Team] = q
			t.teams = append(t.teams, q)
		}
		q.jobs, q.ranks = append(q.jobs, j), append(q.ranks, i)
	}
	for _, q := range t.teams {
		t.updateRank(q)
	}
	heap.Init(t)
	c.machines.TakeChangedTeams(func(string) {})
	return t
}

// updateRank computes by what a team is ordered.
func (t *fairShareQueue) updateRank(q *teamQueue) {
	head := q.jobs[0]
	q.withinGuaranteedQuota, q.share = t.scheduler.withinGuaranteedQuota(
		head,
	), t.scheduler.weightedUsage(
		head.Spec.Team,
	)
}

// next returns the job whose turn it is, or nil.
func (t *fairShareQueue) next() *Job {
	if len(t.fixedOrder) > 0 {
		j := t.fixedOrder[0]
		t.fixedOrder = t.fixedOrder[1:]
		return j
	}
	t.scheduler.machines.TakeChangedTeams(func(team string) {
		if q := t.teamsByName[team]; q != nil && q.heapIndex >= 0 {
			t.updateRank(q)
			heap.Fix(t, q.heapIndex)
		}
	})
	if len(t.teams) == 0 {
		return nil
	}
	q := t.teams[0]
	j := q.jobs[0]
	q.jobs, q.ranks = q.jobs[1:], q.ranks[1:]
	if len(q.jobs) == 0 {
		heap.Pop(t)
	} else {
		t.updateRank(q)
		heap.Fix(t, 0)
	}
	return j
}

// Len, Less, Swap, Push and Pop make the teams a heap.

func (t *fairShareQueue) Len() int { return len(t.teams) }

func (t *fairShareQueue) Less(i, k int) bool {
	a, b := t.teams[i], t.teams[k]
	if a.withinGuaranteedQuota != b.withinGuaranteedQuota {
		return a.withinGuaranteedQuota
	}
	return cmp.Or(
		cmp.Compare(a.jobs[0].EffectivePriority, b.jobs[0].EffectivePriority),
		cmp.Compare(a.share, b.share),
		cmp.Compare(a.ranks[0], b.ranks[0]),
	) < 0
}

func (t *fairShareQueue) Swap(i, k int) {
	t.teams[i], t.teams[k] = t.teams[k], t.teams[i]
	t.teams[i].heapIndex, t.teams[k].heapIndex = i, k
}

func (t *fairShareQueue) Push(x any) { t.teams = append(t.teams, x.(*teamQueue)) }

func (t *fairShareQueue) Pop() any {
	last := len(t.teams) - 1
	q := t.teams[last]
	t.teams[last] = nil
	t.teams = t.teams[:last]
	q.heapIndex = -1
	return q
}
