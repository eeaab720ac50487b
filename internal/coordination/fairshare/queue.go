package fairshare

import (
	"cmp"
	"container/heap"

	"pinebay/internal/coordination/machineregistry"
)

// Request holds the attributes by which a queue orders a job.
type Request struct {
	Team     string
	Task     machineregistry.Resources // resources of each task
	Priority int                       // lower values go first
}

// Queue yields the jobs of a scheduling cycle in fair-share order: jobs within their team's guaranteed quota first,
// then by priority, then by the least weighted usage of the team. The jobs of a team keep their order. Usage may
// change between calls of Next as jobs are placed.
//
// The jobs of each team are in a separate queue, and the teams are in a heap ordered by the job at the head of their
// queue, so that a job costs time logarithmic in the number of teams.
type Queue[J any] struct {
	quotas      *Quotas
	request     func(J) Request
	fixedOrder  []J
	teams       teamHeap[J]
	teamsByName map[string]*teamQueue[J]
}

// teamQueue holds the waiting jobs of a team.
type teamQueue[J any] struct {
	jobs            []J
	ranks           []int // positions of the jobs in the order of all jobs
	head            Request
	withinGuarantee bool // the head job is within the team's guaranteed quota
	weightedUsage   float64
	heapIndex       int // -1 once the queue is empty
}

// NewQueue returns a queue of jobs, given in the order in which the jobs of each team are to be scheduled. With fewer
// than two teams, Next returns them in that order.
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
	quotas.machines.TakeChangedTeams(func(string) {}) // discarded, as the heap already reflects these changes
	return q
}

// NewOrderedQueue returns a queue that yields the jobs in the given order, regardless of their teams' usage.
func NewOrderedQueue[J any](waiting []J) *Queue[J] { return &Queue[J]{fixedOrder: waiting} }

// updateHead updates the sort key of a team after its usage or its head job has changed.
func (q *Queue[J]) updateHead(team *teamQueue[J]) {
	team.head = q.request(team.jobs[0])
	team.withinGuarantee = q.quotas.WithinGuarantee(team.head.Team, team.head.Task)
	team.weightedUsage = q.quotas.WeightedUsage(team.head.Team)
}

// Next removes and returns the next job. It returns false if none is left.
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

// Push is required by heap.Interface but not used: all teams are in the heap from the start.
func (h *teamHeap[J]) Push(x any) {
	if team, ok := x.(*teamQueue[J]); ok {
		*h = append(*h, team)
	}
}

// Pop removes and returns the last team.
func (h *teamHeap[J]) Pop() any {
	old := *h
	last := len(old) - 1
	team := old[last]
	old[last] = nil
	*h = old[:last]
	team.heapIndex = -1
	return team
}
