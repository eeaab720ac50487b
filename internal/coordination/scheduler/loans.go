package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/zones"
)

// lend enters the loans of a choice.
func (c *Core) lend(now time.Duration, j *job, k *market, choice zones.Choice) error {
	z := c.returning
	var loans []zones.Loan
	for _, task := range choice.Lenders {
		pl := c.jobs[task.Job].places[task.Task]
		z.number++
		loans = append(loans, zones.Loan{
			Term: c.term, Number: z.number, Lender: task, Borrower: j.spec.ID, Machine: pl.Machine, Zone: j.displacedFrom,
			LostS: c.lostBy(now, pl), AtMS: c.wallAt(now),
			UntilMS: c.wallAt(now + config.Seconds(writeOffCancels*c.cfg.Workers.CancelSeconds)),
		})
	}
	if err := z.ledger.Open(loans...); err != nil {
		return err
	}
	for _, loan := range loans {
		z.untaken[loan.Lender] = true
		z.lentBy[loan.Lender.Job]++
		z.records.add(loan.Lender, c.loansPerPage())
		c.decide(zones.LoanMade{Loan: loan})
	}
	return nil
}

// takeLoans stops the lenders of loans that are recorded now.
func (c *Core) takeLoans(now time.Duration, loans []zones.Loan) {
	for _, loan := range loans {
		if !c.returning.untaken[loan.Lender] {
			continue
		}
		delete(c.returning.untaken, loan.Lender)
		lender, borrower := c.jobs[loan.Lender.Job], c.jobs[loan.Borrower]
		if lender == nil || borrower == nil || c.held(borrower) {
			continue // settled as not taken, or with the end of its job
		}
		pl := lender.places[loan.Lender.Task]
		if pl == nil || pl.Attempt != loan.Lender.Attempt || pl.Stopping {
			continue
		}
		c.stopFor(now, pl, loan.Borrower, c.patience(now, borrower, 0))
	}
}

// settleLoans ends the loans that are over.
func (c *Core) settleLoans(now time.Duration) {
	z := c.returning
	for _, loan := range z.ledger.Loans() {
		end := c.endOf(now, loan)
		if end == "" {
			continue
		}
		z.ledger.Close(loan.Lender)
		delete(z.untaken, loan.Lender)
		z.records.remove(loan.Lender)
		c.decide(zones.LoanEnded{Loan: loan, End: end})
	}
}

// endOf says how a loan has ended, or "" while it is open.
func (c *Core) endOf(now time.Duration, loan zones.Loan) zones.End {
	j := c.jobs[loan.Lender.Job]
	if j == nil || j.over || loan.Lender.Task >= len(j.tasks) || j.tasks[loan.Lender.Task] == done {
		return zones.LenderEnded
	}
	pl := j.places[loan.Lender.Task]
	switch {
	case pl != nil && pl.Attempt != loan.Lender.Attempt && pl.StartAllowed:
		return zones.Repaid
	case pl != nil && pl.Attempt == loan.Lender.Attempt && !pl.Stopping && !c.returning.untaken[loan.Lender]:
		return zones.NotTaken
	case c.wallAt(now) > loan.UntilMS:
		return zones.WrittenOff
	}
	return ""
}
