package scheduler

import (
	"cmp"
	"container/heap"
)

// turns deals out the turns of a cycle: teams within their guarantee first, then by priority;
// among equals the team that has least for its share, and of its queue the oldest job. Each
// team has a queue of its own, in order; the teams are in a heap by the job at the head of
// their queue, which is put right when a team's usage has changed.
type turns struct {
	core   *Core
	plain  []*job // where there are no teams to choose between, or the order of return is in force
	teams  []*teamQueue
	byName map[string]*teamQueue
}

// teamQueue is a team's waiting jobs.
type teamQueue struct {
	jobs       []*job
	place      []int // where the jobs stand in the order of all
	guaranteed bool  // the job at the head is within the team's guarantee
	share      float64
	position   int // in the heap, -1 when it is out
}

// newTurns returns the turns of jobs that are in order.
func (c *Core) newTurns(waiting []*job) *turns {
	t := &turns{core: c, byName: map[string]*teamQueue{}}
	if len(c.cfg.Teams) < 2 || c.inZoneFailover() {
		t.plain = waiting
		return t
	}
	for i, j := range waiting {
		q := t.byName[j.spec.Team]
		if q == nil {
			q = &teamQueue{position: len(t.teams)}
			t.byName[j.spec.Team] = q
			t.teams = append(t.teams, q)
		}
		q.jobs, q.place = append(q.jobs, j), append(q.place, i)
	}
	for _, q := range t.teams {
		t.judge(q)
	}
	heap.Init(t)
	c.machines.TakeChangedTeams(func(string) {})
	return t
}

// judge computes by what a team is ordered.
func (t *turns) judge(q *teamQueue) {
	head := q.jobs[0]
	q.guaranteed, q.share = t.core.guaranteed(head), t.core.teamShare(head.spec.Team)
}

// next returns the job whose turn it is, or nil.
func (t *turns) next() *job {
	if len(t.plain) > 0 {
		j := t.plain[0]
		t.plain = t.plain[1:]
		return j
	}
	t.core.machines.TakeChangedTeams(func(team string) {
		if q := t.byName[team]; q != nil && q.position >= 0 {
			t.judge(q)
			heap.Fix(t, q.position)
		}
	})
	if len(t.teams) == 0 {
		return nil
	}
	q := t.teams[0]
	j := q.jobs[0]
	q.jobs, q.place = q.jobs[1:], q.place[1:]
	if len(q.jobs) == 0 {
		heap.Pop(t)
	} else {
		t.judge(q)
		heap.Fix(t, 0)
	}
	return j
}

// Len, Less, Swap, Push and Pop make the teams a heap.

func (t *turns) Len() int { return len(t.teams) }

func (t *turns) Less(i, k int) bool {
	a, b := t.teams[i], t.teams[k]
	if a.guaranteed != b.guaranteed {
		return a.guaranteed
	}
	return cmp.Or(cmp.Compare(a.jobs[0].level, b.jobs[0].level), cmp.Compare(a.share, b.share), cmp.Compare(a.place[0], b.place[0])) < 0
}

func (t *turns) Swap(i, k int) {
	t.teams[i], t.teams[k] = t.teams[k], t.teams[i]
	t.teams[i].position, t.teams[k].position = i, k
}

func (t *turns) Push(x any) { t.teams = append(t.teams, x.(*teamQueue)) }

func (t *turns) Pop() any {
	last := len(t.teams) - 1
	q := t.teams[last]
	t.teams[last] = nil
	t.teams = t.teams[:last]
	q.position = -1
	return q
}
