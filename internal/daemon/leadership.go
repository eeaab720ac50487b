package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// runElection is the election's actor.
func (c *Controller) runElection(ctx context.Context) {
	step := func(e election.Event) {
		effects := c.election.Step(c.now(), e)
		c.publishView()
		for _, e := range effects {
			c.applyElectionEffect(ctx, e)
		}
	}
	c.electionMailbox.Run(ctx, c.times.HeartbeatInterval, step, func() { step(election.Tick{}) })
	if l := c.leading.Swap(nil); l != nil {
		l.Stop()
	}
}

func (c *Controller) applyElectionEffect(ctx context.Context, effect election.Effect) {
	switch e := effect.(type) {
	case election.Claim:
		go func() { c.electionMailbox.Send(c.claim(ctx, e)) }()
	case election.RenewLease:
		go func() {
			err := c.store.RenewLease(ctx, e.LeaseID)
			c.electionMailbox.Send(
				election.RenewalResult{LeaseExpired: errors.Is(err, storage.ErrLeaseNotFound), Term: e.Term},
			)
		}()
	case election.BecomeLeader:
		l := c.startLeader(ctx, e)
		if old := c.leading.Swap(l); old != nil {
			old.Stop()
		}
	case election.StepDown:
		c.log.Info("yielding", "term", e.Term)
		// Its key ends with the lease, and others need not wait for that.
		go func() {
			if err := c.store.RevokeLease(ctx, e.LeaseID); err != nil {
				c.log.Debug("lease not ended", "err", err)
			}
		}()
		if l := c.leading.Load(); l != nil && l.Term() == e.Term {
			c.leading.Store(nil)
			l.Stop()
		}
	}
}

// startLeader starts the leader of a term that this controller has won.
func (c *Controller) startLeader(ctx context.Context, won election.BecomeLeader) *leader.Leader {
	return leader.Start(ctx, leader.Dependencies{
		Leadership: &leadership{controller: c, term: won.Term},
		Intents:    c.intents,
		Observer:   leaderObserver{c},
		Store:      c.store,
		Cloud:      c.cloud,
		Workers:    c.workers,
		Random:     c.random,
		Log:        c.log,
		Now:        c.now,
	}, leader.Options{
		Deployment:    &c.cfg.Deployment,
		WatchTimeout:  c.times.LeaderTimeout / 2,
		ConfirmWithin: c.times.CancellationTimeout,
		ZoneReturn:    c.features.ZoneReturn,
		Timing:        c.features.Timing,
	}, scheduler.Term{
		Number:       won.Term,
		Revision:     won.Revision,
		Controller:   c.cfg.Name,
		FeatureLevel: featurelevel.Level(won.FeatureLevel),
	})
}

// leadership connects a leader with the election that made it one.
type leadership struct {
	controller *Controller
	term       uint64
}

// Confirmed implements leader.Leadership.
func (l *leadership) Confirmed() bool {
	v := l.controller.view.Load()
	return v.Leading && v.Term == l.term && l.controller.now() < v.ConfirmedUntil
}

// JobsKnownUpTo implements leader.Leadership.
func (l *leadership) JobsKnownUpTo(at time.Duration) {
	l.controller.electionMailbox.Send(election.WatchProgress{Term: l.term, UpTo: at})
}

// StepDown implements leader.Leadership.
func (l *leadership) StepDown(reason scheduler.StepDown) {
	if reason.LaterTerm > l.term {
		l.controller.electionMailbox.Send(election.HigherTerm{Term: reason.LaterTerm})
	}
	l.controller.electionMailbox.Send(election.Resign{Term: l.term, DeferToOthers: reason.TransferLeadership})
}

// leaderObserver tells the rest of the controller what its leader has read and made final.
type leaderObserver struct{ *Controller }

// MachineTypesRead implements leader.Observer.
func (o leaderObserver) MachineTypesRead(types []protocol.MachineType) { o.api.SetMachineTypes(types) }

// FeatureLevelFinal implements leader.Observer.
func (o leaderObserver) FeatureLevelFinal(level featurelevel.Level) { o.notifyLevelFinalised(level) }

// claim tries to take the leadership once. Its transaction holds only while
// neither the leader's key nor the term has changed.
func (c *Controller) claim(ctx context.Context, e election.Claim) election.ClaimResult {
	sent := c.now()
	fail := func(err error) election.ClaimResult {
		c.log.Debug("claim failed", "err", err)
		return election.ClaimResult{}
	}
	tp, err := c.store.Get(ctx, storage.BudgetUrgent, storage.TermKey)
	if err != nil {
		return fail(err)
	}
	var rec storage.TermRecord
	if tp.Revision != 0 {
		if rec, err = storage.DecodeTerm(tp.Value); err != nil {
			return fail(err)
		}
	}
	if rec.FeatureLevel > int(c.features.featureLevel()) {
		c.newerLevelLogged.Do(func() {
			c.log.Error(
				"a newer feature level is final: this version can't lead any more",
				"level",
				rec.FeatureLevel,
				"own",
				c.features.featureLevel(),
			)
		})
		return election.ClaimResult{}
	}
	lp, err := c.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
	if err != nil {
		return fail(err)
	}
	if rec.Term > e.AboveTerm && lp.Revision != 0 && rec.Controller != c.cfg.Name {
		c.electionMailbox.Send(election.LeaderKey{Present: true, Holder: rec.Controller, Term: rec.Term})
		return election.ClaimResult{}
	}
	lease, err := c.store.GrantLease(ctx, c.times.LeaseTTL)
	if err != nil {
		return fail(err)
	}
	// A worker may have seen a token that no record tells of any more only if
	// the state service lost it; be above what we have seen all the same.
	term := max(rec.Term, e.AboveTerm) + 1
	value, err := storage.EncodeTerm(
		storage.TermRecord{
			Term:         term,
			Controller:   c.cfg.Name,
			ClaimID:      fmt.Sprint(lease),
			FeatureLevel: rec.FeatureLevel,
		},
	)
	if err != nil {
		return fail(err)
	}
	lvalue, err := protocol.Encode(storage.LeaderRecord{Controller: c.cfg.Name, Term: term})
	if err != nil {
		return fail(err)
	}
	rev, ok, err := c.store.Txn(ctx, storage.BudgetUrgent, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: tp.Revision},
			{Key: storage.LeaderKey, Revision: lp.Revision},
		},
		Then: []protocol.Op{
			{PutKey: storage.TermKey, Value: value},
			{PutKey: storage.LeaderKey, Value: lvalue, LeaseID: lease},
		},
	})
	if err != nil || !ok {
		return fail(fmt.Errorf("transaction ok=%v: %w", ok, err))
	}
	return election.ClaimResult{
		Won:          true,
		Term:         term,
		Revision:     rev,
		FeatureLevel: rec.FeatureLevel,
		LeaseID:      lease,
		SentAt:       sent,
	}
}

// watchLeader follows the leader's key.
func (c *Controller) watchLeader(ctx context.Context) {
	var rev uint64
	wait := config.Seconds(c.cfg.Deployment.Workers.LeaseSeconds)
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			p, err := c.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
			if err != nil {
				c.random.Pause(ctx, "watch leader", c.times.HeartbeatInterval)
				continue
			}
			c.handleLeaderKey(p.Value, p.Revision)
			rev, fresh = max(rev, p.Revision), true
			if p.Revision == 0 {
				pairs, r, err := c.store.List(ctx, storage.LeaderKey)
				if err != nil {
					fresh = false
					c.random.Pause(ctx, "watch leader", c.times.HeartbeatInterval)
					continue
				}
				rev = max(rev, r)
				for _, p := range pairs {
					c.handleLeaderKey(p.Value, p.Revision)
				}
			}
		}
		ev, err := c.store.Watch(ctx, storage.LeaderKey, rev, wait)
		if err != nil {
			fresh = !errors.Is(err, storage.ErrCompacted)
			c.random.Pause(ctx, "watch leader", c.times.HeartbeatInterval)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.DeleteKey != "" {
				c.handleLeaderKey(nil, 0)
			} else {
				c.handleLeaderKey(e.Value, e.Revision)
			}
		}
	}
}

func (c *Controller) handleLeaderKey(value []byte, version uint64) {
	if version == 0 {
		c.electionMailbox.Send(election.LeaderKey{Term: c.view.Load().Term})
		return
	}
	var rec storage.LeaderRecord
	if err := protocol.Decode(value, &rec); err != nil {
		c.log.Error("leader record out of form", "err", err)
		return
	}
	c.electionMailbox.Send(election.LeaderKey{Present: true, Holder: rec.Controller, Term: rec.Term})
}
