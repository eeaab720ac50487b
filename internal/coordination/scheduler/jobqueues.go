package scheduler

import (
	"cmp"
	"time"

	"github.com/tidwall/btree"
)

// jobQueues are the jobs of which something is to be done, so that a cycle need not walk all
// jobs. The trees are in the order of the jobs' turns.
type jobQueues struct {
	pendingJobs  *btree.BTreeG[*Job] // with tasks to place
	blockedJobs  *btree.BTreeG[*Job] // that await others
	starts       *startQueue         // with placements that wait for their record
	fetchingJobs *btree.BTreeG[*Job] // placed lately, with tasks that may still fetch their image
	endedJobs    []*Job              // with pages to write, the longest waiting first
}

func newJobQueues() *jobQueues {
	tree := func() *btree.BTreeG[*Job] {
		return btree.NewBTreeGOptions(scheduledBefore, btree.Options{NoLocks: true})
	}
	return &jobQueues{pendingJobs: tree(), blockedJobs: tree(), starts: newStartQueue(), fetchingJobs: tree()}
}

// scheduledBefore orders jobs by priority; among equals those come first of which a pipeline's deadline depends,
// by when they must start, and the others by age.
func scheduledBefore(a, b *Job) bool {
	return cmp.Or(
		cmp.Compare(a.EffectivePriority, b.EffectivePriority),
		cmp.Compare(a.LatestStart, b.LatestStart),
		cmp.Compare(a.AcceptedMS, b.AcceptedMS),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	) < 0
}

// update enters a job that has tasks to place, or takes it out. Queues that are nil hold nothing.
func (q *jobQueues) update(j *Job) {
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
	enter(q.pendingJobs, waits && !j.Blocked)
	enter(q.blockedJobs, waits && j.Blocked)
}

// reorder changes by what a job is ordered.
func (q *jobQueues) reorder(j *Job, change func()) {
	fetching := false
	if q != nil {
		_, fetching = q.fetchingJobs.Get(j)
		q.pendingJobs.Delete(j)
		q.blockedJobs.Delete(j)
		q.fetchingJobs.Delete(j)
	}
	queued := j.InStartQueue
	if queued {
		q.starts.remove(j)
	}
	change()
	if queued {
		q.starts.add(j)
	}
	if fetching {
		q.fetchingJobs.Set(j)
	}
	j.Queues.update(j)
}

// addPlaced enters a job of which tasks were placed.
func (q *jobQueues) addPlaced(j *Job) {
	if q == nil {
		return
	}
	q.fetchingJobs.Set(j)
	if len(j.Unstarted) > 0 {
		q.starts.add(j)
	}
}

// addEnded enters a job that has pages to write, unless it is queued for that.
func (q *jobQueues) addEnded(now time.Duration, j *Job) {
	if q == nil || j.CompletionQueued {
		return
	}
	j.CompletionQueued, j.CompletionQueuedAt = true, now
	q.endedJobs = append(q.endedJobs, j)
}

// nextEnded takes the job off the queue that has waited for longest to have its pages written,
// if it was queued before the given time; nil if there is none. Jobs that need no such write any
// more are dropped, and those with another write under way come back with its outcome.
func (q *jobQueues) nextEnded(before time.Duration) *Job {
	for len(q.endedJobs) > 0 && q.endedJobs[0].CompletionQueuedAt <= before {
		j := q.endedJobs[0]
		q.endedJobs[0] = nil
		q.endedJobs = q.endedJobs[1:]
		j.CompletionQueued = false
		if !j.Ended && !j.Ending && !j.WriteInFlight && len(j.Unstarted) == 0 && len(j.Pages.Dirty()) > 0 {
			return j
		}
	}
	return nil
}

// remove takes a job out of the trees; the queue drops it in its turn.
func (q *jobQueues) remove(j *Job) {
	q.pendingJobs.Delete(j)
	q.blockedJobs.Delete(j)
	q.starts.remove(j)
	q.fetchingJobs.Delete(j)
}

// inSchedulingOrder lists the jobs of a tree in the order of their turns.
func (c *Scheduler) inSchedulingOrder(tree *btree.BTreeG[*Job]) []*Job {
	jobs := tree.Items()
	c.sortForRecovery(jobs)
	return jobs
}

// enqueue enters a job by its state, from when on its queues follow that.
func (c *Scheduler) enqueue(j *Job) {
	j.Queues = c.queues
	j.Queues.update(j)
}
