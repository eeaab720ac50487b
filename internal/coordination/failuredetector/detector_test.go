package failuredetector

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestVerdictsByFailureScenario plays what may look like a failure. It checks that a controller that
// has failed gets one verdict from each process of a quorum, and that one that is only slow, cut off
// in one direction, or observed by a process that is short of processor time gets none.
func TestVerdictsByFailureScenario(t *testing.T) {
	for _, test := range []struct {
		name               string
		controllers        int
		late               []string // controllers whose ticks come late
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
				c.recovering["n-1"] = true
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
				t.Errorf("suspected %v, want %v: %v", got, test.suspected, c.describe())
			}
			if got := countDecisions[Verdict](c) > 0; got != test.verdict {
				t.Errorf("verdict %v, want %v: %v", got, test.verdict, c.describe())
			}
			c.checkVerdicts(t)
		})
	}
}

// TestReturnAfterVerdict checks that a controller that stood still until a verdict learns of it from
// the others' heartbeats when it wakes up, goes on in a new incarnation, and is reported as returned
// once by each of the others. A new process is a new incarnation as well.
func TestReturnAfterVerdict(t *testing.T) {
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
				t.Errorf("still in incarnation %s", failed)
			}
			if n := countDecisions[Returned](c); n != 2 {
				t.Errorf("%d times reported as returned, want 2: %v", n, c.describe())
			}
			if n := countDecisions[Verdict](c); n != 2 {
				t.Errorf("%d verdicts, want 2: %v", n, c.describe())
			}
		})
	}
}

// TestRandomFaultsNeedQuorumForVerdict checks, with random cuts, pauses and restarts, that there is no
// verdict on a controller that is connected to all others all the time, that the evidence is a
// quorum's and of one incarnation, and that each process reaches a verdict on an incarnation once.
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
				t.Fatalf("%s has not failed: %s", v.Controller, v.Describe())
			}
			for _, o := range v.Evidence {
				if o.Opinion.Incarnation != v.Incarnation || !o.Opinion.Failed ||
					len(o.Opinion.UnreachableThrough) == 0 {
					t.Fatalf("evidence of something else: %s", v.Describe())
				}
			}
		}
		c.checkVerdicts(t)
	})
}

// TestProbeCostIsLinear checks that the probes grow linearly with the controllers, however long a
// suspicion lasts: one through each other controller twice per suspicion timeout, and none while
// everybody is heard.
func TestProbeCostIsLinear(t *testing.T) {
	const controllers = 36
	c := newCluster(controllers)
	c.run(20 * time.Second)
	observer := c.detectors["n-1"]
	heartbeat := func(from string) {
		observer.Step(c.now, PeerHeartbeat{Peer: from, Incarnation: c.detectors[from].Incarnation(), Voting: true})
	}
	// countProbes lets time pass in which the observer hears everybody but n-0.
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

	lastHeardAt := observer.peers["n-0"].accrual.lastHeardAt
	for range 20 {
		if probes := countProbes(testTickInterval); probes > 0 {
			t.Errorf("%d probes while all are heard", probes)
		}
		heartbeat("n-0")
	}
	if observer.peers["n-0"].accrual.lastHeardAt == lastHeardAt {
		t.Error("n-0 was not heard")
	}

	const silence = 5 * time.Minute
	limit := (controllers - 2) * int(2*silence/testTiming.SuspicionTimeout)
	if probes := countProbes(silence); probes == 0 || probes > limit {
		t.Errorf("%d probes in %v, want between 1 and %d", probes, silence, limit)
	}
	if n := len(observer.Opinions(c.now)); n != controllers-1 {
		t.Errorf("%d opinions, want %d", n, controllers-1)
	}
}

// TestInvalidEventsAreIgnored checks that events that name an unknown controller, are older than what
// was heard, or come from a version without incarnations change nothing.
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
			if p.incarnation != before.incarnation || p.accrual.lastHeardAt != before.accrual.lastHeardAt ||
				p.suspected || len(p.unreachableThrough) > 0 {
				t.Errorf("peer is %+v, before the event %+v", *p, before)
			}
		})
	}
}
