package scheduler

import (
	"github.com/tidwall/btree"

	"pinebay/internal/coordination/jobstate"
)

// inSchedulingOrder lists the jobs of a tree in the order of their turns.
func (c *Scheduler) inSchedulingOrder(tree *btree.BTreeG[*jobstate.Job]) []*jobstate.Job {
	jobs := tree.Items()
	c.sortForRecovery(jobs)
	return jobs
}
