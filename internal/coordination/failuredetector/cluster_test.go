package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testTickInterval = 500 * time.Millisecond

var testTiming = Timing{TickInterval: testTickInterval, SuspicionTimeout: 2 * time.Second, OpinionTTL: 2 * time.Second}

// link is a connection between two controllers in one direction.
type link struct{ from, to string }

// decided is a decision, and which process of which controller made it.
type decided struct {
	Decision
	by      string
	process uint64
}

// cluster is a group of controllers that advance one tick interval at a time. Heartbeats and probes
// arrive at once, unless a fault prevents that.
type cluster struct {
	now        time.Duration
	names      []string
	detectors  map[string]*Detector
	processes  map[string]uint64 // number of the current process of each controller
	frozen     map[string]bool   // controllers that do nothing
	cut        map[link]bool     // links that transmit nothing
	recovering map[string]bool   // controllers that do not vote yet
	decisions  []decided
}

func newCluster(size int) *cluster {
	c := &cluster{
		detectors:  map[string]*Detector{},
		processes:  map[string]uint64{},
		frozen:     map[string]bool{},
		cut:        map[link]bool{},
		recovering: map[string]bool{},
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("n-%d", i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start starts a new process of a controller.
func (c *cluster) start(name string) {
	c.processes[name]++
	others := slices.DeleteFunc(slices.Clone(c.names), func(other string) bool { return other == name })
	process := uint64(len(name))<<32 | c.processes[name]<<8 | uint64(name[len(name)-1])
	c.detectors[name] = New(c.now, name, process, others, testTiming)
}

// step passes an event to a controller and carries out the effects.
func (c *cluster) step(name string, e Event) {
	if c.frozen[name] {
		return
	}
	d := c.detectors[name]
	d.SetVoting(!c.recovering[name])
	for _, effect := range d.Step(c.now, e) {
		switch effect := effect.(type) {
		case DecisionMade:
			c.decisions = append(c.decisions, decided{Decision: effect.Decision, by: name, process: c.processes[name]})
		case Probe:
			for _, through := range effect.Through {
				c.probe(name, effect.Target, through)
			}
		}
	}
}

// transmits says whether messages from one controller reach another.
func (c *cluster) transmits(from, to string) bool { return !c.cut[link{from, to}] && !c.frozen[to] }

// connected says whether a call of one controller to another is answered.
func (c *cluster) connected(from, to string) bool {
	return c.transmits(from, to) && c.transmits(to, from)
}

func (c *cluster) probe(from, target, through string) {
	if !c.connected(from, through) {
		return
	}
	c.step(from, ProbeResult{Target: target, Through: through, Reached: c.connected(through, target)})
}

// run lets time pass. late names controllers whose ticks come late.
func (c *cluster) run(d time.Duration, late ...string) {
	for end := c.now + d; c.now < end; {
		c.now += testTickInterval
		for _, name := range c.names {
			if c.frozen[name] || slices.Contains(late, name) && c.now/testTickInterval%4 != 0 {
				continue
			}
			c.step(name, Tick{})
			c.sendHeartbeats(name)
		}
	}
}

func (c *cluster) sendHeartbeats(from string) {
	d := c.detectors[from]
	for _, to := range c.names {
		if to == from || !c.transmits(from, to) {
			continue
		}
		c.step(to, PeerHeartbeat{
			Peer:        from,
			Incarnation: d.Incarnation(),
			HealthScore: d.HealthScore(),
			Voting:      !c.recovering[from],
			Opinions:    d.Opinions(c.now),
		})
	}
}

func (c *cluster) freeze(names ...string) {
	for _, name := range names {
		c.frozen[name] = true
	}
}

// disconnect cuts the link from one controller to another, or in both directions.
func (c *cluster) disconnect(from, to string, both bool) {
	c.cut[link{from, to}] = true
	if both {
		c.cut[link{to, from}] = true
	}
}

// countDecisions returns how many decisions of a type were made.
func countDecisions[D Decision](c *cluster) (n int) {
	for _, d := range c.decisions {
		if _, ok := d.Decision.(D); ok {
			n++
		}
	}
	return n
}

// describe returns all decisions in words.
func (c *cluster) describe() (lines []string) {
	for _, d := range c.decisions {
		lines = append(lines, d.by+": "+d.Describe())
	}
	return lines
}

// checkVerdicts fails the test if a verdict lacks a quorum or comes twice from the same process.
func (c *cluster) checkVerdicts(t interface {
	Helper()
	Errorf(format string, args ...any)
},
) {
	t.Helper()
	reached := map[string]bool{}
	for _, d := range c.decisions {
		v, ok := d.Decision.(Verdict)
		if !ok {
			continue
		}
		key := fmt.Sprint(d.by, d.process, v.Controller, v.Incarnation)
		if reached[key] {
			t.Errorf("second verdict of %s: %s", d.by, v.Describe())
		}
		reached[key] = true
		if v.GroupSize != len(c.names) || 2*len(v.Evidence) <= v.GroupSize {
			t.Errorf("verdict without a quorum: %s", v.Describe())
		}
	}
}
