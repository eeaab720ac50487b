package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// Queues are the jobs of which something is to be done, so that a cycle need not walk all
// jobs. The trees are in the order of the jobs' turns.
type Queues struct {
	Pending     *btree.BTreeG[*Job] // with tasks to place
	Blocked     *btree.BTreeG[*Job] // that await others
	Starts      *StartQueue         // with placements that wait for their record
	Fetching    *btree.BTreeG[*Job] // placed lately, with tasks that may still fetch their image
	completions []*Job              // with pages to write, the longest waiting first
}

func NewQueues() *Queues {
	tree := func() *btree.BTreeG[*Job] {
		return btree.NewBTreeGOptions(ScheduledBefore, btree.Options{NoLocks: true})
	}
	return &Queues{Pending: tree(), Blocked: tree(), Starts: NewStartQueue(), Fetching: tree()}
}

// ScheduledBefore orders jobs by priority; among equals those come first of which a pipeline's deadline depends,
// by when they must start, and the others by age.
func ScheduledBefore(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.LatestStart, b.LatestStart),
		cmp.Compare(a.AcceptedMS, b.AcceptedMS),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	) < 0
}

// Update enters a job that has tasks to place, or takes it out. Queues that are nil hold nothing.
func (q *Queues) Update(j *Job) {
	if q == nil {
		return
	}
	enter := func(tree *btree.BTreeG[*Job], in bool) {
		if in {
			tree.Set(j)
		} else {
			tree.Delete(j)
		}
	}
	waits := j.TaskCounts[TaskPending] > 0 && !j.Ended
	enter(q.Pending, waits && !j.Blocked)
	enter(q.Blocked, waits && j.Blocked)
}

// Reorder changes by what a job is ordered.
func (q *Queues) Reorder(j *Job, change func()) {
	fetching := false
	if q != nil {
		_, fetching = q.Fetching.Get(j)
		q.Pending.Delete(j)
		q.Blocked.Delete(j)
		q.Fetching.Delete(j)
	}
	queued := j.inStartQueue
	if queued {
		q.Starts.remove(j)
	}
	change()
	if queued {
		q.Starts.Add(j)
	}
	if fetching {
		q.Fetching.Set(j)
	}
	j.Queues.Update(j)
}

// AddPlaced enters a job of which tasks were placed.
func (q *Queues) AddPlaced(j *Job) {
	if q == nil {
		return
	}
	q.Fetching.Set(j)
	if len(j.Unstarted) > 0 {
		q.Starts.Add(j)
	}
}

// AddCompletion enters a job that has pages to write, unless it is queued for that.
func (q *Queues) AddCompletion(now time.Duration, j *Job) {
	if q == nil || j.completionQueued {
		return
	}
	j.completionQueued, j.completionQueuedAt = true, now
	q.completions = append(q.completions, j)
}

// NextCompletion takes the job off the queue that has waited for longest to have its pages written,
// if it was queued before the given time; nil if there is none. Jobs that need no such write any
// more are dropped, and those with another write under way come back with its outcome.
func (q *Queues) NextCompletion(before time.Duration) *Job {
	for len(q.completions) > 0 && q.completions[0].completionQueuedAt <= before {
		j := q.completions[0]
		q.completions[0] = nil
		q.completions = q.completions[1:]
		j.completionQueued = false
		if !j.Ended && !j.Ending && !j.WriteInFlight && len(j.Unstarted) == 0 && len(j.Pages.Dirty()) > 0 {
			return j
		}
	}
	return nil
}

// Remove takes a job out of the trees; the queue drops it in its turn.
func (q *Queues) Remove(j *Job) {
	q.Pending.Delete(j)
	q.Blocked.Delete(j)
	q.Starts.remove(j)
	q.Fetching.Delete(j)
}
