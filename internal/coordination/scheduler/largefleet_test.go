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

// manyMachines is a fleet larger than any deployment has run with.
const manyMachines = 4000

func machineName(i int) string { return fmt.Sprintf("m%05d", i) }

// largeFleetRecords returns what an earlier leader recorded of one job for each machine, with a task there.
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
		r.Pages = append(r.Pages, protocol.KeyValue{Key: productionPage(id), Value: page, Revision: uint64(i + 10)})
	}
	return r
}

// TestTakeOverOfManyMachines: a new leader knows of thousands of placements at once, reads the list
// of their machines, and asks those that don't report by themselves, each once and no more in a
// second than its share of a core allows. What runs goes on: nothing is started again, nothing is
// returned, and every task is known as running once its machine was heard.
func TestTakeOverOfManyMachines(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	cfg := *b.scheduler.cfg
	cfg.Quota.CoreShare, cfg.Cloud.RPS = 0.336, 4
	records := largeFleetRecords(t, manyMachines)
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
	b.scheduler = New(0, Options{
		Config:  &cfg,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Term:    Term{Number: 5, Revision: 1},
		Records: records,
	})
	var list []protocol.ListedMachine
	for i := range manyMachines {
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
		b.zoneOf[machineName(i)], b.tasks[machineName(i)] = "a", map[protocol.TaskID]protocol.TaskStatus{}
	}
	asked, second := map[string]int{}, 0
	b.onEffect = func(e Effect) {
		switch e := e.(type) {
		case Probe:
			asked[e.Machine]++
			second++
		case Write:
			if e.Priority == PriorityStart {
				t.Errorf("placements are written: %s", e.VerifyKey)
			}
		case CloudRequest:
			if _, ok := e.Effect.(autoscaler.ScaleIn); ok {
				t.Errorf("machines are returned: %v", e.Effect)
			}
		}
	}
	running := func(i int) protocol.TaskStatus {
		return protocol.TaskStatus{TaskName: fmt.Sprintf("j-%06d/0", i), Attempt: 1, State: protocol.TaskRunning}
	}
	perSecond := int(probesPerCore * cfg.Quota.CoreShare)
	b.apply(MachinesListed{RequestedAt: b.now, Machines: list})
	for i := 0; i < manyMachines; i += 2 {
		b.heartbeat(machineName(i), "a", false, running(i)) // these report by themselves
	}
	early := len(asked)
	for range manyMachines/perSecond + 1 {
		if second > perSecond {
			t.Fatalf("%d inspections in a second, want %d at most", second, perSecond)
		}
		second = 0
		b.runCycle()
	}
	for i := range manyMachines {
		switch n := asked[machineName(i)]; {
		case n > 1, i%2 == 1 && n != 1:
			t.Fatalf("%s was asked %d times", machineName(i), n)
		case i%2 == 0 && n == 1:
			early--
		}
	}
	if early < 0 {
		t.Errorf("%d machines were asked after they had reported", -early)
	}
	for i := 1; i < manyMachines; i += 2 {
		b.tasks[machineName(i)][protocol.TaskID{JobID: fmt.Sprintf("j-%06d", i)}] = running(i)
		b.apply(ProbeReply{Heartbeat: b.nextHeartbeat(machineName(i))})
	}
	for i := range manyMachines {
		if st, ok := b.scheduler.Status(fmt.Sprintf("j-%06d", i)); !ok || st.RunningTasks != 1 {
			t.Fatalf("job %d: %+v %v", i, st, ok)
		}
	}
	if len(b.runs) > 0 {
		t.Errorf("%d tasks were started again", len(b.runs))
	}
}

// TestLedgerOfManyLoans: far more loans than fit one transaction are recorded a transaction at a time,
// each of a size that the state service takes; what lends to one job is taken together, and only when
// all of it is recorded; the next leader finds every one; and when all have ended, all pages but the
// first are gone. Beyond one transaction loans had been refused.
func TestLedgerOfManyLoans(t *testing.T) {
	const loans, perBorrower = 1000, 7
	b := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	b.scheduler.cfg.Quota.RAMMB = 49
	b.takeOver(6)
	z := b.scheduler.zoneFailover
	borrower := func(i int) string { return fmt.Sprintf("j-%06d", 900_000+i/perBorrower) }
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
		if err := z.OpenLoans(b.scheduler.failoverRecordLimits(), loan); err != nil {
			t.Fatalf("%d loans may be open, want %d: %v", i, loans, err)
		}
	}
	recorded := map[string]protocol.KeyValue{}
	rev := uint64(1000)
	write := func() bool {
		b.scheduler.effects = nil
		b.scheduler.writeFailoverRecords(b.now)
		for _, e := range b.scheduler.effects {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			if len(w.Txn.Then) > b.scheduler.recordLimits.PagesPerTransaction() {
				t.Fatalf("%d pages in a transaction", len(w.Txn.Then))
			}
			rev++
			for _, op := range w.Txn.Then {
				delete(recorded, op.DeleteKey)
				if op.PutKey != "" {
					recorded[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: rev}
				}
			}
			b.scheduler.Step(b.now, TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: rev})
			return true
		}
		return false
	}
	held := func() map[zonefailover.TaskAttempt]bool {
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
		onRecord, open := held(), map[string]bool{}
		for i := range loans {
			if z.AwaitsPreemption(lender(i)) {
				open[borrower(i)] = true
			} else if !onRecord[lender(i)] {
				t.Fatalf("loan %d is taken and not recorded", i)
			}
		}
		for i := range loans {
			if open[borrower(i)] && !z.AwaitsPreemption(lender(i)) {
				t.Fatalf("loan %d is taken before others to the same job", i)
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
		t.Errorf("%d loans are not taken after %d transactions", waiting, transactions)
	}
	b.records = recorded
	b.takeOver(7)
	if got := b.scheduler.zoneFailover.Ledger().Len(); got != loans {
		t.Errorf("the next leader knows of %d loans, want %d", got, loans)
	}
	z = b.scheduler.zoneFailover
	for _, loan := range z.Ledger().Loans() {
		z.CloseLoan(loan, zonefailover.Repaid)
	}
	for range loans {
		b.now += CycleInterval
		write()
	}
	if len(recorded) != 1 {
		t.Errorf("%d pages are left", len(recorded))
	}
}
