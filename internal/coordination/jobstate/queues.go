package jobstate

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// Queues holds the jobs that need some action, so that a scheduling cycle does not have to examine all jobs. The trees
// are in scheduling order. A nil *Queues is empty.
type Queues struct {
	Pending     *btree.BTreeG[*Job] // with pending tasks, not blocked
	Blocked     *btree.BTreeG[*Job] // with pending tasks, waiting for dependencies
	Fetching    *btree.BTreeG[*Job] // recently placed, with tasks that may still be fetching their image
	Starts      *StartQueue         // with placements that wait to be recorded
	completions []*Job              // with dirty pages, in the order in which they were queued
}

// NewQueues returns empty queues.
func NewQueues() *Queues {
	return &Queues{Pending: newTree(), Blocked: newTree(), Fetching: newTree(), Starts: NewStartQueue()}
}

func newTree() *btree.BTreeG[*Job] {
	return btree.NewBTreeGOptions(ScheduledBefore, btree.Options{NoLocks: true})
}

// ScheduledBefore reports whether a precedes b in scheduling order: by priority, then by latest start, so that jobs on
// which the deadline of a pipeline depends go first, then by age.
func ScheduledBefore(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.LatestStart, b.LatestStart),
		cmp.Compare(a.AcceptedMS, b.AcceptedMS),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	) < 0
}

// Add adds a job. From then on the job updates its position in the queues itself.
func (q *Queues) Add(j *Job) {
	j.queues = q
	q.update(j)
}

// update moves a job to the tree that corresponds to its state.
func (q *Queues) update(j *Job) {
	if q == nil {
		return
	}
	waiting := j.PendingTasks() > 0 && !j.Ended
	setMember(q.Pending, j, waiting && !j.Blocked)
	setMember(q.Blocked, j, waiting && j.Blocked)
}

// setMember adds a job to a tree or removes it.
func setMember(tree *btree.BTreeG[*Job], j *Job, member bool) {
	if member {
		tree.Set(j)
	} else {
		tree.Delete(j)
	}
}

// reorder calls change, which modifies the fields by which a job is ordered, and moves the job within its queues.
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

// AddPlaced adds a job that has new placements.
func (q *Queues) AddPlaced(j *Job) {
	if q == nil {
		return
	}
	q.Fetching.Set(j)
	if len(j.Unstarted) > 0 {
		q.Starts.Add(j)
	}
}

// addCompletion adds a job with dirty pages to the queue of completions, unless it is queued already.
func (q *Queues) addCompletion(now time.Duration, j *Job) {
	if q == nil || j.completionQueued {
		return
	}
	j.completionQueued, j.completionQueuedAt = true, now
	q.completions = append(q.completions, j)
}

// NextCompletion removes and returns the first job in the queue of completions, or nil if none was queued at or before
// the given time. It drops jobs that need no write of completions any more. A job with another write in flight is
// dropped, too, and is queued again after that write.
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

// Remove removes a job from the trees and the start queue. NextCompletion drops it from the queue of completions later.
func (q *Queues) Remove(j *Job) {
	q.Pending.Delete(j)
	q.Blocked.Delete(j)
	q.Starts.remove(j)
	q.Fetching.Delete(j)
}
