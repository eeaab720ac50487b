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

// link is one direction of a connection between two controllers.
type link struct{ from, to string }

// decisionRecord is a decision, with the controller and the process that made it.
type decisionRecord struct {
	Decision
	by      string
	process uint64
}

// cluster simulates a group of controllers that advance by one tick interval at a time. Heartbeats and probes arrive
// immediately unless a fault prevents it.
type cluster struct {
	now       time.Duration
	names     []string
	detectors map[string]*Detector
	processes map[string]uint64 // counts the processes started for each controller
	frozen    map[string]bool   // controllers whose process is frozen
	cut       map[link]bool     // links that deliver nothing
	nonVoting map[string]bool   // controllers that do not yet vote
	decisions []decisionRecord
}

func newCluster(size int) *cluster {
	c := &cluster{
		detectors: map[string]*Detector{},
		processes: map[string]uint64{},
		frozen:    map[string]bool{},
		cut:       map[link]bool{},
		nonVoting: map[string]bool{},
	}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("n-%d", i))
	}
	for _, name := range c.names {
		c.start(name)
	}
	return c
}

// start replaces a controller by a new process.
func (c *cluster) start(name string) {
	c.processes[name]++
	others := slices.DeleteFunc(slices.Clone(c.names), func(other string) bool { return other == name })
	process := uint64(len(name))<<32 | c.processes[name]<<8 | uint64(name[len(name)-1])
	c.detectors[name] = New(c.now, name, process, others, testTiming)
}

// step passes an event to a controller and applies the resulting effects.
func (c *cluster) step(name string, e Event) {
	if c.frozen[name] {
		return
	}
	d := c.detectors[name]
	d.SetVoting(!c.nonVoting[name])
	for _, effect := range d.Step(c.now, e) {
		switch effect := effect.(type) {
		case DecisionMade:
			c.decisions = append(
				c.decisions,
				decisionRecord{Decision: effect.Decision, by: name, process: c.processes[name]},
			)
		case Probe:
			for _, through := range effect.Through {
				c.probe(name, effect.Target, through)
			}
		}
	}
}

// delivers reports whether messages from one controller reach another.
func (c *cluster) delivers(from, to string) bool { return !c.cut[link{from, to}] && !c.frozen[to] }

// connected reports whether requests of one controller to another are answered.
func (c *cluster) connected(from, to string) bool {
	return c.delivers(from, to) && c.delivers(to, from)
}

func (c *cluster) probe(from, target, through string) {
	if !c.connected(from, through) {
		return
	}
	c.step(from, ProbeResult{Target: target, Through: through, Reached: c.connected(through, target)})
}

// run advances the simulation. The ticks of the controllers in late are delayed.
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
		if to == from || !c.delivers(from, to) {
			continue
		}
		c.step(to, PeerHeartbeat{
			Peer:        from,
			Incarnation: d.Incarnation(),
			HealthScore: d.HealthScore(),
			Voting:      !c.nonVoting[from],
			Opinions:    d.Opinions(c.now),
		})
	}
}

func (c *cluster) freeze(names ...string) {
	for _, name := range names {
		c.frozen[name] = true
	}
}

// disconnect cuts the link from one controller to another, or the links in both directions.
func (c *cluster) disconnect(from, to string, both bool) {
	c.cut[link{from, to}] = true
	if both {
		c.cut[link{to, from}] = true
	}
}

// countDecisions returns the number of decisions of type D.
func countDecisions[D Decision](c *cluster) (n int) {
	for _, d := range c.decisions {
		if _, ok := d.Decision.(D); ok {
			n++
		}
	}
	return n
}

// describeDecisions returns the descriptions of all decisions.
func (c *cluster) describeDecisions() (lines []string) {
	for _, d := range c.decisions {
		lines = append(lines, d.by+": "+d.Describe())
	}
	return lines
}

// checkVerdicts fails the test if a verdict lacks a quorum or is reached twice by the same process.
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
			t.Errorf("repeated verdict of %s: %s", d.by, v.Describe())
		}
		reached[key] = true
		if v.GroupSize != len(c.names) || 2*len(v.Evidence) <= v.GroupSize {
			t.Errorf("verdict without a quorum: %s", v.Describe())
		}
	}
}
