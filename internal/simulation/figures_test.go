package simulation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// zoneLosses are the kinds of losses that are measured.
var zoneLosses = []struct {
	name string
	do   func(c *cluster)
}{
	{"cut 60 s", during(60*s, silenceZone(zoneOfGangs, 1))},
	{"cut 100 s", during(100*s, silenceZone(zoneOfGangs, 1))},
	{"dead", during(100*s, killZone(zoneOfGangs))},
	{"halved", during(60*s, silenceZone(zoneOfGangs, 0.5))},
	{"flapping", func(c *cluster) {
		during(20*s, silenceZone("b", 1))(c)
		time.AfterFunc(26*s, func() { during(20*s, silenceZone("b", 1))(c) })
	}},
}

// lossCost is the cost of a loss by the shape of jobs: the task-seconds that were lost, and when the shape had
// recovered.
type lossCost struct {
	down        map[protocol.Shape]float64
	recoveredAt map[protocol.Shape]time.Duration
	lent        int
	lostS       float64 // by lenders
	starts      int
}

// TestZoneFailoverFigures measures the cost of losing a zone with and without zone failover. It checks nothing, and
// runs only with PINEBAY_FIGURES set.
func TestZoneFailoverFigures(t *testing.T) {
	if os.Getenv("PINEBAY_FIGURES") == "" {
		t.Skip("a measurement: set PINEBAY_FIGURES")
	}
	const seeds = 5
	for _, loss := range zoneLosses {
		for _, on := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on %v", loss.name, on), func(t *testing.T) {
				sum := lossCost{down: map[protocol.Shape]float64{}, recoveredAt: map[protocol.Shape]time.Duration{}}
				for seed := uint64(1); seed <= seeds; seed++ {
					runScenario(
						t,
						700+seed,
						3,
						fastTimings,
						func(c *cluster) { c.measureLoss(loss.do, &sum) },
						withZoneFailover(func(int) bool { return on }),
					)
				}
				for _, shape := range []protocol.Shape{protocol.Service, protocol.Gang, protocol.Array} {
					t.Logf(
						"FIGURE %-10s on=%-5v %-7s down %6.0f s, whole after %5.0f s",
						loss.name,
						on,
						shape,
						sum.down[shape]/seeds,
						sum.recoveredAt[shape].Seconds()/seeds,
					)
				}
				t.Logf(
					"FIGURE %-10s on=%-5v %.1f loans, %.0f s lost by lenders, %.0f starts",
					loss.name,
					on,
					float64(sum.lent)/seeds,
					sum.lostS/seeds,
					float64(sum.starts)/seeds,
				)
			})
		}
	}
}

// measureLoss runs a loss and adds up its cost.
func (c *cluster) measureLoss(loss func(*cluster), sum *lossCost) {
	loans := c.watchLoans()
	time.Sleep(5 * s)
	submitZoneJobs(c)
	c.submitArrays(12)
	time.Sleep(30 * s)
	before := c.runningByShape()
	c.mu.Lock()
	starts := c.world.Starts
	c.mu.Unlock()
	loss(c)
	last := map[protocol.Shape]time.Duration{}
	from := c.now()
	for c.now()-from < 200*s {
		time.Sleep(time.Second)
		for shape, n := range before {
			if missing := n - c.runningByShape()[shape]; missing > 0 {
				sum.down[shape] += float64(missing)
				last[shape] = c.now() - from
			}
		}
	}
	for shape, at := range last {
		sum.recoveredAt[shape] += at
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sum.lent += loans.LoanCount
	sum.lostS += loans.LostSeconds
	sum.starts += c.world.Starts - starts
}

// runningByShape returns the number of tasks that run or are done, by the shape of their jobs.
func (c *cluster) runningByShape() map[protocol.Shape]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[protocol.Shape]int{}
	for _, m := range c.world.Workers {
		for id, task := range m.Tasks {
			if task.State == protocol.TaskRunning && !c.world.Done[id] {
				n[c.world.Jobs[id.JobID].Shape]++
			}
		}
	}
	for id := range c.world.Done {
		n[c.world.Jobs[id.JobID].Shape]++
	}
	return n
}
