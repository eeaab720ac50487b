package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/zonefailover"
)

// openLoans enters the loans of a choice.
func (c *Scheduler) openLoans(
	now time.Duration,
	j *jobstate.Job,
	k *borrowableCapacity,
	choice zonefailover.Choice,
) error {
	z := c.zoneFailover
	var loans []zonefailover.Loan
	for _, task := range choice.Lenders {
		pl := c.jobs[task.Job].Placements[task.Task]
		z.lastLoanNumber++
		loans = append(loans, zonefailover.Loan{
			Term:        c.term,
			Number:      z.lastLoanNumber,
			Lender:      task,
			Borrower:    j.Spec.ID,
			Machine:     pl.Machine,
			Zone:        j.DisplacedFromZone,
			LostSeconds: c.lostWorkSeconds(now, pl),
			CreatedMS:   c.wallClockMS(now),
			ExpiresMS:   c.wallClockMS(now + config.Seconds(writeOffCancelTimes*c.cfg.Workers.CancelSeconds)),
		})
	}
	if err := z.ledger.Open(loans...); err != nil {
		return err
	}
	for _, loan := range loans {
		z.awaitingPreemption[loan.Lender] = true
		z.loansByJob[loan.Lender.Job]++
		z.records.addLoan(loan.Lender, c.loansPerPage())
		c.addDecision(zonefailover.LoanMade{Loan: loan})
	}
	return nil
}

// preemptLenders stops the lenders of loans that are recorded now.
func (c *Scheduler) preemptLenders(now time.Duration, loans []zonefailover.Loan) {
	for _, loan := range loans {
		if !c.zoneFailover.awaitingPreemption[loan.Lender] {
			continue
		}
		delete(c.zoneFailover.awaitingPreemption, loan.Lender)
		lender, borrower := c.jobs[loan.Lender.Job], c.jobs[loan.Borrower]
		if lender == nil || borrower == nil || c.startForbidden(borrower) {
			continue // settled as not taken, or with the end of its job
		}
		pl := lender.Placements[loan.Lender.Task]
		if pl == nil || pl.Attempt != loan.Lender.Attempt || pl.Stopping {
			continue
		}
		c.preemptPlacement(now, pl, loan.Borrower, c.checkpointAllowance(now, borrower, 0))
	}
}

// closeFinishedLoans ends the loans that are over.
func (c *Scheduler) closeFinishedLoans(now time.Duration) {
	z := c.zoneFailover
	for _, loan := range z.ledger.Loans() {
		end := c.loanOutcome(now, loan)
		if end == "" {
			continue
		}
		z.ledger.Close(loan.Lender)
		delete(z.awaitingPreemption, loan.Lender)
		z.records.removeLoan(loan.Lender)
		c.addDecision(zonefailover.LoanEnded{Loan: loan, Outcome: end})
	}
}

// loanOutcome says how a loan has ended, or "" while it is open.
func (c *Scheduler) loanOutcome(now time.Duration, loan zonefailover.Loan) zonefailover.LoanOutcome {
	j := c.jobs[loan.Lender.Job]
	if j == nil || j.Ended || loan.Lender.Task >= len(j.TaskStates) ||
		j.TaskStates[loan.Lender.Task] == jobstate.TaskDone {
		return zonefailover.LenderEnded
	}
	pl := j.Placements[loan.Lender.Task]
	switch {
	case pl != nil && pl.Attempt != loan.Lender.Attempt && pl.StartAllowed:
		return zonefailover.Repaid
	case pl != nil && pl.Attempt == loan.Lender.Attempt && !pl.Stopping && !c.zoneFailover.awaitingPreemption[loan.Lender]:
		return zonefailover.LenderNotPreempted
	case c.wallClockMS(now) > loan.ExpiresMS:
		return zonefailover.WrittenOff
	}
	return ""
}
