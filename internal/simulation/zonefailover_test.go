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

// withZoneFailover enables zone failover at the controllers that a function selects.
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

// withSingleZone leaves one zone in the settings and the cloud.
func withSingleZone(c *cluster) {
	c.cfg.Zones = []string{"a"}
	c.types[0].Zones = []string{"a"}
}

// Troubles of a zone.

// inZone returns a function that selects the workers of a zone.
func inZone(zone string) func(*workerProcess) bool {
	return func(r *workerProcess) bool { return r.machine.Zone == zone }
}

// zoneOfGangs stands for the zone in which most tasks of gangs run.
const zoneOfGangs = "of gangs"

// resolveZone returns the zone that a scenario names.
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

// silenceZone blocks all links of the machines of a zone. Only a share of the machines is still there when that ends.
func silenceZone(zone string, share float64) fault {
	return func(c *cluster) func() {
		c.recordOccurrence("zone silent")
		zone := c.resolveZone(zone)
		workers := c.selectWorkers(99, inZone(zone))
		c.setZoneDead(zone, true)
		var ends []func()
		for _, r := range workers {
			ends = append(ends, c.blockLink("*", r.ip), c.blockLink(r.ip, "*"))
		}
		return func() {
			c.mu.Lock()
			for i, r := range workers {
				if float64(i) >= share*float64(len(workers)) {
					c.cloud.Remove(r.machine.Name)
				}
			}
			c.mu.Unlock()
			c.setZoneDead(zone, false)
			for _, f := range ends {
				f()
			}
		}
	}
}

// killZone takes all machines of a zone away, and rents out none there until that ends.
func killZone(zone string) fault {
	return func(c *cluster) func() {
		c.recordOccurrence("zone dead")
		zone := c.resolveZone(zone)
		c.setZoneDead(zone, true)
		for _, r := range c.selectWorkers(99, inZone(zone)) {
			c.mu.Lock()
			c.cloud.Remove(r.machine.Name)
			c.mu.Unlock()
		}
		return func() { c.setZoneDead(zone, false) }
	}
}

// setZoneDead sets whether machines can be rented in a zone.
func (c *cluster) setZoneDead(zone string, dead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadZones[zone] = dead
}

// crashLeaderOnLoan is a step that makes the leader crash when it writes a loan, before or after the write is applied.
func crashLeaderOnLoan(carriedOut bool) func(c *cluster) {
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
			time.AfterFunc(0, crashLeaderAtOnce(c))
			if carriedOut {
				return Outcome{}
			}
			return Outcome{Delay: 10 * time.Minute}
		})
	}
}

// crashLeaderAtOnce returns a function that crashes the leader.
func crashLeaderAtOnce(c *cluster) func() { return func() { c.crash(c.leader(), 5*s) } }

// writesLoan says whether an operation records a loan.
func writesLoan(op protocol.Op) bool {
	if !strings.HasPrefix(op.PutKey, storage.ZoneFailoverPrefix) {
		return false
	}
	var rec storage.ZoneFailoverRecord
	return protocol.Decode(op.Value, &rec) == nil && len(rec.Loans) > 0
}

// Jobs.

// submitZoneJobs fills the fleet: critical replicas over both zones, urgent gangs in one, and lower
// arrays of both teams that save or not.
func submitZoneJobs(c *cluster) {
	for i := range 3 {
		j := c.newJob(protocol.Service, 1+i, 2)
		j.Spread = i > 0
		c.submit(j)
	}
	for i := range 3 {
		j := c.newJob(protocol.Gang, 1+i%2, 8)
		j.Priority, j.SameZone, j.CheckpointIntervalSeconds, j.SaveSeconds, j.Team = "urgent", true, 5, 1, "red"
		c.submit(j)
	}
	c.submitArrays(6)
}

// submitArrays submits arrays of the lowest priority.
func (c *cluster) submitArrays(n int) {
	for i := range n {
		j := c.newJob(protocol.Array, 4, 2)
		j.Priority = "best_effort"
		if i%2 == 0 {
			j.CheckpointIntervalSeconds, j.SaveSeconds = 5, 1
		}
		c.mu.Lock()
		c.world.RunTimes[j.ID] = 15 * s
		c.mu.Unlock()
		c.submit(j)
	}
}

// lowPriorityArrays submits arrays as a step of a scenario.
func lowPriorityArrays(n int) func(*cluster) { return func(c *cluster) { c.submitArrays(n) } }

// watchLoans has the oracle of loans look at the records.
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

func (c *cluster) observeLoans(o *LoanOracle) {
	var rows []storage.LoanRow
	pairs, _ := c.store.List(storage.ZoneFailoverPrefix)
	for _, p := range pairs {
		rec, err := storage.DecodeZoneFailover(p)
		if err != nil {
			c.t.Errorf("zone return record: %v", err)
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

// checkLoans demands that all loans have ended, and that no rule on lending was broken.
func (c *cluster) checkLoans(loans *LoanOracle) {
	c.t.Helper()
	on := c.leader().features.ZoneFailover != nil
	fenced := c.logCount("is returned for")
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		loans.CheckAllClosed() // a leader without it leaves the records alone
	}
	for _, broken := range loans.Violations {
		c.t.Error(broken)
	}
	c.t.Logf("%d loans, %d machines fenced for a return", loans.LoanCount, fenced)
}

// runZoneScenario plays a scenario of a zone's loss under all oracles.
func runZoneScenario(
	t *testing.T,
	seed uint64,
	w config.Workers,
	steps []step,
	happened []string,
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
		) // until what is never repaid is written off
		c.checkAllServed()
		c.checkLoans(loans)
		for _, what := range happened {
			if c.occurrences(what) == 0 && c.logCount(what) == 0 {
				t.Errorf("%s did not happen", what)
			}
		}
	}, options...)
}

// zoneScenarios are losses of a zone, with other faults.
var zoneScenarios = []scenario{
	{
		name:    "cut off and back",
		timings: fastTimings,
		steps: []step{
			{0, lowPriorityArrays(12)},
			{8 * s, during(60*s, silenceZone(zoneOfGangs, 1))},
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
	// How many machines the second cut finds depends on how many the first has cost; that a flap
	// is told as one is TestZoneStates' to show.
	{
		name:    "flaps twice in a minute",
		timings: fastTimings,
		steps: []step{
			{0, during(25*s, silenceZone("b", 1))},
			{5 * s, lowPriorityArrays(4)},
			{35 * s, during(20*s, silenceZone("b", 1))},
		},
		occurred: []string{"is lost", "is returning"},
	},
	{
		name:    "back with half of its machines",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, silenceZone("b", 0.5))},
			{10 * s, lowPriorityArrays(6)},
		},
		occurred: []string{"is lost", "is returning", "returning and is available"},
	},
	{
		name:    "back while the leader changes",
		timings: fastTimings,
		steps: []step{
			{0, during(50*s, silenceZone("b", 1))},
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
			{8 * s, during(80*s, silenceZone(zoneOfGangs, 1))},
		},
		occurred: []string{"is lost", "crash on loan"},
	},
	{
		name:    "the leader ends when its loan is written",
		timings: fastTimings,
		steps: []step{
			{0, crashLeaderOnLoan(true)},
			{0, lowPriorityArrays(12)},
			{8 * s, during(80*s, silenceZone(zoneOfGangs, 1))},
		},
		occurred: []string{"is lost", "crash on loan"},
	},
	{
		name:    "the state service is out during the loss",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, silenceZone("b", 1))},
			{10 * s, during(25*s, storeOutage)},
			{40 * s, lowPriorityArrays(4)},
		},
		occurred: []string{"is lost", "outage"},
	},
	{
		name:    "both zones in turn",
		timings: fastTimings,
		steps: []step{
			{0, during(22*s, silenceZone("b", 1))},
			{5 * s, lowPriorityArrays(4)},
			{60 * s, lowPriorityArrays(4)},
			{70 * s, during(40*s, silenceZone("a", 1))},
		},
		occurred: []string{"zone b was suspected and is lost", "zone a was suspected and is lost"},
	},
	{
		name:    "cancelled lenders and borrowers",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, silenceZone(zoneOfGangs, 1))},
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
			{10 * s, during(50*s, silenceZone("b", 1))},
			{20 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"is lost"},
	},
	{
		name:    "slowly",
		timings: slowTimings,
		steps: []step{
			{0, during(130*s, silenceZone("b", 1))},
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

// hangZone is a step that makes all machines of a zone execute nothing for a while.
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

// TestZoneFailover runs every loss of a zone.
func TestZoneFailover(t *testing.T) {
	for i, m := range zoneScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			runZoneScenario(t, uint64(400+i), m.timings, m.steps, m.occurred, withZoneFailover(everywhere))
		})
	}
}

// TestZoneFailoverMixed: controllers with and without the flag in one set break no rule, and neither does a leader with
// it after one without it.
func TestZoneFailoverMixed(t *testing.T) {
	for _, on := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(on), func(t *testing.T) {
			t.Parallel()
			steps := []step{
				{0, during(70*s, silenceZone("b", 1))},
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

// TestZoneFailoverTeamLimits: as long as the tasks of a lost zone are not known to have ended, they count toward the
// limit of their team, which no task elsewhere may exceed.
func TestZoneFailoverTeamLimits(t *testing.T) {
	limits := func(c *cluster) {
		c.cfg.Teams = []config.Team{{Name: "red", MaxGPUs: 32}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 24}}
	}
	steps := []step{{0, overload(14)}, {10 * s, during(50*s, silenceZone("b", 1))}, {20 * s, cancelJobs(2, 0)}}
	runZoneScenario(t, 455, fastTimings, steps, []string{"is lost"}, withZoneFailover(everywhere), limits)
}

// TestZoneFailoverSingleZone: with a single zone in the settings nothing changes, and the log says so.
func TestZoneFailoverSingleZone(t *testing.T) {
	runScenario(t, 450, 3, fastTimings, func(c *cluster) {
		c.startJobs(9)
		heal := silenceZone("a", 1)(c)
		time.Sleep(20 * s)
		heal()
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
		if c.logCount("a single zone, nothing to do") == 0 || c.logCount("is lost") > 0 {
			t.Error("the log does not say that there is nothing to do")
		}
	}, withZoneFailover(everywhere), withSingleZone)
}

// randomZoneLoss returns a loss of a zone with two to four other faults.
func randomZoneLoss(rng *rand.Rand) []step {
	zone := []string{"a", "b"}[rng.IntN(2)]
	away := time.Duration(10+rng.IntN(70)) * s
	loss := []func(*cluster){
		during(away, silenceZone(zone, 1)),
		during(away, silenceZone(zone, 0.5)),
		during(away, killZone(zone)),
	}[rng.IntN(3)]
	steps := []step{{0, loss}, {3 * s, lowPriorityArrays(3 + rng.IntN(4))}}
	if rng.IntN(2) == 0 {
		steps = append(steps, step{away + time.Duration(5+rng.IntN(20))*s, during(25*s, silenceZone(zone, 1))})
	}
	drawn, _ := randomScenario(rng)
	return append(steps, drawn[:min(len(drawn), 2+rng.IntN(3))]...)
}

// TestRandomZoneLosses combines losses of a zone with other random faults.
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
