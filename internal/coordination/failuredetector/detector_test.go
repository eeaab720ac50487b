package failuredetector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestVerdictsByFailureScenario simulates real and apparent failures. It checks that a failed controller receives one
// verdict from each process of a quorum, and that there is none on a controller that is merely slow, unreachable in one
// direction, or observed by processes that are short of CPU time.
func TestVerdictsByFailureScenario(t *testing.T) {
	for _, test := range []struct {
		name               string
		controllers        int
		late               []string // controllers whose ticks are delayed
		fault              func(c *cluster)
		suspected, verdict bool
	}{
		{
			name: "no fault", controllers: 3,
			fault: func(*cluster) {},
		},
		{
			name: "one of three fails", controllers: 3,
			fault:     func(c *cluster) { c.freeze("n-0") },
			suspected: true, verdict: true,
		},
		{
			name: "two of five fail", controllers: 5,
			fault:     func(c *cluster) { c.freeze("n-0", "n-1") },
			suspected: true, verdict: true,
		},
		{
			name: "two of three fail", controllers: 3,
			fault:     func(c *cluster) { c.freeze("n-0", "n-1") },
			suspected: true,
		},
		{
			name: "one connection is cut", controllers: 3,
			fault:     func(c *cluster) { c.disconnect("n-0", "n-1", true) },
			suspected: true,
		},
		{
			name: "one direction of a connection is cut", controllers: 3,
			fault:     func(c *cluster) { c.disconnect("n-0", "n-1", false) },
			suspected: true,
		},
		{
			name: "one is cut off from all", controllers: 3,
			fault: func(c *cluster) {
				c.disconnect("n-0", "n-1", true)
				c.disconnect("n-0", "n-2", true)
			},
			suspected: true, verdict: true,
		},
		{
			name: "one hears and is not heard", controllers: 5,
			fault: func(c *cluster) {
				for _, other := range c.names[1:] {
					c.disconnect("n-0", other, false)
				}
			},
			suspected: true, verdict: true,
		},
		{
			name: "short pause", controllers: 3,
			fault: func(c *cluster) {
				c.freeze("n-0")
				c.run(testTickInterval)
				c.frozen["n-0"] = false
			},
		},
		{
			name: "quorum is short of processor time", controllers: 3,
			late:      []string{"n-1", "n-2"},
			fault:     func(*cluster) {},
			suspected: true,
		},
		{
			name: "quorum has just started", controllers: 3,
			fault: func(c *cluster) {
				c.nonVoting["n-1"] = true
				c.freeze("n-0")
			},
			suspected: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(test.controllers)
			c.run(30 * time.Second)
			test.fault(c)
			c.run(time.Minute, test.late...)
			if got := countDecisions[Suspected](c) > 0; got != test.suspected {
				t.Errorf("suspected: %v, want %v; decisions: %v", got, test.suspected, c.describeDecisions())
			}
			if got := countDecisions[Verdict](c) > 0; got != test.verdict {
				t.Errorf("verdict reached: %v, want %v; decisions: %v", got, test.verdict, c.describeDecisions())
			}
			c.checkVerdicts(t)
		})
	}
}

// TestRejoinAfterVerdict checks that a controller that was frozen until a verdict on it learns of the verdict from
// the heartbeats of the others when it resumes, continues in a new incarnation, and is reported as rejoined once by
// each of the others. A new process is a new incarnation as well.
func TestRejoinAfterVerdict(t *testing.T) {
	for _, test := range []struct {
		name      string
		restarted bool
	}{
		{"same process", false},
		{"new process", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(3)
			c.run(30 * time.Second)
			c.freeze("n-0")
			c.run(20 * time.Second)
			failed := c.detectors["n-0"].Incarnation()
			c.frozen["n-0"] = false
			if test.restarted {
				c.start("n-0")
			}
			c.run(20 * time.Second)
			if c.detectors["n-0"].Incarnation() == failed {
				t.Errorf("n-0 is still in incarnation %s after the verdict", failed)
			}
			if n := countDecisions[Rejoined](c); n != 2 {
				t.Errorf("reported as rejoined %d times, want 2; decisions: %v", n, c.describeDecisions())
			}
			if n := countDecisions[Verdict](c); n != 2 {
				t.Errorf("%d verdicts, want 2; decisions: %v", n, c.describeDecisions())
			}
		})
	}
}

// TestRandomFaultsNeedQuorumForVerdict checks with random partitions, freezes and restarts that there is no verdict
// on a controller that stays connected to all others, that the evidence comes from a quorum and concerns one
// incarnation, and that each process reaches at most one verdict on an incarnation.
func TestRandomFaultsNeedQuorumForVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers"))
		c.run(20 * time.Second)
		drawName := func() string { return rapid.SampledFrom(c.names).Draw(t, "controller") }
		faulty := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				a, b := drawName(), drawName()
				if a != b {
					c.disconnect(a, b, rapid.Bool().Draw(t, "both"))
					faulty[a], faulty[b] = true, true
				}
			case 1:
				clear(c.cut)
			case 2:
				name := drawName()
				c.frozen[name], faulty[name] = !c.frozen[name], true
			case 3:
				name := drawName()
				c.frozen[name], faulty[name] = false, true
				c.start(name)
			}
			c.run(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
		}
		for _, d := range c.decisions {
			v, ok := d.Decision.(Verdict)
			if !ok {
				continue
			}
			if !faulty[v.Controller] {
				t.Fatalf("verdict on %s, which had no fault: %s", v.Controller, v.Describe())
			}
			for _, o := range v.Evidence {
				if o.Opinion.Incarnation != v.Incarnation || !o.Opinion.Failed ||
					len(o.Opinion.UnreachableThrough) == 0 {
					t.Fatalf("evidence does not support the verdict: %s", v.Describe())
				}
			}
		}
		c.checkVerdicts(t)
	})
}

// TestProbeCostIsLinear checks that the number of probes grows linearly with the number of controllers, however long a
// suspicion lasts: a target is probed twice per suspicion timeout through each other controller. There are no probes
// while all controllers are in contact.
func TestProbeCostIsLinear(t *testing.T) {
	const controllers = 36
	c := newCluster(controllers)
	c.run(20 * time.Second)
	observer := c.detectors["n-1"]
	heartbeat := func(from string) {
		observer.Step(c.now, PeerHeartbeat{Peer: from, Incarnation: c.detectors[from].Incarnation(), Voting: true})
	}
	// countProbes advances the time, during which the observer receives heartbeats from all controllers except n-0.
	countProbes := func(d time.Duration) (probes int) {
		for end := c.now + d; c.now < end; {
			c.now += testTickInterval
			for _, effect := range observer.Step(c.now, Tick{}) {
				if p, ok := effect.(Probe); ok {
					probes += len(p.Through)
				}
			}
			for _, from := range c.names[2:] {
				heartbeat(from)
			}
		}
		return probes
	}

	lastContactAt := observer.peers["n-0"].accrual.lastContactAt
	for range 20 {
		if probes := countProbes(testTickInterval); probes > 0 {
			t.Errorf("%d probes while all controllers are in contact, want 0", probes)
		}
		heartbeat("n-0")
	}
	if observer.peers["n-0"].accrual.lastContactAt == lastContactAt {
		t.Error("no heartbeat of n-0 was recorded")
	}

	const outage = 5 * time.Minute
	limit := (controllers - 2) * int(2*outage/testTiming.SuspicionTimeout)
	if probes := countProbes(outage); probes == 0 || probes > limit {
		t.Errorf("%d probes in %v, want between 1 and %d", probes, outage, limit)
	}
	if n := len(observer.Opinions(c.now)); n != controllers-1 {
		t.Errorf("%d opinions, want %d", n, controllers-1)
	}
}

// TestInvalidEventsAreIgnored checks that an event changes nothing if it names an unknown controller, is outdated, or
// comes from a version without incarnations.
func TestInvalidEventsAreIgnored(t *testing.T) {
	current := newCluster(3).detectors["n-0"].Incarnation()
	current.Refutations = 7
	older := Incarnation{Process: current.Process, Refutations: 6}
	for _, test := range []struct {
		name  string
		event Event
	}{
		{"heartbeat of a stranger", PeerHeartbeat{
			Peer:        "stranger",
			Incarnation: Incarnation{Process: 9},
			Voting:      true,
			Opinions:    map[string]Opinion{"n-0": {Incarnation: current, Suspected: true, Failed: true}},
		}},
		{"heartbeat of an older incarnation", PeerHeartbeat{Peer: "n-0", Incarnation: older}},
		{"heartbeat without an incarnation", PeerHeartbeat{Peer: "n-0"}},
		{"probe through a stranger", ProbeResult{Target: "n-0", Through: "stranger"}},
		{"probe of a stranger", ProbeResult{Target: "stranger", Through: "n-2", Reached: true}},
		{"probe of a controller that is not suspected", ProbeResult{Target: "n-0", Through: "n-2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(3)
			c.run(20 * time.Second)
			c.step("n-1", PeerHeartbeat{Peer: "n-0", Incarnation: current, Voting: true})
			p := c.detectors["n-1"].peers["n-0"]
			before := *p
			c.now += testTickInterval / 2
			c.step("n-1", test.event)
			if p.incarnation != before.incarnation || p.accrual.lastContactAt != before.accrual.lastContactAt ||
				p.suspected || len(p.unreachableThrough) > 0 {
				t.Errorf("peer state changed to %+v, was %+v", *p, before)
			}
		})
	}
}
