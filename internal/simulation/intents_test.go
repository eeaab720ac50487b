package simulation

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestCancellationThatIsNotSafeIsRefusedAtOnce: a controller that reaches the key-value store but none of the other
// controllers tells users of cancellations at once to retry.
func TestCancellationThatIsNotSafeIsRefusedAtOnce(t *testing.T) {
	runScenario(t, 10, 3, fastTimings, func(l *cluster) {
		l.startJobs(6)
		n := l.others(l.leader())[0]
		heal := l.isolateFrom(n, l.others(n)...)
		time.Sleep(4 * s)
		id, sent := l.runningJobs()[0], l.now()
		if status, _ := l.request(n, RequestCancel, id); status != 503 || l.now()-sent > 100*ms {
			t.Errorf("%d after %v", status, l.now()-sent)
		}
		if !l.cancelUntilFinal(id, l.others(n), 2*s) {
			t.Error("the others could not cancel it")
		}
		if status, _ := l.request(n, RequestQuery, id); status != 503 {
			t.Errorf("news of it, alone: %d", status)
		}
		heal()
		time.Sleep(4 * s)
		if status, st := l.request(n, RequestCancel, id); status != 200 || st.State != protocol.JobCancelled {
			t.Errorf("together again: %d %v", status, st)
		}
	})
}

// endOutage ends an outage, and checks some minutes later that all jobs are served.
func (l *cluster) endOutage() {
	l.t.Helper()
	l.store.SetOutage(false)
	time.Sleep(4 * time.Minute)
	l.checkAllServed()
}

// TestForgottenIntents: the leader cannot reach the key-value store, and does not learn of a cancellation; the
// controller that confirmed it crashes, and the only other one with its intent is restarted and then reaches the leader
// again. The leader must not continue on the word of the latter.
func TestForgottenIntents(t *testing.T) {
	runScenario(t, 8, 3, fastTimings, func(l *cluster) {
		l.startJobs(12)
		old := l.leader()
		n, p := l.others(old)[0], l.others(old)[1]
		heal := isolateLeader(l)
		time.Sleep(200 * ms)
		if l.cancelRunning(6, []*controller{n}, 400*ms) == 0 {
			t.Error("nothing was cancelled: the scenario shows nothing")
		}
		l.store.SetOutage(true)
		l.crash(n, 90*s)
		l.crash(p, 200*ms)
		time.Sleep(500 * ms)
		heal()
		time.Sleep(60 * s)
		l.endOutage()
	})
}

// TestLeaderWithoutRecords: the leader crashes, jobs are cancelled, and the key-value store fails just as the next
// leader has won its term and read nothing yet. It keeps tasks alive with the other controllers' agreement, but not
// those for which it has intents.
func TestLeaderWithoutRecords(t *testing.T) {
	runScenario(t, 9, 3, fastTimings, func(l *cluster) {
		l.startJobs(12)
		old, term := l.leader(), l.term()
		l.crash(old, 90*s)
		told := make(chan int, 1)
		time.AfterFunc(100*ms, func() { told <- l.cancelRunning(6, l.others(old), 400*ms) })
		for l.term() == term && l.ctx.Err() == nil {
			time.Sleep(ms)
		}
		l.store.SetOutage(true)
		if <-told == 0 {
			t.Error("nothing was cancelled: the scenario shows nothing")
		}
		time.Sleep(60 * s)
		if n := len(l.runningJobs()); n == 0 {
			t.Error("nothing was kept alive: the scenario shows nothing")
		}
		l.endOutage()
	})
}

// TestLateCancellationIsToldWithANewIntent: the transaction of a cancellation is applied long after its intent, when
// the leader runs the job again; the key-value store refuses the leader by then, and fails for all right after another
// controller has read of the cancellation and told the user. That controller announces a new intent first.
func TestLateCancellationIsToldWithANewIntent(t *testing.T) {
	runScenario(t, 7, 3, fastTimings, func(l *cluster) {
		l.startJobs(12)
		old := l.leader()
		late := 8 * s
		mend := faultyWrites(1, func(*cluster, string) Outcome { return Outcome{Delay: late} })(l)
		ids := l.runningJobs()[:4]
		for _, id := range ids {
			l.spawn(func() { l.request(l.others(old)[0], RequestCancel, id) })
		}
		time.Sleep(s)
		mend()
		time.Sleep(late - 2*s) // the intents are over for the leader; the jobs run again
		again := 0
		for _, id := range l.runningJobs() {
			if slices.Contains(ids, id) {
				again++
			}
		}
		if again == 0 {
			t.Error("no job ran again: the scenario shows nothing")
		}
		l.store.SetRefused(old.ip, true)
		time.Sleep(1500 * ms)
		for _, id := range ids {
			l.request(l.others(old)[0], RequestQuery, id)
		}
		if l.occurrences("cancelled") == 0 {
			t.Error("no cancellation was told: the scenario shows nothing")
		}
		l.store.SetOutage(true)
		time.Sleep(60 * s)
		l.store.SetRefused(old.ip, false)
		l.endOutage()
	})
}

// TestNobodyLeftToFence: the leader crashes right after a cancellation was confirmed, and the others in the outage that
// follows, while a machine with one of the job's tasks hangs. Nobody can lead, so nobody knows of the placement; the
// machine is released because nobody hears from it.
func TestNobodyLeftToFence(t *testing.T) {
	g := storeGap{before: 1700 * ms, outage: 1.5, crash: true, after: "killed", worker: "hung"}
	runScenario(t, 5054, 3, slowTimings, g.run)
}
