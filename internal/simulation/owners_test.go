package simulation

import (
	"strings"
	"testing"
	"time"

	"pinebay/internal/daemon"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Lines of the log.
const (
	logEpochInEffect = "ownership epoch active"
	logEpochEnded    = "ownership lost"
)

// standstill makes a controller look as if it were paused: nothing that it sends arrives, and nothing reaches it, until
// all of it arrives at once.
func standstill(which func(*cluster) *controller) fault {
	return func(c *cluster) func() {
		n := which(c)
		c.recordOccurrence("standstill")
		out, in := c.blockLink(n.ip, "*"), c.blockLink("*", n.ip)
		return func() { out(); in() }
	}
}

// currentLeader returns the leader.
func currentLeader(c *cluster) *controller { return c.leader() }

// secondFollower returns a controller that does not lead, and another one than firstFollower.
func secondFollower(c *cluster) *controller { return c.others(c.leader())[1] }

// crashFollower is a step that crashes a controller that does not lead.
func crashFollower(back time.Duration) func(*cluster) {
	return func(c *cluster) { c.crash(firstFollower(c), back) }
}

// atOnce combines several steps into one.
func atOnce(steps ...func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		for _, do := range steps {
			do(c)
		}
	}
}

// ownershipWrites gives the transactions that change the ownership of machines another outcome.
func ownershipWrites(fate Outcome) fault {
	return func(c *cluster) func() {
		c.store.SetOutcomes(outcomeForKey(c, storage.OwnershipKey, fate))
		return func() { c.store.SetOutcomes(nil) }
	}
}

// ownerScenarios are failures of controllers that own machines.
var ownerScenarios = []scenario{
	{
		name:        "quiet",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, submissionStorm(30 * s)},
		},
	},
	{
		name:        "an owner ends",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, crashFollower(25 * s)},
			{1 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"crash", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "an owner ends and is back within a moment",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, crashFollower(300 * ms)},
			{5 * s, crashFollower(300 * ms)},
		},
		occurred: []string{"crash"},
	},
	{
		name:        "the leader ends",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, crashLeader(25 * s)},
			{2 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"crash", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "two of five at once",
		controllers: 5,
		timings:     fastTimings,
		steps: []step{
			{0, atOnce(crashLeader(25*s), crashFollower(25*s))},
			{3 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"crash", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "an owner stands still for longer than the suspicion window",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(20*s, standstill(firstFollower))},
			{200 * ms, cancelJobs(3, 0)},
			{4 * s, cancelJobs(3, 0)},
			{19900 * ms, cancelJobs(2, 0)},
		},
		occurred: []string{"standstill", "cancelled"},
		logged:   []string{logVerdict, logEpochEnded},
	},
	{
		name:        "the same, slowly",
		controllers: 5,
		timings:     slowTimings,
		steps: []step{
			{0, during(60*s, standstill(firstFollower))},
			{200 * ms, cancelJobs(3, 0)},
			{30 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"standstill", "cancelled"},
		logged:   []string{logVerdict, logEpochEnded},
	},
	{
		name:        "the leader stands still",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(25*s, standstill(currentLeader))},
			{1 * s, cancelJobs(3, 0)},
			{10 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"standstill", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "an owner stands still again and again",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(12*s, standstill(firstFollower))},
			{25 * s, during(12*s, standstill(firstFollower))},
			{50 * s, during(12*s, standstill(firstFollower))},
			{52 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"standstill", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "one link is cut",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(40*s, blockLeaderLink)},
			{5 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"link", "cancelled"},
	},
	{
		name:        "slow owners",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(40*s, slowController(200*ms, firstFollower))},
			{5 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"slow", "cancelled"},
	},
	{
		name:        "all end during a verdict",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, crashFollower(25 * s)},
			{4500 * ms, crashAllControllers(2 * s)},
			{6 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"crash", "cancelled"},
	},
	{
		name:        "the verdict's transaction is carried out and its answer lost",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(30*s, ownershipWrites(Outcome{}))},
			{0, crashFollower(25 * s)},
			{5 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"crash", "ownership write"},
		logged:   []string{logVerdict},
	},
	{
		name:        "the verdict's transaction comes late, from a deposed leader",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(12*s, ownershipWrites(Outcome{Delay: 9 * s}))},
			{0, crashFollower(25 * s)},
			{6 * s, crashLeader(5 * s)},
			{7 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"crash", "ownership write"},
	},
	{
		name:        "the new owner ends within its handover",
		controllers: 5,
		timings:     fastTimings,
		steps: []step{
			{0, crashFollower(40 * s)},
			{5 * s, crashFollower(20 * s)},
			{8 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"crash", "cancelled"},
		logged:   []string{logVerdict},
	},
	{
		name:        "the leader is refused, then the service is out",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, refuseLeader)},
			{500 * ms, cancelJobs(4, 0)},
			{1500 * ms, during(50*s, storeOutage)},
			{4 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"refused", "outage"},
	},
	{
		name:        "an owner stands still in an outage",
		controllers: 5,
		timings:     fastTimings,
		steps: []step{
			{0, during(50*s, storeOutage)},
			{2 * s, during(20*s, standstill(firstFollower))},
			{3 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"outage", "standstill"},
	},
	{
		name:        "workers reach only an owner that is cut from the others",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(30*s, isolateZone)},
			{3 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"zone", "cancelled"},
	},
	{
		name:        "machines are deaf and mute",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(20*s, holdReplies(3))},
			{0, during(20*s, loseHeartbeats(3))},
			{2 * s, cancelJobs(4, 0)},
			{8 * s, crashFollower(5 * s)},
		},
		occurred: []string{"deaf", "cancelled"},
	},
	{
		name:        "cancelled and hung as an owner ends",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, cancelJobs(4, 60*s)},
			{100 * ms, crashFollower(20 * s)},
			{1 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"hang", "cancelled", "crash"},
	},
	{
		name:        "old reports and late transactions",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, duplicateHeartbeats(0.3))},
			{0, during(40*s, delayedWrites(0.2))},
			{0, pipelines(8)},
			{5 * s, crashFollower(5 * s)},
			{12 * s, crashLeader(5 * s)},
			{20 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"late report", "crash"},
	},
	{
		name:        "pipelines, and owners that end in turn",
		controllers: 5,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(12)},
			{3 * s, crashFollower(5 * s)},
			{12 * s, crashLeader(5 * s)},
			{20 * s, during(15*s, standstill(secondFollower))},
			{24 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"pipeline", "crash"},
	},
	{
		name:        "ten leaders",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, staggeredCompletions(6)},
			{0, crashLeader(5 * s)},
			{8 * s, crashLeader(5 * s)},
			{16 * s, crashLeader(300 * ms)},
			{20 * s, cancelJobs(3, 20*s)},
			{24 * s, crashLeader(5 * s)},
			{32 * s, crashLeader(300 * ms)},
			{40 * s, crashLeader(5 * s)},
		},
		occurred: []string{"crash"},
	},
}

// TestOwners runs failures of owners under all oracles: no rule is broken, no confirmed cancellation misses its time,
// no final answer changes, and all jobs are served in the end. Verdicts take effect by the record.
func TestOwners(t *testing.T) {
	runScenarios(t, 900, ownerScenarios, func(c *cluster, x *scenario) {
		time.Sleep(60 * s) // until all count for majorities, and own machines
		c.runToCompletion(x.steps, x.occurred)
		c.checkOwnership()
		c.checkLog(x)
		if c.logCount(logEpochInEffect) == 0 {
			c.t.Errorf("the log does not say %q", logEpochInEffect)
		}
	}, withOwnership(everywhere))
}

// TestOwnersWithMixedSettings: if the feature is enabled at some controllers only, or during an upgrade, those without
// it own nothing and serve as before.
func TestOwnersWithMixedSettings(t *testing.T) {
	one := func(node int) bool { return node == 1 }
	two := func(node int) bool { return node > 0 }
	scenarios := []scenario{
		{
			name:    "on at one",
			timings: fastTimings,
			steps: []step{
				{0, crashLeader(5 * s)},
				{20 * s, cancelJobs(3, 0)},
				{25 * s, crashLeader(5 * s)},
			},
			options: []func(*cluster){withOwnership(one)},
		},
		{
			name:    "on at two",
			timings: fastTimings,
			steps: []step{
				{0, crashLeader(5 * s)},
				{20 * s, cancelJobs(3, 0)},
				{25 * s, crashFollower(20 * s)},
				{50 * s, crashLeader(5 * s)},
			},
			options: []func(*cluster){withOwnership(two)},
		},
		{
			name:    "with an upgrade from production in the midst",
			timings: fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, upgrade([]int{2, 0, 1}, 8*s, 5*s)},
				{4 * s, cancelJobs(3, 0)},
				{24 * s, pipelines(6)},
				{40 * s, crashFollower(20 * s)},
			},
			options: []func(*cluster){announceLowerLimits, func(c *cluster) {
				c.features = func(int) daemon.Features {
					return daemon.Features{PinProductionLevel: true, Ownership: true}
				}
			}},
		},
	}
	runScenarios(t, 940, scenarios, func(c *cluster, x *scenario) { c.runToCompletion(x.steps, nil) })
}

// TestOwnersTakeTheLoad: with owners, the leader gets heartbeats of its own machines, and those of others only if
// something has changed; without, it gets all. No rule depends on that: it is the purpose of ownership.
func TestOwnersTakeTheLoad(t *testing.T) {
	const machines = 12
	connections := func(options ...func(*cluster)) (leader, most int) {
		runScenario(t, 950, 3, fastTimings, func(c *cluster) {
			c.startJobs(9)
			for range 6 {
				c.submit(c.newJob("daemon", 2, 2))
			}
			time.Sleep(2 * time.Minute)
			before := map[string]int{}
			for _, n := range c.controllers {
				before[n.name] = c.workerPacketsTo(n)
			}
			time.Sleep(time.Minute)
			for _, n := range c.controllers {
				got := c.workerPacketsTo(n) - before[n.name]
				if n == c.leader() {
					leader = got
				}
				most = max(most, got)
			}
		}, options...)
		return leader, most
	}
	without, _ := connections()
	with, most := connections(withOwnership(everywhere))
	t.Logf("heartbeats to the leader in a minute, of at most %d machines: %d without owners, %d with; "+
		"most to one controller %d",
		machines,
		without,
		with,
		most,
	)
	if with > without*2/3 || most > without*2/3 {
		t.Errorf(
			"reports to the leader in a minute: %d without owners, %d with; most to one controller %d",
			without,
			with,
			most,
		)
	}
}

// TestOwnersThatShutDown: all controllers but the leader are stopped one after the other, and come back. Their workers
// have moved before they end: nobody sends them heartbeats any more, no lease expires, and no task is started again.
func TestOwnersThatShutDown(t *testing.T) {
	runScenario(t, 970, 5, fastTimings, func(c *cluster) {
		time.Sleep(60 * s)
		c.startJobs(9)
		time.Sleep(30 * s)
		for _, n := range c.others(c.leader()) {
			n.process.Drain(c.ctx)
			before := c.workerPacketsTo(n)
			time.Sleep(2 * s)
			if got := c.workerPacketsTo(n) - before; got > 0 {
				t.Errorf("%s gets %d packets of workers after it has left", n.name, got)
			}
			c.crash(n, 5*s)
			time.Sleep(60 * s)
		}
		c.mu.Lock()
		for name, r := range c.workers {
			if r.model.Incarnation > 1 {
				t.Errorf("the lease of %s has ended", name)
			}
		}
		c.mu.Unlock()
		if n := c.logCount("drain completed"); n != 4 {
			t.Errorf("%d of 4 controllers were drained", n)
		}
		c.checkOwnership()
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
	}, withOwnership(everywhere))
}

// TestVerdictTakesEffectOnce: two controllers reach the verdict at the same time, and the record of one of them alone
// takes effect: epochs follow one another, and each has one set of owners on every controller.
func TestVerdictTakesEffectOnce(t *testing.T) {
	runScenario(t, 960, 5, fastTimings, func(c *cluster) {
		c.startJobs(9)
		time.Sleep(60 * s)
		n := firstFollower(c)
		c.crash(n, 60*s)
		time.Sleep(30 * s)
		c.logWriter.mu.Lock()
		lines := strings.Split(c.logs.String(), "\n")
		c.logWriter.mu.Unlock()
		owners := map[string]string{}
		verdicts := 0
		for _, line := range lines {
			if !strings.Contains(line, logEpochInEffect) {
				continue
			}
			_, rest, _ := strings.Cut(line, "epoch=")
			epoch, rest, _ := strings.Cut(rest, " ")
			if was, ok := owners[epoch]; ok && was != rest {
				t.Errorf("epoch %s is %q on one controller and %q on another", epoch, was, rest)
			}
			owners[epoch] = rest
			if strings.Contains(rest, "verdict: controller "+n.name) {
				verdicts++
			}
		}
		if verdicts == 0 || verdicts > 4 {
			t.Errorf("the verdict is in force on %d of 4 controllers that are left", verdicts)
		}
		for epoch, what := range owners {
			if strings.Contains(what, "verdict: controller "+n.name) &&
				strings.Contains(strings.SplitN(what, "reason", 2)[0], n.name) {
				t.Errorf("epoch %s: %s still owns machines: %s", epoch, n.name, what)
			}
		}
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
	}, withOwnership(everywhere))
}

// checkOwnership checks each ownership record: its writer led when it was written, and epochs follow one another.
func (c *cluster) checkOwnership() {
	c.t.Helper()
	terms, _ := c.store.ChangesSince(storage.TermKey, 0)
	records, _ := c.store.ChangesSince(storage.OwnershipKey, 0)
	epoch := uint64(0)
	for _, e := range records {
		rec, err := storage.DecodeOwnership(e.Value)
		if err != nil {
			c.t.Errorf("ownership record: %v", err)
			continue
		}
		term := uint64(0)
		for _, at := range terms {
			if at.Revision > e.Revision {
				break
			}
			r, err := storage.DecodeTerm(at.Value)
			if err != nil {
				c.t.Errorf("term record: %v", err)
			}
			term = r.Term
		}
		if rec.Term != term || rec.Epoch != epoch+1 {
			c.t.Errorf(
				"epoch %d of term %d came into force in term %d after epoch %d",
				rec.Epoch,
				rec.Term,
				term,
				epoch,
			)
		}
		epoch = rec.Epoch
	}
}

// outcomeForKey returns a function that gives the transactions that write a key another outcome.
func outcomeForKey(c *cluster, key string, fate Outcome) func(string, *protocol.Txn) Outcome {
	return func(_ string, txn *protocol.Txn) Outcome {
		for _, op := range txn.Then {
			if op.PutKey == key {
				c.recordOccurrence("ownership write")
				return fate
			}
		}
		return Outcome{Reply: true}
	}
}

// workerPacketsTo returns the number of packets that workers have sent to a controller.
func (c *cluster) workerPacketsTo(n *controller) (packets int) {
	for _, r := range c.selectWorkers(99, nil) {
		packets += c.net.Packets(r.ip, n.ip)
	}
	return packets
}
