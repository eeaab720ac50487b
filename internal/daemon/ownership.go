package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// ownershipState is a controller's part in ownership.
type ownershipState struct {
	mailbox *actor.Mailbox[ownership.Event]
	// table is what is in force, as far as this controller has read; nil: nothing.
	table atomic.Pointer[ownership.Table]
	// leaderEpoch is what the last heartbeat of a leader said of ownership.
	leaderEpoch atomic.Pointer[leaderEpoch]
	// draining says that this controller is about to end, and should own nothing any more.
	draining atomic.Bool
	// digestAcknowledgedAt is the steady time of the last digest that the leader has acknowledged.
	digestAcknowledgedAt atomic.Int64

	mu               sync.Mutex // guards what follows
	heartbeats       *ownership.HeartbeatFilter
	digestReceivedAt map[string]time.Duration // at the leader: when each owner's last digest came
	ownerRedirects   *RedirectTracker         // machines that were sent to their owner
}

// leaderEpoch is the epoch by which a leader goes; 0: none.
type leaderEpoch struct {
	node  string
	epoch uint64
}

func (c *Controller) newOwnershipState() *ownershipState {
	lease := config.Seconds(c.cfg.Deployment.Workers.LeaseSeconds)
	return &ownershipState{
		mailbox: actor.NewMailbox[ownership.Event](), heartbeats: ownership.NewHeartbeatFilter(lease / 2),
		digestReceivedAt: map[string]time.Duration{}, ownerRedirects: NewRedirectTracker(lease),
	}
}

// ownershipTimes derives the times of ownership from those of the election.
func (c *Controller) ownershipTimes() ownership.Timing {
	return ownership.Timing{
		TickInterval: followerHeartbeatFactor * c.times.HeartbeatInterval,
		PeerTimeout:  c.times.LeaderTimeout,
		RejoinDelay:  2 * c.times.LeaderTimeout,
	}
}

// runOwnership is the actor that keeps the ownership record; it ends at once while ownership is off.
func (c *Controller) runOwnership(ctx context.Context) {
	if c.ownership == nil {
		return
	}
	times := c.ownershipTimes()
	machine := ownership.New(c.cfg.Name, c.mesh.Peers(), times)
	step := func(e ownership.Event) {
		for _, effect := range machine.Step(c.now(), e) {
			c.applyOwnershipEffect(ctx, effect)
		}
	}
	c.ownership.mailbox.Run(ctx, times.TickInterval, step, func() {
		l := c.leading.Load()
		step(ownership.Leadership{Leading: l != nil && l.Ready() && c.api.FeatureLevel() >= featurelevel.Pipelines})
		step(ownership.OwnIncarnation{Incarnation: c.incarnation()})
		step(ownership.Tick{})
	})
}

// incarnation is the one that this process is in.
func (c *Controller) incarnation() failuredetector.Incarnation {
	if s := c.failureDetector.published.Load(); s != nil {
		return s.incarnation
	}
	return failuredetector.Incarnation{Process: c.intents.Incarnation()}
}

func (c *Controller) applyOwnershipEffect(ctx context.Context, effect ownership.Effect) {
	switch e := effect.(type) {
	case ownership.WriteRecord:
		go func() {
			if err := c.writeOwnership(ctx, e.Record); err != nil {
				c.log.Info("ownership record not written", "epoch", e.Record.Epoch, "err", err)
			}
			c.ownership.mailbox.Send(ownership.WriteDone{})
		}()
	case ownership.AdoptRecord:
		c.adoptOwnership(e.Record)
	}
}

var (
	errNotLeader  = errors.New("this controller does not lead any more")
	errSuperseded = errors.New("another record is in force")
)

// writeOwnership replaces the record, if this controller still leads and the record is the one that it goes by.
func (c *Controller) writeOwnership(ctx context.Context, r ownership.Record) error {
	l := c.leading.Load()
	if l == nil {
		return errNotLeader
	}
	term, err := c.store.Get(ctx, storage.BudgetPlacement, storage.TermKey)
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
		entry.Members = append(
			entry.Members,
			storage.OwnershipMember{
				Controller:  m.Controller,
				Incarnation: m.Incarnation.Process,
				Refutations: m.Incarnation.Refutations,
			},
		)
	}
	value, err := protocol.Encode(entry)
	if err != nil {
		return err
	}
	// Two survivors that hold the same verdict write on the same versions: one of them fails, and so does a
	// transaction that comes late.
	_, ok, err := c.store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: term.Revision},
			{Key: storage.OwnershipKey, Revision: r.Revision},
		},
		Then: []protocol.Op{{PutKey: storage.OwnershipKey, Value: value}},
	})
	if err == nil && !ok {
		err = errSuperseded
	}
	return err
}

// adoptOwnership takes in the record that is in force.
func (c *Controller) adoptOwnership(r ownership.Record) {
	old := c.ownership.table.Load()
	if r.Epoch == 0 {
		c.ownership.table.Store(nil)
		return
	}
	table := ownership.NewTable(r.Epoch, r.Members)
	c.ownership.table.Store(table)
	var nodes []string
	for _, m := range table.Members() {
		nodes = append(nodes, m.Controller)
	}
	c.log.Info("ownership epoch in force", "epoch", r.Epoch, "owners", nodes, "reason", r.Reason)
	if _, now := table.Member(c.cfg.Name); old != nil && !now {
		if _, before := old.Member(c.cfg.Name); before {
			c.log.Info("this controller's ownership epoch is over", "epoch", old.Epoch, "now", r.Epoch)
		}
	}
}

// watchOwnership follows the ownership record; it ends at once while ownership is off.
func (c *Controller) watchOwnership(ctx context.Context) {
	if c.ownership == nil {
		return
	}
	var rev uint64
	fresh := false
	wait := config.Seconds(c.cfg.Deployment.Workers.LeaseSeconds)
	for ctx.Err() == nil {
		if !fresh {
			pairs, r, err := c.store.ListWithBudget(ctx, storage.BudgetPoll, storage.OwnershipKey)
			if err != nil {
				c.random.Pause(ctx, "watch ownership", c.times.HeartbeatInterval)
				continue
			}
			if len(pairs) == 0 {
				c.ownership.mailbox.Send(ownership.RecordRead{})
			}
			for _, p := range pairs {
				c.handleOwnershipRecord(p.Value, p.Revision)
			}
			rev, fresh = r, true
		}
		ev, err := c.store.Watch(ctx, storage.OwnershipKey, rev, wait)
		if err != nil {
			fresh = !errors.Is(err, storage.ErrCompacted)
			c.random.Pause(ctx, "watch ownership", c.times.HeartbeatInterval)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.PutKey == storage.OwnershipKey {
				c.handleOwnershipRecord(e.Value, e.Revision)
			}
		}
	}
}

// handleOwnershipRecord takes in the record as the state service has it. One that can't be read is reported and left
// alone: what was in force before stays, and this controller proposes nothing.
func (c *Controller) handleOwnershipRecord(value []byte, version uint64) {
	rec, err := storage.DecodeOwnership(value)
	if err != nil {
		c.log.Error("ownership record left alone", "err", err)
		return
	}
	r := ownership.Record{Epoch: rec.Epoch, Reason: rec.Reason, Revision: version}
	for _, e := range rec.Members {
		r.Members = append(
			r.Members,
			ownership.Member{
				Controller:  e.Controller,
				Incarnation: failuredetector.Incarnation{Process: e.Incarnation, Refutations: e.Refutations},
			},
		)
	}
	c.ownership.mailbox.Send(ownership.RecordRead{Record: r})
}

// Drain hands the machines of a controller that is about to end to the others, and returns when its workers have had
// time to move, or when nobody takes them within the time in which a leader would be replaced. A leader's are its
// successor's.
func (c *Controller) Drain(ctx context.Context) {
	if c.ownership == nil || c.leading.Load() != nil {
		return
	}
	c.ownership.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, 2*c.times.LeaderTimeout)
	defer cancel()
	for {
		table := c.ownership.table.Load()
		if table == nil {
			return
		}
		if _, owns := table.Member(c.cfg.Name); !owns {
			break
		}
		if actor.Sleep(ctx, c.times.HeartbeatInterval) != nil {
			c.log.Info("not drained: nobody has taken the machines")
			return
		}
	}
	c.log.Info("drained: the others own the machines")
	// A worker that reports once more is sent to its new owner.
	_ = actor.Sleep(
		context.WithoutCancel(ctx),
		config.Seconds(drainHeartbeats*c.cfg.Deployment.Workers.HeartbeatSeconds),
	)
}

// drainHeartbeats is for how many intervals of reports a drained controller goes on sending workers to their new
// owners: they report up to a quarter later, and pause up to half a second.
const drainHeartbeats = 1.5

// addOwnership puts into a heartbeat, or its answer, that this controller can own machines, and if it leads, by which
// epoch it goes.
func (c *Controller) addOwnership(m *protocol.PeerMessage) {
	if c.ownership == nil {
		return
	}
	// One that has just begun may have forgotten cancellations, and could not answer anybody.
	m.CanOwn = c.intents.Recovered(c.now()) && !c.ownership.draining.Load()
	if t := c.ownership.table.Load(); t != nil && c.leading.Load() != nil {
		m.OwnershipEpoch = t.Epoch
	}
}

// handleOwnershipStatus takes in what a peer's heartbeat says of ownership.
func (c *Controller) handleOwnershipStatus(m *protocol.PeerMessage) {
	if c.ownership == nil || m.Incarnation == 0 {
		return
	}
	c.ownership.mailbox.Send(
		ownership.PeerHeartbeat{
			CanOwn: m.CanOwn,
			Member: ownership.Member{
				Controller:  m.From,
				Incarnation: failuredetector.Incarnation{Process: m.Incarnation, Refutations: m.Refutations},
			},
		},
	)
	if m.Leader == m.From {
		c.ownership.leaderEpoch.Store(&leaderEpoch{node: m.From, epoch: m.OwnershipEpoch})
	}
}
