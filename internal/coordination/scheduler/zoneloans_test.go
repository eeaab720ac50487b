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

// newLendingHarness returns a harness in which zone a has just been lost. Each of the two zones has three machines, all
// of them full: zone a runs an urgent gang of one task and arrays that may run only there; zone b runs arrays of lower
// priority that can lend. An array has the given number of tasks, which fill a machine together.
func newLendingHarness(t *testing.T, tasks int) *zoneHarness {
	t.Helper()
	h := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	h.addMachines(6)
	h.runSeconds(2)
	gang := jobSpec("j-0", protocol.Gang, "urgent", 1, 8)
	gang.Zone = "a"
	h.submit(gang)
	h.runSeconds(3)
	h.scheduler.jobs["j-0"].Spec.Zone = "" // from now on the gang may run in any zone
	for i, id := range []string{"j-1", "j-2", "j-3", "j-4", "j-5"} {
		low := jobSpec(id, protocol.Array, "best_effort", tasks, float64(8/tasks))
		low.Zone = []string{"b", "a"}[i%2]
		h.submit(low)
	}
	h.runSeconds(4)
	if n, want := len(h.placedAttempts()), 1+5*tasks; n != want {
		t.Fatalf("%d of %d tasks are placed, want all", n, want)
	}
	h.loseZone()
	return h
}

// TestLoanIsRepaid checks that a lost gang borrows from the tasks of lower priority that lose least, and that these are
// placed again when the zone is back.
func TestLoanIsRepaid(t *testing.T) {
	h := newLendingHarness(t, 2)
	h.runUntilLoan(t)
	h.runSeconds(5)
	if h.scheduler.jobs["j-0"].PlacedTasks() != 1 {
		t.Fatal("the gang was not placed again")
	}
	for _, id := range []string{"j-1", "j-3", "j-5"} {
		h.scheduler.jobs[id].Spec.Zone = "" // so that the lenders may use the returning capacity
	}
	h.restoreZone(func(int) bool { return true })
	h.runSeconds(30)
	h.requireOutcomes(t, zonefailover.Repaid)
	if fenced := countDecisions[zonefailover.MachineFenced](h.decisions); fenced != 1 {
		t.Errorf("%d machines fenced, want only that of the gang", fenced)
	}
}

// TestLoanIsRecordedFirst checks that no lender is preempted before its loan is recorded.
func TestLoanIsRecordedFirst(t *testing.T) {
	h := newLendingHarness(t, 2)
	before := h.placedAttempts()
	h.unanswered = func(w Write) bool { return strings.HasPrefix(w.VerifyKey, storage.ZoneFailoverPrefix) }
	h.runSeconds(60)
	if countDecisions[zonefailover.LoanOpened](h.decisions) == 0 {
		t.Fatal("no loan was opened")
	}
	for placed := range before {
		if lender := placed.id.JobID; (lender == "j-1" || lender == "j-3" || lender == "j-5") &&
			!h.placedAttempts()[placed] {
			t.Errorf("%v was stopped for a loan that is not recorded", placed.id)
		}
	}
	h.unanswered = nil
	h.runSeconds(10)
	if h.scheduler.jobs["j-0"].PlacedTasks() != 1 {
		t.Error("the gang was not placed again after the loan was recorded")
	}
}

// TestLeaderCrashBeforePreemptingLender checks that, if a leader fails after recording a loan and before preempting the
// lender, the next leader closes the loan and the lender continues to run.
func TestLeaderCrashBeforePreemptingLender(t *testing.T) {
	h := newLendingHarness(t, 2)
	h.runUntilLoan(t)
	loan := h.scheduler.zoneFailover.Ledger().Loans()[0]
	rec := &storage.ZoneFailoverRecord{
		Format: storage.ZoneFailoverFormat, Loans: []storage.LoanRow{loan.Row()},
		Zones: []storage.ZoneRow{{Name: "a", State: int(zonefailover.Lost), SinceMS: h.now.Milliseconds()}},
	}
	value, err := protocol.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	next := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	next.now = h.now
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
				*h.scheduler.machines.MachineType("g8"),
			},
			LiveJobs: []protocol.KeyValue{{Key: storage.LiveJobKey(low.ID), Value: live, Revision: 1}},
			PlacementPages: []protocol.KeyValue{
				{Key: originalPageKey(low.ID), Value: raw, Revision: 2},
			},
			ZoneFailoverPages: []protocol.KeyValue{next.records[storage.ZoneFailoverKey(0)]},
		},
		WallClockMS:   next.now.Milliseconds(),
		RecoveryOrder: next.order,
	})
	if next.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Lost ||
		next.scheduler.zoneFailover.Ledger().Len() != 1 {
		t.Fatalf("the records were not recovered: %+v", next.scheduler.zoneFailover.Monitor().Zones())
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
		t.Errorf("loans ended as %v, want one that ended without a preemption", ends)
	}
	if len(next.stops) > 0 {
		t.Errorf("the lender was stopped: %v", next.stops)
	}
	if rows := next.storedLoans(); len(rows) != 0 {
		t.Errorf("loans still recorded: %+v", rows)
	}
}

// TestLoanEndsWithItsJobs checks that the cancellation of a lender ends its loan, and that a borrower that ends early
// returns the capacity.
func TestLoanEndsWithItsJobs(t *testing.T) {
	h := newLendingHarness(t, 2)
	h.runUntilLoan(t)
	h.runSeconds(3)
	lender := h.scheduler.zoneFailover.Ledger().Loans()[0].Lender.Job
	h.step(JobEnded{ID: lender})
	h.runSeconds(5)
	if !slices.Contains(h.loanOutcomes(), zonefailover.LenderEnded) {
		t.Errorf("loans ended as %v, want one whose lender ended", h.loanOutcomes())
	}

	h = newLendingHarness(t, 2)
	h.runUntilLoan(t)
	h.runSeconds(3)
	h.step(JobEnded{ID: "j-0"})
	h.runSeconds(30)
	h.requireOutcomes(t, zonefailover.Repaid)
}

// TestGangShortOfOneTask checks the loss of a gang of two tasks for which there is capacity for only one task
// elsewhere: no task lends and no machine is fenced for it, and the whole gang starts when the zone is back.
func TestGangShortOfOneTask(t *testing.T) {
	h := newZoneHarness(zonefailover.DefaultRecoveryOrder(), config.Team{Name: "red"})
	h.addMachines(6)
	h.runSeconds(2)
	for i, j := range []protocol.Job{
		jobSpec("j-0", protocol.Gang, "urgent", 2, 8),
		jobSpec("j-1", protocol.Service, "critical", 2, 8),
		jobSpec("j-2", protocol.Service, "critical", 1, 8),
	} {
		j.Zone = []string{"a", "b", "a"}[i]
		h.submit(j)
	}
	low := jobSpec("j-3", protocol.Array, "best_effort", 2, 4)
	low.Zone = "b"
	h.submit(low)
	h.runSeconds(5)
	h.scheduler.jobs["j-0"].Spec.Zone = "" // from now on the gang may run in any zone
	h.loseZone()
	h.runSeconds(60)
	if countDecisions[zonefailover.LoanOpened](
		h.decisions,
	)+countDecisions[zonefailover.MachineFenced](
		h.decisions,
	) > 0 ||
		len(h.stops) > 0 {
		t.Fatalf("capacity was taken for half of a gang:\n%s", strings.Join(h.describeDecisions(), "\n"))
	}
	h.restoreZone(func(int) bool { return true })
	h.runSeconds(5)
	if got := h.scheduler.jobs["j-0"].PlacedTasks(); got != 2 {
		t.Errorf("%d of 2 tasks are placed when the zone is back, want both", got)
	}
}

// TestNoBackfillWhileCapacityIsLent checks that a gang keeps the capacity that is held for it while the rest of what it
// needs is lent and about to become free. Otherwise it would release that capacity to smaller jobs in its fourth
// unschedulable cycle.
func TestNoBackfillWhileCapacityIsLent(t *testing.T) {
	h := newLendingHarness(t, 1)
	h.runSeconds(20)
	if h.scheduler.zoneFailover.Monitor().State("a") != zonefailover.Lost {
		t.Fatal("zone a is not lost")
	}
	h.step(JobEnded{ID: "j-1"}) // its machine becomes free within the next second
	h.runSecond()
	gang := jobSpec("j-8", protocol.Gang, "urgent", 2, 8)
	small := jobSpec("j-9", protocol.Array, "normal", 1, 8)
	gang.Zone, small.Zone = "b", "b"
	h.submit(gang)
	h.submit(small)
	h.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
	h.scheduler.jobs["j-8"].UnschedulableCycles = gangHoldCycles
	h.runSecond()
	if countDecisions[zonefailover.LoanOpened](h.decisions) == 0 {
		t.Fatalf("no capacity was lent:\n%s", strings.Join(h.describeDecisions(), "\n"))
	}
	if h.scheduler.jobs["j-9"].PlacedTasks() > 0 {
		t.Error("a smaller job uses the capacity")
	}
	h.runSeconds(5)
	if got := h.scheduler.jobs["j-8"].PlacedTasks(); got != 2 {
		t.Errorf("%d of 2 tasks of the gang are placed, want both", got)
	}
}

// TestNoLoanForPartialGang checks that nothing is lent to a gang that would be incomplete even with all capacity that
// can be lent, and that no task is preempted for it in another way.
func TestNoLoanForPartialGang(t *testing.T) {
	h := newLendingHarness(t, 1)
	h.runSeconds(20)
	gang := jobSpec("j-8", protocol.Gang, "urgent", 4, 8)
	gang.Zone = "b"
	h.submit(gang)
	h.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
	before := h.placedAttempts()
	h.runSeconds(8)
	if countDecisions[zonefailover.LoanOpened](h.decisions) > 0 {
		t.Errorf("capacity was lent:\n%s", strings.Join(h.describeDecisions(), "\n"))
	}
	for placed := range before {
		if !h.placedAttempts()[placed] {
			t.Errorf("%v was stopped", placed.id)
		}
	}
}

// TestQuotaBoundsLoans checks that a team never lends capacity within its guaranteed quota. Each of its tasks alone is
// beyond the quota here, but not all of them together.
func TestQuotaBoundsLoans(t *testing.T) {
	for _, tc := range []struct {
		guarantee float64
		lends     bool
	}{{8, false}, {4, true}} {
		h := newZoneHarness(
			zonefailover.DefaultRecoveryOrder(),
			config.Team{Name: "red", GuaranteedGPUs: tc.guarantee},
			config.Team{Name: "blue"},
		)
		h.addMachines(6)
		h.runSeconds(2)
		for _, j := range []protocol.Job{
			jobSpec("j-2", protocol.Array, "critical", 2, 6),
			jobSpec("j-1", protocol.Array, "best_effort", 2, 4), // of red, on the only machine that can be borrowed
			jobSpec("j-3", protocol.Array, "best_effort", 1, 2), // of red, beside a critical job
		} {
			j.Zone = "b"
			if j.Priority == "critical" {
				j.Team = "blue"
			}
			h.submit(j)
			h.runSeconds(2)
		}
		if used := h.scheduler.machines.TeamUsage("red").GPUs; used != 10 {
			t.Fatalf("red uses %v GPUs, want 10", used)
		}
		h.loseZone()
		h.runSeconds(20)
		gang := jobSpec("j-8", protocol.Gang, "urgent", 1, 8)
		gang.Zone, gang.Team = "b", "blue"
		h.submit(gang)
		h.scheduler.zoneFailover.Monitor().Restore(zonefailover.Zone{Name: "a", State: zonefailover.Lost, Since: h.now})
		h.scheduler.zoneFailover.MarkDisplaced("j-8", "a")
		h.runSeconds(5)
		if got := countDecisions[zonefailover.LoanOpened](h.decisions) > 0; got != tc.lends {
			t.Errorf(
				"guarantee %v: lent %v, want %v\n%s",
				tc.guarantee,
				got,
				tc.lends,
				strings.Join(h.describeDecisions(), "\n"),
			)
		}
	}
}
