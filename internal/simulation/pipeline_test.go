package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/daemon"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

// pipeline submits the jobs of a pipeline, each after its dependencies have been accepted, and returns their IDs: an
// array, two arrays that depend on it, a gang that depends on one of these, and an urgent array with a deadline that
// depends on the gang and the other array. If earlier is not empty, the first job depends on that job.
func (c *cluster) pipeline(earlier string) (ids []string) {
	type stage struct {
		shape        protocol.Shape
		tasks        int
		priority     protocol.Priority
		dependencies []int
	}
	stages := []stage{
		{protocol.Array, 2, "best_effort", nil},
		{protocol.Array, 3, "best_effort", []int{0}},
		{protocol.Array, 2, "best_effort", []int{0}},
		{protocol.Gang, 2, "normal", []int{1}},
		{protocol.Array, 1, "urgent", []int{2, 3}},
	}
	var accepted []chan struct{}
	for i, st := range stages {
		j := c.newJob(st.shape, st.tasks, 0)
		j.Priority, j.EstimateSeconds, j.DeadlineSeconds = st.priority, 5, 0
		if i == len(stages)-1 {
			j.DeadlineSeconds = 120
		}
		var before []chan struct{}
		for _, index := range st.dependencies {
			j.Dependencies = append(j.Dependencies, ids[index])
			before = append(before, accepted[index])
		}
		if i == 0 && earlier != "" {
			j.Dependencies = []string{earlier}
		}
		c.mu.Lock()
		c.world.RunTimes[j.ID] = 2*s + c.randomDuration("run time "+j.ID, 3*s)
		c.mu.Unlock()
		ids, accepted = append(ids, j.ID), append(accepted, make(chan struct{}))
		c.submitAfter(j, before, accepted[i])
	}
	return ids
}

// pipelines returns a step that submits n pipelines, about one per second. Some of them depend on a running job, and
// some of their jobs are cancelled.
func pipelines(n int) func(*cluster) {
	return func(c *cluster) {
		c.spawn(func() {
			for i := range n {
				time.Sleep(s + c.randomDuration(fmt.Sprint("pipeline ", i), 50*ms))
				earlier := ""
				if c.chance(fmt.Sprint("earlier ", i), 0.3) {
					earlier = c.runningArray()
				}
				for k, id := range c.pipeline(earlier) {
					if c.chance("call off "+id, 0.06) {
						time.AfterFunc(
							c.randomDuration("call off after "+id, time.Duration(5+5*k)*s),
							func() { c.cancelUntilFinal(id, c.controllers, 3*time.Minute) },
						)
					}
				}
				c.recordOccurrence("pipeline")
			}
		})
	}
}

// runningArray returns the ID of an array with a running task, or "" if there is none.
func (c *cluster) runningArray() string {
	for _, id := range c.runningJobs() {
		c.mu.Lock()
		shape := c.world.Jobs[id].Shape
		c.mu.Unlock()
		if shape == protocol.Array {
			return id
		}
	}
	return ""
}

// productionLevel is an option that starts all controllers with the feature level of the version in production.
func productionLevel(c *cluster) {
	c.features = func(int) daemon.Features { return daemon.Features{PinProductionLevel: true} }
}

// upgrade returns a step that restarts controllers with the current feature level in the given order, one per interval.
func upgrade(order []int, interval, downtime time.Duration) func(*cluster) {
	return func(c *cluster) {
		for i, node := range order {
			n := c.controllers[node%len(c.controllers)]
			time.AfterFunc(time.Duration(i)*interval, func() {
				n.features.PinProductionLevel = false
				c.recordOccurrence("upgraded")
				c.crash(n, downtime)
			})
		}
	}
}

// nextLimits are the lower limits of the key-value store that apply after an upgrade.
var nextLimits = config.FutureStoreLimits{WriteRPS: 20, ValueKB: 1, TxnOps: 5}

// announceLowerLimits is an option that makes the key-value store enforce its limits and announces lower ones in the
// settings.
func announceLowerLimits(c *cluster) {
	c.cfg.Store = config.StoreLimits{RPS: 150, WriteRPS: 40, ValueKB: 8, TxnOps: 16, Next: nextLimits}
	c.store.SetLimits(c.cfg.Store)
}

// lowerLimits is a step that lowers the limits of the key-value store to those that the settings announce.
func lowerLimits(c *cluster) {
	c.store.SetLimits(c.cfg.Store.Lowest())
	c.recordOccurrence("limits")
}

// lowerLimitsOnceUpgraded is a step that lowers the limits of the key-value store once all controllers have recorded a
// feature level.
func lowerLimitsOnceUpgraded(c *cluster) {
	c.spawn(func() {
		for c.ctx.Err() == nil && c.levelsRecorded() < len(c.controllers) {
			time.Sleep(10 * ms)
		}
		lowerLimits(c)
	})
}

// levelsRecorded returns the number of controllers that have recorded a feature level.
func (c *cluster) levelsRecorded() int {
	pairs, _ := c.store.List("feature/node/")
	return len(pairs)
}

// pipelineScenarios are scenarios that combine pipelines with faults during cancellations, completions and failovers.
var pipelineScenarios = []scenario{
	{
		name:        "quiet",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(8)},
		},
		occurred: []string{"pipeline", "cancelled"},
	},
	{
		name:        "close looks",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, queryAfterAnswers)},
			{0, pipelines(10)},
		},
		occurred: []string{"looks", "cancelled"},
	},
	{
		name:        "leaders end",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(12)},
			{6 * s, crashLeader(5 * s)},
			{14 * s, crashLeader(300 * ms)},
			{22 * s, crashLeader(5 * s)},
		},
		occurred: []string{"crash", "cancelled"},
	},
	{
		name:        "all controllers end",
		controllers: 5,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(10)},
			{7 * s, crashAllControllers(14 * s)},
			{40 * s, crashAllControllers(300 * ms)},
		},
		occurred: []string{"crash", "cancelled"},
	},
	{
		name:        "an outage longer than a cancellation takes, after the leader alone is refused",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(12)},
			{8 * s, during(50*s, refuseLeader)},
			{8 * s, cancelJobs(3, 0)},
			{9 * s, during(48*s, storeOutage)},
			{60 * s, pipelines(4)},
		},
		occurred: []string{"refused", "outage", "cancelled"},
	},
	{
		name:        "the leader is cut from the service and the others",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(12)},
			{5 * s, during(45*s, isolateLeader)},
			{8 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"apart", "cancelled"},
	},
	{
		name:        "transactions come late",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, delayedWrites(0.25))},
			{0, pipelines(12)},
			{15 * s, crashLeader(5 * s)},
		},
		occurred: []string{"write", "cancelled"},
	},
	{
		name:        "only answers are lost",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, lostReplies(0.3))},
			{0, pipelines(12)},
			{18 * s, crashLeader(300 * ms)},
		},
		occurred: []string{"write", "cancelled"},
	},
	{
		name:        "old reports, and machines are lost",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, during(60*s, duplicateHeartbeats(0.3))},
			{0, during(60*s, replayToNextLeader(0.3, 0))},
			{0, pipelines(12)},
			{6 * s, loseMachines(2)},
			{9 * s, crashLeader(5 * s)},
			{15 * s, loseMachines(2)},
		},
		occurred: []string{"late report", "lost", "crash"},
	},
	{
		name:        "machines hang and are deaf",
		controllers: 3,
		timings:     slowTimings,
		steps: []step{
			{0, pipelines(12)},
			{5 * s, during(20*s, holdReplies(3))},
			{8 * s, hangWorkers(3, 30*s)},
			{9 * s, cancelJobs(4, 0)},
			{12 * s, crashLeader(5 * s)},
		},
		occurred: []string{"deaf", "hang", "cancelled"},
	},
	{
		name:        "ends and cancellations at one moment",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(10)},
			{0, cancelAtCompletion(10)},
			{10 * s, cancelAtCompletion(6)},
		},
		occurred: []string{"at end", "cancelled"},
	},
	{
		name:        "more work than room",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, overload(16)},
			{5 * s, pipelines(12)},
			{20 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"pipeline", "cancelled"},
	},
	{
		name:        "a zone is cut off",
		controllers: 3,
		timings:     fastTimings,
		steps: []step{
			{0, pipelines(12)},
			{6 * s, during(30*s, isolateZone)},
			{20 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"zone"},
	},
}

// TestPipelineScenarios runs pipelines with faults. No task may start before all dependencies of its job are done, no
// job may stay queued after a dependency was cancelled, no other rule may be violated, and all jobs must be served in
// the end.
func TestPipelineScenarios(t *testing.T) {
	runScenarios(t, 800, pipelineScenarios, func(c *cluster, x *scenario) {
		c.runToCompletion(x.steps, x.occurred)
		c.checkRecords()
	})
}

// TestLimitsBelowTheSettings checks that controllers work with a key-value store whose limits are lower than the
// settings say. Transactions and values that the store rejects must be made smaller until everything is recorded.
func TestLimitsBelowTheSettings(t *testing.T) {
	runScenario(t, 880, 3, fastTimings, func(c *cluster) {
		c.startJobs(9)
		lower := c.cfg.Store
		lower.ValueKB, lower.TxnOps = 0.4, 2
		c.store.SetLimits(lower)
		c.runToCompletion(
			[]step{{0, pipelines(8)}, {0, overload(8)}, {10 * s, crashLeader(5 * s)}, {15 * s, cancelJobs(3, 0)}},
			[]string{"pipeline", "cancelled"},
		)
		c.checkRecords()
		if c.store.Usage().TooLarge == 0 {
			t.Error("no transaction was rejected for its size, so the test did not exercise the limits")
		}
	}, announceLowerLimits)
}

// checkRecords checks that no live record is left of a job for which a user was told a final state.
func (c *cluster) checkRecords() {
	c.t.Helper()
	pairs, _ := c.store.List(storage.LiveJobPrefix)
	for _, p := range pairs {
		id := strings.TrimPrefix(p.Key, storage.LiveJobPrefix)
		if state, ended := c.answers.FinalState(id); ended {
			c.t.Errorf("%s is %s, but its live record still exists", id, state)
		}
	}
}

// maxTooLargeTxns is the maximum number of transactions that may be rejected for their size during an upgrade. The
// limits are lowered when the last controller has recorded its feature level, and transactions may be too large until
// the level is final.
const maxTooLargeTxns = 12

// checkUpgraded checks that the current feature level is recorded, that no placement page of the old layout is left,
// and that at most maxTooLargeTxns transactions were rejected for their size.
func (c *cluster) checkUpgraded() {
	c.t.Helper()
	c.checkRecords()
	term := c.store.Get(storage.TermKey)
	if rec, err := storage.DecodeTerm(term.Value); err != nil || rec.FeatureLevel != int(featurelevel.Current) {
		c.t.Errorf("term record without the current feature level: %+v, error %v", rec, err)
	}
	pairs, _ := c.store.List(storage.PlacementPrefix)
	for _, p := range pairs {
		if name, err := storage.ParsePageKey(p.Key, 1); err != nil || !name.Layout.Compact {
			c.t.Errorf("placement page %s of the old layout is left, error %v", p.Key, err)
		}
	}
	if usage := c.store.Usage(); usage.TooLarge > maxTooLargeTxns {
		c.t.Errorf("%d transactions were rejected for their size", usage.TooLarge)
	}
}

// TestUpgradeScenarios checks upgrades. Controllers restart with the new feature level in various orders and with
// faults, and the limits of the key-value store are lowered once the last controller has recorded its level. Pipelines
// are rejected until the level is final and must be served then, and no rule may be violated.
func TestUpgradeScenarios(t *testing.T) {
	upgraded := []string{"upgraded", "limits", "pipeline"}
	up, down := []int{0, 1, 2}, []int{2, 1, 0}
	scenarios := []scenario{
		{
			name:        "one after the other",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(6)},
				{0, upgrade(up, 10*s, 5*s)},
				{34 * s, pipelines(8)},
			},
		},
		{
			name:        "the other way, at once back",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(6)},
				{0, upgrade(down, 3*s, 200*ms)},
				{9 * s, pipelines(8)},
			},
		},
		{
			name:        "all at once",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(4)},
				{1 * s, upgrade(up, 10*ms, 5*s)},
				{5 * s, pipelines(8)},
			},
		},
		{
			name:        "five, two of them twice",
			controllers: 5,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(8)},
				{0, upgrade([]int{3, 0, 4, 1, 2, 0, 3}, 4*s, 3*s)},
				{20 * s, pipelines(8)},
				{25 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "one stays away for long",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, upgrade([]int{0, 1}, 6*s, 5*s)},
				{10 * s, pipelines(4)},
				{40 * s, upgrade([]int{2}, s, 30*s)},
				{80 * s, pipelines(6)},
			},
		},
		{
			name:        "leaders end in the midst",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(10)},
				{0, upgrade(up, 8*s, 5*s)},
				{5 * s, crashLeader(300 * ms)},
				{12 * s, crashLeader(5 * s)},
				{18 * s, crashLeader(300 * ms)},
				{22 * s, crashLeader(5 * s)},
				{24 * s, pipelines(8)},
			},
		},
		{
			name:        "an outage as the last is back",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(8)},
				{0, upgrade(up, 8*s, 5*s)},
				{20900 * ms, during(20*s, storeOutage)},
				{22 * s, pipelines(8)},
				{24 * s, cancelJobs(3, 0)},
			},
		},
		{
			name:        "an outage throughout",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(4)},
				{2 * s, during(30*s, storeOutage)},
				{3 * s, upgrade(up, 8*s, 5*s)},
				{30 * s, pipelines(8)},
			},
		},
		{
			name:        "transactions come late",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, during(60*s, delayedWrites(0.2))},
				{0, submitBatches(8)},
				{1 * s, upgrade(down, 8*s, 5*s)},
				{24 * s, pipelines(8)},
			},
		},
		{
			name:        "answers are lost",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, during(60*s, lostReplies(0.3))},
				{0, submitBatches(8)},
				{1 * s, upgrade(up, 8*s, 5*s)},
				{24 * s, pipelines(8)},
				{26 * s, crashLeader(5 * s)},
			},
		},
		{
			name:        "old reports, lost machines, cancellations",
			controllers: 3,
			timings:     slowTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, during(60*s, duplicateHeartbeats(0.3))},
				{0, submitBatches(8)},
				{1 * s, upgrade(up, 8*s, 5*s)},
				{6 * s, loseMachines(2)},
				{10 * s, cancelJobs(4, 20*s)},
				{24 * s, pipelines(8)},
				{30 * s, crashLeader(5 * s)},
			},
		},
		{
			name:        "the leader is refused, then cut off",
			controllers: 3,
			timings:     fastTimings,
			steps: []step{
				{0, lowerLimitsOnceUpgraded},
				{0, submitBatches(8)},
				{0, upgrade(up, 8*s, 5*s)},
				{6 * s, during(15*s, refuseLeader)},
				{22 * s, during(25*s, isolateLeader)},
				{24 * s, pipelines(8)},
				{26 * s, cancelJobs(3, 0)},
			},
		},
	}
	runScenarios(t, 850, scenarios, func(c *cluster, x *scenario) {
		c.runToCompletion(x.steps, upgraded)
		c.checkUpgraded()
	}, productionLevel, announceLowerLimits)
}

// TestRandomUpgrades checks upgrades in random orders with random faults while pipelines are submitted.
func TestRandomUpgrades(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 11))
			controllers := []int{3, 3, 5}[rng.IntN(3)]
			steps, names := randomScenario(rng)
			steps = append(
				[]step{
					{0, lowerLimitsOnceUpgraded},
					{0, pipelines(15)},
					{
						0,
						upgrade(
							rng.Perm(controllers),
							time.Duration(1+rng.IntN(10))*s,
							[]time.Duration{200 * ms, 5 * s}[rng.IntN(2)],
						),
					},
				},
				steps...)
			t.Log(names)
			runScenario(
				t,
				seed,
				controllers,
				[]config.Workers{fastTimings, fastTimings, slowTimings}[rng.IntN(3)],
				func(c *cluster) { c.runToCompletion(steps, nil) },
				productionLevel,
				announceLowerLimits,
			)
		})
	}
}
