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
	byTurn *btree.BTreeG[*job]
	byWait *btree.BTreeG[*job]
	levels map[int]*levelTurns
	added  uint64 // jobs that were entered so far
	handed uint64 // and taken
}

// longestWaiting is of how many jobs that are taken one is the one that has waited for longest.
const longestWaiting = 4

// levelTurns deals out the turns of the teams within a priority: a team's next job comes one turn after
// its last one, or after the one that is being served now.
type levelTurns struct {
	now   uint64
	teams map[string]uint64
}

func newStartQueue() *startQueue {
	return &startQueue{
		byTurn: btree.NewBTreeGOptions(turnBefore, btree.Options{NoLocks: true}),
		byWait: btree.NewBTreeGOptions(waitsLonger, btree.Options{NoLocks: true}),
		levels: map[int]*levelTurns{},
	}
}

func turnBefore(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.recordTurn, b.recordTurn), cmp.Compare(a.recordNumber, b.recordNumber)) < 0
}

func waitsLonger(a, b *job) bool {
	return a.recordNumber < b.recordNumber
}

// add enters a job that has just got placements to be recorded, unless it waits already.
func (q *startQueue) add(j *job) {
	if q == nil || j.recordQueued {
		return
	}
	turns := q.levels[j.level]
	if turns == nil {
		turns = &levelTurns{teams: map[string]uint64{}}
		q.levels[j.level] = turns
	}
	q.added++
	j.recordNumber = q.added
	j.recordTurn = max(turns.now, turns.teams[j.spec.Team]) + 1
	turns.teams[j.spec.Team] = j.recordTurn
	q.putBack(j)
}

// putBack enters a job where it was, if it still has placements to be recorded.
func (q *startQueue) putBack(j *job) {
	if j.recordQueued || len(j.granted) == 0 {
		return
	}
	j.recordQueued = true
	q.byTurn.Set(j)
	q.byWait.Set(j)
}

// remove takes a job out of the queue.
func (q *startQueue) remove(j *job) {
	if !j.recordQueued {
		return
	}
	j.recordQueued = false
	q.byTurn.Delete(j)
	q.byWait.Delete(j)
}

// take takes the job out whose turn it is.
func (q *startQueue) take(j *job) {
	q.remove(j)
	if turns := q.levels[j.level]; turns != nil && !q.byWaitNext() {
		turns.now = max(turns.now, j.recordTurn)
	}
	q.handed++
}

// byWaitNext says whether the next turn is that of the job that has waited for longest of all.
func (q *startQueue) byWaitNext() bool { return q.handed%longestWaiting == longestWaiting-1 }

// next returns the job whose turn it is, or nil if there is none that may be written now. Jobs that
// wait for nothing any more are dropped. If jobs are listed in another order, that goes before the
// queue's own.
func (q *startQueue) next(now time.Duration, listed []*job) *job {
	jobs := q.byTurn
	if q.byWaitNext() {
		jobs = q.byWait
	}
	var next *job
	var idle []*job
	look := func(j *job) bool {
		switch {
		case j.over || j.finishing || len(j.granted) == 0:
			idle = append(idle, j)
		case !j.writing && now >= j.recordAfter:
			next = j
		}
		return next == nil
	}
	if listed == nil {
		jobs.Scan(look)
	}
	for _, j := range listed {
		if j.recordQueued && !look(j) {
			break
		}
	}
	for _, j := range idle {
		q.remove(j)
	}
	return next
}
