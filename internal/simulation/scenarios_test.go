package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testkit"
)

// settle starts a crew of jobs and waits until they run.
func (l *live) settle(jobs int) {
	time.Sleep(5 * time.Second)
	l.crew(jobs)
	time.Sleep(35 * time.Second)
	if n := len(l.running()); n < jobs/2 {
		l.t.Fatalf("only %d of %d jobs run", n, jobs)
	}
}

// cancelRunning has users call off up to n running jobs at the given controllers,
// and returns how many were told that it is done.
func (l *live) cancelRunning(n int, at []*controller, within time.Duration) int {
	ids := l.running()
	told := make(chan bool, len(ids))
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		l.go_(func() { told <- l.cancel(id, at, within) })
	}
	count := 0
	for range ids {
		if <-told {
			count++
		}
	}
	return count
}

// gap is the scenario that broke most schedulers: the state service refuses the
// leader alone, another controller confirms cancellations, and then nobody has the
// service for longer than a cancellation may take.
type gap struct {
	before time.Duration // from the refusal to the outage
	outage float64       // in times that a cancellation may take
	crash  bool          // the leader ends, instead of being refused
	after  string        // what becomes of the controllers that confirmed
	leader string        // what else becomes of the leader, or instead of the refusal
	told   bool          // there is surely time to confirm some
	worker string        // what becomes of machines of cancelled jobs
}

func (g gap) String() string {
	return fmt.Sprintf("%v before, %.1f, crash %v, confirmers %q, leader %q, workers %q", g.before, g.outage, g.crash, g.after, g.leader, g.worker)
}

func (g gap) play(l *live) {
	l.settle(12)
	cancel := config.Seconds(l.cfg.Workers.CancelS)
	old := l.leader()
	term := l.term()
	others := l.others(old)
	heal := func() {}
	switch {
	case g.crash:
		l.crash(old, 6*time.Second)
	case g.leader == "apart":
		heal = leaderApart(l)
	default:
		l.state.Refuse(old.ip, true)
	}
	time.Sleep(g.before / 2)
	told := l.cancelRunning(6, others, g.before/2)
	var deaf []*rig
	l.mu.Lock()
	for id := range l.world.Cancelled {
		rigs := l.on(id)
		if len(rigs) == 0 {
			continue
		}
		switch r := rigs[0]; g.worker {
		case "hung":
			if !r.w.Hung {
				r.hang(cancel * 3 / 2)
			}
		case "mute":
			r.Mute = true
			time.AfterFunc(cancel*3/2, func() { l.mu.Lock(); r.Mute = false; l.mu.Unlock() })
		case "deaf":
			deaf = append(deaf, r)
		}
	}
	l.mu.Unlock()
	for _, r := range deaf {
		time.AfterFunc(cancel*3/2, l.cut("*", r.ip))
	}
	l.state.Outage(true)
	switch g.after {
	case "killed":
		for _, n := range others {
			l.crash(n, 6*time.Second)
		}
	case "one killed":
		l.crash(others[0], 6*time.Second)
	case "back at once":
		l.crash(others[0], 200*ms)
	case "cut":
		h, also := heal, l.apart(others[0], l.others(others[0])...)
		heal = func() { h(); also() }
	}
	if g.leader == "cut" {
		h, also := heal, l.apart(old, others...)
		heal = func() { h(); also() }
	}
	time.Sleep(time.Duration(float64(cancel) * g.outage))
	l.state.Outage(false)
	time.Sleep(3 * time.Second)
	l.state.Refuse(old.ip, false)
	heal()
	time.Sleep(2 * cancel)
	if told == 0 && g.told {
		l.t.Errorf("no cancellation was confirmed: the scenario did not take place (term %d to %d)", term, l.term())
	}
	time.Sleep(4 * cancel)
	l.calm()
}

// TestCancelledWhileTheLeaderIsBlind plays the gap and what may go with it. The
// intents held by a majority are what ends the tasks; without them the first rows
// fail on ran_cancelled.
func TestCancelledWhileTheLeaderIsBlind(t *testing.T) {
	rows := []struct {
		controllers int
		w           config.Workers
		gap
	}{
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, told: true}},
		{5, brisk, gap{before: 2 * time.Second, outage: 1.3, told: true}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3, told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 0.9, told: true}},
		{3, brisk, gap{before: time.Second, outage: 2, told: true}},
		{3, brisk, gap{before: 20 * time.Second, outage: 1.3, told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, crash: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "one killed", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "back at once", told: true}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3, after: "killed", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "cut", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, leader: "cut", told: true}},
		{5, slow, gap{before: 2600 * ms, outage: 1.3, leader: "cut", after: "one killed", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, leader: "cut", after: "back at once", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, worker: "hung", told: true}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3, worker: "deaf", told: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, worker: "mute", told: true}},
		{3, brisk, gap{before: time.Second, outage: 1.5, leader: "apart", told: true}},
		{5, brisk, gap{before: time.Second, outage: 1.5, leader: "apart", after: "one killed", told: true}},
		{3, brisk, gap{before: 600 * ms, outage: 1.5, crash: true, told: true}},
	}
	for i, r := range rows {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			t.Log(r.gap)
			play(t, uint64(i+1), r.controllers, r.w, r.gap.play)
		})
	}
}

// drawGap makes up a gap.
func drawGap(rng *rand.Rand) gap {
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	return gap{
		before: time.Duration(1000+rng.IntN(4000)) * ms, outage: 0.8 + rng.Float64(), crash: rng.IntN(5) == 0,
		after:  pick("", "", "one killed", "killed", "back at once", "cut"),
		leader: pick("", "", "cut"), worker: pick("", "", "hung", "mute", "deaf"),
	}
}

// TestDrawnGaps plays gaps with drawn details.
func TestDrawnGaps(t *testing.T) {
	for seed := testkit.Seed(); seed < testkit.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			g := drawGap(rng)
			t.Log(g)
			play(t, seed, []int{3, 3, 5}[rng.IntN(3)], []config.Workers{brisk, slow}[rng.IntN(2)], g.play)
		})
	}
}

const s = time.Second

// scenarios are what the operators have seen break rules, each brought about on real
// controllers. happened names what must have come to pass, or the scenario shows nothing.
var scenarios = []struct {
	name     string
	w        config.Workers
	steps    []step
	happened []string
}{

	{"close looks", brisk, []step{{0, during(60*s, closeLooks)}, {1 * s, storm(40 * s)}, {2 * s, atEnd(6)},
		{5 * s, cancels(4, 0)}, {20 * s, cancels(2, 0)}}, []string{"looks", "cancelled"}},
	{"only the answer is lost", brisk, []step{{0, during(50*s, closeLooks)}, {0, during(50*s, lostAnswers(0.3))},
		{1 * s, storm(40 * s)}, {3 * s, cancels(4, 0)}, {30 * s, crashLeader(5 * s)}}, []string{"write", "looks", "cancelled"}},
	{"teams at their limits, cut and hung machines, a new leader", brisk, []step{{0, crowd(16)}, {20 * s, cancels(6, 60*s)},
		{20500 * ms, during(50*s, deaf(3))}, {21 * s, crashLeader(6 * s)}, {40 * s, cancels(4, 0)}}, []string{"hang", "deaf", "crash", "cancelled"}},
	{"the same, slowly", slow, []step{{0, crowd(16)}, {20 * s, cancels(6, 100*s)},
		{21 * s, during(80*s, deaf(3))}, {22 * s, crashLeader(6 * s)}, {50 * s, cancels(4, 0)}}, []string{"hang", "deaf", "crash", "cancelled"}},
	{"cancelled while work changes hands", brisk, []step{{0, cancels(2, 0)}, {50 * ms, crashLeader(300 * ms)}, {300 * ms, cancels(3, 0)},
		{10 * s, during(8*s, leaderApart)}, {10500 * ms, cancels(3, 0)}, {13 * s, cancels(3, 0)}}, []string{"crash", "apart", "cancelled"}},
	{"quick machines, late writes, the leader ends", brisk, []step{{0, during(60*s, quickBoots)}, {0, during(40*s, lateWrites(0.25))},
		{1 * s, crowd(9)}, {4 * s, crashLeader(5 * s)}, {16 * s, crashLeader(300 * ms)}}, []string{"write", "crash"}},
	{"old reports for the next leader", brisk, []step{{0, during(90*s, forNext(0.3, 0))}, {0, apartEnds(6)}, {10 * s, crashLeader(5 * s)},
		{14 * s, cancels(3, 0)}, {30 * s, crashLeader(5 * s)}, {45 * s, crashAll(2 * s)}}, []string{"late report", "crash", "cancelled"}},
	{"a report held back until the next leader has acted", brisk, []step{{0, during(90*s, forNext(0.3, 4*s))}, {0, apartEnds(6)},
		{10 * s, crashLeader(5 * s)}, {30 * s, crashLeader(300 * ms)}}, []string{"late report taken", "crash"}},
	{"one-task jobs come fast", brisk, []step{{0, storm(150 * s)}}, []string{"cancelled"}},
	{"old reports after newer ones", slow, []step{{0, during(90*s, lateReports(0.2))}, {0, apartEnds(6)}, {5 * s, during(40*s, deaf(2))},
		{20 * s, lose(1)}, {30 * s, cancels(3, 0)}}, []string{"late report taken", "cancelled"}},
	{"the leader ends while machines are out of reach", brisk, []step{{0, during(30*s, mute(2))}, {0, during(30*s, deaf(2))},
		{1 * s, crashLeader(6 * s)}, {4 * s, cancels(4, 0)}}, []string{"mute", "deaf", "crash", "cancelled"}},
	{"all controllers are away for longer than a lease", brisk, []step{{0, cancels(2, 0)}, {200 * ms, crashAll(14 * s)}, {60 * s, crashAll(300 * ms)}},
		[]string{"crash", "cancelled"}},
	{"transactions come late", brisk, []step{{0, during(60*s, lateWrites(0.25))}, {0, storm(30 * s)}, {0, apartEnds(4)}, {5 * s, cancels(4, 0)},
		{20 * s, crashLeader(5 * s)}, {25 * s, cancels(3, 0)}}, []string{"write", "cancelled"}},
	{"a zone is cut off", brisk, []step{{0, during(30*s, zoneCut)}, {3 * s, cancels(4, 0)}, {40 * s, cancels(2, 0)}}, []string{"zone", "cancelled"}},
	{"a leader without service and peers", brisk, []step{{0, during(40*s, leaderApart)}, {1 * s, cancels(3, 0)}, {6 * s, cancels(3, 0)}},
		[]string{"apart", "cancelled"}},
	{"a slow service, then refused, then out", brisk, []step{{0, during(30*s, slowWrites(0.5, 800*ms))}, {0, during(100*s, closeLooks)}, {2 * s, cancels(3, 0)},
		{20 * s, during(40*s, refuseLeader)}, {20 * s, cancels(3, 0)}, {22 * s, during(50*s, outage)}, {30 * s, cancels(2, 0)}},
		[]string{"refused", "outage", "looks", "cancelled"}},
	{"jobs of one zone lose machines", brisk, []step{{0, crowd(12)}, {12 * s, lose(2)}, {20 * s, during(20*s, zoneCut)}, {50 * s, lose(2)}}, []string{"lost", "zone"}},
	{"ends far apart, and new leaders", brisk, []step{{0, apartEnds(8)}, {10 * s, crashLeader(5 * s)}, {22 * s, crashLeader(5 * s)}, {34 * s, cancels(2, 0)},
		{35 * s, crashLeader(5 * s)}}, []string{"crash", "cancelled"}},
	{"everything at the end of a job", brisk, []step{{0, during(60*s, closeLooks)}, {0, atEnd(12)}, {20 * s, atEnd(12)}}, []string{"at end", "looks"}},
	{"ten leaders in two minutes", brisk, []step{{0, apartEnds(6)}, {0, crashLeader(5 * s)}, {12 * s, crashLeader(5 * s)}, {20 * s, cancels(3, 40*s)},
		{24 * s, crashLeader(5 * s)}, {36 * s, crashLeader(5 * s)}, {48 * s, during(15*s, outage)}, {50 * s, crashLeader(5 * s)}, {60 * s, crashLeader(5 * s)},
		{72 * s, crashLeader(5 * s)}, {84 * s, crashLeader(5 * s)}, {96 * s, crashLeader(5 * s)}, {108 * s, crashLeader(5 * s)}},
		[]string{"crash", "outage", "cancelled"}},
	{"commands are held up", brisk, []step{{0, during(9*s, deaf(3))}, {0, cancels(4, 0)}, {20 * s, hang(3, 7*s)}, {21 * s, cancels(3, 0)},
		{26 * s, crashLeader(5 * s)}}, []string{"deaf", "hang", "cancelled"}},
	{"most machines hang, some with cancelled tasks", slow, []step{{0, cancels(6, 100*s)}, {100 * ms, hang(9, 100*s)}}, []string{"hang", "cancelled"}},
	{"more work than room", brisk, []step{{0, crowd(24)}, {30 * s, cancels(3, 0)}}, []string{"cancelled"}},
	{"handed over and back", brisk, []step{{0, crashLeader(300 * ms)}, {3 * s, crashLeader(300 * ms)}, {6 * s, crashLeader(300 * ms)},
		{12 * s, crashAll(500 * ms)}, {20 * s, crashAll(5 * s)}, {21 * s, cancels(3, 0)}}, []string{"crash", "cancelled"}},
}

// TestScenarios plays every scenario on three controllers.
func TestScenarios(t *testing.T) {
	for i, m := range scenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			play(t, uint64(100+i), 3, m.w, func(l *live) { l.carryOut(m.steps, m.happened) })
		})
	}
}

// TestLeasesOutliveRestartsInAnOutage: in an outage of the state service the leader and
// another controller end and come back. The third one renews the leases, and workers
// find it in time, wherever they go first. Leases ended when the others, just begun,
// claimed for a moment to reach the service, when connections to them hung for as long as
// a heartbeat may take, and when workers went round from one to the next.
func TestLeasesOutliveRestartsInAnOutage(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		play(t, seed, 3, brisk, func(l *live) {
			l.settle(12)
			old := l.leader()
			l.state.Outage(true)
			time.Sleep(4 * s)
			l.crash(old, 6*s)
			l.crash(l.others(old)[0], 6*s)
			time.Sleep(20 * s)
			l.mu.Lock()
			ended := 0
			for _, r := range l.rigs {
				if r.w.Session > 1 {
					ended++
				}
			}
			l.mu.Unlock()
			if ended > 0 {
				t.Errorf("seed %d: leases of %d of %d machines ended", seed, ended, len(l.rigs))
			}
			l.state.Outage(false)
			l.outlast()
		})
	}
}
