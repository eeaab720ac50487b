package simulation

import (
	"slices"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestCancellationThatIsNotSafeIsRefusedAtOnce: a controller that reaches the service but
// none of the others tells users of cancellations when to come back, without holding them.
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

// endOutage ends an outage, and demands that all is well some minutes later.
func (l *cluster) endOutage() {
	l.t.Helper()
	l.store.SetOutage(false)
	time.Sleep(4 * time.Minute)
	l.checkAllServed()
}

// TestForgottenIntents: the leader, out of reach of the service, cannot be told of a
// cancellation; whoever confirmed it ends, and the only other holder of its intent
// begins anew and is in contact with the leader again. By its word the leader must not
// go on.
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

// TestLeaderWithoutRecords: a leader ends, jobs are cancelled at once, and the service
// is out for all just as the next leader has won its term and read nothing yet. It keeps
// tasks alive by the others' word, and must not those of which it has intents.
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

// TestLateCancellationIsToldWithANewIntent: the transaction of a cancellation is carried
// out long after its intent, when the leader has taken it that the job lives; the
// service refuses the leader by then, and is out for all right after somebody has read
// of the cancellation and told the user. Who tells announces it anew.
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

// TestNobodyLeftToFence: the leader ends right after a cancellation was confirmed (and
// the others in the outage that follows), the service is out for all, and a machine with
// one of the job's tasks hangs. Nobody can lead, so nobody knows of the placement; the
// machine is returned since nobody hears it.
func TestNobodyLeftToFence(t *testing.T) {
	g := storeGap{before: 1700 * ms, outage: 1.5, crash: true, after: "killed", worker: "hung"}
	runScenario(t, 5054, 3, slowTimings, g.run)
}
