package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recordedJobs returns the jobs whose placements a transaction records.
func recordedJobs(t *protocol.Txn) (jobs []string) {
	for _, op := range t.Then {
		if id, _, ok := strings.Cut(strings.TrimPrefix(op.Put, storage.PlacePrefix), "/"); ok && strings.HasPrefix(op.Put, storage.PlacePrefix) && !slices.Contains(jobs, id) {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// sharedRecords lets a share of the transactions that record placements of several jobs meet a fate.
func sharedRecords(share float64, fate func(l *live, transaction string) Fate) trouble {
	return func(l *live) func() {
		l.state.SetFate(func(host string, txn *protocol.Txn) Fate {
			jobs := recordedJobs(txn)
			name := host + " " + strings.Join(jobs, " ")
			if len(jobs) < 2 || !l.chance("shared "+name, share) {
				return Fate{Answer: true}
			}
			l.note("shared")
			return fate(l, name)
		})
		return func() { l.state.SetFate(nil) }
	}
}

func answerLost(*live, string) Fate { return Fate{} }

func carriedOutLate(l *live, name string) Fate { return Fate{Late: 2*s + l.upTo("late "+name, 10*s)} }

func answeredLate(l *live, name string) Fate {
	return Fate{Answer: true, Late: l.upTo("late "+name, 800*ms)}
}

// limitedState has the state service keep to its limits, which are small.
func limitedState(l *live) {
	l.cfg.State = config.State{RPS: 60, WriteRPS: 15, ValueKB: 8, TxnOps: 16}
	l.state.Limit(l.cfg.State)
}

// batches submits several arrays at a moment, so that their placements are recorded together.
func batches(n int) func(*live) {
	return func(l *live) {
		for range n {
			for range 4 {
				j := l.job(protocol.Array, 2, 1)
				l.mu.Lock()
				l.world.RunTimes[j.ID] = 3*s + l.upTo("run time "+j.ID, 4*s)
				l.mu.Unlock()
				l.user(j)
			}
			time.Sleep(2 * s)
		}
	}
}

// TestSharedRecords plays what may become of a transaction that records the placements of several
// jobs: every rule holds, and every job is served in the end.
func TestSharedRecords(t *testing.T) {
	for i, x := range []struct {
		name     string
		w        config.Workers
		steps    []step
		happened []string
		options  []func(*live)
	}{
		{"its answer is lost", brisk, []step{{0, during(40*s, sharedRecords(0.5, answerLost))}, {1 * s, storm(20 * s)}, {2 * s, batches(8)}}, []string{"shared"}, nil},
		{"it is carried out late, after newer ones", brisk, []step{{0, during(40*s, sharedRecords(0.5, carriedOutLate))}, {1 * s, storm(20 * s)}, {2 * s, batches(8)}, {20 * s, cancels(3, 0)}},
			[]string{"shared"}, nil},
		{"by a deposed leader", brisk, []step{{0, during(20*s, sharedRecords(1, carriedOutLate))}, {1 * s, batches(2)}, {5500 * ms, crashLeader(5 * s)}, {6 * s, batches(4)}, {14 * s, crashLeader(300 * ms)}, {15 * s, batches(3)}},
			[]string{"shared", "crash"}, nil},
		{"a job of it is cancelled", brisk, []step{{0, during(40*s, sharedRecords(0.7, answeredLate))}, {1 * s, storm(30 * s)}, {2 * s, batches(4)}, {10 * s, cancels(4, 0)}, {11 * s, batches(3)}, {17 * s, cancels(4, 0)}},
			[]string{"shared", "cancelled"}, nil},
		{"a job ends in it", brisk, []step{{0, during(40*s, sharedRecords(0.5, answeredLate))}, {0, apartEnds(8)}, {1 * s, storm(20 * s)}, {2 * s, batches(4)}, {12 * s, apartEnds(4)}}, []string{"shared"}, nil},
		{"the state service is at its limits, slow, out and back", brisk, []step{{0, during(30*s, sharedRecords(0.5, answeredLate))}, {0, storm(30 * s)}, {1 * s, batches(5)}, {32 * s, during(15*s, outage)}, {40 * s, storm(15 * s)}},
			[]string{"shared", "outage"}, []func(*live){limitedState}},
		{"the same, slowly", slow, []step{{0, during(60*s, sharedRecords(0.5, carriedOutLate))}, {0, storm(30 * s)}, {1 * s, batches(5)}, {15 * s, cancels(3, 0)}, {20 * s, crashLeader(5 * s)}, {32 * s, during(40*s, outage)}},
			[]string{"shared", "outage", "crash"}, []func(*live){limitedState}},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			play(t, uint64(600+i), 3, x.w, func(l *live) { l.carryOut(x.steps, x.happened) }, x.options...)
		})
	}
}

// TestRecordThatIsNeverPossible: the state service refuses every transaction that records one
// particular job. That job waits; those that shared its transactions don't.
func TestRecordThatIsNeverPossible(t *testing.T) {
	play(t, 620, 3, brisk, func(l *live) {
		l.settle(9)
		bad := l.job(protocol.Array, 2, 1)
		l.state.SetFate(func(_ string, txn *protocol.Txn) Fate {
			jobs := recordedJobs(txn)
			if !slices.Contains(jobs, bad.ID) {
				return Fate{Answer: true}
			}
			if len(jobs) > 1 {
				l.note("shared")
			}
			return Fate{Malformed: true}
		})
		l.user(bad)
		batches(6)(l)
		time.Sleep(3 * time.Minute)
		if l.count("shared") == 0 {
			t.Error("the job was in no transaction with others: the scenario shows nothing")
		}
		if l.term() != 1 {
			t.Errorf("term %d: the job has cost the leader its term", l.term())
		}
		l.jobs = slices.DeleteFunc(l.jobs, func(id string) bool { return id == bad.ID })
		l.calm()
		if _, over := l.ledger.Final(bad.ID); over {
			t.Error("a job is over that could not be recorded")
		}
		l.state.SetFate(nil)
		time.Sleep(3 * time.Minute)
		if _, over := l.ledger.Final(bad.ID); !over {
			t.Error("the job is not served although it can be recorded now")
		}
	})
}
