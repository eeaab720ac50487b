package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testutil"
)

// step is what happens at a time after the jobs of a scenario have started.
type step struct {
	at time.Duration
	do func(c *cluster)
}

// runToCompletion runs the steps of a scenario, and checks some time after the last one that all jobs are served.
// occurred are occurrences that must be recorded.
func (c *cluster) runToCompletion(steps []step, happened []string) {
	c.startJobs(12)
	c.runSteps(steps)
	time.Sleep(2*config.Seconds(c.cfg.Workers.CancelSeconds) + 6*time.Minute)
	c.checkAllServed()
	for _, h := range happened {
		if c.occurrences(h) == 0 {
			c.t.Errorf("%s did not happen", h)
		}
	}
}

// runSteps runs steps at their times, from a moment at which no timer of the controllers or the world is due: the order
// of two events at one moment is random.
func (c *cluster) runSteps(steps []step) {
	from := c.now() + c.randomDuration("begin", ms)
	for _, st := range steps {
		time.Sleep(from + st.at - c.now())
		st.do(c)
	}
}

// randomScenario returns a scenario of four to seven faults within a minute or so, and their names.
func randomScenario(rng *rand.Rand) (steps []step, names []string) {
	lasts := func(least, most int) time.Duration {
		return time.Duration(least*1000+rng.IntN((most-least)*1000)) * ms
	}
	back := []time.Duration{200 * ms, 5 * s, 14 * s}[rng.IntN(3)]
	vocabulary := []struct {
		name string
		do   func(c *cluster)
	}{
		{"refuse the leader", during(lasts(2, 40), refuseLeader)},
		{"outage", during(lasts(2, 60), storeOutage)},
		{"leader apart", during(lasts(2, 40), isolateLeader)},
		{"crash the leader", crashLeader(back)},
		{"crash all", crashAllControllers(back)},
		{"zone cut", during(lasts(3, 40), isolateZone)},
		{"mute", during(lasts(3, 40), loseHeartbeats(3))},
		{"deaf", during(lasts(3, 40), holdReplies(3))},
		{"hang", hangWorkers(3, lasts(3, 60))},
		{"late writes", during(lasts(5, 50), delayedWrites(0.25))},
		{"lost answers", during(lasts(5, 50), lostReplies(0.3))},
		{"slow writes", during(lasts(5, 50), slowWrites(0.5, s))},
		{"late reports", during(lasts(10, 60), duplicateHeartbeats(0.2))},
		{"for the next", during(lasts(20, 60), replayToNextLeader(0.3, 0))},
		{"close looks", during(lasts(20, 60), queryAfterAnswers)},
		{"cancels", cancelJobs(4, 0)},
		{"cancels and hang", cancelJobs(4, lasts(10, 60))},
		{"storm", submissionStorm(lasts(10, 40))},
		{"ends far apart", staggeredCompletions(5)},
		{"at end", cancelAtCompletion(5)},
		{"crowd", overload(10)},
		{"lose", loseMachines(2)},
		{"quick boots", during(lasts(20, 60), fastBoots)},
	}
	at := time.Duration(0)
	for range 4 + rng.IntN(4) {
		v := vocabulary[rng.IntN(len(vocabulary))]
		if at > 0 && rng.IntN(2) == 0 {
			at += time.Duration(rng.IntN(1500)) * ms
		} else {
			at += time.Duration(rng.IntN(12000)) * ms
		}
		steps = append(steps, step{at, v.do})
		names = append(names, fmt.Sprintf("%v %s", at, v.name))
		if rng.IntN(3) == 0 {
			after := at + time.Duration(rng.IntN(2500))*ms
			steps = append(steps, step{after, cancelJobs(2, 0)})
			at = after
		}
	}
	return steps, names
}

// TestRandomScenarios runs random scenarios.
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
