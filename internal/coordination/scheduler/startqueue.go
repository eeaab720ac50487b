package scheduler

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// startQueue holds the jobs with placements that wait for their record. Their order is by priority;
// among equals the teams are served in turn, and of a team the job that has waited for longest. Every
// fourth goes to the job that has waited for longest of all, so that none waits for ever: with n jobs
// in the queue it is served after no more than 4n others, whatever their priority.
type startQueue struct {
	byTurn    *btree.BTreeG[*Job]
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

func newStartQueue() *startQueue {
	return &startQueue{
		byTurn:    btree.NewBTreeGOptions(lessByTurn, btree.Options{NoLocks: true}),
		byAge:     btree.NewBTreeGOptions(lessByAge, btree.Options{NoLocks: true}),
		teamTurns: map[int]*priorityTurns{},
	}
}

func lessByTurn(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.StartTurn, b.StartTurn),
		cmp.Compare(a.StartNumber, b.StartNumber),
	) < 0
}

func lessByAge(a, b *Job) bool {
	return a.StartNumber < b.StartNumber
}

// add enters a job that has just got placements to be recorded, unless it waits already.
func (q *startQueue) add(j *Job) {
	if q == nil || j.InStartQueue {
		return
	}
	turns := q.teamTurns[j.EffectivePriority]
	if turns == nil {
		turns = &priorityTurns{lastByTeam: map[string]uint64{}}
		q.teamTurns[j.EffectivePriority] = turns
	}
	q.enqueued++
	j.StartNumber = q.enqueued
	j.StartTurn = max(turns.current, turns.lastByTeam[j.Spec.Team]) + 1
	turns.lastByTeam[j.Spec.Team] = j.StartTurn
	q.requeue(j)
}

// requeue enters a job where it was, if it still has placements to be recorded.
func (q *startQueue) requeue(j *Job) {
	if j.InStartQueue || len(j.Unstarted) == 0 {
		return
	}
	j.InStartQueue = true
	q.byTurn.Set(j)
	q.byAge.Set(j)
}

// remove takes a job out of the queue.
func (q *startQueue) remove(j *Job) {
	if !j.InStartQueue {
		return
	}
	j.InStartQueue = false
	q.byTurn.Delete(j)
	q.byAge.Delete(j)
}

// dequeue takes the job out whose turn it is.
func (q *startQueue) dequeue(j *Job) {
	q.remove(j)
	if turns := q.teamTurns[j.EffectivePriority]; turns != nil && !q.oldestIsNext() {
		turns.current = max(turns.current, j.StartTurn)
	}
	q.dequeued++
}

// oldestIsNext says whether the next turn is that of the job that has waited for longest of all.
func (q *startQueue) oldestIsNext() bool { return q.dequeued%oldestEvery == oldestEvery-1 }

// next returns the job whose turn it is, or nil if there is none that may be written now. Jobs that
// wait for nothing any more are dropped. If jobs are listed in another order, that goes before the
// queue's own.
func (q *startQueue) next(now time.Duration, listed []*Job) *Job {
	jobs := q.byTurn
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
		if j.InStartQueue && !look(j) {
			break
		}
	}
	for _, j := range idle {
		q.remove(j)
	}
	return next
}
