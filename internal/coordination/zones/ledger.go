package zones

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Errors of the ledger.
var (
	// ErrLedgerFull says that no further loan can be kept in the records.
	ErrLedgerFull = errors.New("ledger of loans is full")
	// ErrLentAlready says that a task's room is lent already.
	ErrLentAlready = errors.New("room is lent already")
)

// LentTask names what lends its room: one attempt of a task.
type LentTask struct {
	Job     string
	Task    int
	Attempt uint64
}

// Loan is room that lower work gives up for work that a lost zone had.
type Loan struct {
	Term, Number uint64 // of the leader that made it, and within its term
	Lender       LentTask
	Borrower     string // job
	Machine      string
	Zone         string  // whose loss is the reason
	LostS        float64 // work that the lender loses, in seconds
	AtMS         int64   // time of day
	UntilMS      int64   // when it is written off at the latest
}

// String returns the loan in a form for logs.
func (l Loan) String() string {
	return fmt.Sprintf("%d.%d: %s/%d attempt %d on %s to %s for zone %s, %.0f s lost",
		l.Term, l.Number, l.Lender.Job, l.Lender.Task, l.Lender.Attempt, l.Machine, l.Borrower, l.Zone, l.LostS)
}

// End is how a loan ended.
type End string

// Ends of loans.
const (
	Repaid      End = "repaid"       // the lender's task has room again
	LenderEnded End = "lender ended" // its job or task is over
	NotTaken    End = "not taken"    // a leader ended between recording and taking it
	WrittenOff  End = "written off"  // its time is over
)

// Ledger holds the open loans. It is the image of what the records say, or shall say.
type Ledger struct {
	most  int
	loans map[LentTask]Loan
}

// NewLedger returns an empty ledger for at most so many open loans.
func NewLedger(most int) *Ledger {
	return &Ledger{most: most, loans: map[LentTask]Loan{}}
}

// Open enters loans, all or none.
func (l *Ledger) Open(loans ...Loan) error {
	if len(l.loans)+len(loans) > l.most {
		return fmt.Errorf("%w: %d open, %d more", ErrLedgerFull, len(l.loans), len(loans))
	}
	for i, loan := range loans {
		same := func(o Loan) bool { return o.Lender == loan.Lender }
		if l.Lent(loan.Lender) || slices.ContainsFunc(loans[:i], same) {
			return fmt.Errorf("%w: %v", ErrLentAlready, loan.Lender)
		}
	}
	for _, loan := range loans {
		l.loans[loan.Lender] = loan
	}
	return nil
}

// Lent says whether a task's room is lent.
func (l *Ledger) Lent(t LentTask) bool {
	_, ok := l.loans[t]
	return ok
}

// Close ends a loan, and returns it.
func (l *Ledger) Close(t LentTask) (Loan, bool) {
	loan, ok := l.loans[t]
	delete(l.loans, t)
	return loan, ok
}

// Len returns the number of open loans.
func (l *Ledger) Len() int { return len(l.loans) }

// Loans returns the open loans, the oldest first.
func (l *Ledger) Loans() []Loan {
	out := make([]Loan, 0, len(l.loans))
	for _, loan := range l.loans {
		out = append(out, loan)
	}
	slices.SortFunc(out, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.AtMS, b.AtMS), cmp.Compare(a.Term, b.Term), cmp.Compare(a.Number, b.Number))
	})
	return out
}

// Debts returns what each lender has lost by its open loans.
func (l *Ledger) Debts() map[string]float64 {
	debts := map[string]float64{}
	for _, loan := range l.Loans() {
		debts[loan.Lender.Job] += 1 + loan.LostS
	}
	return debts
}
