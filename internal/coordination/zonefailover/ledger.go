package zonefailover

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Errors returned by [Ledger.Open].
var (
	// ErrLedgerFull means that no further loan fits the ledger.
	ErrLedgerFull = errors.New("loan ledger is full")
	// ErrAlreadyLent means that a task has already lent its capacity.
	ErrAlreadyLent = errors.New("capacity is already lent")
)

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Job     string
	Task    int
	Attempt uint64
}

// Loan is capacity that a task of lower priority gives up to a job that lost tasks with a zone.
type Loan struct {
	Term, Number uint64 // of the leader that opened it, and sequence number within the term
	Lender       TaskAttempt
	Borrower     string // job ID
	Machine      string
	Zone         string  // zone with which the borrower lost tasks
	LostSeconds  float64 // work that the lender loses, in seconds
	CreatedMS    int64   // Unix time in milliseconds
	ExpiresMS    int64   // Unix time after which the loan is written off
}

// String returns a description of the loan for logs.
func (l Loan) String() string {
	return fmt.Sprintf("%d.%d: %s/%d attempt %d on %s lends to %s for zone %s, losing %.0f s of work",
		l.Term, l.Number, l.Lender.Job, l.Lender.Task, l.Lender.Attempt, l.Machine, l.Borrower, l.Zone, l.LostSeconds)
}

// LoanOutcome is the reason why a loan ended.
type LoanOutcome string

// Outcomes of loans.
const (
	// Repaid means that the lender's task has been placed again.
	Repaid LoanOutcome = "repaid"
	// LenderEnded means that the lender's task or job has ended.
	LenderEnded LoanOutcome = "lender ended"
	// LenderNotPreempted means that the leader failed after it recorded the loan and before it preempted the lender.
	LenderNotPreempted LoanOutcome = "lender not preempted"
	// WrittenOff means that the loan has expired.
	WrittenOff LoanOutcome = "written off"
)

// Ledger holds the open loans, including those that are about to be recorded.
type Ledger struct {
	maxOpen int
	loans   map[TaskAttempt]Loan
}

// NewLedger returns an empty Ledger that holds at most maxOpen loans.
func NewLedger(maxOpen int) *Ledger {
	return &Ledger{maxOpen: maxOpen, loans: map[TaskAttempt]Loan{}}
}

// Open adds all loans. If it returns an error, it has added none.
func (l *Ledger) Open(loans ...Loan) error {
	if len(l.loans)+len(loans) > l.maxOpen {
		return fmt.Errorf("%w: %d loans open, %d to add", ErrLedgerFull, len(l.loans), len(loans))
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

// IsLent reports whether a task attempt has lent its capacity.
func (l *Ledger) IsLent(t TaskAttempt) bool {
	_, ok := l.loans[t]
	return ok
}

// Close removes and returns the loan of a lender. It returns false if there is none.
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

// Debts returns the debt to each lending job for its open loans: one for each loan, plus the lost work in seconds.
func (l *Ledger) Debts() map[string]float64 {
	debts := map[string]float64{}
	for _, loan := range l.Loans() {
		debts[loan.Lender.Job] += 1 + loan.LostSeconds
	}
	return debts
}
