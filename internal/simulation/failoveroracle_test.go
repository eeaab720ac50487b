package simulation

import (
	"strings"
	"testing"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// TestRecoveryOrderOracle checks that the oracle reports a placement on capacity that an earlier job could have used,
// and no other placement.
func TestRecoveryOrderOracle(t *testing.T) {
	gpus := func(n float64) machineregistry.Resources { return machineregistry.Resources{GPUs: n} }
	job := func(id string, position, level, tasks int, n float64) WaitingJob {
		return WaitingJob{
			ID:            id,
			Position:      position,
			PriorityLevel: level,
			Tasks:         tasks,
			Resources:     gpus(n),
			MaxPerZone:    map[string]int{"b": 2},
		}
	}
	machines := map[string]FreeCapacity{"m1": {"b", gpus(1)}, "m2": {"b", gpus(0)}, "m3": {"c", gpus(0)}}
	late := job("late", 1, 0, 1, 4)
	for _, row := range []struct {
		name     string
		starts   []PlacedTask
		waits    WaitingJob
		violated bool
	}{
		{"earlier job waits for the capacity", []PlacedTask{{late, "m1", false}}, job("early", 0, 2, 1, 4), true},
		{"within the guaranteed quota", []PlacedTask{{late, "m1", true}}, job("early", 0, 2, 1, 4), false},
		{
			"same position, lower priority placed first",
			[]PlacedTask{{job("low", 0, 2, 1, 4), "m1", false}},
			job("early", 0, 1, 1, 4),
			true,
		},
		{"capacity too small for the earlier job", []PlacedTask{{late, "m1", false}}, job("early", 0, 0, 1, 8), false},
		{"placed in recovery order", []PlacedTask{{late, "m1", false}}, job("later", 2, 0, 1, 4), false},
		{"gang that would not fit anyway", []PlacedTask{{late, "m1", false}}, job("early", 0, 0, 2, 4), false},
		{
			"gang that would have fitted",
			[]PlacedTask{{late, "m1", false}, {late, "m2", false}},
			job("early", 0, 0, 2, 4),
			true,
		},
		{"excluded machine", []PlacedTask{{late, "m1", false}}, WaitingJob{
			ID: "early", Tasks: 1, Resources: gpus(4),
			MaxPerZone: map[string]int{"b": 2}, ExcludedMachines: map[string]bool{"m1": true},
		}, false},
		{
			"single-zone gang with capacity in two zones",
			[]PlacedTask{{late, "m1", false}, {late, "m3", false}},
			WaitingJob{
				ID:         "early",
				Tasks:      2,
				SameZone:   true,
				Resources:  gpus(4),
				MaxPerZone: map[string]int{"b": 2, "c": 2},
			},
			false,
		},
		{
			"zone that the earlier job must not use",
			[]PlacedTask{{late, "m1", false}},
			WaitingJob{ID: "early", Tasks: 1, Resources: gpus(4)},
			false,
		},
	} {
		var o RecoveryOrderOracle
		o.CheckCycle(row.starts, []WaitingJob{row.waits}, machines)
		if (len(o.Violations) > 0) != row.violated {
			t.Errorf("%s: violations %v, want some only if the row is violated", row.name, o.Violations)
		}
	}
}

// TestLoanOracle checks that the oracle reports each kind of violation of the rules for loans, and nothing else.
func TestLoanOracle(t *testing.T) {
	row := func(number uint64, attempt uint64) storage.LoanRow {
		return storage.LoanRow{Term: 1, Number: number, Lender: "j-1", Attempt: attempt, Borrower: "j-2"}
	}
	later := row(1, 1)
	later.Term = 2
	fair := LenderObservation{LenderLevel: 2, BorrowerLevel: 0}
	samePriority := LenderObservation{LenderLevel: 2, BorrowerLevel: 2}
	critical := LenderObservation{LenderLevel: 0, BorrowerLevel: -1}
	withinQuota := LenderObservation{LenderLevel: 2, ProtectedByQuota: true}
	for _, x := range []struct {
		name   string
		lender LenderObservation
		steps  [][]storage.LoanRow
		want   string
	}{
		{"fair", fair, [][]storage.LoanRow{{row(1, 1)}, {row(1, 1)}, {}, {row(2, 2)}, {}}, ""},
		{"twice at the same time", fair, [][]storage.LoanRow{{row(1, 1), row(2, 1)}, {}}, "twice"},
		{"twice", fair, [][]storage.LoanRow{{row(1, 1)}, {row(2, 1)}, {}}, "lent twice"},
		{"again by a leader of a later term", fair, [][]storage.LoanRow{{row(1, 1)}, {later}, {}}, ""},
		{"again after its end", fair, [][]storage.LoanRow{{row(1, 1)}, {}, {row(1, 1)}, {}}, "again"},
		{"of the same priority", samePriority, [][]storage.LoanRow{{row(1, 1)}, {}}, "protected"},
		{"critical", critical, [][]storage.LoanRow{{row(1, 1)}, {}}, "protected"},
		{"within its quota", withinQuota, [][]storage.LoanRow{{row(1, 1)}, {}}, "protected"},
		{"never closed", fair, [][]storage.LoanRow{{row(1, 1)}}, "never closed"},
	} {
		o := NewLoanOracle()
		for _, rows := range x.steps {
			o.CheckRecords(rows, func(storage.LoanRow) LenderObservation { return x.lender })
		}
		o.CheckAllClosed()
		if got := strings.Join(o.Violations, "; "); (got == "") != (x.want == "") || !strings.Contains(got, x.want) {
			t.Errorf("%s: violations %q, want %q among them, or none if that is empty", x.name, got, x.want)
		}
	}
}
