package zonefailover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Errors of Ledger.Open.
var (
	// ErrLedgerFull says that no further loan can be kept in the records.
	ErrLedgerFull = errors.New("loan ledger is full")
	// ErrAlreadyLent says that a task has lent its capacity already.
	ErrAlreadyLent = errors.New("capacity is already lent")
)

// TaskAttempt is one attempt of a task, which may lend its capacity.
type TaskAttempt struct {
	Job     string
	Task    int
	Attempt uint64
}

// Loan is capacity that a task of lower priority gives up for a job that has lost tasks with a zone.
type Loan struct {
	Term, Number uint64 // of the leader that opened it, and within its term
	Lender       TaskAttempt
	Borrower     string // job
	Machine      string
	Zone         string  // with which the borrower lost tasks
	LostSeconds  float64 // work that the lender loses, in seconds
	CreatedMS    int64   // time of day, in milliseconds since the epoch
	ExpiresMS    int64   // time of day after which it is written off
}

// String returns the loan in a form for logs.
func (l Loan) String() string {
	return fmt.Sprintf("%d.%d: %s/%d attempt %d on %s to %s for zone %s, %.0f s lost",
		l.Term, l.Number, l.Lender.Job, l.Lender.Task, l.Lender.Attempt, l.Machine, l.Borrower, l.Zone, l.LostSeconds)
}

// LoanOutcome is how a loan has ended.
type LoanOutcome string

// Outcomes of loans.
const (
	// Repaid: the lender's task has been placed again.
	Repaid LoanOutcome = "repaid"
	// LenderEnded: the lender's task or job has ended.
	LenderEnded LoanOutcome = "lender ended"
	// LenderNotPreempted: the loan was recorded, but its leader failed before it preempted the lender.
	LenderNotPreempted LoanOutcome = "lender not preempted"
	// WrittenOff: the loan has expired.
	WrittenOff LoanOutcome = "written off"
)

// Ledger holds the open loans, as they are recorded or about to be.
type Ledger struct {
	maxOpen int
	loans   map[TaskAttempt]Loan
}

// NewLedger returns an empty Ledger for at most maxOpen open loans.
func NewLedger(maxOpen int) *Ledger {
	return &Ledger{maxOpen: maxOpen, loans: map[TaskAttempt]Loan{}}
}

// Open adds loans: all, or with an error none.
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

// IsLent reports whether a task has lent its capacity.
func (l *Ledger) IsLent(t TaskAttempt) bool {
	_, ok := l.loans[t]
	return ok
}

// Close removes the loan of a lender and returns it.
func (l *Ledger) Close(t TaskAttempt) (Loan, bool) {
	loan, ok := l.loans[t]
	delete(l.loans, t)
	return loan, ok
}

// Len returns the number of open loans.
func (l *Ledger) Len() int { return len(l.loans) }

// Loans returns the open loans, oldest first.
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

// Debts returns what each job is owed for its open loans: the work that it lost, in seconds, and one for each loan.
func (l *Ledger) Debts() map[string]float64 {
	debts := map[string]float64{}
	for _, loan := range l.Loans() {
		debts[loan.Lender.Job] += 1 + loan.LostSeconds
	}
	return debts
}
