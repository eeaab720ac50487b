package leader

import (
	"context"
	"errors"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// applyEffects carries out effects. Operations that block run on their own goroutines, which send the outcome to the
// mailbox as an event.
func (l *Leader) applyEffects(ctx context.Context, effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.HeartbeatReply:
			if ch, ok := e.ReplyTo.(chan protocol.WorkerHeartbeatReply); ok {
				ch <- e.Body
			}
		case scheduler.StepDown:
			l.log.Info("step down requested", "reason", e.Reason, "later_term", e.LaterTerm)
			l.deps.Leadership.StepDown(e)
		case scheduler.Write:
			// Writes are admitted in the order of the effects.
			admission := l.deps.Store.Admit(writeBudget(e.Priority), &e.Txn)
			l.goroutines.Go(func() { l.write(ctx, e, admission) })
		case scheduler.SendCommandBatch:
			l.startCommandBatch(ctx, e)
		case scheduler.RevokeCommandBatch:
			l.revokeCommandBatch(e.Machine)
		case scheduler.Probe:
			l.goroutines.Go(func() { l.probe(ctx, e) })
		case scheduler.ReadFinalState:
			l.goroutines.Go(func() { l.readEndedJob(ctx, e) })
		case scheduler.FeatureLevelFinal:
			l.deps.Observer.FeatureLevelFinal(e.Level)
		case scheduler.ZoneDecision:
			l.log.Info("zone failover decision", "decision", e.Decision.Describe())
		case scheduler.CloudRequest:
			l.applyCloudEffect(ctx, e.Effect)
		}
	}
}

// applyCloudEffect sends a request of the autoscaler to the cloud. Requests are sent in the order of the effects.
func (l *Leader) applyCloudEffect(ctx context.Context, effect autoscaler.Effect) {
	slot := l.deps.Cloud.Reserve()
	switch e := effect.(type) {
	case autoscaler.ScaleOut:
		l.goroutines.Go(func() { l.rentMachines(ctx, e, slot) })
	case autoscaler.ScaleIn:
		l.goroutines.Go(func() { l.releaseMachines(ctx, e, slot) })
	case autoscaler.ListMachines:
		l.goroutines.Go(func() { l.listMachines(ctx, slot) })
	}
}

// writeBudget returns the budget from which a write of the given priority is paid.
func writeBudget(p scheduler.WritePriority) storage.Budget {
	switch p {
	case scheduler.PriorityCompletion:
		return storage.BudgetCompletion
	case scheduler.PriorityMaintenance:
		return storage.BudgetMaintenance
	default:
		return storage.BudgetPlacement
	}
}

// write repeats a transaction until its outcome is known. If an attempt got no response, a comparison of a later
// attempt may fail because the earlier one succeeded; the record, which contains the name of the write, shows whether
// the earlier one did. Each attempt needs a new admission to its budget.
func (l *Leader) write(ctx context.Context, w scheduler.Write, admission storage.Admission) {
	budget := writeBudget(w.Priority)
	outcomeUnknown := false // an earlier attempt got no response
	for ; ctx.Err() == nil; admission = l.deps.Store.Admit(budget, &w.Txn) {
		outcome, err := l.deps.Store.TxnAdmitted(ctx, admission, w.Txn)
		switch {
		case err == nil && outcome.Succeeded:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: outcome.Revision})
			return
		case err == nil && !outcomeUnknown:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, FailedKeys: outcome.FailedKeys})
			return
		case err == nil:
			if previous, err := l.findPreviousAttempt(ctx, budget, w); err == nil {
				l.mailbox.Send(scheduler.TransactionOutcome{
					WriteID:    w.ID,
					Succeeded:  previous.succeeded,
					Revision:   previous.revision,
					FailedKeys: outcome.FailedKeys,
				})
				return
			}
		case errors.Is(err, storage.ErrOutcomeUnknown):
			outcomeUnknown = true
		case !errors.Is(err, storage.ErrUnavailable):
			// A malformed transaction never succeeds if it is repeated, but an earlier attempt may have succeeded.
			l.log.Error("write rejected", "key", w.VerifyKey, "error", err)
			if !outcomeUnknown {
				l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Malformed: true})
				return
			}
			if previous, err := l.findPreviousAttempt(ctx, budget, w); err == nil {
				l.mailbox.Send(scheduler.TransactionOutcome{
					WriteID:   w.ID,
					Succeeded: previous.succeeded,
					Revision:  previous.revision,
					Malformed: !previous.succeeded,
				})
				return
			}
		}
		l.deps.Random.Pause(ctx, w.VerifyKey, scheduler.CycleInterval/10)
	}
}

// previousAttempt is the outcome of the attempts of a write that got no response.
type previousAttempt struct {
	succeeded bool
	revision  uint64 // current revision of the record
}

// findPreviousAttempt reads the record of a write, which contains the name of the write if an earlier attempt has
// succeeded.
func (l *Leader) findPreviousAttempt(
	ctx context.Context,
	budget storage.Budget,
	w scheduler.Write,
) (previousAttempt, error) {
	record, err := l.deps.Store.Get(ctx, budget, w.VerifyKey)
	if err != nil {
		return previousAttempt{}, err
	}
	if record.Revision == 0 {
		return previousAttempt{succeeded: w.VerifyName == ""}, nil // a write without a name deletes its record
	}
	var named struct {
		Write string `msgpack:"w"`
	}
	succeeded := protocol.Decode(record.Value, &named) == nil && named.Write == w.VerifyName
	return previousAttempt{succeeded: succeeded, revision: record.Revision}, nil
}

// readEndedJob reads the final state of a job.
func (l *Leader) readEndedJob(ctx context.Context, e scheduler.ReadFinalState) {
	read := scheduler.FinalStateRead{ID: e.ID}
	p, err := l.deps.Store.Get(ctx, storage.BudgetPlacement, storage.EndedJobKey(e.ID))
	var rec storage.EndedJobRecord
	switch {
	case err != nil:
		l.log.Debug("failed to read final state", "job", e.ID, "error", err)
	case p.Revision != 0 && protocol.Decode(p.Value, &rec) == nil:
		read.State = rec.State
	}
	l.mailbox.Send(read)
}

func (l *Leader) listMachines(ctx context.Context, slot CallSlot) {
	requestedAt := l.deps.Now()
	machines, err := l.deps.Cloud.List(ctx, slot)
	if err != nil {
		l.log.Info("failed to list machines", "error", err)
	}
	l.mailbox.Send(scheduler.MachinesListed{RequestedAt: requestedAt, Machines: machines, Failed: err != nil})
}

func (l *Leader) rentMachines(ctx context.Context, e autoscaler.ScaleOut, slot CallSlot) {
	requestedAt := l.deps.Now()
	for ; ctx.Err() == nil; slot = l.deps.Cloud.Reserve() {
		names, err := l.deps.Cloud.Rent(ctx, slot, e.Rental, func() error { return l.checkTerm(ctx) })
		refused := errors.Is(err, ErrRentalRefused)
		if err == nil || refused {
			l.mailbox.Send(
				scheduler.ScaleOutResult{
					Request:     e.Rental.RequestID,
					RequestedAt: requestedAt,
					Machines:    names,
					Refused:     refused,
				},
			)
			return
		}
		// Retrying is safe: the cloud rents machines for a request ID only once.
		l.log.Info("scale-out failed", "request_id", e.Rental.RequestID, "error", err)
		l.deps.Random.Pause(ctx, e.Rental.RequestID, scheduler.CycleInterval)
	}
}

func (l *Leader) releaseMachines(ctx context.Context, e autoscaler.ScaleIn, slot CallSlot) {
	for ; ctx.Err() == nil; slot = l.deps.Cloud.Reserve() {
		err := l.deps.Cloud.Release(ctx, slot, e.Machines, func() error { return l.checkTerm(ctx) })
		if err == nil {
			l.mailbox.Send(scheduler.ScaleInResult{Machines: e.Machines, Succeeded: true})
			return
		}
		l.log.Info("failed to release machines", "machine_count", len(e.Machines), "error", err)
		l.deps.Random.Pause(ctx, "release "+e.Machines[0], scheduler.CycleInterval)
	}
}
