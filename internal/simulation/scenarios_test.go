package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testutil"
)

// startJobs submits jobs and waits until they run.
func (c *cluster) startJobs(jobs int) {
	time.Sleep(5 * time.Second)
	c.submitMixture(jobs)
	time.Sleep(35 * time.Second)
	if n := len(c.runningJobs()); n < jobs/2 {
		c.t.Fatalf("only %d of %d jobs run", n, jobs)
	}
}

// cancelRunning has users cancel up to n running jobs at the given controllers, and returns how many were told that
// their job is cancelled.
func (c *cluster) cancelRunning(n int, at []*controller, within time.Duration) int {
	ids := c.runningJobs()
	told := make(chan bool, len(ids))
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		c.spawn(func() { told <- c.cancelUntilFinal(id, at, within) })
	}
	count := 0
	for range ids {
		if <-told {
			count++
		}
	}
	return count
}

// storeGap is a scenario in which the key-value store refuses the leader alone, another controller confirms
// cancellations, and then the store serves nobody for longer than a cancellation may take.
type storeGap struct {
	before                time.Duration // from the refusal to the outage
	outage                float64       // in times that a cancellation may take
	crash                 bool          // the leader ends, instead of being refused
	after                 string        // what becomes of the controllers that confirmed
	leader                string        // what else becomes of the leader, or instead of the refusal
	cancellationsExpected bool          // there is surely time to confirm some
	worker                string        // what becomes of machines of cancelled jobs
}

func (g storeGap) String() string {
	return fmt.Sprintf(
		"%v before, %.1f, crash %v, confirmers %q, leader %q, workers %q",
		g.before,
		g.outage,
		g.crash,
		g.after,
		g.leader,
		g.worker,
	)
}

func (g storeGap) run(c *cluster) {
	c.startJobs(12)
	cancel := config.Seconds(c.cfg.Workers.CancelSeconds)
	old := c.leader()
	term := c.term()
	others := c.others(old)
	heal := func() {}
	switch {
	case g.crash:
		c.crash(old, 6*time.Second)
	case g.leader == "apart":
		heal = isolateLeader(c)
	default:
		c.store.SetRefused(old.ip, true)
	}
	time.Sleep(g.before / 2)
	told := c.cancelRunning(6, others, g.before/2)
	var deaf []*workerProcess
	c.mu.Lock()
	for id := range c.world.Cancelled {
		workers := c.workersWithJob(id)
		if len(workers) == 0 {
			continue
		}
		switch r := workers[0]; g.worker {
		case "hung":
			if !r.model.Hung {
				r.hang(cancel * 3 / 2)
			}
		case "mute":
			r.HeartbeatsLost = true
			time.AfterFunc(cancel*3/2, func() { c.mu.Lock(); r.HeartbeatsLost = false; c.mu.Unlock() })
		case "deaf":
			deaf = append(deaf, r)
		}
	}
	c.mu.Unlock()
	for _, r := range deaf {
		time.AfterFunc(cancel*3/2, c.blockLink("*", r.ip))
	}
	c.store.SetOutage(true)
	switch g.after {
	case "killed":
		for _, n := range others {
			c.crash(n, 6*time.Second)
		}
	case "one killed":
		c.crash(others[0], 6*time.Second)
	case "back at once":
		c.crash(others[0], 200*ms)
	case "cut":
		h, also := heal, c.isolateFrom(others[0], c.others(others[0])...)
		heal = func() { h(); also() }
	}
	if g.leader == "cut" {
		h, also := heal, c.isolateFrom(old, others...)
		heal = func() { h(); also() }
	}
	time.Sleep(time.Duration(float64(cancel) * g.outage))
	c.store.SetOutage(false)
	time.Sleep(3 * time.Second)
	c.store.SetRefused(old.ip, false)
	heal()
	time.Sleep(2 * cancel)
	if told == 0 && g.cancellationsExpected {
		c.t.Errorf("no cancellation was confirmed: the scenario did not take place (term %d to %d)", term, c.term())
	}
	time.Sleep(4 * cancel)
	c.checkAllServed()
}

// TestCancelledWhileLeaderCannotReachStore runs store gaps with other faults. The intents that a quorum holds are what
// ends the tasks: without them the first rows fail with ran_cancelled.
func TestCancelledWhileLeaderCannotReachStore(t *testing.T) {
	rows := []struct {
		controllers int
		w           config.Workers
		storeGap
	}{
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, cancellationsExpected: true}},
		{5, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, cancellationsExpected: true}},
		{3, slowTimings, storeGap{before: 2600 * ms, outage: 1.3, cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 0.9, cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: time.Second, outage: 2, cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 20 * time.Second, outage: 1.3, cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, crash: true}},
		{
			3,
			fastTimings,
			storeGap{before: 2 * time.Second, outage: 1.3, after: "one killed", cancellationsExpected: true},
		},
		{
			3,
			fastTimings,
			storeGap{before: 2 * time.Second, outage: 1.3, after: "back at once", cancellationsExpected: true},
		},
		{3, slowTimings, storeGap{before: 2600 * ms, outage: 1.3, after: "killed", cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, after: "cut", cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, leader: "cut", cancellationsExpected: true}},
		{
			5,
			slowTimings,
			storeGap{before: 2600 * ms, outage: 1.3, leader: "cut", after: "one killed", cancellationsExpected: true},
		},
		{
			3,
			fastTimings,
			storeGap{
				before:                2 * time.Second,
				outage:                1.3,
				leader:                "cut",
				after:                 "back at once",
				cancellationsExpected: true,
			},
		},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, worker: "hung", cancellationsExpected: true}},
		{3, slowTimings, storeGap{before: 2600 * ms, outage: 1.3, worker: "deaf", cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: 2 * time.Second, outage: 1.3, worker: "mute", cancellationsExpected: true}},
		{3, fastTimings, storeGap{before: time.Second, outage: 1.5, leader: "apart", cancellationsExpected: true}},
		{
			5,
			fastTimings,
			storeGap{
				before:                time.Second,
				outage:                1.5,
				leader:                "apart",
				after:                 "one killed",
				cancellationsExpected: true,
			},
		},
		{3, fastTimings, storeGap{before: 600 * ms, outage: 1.5, crash: true, cancellationsExpected: true}},
	}
	for i, r := range rows {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			t.Log(r.storeGap)
			runScenario(t, uint64(i+1), r.controllers, r.w, r.run)
		})
	}
}

// randomStoreGap returns a random store gap.
func randomStoreGap(rng *rand.Rand) storeGap {
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	return storeGap{
		before: time.Duration(1000+rng.IntN(4000)) * ms, outage: 0.8 + rng.Float64(), crash: rng.IntN(5) == 0,
		after:  pick("", "", "one killed", "killed", "back at once", "cut"),
		leader: pick("", "", "cut"), worker: pick("", "", "hung", "mute", "deaf"),
	}
}

// TestRandomStoreGaps runs random store gaps.
func TestRandomStoreGaps(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			g := randomStoreGap(rng)
			t.Log(g)
			runScenario(
				t,
				seed,
				[]int{3, 3, 5}[rng.IntN(3)],
				[]config.Workers{fastTimings, slowTimings}[rng.IntN(2)],
				g.run,
			)
		})
	}
}

// s is a second in the tables of scenarios.
const s = time.Second

// scenarios are combinations of faults that have led to violations before.
var scenarios = []scenario{
	{
		name:    "close looks",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, queryAfterAnswers)},
			{1 * s, submissionStorm(40 * s)},
			{2 * s, cancelAtCompletion(6)},
			{5 * s, cancelJobs(4, 0)},
			{20 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"looks", "cancelled"},
	},
	{
		name:    "only the answer is lost",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, queryAfterAnswers)},
			{0, during(50*s, lostReplies(0.3))},
			{1 * s, submissionStorm(40 * s)},
			{3 * s, cancelJobs(4, 0)},
			{30 * s, crashLeader(5 * s)},
		},
		occurred: []string{"write", "looks", "cancelled"},
	},
	{
		name:    "teams at their limits, cut and hung machines, a new leader",
		timings: fastTimings,
		steps: []step{
			{0, overload(16)},
			{20 * s, cancelJobs(6, 60*s)},
			{20500 * ms, during(50*s, holdReplies(3))},
			{21 * s, crashLeader(6 * s)},
			{40 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"hang", "deaf", "crash", "cancelled"},
	},
	{
		name:    "the same, slowly",
		timings: slowTimings,
		steps: []step{
			{0, overload(16)},
			{20 * s, cancelJobs(6, 100*s)},
			{21 * s, during(80*s, holdReplies(3))},
			{22 * s, crashLeader(6 * s)},
			{50 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"hang", "deaf", "crash", "cancelled"},
	},
	{
		name:    "cancelled while work changes hands",
		timings: fastTimings,
		steps: []step{
			{0, cancelJobs(2, 0)},
			{50 * ms, crashLeader(300 * ms)},
			{300 * ms, cancelJobs(3, 0)},
			{10 * s, during(8*s, isolateLeader)},
			{10500 * ms, cancelJobs(3, 0)},
			{13 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"crash", "apart", "cancelled"},
	},
	{
		name:    "quick machines, late writes, the leader ends",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, fastBoots)},
			{0, during(40*s, delayedWrites(0.25))},
			{1 * s, overload(9)},
			{4 * s, crashLeader(5 * s)},
			{16 * s, crashLeader(300 * ms)},
		},
		occurred: []string{"write", "crash"},
	},
	{
		name:    "old reports for the next leader",
		timings: fastTimings,
		steps: []step{
			{0, during(90*s, replayToNextLeader(0.3, 0))},
			{0, staggeredCompletions(6)},
			{10 * s, crashLeader(5 * s)},
			{14 * s, cancelJobs(3, 0)},
			{30 * s, crashLeader(5 * s)},
			{45 * s, crashAllControllers(2 * s)},
		},
		occurred: []string{"late report", "crash", "cancelled"},
	},
	{
		name:    "a report held back until the next leader has acted",
		timings: fastTimings,
		steps: []step{
			{0, during(90*s, replayToNextLeader(0.3, 4*s))},
			{0, staggeredCompletions(6)},
			{10 * s, crashLeader(5 * s)},
			{30 * s, crashLeader(300 * ms)},
		},
		occurred: []string{"late report taken", "crash"},
	},
	{
		name:    "one-task jobs come fast",
		timings: fastTimings,
		steps: []step{
			{0, submissionStorm(150 * s)},
		},
		occurred: []string{"cancelled"},
	},
	{
		name:    "old reports after newer ones",
		timings: slowTimings,
		steps: []step{
			{0, during(90*s, duplicateHeartbeats(0.2))},
			{0, staggeredCompletions(6)},
			{5 * s, during(40*s, holdReplies(2))},
			{20 * s, loseMachines(1)},
			{30 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"late report taken", "cancelled"},
	},
	{
		name:    "the leader ends while machines are out of reach",
		timings: fastTimings,
		steps: []step{
			{0, during(30*s, loseHeartbeats(2))},
			{0, during(30*s, holdReplies(2))},
			{1 * s, crashLeader(6 * s)},
			{4 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"mute", "deaf", "crash", "cancelled"},
	},
	{
		name:    "all controllers are away for longer than a lease",
		timings: fastTimings,
		steps: []step{
			{0, cancelJobs(2, 0)},
			{200 * ms, crashAllControllers(14 * s)},
			{60 * s, crashAllControllers(300 * ms)},
		},
		occurred: []string{"crash", "cancelled"},
	},
	{
		name:    "transactions come late",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, delayedWrites(0.25))},
			{0, submissionStorm(30 * s)},
			{0, staggeredCompletions(4)},
			{5 * s, cancelJobs(4, 0)},
			{20 * s, crashLeader(5 * s)},
			{25 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"write", "cancelled"},
	},
	{
		name:    "a zone is cut off",
		timings: fastTimings,
		steps: []step{
			{0, during(30*s, isolateZone)},
			{3 * s, cancelJobs(4, 0)},
			{40 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"zone", "cancelled"},
	},
	{
		name:    "a leader without service and peers",
		timings: fastTimings,
		steps: []step{
			{0, during(40*s, isolateLeader)},
			{1 * s, cancelJobs(3, 0)},
			{6 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"apart", "cancelled"},
	},
	{
		name:    "a slow service, then refused, then out",
		timings: fastTimings,
		steps: []step{
			{0, during(30*s, slowWrites(0.5, 800*ms))},
			{0, during(100*s, queryAfterAnswers)},
			{2 * s, cancelJobs(3, 0)},
			{20 * s, during(40*s, refuseLeader)},
			{20 * s, cancelJobs(3, 0)},
			{22 * s, during(50*s, storeOutage)},
			{30 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"refused", "outage", "looks", "cancelled"},
	},
	{
		name:    "jobs of one zone lose machines",
		timings: fastTimings,
		steps: []step{
			{0, overload(12)},
			{12 * s, loseMachines(2)},
			{20 * s, during(20*s, isolateZone)},
			{50 * s, loseMachines(2)},
		},
		occurred: []string{"lost", "zone"},
	},
	{
		name:    "ends far apart, and new leaders",
		timings: fastTimings,
		steps: []step{
			{0, staggeredCompletions(8)},
			{10 * s, crashLeader(5 * s)},
			{22 * s, crashLeader(5 * s)},
			{34 * s, cancelJobs(2, 0)},
			{35 * s, crashLeader(5 * s)},
		},
		occurred: []string{"crash", "cancelled"},
	},
	{
		name:    "everything at the end of a job",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, queryAfterAnswers)},
			{0, cancelAtCompletion(12)},
			{20 * s, cancelAtCompletion(12)},
		},
		occurred: []string{"at end", "looks"},
	},
	{
		name:    "ten leaders in two minutes",
		timings: fastTimings,
		steps: []step{
			{0, staggeredCompletions(6)},
			{0, crashLeader(5 * s)},
			{12 * s, crashLeader(5 * s)},
			{20 * s, cancelJobs(3, 40*s)},
			{24 * s, crashLeader(5 * s)},
			{36 * s, crashLeader(5 * s)},
			{48 * s, during(15*s, storeOutage)},
			{50 * s, crashLeader(5 * s)},
			{60 * s, crashLeader(5 * s)},
			{72 * s, crashLeader(5 * s)},
			{84 * s, crashLeader(5 * s)},
			{96 * s, crashLeader(5 * s)},
			{108 * s, crashLeader(5 * s)},
		},
		occurred: []string{"crash", "outage", "cancelled"},
	},
	{
		name:    "commands are held up",
		timings: fastTimings,
		steps: []step{
			{0, during(9*s, holdReplies(3))},
			{0, cancelJobs(4, 0)},
			{20 * s, hangWorkers(3, 7*s)},
			{21 * s, cancelJobs(3, 0)},
			{26 * s, crashLeader(5 * s)},
		},
		occurred: []string{"deaf", "hang", "cancelled"},
	},
	{
		name:    "most machines hang, some with cancelled tasks",
		timings: slowTimings,
		steps: []step{
			{0, cancelJobs(6, 100*s)},
			{100 * ms, hangWorkers(9, 100*s)},
		},
		occurred: []string{"hang", "cancelled"},
	},
	{
		name:    "more work than room",
		timings: fastTimings,
		steps: []step{
			{0, overload(24)},
			{30 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"cancelled"},
	},
	{
		name:    "handed over and back",
		timings: fastTimings,
		steps: []step{
			{0, crashLeader(300 * ms)},
			{3 * s, crashLeader(300 * ms)},
			{6 * s, crashLeader(300 * ms)},
			{12 * s, crashAllControllers(500 * ms)},
			{20 * s, crashAllControllers(5 * s)},
			{21 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"crash", "cancelled"},
	},
}

// TestScenarios runs every scenario.
func TestScenarios(t *testing.T) {
	runScenarios(t, 100, scenarios, func(c *cluster, x *scenario) { c.runToCompletion(x.steps, x.occurred) })
}

// TestLeasesOutliveRestartsInAnOutage: in an outage of the key-value store, the leader and another controller crash and
// come back. The third one renews the leases, and workers find it in time, wherever they go first. Leases expired when
// the others, just started, claimed for a moment to reach the store, when connections to them hung for as long as a
// heartbeat may take, and when workers went from one to the next.
func TestLeasesOutliveRestartsInAnOutage(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		runScenario(t, seed, 3, fastTimings, func(c *cluster) {
			c.startJobs(12)
			old := c.leader()
			c.store.SetOutage(true)
			time.Sleep(4 * s)
			c.crash(old, 6*s)
			c.crash(c.others(old)[0], 6*s)
			time.Sleep(20 * s)
			c.mu.Lock()
			ended := 0
			for _, r := range c.workers {
				if r.model.Incarnation > 1 {
					ended++
				}
			}
			c.mu.Unlock()
			if ended > 0 {
				t.Errorf("seed %d: leases of %d of %d machines ended", seed, ended, len(c.workers))
			}
			c.store.SetOutage(false)
			c.endOutage()
		})
	}
}
