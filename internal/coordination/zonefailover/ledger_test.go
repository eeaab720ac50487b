package zonefailover

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLedger checks that no capacity is lent twice, that Open adds either all loans or none, and that Loans returns
// exactly the open loans in order of creation.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxLoans = 8
		l := NewLedger(maxLoans)
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
					t.Fatalf("closing the loan of %v returned %v, want the opposite", lender, ok)
				}
				delete(open, lender)
				continue
			}
			var loans []Loan
			duplicate := false
			fresh := map[TaskAttempt]bool{}
			for n := range rapid.IntRange(1, 3).Draw(t, "loans") {
				lender := task()
				duplicate = duplicate || open[lender] || fresh[lender]
				fresh[lender] = true
				loans = append(
					loans,
					Loan{Number: uint64(10*i + n), Lender: lender, CreatedMS: int64(i), LostSeconds: 2},
				)
			}
			err := l.Open(loans...)
			full := len(open)+len(loans) > maxLoans
			if (err != nil) != (duplicate || full) ||
				err != nil && !errors.Is(err, ErrLedgerFull) && !errors.Is(err, ErrAlreadyLent) {
				t.Fatalf("Open returned %v, with duplicate %v and full %v", err, duplicate, full)
			}
			if err == nil {
				for lender := range fresh {
					open[lender] = true
				}
			}
		}
		loans := l.Loans()
		if len(loans) != len(open) || l.Len() != len(open) {
			t.Fatalf("%d loans listed, want the %d open ones", len(loans), len(open))
		}
		owed := 0.0
		for i, loan := range loans {
			if !open[loan.Lender] || i > 0 && loans[i-1].CreatedMS > loan.CreatedMS {
				t.Fatalf("loan %v is not open or listed after the younger %v", loan, loans[max(0, i-1)])
			}
		}
		for _, debt := range l.Debts() {
			owed += debt
		}
		if owed != float64(3*len(open)) {
			t.Fatalf("total debt %v, want 3 for each of %d loans", owed, len(open))
		}
	})
}
