package scheduler

import (
	"cmp"

	"github.com/tidwall/btree"
)

// jobQueues are the jobs of which something is to be done, in the order of their turns, so
// that a cycle need not walk all jobs.
type jobQueues struct {
	pendingJobs  *btree.BTreeG[*job] // with tasks to place
	dirtyJobs    *btree.BTreeG[*job] // with pages to write
	fetchingJobs *btree.BTreeG[*job] // placed lately, with tasks that may still fetch their image
}

func newJobQueues() *jobQueues {
	tree := func() *btree.BTreeG[*job] { return btree.NewBTreeGOptions(goesBefore, btree.Options{NoLocks: true}) }
	return &jobQueues{pendingJobs: tree(), dirtyJobs: tree(), fetchingJobs: tree()}
}

// goesBefore orders jobs by priority, then age.
func goesBefore(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.atMS, b.atMS), cmp.Compare(a.spec.ID, b.spec.ID)) < 0
}

// update enters a job that has tasks to place, or takes it out. Queues that are nil hold nothing.
func (q *jobQueues) update(j *job) {
	if q == nil {
		return
	}
	if j.counts[pending] > 0 && !j.over {
		q.pendingJobs.Set(j)
	} else {
		q.pendingJobs.Delete(j)
	}
}

// addDirty enters a job that has pages to write.
func (q *jobQueues) addDirty(j *job) {
	if q != nil {
		q.dirtyJobs.Set(j)
	}
}

// addFetching enters a job of which tasks were placed.
func (q *jobQueues) addFetching(j *job) {
	if q != nil {
		q.fetchingJobs.Set(j)
	}
}

// remove takes a job out of all queues.
func (q *jobQueues) remove(j *job) {
	if q == nil {
		return
	}
	q.pendingJobs.Delete(j)
	q.dirtyJobs.Delete(j)
	q.fetchingJobs.Delete(j)
}

// enqueue enters a job by its state, from when on its queues follow that.
func (c *Core) enqueue(j *job) {
	j.queues = c.queues
	j.queues.update(j)
	if len(j.dirtyPages()) > 0 {
		j.queues.addDirty(j)
	}
	if len(j.places) > 0 {
		j.queues.addFetching(j)
	}
}
