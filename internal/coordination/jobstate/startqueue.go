package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"

	"pinebay/internal/protocol"
)

// StartQueue holds the jobs with placements that wait to be recorded. Jobs are dequeued by priority. Within a priority
// the teams are served round-robin, and the jobs of a team in the order in which they were added. Every fourth time the
// job that has been in the queue longest is dequeued instead, so that no job starves: of n jobs in the queue, each is
// dequeued after at most 4n others, regardless of their priorities. A gang that takes several writes keeps its age, so
// that every fourth turn is its own once it is the oldest.
type StartQueue struct {
	byRound          *btree.BTreeG[*Job]
	byAge            *btree.BTreeG[*Job]
	roundsByPriority map[int]*teamRounds
	enqueuedCount    uint64 // number of jobs added so far
	dequeuedCount    uint64 // number of jobs dequeued so far
}

// oldestFirstInterval is the interval, in dequeued jobs, at which the job that has been in the queue longest is
// dequeued.
const oldestFirstInterval = 4

// teamRounds assigns round-robin rounds to the jobs of a priority. The next job of a team is assigned the round after
// that of its last job, or the round after the current one if that is later.
type teamRounds struct {
	currentRound    uint64
	lastRoundByTeam map[string]uint64
}

// NewStartQueue returns an empty queue.
func NewStartQueue() *StartQueue {
	return &StartQueue{
		byRound:          btree.NewBTreeGOptions(lessByRound, btree.Options{NoLocks: true}),
		byAge:            btree.NewBTreeGOptions(lessByAge, btree.Options{NoLocks: true}),
		roundsByPriority: map[int]*teamRounds{},
	}
}

func lessByRound(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.startRound, b.startRound),
		cmp.Compare(a.startSequence, b.startSequence),
	) < 0
}

func lessByAge(a, b *Job) bool {
	return a.startSequence < b.startSequence
}

// Jobs returns the jobs ordered by priority and round.
func (q *StartQueue) Jobs() []*Job { return q.byRound.Items() }

// Add adds a job with new placements to be recorded, unless the queue contains it already.
func (q *StartQueue) Add(j *Job) {
	if q == nil || j.inStartQueue {
		return
	}
	q.enqueuedCount++
	j.startSequence = q.enqueuedCount
	q.assignRound(j)
	q.Requeue(j)
}

// AddRemaining adds a job again after a write has recorded only some of its placements. None of the tasks of a gang may
// start until all are recorded, so a gang keeps its age: otherwise it would wait for the whole queue before each write.
func (q *StartQueue) AddRemaining(j *Job) {
	if j.Spec.Shape != protocol.Gang {
		q.Add(j)
		return
	}
	if j.inStartQueue {
		return
	}
	q.assignRound(j)
	q.Requeue(j)
}

// assignRound assigns the next round of its team to a job.
func (q *StartQueue) assignRound(j *Job) {
	rounds := q.roundsByPriority[j.EffectivePriority]
	if rounds == nil {
		rounds = &teamRounds{lastRoundByTeam: map[string]uint64{}}
		q.roundsByPriority[j.EffectivePriority] = rounds
	}
	j.startRound = max(rounds.currentRound, rounds.lastRoundByTeam[j.Spec.Team]) + 1
	rounds.lastRoundByTeam[j.Spec.Team] = j.startRound
}

// Requeue adds a job again in its previous round, if it still has placements to be recorded.
func (q *StartQueue) Requeue(j *Job) {
	if j.inStartQueue || len(j.Unstarted) == 0 {
		return
	}
	j.inStartQueue = true
	q.byRound.Set(j)
	q.byAge.Set(j)
}

// remove removes a job without counting it as dequeued.
func (q *StartQueue) remove(j *Job) {
	if !j.inStartQueue {
		return
	}
	j.inStartQueue = false
	q.byRound.Delete(j)
	q.byAge.Delete(j)
}

// Dequeue removes a job that Next has returned, and counts it as dequeued.
func (q *StartQueue) Dequeue(j *Job) {
	q.remove(j)
	if rounds := q.roundsByPriority[j.EffectivePriority]; rounds != nil && !q.oldestIsNext() {
		rounds.currentRound = max(rounds.currentRound, j.startRound)
	}
	q.dequeuedCount++
}

// oldestIsNext reports whether the next job to dequeue is the one that has been in the queue longest.
func (q *StartQueue) oldestIsNext() bool {
	return q.dequeuedCount%oldestFirstInterval == oldestFirstInterval-1
}

// Next returns the next job to dequeue, or nil if no job can be written at present. It removes jobs that no longer wait
// to be recorded. If order is not nil, it replaces the order of the queue.
func (q *StartQueue) Next(now time.Duration, order []*Job) *Job {
	jobs := q.byRound
	if q.oldestIsNext() {
		jobs = q.byAge
	}
	var next *Job
	var stale []*Job
	examine := func(j *Job) (more bool) {
		switch {
		case j.Ended || j.Ending || len(j.Unstarted) == 0:
			stale = append(stale, j)
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
	for _, j := range stale {
		q.remove(j)
	}
	return next
}
