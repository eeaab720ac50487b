// Package dependency maintains the graph of dependencies between jobs. For each job, it tracks the number of open
// dependencies, and the priority and latest start that follow from all its direct and indirect dependents. It
// determines which jobs are unblocked or cancelled when another job ends. It does no I/O and reads no clock.
//
// The cost of a change is proportional to the number of affected edges. Chains of dependencies are walked by
// iteration, not by recursion, so that long chains cannot overflow the stack.
package dependency

import (
	"math"
	"slices"
	"time"
)

// State is the known state of a job.
type State uint8

const (
	// UnknownOutcome is the state of a job that others depend on and that is not known to be live: its final state
	// has to be read from its record.
	UnknownOutcome State = iota
	// Live is the state of a job that was accepted and has not ended.
	Live
	// Done is the state of a job that has ended successfully.
	Done
	// Cancelled is the state of a job that was cancelled, either directly or because a dependency was cancelled.
	Cancelled
)

// Priorities is the number of priorities; 0 is the highest.
const Priorities = 4

// NoDeadline is the deadline and latest start of jobs that have none.
const NoDeadline = time.Duration(math.MaxInt64)

// Job is a job as it was accepted.
type Job struct {
	ID           string
	Dependencies []string // duplicates count once
	Priority     int      // the job's own priority, not considering dependents
	// Deadline is the job's own deadline, or NoDeadline.
	Deadline          time.Duration
	EstimatedDuration time.Duration
}

// Change lists the effects of an operation on jobs of the graph. Each list is sorted.
type Change struct {
	Unblocked       []string // jobs that have no open dependencies any more
	Cancelled       []string // jobs that are cancelled because a dependency is
	Reprioritised   []string // jobs whose priority or latest start has changed
	UnknownOutcomes []string // dependencies whose final state has to be read
}

// sort makes the lists independent of map iteration order.
func (c *Change) sort() {
	for _, list := range [][]string{c.Unblocked, c.Cancelled, c.Reprioritised, c.UnknownOutcomes} {
		slices.Sort(list)
	}
}

// node is a job with its edges.
type node struct {
	id                     string
	state                  State
	dependencies           map[*node]bool // open dependencies
	dependents             map[*node]bool // live dependents
	job                    Job
	inPipeline             bool            // has or had dependencies or dependents
	priority               int             // highest priority among the job and its dependents
	dependentsByPriority   [Priorities]int // number of dependents with each priority
	earliestDependentStart time.Duration   // earliest of the latest starts of the dependents
	latestStart            time.Duration   // latest start that meets all deadlines depending on the job
	cancelledBy            string          // the cancelled job that caused the cancellation
}

// Graph holds the live jobs and their dependencies. It is not safe for concurrent use.
type Graph struct {
	nodes           map[string]*node
	unknownOutcomes int
}

// New returns an empty graph.
func New() *Graph { return &Graph{nodes: map[string]*node{}} }

// Len returns the number of jobs in the graph.
func (g *Graph) Len() int { return len(g.nodes) }

// State returns the state of a job. The outcome of a job that is not in the graph is unknown.
func (g *Graph) State(id string) State {
	if n := g.nodes[id]; n != nil {
		return n.state
	}
	return UnknownOutcome
}

// CancelledBy returns the cancelled job that caused the cancellation of a job, or "" if the job is not cancelled.
func (g *Graph) CancelledBy(id string) string {
	if n := g.nodes[id]; n != nil {
		return n.cancelledBy
	}
	return ""
}

// OpenDependencies returns the number of dependencies of a job that are not done.
func (g *Graph) OpenDependencies(id string) int {
	if n := g.nodes[id]; n != nil {
		return len(n.dependencies)
	}
	return 0
}

// HasDependents reports whether live jobs depend on the job.
func (g *Graph) HasDependents(id string) bool {
	n := g.nodes[id]
	return n != nil && len(n.dependents) > 0
}

// InPipeline reports whether a job has or has had dependencies or dependents.
func (g *Graph) InPipeline(id string) bool {
	n := g.nodes[id]
	return n != nil && n.inPipeline
}

// Priority returns the highest priority among a job and all its direct and indirect dependents. It returns false if
// the job is not live.
func (g *Graph) Priority(id string) (priority int, ok bool) {
	n := g.nodes[id]
	if n == nil || n.state != Live {
		return 0, false
	}
	return n.priority, true
}

// LatestStart returns the time by which a job must start so that all deadlines that depend on it can be met, or
// NoDeadline.
func (g *Graph) LatestStart(id string) time.Duration {
	if n := g.nodes[id]; n != nil && n.state == Live {
		return n.latestStart
	}
	return NoDeadline
}

// UnresolvedDependencies returns up to limit direct and indirect dependencies of a job whose final state has to be
// read.
func (g *Graph) UnresolvedDependencies(id string, limit int) (ids []string) {
	n := g.nodes[id]
	if n == nil || g.unknownOutcomes == 0 {
		return nil
	}
	seen := map[*node]bool{n: true}
	for stack := []*node{n}; len(stack) > 0 && len(ids) < limit; {
		cur := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if cur != n && cur.state == UnknownOutcome {
			ids = append(ids, cur.id)
		}
		for dep := range cur.dependencies {
			if !seen[dep] {
				seen[dep] = true
				stack = append(stack, dep)
			}
		}
	}
	return ids
}

// Add adds a live job with its dependencies. It does nothing if the job is already known to be live or to have ended.
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
	for dep := range n.dependencies {
		changed = append(changed, dep)
	}
	g.propagateUrgency(changed, &c)
	return c
}

// End removes a job that has ended as Done or Cancelled, and unblocks or cancels its dependents.
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

// EndWithUnknownOutcome records that a job has ended with a final state that is not known yet. Its dependents stay
// blocked until End is called for the job.
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

// Unblock removes all dependencies of a job. The caller must know from another source that all of them are done.
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

// getOrCreate returns the node of a job. The outcome of a new node is unknown.
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

// setState changes the state of a node and updates the count of unknown outcomes.
func (g *Graph) setState(n *node, state State) {
	if n.state == UnknownOutcome {
		g.unknownOutcomes--
	}
	if state == UnknownOutcome {
		g.unknownOutcomes++
	}
	n.state = state
}

// link adds a dependency to a job. If the dependency is cancelled, link returns the cause of that cancellation
// instead.
func (g *Graph) link(n *node, id string, c *Change) (cause string, cancelled bool) {
	known := g.nodes[id] != nil
	dep := g.getOrCreate(id)
	dep.inPipeline = true
	switch {
	case dep.state == Cancelled:
		return dep.cancelledBy, true
	case n.dependencies[dep]:
		return "", false
	case !known:
		c.UnknownOutcomes = append(c.UnknownOutcomes, id)
	}
	n.dependencies[dep] = true
	dep.dependents[n] = true
	dep.dependentsByPriority[n.priority]++
	dep.earliestDependentStart = min(dep.earliestDependentStart, n.latestStart)
	return "", false
}

// unlink removes all dependencies of a job.
func (g *Graph) unlink(n *node, c *Change) {
	var formerDependencies []*node
	for dep := range n.dependencies {
		delete(dep.dependents, n)
		dep.dependentsByPriority[n.priority]--
		formerDependencies = append(formerDependencies, dep)
		if dep.state == UnknownOutcome && len(dep.dependents) == 0 {
			g.remove(dep, c) // its final state is not needed any more
		}
	}
	clear(n.dependencies)
	g.propagateUrgency(formerDependencies, c)
}

// remove removes a job from the graph.
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

// cancel cancels a job and all its direct and indirect dependents. cause is the job that caused the cancellation,
// which may be the job itself. The dependents stay in the graph until their own ends are reported.
func (g *Graph) cancel(n *node, cause string, c *Change) {
	if n.id != cause {
		c.Cancelled = append(c.Cancelled, n.id)
	}
	g.setState(n, Cancelled)
	n.cancelledBy = cause
	for queue := []*node{n}; len(queue) > 0; {
		cur := queue[0]
		queue = queue[1:]
		for d := range cur.dependents {
			if d.state == Cancelled {
				continue
			}
			g.setState(d, Cancelled)
			d.cancelledBy = cause
			c.Cancelled = append(c.Cancelled, d.id)
			queue = append(queue, d)
		}
		clear(cur.dependents)
		g.unlink(cur, c)
	}
}

// propagateUrgency updates the priority and latest start of jobs, and of all direct and indirect dependencies that
// are affected by the changes.
func (g *Graph) propagateUrgency(from []*node, c *Change) {
	for queue := from; len(queue) > 0; {
		n := queue[0]
		queue = queue[1:]
		priority, start := n.derivedUrgency()
		if n.state == Cancelled || priority == n.priority && start == n.latestStart {
			continue
		}
		for dep := range n.dependencies {
			dep.dependentsByPriority[n.priority]--
			dep.dependentsByPriority[priority]++
			dep.earliestDependentStart = min(dep.earliestDependentStart, start)
			queue = append(queue, dep)
		}
		n.priority, n.latestStart = priority, start
		if n.state == Live {
			c.Reprioritised = append(c.Reprioritised, n.id)
		}
	}
}

// derivedUrgency returns the priority and latest start that follow from a job and its dependents. The latest start is
// not reset when the dependent that caused it is gone, because an earlier start does no harm.
func (n *node) derivedUrgency() (priority int, start time.Duration) {
	priority = n.job.Priority
	for dependentPriority, count := range n.dependentsByPriority {
		if count > 0 {
			priority = min(priority, dependentPriority)
		}
	}
	due := min(n.job.Deadline, n.earliestDependentStart)
	if due == NoDeadline {
		return priority, NoDeadline
	}
	return priority, due - n.job.EstimatedDuration
}
