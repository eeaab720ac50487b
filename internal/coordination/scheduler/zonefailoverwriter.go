package scheduler

import (
	"time"

	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// writeFailoverRecords writes the changed records of zone failover and preempts the lenders of loans that have been
// recorded.
func (s *Scheduler) writeFailoverRecords(now time.Duration) {
	failover := s.zoneFailover
	if s.writes.paused || !failover.IsWriteDue(now) {
		return
	}
	id, name := s.writes.nextID()
	write := failover.PrepareWrite(now, name, s.failoverRecordLimits())
	if len(write.Then) == 0 {
		s.preemptLenders(now, write.DurableLoans())
		return
	}
	onOutcome := func(now time.Duration, outcome TransactionOutcome) {
		s.failoverRecordsWritten(now, write, outcome)
	}
	txn := protocol.Txn{
		If:   append([]protocol.Compare{s.writes.termUnchanged()}, write.If...),
		Then: write.Then,
	}
	s.submit(Write{ID: id, Txn: txn, VerifyKey: write.VerifyKey, VerifyName: write.VerifyName}, onOutcome)
}

// failoverRecordsWritten handles the outcome of a write of zone failover records.
func (s *Scheduler) failoverRecordsWritten(
	now time.Duration,
	write *zonefailover.RecordWrite,
	outcome TransactionOutcome,
) {
	switch {
	case outcome.Malformed:
		s.log.Error("zone failover record rejected", "page_count", write.Pages())
		s.zoneFailover.WriteRejected(write, now+rejectedRetryDelay)
	case !outcome.Succeeded:
		s.stepDownAfter(outcome)
	default:
		s.zoneFailover.WriteSucceeded(write, outcome.Revision)
		s.preemptLenders(now, write.DurableLoans())
	}
}

// preemptLenders preempts the lenders of recorded loans.
func (s *Scheduler) preemptLenders(now time.Duration, loans []zonefailover.Loan) {
	for _, loan := range loans {
		if !s.zoneFailover.ClaimPreemption(loan.Lender) {
			continue
		}
		lender, borrower := s.jobs[loan.Lender.Job], s.jobs[loan.Borrower]
		if lender == nil || borrower == nil || s.startForbidden(borrower) {
			continue // the loan is closed later, as not taken or because one of its jobs has ended
		}
		pl := lender.Placements[loan.Lender.Task]
		if pl == nil || pl.Attempt != loan.Lender.Attempt || pl.Stopping {
			continue
		}
		s.preemptPlacement(now, pl, loan.Borrower, s.checkpointAllowance(now, borrower, 0))
	}
}
