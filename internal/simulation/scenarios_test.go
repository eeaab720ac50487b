package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testutil"
)

// startJobs submits jobs of all shapes and waits until they run. It fails the test if fewer than half of them do.
func (c *cluster) startJobs(jobs int) {
	time.Sleep(5 * time.Second)
	c.submitMixture(jobs)
	time.Sleep(35 * time.Second)
	if n := len(c.runningJobs()); n < jobs/2 {
		c.t.Fatalf("only %d of %d jobs are running, want at least half", n, jobs)
	}
}

// cancelRunning cancels up to n running jobs at the target controllers and returns the number of cancellations that
// were confirmed.
func (c *cluster) cancelRunning(n int, targets []*controller, within time.Duration) int {
	ids := c.runningJobs()
	confirmed := make(chan bool, len(ids))
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		c.spawn(func() { confirmed <- c.cancelUntilFinal(id, targets, within) })
	}
	count := 0
	for range ids {
		if <-confirmed {
			count++
		}
	}
	return count
}

// storeFailure is a scenario in which the key-value store first refuses the leader only, while other controllers
// confirm cancellations, and then is unavailable to all, in most cases for longer than a cancellation may take.
type storeFailure struct {
	refusal       time.Duration // time from the refusal to the outage
	outageFactor  float64       // duration of the outage as a multiple of the time that a cancellation may take
	leaderCrashes bool          // the leader crashes instead of being refused
	// confirmerFault is the fault of the controllers that confirmed cancellations, if any: "killed", "one killed",
	// "back at once" for a quick restart of one of them, or "cut" for a partition of one from the other controllers.
	confirmerFault string
	// leaderFault is another fault of the leader, if any: "cut" for a partition from the other controllers or, instead
	// of the refusal, "apart" for a partition from the store and the other controllers.
	leaderFault           string
	cancellationsExpected bool // there is enough time to confirm cancellations
	// workerFault is the fault of machines with tasks of cancelled jobs, if any: "hung", "mute" if their heartbeats are
	// lost, or "deaf" if all packets to them are held back.
	workerFault string
}

// String describes the scenario in the log of a test.
func (g storeFailure) String() string {
	return fmt.Sprintf(
		"refusal=%v outage_factor=%.1f leader_crashes=%v confirmer_fault=%q leader_fault=%q worker_fault=%q",
		g.refusal,
		g.outageFactor,
		g.leaderCrashes,
		g.confirmerFault,
		g.leaderFault,
		g.workerFault,
	)
}

// run runs the scenario on a cluster.
func (g storeFailure) run(c *cluster) {
	c.startJobs(12)
	cancel := config.Seconds(c.cfg.Workers.CancelSeconds)
	old := c.leader()
	term := c.term()
	others := c.others(old)
	repair := func() {}
	switch {
	case g.leaderCrashes:
		c.crash(old, 6*time.Second)
	case g.leaderFault == "apart":
		repair = isolateLeader(c)
	default:
		c.store.SetRefused(old.ip, true)
	}
	time.Sleep(g.refusal / 2)
	confirmed := c.cancelRunning(6, others, g.refusal/2)
	var unreachable []*workerProcess
	c.mu.Lock()
	for id := range c.world.Cancelled {
		workers := c.workersWithJob(id)
		if len(workers) == 0 {
			continue
		}
		switch r := workers[0]; g.workerFault {
		case "hung":
			if !r.model.Hung {
				r.hang(cancel * 3 / 2)
			}
		case "mute":
			r.HeartbeatsLost = true
			time.AfterFunc(cancel*3/2, func() { c.mu.Lock(); r.HeartbeatsLost = false; c.mu.Unlock() })
		case "deaf":
			unreachable = append(unreachable, r)
		}
	}
	c.mu.Unlock()
	for _, r := range unreachable {
		time.AfterFunc(cancel*3/2, c.blockLink("*", r.ip))
	}
	c.store.SetOutage(true)
	switch g.confirmerFault {
	case "killed":
		for _, n := range others {
			c.crash(n, 6*time.Second)
		}
	case "one killed":
		c.crash(others[0], 6*time.Second)
	case "back at once":
		c.crash(others[0], 200*ms)
	case "cut":
		repairFirst, repairSecond := repair, c.isolateFrom(others[0], c.others(others[0])...)
		repair = func() { repairFirst(); repairSecond() }
	}
	if g.leaderFault == "cut" {
		repairFirst, repairSecond := repair, c.isolateFrom(old, others...)
		repair = func() { repairFirst(); repairSecond() }
	}
	time.Sleep(time.Duration(float64(cancel) * g.outageFactor))
	c.store.SetOutage(false)
	time.Sleep(3 * time.Second)
	c.store.SetRefused(old.ip, false)
	repair()
	time.Sleep(2 * cancel)
	if confirmed == 0 && g.cancellationsExpected {
		c.t.Errorf("no cancellation was confirmed, so the test did not exercise any (terms %d to %d)", term, c.term())
	}
	time.Sleep(4 * cancel)
	c.checkAllServed()
}

// TestCancelledWhileLeaderCannotReachStore checks that tasks of cancelled jobs end in time although the leader cannot
// read the cancellations, in combination with other faults. The intents that a quorum of controllers holds make this
// work: without them, the first rows fail with ran_cancelled.
func TestCancelledWhileLeaderCannotReachStore(t *testing.T) {
	rows := []struct {
		controllers int
		w           config.Workers
		storeFailure
	}{
		{3, fastTimings, storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, cancellationsExpected: true}},
		{5, fastTimings, storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, cancellationsExpected: true}},
		{3, slowTimings, storeFailure{refusal: 2600 * ms, outageFactor: 1.3, cancellationsExpected: true}},
		{3, fastTimings, storeFailure{refusal: 2 * time.Second, outageFactor: 0.9, cancellationsExpected: true}},
		{3, fastTimings, storeFailure{refusal: time.Second, outageFactor: 2, cancellationsExpected: true}},
		{3, fastTimings, storeFailure{refusal: 20 * time.Second, outageFactor: 1.3, cancellationsExpected: true}},
		{3, fastTimings, storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, leaderCrashes: true}},
		{
			3,
			fastTimings,
			storeFailure{
				refusal:               2 * time.Second,
				outageFactor:          1.3,
				confirmerFault:        "one killed",
				cancellationsExpected: true,
			},
		},
		{
			3,
			fastTimings,
			storeFailure{
				refusal:               2 * time.Second,
				outageFactor:          1.3,
				confirmerFault:        "back at once",
				cancellationsExpected: true,
			},
		},
		{
			3,
			slowTimings,
			storeFailure{refusal: 2600 * ms, outageFactor: 1.3, confirmerFault: "killed", cancellationsExpected: true},
		},
		{
			3,
			fastTimings,
			storeFailure{
				refusal:               2 * time.Second,
				outageFactor:          1.3,
				confirmerFault:        "cut",
				cancellationsExpected: true,
			},
		},
		{
			3,
			fastTimings,
			storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, leaderFault: "cut", cancellationsExpected: true},
		},
		{
			5,
			slowTimings,
			storeFailure{
				refusal:               2600 * ms,
				outageFactor:          1.3,
				leaderFault:           "cut",
				confirmerFault:        "one killed",
				cancellationsExpected: true,
			},
		},
		{
			3,
			fastTimings,
			storeFailure{
				refusal:               2 * time.Second,
				outageFactor:          1.3,
				leaderFault:           "cut",
				confirmerFault:        "back at once",
				cancellationsExpected: true,
			},
		},
		{
			3,
			fastTimings,
			storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, workerFault: "hung", cancellationsExpected: true},
		},
		{
			3,
			slowTimings,
			storeFailure{refusal: 2600 * ms, outageFactor: 1.3, workerFault: "deaf", cancellationsExpected: true},
		},
		{
			3,
			fastTimings,
			storeFailure{refusal: 2 * time.Second, outageFactor: 1.3, workerFault: "mute", cancellationsExpected: true},
		},
		{
			3,
			fastTimings,
			storeFailure{refusal: time.Second, outageFactor: 1.5, leaderFault: "apart", cancellationsExpected: true},
		},
		{
			5,
			fastTimings,
			storeFailure{
				refusal:               time.Second,
				outageFactor:          1.5,
				leaderFault:           "apart",
				confirmerFault:        "one killed",
				cancellationsExpected: true,
			},
		},
		{
			3,
			fastTimings,
			storeFailure{refusal: 600 * ms, outageFactor: 1.5, leaderCrashes: true, cancellationsExpected: true},
		},
	}
	for i, r := range rows {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			t.Log(r.storeFailure)
			runScenario(t, uint64(i+1), r.controllers, r.w, r.run)
		})
	}
}

// randomStoreFailure returns a random store failure.
func randomStoreFailure(rng *rand.Rand) storeFailure {
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	return storeFailure{
		refusal: time.Duration(
			1000+rng.IntN(4000),
		) * ms,
		outageFactor:   0.8 + rng.Float64(),
		leaderCrashes:  rng.IntN(5) == 0,
		confirmerFault: pick("", "", "one killed", "killed", "back at once", "cut"),
		leaderFault:    pick("", "", "cut"),
		workerFault:    pick("", "", "hung", "mute", "deaf"),
	}
}

// TestRandomStoreFailures checks random store failures.
func TestRandomStoreFailures(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			g := randomStoreFailure(rng)
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

// s abbreviates time.Second in tables of scenarios.
const s = time.Second

// scenarios are combinations of faults that led to violations in earlier versions.
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

// TestScenarios checks that no scenario leads to a violation and that all jobs are served in the end.
func TestScenarios(t *testing.T) {
	runScenarios(t, 100, scenarios, func(c *cluster, x *scenario) { c.runToCompletion(x.steps, x.occurred) })
}

// TestLeasesOutliveRestartsInAnOutage checks that no worker lease expires if the leader and another controller crash
// and restart during an outage of the key-value store. The third controller renews the leases, and workers must find it
// in time, whichever controller they contact first. Leases used to expire because restarted controllers claimed for a
// moment that they reach the store, because connections to crashed controllers hung until the heartbeat timeout, and
// because workers moved from one controller to the next.
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
				t.Errorf("seed %d: the leases of %d of %d machines have expired", seed, ended, len(c.workers))
			}
			c.store.SetOutage(false)
			c.endOutage()
		})
	}
}
