package scheduler

import (
	"time"

	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// writeFailoverRecords writes the records of zone failover that have changed, and preempts the lenders of loans that
// are recorded.
func (c *Scheduler) writeFailoverRecords(now time.Duration) {
	m := c.zoneFailover
	if c.writes.paused || !m.IsWriteDue(now) {
		return
	}
	id, name := c.writes.nextID()
	w := m.PrepareWrite(now, name, c.failoverRecordLimits())
	if len(w.Then) == 0 {
		c.preemptLenders(now, w.DurableLoans())
		return
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		c.failoverRecordsWritten(now, w, outcome)
	}
	txn := protocol.Txn{
		If:   append([]protocol.Compare{c.writes.termUnchanged()}, w.If...),
		Then: w.Then,
	}
	c.submit(Write{ID: id, Txn: txn, VerifyKey: w.VerifyKey, Name: w.VerifyName}, onOutcome)
}

// failoverRecordsWritten handles the outcome of a write of zone failover.
func (c *Scheduler) failoverRecordsWritten(
	now time.Duration,
	w *zonefailover.RecordWrite,
	outcome TransactionOutcome,
) {
	switch {
	case outcome.Malformed:
		c.log.Error("zone failover record rejected", "page_count", w.Pages())
		c.zoneFailover.WriteRejected(w, now+rejectedRetryDelay)
	case !outcome.Succeeded:
		c.stepDownAfter(outcome)
	default:
		c.zoneFailover.WriteSucceeded(w, outcome.Revision)
		c.preemptLenders(now, w.DurableLoans())
	}
}

// preemptLenders preempts the lenders of loans that are recorded now.
func (c *Scheduler) preemptLenders(now time.Duration, loans []zonefailover.Loan) {
	for _, loan := range loans {
		if !c.zoneFailover.ClaimPreemption(loan.Lender) {
			continue
		}
		lender, borrower := c.jobs[loan.Lender.Job], c.jobs[loan.Borrower]
		if lender == nil || borrower == nil || c.startForbidden(borrower) {
			continue // the loan is closed as never taken, or with the end of its job
		}
		pl := lender.Placements[loan.Lender.Task]
		if pl == nil || pl.Attempt != loan.Lender.Attempt || pl.Stopping {
			continue
		}
		c.preemptPlacement(now, pl, loan.Borrower, c.checkpointAllowance(now, borrower, 0))
	}
}
