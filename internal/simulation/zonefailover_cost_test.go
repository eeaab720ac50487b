package simulation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// zoneLosses are the zone failures whose cost is measured.
var zoneLosses = []struct {
	name string
	do   func(c *cluster)
}{
	{"cut 60 s", during(60*s, disconnectZone(zoneOfGangs, 1))},
	{"cut 100 s", during(100*s, disconnectZone(zoneOfGangs, 1))},
	{"dead", during(100*s, killZone(zoneOfGangs))},
	{"halved", during(60*s, disconnectZone(zoneOfGangs, 0.5))},
	{"flapping", func(c *cluster) {
		during(20*s, disconnectZone("b", 1))(c)
		time.AfterFunc(26*s, func() { during(20*s, disconnectZone("b", 1))(c) })
	}},
}

// lossCost adds up the cost of zone failures, partly by the shape of jobs.
type lossCost struct {
	lostTaskSeconds   map[protocol.Shape]float64       // missing tasks, summed over time, in task-seconds
	recoveredAt       map[protocol.Shape]time.Duration // time until no task was missing any more
	loanCount         int
	lenderLostSeconds float64 // work that lenders lost
	starts            int
}

// TestZoneFailoverFigures measures the cost of zone failures with and without zone failover. It checks nothing and is
// skipped unless PINEBAY_FIGURES is set.
func TestZoneFailoverFigures(t *testing.T) {
	if os.Getenv("PINEBAY_FIGURES") == "" {
		t.Skip("measurement; set PINEBAY_FIGURES to run it")
	}
	const seeds = 5
	for _, loss := range zoneLosses {
		for _, on := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on %v", loss.name, on), func(t *testing.T) {
				sum := lossCost{
					lostTaskSeconds: map[protocol.Shape]float64{},
					recoveredAt:     map[protocol.Shape]time.Duration{},
				}
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
						"FIGURE %-10s on=%-5v %-7s lost %6.0f task-seconds, recovered after %5.0f s",
						loss.name,
						on,
						shape,
						sum.lostTaskSeconds[shape]/seeds,
						sum.recoveredAt[shape].Seconds()/seeds,
					)
				}
				t.Logf(
					"FIGURE %-10s on=%-5v %.1f loans, %.0f s lost by lenders, %.0f starts",
					loss.name,
					on,
					float64(sum.loanCount)/seeds,
					sum.lenderLostSeconds/seeds,
					float64(sum.starts)/seeds,
				)
			})
		}
	}
}

// measureLoss runs a zone failure and adds its cost to sum.
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
				sum.lostTaskSeconds[shape] += float64(missing)
				last[shape] = c.now() - from
			}
		}
	}
	for shape, at := range last {
		sum.recoveredAt[shape] += at
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sum.loanCount += loans.LoanCount
	sum.lenderLostSeconds += loans.LostSeconds
	sum.starts += c.world.Starts - starts
}

// runningByShape returns the number of tasks that are running or done, by the shape of their jobs.
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
