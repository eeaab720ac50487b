package zonefailover

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLedger: nothing is lent twice, loans are entered all or none, and what was entered is
// what is open, in order of age.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 8
		l := NewLedger(most)
		open := map[TaskAttempt]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			task := func() TaskAttempt {
				return TaskAttempt{
					Job:     fmt.Sprintf("j-%d", rapid.IntRange(0, 3).Draw(t, "job")),
					Task:    rapid.IntRange(0, 2).Draw(t, "task"),
					Attempt: 1,
				}
			}
			if rapid.Bool().Draw(t, "close") {
				lender := task()
				if _, ok := l.Close(lender); ok != open[lender] {
					t.Fatalf("closing %v: %v", lender, ok)
				}
				delete(open, lender)
				continue
			}
			var loans []Loan
			twice := false
			fresh := map[TaskAttempt]bool{}
			for n := range rapid.IntRange(1, 3).Draw(t, "loans") {
				lender := task()
				twice = twice || open[lender] || fresh[lender]
				fresh[lender] = true
				loans = append(
					loans,
					Loan{Number: uint64(10*i + n), Lender: lender, CreatedMS: int64(i), LostSeconds: 2},
				)
			}
			err := l.Open(loans...)
			full := len(open)+len(loans) > most
			if (err != nil) != (twice || full) ||
				err != nil && !errors.Is(err, ErrLedgerFull) && !errors.Is(err, ErrAlreadyLent) {
				t.Fatalf("%v: twice %v, full %v", err, twice, full)
			}
			if err == nil {
				for lender := range fresh {
					open[lender] = true
				}
			}
		}
		loans := l.Loans()
		if len(loans) != len(open) || l.Len() != len(open) {
			t.Fatalf("%d loans, %d are open", len(loans), len(open))
		}
		owed := 0.0
		for i, loan := range loans {
			if !open[loan.Lender] || i > 0 && loans[i-1].CreatedMS > loan.CreatedMS {
				t.Fatalf("%v after %v", loan, loans[max(0, i-1)])
			}
		}
		for _, debt := range l.Debts() {
			owed += debt
		}
		if owed != float64(3*len(open)) {
			t.Fatalf("%v owed for %d loans", owed, len(open))
		}
	})
}
