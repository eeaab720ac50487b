package zonefailover

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
)

// loanLifetimeFactor is the time after which a loan is written off, as a multiple of the time that a cancellation may
// take.
const loanLifetimeFactor = 20

// LenderState is the current state of a task whose capacity is or may be lent.
type LenderState struct {
	// Ended is set if the task is done or its job has ended.
	Ended bool
	// Placement is the task's current placement, or nil.
	Placement *machineregistry.Placement
}

// Lend opens loans from the lenders of a choice to a displaced job. The lenders are preempted only after the loans are
// recorded, so that if the leader fails in between, the next leader knows the loans. If Lend returns an error, it has
// opened no loan.
func (m *Manager) Lend(now time.Duration, borrower string, lenders []TaskAttempt, limits RecordLimits) error {
	loanLifetime := config.Seconds(loanLifetimeFactor * m.options.Settings.Workers.CancelSeconds)
	var loans []Loan
	for _, lender := range lenders {
		placement := m.options.Jobs.Lender(lender).Placement
		m.lastLoanNumber++
		loans = append(loans, Loan{
			Term:        m.options.Term,
			Number:      m.lastLoanNumber,
			Lender:      lender,
			Borrower:    borrower,
			Machine:     placement.Machine,
			Zone:        m.displacedJobs[borrower],
			LostSeconds: lostWorkSeconds(now, placement),
			CreatedMS:   m.unixMS(now),
			ExpiresMS:   m.unixMS(now + loanLifetime),
		})
	}
	return m.OpenLoans(limits, loans...)
}

// OpenLoans opens loans and schedules the write of their records. If it returns an error, it has opened none.
func (m *Manager) OpenLoans(limits RecordLimits, loans ...Loan) error {
	if err := m.ledger.Open(loans...); err != nil {
		return err
	}
	for _, loan := range loans {
		m.awaitingPreemption[loan.Lender] = true
		m.loansByJob[loan.Lender.Job]++
		m.records.addLoan(loan.Lender, limits.LoansPerPage)
		m.addDecision(LoanOpened{Loan: loan})
	}
	return nil
}

// AwaitsPreemption reports whether the lender of a loan made in this term has not been preempted yet.
func (m *Manager) AwaitsPreemption(lender TaskAttempt) bool { return m.awaitingPreemption[lender] }

// ClaimPreemption reports whether the lender of a recorded loan must be preempted now. It returns true only once per
// loan.
func (m *Manager) ClaimPreemption(lender TaskAttempt) bool {
	if !m.awaitingPreemption[lender] {
		return false
	}
	delete(m.awaitingPreemption, lender)
	return true
}

// CloseFinishedLoans closes the loans that have ended.
func (m *Manager) CloseFinishedLoans(now time.Duration) {
	for _, loan := range m.ledger.Loans() {
		if outcome := m.outcomeOf(now, loan); outcome != "" {
			m.CloseLoan(loan, outcome)
		}
	}
}

// CloseLoan closes an open loan with the given outcome.
func (m *Manager) CloseLoan(loan Loan, outcome LoanOutcome) {
	m.ledger.Close(loan.Lender)
	delete(m.awaitingPreemption, loan.Lender)
	m.records.removeLoan(loan.Lender)
	m.addDecision(LoanEnded{Loan: loan, Outcome: outcome})
}

// outcomeOf returns the outcome of a loan, or "" while it is open.
func (m *Manager) outcomeOf(now time.Duration, loan Loan) LoanOutcome {
	lender := m.options.Jobs.Lender(loan.Lender)
	if lender.Ended {
		return LenderEnded
	}
	placement := lender.Placement
	lends := placement != nil && placement.Attempt == loan.Lender.Attempt
	switch {
	case placement != nil && !lends && placement.StartAllowed:
		return Repaid
	case lends && !placement.Stopping && !m.awaitingPreemption[loan.Lender]:
		return LenderNotPreempted
	case m.unixMS(now) > loan.ExpiresMS:
		return WrittenOff
	}
	return ""
}

// lostWorkSeconds returns the work, in seconds, that is lost if a placement is preempted.
func lostWorkSeconds(now time.Duration, placement *machineregistry.Placement) float64 {
	ran := (now - placement.StateSince).Seconds()
	if placement.Job != nil && placement.Job.CheckpointIntervalSeconds > 0 {
		return min(placement.Job.CheckpointSaveSeconds, ran)
	}
	return ran
}
