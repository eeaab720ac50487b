package zonefailover

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
	// ErrAlreadyLent says that a task's room is lent already.
	ErrAlreadyLent = errors.New("room is lent already")
)

// TaskAttempt names what lends its room: one attempt of a task.
type TaskAttempt struct {
	Job     string
	Task    int
	Attempt uint64
}

// Loan is room that lower work gives up for work that a lost zone had.
type Loan struct {
	Term, Number uint64 // of the leader that made it, and within its term
	Lender       TaskAttempt
	Borrower     string // job
	Machine      string
	Zone         string  // whose loss is the reason
	LostSeconds  float64 // work that the lender loses, in seconds
	CreatedMS    int64   // time of day
	ExpiresMS    int64   // when it is written off at the latest
}

// String returns the loan in a form for logs.
func (l Loan) String() string {
	return fmt.Sprintf("%d.%d: %s/%d attempt %d on %s to %s for zone %s, %.0f s lost",
		l.Term, l.Number, l.Lender.Job, l.Lender.Task, l.Lender.Attempt, l.Machine, l.Borrower, l.Zone, l.LostSeconds)
}

// LoanOutcome is how a loan ended.
type LoanOutcome string

// Ends of loans.
const (
	Repaid             LoanOutcome = "repaid"       // the lender's task has room again
	LenderEnded        LoanOutcome = "lender ended" // its job or task is over
	LenderNotPreempted LoanOutcome = "not taken"    // a leader ended between recording and taking it
	WrittenOff         LoanOutcome = "written off"  // its time is over
)

// Ledger holds the open loans. It is the image of what the records say, or shall say.
type Ledger struct {
	maxOpen int
	loans   map[TaskAttempt]Loan
}

// NewLedger returns an empty ledger for at most so many open loans.
func NewLedger(most int) *Ledger {
	return &Ledger{maxOpen: most, loans: map[TaskAttempt]Loan{}}
}

// Open enters loans, all or none.
func (l *Ledger) Open(loans ...Loan) error {
	if len(l.loans)+len(loans) > l.maxOpen {
		return fmt.Errorf("%w: %d open, %d more", ErrLedgerFull, len(l.loans), len(loans))
	}
	for i, loan := range loans {
		same := func(o Loan) bool { return o.Lender == loan.Lender }
		if l.IsLent(loan.Lender) || slices.ContainsFunc(loans[:i], same) {
			return fmt.Errorf("%w: %v", ErrAlreadyLent, loan.Lender)
		}
	}
	for _, loan := range loans {
		l.loans[loan.Lender] = loan
	}
	return nil
}

// IsLent says whether a task's room is lent.
func (l *Ledger) IsLent(t TaskAttempt) bool {
	_, ok := l.loans[t]
	return ok
}

// Close ends a loan, and returns it.
func (l *Ledger) Close(t TaskAttempt) (Loan, bool) {
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
		return cmp.Or(
			cmp.Compare(a.CreatedMS, b.CreatedMS),
			cmp.Compare(a.Term, b.Term),
			cmp.Compare(a.Number, b.Number),
		)
	})
	return out
}

// Debts returns what each lender has lost by its open loans.
func (l *Ledger) Debts() map[string]float64 {
	debts := map[string]float64{}
	for _, loan := range l.Loans() {
		debts[loan.Lender.Job] += 1 + loan.LostSeconds
	}
	return debts
}
