package leader

import (
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
func (l *Leader) applyEffects(effects []scheduler.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.HeartbeatReply:
			if ch, ok := e.ReplyTo.(chan protocol.WorkerHeartbeatReply); ok {
				ch <- e.Body
			}
		case scheduler.StepDown:
			l.Log.Info("deposed", "reason", e.Reason, "later", e.LaterTerm)
			l.Deposed(l.term, e)
		case scheduler.Write:
			go l.write(e, l.Store.Admit(writeUse(e.Priority), &e.Txn))
		case scheduler.SendCommandBatch:
			go l.sendCommands(e)
		case scheduler.Probe:
			l.probes.Add(e)
		case scheduler.ReadFinalState:
			go l.readEndedJob(e)
		case scheduler.FeatureLevelFinal:
			l.LevelReached(e.Level)
		case scheduler.ZoneDecision:
			l.Log.Info("zone return", "decision", e.Decision.Describe())
		case scheduler.CloudRequest:
			l.applyCloudEffect(e.Effect)
		}
	}
}

// applyCloudEffect carries out what the fleet asks of the cloud.
func (l *Leader) applyCloudEffect(effect autoscaler.Effect) {
	turn := l.Cloud.Reserve()
	switch e := effect.(type) {
	case autoscaler.ScaleOut:
		go l.rentMachines(e, turn)
	case autoscaler.ScaleIn:
		go l.releaseMachines(e, turn)
	case autoscaler.ListMachines:
		go l.listMachines(turn)
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
func (l *Leader) write(w scheduler.Write, admission storage.Admission) {
	use := writeUse(w.Priority)
	uncertain := false
	for ; l.ctx.Err() == nil; admission = l.Store.Admit(use, &w.Txn) {
		rev, ok, failed, err := l.Store.TxnAdmitted(l.ctx, admission, w.Txn)
		switch {
		case err == nil && ok:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: rev})
			return
		case err == nil && !uncertain:
			l.mailbox.Send(scheduler.TransactionOutcome{WriteID: w.ID, FailedKeys: failed})
			return
		case err == nil:
			if mine, rev, known := l.verifyWrite(use, w, uncertain); known {
				l.mailbox.Send(
					scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: mine, Revision: rev, FailedKeys: failed},
				)
				return
			}
		case errors.Is(err, storage.ErrOutcomeUnknown):
			uncertain = true
		case !errors.Is(err, storage.ErrUnavailable):
			// Refused for its form: as it is it will never be carried out, unless an earlier try was.
			l.Log.Error("write refused", "key", w.VerifyKey, "err", err)
			if mine, rev, known := l.verifyWrite(use, w, uncertain); known {
				l.mailbox.Send(
					scheduler.TransactionOutcome{WriteID: w.ID, Succeeded: mine, Revision: rev, Malformed: !mine},
				)
				return
			}
		}
		l.Random.Pause(l.ctx, w.VerifyKey, scheduler.CycleInterval/10)
	}
}

// verifyWrite says whether an earlier try of a write, of which no answer came, was carried out: then the record
// names it. known is false if that can't be told now.
func (l *Leader) verifyWrite(
	use storage.Budget,
	w scheduler.Write,
	uncertain bool,
) (mine bool, rev uint64, known bool) {
	if !uncertain {
		return false, 0, true
	}
	p, err := l.Store.Get(l.ctx, use, w.VerifyKey)
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
func (l *Leader) readEndedJob(e scheduler.ReadFinalState) {
	read := scheduler.FinalStateRead{ID: e.ID}
	p, err := l.Store.Get(l.ctx, storage.BudgetPlacement, storage.EndedJobKey(e.ID))
	var rec storage.EndedJobRecord
	switch {
	case err != nil:
		l.Log.Debug("end not read", "job", e.ID, "err", err)
	case p.Revision != 0 && protocol.Decode(p.Value, &rec) == nil:
		read.State = rec.State
	}
	l.mailbox.Send(read)
}

func (l *Leader) sendCommands(o scheduler.SendCommandBatch) {
	status, raw, err := l.Workers.Do(
		l.ctx,
		commandTimeout(l.Deployment),
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
		l.Log.Info("command unanswered", "machine", o.Machine, "status", status, "err", err)
	}
	l.mailbox.Send(done)
}

// probe asks a machine how it stands. A new leader asks all of them at once;
// some at a time are asked in fact.
func (l *Leader) probe(e scheduler.Probe) {
	if l.ctx.Err() != nil {
		return
	}
	status, raw, err := l.Workers.Do(
		l.ctx,
		commandTimeout(l.Deployment),
		http.MethodGet,
		"http://"+e.Addr+"/inspect",
		nil,
	)
	if err != nil || status != http.StatusOK {
		l.Log.Debug("not inspected", "machine", e.Machine, "status", status, "err", err)
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

func (l *Leader) listMachines(turn CallSlot) {
	asked := l.Now()
	ms, err := l.Cloud.List(l.ctx, turn)
	if err != nil {
		l.Log.Info("machine list not read", "err", err)
	}
	l.mailbox.Send(scheduler.MachinesListed{RequestedAt: asked, Machines: ms, Failed: err != nil})
}

func (l *Leader) rentMachines(e autoscaler.ScaleOut, turn CallSlot) {
	asked := l.Now()
	for ; l.ctx.Err() == nil; turn = l.Cloud.Reserve() {
		names, refused, err := l.Cloud.Rent(l.ctx, turn, e.Rental)
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
		l.Log.Info("rental unanswered", "request", e.Rental.RequestID, "err", err)
		l.Random.Pause(l.ctx, e.Rental.RequestID, scheduler.CycleInterval)
	}
}

func (l *Leader) releaseMachines(e autoscaler.ScaleIn, turn CallSlot) {
	for ; l.ctx.Err() == nil; turn = l.Cloud.Reserve() {
		err := l.Cloud.Release(l.ctx, turn, e.Machines)
		if err == nil {
			l.mailbox.Send(scheduler.ScaleInResult{Machines: e.Machines, Succeeded: true})
			return
		}
		l.Log.Info("release unanswered", "machines", len(e.Machines), "err", err)
		l.Random.Pause(l.ctx, "release "+e.Machines[0], scheduler.CycleInterval)
	}
}
