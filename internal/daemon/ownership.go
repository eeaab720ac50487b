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

// ownershipActor keeps the ownership record: the leader writes it, and everybody follows it. A nil actor is off.
type ownershipActor struct {
	*environment
	mailbox  *actor.Mailbox[ownership.Event]
	api      *api.Server
	detector *failureDetectorActor
	// table is that of the record in force, as far as this controller has read; nil: none.
	table atomic.Pointer[ownership.Table]
	// leaderEpoch is the epoch in the last heartbeat of a leader.
	leaderEpoch atomic.Pointer[leaderEpoch]
	// draining says that this controller is about to end, and should own nothing any more.
	draining atomic.Bool
	tasks    sync.WaitGroup // writes under way
}

// leaderEpoch is the ownership epoch of a leader; 0: none.
type leaderEpoch struct {
	leader string
	epoch  uint64
}

func newOwnershipActor(env *environment, users *api.Server) *ownershipActor {
	a := &ownershipActor{environment: env, mailbox: actor.NewMailbox[ownership.Event](), api: users}
	a.detector = newFailureDetectorActor(env, a.mailbox)
	return a
}

// run is the actor. It returns when the context has ended and nothing is under way any more, or at once if it is off.
func (a *ownershipActor) run(ctx context.Context) {
	if a == nil {
		return
	}
	defer a.tasks.Wait()
	times := ownershipTimes(a.times)
	assigner := ownership.New(a.cfg.Name, a.mesh.Peers(), times)
	step := func(e ownership.Event) {
		for _, effect := range assigner.Step(a.now(), e) {
			a.apply(ctx, effect)
		}
	}
	a.mailbox.Run(ctx, times.TickInterval, step, func() {
		l := a.leading.Load()
		step(ownership.Leadership{Leading: l != nil && l.Ready() && a.api.FeatureLevel() >= featurelevel.Pipelines})
		step(ownership.OwnIncarnation{Incarnation: a.detector.incarnation()})
		step(ownership.Tick{})
	})
}

// apply carries out an effect. Whatever waits runs on its own goroutine.
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
	errNotLeader  = errors.New("this controller does not lead any more")
	errSuperseded = errors.New("another record is in force")
)

// writeRecord replaces the record if this controller still leads and the record has not changed.
func (a *ownershipActor) writeRecord(ctx context.Context, r ownership.Record) error {
	l := a.leading.Load()
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
	// Two controllers with the same verdict write on the same revisions: one of them fails, and so does a
	// transaction that comes late.
	outcome, err := a.store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: term.Revision},
			{Key: storage.OwnershipKey, Revision: r.Revision},
		},
		Then: []protocol.Op{{PutKey: storage.OwnershipKey, Value: value}},
	})
	if err == nil && !outcome.Succeeded {
		err = errSuperseded
	}
	return err
}

// adopt puts a record in force for this controller.
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
	if _, now := table.Member(a.cfg.Name); old != nil && !now {
		if _, before := old.Member(a.cfg.Name); before {
			a.log.Info("ownership lost", "epoch", old.Epoch, "new_epoch", r.Epoch)
		}
	}
}

// watchRecord follows the ownership record until the context ends; it returns at once if ownership is off.
func (a *ownershipActor) watchRecord(ctx context.Context) {
	if a == nil {
		return
	}
	watch := keyWatch{
		environment: a.environment,
		key:         storage.OwnershipKey,
		name:        "watch ownership",
		read:        a.readRecord,
		changed: func(e protocol.WatchEvent) {
			if e.PutKey == storage.OwnershipKey {
				a.recordRead(e.Value, e.Revision)
			}
		},
	}
	watch.run(ctx)
}

// readRecord reads the ownership record.
func (a *ownershipActor) readRecord(ctx context.Context, _ uint64) (uint64, error) {
	records, revision, err := a.store.ListWithBudget(ctx, storage.BudgetPoll, storage.OwnershipKey)
	if err != nil {
		return 0, err
	}
	if len(records) == 0 {
		a.mailbox.Send(ownership.RecordRead{})
	}
	for _, r := range records {
		a.recordRead(r.Value, r.Revision)
	}
	return revision, nil
}

// recordRead passes on the record as it is stored. A malformed one is logged and ignored: what was in force before
// stays, and this controller proposes nothing.
func (a *ownershipActor) recordRead(value []byte, revision uint64) {
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

// drain hands the machines of a controller that is about to end to the others, and returns when its workers have had
// time to move, or when nobody takes them within the time in which a leader would be replaced. A leader's are its
// successor's.
func (a *ownershipActor) drain(ctx context.Context) {
	if a == nil || a.leading.Load() != nil {
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
	// A worker that sends one more heartbeat is redirected to its new owner.
	_ = actor.Sleep(
		context.WithoutCancel(ctx),
		config.Seconds(drainHeartbeats*a.cfg.Deployment.Workers.HeartbeatSeconds),
	)
}

// drainHeartbeats is for how many heartbeat intervals a drained controller goes on redirecting workers to their new
// owners: heartbeats come up to a quarter late, after a pause of up to half a second.
const drainHeartbeats = 1.5

// fill sets in a heartbeat, or its answer, whether this controller can own machines, and if it leads, its ownership
// epoch.
func (a *ownershipActor) fill(m *protocol.PeerMessage) {
	if a == nil {
		return
	}
	// A process that has just started may lack cancellations, and could not answer anybody.
	m.CanOwn = a.intents.Recovered(a.now()) && !a.draining.Load()
	if t := a.table.Load(); t != nil && a.leading.Load() != nil {
		m.OwnershipEpoch = t.Epoch
	}
}

// peerHeard passes on what a peer's heartbeat, or its answer to one, says about ownership.
func (a *ownershipActor) peerHeard(m *protocol.PeerMessage) {
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
