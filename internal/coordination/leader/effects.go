package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// applyEffects carries out effects. Whatever waits runs on its own goroutine and sends its
// outcome as an event.
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
			l.tasks.Go(func() { l.write(ctx, e, admission) })
		case scheduler.SendCommandBatch:
			l.tasks.Go(func() { l.sendCommands(ctx, e) })
		case scheduler.Probe:
			l.tasks.Add(1)
			l.probes.Add(e)
		case scheduler.ReadFinalState:
			l.tasks.Go(func() { l.readEndedJob(ctx, e) })
		case scheduler.FeatureLevelFinal:
			l.deps.Observer.FeatureLevelFinal(e.Level)
		case scheduler.ZoneDecision:
			l.log.Info("zone failover decision", "decision", e.Decision.Describe())
		case scheduler.CloudRequest:
			l.applyCloudEffect(ctx, e.Effect)
		}
	}
}

// applyCloudEffect makes a request of the autoscaler to the cloud. Requests are made in the order of the effects.
func (l *Leader) applyCloudEffect(ctx context.Context, effect autoscaler.Effect) {
	slot := l.deps.Cloud.Reserve()
	switch e := effect.(type) {
	case autoscaler.ScaleOut:
		l.tasks.Go(func() { l.rentMachines(ctx, e, slot) })
	case autoscaler.ScaleIn:
		l.tasks.Go(func() { l.releaseMachines(ctx, e, slot) })
	case autoscaler.ListMachines:
		l.tasks.Go(func() { l.listMachines(ctx, slot) })
	}
}

// writeBudget returns the budget that a write counts against.
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

// write tries a transaction until its outcome is known. After a try without an
// answer, a failed comparison may be due to that very try: whether it is follows
// from the record, which names the write. Each try is admitted to its budget.
func (l *Leader) write(ctx context.Context, w scheduler.Write, admission storage.Admission) {
	budget := writeBudget(w.Priority)
	uncertain := false // an earlier try had no answer
	for ; ctx.Err() == nil; admission = l.deps.Store.Admit(budget, &w.Txn) {
		outcome, err := l.deps.Store.TxnAdmitted(ctx, admission, w.Txn)
		switch {
		case err == nil && outcome.Succeeded:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: outcome.Revision})
			return
		case err == nil && !uncertain:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, FailedKeys: outcome.FailedKeys})
			return
		case err == nil:
			if earlier, err := l.findEarlierTry(ctx, budget, w); err == nil {
				l.mailbox.Send(scheduler.TransactionOutcome{
					WriteID:    w.ID,
					Succeeded:  earlier.succeeded,
					Revision:   earlier.revision,
					FailedKeys: outcome.FailedKeys,
				})
				return
			}
		case errors.Is(err, storage.ErrOutcomeUnknown):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			// Malformed: as it is it will never succeed, unless an earlier try has.
			l.log.Error("write rejected", "key", w.VerifyKey, "error", err)
			if !uncertain {
				l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Malformed: true})
				return
			}
			if earlier, err := l.findEarlierTry(ctx, budget, w); err == nil {
				l.mailbox.Send(scheduler.TransactionOutcome{
					WriteID:   w.ID,
					Succeeded: earlier.succeeded,
					Revision:  earlier.revision,
					Malformed: !earlier.succeeded,
				})
				return
			}
		}
		l.deps.Random.Pause(ctx, w.VerifyKey, scheduler.CycleInterval/10)
	}
}

// earlierTry is what became of a write's tries without an answer.
type earlierTry struct {
	succeeded bool
	revision  uint64 // of the record now
}

// findEarlierTry reads the record that names the write, if the write has succeeded.
func (l *Leader) findEarlierTry(ctx context.Context, budget storage.Budget, w scheduler.Write) (earlierTry, error) {
	record, err := l.deps.Store.Get(ctx, budget, w.VerifyKey)
	if err != nil {
		return earlierTry{}, err
	}
	if record.Revision == 0 {
		return earlierTry{succeeded: w.Name == ""}, nil // a write without a name deletes the record
	}
	var named struct {
		Write string `msgpack:"w"`
	}
	succeeded := protocol.Decode(record.Value, &named) == nil && named.Write == w.Name
	return earlierTry{succeeded: succeeded, revision: record.Revision}, nil
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

func (l *Leader) sendCommands(ctx context.Context, o scheduler.SendCommandBatch) {
	status, raw, err := l.deps.Workers.Do(
		ctx,
		commandTimeout(l.options.Deployment),
		http.MethodPost,
		"http://"+o.Addr+"/commands",
		o.Batch,
	)
	result := scheduler.CommandBatchResult{Machine: o.Machine}
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if r, err := protocol.DecodeWorkerHeartbeat(raw); err == nil {
			result.Acknowledged, result.Heartbeat = status == http.StatusOK, r
		}
	}
	if result.Heartbeat == nil {
		l.log.Info("command failed", "machine", o.Machine, "status", status, "error", err)
	}
	l.mailbox.Send(result)
}

// probe asks a machine for its state. A new leader probes all of them; the pool bounds how many at a time.
func (l *Leader) probe(ctx context.Context, e scheduler.Probe) {
	if ctx.Err() != nil {
		return
	}
	status, raw, err := l.deps.Workers.Do(
		ctx,
		commandTimeout(l.options.Deployment),
		http.MethodGet,
		"http://"+e.Addr+"/inspect",
		nil,
	)
	if err != nil || status != http.StatusOK {
		l.log.Debug("probe failed", "machine", e.Machine, "status", status, "error", err)
		return
	}
	if r, err := protocol.DecodeWorkerHeartbeat(raw); err == nil && r.Machine == e.Machine {
		l.mailbox.Send(scheduler.ProbeReply{Heartbeat: r})
	}
}

// commandTimeout is how long a direct command may take: about the interval of the heartbeats,
// after which the answer to the machine's next heartbeat is the better way.
func commandTimeout(cfg *config.Deployment) time.Duration {
	return config.Seconds(min(cfg.Workers.HeartbeatSeconds*1.5, cfg.Workers.GangPeerSeconds/2))
}

func (l *Leader) listMachines(ctx context.Context, slot CallSlot) {
	asked := l.deps.Now()
	ms, err := l.deps.Cloud.List(ctx, slot)
	if err != nil {
		l.log.Info("failed to list machines", "error", err)
	}
	l.mailbox.Send(scheduler.MachinesListed{RequestedAt: asked, Machines: ms, Failed: err != nil})
}

func (l *Leader) rentMachines(ctx context.Context, e autoscaler.ScaleOut, slot CallSlot) {
	asked := l.deps.Now()
	for ; ctx.Err() == nil; slot = l.deps.Cloud.Reserve() {
		names, err := l.deps.Cloud.Rent(ctx, slot, e.Rental)
		refused := errors.Is(err, ErrRentalRefused)
		if err == nil || refused {
			l.mailbox.Send(
				scheduler.ScaleOutResult{
					Request:     e.Rental.RequestID,
					RequestedAt: asked,
					Machines:    names,
					Refused:     refused,
				},
			)
			return
		}
		// The same name rents nothing twice, so trying again is safe.
		l.log.Info("scale-out failed", "request_id", e.Rental.RequestID, "error", err)
		l.deps.Random.Pause(ctx, e.Rental.RequestID, scheduler.CycleInterval)
	}
}

func (l *Leader) releaseMachines(ctx context.Context, e autoscaler.ScaleIn, slot CallSlot) {
	for ; ctx.Err() == nil; slot = l.deps.Cloud.Reserve() {
		err := l.deps.Cloud.Release(ctx, slot, e.Machines)
		if err == nil {
			l.mailbox.Send(scheduler.ScaleInResult{Machines: e.Machines, Succeeded: true})
			return
		}
		l.log.Info("failed to release machines", "machine_count", len(e.Machines), "error", err)
		l.deps.Random.Pause(ctx, "release "+e.Machines[0], scheduler.CycleInterval)
	}
}
