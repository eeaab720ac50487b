package simulation

import (
	"strings"
	"testing"
	"time"

	"pinebay/internal/daemon"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Messages in the log.
const (
	logEpochInEffect = "ownership epoch active"
	logEpochEnded    = "ownership lost"
)

// pauseController makes a controller appear paused: all packets from and to it are queued, and delivered when the fault
// ends.
func pauseController(which func(*cluster) *controller) fault {
	return func(c *cluster) func() {
		n := which(c)
		c.recordOccurrence("standstill")
		out, in := c.blockLink(n.ip, "*"), c.blockLink("*", n.ip)
		return func() { out(); in() }
	}
}

// currentLeader returns the leader.
func currentLeader(c *cluster) *controller { return c.leader() }

// secondFollower returns the second controller that is not the leader.
func secondFollower(c *cluster) *controller { return c.others(c.leader())[1] }

// crashFollower returns a step that crashes the first controller that is not the leader.
func crashFollower(downtime time.Duration) func(*cluster) {
	return func(c *cluster) { c.crash(firstFollower(c), downtime) }
}

// combine returns a step that runs several steps at the same time.
func combine(steps ...func(*cluster)) func(*cluster) {
	return func(c *cluster) {
		for _, do := range steps {
			do(c)
		}
	}
}

// faultyOwnershipWrites replaces the outcome of all transactions that write the ownership record.
func faultyOwnershipWrites(outcome Outcome) fault {
	return func(c *cluster) func() {
		c.store.SetOutcomes(outcomeForKey(c, storage.OwnershipKey, outcome))
		return func() { c.store.SetOutcomes(nil) }
	}
}

// ownerScenarios are failures of controllers that own machines, which means that they serve the connections of the
// workers on these machines.
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
			{0, combine(crashLeader(25*s), crashFollower(25*s))},
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
			{0, during(20*s, pauseController(firstFollower))},
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
			{0, during(60*s, pauseController(firstFollower))},
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
			{0, during(25*s, pauseController(currentLeader))},
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
			{0, during(12*s, pauseController(firstFollower))},
			{25 * s, during(12*s, pauseController(firstFollower))},
			{50 * s, during(12*s, pauseController(firstFollower))},
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
			{0, during(30*s, faultyOwnershipWrites(Outcome{}))},
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
			{0, during(12*s, faultyOwnershipWrites(Outcome{Delay: 9 * s}))},
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
			{2 * s, during(20*s, pauseController(firstFollower))},
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
			{20 * s, during(15*s, pauseController(secondFollower))},
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

// TestOwners checks failures of owners: no rule may be violated, every confirmed cancellation must take effect in time,
// no final state may change, and all jobs must be served in the end. A verdict takes effect through the ownership
// record.
func TestOwners(t *testing.T) {
	runScenarios(t, 900, ownerScenarios, func(c *cluster, x *scenario) {
		time.Sleep(60 * s) // until all controllers count toward a majority and own machines
		c.runToCompletion(x.steps, x.occurred)
		c.checkOwnership()
		c.checkLog(x)
		if c.logCount(logEpochInEffect) == 0 {
			c.t.Errorf("the log does not contain %q", logEpochInEffect)
		}
	}, withOwnership(everywhere))
}

// TestOwnersWithMixedSettings checks clusters in which ownership is enabled at only some controllers or during an
// upgrade. Controllers without it own no machines and work as before.
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

// TestOwnersReduceLeaderLoad checks that ownership reduces the number of packets from workers to the leader. With
// owners, the leader receives the heartbeats of its own machines, and those of other machines only if their state has
// changed; without owners, it receives all of them. This is the purpose of ownership, although no rule of the protocol
// depends on it.
func TestOwnersReduceLeaderLoad(t *testing.T) {
	const machines = 12
	measurePackets := func(options ...func(*cluster)) (leader, most int) {
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
	without, _ := measurePackets()
	with, most := measurePackets(withOwnership(everywhere))
	t.Logf("packets of workers to the leader per minute, of at most %d machines: %d without owners, %d with; "+
		"maximum of all controllers %d",
		machines,
		without,
		with,
		most,
	)
	if with > without*2/3 || most > without*2/3 {
		t.Errorf(
			"packets per minute to the leader without owners: %d; with: %d, maximum %d, want at most 2/3 of the first",
			without,
			with,
			most,
		)
	}
}

// TestOwnerDrain checks that a controller which is stopped gracefully hands over its workers first. All controllers
// except the leader are drained, stopped and started again, one after the other. After a drain, no worker may send
// packets to the controller. No lease may expire, so no task is started again.
func TestOwnerDrain(t *testing.T) {
	runScenario(t, 970, 5, fastTimings, func(c *cluster) {
		time.Sleep(60 * s)
		c.startJobs(9)
		time.Sleep(30 * s)
		for _, n := range c.others(c.leader()) {
			n.process.Drain(c.ctx)
			before := c.workerPacketsTo(n)
			time.Sleep(2 * s)
			if got := c.workerPacketsTo(n) - before; got > 0 {
				t.Errorf("%s received %d packets from workers after it was drained", n.name, got)
			}
			c.crash(n, 5*s)
			time.Sleep(60 * s)
		}
		c.mu.Lock()
		for name, r := range c.workers {
			if r.model.Incarnation > 1 {
				t.Errorf("the lease of %s has expired", name)
			}
		}
		c.mu.Unlock()
		if n := c.logCount("drain completed"); n != 4 {
			t.Errorf("%d controllers were drained, want 4", n)
		}
		c.checkOwnership()
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
	}, withOwnership(everywhere))
}

// TestVerdictTakesEffectOnce checks that only one ownership record takes effect if several controllers reach a verdict
// about a crashed controller at the same time: each epoch must have the same owners at every controller, and the
// crashed controller must not be among them.
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
			if previous, ok := owners[epoch]; ok && previous != rest {
				t.Errorf("epoch %s is %q at one controller and %q at another", epoch, previous, rest)
			}
			owners[epoch] = rest
			if strings.Contains(rest, "verdict: controller "+n.name) {
				verdicts++
			}
		}
		if verdicts == 0 || verdicts > 4 {
			t.Errorf("the verdict took effect %d times, want 1 to 4 times at the remaining 4 controllers", verdicts)
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

// checkOwnership checks that each ownership record was written by the leader of the term at that time, and that epochs
// increase by one.
func (c *cluster) checkOwnership() {
	c.t.Helper()
	terms, _ := c.store.ChangesSince(storage.TermKey, 0)
	records, _ := c.store.ChangesSince(storage.OwnershipKey, 0)
	epoch := uint64(0)
	for _, e := range records {
		rec, err := storage.DecodeOwnership(e.Value)
		if err != nil {
			c.t.Errorf("decode ownership record: %v", err)
			continue
		}
		term := uint64(0)
		for _, at := range terms {
			if at.Revision > e.Revision {
				break
			}
			r, err := storage.DecodeTerm(at.Value)
			if err != nil {
				c.t.Errorf("decode term record: %v", err)
			}
			term = r.Term
		}
		if rec.Term != term || rec.Epoch != epoch+1 {
			c.t.Errorf(
				"epoch %d, written for term %d, took effect in term %d after epoch %d",
				rec.Epoch,
				rec.Term,
				term,
				epoch,
			)
		}
		epoch = rec.Epoch
	}
}

// outcomeForKey returns a function for Store.SetOutcomes that replaces the outcome of transactions that write a key.
func outcomeForKey(c *cluster, key string, outcome Outcome) func(string, *protocol.Txn) Outcome {
	return func(_ string, txn *protocol.Txn) Outcome {
		for _, op := range txn.Then {
			if op.PutKey == key {
				c.recordOccurrence("ownership write")
				return outcome
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
