package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/testkit"
)

// step is what happens at a time after the jobs have settled.
type step struct {
	at time.Duration
	do func(l *live)
}

// carryOut carries out the steps of a scenario, and demands that all is well once it is
// calm.
func (l *live) carryOut(steps []step, happened []string) {
	l.settle(12)
	l.playSteps(steps)
	time.Sleep(2*config.Seconds(l.cfg.Workers.CancelS) + 6*time.Minute)
	l.calm()
	for _, h := range happened {
		if l.count(h) == 0 {
			l.t.Errorf("%s did not happen", h)
		}
	}
}

// playSteps has every step happen at its time from a moment from now at which no timer of the
// controllers or the world is due: what happens first of two things at one moment is chance.
func (l *live) playSteps(steps []step) {
	from := l.now() + l.upTo("begin", ms)
	for _, st := range steps {
		time.Sleep(from + st.at - l.now())
		st.do(l)
	}
}

// drawScenario makes up a scenario of three to six troubles within a minute.
func drawScenario(rng *rand.Rand) (steps []step, names []string) {
	lasts := func(least, most int) time.Duration {
		return time.Duration(least*1000+rng.IntN((most-least)*1000)) * ms
	}
	back := []time.Duration{200 * ms, 5 * s, 14 * s}[rng.IntN(3)]
	vocabulary := []struct {
		name string
		do   func(l *live)
	}{
		{"refuse the leader", during(lasts(2, 40), refuseLeader)}, {"outage", during(lasts(2, 60), outage)},
		{"leader apart", during(lasts(2, 40), leaderApart)}, {"crash the leader", crashLeader(back)}, {"crash all", crashAll(back)},
		{"zone cut", during(lasts(3, 40), zoneCut)}, {"mute", during(lasts(3, 40), mute(3))}, {"deaf", during(lasts(3, 40), deaf(3))},
		{"hang", hang(3, lasts(3, 60))}, {"late writes", during(lasts(5, 50), lateWrites(0.25))},
		{"lost answers", during(lasts(5, 50), lostAnswers(0.3))}, {"slow writes", during(lasts(5, 50), slowWrites(0.5, s))},
		{"late reports", during(lasts(10, 60), lateReports(0.2))}, {"for the next", during(lasts(20, 60), forNext(0.3, 0))},
		{"close looks", during(lasts(20, 60), closeLooks)}, {"cancels", cancels(4, 0)}, {"cancels and hang", cancels(4, lasts(10, 60))},
		{"storm", storm(lasts(10, 40))}, {"ends far apart", apartEnds(5)}, {"at end", atEnd(5)}, {"crowd", crowd(10)}, {"lose", lose(2)},
		{"quick boots", during(lasts(20, 60), quickBoots)},
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
			steps = append(steps, step{after, cancels(2, 0)})
			at = after
		}
	}
	return steps, names
}

// TestDrawnScenarios plays scenarios that nobody named.
func TestDrawnScenarios(t *testing.T) {
	for seed := testkit.Seed(); seed < testkit.Seed()+10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 9))
			steps, names := drawScenario(rng)
			t.Log(names)
			play(t, seed, []int{3, 3, 3, 5}[rng.IntN(4)], []config.Workers{brisk, brisk, slow}[rng.IntN(3)], func(l *live) { l.carryOut(steps, nil) })
		})
	}
}
