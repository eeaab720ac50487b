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

// applyEffects carries out effects. Whatever waits runs on its own goroutine and comes
// back as an event.
func (l *Leader) applyEffects(ctx context.Context, effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.HeartbeatReply:
			if ch, ok := e.ReplyTo.(chan protocol.WorkerHeartbeatReply); ok {
				ch <- e.Body
			}
		case scheduler.StepDown:
			l.log.Info("deposed", "reason", e.Reason, "later", e.LaterTerm)
			l.deps.Leadership.StepDown(e)
		case scheduler.Write:
			// Writes are admitted in the order of the effects.
			admission := l.deps.Store.Admit(writeUse(e.Priority), &e.Txn)
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
			l.log.Info("zone return", "decision", e.Decision.Describe())
		case scheduler.CloudRequest:
			l.applyCloudEffect(ctx, e.Effect)
		}
	}
}

// applyCloudEffect carries out what the fleet asks of the cloud.
func (l *Leader) applyCloudEffect(ctx context.Context, effect autoscaler.Effect) {
	turn := l.deps.Cloud.Reserve()
	switch e := effect.(type) {
	case autoscaler.ScaleOut:
		l.tasks.Go(func() { l.rentMachines(ctx, e, turn) })
	case autoscaler.ScaleIn:
		l.tasks.Go(func() { l.releaseMachines(ctx, e, turn) })
	case autoscaler.ListMachines:
		l.tasks.Go(func() { l.listMachines(ctx, turn) })
	}
}

// writeUse says out of which budget a write is paid.
func writeUse(p scheduler.WritePriority) storage.Budget {
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
// answer, a failed condition may be the work of that very try: the record that
// names the write tells. It has its place within the budgets.
func (l *Leader) write(ctx context.Context, w scheduler.Write, admission storage.Admission) {
	use := writeUse(w.Priority)
	uncertain := false
	for ; ctx.Err() == nil; admission = l.deps.Store.Admit(use, &w.Txn) {
		rev, ok, failed, err := l.deps.Store.TxnAdmitted(ctx, admission, w.Txn)
		switch {
		case err == nil && ok:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: rev})
			return
		case err == nil && !uncertain:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, FailedKeys: failed})
			return
		case err == nil:
			if mine, rev, known := l.verifyWrite(ctx, use, w, uncertain); known {
				l.mailbox.Send(
					scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: mine, Revision: rev, FailedKeys: failed},
				)
				return
			}
		case errors.Is(err, storage.ErrOutcomeUnknown):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			// Refused for its form: as it is it will never be carried out, unless an earlier try was.
			l.log.Error("write refused", "key", w.VerifyKey, "err", err)
			if mine, rev, known := l.verifyWrite(ctx, use, w, uncertain); known {
				l.mailbox.Send(
					scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: mine, Revision: rev, Malformed: !mine},
				)
				return
			}
		}
		l.deps.Random.Pause(ctx, w.VerifyKey, scheduler.CycleInterval/10)
	}
}

// verifyWrite says whether an earlier try of a write, of which no answer came, was carried out: then the record
// names it. known is false if that can't be told now.
func (l *Leader) verifyWrite(
	ctx context.Context,
	use storage.Budget,
	w scheduler.Write,
	uncertain bool,
) (mine bool, rev uint64, known bool) {
	if !uncertain {
		return false, 0, true
	}
	p, err := l.deps.Store.Get(ctx, use, w.VerifyKey)
	if err != nil {
		return false, 0, false
	}
	var rec struct {
		Write string `msgpack:"w"`
	}
	mine = w.Name == "" && p.Revision == 0
	if p.Revision != 0 && protocol.Decode(p.Value, &rec) == nil && rec.Write == w.Name {
		mine = true
	}
	return mine, p.Revision, true
}

// readEndedJob reads how a job has ended.
func (l *Leader) readEndedJob(ctx context.Context, e scheduler.ReadFinalState) {
	read := scheduler.FinalStateRead{ID: e.ID}
	p, err := l.deps.Store.Get(ctx, storage.BudgetPlacement, storage.EndedJobKey(e.ID))
	var rec storage.EndedJobRecord
	switch {
	case err != nil:
		l.log.Debug("end not read", "job", e.ID, "err", err)
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
	done := scheduler.CommandBatchResult{Machine: o.Machine}
	if err == nil && (status == http.StatusOK || status == http.StatusConflict) {
		if r, err := protocol.DecodeWorkerHeartbeat(raw); err == nil {
			done.Acknowledged, done.Heartbeat = status == http.StatusOK, r
		}
	}
	if done.Heartbeat == nil {
		l.log.Info("command unanswered", "machine", o.Machine, "status", status, "err", err)
	}
	l.mailbox.Send(done)
}

// probe asks a machine how it stands. A new leader asks all of them at once;
// some at a time are asked in fact.
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
		l.log.Debug("not inspected", "machine", e.Machine, "status", status, "err", err)
		return
	}
	if r, err := protocol.DecodeWorkerHeartbeat(raw); err == nil && r.Machine == e.Machine {
		l.mailbox.Send(scheduler.ProbeReply{Heartbeat: r})
	}
}

// commandTimeout is how long a direct command may take: a report's interval,
// give or take, after which the machine's next report is the better way.
func commandTimeout(cfg *config.Deployment) time.Duration {
	return config.Seconds(min(cfg.Workers.HeartbeatSeconds*1.5, cfg.Workers.GangPeerSeconds/2))
}

func (l *Leader) listMachines(ctx context.Context, turn CallSlot) {
	asked := l.deps.Now()
	ms, err := l.deps.Cloud.List(ctx, turn)
	if err != nil {
		l.log.Info("machine list not read", "err", err)
	}
	l.mailbox.Send(scheduler.MachinesListed{RequestedAt: asked, Machines: ms, Failed: err != nil})
}

func (l *Leader) rentMachines(ctx context.Context, e autoscaler.ScaleOut, turn CallSlot) {
	asked := l.deps.Now()
	for ; ctx.Err() == nil; turn = l.deps.Cloud.Reserve() {
		names, refused, err := l.deps.Cloud.Rent(ctx, turn, e.Rental)
		if err == nil {
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
		l.log.Info("rental unanswered", "request", e.Rental.RequestID, "err", err)
		l.deps.Random.Pause(ctx, e.Rental.RequestID, scheduler.CycleInterval)
	}
}

func (l *Leader) releaseMachines(ctx context.Context, e autoscaler.ScaleIn, turn CallSlot) {
	for ; ctx.Err() == nil; turn = l.deps.Cloud.Reserve() {
		err := l.deps.Cloud.Release(ctx, turn, e.Machines)
		if err == nil {
			l.mailbox.Send(scheduler.ScaleInResult{Machines: e.Machines, Succeeded: true})
			return
		}
		l.log.Info("release unanswered", "machines", len(e.Machines), "err", err)
		l.deps.Random.Pause(ctx, "release "+e.Machines[0], scheduler.CycleInterval)
	}
}
