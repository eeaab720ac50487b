package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// StartQueue holds the jobs with placements that wait for their record. Their order is by priority;
// among equals the teams are served in turn, and of a team the job that has waited for longest. Every
// fourth goes to the job that has waited for longest of all, so that none waits for ever: with n jobs
// in the queue it is served after no more than 4n others, whatever their priority.
type StartQueue struct {
	ByTurn    *btree.BTreeG[*Job]
	byAge     *btree.BTreeG[*Job]
	teamTurns map[int]*priorityTurns
	enqueued  uint64 // jobs that were entered so far
	dequeued  uint64 // and taken
}

// oldestEvery is of how many jobs that are taken one is the one that has waited for longest.
const oldestEvery = 4

// priorityTurns deals out the turns of the teams within a priority: a team's next job comes one turn after
// its last one, or after the one that is being served now.
type priorityTurns struct {
	current    uint64
	lastByTeam map[string]uint64
}

func NewStartQueue() *StartQueue {
	return &StartQueue{
		ByTurn:    btree.NewBTreeGOptions(lessByTurn, btree.Options{NoLocks: true}),
		byAge:     btree.NewBTreeGOptions(lessByAge, btree.Options{NoLocks: true}),
		teamTurns: map[int]*priorityTurns{},
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

// Add enters a job that has just got placements to be recorded, unless it waits already.
func (q *StartQueue) Add(j *Job) {
	if q == nil || j.inStartQueue {
		return
	}
	turns := q.teamTurns[j.EffectivePriority]
	if turns == nil {
		turns = &priorityTurns{lastByTeam: map[string]uint64{}}
		q.teamTurns[j.EffectivePriority] = turns
	}
	q.enqueued++
	j.startNumber = q.enqueued
	j.startTurn = max(turns.current, turns.lastByTeam[j.Spec.Team]) + 1
	turns.lastByTeam[j.Spec.Team] = j.startTurn
	q.Requeue(j)
}

// Requeue enters a job where it was, if it still has placements to be recorded.
func (q *StartQueue) Requeue(j *Job) {
	if j.inStartQueue || len(j.Unstarted) == 0 {
		return
	}
	j.inStartQueue = true
	q.ByTurn.Set(j)
	q.byAge.Set(j)
}

// remove takes a job out of the queue.
func (q *StartQueue) remove(j *Job) {
	if !j.inStartQueue {
		return
	}
	j.inStartQueue = false
	q.ByTurn.Delete(j)
	q.byAge.Delete(j)
}

// Dequeue takes the job out whose turn it is.
func (q *StartQueue) Dequeue(j *Job) {
	q.remove(j)
	if turns := q.teamTurns[j.EffectivePriority]; turns != nil && !q.oldestIsNext() {
		turns.current = max(turns.current, j.startTurn)
	}
	q.dequeued++
}

// oldestIsNext says whether the next turn is that of the job that has waited for longest of all.
func (q *StartQueue) oldestIsNext() bool { return q.dequeued%oldestEvery == oldestEvery-1 }

// Next returns the job whose turn it is, or nil if there is none that may be written now. Jobs that
// wait for nothing any more are dropped. If jobs are listed in another order, that goes before the
// queue's own.
func (q *StartQueue) Next(now time.Duration, listed []*Job) *Job {
	jobs := q.ByTurn
	if q.oldestIsNext() {
		jobs = q.byAge
	}
	var next *Job
	var idle []*Job
	look := func(j *Job) bool {
		switch {
		case j.Ended || j.Ending || len(j.Unstarted) == 0:
			idle = append(idle, j)
		case !j.WriteInFlight && now >= j.RecordNotBefore:
			next = j
		}
		return next == nil
	}
	if listed == nil {
		jobs.Scan(look)
	}
	for _, j := range listed {
		if j.inStartQueue && !look(j) {
			break
		}
	}
	for _, j := range idle {
		q.remove(j)
	}
	return next
}
