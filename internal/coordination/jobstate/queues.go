package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// Queues hold the jobs of which something is to be done, so that a cycle need not look at all jobs. The trees are in
// scheduling order. A nil *Queues holds nothing.
type Queues struct {
	Pending     *btree.BTreeG[*Job] // with tasks to place
	Blocked     *btree.BTreeG[*Job] // with tasks to place, waiting for dependencies
	Fetching    *btree.BTreeG[*Job] // placed lately, with tasks that may still be fetching their image
	Starts      *StartQueue         // with placements that wait for their record
	completions []*Job              // with pages to write; the one that has waited for longest is first
}

// NewQueues returns empty queues.
func NewQueues() *Queues {
	return &Queues{Pending: newTree(), Blocked: newTree(), Fetching: newTree(), Starts: NewStartQueue()}
}

func newTree() *btree.BTreeG[*Job] {
	return btree.NewBTreeGOptions(ScheduledBefore, btree.Options{NoLocks: true})
}

// ScheduledBefore is the scheduling order: by priority, then by latest start, so that jobs go first on which the
// deadline of a pipeline depends, then by age.
func ScheduledBefore(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.LatestStart, b.LatestStart),
		cmp.Compare(a.AcceptedMS, b.AcceptedMS),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	) < 0
}

// Add adds a job, which updates its place in the queues itself from then on.
func (q *Queues) Add(j *Job) {
	j.queues = q
	q.update(j)
}

// update moves a job to the tree of its state.
func (q *Queues) update(j *Job) {
	if q == nil {
		return
	}
	waits := j.PendingTasks() > 0 && !j.Ended
	setMember(q.Pending, j, waits && !j.Blocked)
	setMember(q.Blocked, j, waits && j.Blocked)
}

// setMember adds a job to a tree or removes it.
func setMember(tree *btree.BTreeG[*Job], j *Job, member bool) {
	if member {
		tree.Set(j)
	} else {
		tree.Delete(j)
	}
}

// reorder makes a change of what a job is ordered by.
func (q *Queues) reorder(j *Job, change func()) {
	if q == nil {
		change()
		return
	}
	_, fetching := q.Fetching.Get(j)
	q.Pending.Delete(j)
	q.Blocked.Delete(j)
	q.Fetching.Delete(j)
	startQueued := j.inStartQueue
	if startQueued {
		q.Starts.remove(j)
	}
	change()
	if startQueued {
		q.Starts.Add(j)
	}
	if fetching {
		q.Fetching.Set(j)
	}
	q.update(j)
}

// AddPlaced adds a job of which tasks were placed.
func (q *Queues) AddPlaced(j *Job) {
	if q == nil {
		return
	}
	q.Fetching.Set(j)
	if len(j.Unstarted) > 0 {
		q.Starts.Add(j)
	}
}

// addCompletion adds a job with pages to write, unless it is queued for that.
func (q *Queues) addCompletion(now time.Duration, j *Job) {
	if q == nil || j.completionQueued {
		return
	}
	j.completionQueued, j.completionQueuedAt = true, now
	q.completions = append(q.completions, j)
}

// NextCompletion removes and returns the job that has waited for longest to have its pages written, if it was queued
// no later than the given time; nil if there is none. Jobs that don't need such a write any more are dropped. Those
// with another write in flight are queued again by its outcome.
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

// Remove removes a job from the trees and the queue of starts. The queue of completions drops it in its turn.
func (q *Queues) Remove(j *Job) {
	q.Pending.Delete(j)
	q.Blocked.Delete(j)
	q.Starts.remove(j)
	q.Fetching.Delete(j)
}
