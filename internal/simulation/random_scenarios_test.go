package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testutil"
)

// step is an action at a time after the jobs of a scenario have started.
type step struct {
	at time.Duration
	do func(c *cluster)
}

// runToCompletion starts jobs, runs the steps of a scenario and checks some minutes after the last one that all jobs
// are served and that the events in occurred were recorded.
func (c *cluster) runToCompletion(steps []step, occurred []string) {
	c.startJobs(12)
	c.runSteps(steps)
	time.Sleep(2*config.Seconds(c.cfg.Workers.CancelSeconds) + 6*time.Minute)
	c.checkAllServed()
	for _, what := range occurred {
		if c.occurrences(what) == 0 {
			c.t.Errorf("event %q did not occur, so the scenario did not exercise it", what)
		}
	}
}

// runSteps runs steps at their times. The random offset of the first step makes sure that no timer of the controllers
// or the models is due at the time of a step, because the order of two events at the same moment is random.
func (c *cluster) runSteps(steps []step) {
	from := c.now() + c.randomDuration("begin", ms)
	for _, st := range steps {
		time.Sleep(from + st.at - c.now())
		st.do(c)
	}
}

// randomScenario returns steps with four to seven random faults within about a minute, and the names of the faults.
func randomScenario(rng *rand.Rand) (steps []step, names []string) {
	randomSpan := func(minSeconds, maxSeconds int) time.Duration {
		return time.Duration(minSeconds*1000+rng.IntN((maxSeconds-minSeconds)*1000)) * ms
	}
	downtime := []time.Duration{200 * ms, 5 * s, 14 * s}[rng.IntN(3)]
	faults := []struct {
		name string
		do   func(c *cluster)
	}{
		{"refuse the leader", during(randomSpan(2, 40), refuseLeader)},
		{"outage", during(randomSpan(2, 60), storeOutage)},
		{"leader apart", during(randomSpan(2, 40), isolateLeader)},
		{"crash the leader", crashLeader(downtime)},
		{"crash all", crashAllControllers(downtime)},
		{"zone cut", during(randomSpan(3, 40), isolateZone)},
		{"mute", during(randomSpan(3, 40), loseHeartbeats(3))},
		{"deaf", during(randomSpan(3, 40), holdReplies(3))},
		{"hang", hangWorkers(3, randomSpan(3, 60))},
		{"late writes", during(randomSpan(5, 50), delayedWrites(0.25))},
		{"lost answers", during(randomSpan(5, 50), lostReplies(0.3))},
		{"slow writes", during(randomSpan(5, 50), slowWrites(0.5, s))},
		{"late reports", during(randomSpan(10, 60), duplicateHeartbeats(0.2))},
		{"for the next", during(randomSpan(20, 60), replayToNextLeader(0.3, 0))},
		{"close looks", during(randomSpan(20, 60), queryAfterAnswers)},
		{"cancels", cancelJobs(4, 0)},
		{"cancels and hang", cancelJobs(4, randomSpan(10, 60))},
		{"storm", submissionStorm(randomSpan(10, 40))},
		{"ends far apart", staggeredCompletions(5)},
		{"at end", cancelAtCompletion(5)},
		{"crowd", overload(10)},
		{"lose", loseMachines(2)},
		{"quick boots", during(randomSpan(20, 60), fastBoots)},
	}
	at := time.Duration(0)
	for range 4 + rng.IntN(4) {
		picked := faults[rng.IntN(len(faults))]
		if at > 0 && rng.IntN(2) == 0 {
			at += time.Duration(rng.IntN(1500)) * ms
		} else {
			at += time.Duration(rng.IntN(12000)) * ms
		}
		steps = append(steps, step{at, picked.do})
		names = append(names, fmt.Sprintf("%v %s", at, picked.name))
		if rng.IntN(3) == 0 {
			after := at + time.Duration(rng.IntN(2500))*ms
			steps = append(steps, step{after, cancelJobs(2, 0)})
			at = after
		}
	}
	return steps, names
}

// TestRandomScenarios checks random scenarios.
func TestRandomScenarios(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			steps, names := randomScenario(rng)
			t.Log(names)
			runScenario(
				t,
				seed,
				[]int{3, 3, 3, 5}[rng.IntN(4)],
				[]config.Workers{fastTimings, fastTimings, slowTimings}[rng.IntN(3)],
				func(c *cluster) { c.runToCompletion(steps, nil) },
			)
		})
	}
}
