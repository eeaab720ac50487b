package failuredetector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testTickInterval = 500 * time.Millisecond

var testTiming = Timing{TickInterval: testTickInterval, SuspicionTimeout: 2 * time.Second, OpinionTTL: 2 * time.Second}

// cluster is some controllers in steps of a quarter of an interval, with heartbeats and probes that get
// through unless a function says otherwise.
type cluster struct {
	now        time.Duration
	names      []string
	detectors  map[string]*Detector
	processes  map[string]uint64
	frozen     map[string]bool
	cut        map[[2]string]bool // from, to
	recovering map[string]bool
	decisions  []Decision
	decidedBy  []string // who decided
}

func newCluster(n int) *cluster {
	g := &cluster{
		detectors:  map[string]*Detector{},
		processes:  map[string]uint64{},
		frozen:     map[string]bool{},
		cut:        map[[2]string]bool{},
		recovering: map[string]bool{},
	}
	for i := range n {
		g.names = append(g.names, fmt.Sprintf("n-%d", i))
	}
	for _, name := range g.names {
		g.start(name)
	}
	return g
}

// start starts a controller's process, another one each time.
func (g *cluster) start(name string) {
	g.processes[name]++
	others := slices.DeleteFunc(slices.Clone(g.names), func(o string) bool { return o == name })
	g.detectors[name] = New(
		g.now,
		name,
		uint64(len(name))<<32|g.processes[name]<<8|uint64(name[len(name)-1]),
		others,
		testTiming,
	)
}

func (g *cluster) step(name string, e Event) {
	if g.frozen[name] {
		return
	}
	m := g.detectors[name]
	m.SetVoting(!g.recovering[name])
	for _, effect := range m.Step(g.now, e) {
		switch effect := effect.(type) {
		case DecisionMade:
			g.decisions, g.decidedBy = append(g.decisions, effect.Decision), append(g.decidedBy, name)
		case Probe:
			for _, through := range effect.Through {
				g.probe(name, effect.Target, through)
			}
		}
	}
}

func (g *cluster) passes(from, to string) bool { return !g.cut[[2]string{from, to}] && !g.frozen[to] }

func (g *cluster) probe(from, target, through string) {
	if !g.passes(from, through) || !g.passes(through, from) {
		return
	}
	g.step(
		from,
		ProbeResult{Target: target, Through: through, Reached: g.passes(through, target) && g.passes(target, through)},
	)
}

// run lets time pass; late names controllers whose ticks come late.
func (g *cluster) run(d time.Duration, late ...string) {
	for end := g.now + d; g.now < end; {
		g.now += testTickInterval
		for _, from := range g.names {
			if g.frozen[from] || slices.Contains(late, from) && g.now/testTickInterval%4 != 0 {
				continue
			}
			g.step(from, Tick{})
			m := g.detectors[from]
			for _, to := range g.names {
				if to != from && g.passes(from, to) {
					g.step(
						to,
						PeerHeartbeat{
							Peer:        from,
							Incarnation: m.Incarnation(),
							HealthScore: m.HealthScore(),
							Voting:      !g.recovering[from],
							Opinions:    m.Opinions(g.now),
						},
					)
				}
			}
		}
	}
}

// disconnect cuts controllers from each other, one way or both.
func (g *cluster) disconnect(a, b string, both bool) {
	g.cut[[2]string{a, b}] = true
	if both {
		g.cut[[2]string{b, a}] = true
	}
}

func countDecisions[D Decision](g *cluster) (n int) {
	for _, d := range g.decisions {
		if _, ok := d.(D); ok {
			n++
		}
	}
	return n
}

// TestVerdictsByFailureScenario plays what may look like a failure on three and five controllers: who has failed is
// told by a majority and once by each, and whoever is only slow, cut off in one direction, or looked at by somebody who
// is short of processor time is not.
func TestVerdictsByFailureScenario(t *testing.T) {
	for _, x := range []struct {
		name               string
		controllers        int
		what               func(g *cluster)
		suspected, verdict bool
	}{
		{"quiet", 3, func(g *cluster) { g.run(time.Minute) }, false, false},
		{"one ends", 3, func(g *cluster) { g.frozen["n-0"] = true; g.run(time.Minute) }, true, true},
		{"two of five end", 5, func(g *cluster) { g.frozen["n-0"], g.frozen["n-1"] = true, true; g.run(time.Minute) }, true, true},
		{"two of three end", 3, func(g *cluster) { g.frozen["n-0"], g.frozen["n-1"] = true, true; g.run(time.Minute) }, true, false},
		{"one link is cut", 3, func(g *cluster) { g.disconnect("n-0", "n-1", true); g.run(time.Minute) }, true, false},
		{"one direction is cut", 3, func(g *cluster) { g.disconnect("n-0", "n-1", false); g.run(time.Minute) }, true, false},
		{"cut off from all", 3, func(g *cluster) {
			g.disconnect("n-0", "n-1", true)
			g.disconnect("n-0", "n-2", true)
			g.run(time.Minute)
		}, true, true},
		{"it hears, and is not heard", 5, func(g *cluster) {
			for _, o := range g.names[1:] {
				g.disconnect("n-0", o, false)
			}
			g.run(time.Minute)
		}, true, true},
		{"a short pause", 3, func(g *cluster) {
			g.frozen["n-0"] = true
			g.run(testTickInterval)
			g.frozen["n-0"] = false
			g.run(time.Minute)
		}, false, false},
		{"a majority is short of processor time", 3, func(g *cluster) { g.run(time.Minute, "n-1", "n-2") }, true, false},
		{"a majority has just begun", 3, func(g *cluster) { g.recovering["n-1"] = true; g.frozen["n-0"] = true; g.run(time.Minute) }, true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := newCluster(x.controllers)
			g.run(30 * time.Second)
			x.what(g)
			if got := countDecisions[Suspected](g) > 0; got != x.suspected {
				t.Errorf("suspected %v: %v", got, g.describe())
			}
			if got := countDecisions[Verdict](g) > 0; got != x.verdict {
				t.Errorf("verdict %v: %v", got, g.describe())
			}
			reached := map[string]bool{}
			for i, d := range g.decisions {
				v, ok := d.(Verdict)
				if !ok {
					continue
				}
				key := g.decidedBy[i] + " on " + v.Controller + " " + v.Incarnation.String()
				if reached[key] || 2*len(v.Evidence) <= v.GroupSize {
					t.Errorf("%s: %s", key, v.Describe())
				}
				reached[key] = true
			}
		})
	}
}

func (g *cluster) describe() (lines []string) {
	for i, d := range g.decisions {
		lines = append(lines, g.decidedBy[i]+": "+d.Describe())
	}
	return lines
}

// TestReturnAfterVerdict: a controller that stood still for longer than the window is judged to have
// failed; when it wakes it learns so from the others' heartbeats, goes on in a new incarnation, and that
// is told once. A process that is started anew is a new incarnation as well.
func TestReturnAfterVerdict(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		g := newCluster(3)
		g.run(30 * time.Second)
		g.frozen["n-0"] = true
		g.run(20 * time.Second)
		old := g.detectors["n-0"].Incarnation()
		g.frozen["n-0"] = false
		if restarted {
			g.start("n-0")
		}
		g.run(20 * time.Second)
		if now := g.detectors["n-0"].Incarnation(); now == old {
			t.Errorf("restarted %v: still %s", restarted, now)
		}
		if n := countDecisions[Returned](g); n != 2 {
			t.Errorf("restarted %v: told %d times that it is back: %v", restarted, n, g.describe())
		}
		if n := countDecisions[Verdict](g); n != 2 {
			t.Errorf("restarted %v: %d verdicts: %v", restarted, n, g.describe())
		}
	}
}

// TestPhiAdaptsToUnevenHeartbeats: a peer whose heartbeats come at an uneven pace is given longer.
func TestPhiAdaptsToUnevenHeartbeats(t *testing.T) {
	var even, uneven accrualDetector
	for i := range maxSamples {
		even.observe(time.Duration(i+1)*2*testTickInterval, testTickInterval)
		uneven.observe(time.Duration(1+7*(i/2)+i%2)*testTickInterval, testTickInterval) // gaps of one and of six
	}
	even.lastHeardAt, uneven.lastHeardAt = time.Minute, time.Minute
	at := time.Minute + 8*testTickInterval
	if even.phi(at, testTickInterval, 0) <= uneven.phi(at, testTickInterval, 0) ||
		uneven.phi(at, testTickInterval, 0) >= phiThreshold {
		t.Errorf(
			"phi %v of an even peer, %v of an uneven one",
			even.phi(at, testTickInterval, 0),
			uneven.phi(at, testTickInterval, 0),
		)
	}
	if a, b := even.phi(at, testTickInterval, 0), even.phi(at, testTickInterval, 4*testTickInterval); b >= a {
		t.Errorf("an observer that is late itself has phi %v, a punctual one %v", b, a)
	}
}

// TestPhiIsMonotonicAndBounded: the longer the silence the higher phi, from nothing to its bound, whatever came before.
func TestPhiIsMonotonicAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a accrualDetector
		now := time.Second
		for range rapid.IntRange(0, 3*maxSamples).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "gap")) * time.Millisecond
			a.observe(now, testTickInterval)
		}
		last := -1.0
		for ms := 0; ms < 600_000; ms += 1000 {
			phi := a.phi(a.lastHeardAt+time.Duration(ms)*time.Millisecond, testTickInterval, 0)
			if phi < last || phi < 0 || phi > maxPhi {
				t.Fatalf("phi %v after %v", phi, last)
			}
			last = phi
		}
		if last < phiThreshold {
			t.Fatalf("phi %v after ten minutes", last)
		}
	})
}

// TestRandomFaultsNeedQuorumForVerdict: whatever is cut, frozen or begun anew in whatever order, no controller is
// judged to have failed while a majority of those that count hears it in both directions all the time, evidence is
// always a majority's and of one incarnation, and a verdict on an incarnation comes once from each.
func TestRandomFaultsNeedQuorumForVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers")
		g := newCluster(n)
		g.run(20 * time.Second)
		pick := func() string { return rapid.SampledFrom(g.names).Draw(t, "controller") }
		sound := map[string]bool{} // reached by all, all the time
		for _, name := range g.names {
			sound[name] = true
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				a, b := pick(), pick()
				if a != b {
					g.disconnect(a, b, rapid.Bool().Draw(t, "both"))
					sound[a], sound[b] = false, false
				}
			case 1:
				clear(g.cut)
			case 2:
				a := pick()
				g.frozen[a], sound[a] = !g.frozen[a], false
			case 3:
				a := pick()
				g.frozen[a], sound[a] = false, false
				g.start(a)
			}
			g.run(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
		}
		told := map[string]bool{}
		for i, d := range g.decisions {
			v, ok := d.(Verdict)
			if !ok {
				continue
			}
			key := fmt.Sprint(g.decidedBy[i], g.processes[g.decidedBy[i]], v.Controller, v.Incarnation)
			if sound[v.Controller] {
				t.Fatalf("%s is well: %s", v.Controller, v.Describe())
			}
			for _, e := range v.Evidence {
				if e.Opinion.Incarnation != v.Incarnation || !e.Opinion.Failed ||
					len(e.Opinion.UnreachableThrough) == 0 {
					t.Fatalf("evidence of another: %s", v.Describe())
				}
			}
			if 2*len(v.Evidence) <= n {
				t.Fatalf("no majority: %s", v.Describe())
			}
			told[key] = true
		}
	})
}

// TestProbeCostIsLinear: what is asked for grows with the controllers and no faster, however long a
// suspicion lasts: a probe through each other controller twice in the time to confirm it, one opinion
// of each peer, and nothing at all while everybody is heard.
func TestProbeCostIsLinear(t *testing.T) {
	const controllers = 36
	g := newCluster(controllers)
	g.run(20 * time.Second)
	probes := 0
	count := func(d time.Duration) {
		m := g.detectors["n-1"]
		for end := g.now + d; g.now < end; {
			g.now += testTickInterval
			for _, effect := range m.Step(g.now, Tick{}) {
				if p, ok := effect.(Probe); ok {
					probes += len(p.Through)
				}
			}
			for _, from := range g.names[2:] {
				m.Step(g.now, PeerHeartbeat{Peer: from, Incarnation: g.detectors[from].Incarnation(), Voting: true})
			}
		}
	}
	last := g.detectors["n-1"].peers["n-0"].accrual.lastHeardAt
	for range 20 { // n-0 is heard as well
		count(testTickInterval)
		g.detectors["n-1"].Step(
			g.now,
			PeerHeartbeat{Peer: "n-0", Incarnation: g.detectors["n-0"].Incarnation(), Voting: true},
		)
	}
	if probes > 0 || g.detectors["n-1"].peers["n-0"].accrual.lastHeardAt == last {
		t.Errorf("%d probes while all are heard", probes)
	}
	const long = 5 * time.Minute
	count(long)
	if most := (controllers - 2) * int(2*long/testTiming.SuspicionTimeout); probes == 0 || probes > most {
		t.Errorf("%d probes in %v, want %d at most", probes, long, most)
	}
	if n := len(g.detectors["n-1"].Opinions(g.now)); n != controllers-1 {
		t.Errorf("%d opinions", n)
	}
}

// TestInvalidEventsAreIgnored: what comes from nobody known, is older than what was heard, or is of a
// version without incarnations changes nothing, and opinions of strangers are no evidence.
func TestInvalidEventsAreIgnored(t *testing.T) {
	g := newCluster(3)
	g.run(20 * time.Second)
	m := g.detectors["n-1"]
	is := g.detectors["n-0"].Incarnation()
	is.Refutations = 7
	g.step("n-1", PeerHeartbeat{Peer: "n-0", Incarnation: is, Voting: true})
	before := *m.peers["n-0"]
	for _, e := range []Event{
		PeerHeartbeat{Peer: "stranger", Incarnation: Incarnation{Process: 9}, Voting: true, Opinions: map[string]Opinion{"n-0": {Incarnation: is, Suspected: true, Failed: true}}},
		PeerHeartbeat{Peer: "n-0", Incarnation: Incarnation{Process: is.Process, Refutations: 6}},
		PeerHeartbeat{Peer: "n-0"},
		ProbeResult{Target: "n-0", Through: "stranger"},
		ProbeResult{Target: "stranger", Through: "n-2", Reached: true},
		ProbeResult{Target: "n-0", Through: "n-2"},
	} {
		g.now += testTickInterval / 8
		g.step("n-1", e)
	}
	if after := *m.peers["n-0"]; after.incarnation != before.incarnation ||
		after.accrual.lastHeardAt != before.accrual.lastHeardAt ||
		after.suspected ||
		len(after.unreachableThrough) > 0 {
		t.Errorf("%+v, before %+v", after, before)
	}
}
