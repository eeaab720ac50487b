package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// ownershipActor maintains the ownership record, which the leader writes and all controllers follow. A nil actor is
// disabled.
type ownershipActor struct {
	*environment
	mailbox  *actor.Mailbox[ownership.Event]
	api      *api.Server
	detector *failureDetectorActor
	// table is the ownership table of the active record that this controller has read last; nil if there is none.
	table atomic.Pointer[ownership.Table]
	// leaderEpoch is the ownership epoch in the last heartbeat of a leader.
	leaderEpoch atomic.Pointer[leaderEpoch]
	// draining is set when this controller is about to shut down and should not own machines any more.
	draining atomic.Bool
	tasks    sync.WaitGroup // writes in progress
}

// leaderEpoch holds the active ownership epoch that a leader has reported; epoch is 0 if none is active.
type leaderEpoch struct {
	leader string
	epoch  uint64
}

func newOwnershipActor(env *environment, apiServer *api.Server) *ownershipActor {
	a := &ownershipActor{environment: env, mailbox: actor.NewMailbox[ownership.Event](), api: apiServer}
	a.detector = newFailureDetectorActor(env, a.mailbox)
	return a
}

// run processes events until ctx ends and all writes have returned. It returns immediately if ownership is disabled.
func (a *ownershipActor) run(ctx context.Context) {
	if a == nil {
		return
	}
	defer a.tasks.Wait()
	times := ownershipTiming(a.times)
	assigner := ownership.New(a.cfg.Name, a.mesh.Peers(), times)
	step := func(e ownership.Event) {
		for _, effect := range assigner.Step(a.now(), e) {
			a.apply(ctx, effect)
		}
	}
	a.mailbox.Run(ctx, times.TickInterval, step, func() {
		l := a.localLeader.Load()
		step(ownership.Leadership{Leading: l != nil && l.Ready() && a.api.FeatureLevel() >= featurelevel.Pipelines})
		step(ownership.LocalIncarnation{Incarnation: a.detector.incarnation()})
		step(ownership.Tick{})
	})
}

// apply executes an effect. Effects that block run on goroutines of their own.
func (a *ownershipActor) apply(ctx context.Context, effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.WriteRecord:
		a.tasks.Go(func() {
			if err := a.writeRecord(ctx, e.Record); err != nil {
				a.log.Info("failed to write ownership record", "epoch", e.Record.Epoch, "error", err)
			}
			a.mailbox.Send(ownership.WriteDone{})
		})
	case ownership.AdoptRecord:
		a.adopt(e.Record)
	}
}

var (
	errNotLeader        = errors.New("this controller is no longer the leader")
	errOwnershipChanged = errors.New("term or ownership record has changed since it was read")
)

// writeRecord replaces the ownership record, on the condition that this controller still leads and that the record has
// not changed.
func (a *ownershipActor) writeRecord(ctx context.Context, r ownership.Record) error {
	l := a.localLeader.Load()
	if l == nil {
		return errNotLeader
	}
	term, err := a.store.Get(ctx, storage.BudgetPlacement, storage.TermKey)
	if err != nil {
		return err
	}
	rec, err := storage.DecodeTerm(term.Value)
	if err != nil {
		return err
	}
	if rec.Term != l.Term() {
		return errNotLeader
	}
	entry := storage.OwnershipRecord{Format: storage.OwnershipFormat, Epoch: r.Epoch, Term: rec.Term, Reason: r.Reason}
	for _, m := range r.Members {
		entry.Members = append(entry.Members, storage.OwnershipMember{
			Controller:  m.Controller,
			Incarnation: m.Incarnation.Process,
			Refutations: m.Incarnation.Refutations,
		})
	}
	value, err := protocol.Encode(entry)
	if err != nil {
		return err
	}
	// Because of the compared revisions, only one of two controllers with the same verdict succeeds, and a transaction
	// that is applied late fails.
	outcome, err := a.store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: term.Revision},
			{Key: storage.OwnershipKey, Revision: r.Revision},
		},
		Then: []protocol.Op{{PutKey: storage.OwnershipKey, Value: value}},
	})
	if err == nil && !outcome.Succeeded {
		err = errOwnershipChanged
	}
	return err
}

// adopt activates an ownership record on this controller. A record with epoch 0 deactivates ownership.
func (a *ownershipActor) adopt(r ownership.Record) {
	old := a.table.Load()
	if r.Epoch == 0 {
		a.table.Store(nil)
		return
	}
	table := ownership.NewTable(r.Epoch, r.Members)
	a.table.Store(table)
	var owners []string
	for _, m := range table.Members() {
		owners = append(owners, m.Controller)
	}
	a.log.Info("ownership epoch active", "epoch", r.Epoch, "owners", owners, "reason", r.Reason)
	if _, ownsNow := table.Member(a.cfg.Name); old != nil && !ownsNow {
		if _, ownedBefore := old.Member(a.cfg.Name); ownedBefore {
			a.log.Info("ownership lost", "epoch", old.Epoch, "new_epoch", r.Epoch)
		}
	}
}

// watchRecord follows the ownership record until ctx ends. It returns immediately if ownership is disabled.
func (a *ownershipActor) watchRecord(ctx context.Context) {
	if a == nil {
		return
	}
	watch := keyWatch{
		environment: a.environment,
		key:         storage.OwnershipKey,
		purpose:     "watch ownership",
		read:        a.readRecord,
		onChange: func(e protocol.WatchEvent) {
			if e.PutKey == storage.OwnershipKey {
				a.sendRecord(e.Value, e.Revision)
			}
		},
	}
	watch.run(ctx)
}

// readRecord reads the ownership record and returns the revision after which to watch it.
func (a *ownershipActor) readRecord(ctx context.Context, _ uint64) (uint64, error) {
	records, revision, err := a.store.ListWithBudget(ctx, storage.BudgetPoll, storage.OwnershipKey)
	if err != nil {
		return 0, err
	}
	if len(records) == 0 {
		a.mailbox.Send(ownership.RecordRead{})
	}
	for _, r := range records {
		a.sendRecord(r.Value, r.Revision)
	}
	return revision, nil
}

// sendRecord decodes a stored ownership record and sends it to the actor. A malformed record is logged and ignored: the
// previous record stays active, and this controller proposes no new one.
func (a *ownershipActor) sendRecord(value []byte, revision uint64) {
	rec, err := storage.DecodeOwnership(value)
	if err != nil {
		a.log.Error("malformed ownership record", "error", err)
		return
	}
	r := ownership.Record{Epoch: rec.Epoch, Reason: rec.Reason, Revision: revision}
	for _, e := range rec.Members {
		r.Members = append(r.Members, ownership.Member{
			Controller:  e.Controller,
			Incarnation: failuredetector.Incarnation{Process: e.Incarnation, Refutations: e.Refutations},
		})
	}
	a.mailbox.Send(ownership.RecordRead{Record: r})
}

// drain hands this controller's machines over to the other controllers; see Controller.Drain.
func (a *ownershipActor) drain(ctx context.Context) {
	if a == nil || a.localLeader.Load() != nil {
		return
	}
	a.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, 2*a.times.LeaderTimeout)
	defer cancel()
	for {
		table := a.table.Load()
		if table == nil {
			return
		}
		if _, owns := table.Member(a.cfg.Name); !owns {
			break
		}
		if actor.Sleep(ctx, a.times.HeartbeatInterval) != nil {
			a.log.Info("drain timed out")
			return
		}
	}
	a.log.Info("drain completed")
	// Keep redirecting: each worker is redirected to its new owner when it sends its next heartbeat.
	_ = actor.Sleep(
		context.WithoutCancel(ctx),
		config.Seconds(drainHeartbeatIntervals*a.cfg.Deployment.Workers.HeartbeatSeconds),
	)
}

// drainHeartbeatIntervals is the number of heartbeat intervals for which a drained controller keeps redirecting workers
// to their new owners. Heartbeats come up to a quarter of an interval late, and after a pause of up to half a second.
const drainHeartbeatIntervals = 1.5

// fill adds to a heartbeat, or to the reply to one, whether this controller can own machines and, on the leader, the
// ownership epoch.
func (a *ownershipActor) fill(m *protocol.PeerMessage) {
	if a == nil {
		return
	}
	// A process that has just started may lack cancellation intents, and without them must not answer workers.
	m.CanOwn = a.intents.Recovered(a.now()) && !a.draining.Load()
	if t := a.table.Load(); t != nil && a.localLeader.Load() != nil {
		m.OwnershipEpoch = t.Epoch
	}
}

// handlePeerHeartbeat processes the fields about ownership in a peer's heartbeat or in its reply to one.
func (a *ownershipActor) handlePeerHeartbeat(m *protocol.PeerMessage) {
	if a == nil || m.Incarnation == 0 {
		return
	}
	a.mailbox.Send(ownership.PeerHeartbeat{
		CanOwn: m.CanOwn,
		Member: ownership.Member{
			Controller:  m.From,
			Incarnation: failuredetector.Incarnation{Process: m.Incarnation, Refutations: m.Refutations},
		},
	})
	if m.Leader == m.From {
		a.leaderEpoch.Store(&leaderEpoch{leader: m.From, epoch: m.OwnershipEpoch})
	}
}
