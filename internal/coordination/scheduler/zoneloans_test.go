package scheduler

import (
	"slices"
	"strings"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// newLendingHarness is a fleet of three machines a zone, all of them full. Zone a has an urgent gang
// of one task, and arrays that cannot be elsewhere; zone b has lower arrays that lend. An
// array has so many tasks, which fill a machine together.
func newLendingHarness(t *testing.T, tasks int) *zoneHarness {
	t.Helper()
	b := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	b.addMachines(6)
	b.runSeconds(2)
	gang := jobSpec("j-0", protocol.Gang, "urgent", 1, 8)
	gang.Zone = "a"
	b.submit(gang)
	b.runSeconds(3)
	b.scheduler.jobs["j-0"].Spec.Zone = "" // it was there by chance, and may go anywhere
	for i, id := range []string{"j-1", "j-2", "j-3", "j-4", "j-5"} {
		low := jobSpec(id, protocol.Array, "best_effort", tasks, float64(8/tasks))
		low.Zone = []string{"b", "a"}[i%2]
		b.submit(low)
	}
	b.runSeconds(4)
	if n, want := len(b.placedAttempts()), 1+5*tasks; n != want {
		t.Fatalf("%d of %d tasks are placed", n, want)
	}
	b.loseZone()
	return b
}

// TestLoanIsRepaid: a lost gang borrows from the work of lower priority that loses least, which is placed again when
// the zone is back.
func TestLoanIsRepaid(t *testing.T) {
	b := newLendingHarness(t, 2)
	b.runUntilLoan(t)
	b.runSeconds(5)
	if b.scheduler.jobs["j-0"].PlacedTasks() != 1 {
		t.Fatal("the gang is not back")
	}
	for _, id := range []string{"j-1", "j-3", "j-5"} {
		b.scheduler.jobs[id].Spec.Zone = "" // so that the lenders may go where room comes back
	}
	b.restoreZone(func(int) bool { return true })
	b.runSeconds(30)
	b.requireOutcomes(t, zonefailover.Repaid)
	if fenced := countDecisions[zonefailover.MachineFenced](b.decisions); fenced != 1 {
		t.Errorf("%d machines fenced, want the gang's alone", fenced)
	}
}

// TestLoanIsRecordedFirst: no lender is preempted before its loan is recorded.
func TestLoanIsRecordedFirst(t *testing.T) {
	b := newLendingHarness(t, 2)
	before := b.placedAttempts()
	b.unanswered = func(w Write) bool { return strings.HasPrefix(w.VerifyKey, storage.ZoneFailoverPrefix) }
	b.runSeconds(60)
	if countDecisions[zonefailover.LoanMade](b.decisions) == 0 {
		t.Fatal("no loan was made")
	}
	for on := range before {
		if lender := on.id.JobID; (lender == "j-1" || lender == "j-3" || lender == "j-5") && !b.placedAttempts()[on] {
			t.Errorf("%v is stopped by a loan that is not recorded", on.id)
		}
	}
	b.unanswered = nil
	b.runSeconds(10)
	if b.scheduler.jobs["j-0"].PlacedTasks() != 1 {
		t.Error("the gang is not back after the record was written")
	}
}

// TestLeaderCrashBeforePreemptingLender: a recorded loan whose leader failed before it preempted the lender is closed
// by the next leader, and the lender goes on.
func TestLeaderCrashBeforePreemptingLender(t *testing.T) {
	b := newLendingHarness(t, 2)
	b.runUntilLoan(t)
	loan := b.scheduler.zoneFailover.Ledger().Loans()[0]
	rec := &storage.ZoneFailoverRecord{
		Format: storage.ZoneFailoverFormat, Loans: []storage.LoanRow{loan.Row()},
		Zones: []storage.ZoneRow{{Name: "a", State: int(zonefailover.Lost), SinceMS: b.now.Milliseconds()}},
	}
	value, err := protocol.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	next := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	next.now = b.now
	next.records[storage.ZoneFailoverKey(0)] = protocol.KeyValue{
		Key:      storage.ZoneFailoverKey(0),
		Value:    value,
		Revision: 3,
	}
	page := storage.PlacementPage{
		HighestAttempt: loan.Lender.Attempt,
		Team:           "red",
		GPUs:           4,
		CPUs:           1,
		MemoryGB:       1,
		Zones:          []string{"b"},
		Placements: []storage.Placement{
			{Task: loan.Lender.Task, Machine: loan.Machine, Incarnation: 1, Attempt: loan.Lender.Attempt},
		},
	}
	raw, err := protocol.Encode(page)
	if err != nil {
		t.Fatal(err)
	}
	low := jobSpec(loan.Lender.Job, protocol.Array, "best_effort", 2, 4)
	live, err := protocol.Encode(storage.LiveJobRecord{Job: low})
	if err != nil {
		t.Fatal(err)
	}
	next.scheduler = New(next.now, Options{
		Config: next.scheduler.cfg,
		Log:    next.scheduler.log,
		Term:   Term{Number: 6, Revision: 6},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{
				*b.scheduler.machines.MachineType("g8"),
			},
			LiveJobs: []protocol.KeyValue{{Key: storage.LiveJobKey(low.ID), Value: live, Revision: 1}},
			Pages: []protocol.KeyValue{
				{Key: productionPage(low.ID), Value: raw, Revision: 2},
			},
			ZoneFailoverPages: []protocol.KeyValue{next.records[storage.ZoneFailoverKey(0)]},
		},
		WallClockMS:   next.now.Milliseconds(),
		RecoveryOrder: next.order,
	})
	if next.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Lost ||
		next.scheduler.zoneFailover.Ledger().Len() != 1 {
		t.Fatalf("the records are not taken over: %+v", next.scheduler.zoneFailover.Monitor().Zones())
	}
	next.tasks[loan.Machine], next.zoneOf[loan.Machine] = map[protocol.TaskID]protocol.TaskStatus{
		{JobID: low.ID, Index: loan.Lender.Task}: runningTask(
			protocol.TaskID{JobID: low.ID, Index: loan.Lender.Task},
			loan.Lender.Attempt,
		),
	}, "b"
	next.sequences[loan.Machine], next.tokens[loan.Machine] = 100, protocol.FencingToken(5, 0)
	next.runSeconds(3)
	if ends := next.loanOutcomes(); len(ends) != 1 || ends[0] != zonefailover.LenderNotPreempted {
		t.Errorf("ended as %v", ends)
	}
	if len(next.stops) > 0 {
		t.Errorf("the lender was stopped: %v", next.stops)
	}
	if rows := next.storedLoans(); len(rows) != 0 {
		t.Errorf("still recorded: %+v", rows)
	}
}

// TestLoanEndsWithItsJobs: a lender that is cancelled ends its loan, and a borrower that ends early gives the capacity
// back.
func TestLoanEndsWithItsJobs(t *testing.T) {
	b := newLendingHarness(t, 2)
	b.runUntilLoan(t)
	b.runSeconds(3)
	lender := b.scheduler.zoneFailover.Ledger().Loans()[0].Lender.Job
	b.step(JobEnded{ID: lender})
	b.runSeconds(5)
	if !slices.Contains(b.loanOutcomes(), zonefailover.LenderEnded) {
		t.Errorf("the cancelled lender's loan: %v", b.loanOutcomes())
	}

	b = newLendingHarness(t, 2)
	b.runUntilLoan(t)
	b.runSeconds(3)
	b.step(JobEnded{ID: "j-0"})
	b.runSeconds(30)
	b.requireOutcomes(t, zonefailover.Repaid)
}

// TestGangShortByOne: for a lost gang of two there is capacity for one task elsewhere. No task lends for that, no
// machine is fenced for it, and the gang starts whole when the zone is back.
func TestGangShortByOne(t *testing.T) {
	b := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	b.addMachines(6)
	b.runSeconds(2)
	for i, j := range []protocol.Job{
		jobSpec("j-0", protocol.Gang, "urgent", 2, 8),
		jobSpec("j-1", protocol.Service, "critical", 2, 8),
		jobSpec("j-2", protocol.Service, "critical", 1, 8),
	} {
		j.Zone = []string{"a", "b", "a"}[i]
		b.submit(j)
	}
	low := jobSpec("j-3", protocol.Array, "best_effort", 2, 4)
	low.Zone = "b"
	b.submit(low)
	b.runSeconds(5)
	b.scheduler.jobs["j-0"].Spec.Zone = "" // it was there by chance, and may go anywhere
	b.loseZone()
	b.runSeconds(60)
	if countDecisions[zonefailover.LoanMade](b.decisions)+countDecisions[zonefailover.MachineFenced](b.decisions) > 0 ||
		len(b.stops) > 0 {
		t.Fatalf("room is taken for half of a gang:\n%s", strings.Join(b.describeDecisions(), "\n"))
	}
	b.restoreZone(func(int) bool { return true })
	b.runSeconds(5)
	if got := b.scheduler.jobs["j-0"].PlacedTasks(); got != 2 {
		t.Errorf("%d of 2 tasks are placed when the zone is back", got)
	}
}

// TestNoBackfillWhileCapacityIsLent: in its fourth unschedulable cycle a gang opens the capacity that it holds to
// smaller jobs, but not while the rest of what it needs is lent and coming free.
func TestNoBackfillWhileCapacityIsLent(t *testing.T) {
	b := newLendingHarness(t, 1)
	b.runSeconds(20)
	if b.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Lost {
		t.Fatal("zone a is not lost")
	}
	b.step(JobEnded{ID: "j-1"}) // its machine comes free with the next second
	b.runSecond()
	gang := jobSpec("j-8", protocol.Gang, "urgent", 2, 8)
	small := jobSpec("j-9", protocol.Array, "normal", 1, 8)
	gang.Zone, small.Zone = "b", "b"
	b.submit(gang)
	b.submit(small)
	b.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
	b.scheduler.jobs["j-8"].UnschedulableCycles = gangHoldCycles
	b.runSecond()
	if countDecisions[zonefailover.LoanMade](b.decisions) == 0 {
		t.Fatalf("nothing was lent:\n%s", strings.Join(b.describeDecisions(), "\n"))
	}
	if b.scheduler.jobs["j-9"].PlacedTasks() > 0 {
		t.Error("a smaller job has the room")
	}
	b.runSeconds(5)
	if got := b.scheduler.jobs["j-8"].PlacedTasks(); got != 2 {
		t.Errorf("%d of 2 tasks of the gang are placed", got)
	}
}

// TestNoLoanForPartialGang: a gang that would not be whole with all that may be lent gets nothing, and no task is
// preempted for it in another way.
func TestNoLoanForPartialGang(t *testing.T) {
	b := newLendingHarness(t, 1)
	b.runSeconds(20)
	gang := jobSpec("j-8", protocol.Gang, "urgent", 4, 8)
	gang.Zone = "b"
	b.submit(gang)
	b.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
	before := b.placedAttempts()
	b.runSeconds(8)
	if countDecisions[zonefailover.LoanMade](b.decisions) > 0 {
		t.Errorf("room was lent:\n%s", strings.Join(b.describeDecisions(), "\n"))
	}
	for on := range before {
		if !b.placedAttempts()[on] {
			t.Errorf("%v was stopped", on.id)
		}
	}
}

// TestQuotaBoundsLoans: each task of a team is beyond its guaranteed quota, but not all of them together; together they
// do not lend what the team is guaranteed.
func TestQuotaBoundsLoans(t *testing.T) {
	for _, row := range []struct {
		guarantee float64
		lends     bool
	}{{8, false}, {4, true}} {
		b := newZoneHarness(
			zonefailover.DefaultRecoveryOrder(),
			config.Team{Name: "red", GuaranteedGPUs: row.guarantee},
			config.Team{Name: "blue"},
		)
		b.addMachines(6)
		b.runSeconds(2)
		for _, j := range []protocol.Job{
			jobSpec("j-2", protocol.Array, "critical", 2, 6),
			jobSpec("j-1", protocol.Array, "best_effort", 2, 4), // of red, the only ones whose machine could be had
			jobSpec("j-3", protocol.Array, "best_effort", 1, 2), // of red, beside a critical one
		} {
			j.Zone = "b"
			if j.Priority == "critical" {
				j.Team = "blue"
			}
			b.submit(j)
			b.runSeconds(2)
		}
		if used := b.scheduler.machines.TeamUsage("red").GPUs; used != 10 {
			t.Fatalf("red uses %v of 10 GPUs", used)
		}
		b.loseZone()
		b.runSeconds(20)
		gang := jobSpec("j-8", protocol.Gang, "urgent", 1, 8)
		gang.Zone, gang.Team = "b", "blue"
		b.submit(gang)
		b.scheduler.zoneFailover.Monitor().Restore(zonefailover.Zone{Name: "a", State: zonefailover.Lost, Since: b.now})
		b.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
		b.runSeconds(5)
		if got := countDecisions[zonefailover.LoanMade](b.decisions) > 0; got != row.lends {
			t.Errorf(
				"guarantee %v: lent %v, want %v\n%s",
				row.guarantee,
				got,
				row.lends,
				strings.Join(b.describeDecisions(), "\n"),
			)
		}
	}
}
