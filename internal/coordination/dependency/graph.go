// Package dependency keeps which jobs await which others: how many needs of each are open, what is freed
// or cancelled when a job ends, and the priority and latest start that flow back from the jobs that need
// it. It does no I/O and reads no clock. Each change costs the edges that it concerns, and nothing recurses.
package dependency

import (
	"math"
	"slices"
	"time"
)

// State is what is known of a job.
type State uint8

// States.
const (
	// Unknown is a job that others name and that is not known to live: how it ended has to be read.
	Unknown State = iota
	Live
	Done
	Cancelled
)

// Levels is the number of priorities; 0 is the highest.
const Levels = 4

// Never is the time of what no deadline concerns.
const Never = time.Duration(math.MaxInt64)

// Job is a job as it was accepted.
type Job struct {
	ID    string
	Needs []string // jobs that it awaits; each counts once
	Level int      // of its own priority
	// Due is its own deadline, or Never. Estimate is how long it is likely to run.
	Due, Estimate time.Duration
}

// Change is what follows from an addition or an end.
type Change struct {
	Freed     []string // jobs with no open needs any more
	Cancelled []string // jobs that are cancelled with one that they need
	Raised    []string // jobs whose priority or latest start has changed
	Unknown   []string // jobs that are named and of which it must be read how they ended
}

// sort puts what follows from a change into an order that does not depend on chance.
func (c *Change) sort() {
	for _, list := range [][]string{c.Freed, c.Cancelled, c.Raised, c.Unknown} {
		slices.Sort(list)
	}
}

// node is a job with its edges.
type node struct {
	id       string
	state    State
	needs    map[*node]bool // those that are open
	neededBy map[*node]bool // those that live
	own      Job
	chained  bool
	level    int           // the highest of its own and those of the jobs that need it
	byLevel  [Levels]int   // how many jobs that need it have each level
	dueBy    time.Duration // the earliest latest start of the jobs that need it
	start    time.Duration // the latest start by which all deadlines can be met
	cause    string        // the cancelled job because of which it is cancelled
}

// Graph is the jobs that live, and those that are named by some of these.
type Graph struct {
	nodes   map[string]*node
	unknown int
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// Len returns how many jobs the graph holds.
func (g *Graph) Len() int { return len(g.nodes) }

// State returns what is known of a job; one that the graph does not hold is Unknown.
func (g *Graph) State(id string) State {
	if n := g.nodes[id]; n != nil {
		return n.state
	}
	return Unknown
}

// Cause returns the cancelled job because of which a job is cancelled, or "".
func (g *Graph) Cause(id string) string {
	if n := g.nodes[id]; n != nil {
		return n.cause
	}
	return ""
}

// Open returns how many needs of a job are not done.
func (g *Graph) Open(id string) int {
	if n := g.nodes[id]; n != nil {
		return len(n.needs)
	}
	return 0
}

// Needed says whether jobs that live await the job.
func (g *Graph) Needed(id string) bool {
	n := g.nodes[id]
	return n != nil && len(n.neededBy) > 0
}

// Chained says whether a job awaits others or is or was awaited.
func (g *Graph) Chained(id string) bool {
	n := g.nodes[id]
	return n != nil && n.chained
}

// Level returns the priority that a job has by itself and by those that need it; ok is false for a job
// that does not live.
func (g *Graph) Level(id string) (level int, ok bool) {
	n := g.nodes[id]
	if n == nil || n.state != Live {
		return 0, false
	}
	return n.level, true
}

// LatestStart returns by when a job must start so that all deadlines can be met that depend on it, or Never.
func (g *Graph) LatestStart(id string) time.Duration {
	if n := g.nodes[id]; n != nil && n.state == Live {
		return n.start
	}
	return Never
}

// UnknownBefore lists up to so many jobs before a job, direct or not, of which it has to be read how they
// ended.
func (g *Graph) UnknownBefore(id string, most int) (ids []string) {
	n := g.nodes[id]
	if n == nil || g.unknown == 0 {
		return nil
	}
	seen := map[*node]bool{n: true}
	for stack := []*node{n}; len(stack) > 0 && len(ids) < most; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if at != n && at.state == Unknown {
			ids = append(ids, at.id)
		}
		for need := range at.needs {
			if !seen[need] {
				seen[need] = true
				stack = append(stack, need)
			}
		}
	}
	return ids
}

// Add enters a job that lives. One that is known already is left as it is.
func (g *Graph) Add(j Job) (c Change) {
	n := g.get(j.ID)
	if n.state != Unknown {
		return c
	}
	defer c.sort()
	g.setState(n, Live)
	n.own = j
	n.chained = n.chained || len(j.Needs) > 0
	for _, id := range j.Needs {
		if cause, cancelled := g.link(n, id, &c); cancelled {
			g.cancel(n, cause, &c)
			return c
		}
	}
	changed := []*node{n}
	for need := range n.needs {
		changed = append(changed, need)
	}
	g.flowBack(changed, &c)
	return c
}

// End takes in how a job has ended, and forgets it.
func (g *Graph) End(id string, state State) (c Change) {
	n := g.nodes[id]
	if n == nil {
		return c
	}
	defer c.sort()
	if state == Cancelled {
		g.cancel(n, id, &c)
	} else {
		for d := range n.neededBy {
			delete(d.needs, n)
			if len(d.needs) == 0 && d.state == Live {
				c.Freed = append(c.Freed, d.id)
			}
		}
		clear(n.neededBy)
	}
	g.forget(n, &c)
	return c
}

// EndUnknown takes in that a job has ended, and not how: jobs that need it wait until that is known.
func (g *Graph) EndUnknown(id string) (c Change) {
	n := g.nodes[id]
	if n == nil || n.state == Unknown {
		return c
	}
	defer c.sort()
	if len(n.neededBy) == 0 {
		g.forget(n, &c)
		return c
	}
	g.unlink(n, &c)
	g.setState(n, Unknown)
	c.Unknown = append(c.Unknown, id)
	return c
}

// Free takes in that all needs of a job are done, as somebody says who knows.
func (g *Graph) Free(id string) (c Change) {
	n := g.nodes[id]
	if n == nil || len(n.needs) == 0 || n.state != Live {
		return c
	}
	defer c.sort()
	g.unlink(n, &c)
	c.Freed = append(c.Freed, id)
	return c
}

// get returns the node of a job, making one that is unknown if need be.
func (g *Graph) get(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{id: id, needs: map[*node]bool{}, neededBy: map[*node]bool{}, level: Levels - 1, dueBy: Never, start: Never}
		n.own = Job{ID: id, Level: Levels - 1, Due: Never}
		g.nodes[id] = n
		g.unknown++
	}
	return n
}

// setState changes what is known of a job.
func (g *Graph) setState(n *node, state State) {
	if n.state == Unknown {
		g.unknown--
	}
	if state == Unknown {
		g.unknown++
	}
	n.state = state
}

// link enters that a job awaits another, unless that is cancelled: then it returns because of which job.
func (g *Graph) link(n *node, id string, c *Change) (cause string, cancelled bool) {
	known := g.nodes[id] != nil
	need := g.get(id)
	need.chained = true
	switch {
	case need.state == Cancelled:
		return need.cause, true
	case n.needs[need]:
		return "", false
	case !known:
		c.Unknown = append(c.Unknown, id)
	}
	n.needs[need] = true
	need.neededBy[n] = true
	need.byLevel[n.level]++
	need.dueBy = min(need.dueBy, n.start)
	return "", false
}

// unlink takes a job off those that it awaits.
func (g *Graph) unlink(n *node, c *Change) {
	var loosened []*node
	for need := range n.needs {
		delete(need.neededBy, n)
		need.byLevel[n.level]--
		loosened = append(loosened, need)
		if need.state == Unknown && len(need.neededBy) == 0 {
			g.forget(need, c) // nobody asks any more
		}
	}
	clear(n.needs)
	g.flowBack(loosened, c)
}

// forget takes a job out of the graph.
func (g *Graph) forget(n *node, c *Change) {
	if g.nodes[n.id] != n {
		return
	}
	if n.state == Unknown {
		g.unknown--
	}
	delete(g.nodes, n.id)
	g.unlink(n, c)
}

// cancel takes in that a job is cancelled, because of the one that is named, and with it all jobs that need
// it. Those stay in the graph until their own end is told.
func (g *Graph) cancel(n *node, cause string, c *Change) {
	if n.id != cause {
		c.Cancelled = append(c.Cancelled, n.id)
	}
	g.setState(n, Cancelled)
	n.cause = cause
	for queue := []*node{n}; len(queue) > 0; {
		at := queue[0]
		queue = queue[1:]
		for d := range at.neededBy {
			if d.state == Cancelled {
				continue
			}
			g.setState(d, Cancelled)
			d.cause = cause
			c.Cancelled = append(c.Cancelled, d.id)
			queue = append(queue, d)
		}
		clear(at.neededBy)
		g.unlink(at, c)
	}
}

// flowBack brings the priority and latest start of jobs to what they and the jobs that need them ask for,
// and so on back to the first.
func (g *Graph) flowBack(from []*node, c *Change) {
	for queue := from; len(queue) > 0; {
		n := queue[0]
		queue = queue[1:]
		level, start := n.wanted()
		if n.state == Cancelled || level == n.level && start == n.start {
			continue
		}
		for need := range n.needs {
			need.byLevel[n.level]--
			need.byLevel[level]++
			need.dueBy = min(need.dueBy, start)
			queue = append(queue, need)
		}
		n.level, n.start = level, start
		if n.state == Live {
			c.Raised = append(c.Raised, n.id)
		}
	}
}

// wanted returns the priority and latest start that a job should have. A latest start stays when the job
// that asked for it is gone: to be early harms nobody.
func (n *node) wanted() (level int, start time.Duration) {
	level = n.own.Level
	for l, count := range n.byLevel {
		if count > 0 {
			level = min(level, l)
		}
	}
	due := min(n.own.Due, n.dueBy)
	if due == Never {
		return level, Never
	}
	return level, due - n.own.Estimate
}
