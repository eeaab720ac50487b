package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// StartQueue holds the jobs with placements that wait for their record. They are served by priority; within a priority
// the teams take turns, and of a team the job that has waited longest is served first. Every fourth time the job that
// has waited longest of all is served, so that none starves: with n jobs in the queue a job is served after at most
// 4n others, whatever their priority.
type StartQueue struct {
	byTurn          *btree.BTreeG[*Job]
	byAge           *btree.BTreeG[*Job]
	turnsByPriority map[int]*teamTurns
	enqueued        uint64 // how many jobs were added so far
	dequeued        uint64 // how many jobs were served so far
}

// oldestEvery is the interval, in jobs, at which the job is served that has waited longest of all.
const oldestEvery = 4

// teamTurns assigns turns to the teams within a priority: a team's next job has the turn after that of its last one, or
// the turn after the one that is being served.
type teamTurns struct {
	current    uint64
	lastByTeam map[string]uint64
}

// NewStartQueue returns an empty queue.
func NewStartQueue() *StartQueue {
	return &StartQueue{
		byTurn:          btree.NewBTreeGOptions(lessByTurn, btree.Options{NoLocks: true}),
		byAge:           btree.NewBTreeGOptions(lessByAge, btree.Options{NoLocks: true}),
		turnsByPriority: map[int]*teamTurns{},
	}
}

func lessByTurn(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.startTurn, b.startTurn),
		cmp.Compare(a.startNumber, b.startNumber),
	) < 0
}

func lessByAge(a, b *Job) bool {
	return a.startNumber < b.startNumber
}

// Jobs returns the jobs in the order of their turns.
func (q *StartQueue) Jobs() []*Job { return q.byTurn.Items() }

// Add adds a job with new placements to be recorded, unless it is in the queue already.
func (q *StartQueue) Add(j *Job) {
	if q == nil || j.inStartQueue {
		return
	}
	turns := q.turnsByPriority[j.EffectivePriority]
	if turns == nil {
		turns = &teamTurns{lastByTeam: map[string]uint64{}}
		q.turnsByPriority[j.EffectivePriority] = turns
	}
	q.enqueued++
	j.startNumber = q.enqueued
	j.startTurn = max(turns.current, turns.lastByTeam[j.Spec.Team]) + 1
	turns.lastByTeam[j.Spec.Team] = j.startTurn
	q.Requeue(j)
}

// Requeue adds a job again with its former turn, if it still has placements to be recorded.
func (q *StartQueue) Requeue(j *Job) {
	if j.inStartQueue || len(j.Unstarted) == 0 {
		return
	}
	j.inStartQueue = true
	q.byTurn.Set(j)
	q.byAge.Set(j)
}

// remove removes a job.
func (q *StartQueue) remove(j *Job) {
	if !j.inStartQueue {
		return
	}
	j.inStartQueue = false
	q.byTurn.Delete(j)
	q.byAge.Delete(j)
}

// Dequeue removes the job that is being served.
func (q *StartQueue) Dequeue(j *Job) {
	q.remove(j)
	if turns := q.turnsByPriority[j.EffectivePriority]; turns != nil && !q.oldestIsNext() {
		turns.current = max(turns.current, j.startTurn)
	}
	q.dequeued++
}

// oldestIsNext reports whether the job that has waited longest of all is served next.
func (q *StartQueue) oldestIsNext() bool { return q.dequeued%oldestEvery == oldestEvery-1 }

// Next returns the job to be served next, or nil if none may be written now. Jobs that no longer wait for a record are
// removed. If an order is given, it takes precedence over that of the queue.
func (q *StartQueue) Next(now time.Duration, order []*Job) *Job {
	jobs := q.byTurn
	if q.oldestIsNext() {
		jobs = q.byAge
	}
	var next *Job
	var done []*Job
	examine := func(j *Job) (more bool) {
		switch {
		case j.Ended || j.Ending || len(j.Unstarted) == 0:
			done = append(done, j)
		case !j.WriteInFlight && now >= j.RecordNotBefore:
			next = j
		}
		return next == nil
	}
	if order == nil {
		jobs.Scan(examine)
	}
	for _, j := range order {
		if j.inStartQueue && !examine(j) {
			break
		}
	}
	for _, j := range done {
		q.remove(j)
	}
	return next
}
