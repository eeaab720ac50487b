package simulation

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestCancellationWithoutQuorumIsRefusedAtOnce checks that a controller which reaches the key-value store but no other
// controller rejects cancellations immediately, so that the user retries at another controller.
func TestCancellationWithoutQuorumIsRefusedAtOnce(t *testing.T) {
	runScenario(t, 10, 3, fastTimings, func(c *cluster) {
		c.startJobs(6)
		n := c.others(c.leader())[0]
		repair := c.isolateFrom(n, c.others(n)...)
		time.Sleep(4 * s)
		id, sent := c.runningJobs()[0], c.now()
		if status, _ := c.request(n, RequestCancel, id); status != 503 || c.now()-sent > 100*ms {
			t.Errorf("cancellation without a quorum: status %d after %v, want 503 within 100ms", status, c.now()-sent)
		}
		if !c.cancelUntilFinal(id, c.others(n), 2*s) {
			t.Error("the other controllers could not cancel the job")
		}
		if status, _ := c.request(n, RequestQuery, id); status != 503 {
			t.Errorf("query of the cancelled job without a quorum: status %d, want 503", status)
		}
		repair()
		time.Sleep(4 * s)
		if status, st := c.request(n, RequestCancel, id); status != 200 || st.State != protocol.JobCancelled {
			t.Errorf("cancellation after the partition: status %d, %v, want 200 and cancelled", status, st)
		}
	})
}

// endOutage ends an outage of the key-value store and checks four minutes later that all jobs are served.
func (c *cluster) endOutage() {
	c.t.Helper()
	c.store.SetOutage(false)
	time.Sleep(4 * time.Minute)
	c.checkAllServed()
}

// TestIntentsLostByRestart checks that a leader does not rely on a controller that has lost its intents by a restart.
// The leader is partitioned and does not learn of a cancellation. The controller that confirmed it crashes. The only
// other controller with the intent loses it by a restart before it reaches the leader again. The leader must not keep
// tasks running on the agreement of the restarted controller.
func TestIntentsLostByRestart(t *testing.T) {
	runScenario(t, 8, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old := c.leader()
		n, p := c.others(old)[0], c.others(old)[1]
		repair := isolateLeader(c)
		time.Sleep(200 * ms)
		if c.cancelRunning(6, []*controller{n}, 400*ms) == 0 {
			t.Error("no job was cancelled, so the test did not exercise lost intents")
		}
		c.store.SetOutage(true)
		c.crash(n, 90*s)
		c.crash(p, 200*ms)
		time.Sleep(500 * ms)
		repair()
		time.Sleep(60 * s)
		c.endOutage()
	})
}

// TestLeaderWithoutRecords checks a leader that has read no records. The leader crashes, jobs are cancelled, and the
// key-value store fails just when the next leader has won its term. With the agreement of the other controllers, the
// new leader must keep tasks running, except those of jobs with cancellation intents.
func TestLeaderWithoutRecords(t *testing.T) {
	runScenario(t, 9, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old, term := c.leader(), c.term()
		c.crash(old, 90*s)
		confirmed := make(chan int, 1)
		time.AfterFunc(100*ms, func() { confirmed <- c.cancelRunning(6, c.others(old), 400*ms) })
		for c.term() == term && c.ctx.Err() == nil {
			time.Sleep(ms)
		}
		c.store.SetOutage(true)
		if <-confirmed == 0 {
			t.Error("no job was cancelled, so the test did not exercise intents")
		}
		time.Sleep(60 * s)
		if n := len(c.runningJobs()); n == 0 {
			t.Error("no job was kept running by the new leader")
		}
		c.endOutage()
	})
}

// TestLateCancellationNeedsNewIntent checks that a controller announces a new intent before it confirms a cancellation
// whose intent has expired. The transaction of the cancellation is applied so late that the leader has started the job
// again. Then the key-value store refuses the leader, another controller reads the cancellation and confirms it to the
// user, and the store fails for all controllers. Only the new intent makes the leader end the tasks.
func TestLateCancellationNeedsNewIntent(t *testing.T) {
	runScenario(t, 7, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old := c.leader()
		late := 8 * s
		repair := faultyWrites(1, func(*cluster, string) Outcome { return Outcome{Delay: late} })(c)
		ids := c.runningJobs()[:4]
		for _, id := range ids {
			c.spawn(func() { c.request(c.others(old)[0], RequestCancel, id) })
		}
		time.Sleep(s)
		repair()
		time.Sleep(late - 2*s) // the intents have expired at the leader, and the jobs run again
		again := 0
		for _, id := range c.runningJobs() {
			if slices.Contains(ids, id) {
				again++
			}
		}
		if again == 0 {
			t.Error("no job was started again, so the test did not exercise a late cancellation")
		}
		c.store.SetRefused(old.ip, true)
		time.Sleep(1500 * ms)
		for _, id := range ids {
			c.request(c.others(old)[0], RequestQuery, id)
		}
		if c.occurrences("cancelled") == 0 {
			t.Error("no cancellation was confirmed to a user, so the test did not exercise new intents")
		}
		c.store.SetOutage(true)
		time.Sleep(60 * s)
		c.store.SetRefused(old.ip, false)
		c.endOutage()
	})
}

// TestFencingWithoutLeader checks that unreachable machines are fenced while there is no leader. The leader crashes
// right after a cancellation was confirmed, and the other controllers crash in the outage of the key-value store that
// follows, while a machine with a task of the job hangs. No controller can lead or knows the placement, so the machine
// must be released only because it sends no heartbeats.
func TestFencingWithoutLeader(t *testing.T) {
	g := storeFailure{
		refusal:        1700 * ms,
		outageFactor:   1.5,
		leaderCrashes:  true,
		confirmerFault: "killed",
		workerFault:    "hung",
	}
	runScenario(t, 5054, 3, slowTimings, g.run)
}
