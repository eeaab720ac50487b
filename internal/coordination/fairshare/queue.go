package fairshare

import (
	"cmp"
	"container/heap"

	"pinebay/internal/coordination/machineregistry"
)

// Request is what a queue orders a job by.
type Request struct {
	Team     string
	Task     machineregistry.Resources // of each of its tasks
	Priority int                       // lower goes first
}

// Queue hands out the jobs of a scheduling cycle: teams within their guaranteed quota first, then by
// priority; among equals the team with the least weighted usage, and of its jobs the first. Usage may
// change between two calls of Next, as jobs are placed.
//
// Each team has a queue of its own, and the teams are in a heap by the job at the head of their queue,
// so that a cycle costs the logarithm of the number of teams for each job.
type Queue[J any] struct {
	quotas      *Quotas
	request     func(J) Request
	fixedOrder  []J
	teams       teamHeap[J]
	teamsByName map[string]*teamQueue[J]
}

// teamQueue holds a team's waiting jobs.
type teamQueue[J any] struct {
	jobs            []J
	ranks           []int // the jobs' positions in the order of all jobs
	head            Request
	withinGuarantee bool // the job at the head is within the team's guaranteed quota
	weightedUsage   float64
	heapIndex       int // -1 once the queue is empty
}

// NewQueue returns a queue of jobs that are already in the order in which each team's own jobs are to
// be handed out. With fewer than two teams they keep that order.
func NewQueue[J any](quotas *Quotas, waiting []J, request func(J) Request) *Queue[J] {
	if len(quotas.teams) < 2 {
		return NewOrderedQueue(waiting)
	}
	q := &Queue[J]{quotas: quotas, request: request, teamsByName: map[string]*teamQueue[J]{}}
	for rank, job := range waiting {
		name := request(job).Team
		team := q.teamsByName[name]
		if team == nil {
			team = &teamQueue[J]{heapIndex: len(q.teams)}
			q.teamsByName[name] = team
			q.teams = append(q.teams, team)
		}
		team.jobs, team.ranks = append(team.jobs, job), append(team.ranks, rank)
	}
	for _, team := range q.teams {
		q.updateHead(team)
	}
	heap.Init(&q.teams)
	quotas.machines.TakeChangedTeams(func(string) {}) // the heap already reflects them
	return q
}

// NewOrderedQueue returns a queue that hands out the jobs in the given order, whatever their teams use.
func NewOrderedQueue[J any](waiting []J) *Queue[J] { return &Queue[J]{fixedOrder: waiting} }

// updateHead updates what a team is ordered by, after its usage or its first job has changed.
func (q *Queue[J]) updateHead(team *teamQueue[J]) {
	team.head = q.request(team.jobs[0])
	team.withinGuarantee = q.quotas.WithinGuarantee(team.head.Team, team.head.Task)
	team.weightedUsage = q.quotas.WeightedUsage(team.head.Team)
}

// Next removes and returns the job that goes next. It returns false when none is left.
func (q *Queue[J]) Next() (job J, ok bool) {
	if len(q.fixedOrder) > 0 {
		job = q.fixedOrder[0]
		q.fixedOrder = q.fixedOrder[1:]
		return job, true
	}
	if len(q.teams) == 0 {
		return job, false
	}
	q.quotas.machines.TakeChangedTeams(func(name string) {
		if team := q.teamsByName[name]; team != nil && team.heapIndex >= 0 {
			q.updateHead(team)
			heap.Fix(&q.teams, team.heapIndex)
		}
	})
	team := q.teams[0]
	job = team.jobs[0]
	team.jobs, team.ranks = team.jobs[1:], team.ranks[1:]
	if len(team.jobs) == 0 {
		heap.Pop(&q.teams)
	} else {
		q.updateHead(team)
		heap.Fix(&q.teams, 0)
	}
	return job, true
}

// teamHeap implements heap.Interface over the teams with waiting jobs.
type teamHeap[J any] []*teamQueue[J]

func (h teamHeap[J]) Len() int { return len(h) }

func (h teamHeap[J]) Less(i, k int) bool {
	a, b := h[i], h[k]
	if a.withinGuarantee != b.withinGuarantee {
		return a.withinGuarantee
	}
	return cmp.Or(
		cmp.Compare(a.head.Priority, b.head.Priority),
		cmp.Compare(a.weightedUsage, b.weightedUsage),
		cmp.Compare(a.ranks[0], b.ranks[0]),
	) < 0
}

func (h teamHeap[J]) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].heapIndex, h[k].heapIndex = i, k
}

// Push is not used: all teams are in the heap from the beginning.
func (h *teamHeap[J]) Push(x any) {
	if team, ok := x.(*teamQueue[J]); ok {
		*h = append(*h, team)
	}
}

// Pop removes the last team.
func (h *teamHeap[J]) Pop() any {
	old := *h
	last := len(old) - 1
	team := old[last]
	old[last] = nil
	*h = old[:last]
	team.heapIndex = -1
	return team
}
