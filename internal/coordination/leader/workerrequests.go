package leader

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

var (
	errTermOver       = errors.New("the term is over")
	errBatchRevoked   = errors.New("a placement was stopped")
	errStartCancelled = errors.New("a job was cancelled")
)

// commandBatch is a command batch in flight. It is safe for concurrent use.
type commandBatch struct {
	scheduler.SendCommandBatch
	revoked atomic.Bool
}

// startCommandBatch sends a command batch on a goroutine of its own.
func (l *Leader) startCommandBatch(ctx context.Context, e scheduler.SendCommandBatch) {
	batch := &commandBatch{SendCommandBatch: e}
	l.batches[e.Machine] = batch
	l.goroutines.Go(func() { l.sendCommands(ctx, batch) })
}

// revokeCommandBatch keeps the command batch to a machine from being sent if it has not been written yet.
func (l *Leader) revokeCommandBatch(machine string) {
	if batch := l.batches[machine]; batch != nil {
		batch.revoked.Store(true)
	}
}

// sendCommands sends a command batch, unless it has become outdated by the time at which there is a connection to its
// machine.
func (l *Leader) sendCommands(ctx context.Context, batch *commandBatch) {
	start := l.deps.Now()
	response, err := l.deps.Workers.Send(ctx, transport.Request{
		Method:       http.MethodPost,
		URL:          "http://" + batch.Addr + "/commands",
		Timeout:      commandTimeout(l.options.Deployment),
		Body:         batch.Batch,
		Precondition: func() error { return l.checkBatch(ctx, batch) },
	})
	l.log.Debug("command batch sent",
		"machine", batch.Machine,
		"task_count", len(batch.Batch.Commands),
		"slot_wait", response.SlotWait,
		"connection_wait", response.ConnectionWait,
		"duration", l.deps.Now()-start,
		"status", response.Status,
	)
	result := scheduler.CommandBatchResult{Machine: batch.Machine, NotSent: errors.Is(err, transport.ErrNotSent)}
	if err == nil && (response.Status == http.StatusOK || response.Status == http.StatusConflict) {
		if r, err := protocol.DecodeWorkerHeartbeat(response.Body); err == nil {
			result.Acknowledged, result.Heartbeat = response.Status == http.StatusOK, r
		}
	}
	switch {
	case result.NotSent:
		l.log.Debug("command batch not sent", "machine", batch.Machine, "error", err)
	case result.Heartbeat == nil:
		l.log.Info("command failed", "machine", batch.Machine, "status", response.Status, "error", err)
	}
	l.mailbox.Send(result)
}

// checkBatch returns an error if a command batch must not be sent any more. The main loop may be busy, or suspended
// with the whole process, when the reason becomes known, so the check does not rely on it alone.
func (l *Leader) checkBatch(ctx context.Context, batch *commandBatch) error {
	switch err := l.checkTerm(ctx); {
	case err != nil:
		return err
	case batch.revoked.Load():
		return errBatchRevoked
	case l.startsCancelledJob(batch.Batch.Commands):
		return errStartCancelled
	}
	return nil
}

// checkTerm returns an error if the term is over or not confirmed at this moment. Requests that the leader has decided
// on, but has not sent yet, must not be sent then: another controller may lead.
func (l *Leader) checkTerm(ctx context.Context) error {
	if ctx.Err() != nil || !l.deps.Leadership.Confirmed() {
		return errTermOver
	}
	return nil
}

// startsCancelledJob reports whether there is a start command of a job that a user may have been told is cancelled.
func (l *Leader) startsCancelledJob(commands []protocol.Command) bool {
	since := l.deps.Now() - l.options.IntentValidity
	cancelled := func(job string) bool { return l.deps.Intents.HasIntentSince(since, job) }
	return slices.ContainsFunc(commands, func(c protocol.Command) bool { return c.StartsTaskOf(cancelled) })
}

// probe requests the current state of a machine.
func (l *Leader) probe(ctx context.Context, e scheduler.Probe) {
	reply := scheduler.ProbeReply{Machine: e.Machine}
	status, raw, err := l.deps.Workers.Do(
		ctx,
		commandTimeout(l.options.Deployment),
		http.MethodGet,
		"http://"+e.Addr+"/inspect",
		nil,
	)
	if err == nil && status == http.StatusOK {
		if r, err := protocol.DecodeWorkerHeartbeat(raw); err == nil && r.Machine == e.Machine {
			reply.Heartbeat = r
		}
	} else {
		l.log.Debug("probe failed", "machine", e.Machine, "status", status, "error", err)
	}
	l.mailbox.Send(reply)
}

// commandTimeout limits how long a direct command may take. It is about the heartbeat interval: after that, the reply
// to the machine's next heartbeat is the better way to deliver the command.
func commandTimeout(cfg *config.Deployment) time.Duration {
	return config.Seconds(min(cfg.Workers.HeartbeatSeconds*1.5, cfg.Workers.GangPeerSeconds/2))
}
