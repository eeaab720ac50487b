package simulation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// losses are the kinds of losses that are measured.
var losses = []struct {
	name string
	do   func(l *live)
}{
	{"cut 60 s", during(60*s, zoneSilent(ofGangs, 1))},
	{"cut 100 s", during(100*s, zoneSilent(ofGangs, 1))},
	{"dead", during(100*s, zoneDead(ofGangs))},
	{"halved", during(60*s, zoneSilent(ofGangs, 0.5))},
	{"flapping", func(l *live) {
		during(20*s, zoneSilent("b", 1))(l)
		time.AfterFunc(26*s, func() { during(20*s, zoneSilent("b", 1))(l) })
	}},
}

// lossFigures is what a loss cost: for each shape of jobs the seconds of its tasks that did not run though
// they did before, and until when it was whole again.
type lossFigures struct {
	down   map[protocol.Shape]float64
	whole  map[protocol.Shape]time.Duration
	lent   int
	lostS  float64 // by lenders
	starts int
}

// TestZoneReturnFigures measures what losses of a zone cost with zone return and without. It is
// no check, and plays only when asked for: PINEBAY_FIGURES=1.
func TestZoneReturnFigures(t *testing.T) {
	if os.Getenv("PINEBAY_FIGURES") == "" {
		t.Skip("a measurement: set PINEBAY_FIGURES")
	}
	const seeds = 5
	for _, loss := range losses {
		for _, on := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, on %v", loss.name, on), func(t *testing.T) {
				sum := lossFigures{down: map[protocol.Shape]float64{}, whole: map[protocol.Shape]time.Duration{}}
				for seed := uint64(1); seed <= seeds; seed++ {
					play(t, 700+seed, 3, brisk, func(l *live) { l.measureLoss(loss.do, &sum) }, zoneReturnOn(func(int) bool { return on }))
				}
				for _, shape := range []protocol.Shape{protocol.Service, protocol.Gang, protocol.Array} {
					t.Logf("FIGURE %-10s on=%-5v %-7s down %6.0f s, whole after %5.0f s", loss.name, on, shape, sum.down[shape]/seeds, sum.whole[shape].Seconds()/seeds)
				}
				t.Logf("FIGURE %-10s on=%-5v %.1f loans, %.0f s lost by lenders, %.0f starts", loss.name, on, float64(sum.lent)/seeds, sum.lostS/seeds, float64(sum.starts)/seeds)
			})
		}
	}
}

// measureLoss plays a loss and adds up what it cost.
func (l *live) measureLoss(loss func(*live), sum *lossFigures) {
	loans := l.watchLoans()
	time.Sleep(5 * s)
	zoneJobs(l)
	l.moreArrays(12)
	time.Sleep(30 * s)
	before := l.runningByShape()
	l.mu.Lock()
	starts := l.world.Starts
	l.mu.Unlock()
	loss(l)
	last := map[protocol.Shape]time.Duration{}
	from := l.now()
	for l.now()-from < 200*s {
		time.Sleep(time.Second)
		for shape, n := range before {
			if missing := n - l.runningByShape()[shape]; missing > 0 {
				sum.down[shape] += float64(missing)
				last[shape] = l.now() - from
			}
		}
	}
	for shape, at := range last {
		sum.whole[shape] += at
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum.lent += loans.Seen
	sum.lostS += loans.LostS
	sum.starts += l.world.Starts - starts
}

// runningByShape counts the tasks that run, or are done, by their jobs' shapes.
func (l *live) runningByShape() map[protocol.Shape]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := map[protocol.Shape]int{}
	for _, m := range l.world.Workers {
		for id, task := range m.Tasks {
			if task.State == protocol.TaskRunning && !l.world.Done[id] {
				n[l.world.Jobs[id.Job].Shape]++
			}
		}
	}
	for id := range l.world.Done {
		n[l.world.Jobs[id.Job].Shape]++
	}
	return n
}
