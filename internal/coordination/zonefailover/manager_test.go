package zonefailover

import (
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// fakeJobs simulates a scheduler in which every job is active and no team has a guaranteed quota.
type fakeJobs struct{ lenders map[TaskAttempt]LenderState }

func (f fakeJobs) Lender(task TaskAttempt) LenderState { return f.lenders[task] }

func (f fakeJobs) IsActive(string) bool { return true }

func (f fakeJobs) FitsGuaranteedQuota(string, machineregistry.Resources) bool { return false }

func (f fakeJobs) AllowedZones(*protocol.Job) []string { return []string{"a", "b"} }

// testLimits allows a transaction to write two pages of three loans each.
var testLimits = RecordLimits{LoansPerPage: 3, PagesPerTransaction: 2}

func newTestManager(jobs Jobs) *Manager {
	workers := config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40}
	return NewManager(0, Options{
		Settings:      &config.Deployment{Workers: workers, Quota: config.Quota{RAMMB: 100, CoreShare: 1}},
		Machines:      machineregistry.New(1, workers),
		Jobs:          jobs,
		Log:           slog.New(slog.DiscardHandler),
		Order:         DefaultRecoveryOrder(),
		Zones:         []string{"a", "b"},
		Limits:        testLimits,
		CycleInterval: time.Second,
		Term:          1,
	})
}

// testLoan returns a loan by the first attempt of a job's task.
func testLoan(job string, task int, borrower string) Loan {
	return Loan{
		Term:     1,
		Number:   uint64(task + 1),
		Lender:   TaskAttempt{Job: job, Task: task, Attempt: 1},
		Borrower: borrower,
		Machine:  "m",
		Zone:     "a",
	}
}

// TestNilManager checks that a nil Manager reports no zone as lost and decides, sorts and writes nothing.
func TestNilManager(t *testing.T) {
	var m *Manager
	m.MarkDisplaced("j-1", "a")
	m.ForgetJob("j-1")
	m.RecordDepartedMachine("m")
	m.RedistributeLoans(testLimits)
	zones := []string{"b", "a"}
	m.SortZonesByState(zones)
	jobs := []int{2, 1}
	SortByRecoveryOrder(m, jobs, func(int) Rank { t.Error("nil Manager ranked a job"); return Rank{} })
	if !slices.Equal(zones, []string{"b", "a"}) || !slices.Equal(jobs, []int{2, 1}) {
		t.Errorf("nil Manager sorted zones to %v and jobs to %v", zones, jobs)
	}
	job := &protocol.Job{Shape: protocol.Service}
	if m.InFailover() || m.IsZoneLost("a") || m.MayBorrow("j-1") || m.IsOrderInEffect() || m.IsWriteDue(time.Hour) ||
		m.RecoversBefore(
			&machineregistry.Placement{},
			job,
		) || m.RecoveryPosition(job) != 0 || m.RiskPenalty(job, 0, "a") != 0 ||
		m.TakeDecisions() != nil {
		t.Error("nil Manager behaves as if the feature were on")
	}
}

// fakeStore is an in-memory key-value store that applies the writes of a Manager.
type fakeStore map[string]protocol.KeyValue

func (s fakeStore) apply(t *testing.T, w *RecordWrite, revision uint64) {
	t.Helper()
	for _, compare := range w.If {
		if got := s[compare.Key].Revision; got != compare.Revision {
			t.Fatalf("%s is at revision %d, want %d", compare.Key, got, compare.Revision)
		}
	}
	for _, op := range w.Then {
		delete(s, op.DeleteKey)
		if op.PutKey != "" {
			s[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: revision}
		}
	}
}

func (s fakeStore) pages() (pages []protocol.KeyValue) {
	for _, page := range s {
		pages = append(pages, page)
	}
	return pages
}

// TestRecordsAreRestored checks that a Manager restores what an earlier one wrote, and that only the first page remains
// once all loans are closed.
func TestRecordsAreRestored(t *testing.T) {
	m := newTestManager(fakeJobs{})
	m.monitor.Restore(Zone{Name: "a", State: Lost, Since: 5 * time.Second, Flaps: 2})
	for i := range 8 {
		if err := m.OpenLoans(testLimits, testLoan("j-1", i, "j-9")); err != nil {
			t.Fatal(err)
		}
	}
	stored := fakeStore{}
	revision := uint64(0)
	writeAll := func(m *Manager, now time.Duration) (writes int) {
		for ; m.IsWriteDue(now); writes++ {
			w := m.PrepareWrite(now, "1.7", testLimits)
			if len(w.Then) == 0 {
				return writes
			}
			if w.Pages() > testLimits.PagesPerTransaction {
				t.Fatalf("%d pages in a transaction", w.Pages())
			}
			revision++
			stored.apply(t, w, revision)
			m.WriteSucceeded(w, revision)
			for _, loan := range w.DurableLoans() {
				m.ClaimPreemption(loan.Lender)
			}
		}
		return writes
	}
	if writes := writeAll(m, 10*time.Second); writes != 2 || len(stored) != 3 {
		t.Fatalf("%d writes of %d pages, want 2 of 3", writes, len(stored))
	}

	next := newTestManager(fakeJobs{})
	next.Restore(0, stored.pages())
	if !reflect.DeepEqual(next.ledger.Loans(), m.ledger.Loans()) {
		t.Errorf("loans %v, want %v", next.ledger.Loans(), m.ledger.Loans())
	}
	if zone := next.monitor.Zones()[0]; zone.State != Lost || zone.Flaps != 2 {
		t.Errorf("restored zone %+v, want it lost with 2 flaps", zone)
	}
	for _, loan := range next.ledger.Loans() {
		next.CloseLoan(loan, Repaid)
	}
	for now := 10 * time.Second; len(next.records.dirty) > 0; now += time.Second {
		writeAll(next, now)
	}
	if _, first := stored[storage.ZoneFailoverKey(0)]; len(stored) != 1 || !first {
		t.Errorf("%d pages remain, want only the first", len(stored))
	}
}

// TestRejectedWriteIsRetried checks that a rejected write is due again after the pause, with the same pages.
func TestRejectedWriteIsRetried(t *testing.T) {
	m := newTestManager(fakeJobs{})
	m.MarkZoneStatesChanged()
	w := m.PrepareWrite(time.Minute, "1.1", testLimits)
	if m.IsWriteDue(2 * time.Minute) {
		t.Error("a second write is due while one is in flight")
	}
	m.WriteRejected(w, time.Minute+10*time.Second)
	if m.IsWriteDue(time.Minute + 10*time.Second) {
		t.Error("a write is due within the pause")
	}
	if !m.IsWriteDue(time.Minute + 11*time.Second) {
		t.Fatal("no write is due after the pause")
	}
	again := m.PrepareWrite(time.Minute+11*time.Second, "1.2", testLimits)
	if again.VerifyKey != w.VerifyKey || again.VerifyName != "1.2" || again.Pages() != 1 {
		t.Errorf("retry %+v, want the pages of %+v", again, w)
	}
}

// TestDurableLoans checks that the loans of a borrower become durable together, once all their pages are written.
func TestDurableLoans(t *testing.T) {
	m := newTestManager(fakeJobs{})
	for i := range 7 { // on three pages, two of which fit into a transaction
		if err := m.OpenLoans(testLimits, testLoan("j-1", i, []string{"j-8", "j-9"}[i/5])); err != nil {
			t.Fatal(err)
		}
	}
	for revision, want := range []string{"j-8", "j-8 j-9"} {
		w := m.PrepareWrite(0, "1.1", testLimits)
		m.WriteSucceeded(w, uint64(revision+1))
		var borrowers []string
		for _, loan := range w.DurableLoans() {
			if !slices.Contains(borrowers, loan.Borrower) {
				borrowers = append(borrowers, loan.Borrower)
			}
		}
		if got := strings.Join(borrowers, " "); got != want {
			t.Errorf("after write %d the loans to %s are durable, want %s", revision+1, got, want)
		}
	}
}

// TestLoanOutcomes checks that the outcome of a loan depends only on the state of the lender's task and on the time.
func TestLoanOutcomes(t *testing.T) {
	placementOf := func(attempt uint64, started, stopping bool) *machineregistry.Placement {
		return &machineregistry.Placement{Attempt: attempt, StartAllowed: started, Stopping: stopping}
	}
	for _, test := range []struct {
		name      string
		lender    LenderState
		preempted bool
		expired   bool
		want      LoanOutcome
	}{
		{"its job has ended", LenderState{Ended: true}, true, false, LenderEnded},
		{"it waits for capacity", LenderState{}, true, false, ""},
		{"it waits for too long", LenderState{}, true, true, WrittenOff},
		{"it is placed again", LenderState{Placement: placementOf(2, false, false)}, true, false, ""},
		{"it may start again", LenderState{Placement: placementOf(2, true, false)}, true, false, Repaid},
		{"it is to be preempted", LenderState{Placement: placementOf(1, true, false)}, false, false, ""},
		{"it is being stopped", LenderState{Placement: placementOf(1, true, true)}, true, false, ""},
		{
			"it was never preempted",
			LenderState{Placement: placementOf(1, true, false)},
			true,
			false,
			LenderNotPreempted,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			loan := testLoan("j-1", 0, "j-9")
			loan.ExpiresMS = 1000
			m := newTestManager(fakeJobs{lenders: map[TaskAttempt]LenderState{loan.Lender: test.lender}})
			if err := m.OpenLoans(testLimits, loan); err != nil {
				t.Fatal(err)
			}
			if test.preempted {
				m.ClaimPreemption(loan.Lender)
			}
			now := time.Second
			if test.expired {
				now += time.Millisecond
			}
			m.TakeDecisions()
			m.CloseFinishedLoans(now)
			var got LoanOutcome
			for _, d := range m.TakeDecisions() {
				if ended, ok := d.(LoanEnded); ok {
					got = ended.Outcome
				}
			}
			if got != test.want || m.ledger.IsLent(loan.Lender) != (test.want == "") {
				t.Errorf("outcome %q, want %q", got, test.want)
			}
		})
	}
}

// TestZonePolicies checks the autoscaler's policy for a zone in each state that is not available.
func TestZonePolicies(t *testing.T) {
	const lease, maxLease = 10 * time.Second, 16 * time.Second
	since := time.Minute
	alive := Evidence{Observation: Observation{Machines: 5}}
	for _, test := range []struct {
		name     string
		state    State
		evidence Evidence
		now      time.Duration
		want     autoscaler.ZonePolicy
	}{
		{"suspected", Suspected, alive, since, autoscaler.ZonePolicy{
			NoScaleOut:     true,
			NoFencingUntil: since + 2*maxLease,
		}},
		{"lost", Lost, alive, since + 2*lease, autoscaler.ZonePolicy{
			NoScaleOut:        true,
			IgnoreUnreachable: true,
			NoFencingUntil:    since + 12*lease,
		}},
		{"lost for long", Lost, alive, since + 2*lease + 1, autoscaler.ZonePolicy{
			ProbeOnly:         true,
			IgnoreUnreachable: true,
			NoFencingUntil:    since + 12*lease,
		}},
		{
			"all of its machines have failed",
			Lost,
			Evidence{Observation: Observation{Departed: 5}},
			since,
			autoscaler.ZonePolicy{},
		},
		{"returning, not heard yet", Returning, alive, since, autoscaler.ZonePolicy{
			ProbeOnly:      true,
			NoFencingUntil: since + lease,
		}},
		{
			"returning",
			Returning,
			Evidence{Observation: Observation{Machines: 5, Reachable: 1}},
			since,
			autoscaler.ZonePolicy{NoFencingUntil: since + lease},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager(fakeJobs{})
			m.monitor.Restore(Zone{Name: "a", State: test.state, Since: since})
			m.monitor.zones["a"].Evidence = test.evidence
			want := map[string]autoscaler.ZonePolicy{"a": test.want}
			if got := m.ZonePolicies(test.now); !reflect.DeepEqual(got, want) {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}
