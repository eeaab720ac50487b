package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/daemon"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

// withZoneFailover returns an option that enables zone failover at the controllers that the function on selects by
// index. The option also shortens boot times and limits the capacity of each zone.
func withZoneFailover(on func(node int) bool) func(*cluster) {
	return func(c *cluster) {
		c.features = func(node int) daemon.Features {
			if !on(node) {
				return daemon.Features{}
			}
			return daemon.Features{ZoneFailover: zonefailover.DefaultRecoveryOrder()}
		}
		c.bootTime = func(name string) time.Duration {
			return 3*time.Second + c.randomDuration("boot "+name, 3*time.Second)
		}
		c.zoneCapacity = 6
		c.cfg.Teams = []config.Team{{Name: "red"}, {Name: "blue", GuaranteedGPUs: 8}}
	}
}

// everywhere selects all controllers.
func everywhere(int) bool { return true }

// withSingleZone removes all zones but one from the settings and the cloud.
func withSingleZone(c *cluster) {
	c.cfg.Zones = []string{"a"}
	c.types[0].Zones = []string{"a"}
}

// inZone returns a function that selects the workers in a zone.
func inZone(zone string) func(*workerProcess) bool {
	return func(r *workerProcess) bool { return r.machine.Zone == zone }
}

// zoneOfGangs is a placeholder for the zone in which most tasks of gangs run when the fault begins.
const zoneOfGangs = "of gangs"

// resolveZone returns the zone that a scenario names, after resolving zoneOfGangs.
func (c *cluster) resolveZone(zone string) string {
	if zone != zoneOfGangs {
		return zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tasks := map[string]int{}
	for _, m := range c.world.Workers {
		for id := range m.Tasks {
			if c.world.Jobs[id.JobID].Shape == protocol.Gang {
				tasks[m.Zone]++
			}
		}
	}
	if tasks["a"] > tasks["b"] {
		return "a"
	}
	return "b"
}

// disconnectZone blocks all links of the machines in a zone and prevents rentals there. When the fault ends, only the
// given share of the machines is left.
func disconnectZone(zone string, share float64) fault {
	return func(c *cluster) func() {
		c.recordOccurrence("zone silent")
		zone := c.resolveZone(zone)
		workers := c.selectWorkers(99, inZone(zone))
		c.setRentalsBlocked(zone, true)
		endPartition := c.isolateWorkers(zone)
		return func() {
			c.mu.Lock()
			for i, r := range workers {
				if float64(i) >= share*float64(len(workers)) {
					c.cloud.Remove(r.machine.Name)
				}
			}
			c.mu.Unlock()
			c.setRentalsBlocked(zone, false)
			endPartition()
		}
	}
}

// killZone removes all machines in a zone and prevents rentals there until the fault ends.
func killZone(zone string) fault {
	return func(c *cluster) func() {
		c.recordOccurrence("zone dead")
		zone := c.resolveZone(zone)
		c.setRentalsBlocked(zone, true)
		for _, r := range c.selectWorkers(99, inZone(zone)) {
			c.mu.Lock()
			c.cloud.Remove(r.machine.Name)
			c.mu.Unlock()
		}
		return func() { c.setRentalsBlocked(zone, false) }
	}
}

// setRentalsBlocked sets whether rentals of machines in a zone are rejected.
func (c *cluster) setRentalsBlocked(zone string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zonesWithoutRentals[zone] = blocked
}

// crashLeaderOnLoan returns a step that makes the leader crash when it first writes a loan. If applied is set, the
// write is applied before the crash.
func crashLeaderOnLoan(applied bool) func(c *cluster) {
	return func(c *cluster) {
		done := false
		c.store.SetOutcomes(func(_ string, t *protocol.Txn) Outcome {
			loan := slices.ContainsFunc(t.Then, func(op protocol.Op) bool { return writesLoan(op) })
			c.mu.Lock()
			defer c.mu.Unlock()
			if !loan || done {
				return Outcome{Reply: true}
			}
			done = true
			c.occurred["crash on loan"]++
			time.AfterFunc(0, crashLeaderFunc(c))
			if applied {
				return Outcome{}
			}
			return Outcome{Delay: 10 * time.Minute}
		})
	}
}

// crashLeaderFunc returns a function that crashes the leader for 5 s.
func crashLeaderFunc(c *cluster) func() { return func() { c.crash(c.leader(), 5*s) } }

// writesLoan reports whether an operation records a loan.
func writesLoan(op protocol.Op) bool {
	if !strings.HasPrefix(op.PutKey, storage.ZoneFailoverPrefix) {
		return false
	}
	var rec storage.ZoneFailoverRecord
	return protocol.Decode(op.Value, &rec) == nil && len(rec.Loans) > 0
}

// submitZoneJobs fills the machines with jobs: critical services that are spread over both zones, urgent single-zone
// gangs, and low-priority arrays of both teams, with and without checkpoints.
func submitZoneJobs(c *cluster) {
	for i := range 3 {
		j := c.newJob(protocol.Service, 1+i, 2)
		j.Spread = i > 0
		c.submit(j)
	}
	for i := range 3 {
		j := c.newJob(protocol.Gang, 1+i%2, 8)
		j.Priority, j.SameZone, j.Team = "urgent", true, "red"
		j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 5, 1
		c.submit(j)
	}
	c.submitArrays(6)
}

// submitArrays submits n arrays of the lowest priority.
func (c *cluster) submitArrays(n int) {
	for i := range n {
		j := c.newJob(protocol.Array, 4, 2)
		j.Priority = "best_effort"
		if i%2 == 0 {
			j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 5, 1
		}
		c.mu.Lock()
		c.world.RunTimes[j.ID] = 15 * s
		c.mu.Unlock()
		c.submit(j)
	}
}

// lowPriorityArrays returns a step that submits n arrays of the lowest priority.
func lowPriorityArrays(n int) func(*cluster) { return func(c *cluster) { c.submitArrays(n) } }

// watchLoans returns a LoanOracle that checks the zone failover records every 20 ms.
func (c *cluster) watchLoans() *LoanOracle {
	o := NewLoanOracle()
	c.spawn(func() {
		for c.ctx.Err() == nil {
			time.Sleep(20 * ms)
			c.observeLoans(o)
		}
	})
	return o
}

// observeLoans passes the recorded loans to an oracle.
func (c *cluster) observeLoans(o *LoanOracle) {
	var rows []storage.LoanRow
	pairs, _ := c.store.List(storage.ZoneFailoverPrefix)
	for _, p := range pairs {
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			c.t.Errorf("decode zone failover record: %v", err)
			continue
		}
		rows = append(rows, rec.Loans...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o.CheckRecords(rows, func(row storage.LoanRow) LenderObservation {
		return LenderObservation{
			LenderLevel:   c.world.Jobs[row.Lender].Priority.Rank(),
			BorrowerLevel: c.world.Jobs[row.Borrower].Priority.Rank(),
		}
	})
	c.occurred["loan"] = o.LoanCount
}

// checkLoans checks that all loans have ended and that the oracle has found no violation.
func (c *cluster) checkLoans(loans *LoanOracle) {
	c.t.Helper()
	on := c.leader().features.ZoneFailover != nil
	fenced := c.logCount("is returned for")
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		loans.CheckAllClosed() // a leader without zone failover does not close loans
	}
	for _, violation := range loans.Violations {
		c.t.Error(violation)
	}
	c.t.Logf("%d loans, %d machines fenced and returned to the cloud", loans.LoanCount, fenced)
}

// runZoneScenario runs a scenario with a zone failure and checks all oracles. Each of occurred must be a recorded event
// or occur in the log.
func runZoneScenario(
	t *testing.T,
	seed uint64,
	w config.Workers,
	steps []step,
	occurred []string,
	options ...func(*cluster),
) {
	t.Helper()
	runScenario(t, seed, 3, w, func(c *cluster) {
		loans := c.watchLoans()
		time.Sleep(5 * s)
		submitZoneJobs(c)
		time.Sleep(25 * s)
		c.runSteps(steps)
		time.Sleep(
			20*config.Seconds(c.cfg.Workers.CancelSeconds) + 2*time.Minute,
		) // until loans that are not repaid are written off
		c.checkAllServed()
		c.checkLoans(loans)
		for _, what := range occurred {
			if c.occurrences(what) == 0 && c.logCount(what) == 0 {
				t.Errorf("%q is neither a recorded event nor in the log, so the scenario did not exercise it", what)
			}
		}
	}, options...)
}

// zoneScenarios are zone failures, some combined with other faults.
var zoneScenarios = []scenario{
	{
		name:    "cut off and back",
		timings: fastTimings,
		steps: []step{
			{0, lowPriorityArrays(12)},
			{8 * s, during(60*s, disconnectZone(zoneOfGangs, 1))},
		},
		occurred: []string{
			"zone silent",
			"is lost",
			"recovery order",
			"loan",
			"decision=\"loan",
			": repaid",
			"is returning",
		},
	},
	{
		name:    "dead and back",
		timings: fastTimings,
		steps: []step{
			{0, during(70*s, killZone("b"))},
			{10 * s, lowPriorityArrays(6)},
		},
		occurred: []string{"zone dead"},
	},
	// The number of machines that the second failure affects depends on how many the first one has cost. TestZoneStates
	// checks that a flap is detected as one.
	{
		name:    "flaps twice in a minute",
		timings: fastTimings,
		steps: []step{
			{0, during(25*s, disconnectZone("b", 1))},
			{5 * s, lowPriorityArrays(4)},
			{35 * s, during(20*s, disconnectZone("b", 1))},
		},
		occurred: []string{"is lost", "is returning"},
	},
	{
		name:    "back with half of its machines",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, disconnectZone("b", 0.5))},
			{10 * s, lowPriorityArrays(6)},
		},
		occurred: []string{"is lost", "is returning", "returning and is available"},
	},
	{
		name:    "back while the leader changes",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, disconnectZone("b", 1))},
			{10 * s, lowPriorityArrays(4)},
			{49 * s, crashLeader(5 * s)},
			{52 * s, crashLeader(300 * ms)},
		},
		occurred: []string{"is lost", "crash", "is returning"},
	},
	{
		name:    "the leader ends before its loan is written",
		timings: fastTimings,
		steps: []step{
			{0, crashLeaderOnLoan(false)},
			{0, lowPriorityArrays(12)},
			{8 * s, during(80*s, disconnectZone(zoneOfGangs, 1))},
		},
		occurred: []string{"is lost", "crash on loan"},
	},
	{
		name:    "the leader ends when its loan is written",
		timings: fastTimings,
		steps: []step{
			{0, crashLeaderOnLoan(true)},
			{0, lowPriorityArrays(12)},
			{8 * s, during(80*s, disconnectZone(zoneOfGangs, 1))},
		},
		occurred: []string{"is lost", "crash on loan"},
	},
	{
		name:    "the state service is out during the loss",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, disconnectZone("b", 1))},
			{10 * s, during(25*s, storeOutage)},
			{40 * s, lowPriorityArrays(4)},
		},
		occurred: []string{"is lost", "outage"},
	},
	{
		name:    "both zones in turn",
		timings: fastTimings,
		steps: []step{
			{0, during(22*s, disconnectZone("b", 1))},
			{5 * s, lowPriorityArrays(4)},
			{60 * s, lowPriorityArrays(4)},
			{70 * s, during(40*s, disconnectZone("a", 1))},
		},
		occurred: []string{"zone b was suspected and is lost", "zone a was suspected and is lost"},
	},
	{
		name:    "cancelled lenders and borrowers",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, disconnectZone(zoneOfGangs, 1))},
			{5 * s, lowPriorityArrays(4)},
			{18 * s, cancelJobs(3, 0)},
			{22 * s, cancelJobs(3, 0)},
			{30 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"is lost", "cancelled"},
	},
	{
		name:    "hung machines with cancelled tasks in the lost zone",
		timings: slowTimings,
		steps: []step{
			{0, cancelJobs(4, 100*s)},
			{100 * ms, hangZone("b", 100*s)},
			{100 * ms, lowPriorityArrays(4)},
		},
		occurred: []string{"hang", "cancelled"},
	},
	{
		name:    "a crowd of every level",
		timings: fastTimings,
		steps: []step{
			{0, overload(14)},
			{10 * s, during(50*s, disconnectZone("b", 1))},
			{20 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"is lost"},
	},
	{
		name:    "slowly",
		timings: slowTimings,
		steps: []step{
			{0, during(130*s, disconnectZone("b", 1))},
			{5 * s, lowPriorityArrays(6)},
			{140 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"is lost", "is returning", "returning and is available"},
	},
	{
		name:    "a controller is cut off with it",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, isolateZone)},
			{5 * s, lowPriorityArrays(4)},
			{20 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"zone", "cancelled"},
	},
}

// hangZone returns a step that suspends all machines in a zone for a while.
func hangZone(zone string, d time.Duration) func(c *cluster) {
	return func(c *cluster) {
		workers := c.selectWorkers(99, inZone(zone))
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range workers {
			if !r.model.Hung {
				r.hang(d)
			}
		}
	}
}

// TestZoneFailover checks all scenarios with zone failures.
func TestZoneFailover(t *testing.T) {
	for i, m := range zoneScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			runZoneScenario(t, uint64(400+i), m.timings, m.steps, m.occurred, withZoneFailover(everywhere))
		})
	}
}

// TestZoneFailoverMixed checks that no rule is violated if zone failover is enabled at only one of the controllers,
// including when a leader with it follows one without it.
func TestZoneFailoverMixed(t *testing.T) {
	for _, on := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			t.Parallel()
			steps := []step{
				{0, during(70*s, disconnectZone("b", 1))},
				{5 * s, lowPriorityArrays(4)},
				{25 * s, crashLeader(8 * s)},
				{45 * s, crashLeader(8 * s)},
			}
			runZoneScenario(
				t,
				uint64(440+on),
				fastTimings,
				steps,
				[]string{"crash"},
				withZoneFailover(func(node int) bool { return node == on }),
			)
		})
	}
}

// TestZoneFailoverTeamLimits checks that no team exceeds its limit during a zone failure. Tasks in the lost zone count
// toward the limit until they are known to have ended.
func TestZoneFailoverTeamLimits(t *testing.T) {
	limits := func(c *cluster) {
		c.cfg.Teams = []config.Team{{Name: "red", MaxGPUs: 32}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 24}}
	}
	steps := []step{{0, overload(14)}, {10 * s, during(50*s, disconnectZone("b", 1))}, {20 * s, cancelJobs(2, 0)}}
	runZoneScenario(t, 455, fastTimings, steps, []string{"is lost"}, withZoneFailover(everywhere), limits)
}

// TestZoneFailoverSingleZone checks that zone failover does nothing and logs this if the settings have a single zone.
func TestZoneFailoverSingleZone(t *testing.T) {
	runScenario(t, 450, 3, fastTimings, func(c *cluster) {
		c.startJobs(9)
		repair := disconnectZone("a", 1)(c)
		time.Sleep(20 * s)
		repair()
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
		if c.logCount("a single zone, nothing to do") == 0 || c.logCount("is lost") > 0 {
			t.Error(
				"the log does not say that there is nothing to do, or says that the zone is lost",
			)
		}
	}, withZoneFailover(everywhere), withSingleZone)
}

// randomZoneLoss returns steps with a random zone failure and other random faults.
func randomZoneLoss(rng *rand.Rand) []step {
	zone := []string{"a", "b"}[rng.IntN(2)]
	duration := time.Duration(10+rng.IntN(70)) * s
	loss := []func(*cluster){
		during(duration, disconnectZone(zone, 1)),
		during(duration, disconnectZone(zone, 0.5)),
		during(duration, killZone(zone)),
	}[rng.IntN(3)]
	steps := []step{{0, loss}, {3 * s, lowPriorityArrays(3 + rng.IntN(4))}}
	if rng.IntN(2) == 0 {
		steps = append(steps, step{duration + time.Duration(5+rng.IntN(20))*s, during(25*s, disconnectZone(zone, 1))})
	}
	randomSteps, _ := randomScenario(rng)
	return append(steps, randomSteps[:min(len(randomSteps), 2+rng.IntN(3))]...)
}

// TestRandomZoneLosses checks random zone failures combined with other random faults.
func TestRandomZoneLosses(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 19))
			steps := randomZoneLoss(rng)
			slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
			runZoneScenario(
				t,
				seed,
				[]config.Workers{fastTimings, fastTimings, slowTimings}[rng.IntN(3)],
				steps,
				nil,
				withZoneFailover(everywhere),
			)
		})
	}
}
