package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
)

// settle starts a crew of jobs and waits until they run.
func (l *live) settle(jobs int) {
	time.Sleep(5 * time.Second)
	l.crew(jobs)
	time.Sleep(35 * time.Second)
	if n := len(l.running()); n < jobs/2 {
		l.t.Fatalf("only %d of %d jobs run", n, jobs)
	}
}

// cancelRunning has users call off up to n running jobs at the given controllers,
// and returns how many were told that it is done.
func (l *live) cancelRunning(n int, at []*controller, within time.Duration) int {
	ids := l.running()
	told := make(chan bool, len(ids))
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		l.go_(func() { told <- l.cancel(id, at, within) })
	}
	count := 0
	for range ids {
		if <-told {
			count++
		}
	}
	return count
}

// gap is the meeting that broke most schedulers: the state service refuses the
// leader alone, another controller confirms cancellations, and then nobody has the
// service for longer than a cancellation may take.
type gap struct {
	before time.Duration // from the refusal to the outage
	outage float64       // in times that a cancellation may take
	crash  bool          // the leader ends, instead of being refused
	after  string        // what becomes of the controllers that confirmed
	leader string        // what else becomes of the leader
	worker string        // what becomes of machines of cancelled jobs
}

func (g gap) String() string {
	return fmt.Sprintf("%v before, %.1f, crash %v, confirmers %q, leader %q, workers %q", g.before, g.outage, g.crash, g.after, g.leader, g.worker)
}

func (g gap) play(l *live) {
	l.settle(12)
	cancel := config.Seconds(l.cfg.Workers.CancelS)
	old := l.leader()
	term := l.term()
	others := l.others(old)
	if g.crash {
		l.crash(old, 6*time.Second)
	} else {
		l.state.Refuse(old.ip, true)
	}
	time.Sleep(g.before / 2)
	told := l.cancelRunning(6, others, g.before/2)
	l.mu.Lock()
	for id := range l.world.Cancelled {
		rigs := l.on(id)
		if len(rigs) == 0 {
			continue
		}
		switch r := rigs[0]; g.worker {
		case "hung":
			if !r.w.Hung {
				r.hang(cancel * 3 / 2)
			}
		case "mute":
			r.mute = true
			time.AfterFunc(cancel*3/2, func() { l.mu.Lock(); r.mute = false; l.mu.Unlock() })
		case "deaf":
			l.cuts["*>"+r.ip]++
			time.AfterFunc(cancel*3/2, func() { l.cut("*", r.ip)(); l.mu.Lock(); l.cuts["*>"+r.ip]--; l.mu.Unlock() })
		}
	}
	l.mu.Unlock()
	l.state.Outage(true)
	heal := func() {}
	switch g.after {
	case "killed":
		for _, n := range others {
			l.crash(n, 6*time.Second)
		}
	case "one killed":
		l.crash(others[0], 6*time.Second)
	case "back at once":
		l.crash(others[0], 200*ms)
	case "cut":
		heal = l.apart(others[0], l.others(others[0])...)
	}
	if g.leader == "cut" {
		h, also := heal, l.apart(old, others...)
		heal = func() { h(); also() }
	}
	time.Sleep(time.Duration(float64(cancel) * g.outage))
	l.state.Outage(false)
	time.Sleep(3 * time.Second)
	l.state.Refuse(old.ip, false)
	heal()
	time.Sleep(2 * cancel)
	if told == 0 && g.before < 4*time.Second && !g.crash && l.cfg.Workers == brisk {
		l.t.Errorf("no cancellation was confirmed: the meeting did not take place (term %d to %d)", term, l.term())
	}
	time.Sleep(4 * cancel)
	l.calm()
}

// TestCancelledWhileTheLeaderIsBlind plays the gap and what may go with it. The
// notices held by a majority are what ends the tasks; without them the first rows
// fail on ran_cancelled.
func TestCancelledWhileTheLeaderIsBlind(t *testing.T) {
	rows := []struct {
		controllers int
		w           config.Workers
		gap
	}{
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3}},
		{5, brisk, gap{before: 2 * time.Second, outage: 1.3}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3}},
		{3, brisk, gap{before: 2 * time.Second, outage: 0.9}},
		{3, brisk, gap{before: time.Second, outage: 2}},
		{3, brisk, gap{before: 20 * time.Second, outage: 1.3}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, crash: true}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "one killed"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "back at once"}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3, after: "killed"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, after: "cut"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, leader: "cut"}},
		{5, slow, gap{before: 2600 * ms, outage: 1.3, leader: "cut", after: "one killed"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, leader: "cut", after: "back at once"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, worker: "hung"}},
		{3, slow, gap{before: 2600 * ms, outage: 1.3, worker: "deaf"}},
		{3, brisk, gap{before: 2 * time.Second, outage: 1.3, worker: "mute"}},
	}
	for i, r := range rows {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			t.Log(r.gap)
			play(t, uint64(i+1), r.controllers, r.w, r.gap.play)
		})
	}
}

// drawGap makes up a gap.
func drawGap(rng *rand.Rand) gap {
	pick := func(words ...string) string { return words[rng.IntN(len(words))] }
	return gap{
		before: time.Duration(1000+rng.IntN(4000)) * ms, outage: 0.8 + rng.Float64(), crash: rng.IntN(5) == 0,
		after:  pick("", "", "one killed", "killed", "back at once", "cut"),
		leader: pick("", "", "cut"), worker: pick("", "", "hung", "mute", "deaf"),
	}
}

// TestDrawnGaps plays gaps with drawn details.
func TestDrawnGaps(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			g := drawGap(rng)
			t.Log(g)
			play(t, seed, []int{3, 3, 5}[rng.IntN(3)], []config.Workers{brisk, slow}[rng.IntN(2)], g.play)
		})
	}
}
