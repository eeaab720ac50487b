package simulation

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestCancellationWithoutQuorumIsRefusedAtOnce: a controller that reaches the key-value store but none of the other
// controllers tells users of cancellations at once to retry.
func TestCancellationWithoutQuorumIsRefusedAtOnce(t *testing.T) {
	runScenario(t, 10, 3, fastTimings, func(c *cluster) {
		c.startJobs(6)
		n := c.others(c.leader())[0]
		heal := c.isolateFrom(n, c.others(n)...)
		time.Sleep(4 * s)
		id, sent := c.runningJobs()[0], c.now()
		if status, _ := c.request(n, RequestCancel, id); status != 503 || c.now()-sent > 100*ms {
			t.Errorf("%d after %v", status, c.now()-sent)
		}
		if !c.cancelUntilFinal(id, c.others(n), 2*s) {
			t.Error("the others could not cancel it")
		}
		if status, _ := c.request(n, RequestQuery, id); status != 503 {
			t.Errorf("news of it, alone: %d", status)
		}
		heal()
		time.Sleep(4 * s)
		if status, st := c.request(n, RequestCancel, id); status != 200 || st.State != protocol.JobCancelled {
			t.Errorf("together again: %d %v", status, st)
		}
	})
}

// endOutage ends an outage, and checks some minutes later that all jobs are served.
func (c *cluster) endOutage() {
	c.t.Helper()
	c.store.SetOutage(false)
	time.Sleep(4 * time.Minute)
	c.checkAllServed()
}

// TestForgottenIntents: the leader cannot reach the key-value store, and does not learn of a cancellation; the
// controller that confirmed it crashes, and the only other one with its intent is restarted and then reaches the leader
// again. The leader must not continue on the word of the latter.
func TestForgottenIntents(t *testing.T) {
	runScenario(t, 8, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old := c.leader()
		n, p := c.others(old)[0], c.others(old)[1]
		heal := isolateLeader(c)
		time.Sleep(200 * ms)
		if c.cancelRunning(6, []*controller{n}, 400*ms) == 0 {
			t.Error("nothing was cancelled: the scenario shows nothing")
		}
		c.store.SetOutage(true)
		c.crash(n, 90*s)
		c.crash(p, 200*ms)
		time.Sleep(500 * ms)
		heal()
		time.Sleep(60 * s)
		c.endOutage()
	})
}

// TestLeaderWithoutRecords: the leader crashes, jobs are cancelled, and the key-value store fails just as the next
// leader has won its term and read nothing yet. It keeps tasks alive with the other controllers' agreement, but not
// those for which it has intents.
func TestLeaderWithoutRecords(t *testing.T) {
	runScenario(t, 9, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old, term := c.leader(), c.term()
		c.crash(old, 90*s)
		told := make(chan int, 1)
		time.AfterFunc(100*ms, func() { told <- c.cancelRunning(6, c.others(old), 400*ms) })
		for c.term() == term && c.ctx.Err() == nil {
			time.Sleep(ms)
		}
		c.store.SetOutage(true)
		if <-told == 0 {
			t.Error("nothing was cancelled: the scenario shows nothing")
		}
		time.Sleep(60 * s)
		if n := len(c.runningJobs()); n == 0 {
			t.Error("nothing was kept alive: the scenario shows nothing")
		}
		c.endOutage()
	})
}

// TestLateCancellationNeedsNewIntent: the transaction of a cancellation is applied long after its intent, when
// the leader runs the job again; the key-value store refuses the leader by then, and fails for all right after another
// controller has read of the cancellation and told the user. That controller announces a new intent first.
func TestLateCancellationNeedsNewIntent(t *testing.T) {
	runScenario(t, 7, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old := c.leader()
		late := 8 * s
		mend := faultyWrites(1, func(*cluster, string) Outcome { return Outcome{Delay: late} })(c)
		ids := c.runningJobs()[:4]
		for _, id := range ids {
			c.spawn(func() { c.request(c.others(old)[0], RequestCancel, id) })
		}
		time.Sleep(s)
		mend()
		time.Sleep(late - 2*s) // the intents are over for the leader; the jobs run again
		again := 0
		for _, id := range c.runningJobs() {
			if slices.Contains(ids, id) {
				again++
			}
		}
		if again == 0 {
			t.Error("no job ran again: the scenario shows nothing")
		}
		c.store.SetRefused(old.ip, true)
		time.Sleep(1500 * ms)
		for _, id := range ids {
			c.request(c.others(old)[0], RequestQuery, id)
		}
		if c.occurrences("cancelled") == 0 {
			t.Error("no cancellation was told: the scenario shows nothing")
		}
		c.store.SetOutage(true)
		time.Sleep(60 * s)
		c.store.SetRefused(old.ip, false)
		c.endOutage()
	})
}

// TestFencingWithoutLeader: the leader crashes right after a cancellation was confirmed, and the others in the outage
// that follows, while a machine with one of the job's tasks hangs. Nobody can lead, so nobody knows of the placement;
// the machine is released because nobody hears from it.
func TestFencingWithoutLeader(t *testing.T) {
	g := storeGap{before: 1700 * ms, outage: 1.5, crash: true, after: "killed", worker: "hung"}
	runScenario(t, 5054, 3, slowTimings, g.run)
}
