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
	// UnknownOutcome is a job that others name and that is not known to live: how it ended has to be read.
	UnknownOutcome State = iota
	Live
	Done
	Cancelled
)

// Priorities is the number of priorities; 0 is the highest.
const Priorities = 4

// NoDeadline is the time of what no deadline concerns.
const NoDeadline = time.Duration(math.MaxInt64)

// Job is a job as it was accepted.
type Job struct {
	ID           string
	Dependencies []string // jobs that it awaits; each counts once
	Priority     int      // of its own priority
	// Deadline is its own deadline, or Never. Estimate is how long it is likely to run.
	Deadline, EstimatedDuration time.Duration
}

// Change is what follows from an addition or an end.
type Change struct {
	Unblocked       []string // jobs with no open needs any more
	Cancelled       []string // jobs that are cancelled with one that they need
	Reprioritised   []string // jobs whose priority or latest start has changed
	UnknownOutcomes []string // jobs that are named and of which it must be read how they ended
}

// sort puts what follows from a change into an order that does not depend on chance.
func (c *Change) sort() {
	for _, list := range [][]string{c.Unblocked, c.Cancelled, c.Reprioritised, c.UnknownOutcomes} {
		slices.Sort(list)
	}
}

// node is a job with its edges.
type node struct {
	id                     string
	state                  State
	dependencies           map[*node]bool // those that are open
	dependents             map[*node]bool // those that live
	job                    Job
	inPipeline             bool
	priority               int             // the highest of its own and those of the jobs that need it
	dependentsByPriority   [Priorities]int // how many jobs that need it have each level
	earliestDependentStart time.Duration   // the earliest latest start of the jobs that need it
	latestStart            time.Duration   // the latest start by which all deadlines can be met
	cancelledBy            string          // the cancelled job because of which it is cancelled
}

// Graph is the jobs that live, and those that are named by some of these.
type Graph struct {
	nodes           map[string]*node
	unknownOutcomes int
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
	return UnknownOutcome
}

// CancelledBy returns the cancelled job because of which a job is cancelled, or "".
func (g *Graph) CancelledBy(id string) string {
	if n := g.nodes[id]; n != nil {
		return n.cancelledBy
	}
	return ""
}

// OpenDependencies returns how many needs of a job are not done.
func (g *Graph) OpenDependencies(id string) int {
	if n := g.nodes[id]; n != nil {
		return len(n.dependencies)
	}
	return 0
}

// HasDependents says whether jobs that live await the job.
func (g *Graph) HasDependents(id string) bool {
	n := g.nodes[id]
	return n != nil && len(n.dependents) > 0
}

// InPipeline says whether a job awaits others or is or was awaited.
func (g *Graph) InPipeline(id string) bool {
	n := g.nodes[id]
	return n != nil && n.inPipeline
}

// Priority returns the priority that a job has by itself and by those that need it; ok is false for a job
// that does not live.
func (g *Graph) Priority(id string) (level int, ok bool) {
	n := g.nodes[id]
	if n == nil || n.state != Live {
		return 0, false
	}
	return n.priority, true
}

// LatestStart returns by when a job must start so that all deadlines can be met that depend on it, or Never.
func (g *Graph) LatestStart(id string) time.Duration {
	if n := g.nodes[id]; n != nil && n.state == Live {
		return n.latestStart
	}
	return NoDeadline
}

// UnknownOutcomesBefore lists up to so many jobs before a job, direct or not, of which it has to be read how they
// ended.
func (g *Graph) UnknownOutcomesBefore(id string, most int) (ids []string) {
	n := g.nodes[id]
	if n == nil || g.unknownOutcomes == 0 {
		return nil
	}
	seen := map[*node]bool{n: true}
	for stack := []*node{n}; len(stack) > 0 && len(ids) < most; {
		at := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if at != n && at.state == UnknownOutcome {
			ids = append(ids, at.id)
		}
		for need := range at.dependencies {
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
	n := g.getOrCreate(j.ID)
	if n.state != UnknownOutcome {
		return c
	}
	defer c.sort()
	g.setState(n, Live)
	n.job = j
	n.inPipeline = n.inPipeline || len(j.Dependencies) > 0
	for _, id := range j.Dependencies {
		if cause, cancelled := g.link(n, id, &c); cancelled {
			g.cancel(n, cause, &c)
			return c
		}
	}
	changed := []*node{n}
	for need := range n.dependencies {
		changed = append(changed, need)
	}
	g.propagateUrgency(changed, &c)
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
		for d := range n.dependents {
			delete(d.dependencies, n)
			if len(d.dependencies) == 0 && d.state == Live {
				c.Unblocked = append(c.Unblocked, d.id)
			}
		}
		clear(n.dependents)
	}
	g.remove(n, &c)
	return c
}

// EndWithUnknownOutcome takes in that a job has ended, and not how: jobs that need it wait until that is known.
func (g *Graph) EndWithUnknownOutcome(id string) (c Change) {
	n := g.nodes[id]
	if n == nil || n.state == UnknownOutcome {
		return c
	}
	defer c.sort()
	if len(n.dependents) == 0 {
		g.remove(n, &c)
		return c
	}
	g.unlink(n, &c)
	g.setState(n, UnknownOutcome)
	c.UnknownOutcomes = append(c.UnknownOutcomes, id)
	return c
}

// Unblock takes in that all needs of a job are done, as somebody says who knows.
func (g *Graph) Unblock(id string) (c Change) {
	n := g.nodes[id]
	if n == nil || len(n.dependencies) == 0 || n.state != Live {
		return c
	}
	defer c.sort()
	g.unlink(n, &c)
	c.Unblocked = append(c.Unblocked, id)
	return c
}

// getOrCreate returns the node of a job, making one that is unknown if need be.
func (g *Graph) getOrCreate(id string) *node {
	n := g.nodes[id]
	if n == nil {
		n = &node{
			id:                     id,
			dependencies:           map[*node]bool{},
			dependents:             map[*node]bool{},
			priority:               Priorities - 1,
			earliestDependentStart: NoDeadline,
			latestStart:            NoDeadline,
		}
		n.job = Job{ID: id, Priority: Priorities - 1, Deadline: NoDeadline}
		g.nodes[id] = n
		g.unknownOutcomes++
	}
	return n
}

// setState changes what is known of a job.
func (g *Graph) setState(n *node, state State) {
	if n.state == UnknownOutcome {
		g.unknownOutcomes--
	}
	if state == UnknownOutcome {
		g.unknownOutcomes++
	}
	n.state = state
}

// link enters that a job awaits another, unless that is cancelled: then it returns because of which job.
func (g *Graph) link(n *node, id string, c *Change) (cause string, cancelled bool) {
	known := g.nodes[id] != nil
	need := g.getOrCreate(id)
	need.inPipeline = true
	switch {
	case need.state == Cancelled:
		return need.cancelledBy, true
	case n.dependencies[need]:
		return "", false
	case !known:
		c.UnknownOutcomes = append(c.UnknownOutcomes, id)
	}
	n.dependencies[need] = true
	need.dependents[n] = true
	need.dependentsByPriority[n.priority]++
	need.earliestDependentStart = min(need.earliestDependentStart, n.latestStart)
	return "", false
}

// unlink takes a job off those that it awaits.
func (g *Graph) unlink(n *node, c *Change) {
	var loosened []*node
	for need := range n.dependencies {
		delete(need.dependents, n)
		need.dependentsByPriority[n.priority]--
		loosened = append(loosened, need)
		if need.state == UnknownOutcome && len(need.dependents) == 0 {
			g.remove(need, c) // nobody asks any more
		}
	}
	clear(n.dependencies)
	g.propagateUrgency(loosened, c)
}

// remove takes a job out of the graph.
func (g *Graph) remove(n *node, c *Change) {
	if g.nodes[n.id] != n {
		return
	}
	if n.state == UnknownOutcome {
		g.unknownOutcomes--
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
	n.cancelledBy = cause
	for queue := []*node{n}; len(queue) > 0; {
		at := queue[0]
		queue = queue[1:]
		for d := range at.dependents {
			if d.state == Cancelled {
				continue
			}
			g.setState(d, Cancelled)
			d.cancelledBy = cause
			c.Cancelled = append(c.Cancelled, d.id)
			queue = append(queue, d)
		}
		clear(at.dependents)
		g.unlink(at, c)
	}
}

// propagateUrgency brings the priority and latest start of jobs to what they and the jobs that need them ask for,
// and so on back to the first.
func (g *Graph) propagateUrgency(from []*node, c *Change) {
	for queue := from; len(queue) > 0; {
		n := queue[0]
		queue = queue[1:]
		level, start := n.derivedUrgency()
		if n.state == Cancelled || level == n.priority && start == n.latestStart {
			continue
		}
		for need := range n.dependencies {
			need.dependentsByPriority[n.priority]--
			need.dependentsByPriority[level]++
			need.earliestDependentStart = min(need.earliestDependentStart, start)
			queue = append(queue, need)
		}
		n.priority, n.latestStart = level, start
		if n.state == Live {
			c.Reprioritised = append(c.Reprioritised, n.id)
		}
	}
}

// derivedUrgency returns the priority and latest start that a job should have. A latest start stays when the job
// that asked for it is gone: to be early harms nobody.
func (n *node) derivedUrgency() (level int, start time.Duration) {
	level = n.job.Priority
	for l, count := range n.dependentsByPriority {
		if count > 0 {
			level = min(level, l)
		}
	}
	due := min(n.job.Deadline, n.earliestDependentStart)
	if due == NoDeadline {
		return level, NoDeadline
	}
	return level, due - n.job.EstimatedDuration
}
