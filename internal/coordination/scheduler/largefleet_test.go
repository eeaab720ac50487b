package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// largeFleetSize is larger than the fleet of any deployment so far.
const largeFleetSize = 4000

func machineName(i int) string { return fmt.Sprintf("m%05d", i) }

// largeFleetRecords returns the records of an earlier leader that has placed a job with one task on each machine.
func largeFleetRecords(t *testing.T, machines int) (r RecoveredRecords) {
	t.Helper()
	for i := range machines {
		id := fmt.Sprintf("j-%06d", i)
		live, err := protocol.Encode(storage.LiveJobRecord{Job: jobSpec(id, protocol.Array, "normal", 1, 4)})
		if err != nil {
			t.Fatal(err)
		}
		page, err := protocol.Encode(storage.PlacementPage{
			WriteName: "4.1", HighestAttempt: 1, Zones: []string{"a"}, Team: "red", CPUs: 1, GPUs: 4, MemoryGB: 1,
			Placements: []storage.Placement{{Machine: machineName(i), Incarnation: 1, Attempt: 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
		r.LiveJobs = append(
			r.LiveJobs,
			protocol.KeyValue{Key: storage.LiveJobKey(id), Value: live, Revision: uint64(i + 10)},
		)
		r.PlacementPages = append(
			r.PlacementPages,
			protocol.KeyValue{Key: originalPageKey(id), Value: page, Revision: uint64(i + 10)},
		)
	}
	return r
}

// TestTakeoverOfLargeFleet checks that a new leader recovers thousands of placements at once, reads the list of
// machines, and probes those that do not send a heartbeat by themselves: each once, and no more per second than its
// share of a core allows. Running tasks must not be interrupted: no task is started again, no machine is released, and
// each task counts as running after the first heartbeat of its machine.
func TestTakeoverOfLargeFleet(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	cfg := *h.scheduler.cfg
	cfg.Quota.CoreShare, cfg.Cloud.RPS = 0.336, 4
	records := largeFleetRecords(t, largeFleetSize)
	records.MachineTypes = []protocol.MachineType{
		{
			Name:             "g8",
			CPUs:             64,
			GPUs:             8,
			MemoryGB:         256,
			CacheGB:          100,
			FetchGBPerSecond: 1,
			HourlyPrice:      4,
			BootSeconds:      30,
			Zones:            []string{"a"},
		},
	}
	h.scheduler = New(0, Options{
		Config:  &cfg,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Term:    Term{Number: 5, Revision: 1},
		Records: records,
	})
	var list []protocol.ListedMachine
	for i := range largeFleetSize {
		list = append(
			list,
			protocol.ListedMachine{
				Name:  machineName(i),
				Addr:  "x",
				Type:  "g8",
				Zone:  "a",
				State: protocol.MachineRunning,
			},
		)
		h.zoneOf[machineName(i)], h.tasks[machineName(i)] = "a", map[protocol.TaskID]protocol.TaskStatus{}
	}
	probed, probesInSecond := map[string]int{}, 0
	h.onEffect = func(e Effect) {
		switch e := e.(type) {
		case Probe:
			probed[e.Machine]++
			probesInSecond++
		case Write:
			if e.Priority == PriorityStart {
				t.Errorf("placements were written: %s", e.VerifyKey)
			}
		case CloudRequest:
			if _, ok := e.Effect.(autoscaler.ScaleIn); ok {
				t.Errorf("machines were released: %v", e.Effect)
			}
		}
	}
	running := func(i int) protocol.TaskStatus {
		return protocol.TaskStatus{TaskName: fmt.Sprintf("j-%06d/0", i), Attempt: 1, State: protocol.TaskRunning}
	}
	perSecond := int(probesPerSecondPerCore * cfg.Quota.CoreShare)
	h.apply(MachinesListed{RequestedAt: h.now, Machines: list})
	for i := 0; i < largeFleetSize; i += 2 {
		h.heartbeat(machineName(i), "a", false, running(i)) // these send heartbeats without being probed
	}
	probedEarly := len(probed)
	for range largeFleetSize/perSecond + 1 {
		if probesInSecond > perSecond {
			t.Fatalf("%d probes in a second, want %d at most", probesInSecond, perSecond)
		}
		probesInSecond = 0
		h.runCycle()
	}
	for i := range largeFleetSize {
		switch n := probed[machineName(i)]; {
		case n > 1, i%2 == 1 && n != 1:
			t.Fatalf(
				"%s was probed %d times, want once without a heartbeat and at most once otherwise",
				machineName(i),
				n,
			)
		case i%2 == 0 && n == 1:
			probedEarly--
		}
	}
	if probedEarly < 0 {
		t.Errorf("%d machines were probed after they had sent a heartbeat", -probedEarly)
	}
	for i := 1; i < largeFleetSize; i += 2 {
		h.tasks[machineName(i)][protocol.TaskID{JobID: fmt.Sprintf("j-%06d", i)}] = running(i)
		h.apply(ProbeReply{Machine: machineName(i), Heartbeat: h.nextHeartbeat(machineName(i))})
	}
	for i := range largeFleetSize {
		if status, ok := h.scheduler.Status(fmt.Sprintf("j-%06d", i)); !ok || status.RunningTasks != 1 {
			t.Fatalf("job %d has status %+v, known %v, want a running task", i, status, ok)
		}
	}
	if len(h.runs) > 0 {
		t.Errorf("%d tasks were started again, want none", len(h.runs))
	}
}

// TestLedgerOfManyLoans checks that the ledger handles far more loans than fit into one transaction, whereas it used to
// refuse the excess. Loans are recorded one transaction at a time, each of a size that the key-value store accepts. All
// lenders of a job are preempted together, and only after all of its loans are recorded. The next leader recovers every
// loan. After all loans have ended, only the first page is left.
func TestLedgerOfManyLoans(t *testing.T) {
	const loans, loansPerBorrower = 1000, 7
	h := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	h.scheduler.cfg.Quota.RAMMB = 49
	h.startTerm(6)
	z := h.scheduler.zoneFailover
	borrower := func(i int) string { return fmt.Sprintf("j-%06d", 900_000+i/loansPerBorrower) }
	lender := func(i int) zonefailover.TaskAttempt {
		return zonefailover.TaskAttempt{Job: fmt.Sprintf("j-%06d", i), Attempt: 1}
	}
	for i := range loans {
		loan := zonefailover.Loan{
			Term:     6,
			Number:   uint64(i + 1),
			Lender:   lender(i),
			Borrower: borrower(i),
			Machine:  "m",
			Zone:     "a",
		}
		if err := z.OpenLoans(h.scheduler.failoverRecordLimits(), loan); err != nil {
			t.Fatalf("only %d of %d loans could be opened: %v", i, loans, err)
		}
	}
	recorded := map[string]protocol.KeyValue{}
	rev := uint64(1000)
	write := func() bool {
		h.scheduler.effects = nil
		h.scheduler.writeFailoverRecords(h.now)
		for _, e := range h.scheduler.effects {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			if len(w.Txn.Then) > h.scheduler.recordLimits.PagesPerTransaction() {
				t.Fatalf("%d pages in a transaction exceed the limit", len(w.Txn.Then))
			}
			rev++
			for _, op := range w.Txn.Then {
				delete(recorded, op.DeleteKey)
				if op.PutKey != "" {
					recorded[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: rev}
				}
			}
			h.scheduler.Step(h.now, TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: rev})
			return true
		}
		return false
	}
	readRecordedLenders := func() map[zonefailover.TaskAttempt]bool {
		tasks := map[zonefailover.TaskAttempt]bool{}
		for _, p := range recorded {
			rec, err := storage.DecodeZoneFailover(p)
			if err != nil {
				t.Fatal(err)
			}
			for _, row := range rec.Loans {
				tasks[zonefailover.LoanFromRow(row).Lender] = true
			}
		}
		return tasks
	}
	transactions := 0
	for write() {
		transactions++
		recordedLenders, open := readRecordedLenders(), map[string]bool{}
		for i := range loans {
			if z.AwaitsPreemption(lender(i)) {
				open[borrower(i)] = true
			} else if !recordedLenders[lender(i)] {
				t.Fatalf("the lender of loan %d may be preempted before the loan is recorded", i)
			}
		}
		for i := range loans {
			if open[borrower(i)] && !z.AwaitsPreemption(lender(i)) {
				t.Fatalf("the lender of loan %d may be preempted before other lenders of the same job", i)
			}
		}
	}
	waiting := 0
	for i := range loans {
		if z.AwaitsPreemption(lender(i)) {
			waiting++
		}
	}
	if waiting > 0 || transactions < 2 {
		t.Errorf(
			"%d lenders still await preemption after %d transactions, want none after at least 2",
			waiting,
			transactions,
		)
	}
	h.records = recorded
	h.startTerm(7)
	if got := h.scheduler.zoneFailover.Ledger().Len(); got != loans {
		t.Errorf("the next leader recovered %d loans, want %d", got, loans)
	}
	z = h.scheduler.zoneFailover
	for _, loan := range z.Ledger().Loans() {
		z.CloseLoan(loan, zonefailover.Repaid)
	}
	for range loans {
		h.now += CycleInterval
		write()
	}
	if len(recorded) != 1 {
		t.Errorf("%d pages are left, want 1", len(recorded))
	}
}
