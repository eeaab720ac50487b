package simulation

import (
	"strings"
	"testing"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// TestRecoveryOrderOracle: the oracle sees a start that takes an earlier job's room, and no other.
func TestRecoveryOrderOracle(t *testing.T) {
	need := func(n float64) machineregistry.Resources { return machineregistry.Resources{GPUs: n} }
	job := func(id string, position, level, tasks int, n float64) WaitingJob {
		return WaitingJob{
			ID:            id,
			Position:      position,
			PriorityLevel: level,
			Tasks:         tasks,
			Resources:     need(n),
			MaxPerZone:    map[string]int{"b": 2},
		}
	}
	rooms := map[string]FreeMachine{"m1": {"b", need(1)}, "m2": {"b", need(0)}, "m3": {"c", need(0)}}
	late := job("late", 1, 0, 1, 4)
	for _, row := range []struct {
		name   string
		starts []PlacedTask
		waits  WaitingJob
		broken bool
	}{
		{"an earlier job waits for the room", []PlacedTask{{late, "m1", false}}, job("early", 0, 2, 1, 4), true},
		{"within its team's guarantee", []PlacedTask{{late, "m1", true}}, job("early", 0, 2, 1, 4), false},
		{
			"of the same item, lower priority first",
			[]PlacedTask{{job("low", 0, 2, 1, 4), "m1", false}},
			job("early", 0, 1, 1, 4),
			true,
		},
		{"room that it could not use", []PlacedTask{{late, "m1", false}}, job("early", 0, 0, 1, 8), false},
		{"in the order", []PlacedTask{{late, "m1", false}}, job("later", 2, 0, 1, 4), false},
		{"a gang that is short all the same", []PlacedTask{{late, "m1", false}}, job("early", 0, 0, 2, 4), false},
		{
			"a gang that had fitted",
			[]PlacedTask{{late, "m1", false}, {late, "m2", false}},
			job("early", 0, 0, 2, 4),
			true,
		},
		{"a machine that it must not use", []PlacedTask{{late, "m1", false}}, WaitingJob{
			ID: "early", Tasks: 1, Resources: need(4),
			MaxPerZone: map[string]int{"b": 2}, ExcludedMachines: map[string]bool{"m1": true},
		}, false},
		{
			"a gang of one zone with room in two",
			[]PlacedTask{{late, "m1", false}, {late, "m3", false}},
			WaitingJob{
				ID:         "early",
				Tasks:      2,
				SameZone:   true,
				Resources:  need(4),
				MaxPerZone: map[string]int{"b": 2, "c": 2},
			},
			false,
		},
		{
			"a zone that it must not use",
			[]PlacedTask{{late, "m1", false}},
			WaitingJob{ID: "early", Tasks: 1, Resources: need(4)},
			false,
		},
	} {
		var o RecoveryOrderOracle
		o.CheckCycle(row.starts, []WaitingJob{row.waits}, rooms)
		if (len(o.Violations) > 0) != row.broken {
			t.Errorf("%s: %v", row.name, o.Violations)
		}
	}
}

// TestLoanOracle: each violation of the rules on lending is found, and no other.
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
		{"twice at a time", fair, [][]storage.LoanRow{{row(1, 1), row(2, 1)}, {}}, "twice"},
		{"twice", fair, [][]storage.LoanRow{{row(1, 1)}, {row(2, 1)}, {}}, "lent twice"},
		{"twice, as the first leader ended too soon", fair, [][]storage.LoanRow{{row(1, 1)}, {later}, {}}, ""},
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
			t.Errorf("%s: %q, want %q", x.name, got, x.want)
		}
	}
}
