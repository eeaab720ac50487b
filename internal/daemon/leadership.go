package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// electionActor takes part in the election, and starts and stops the leader of this process.
type electionActor struct {
	*environment
	mailbox          *actor.Mailbox[election.Event]
	election         *election.Election
	api              *api.Server
	workers          *transport.Client
	levels           *featureLevelActor
	newerLevelLogged sync.Once
	tasks            sync.WaitGroup // requests under way, and leaders
}

func newElectionActor(
	env *environment,
	peers []string,
	users *api.Server,
	workers *transport.Client,
	levels *featureLevelActor,
) *electionActor {
	a := &electionActor{
		environment: env,
		mailbox:     actor.NewMailbox[election.Event](),
		election:    election.New(env.now(), env.cfg.Name, peers, env.times),
		api:         users,
		workers:     workers,
		levels:      levels,
	}
	a.publishView()
	return a
}

func (a *electionActor) publishView() {
	v := a.election.View(a.now())
	a.view.Store(&v)
}

// peerDisconnected is called when the connection to a peer has ended.
func (a *electionActor) peerDisconnected(peer string) {
	a.mailbox.Send(election.PeerDisconnected{Peer: peer})
}

// run is the actor. It returns when the context has ended, the leader has stopped, and nothing is under way any more.
func (a *electionActor) run(ctx context.Context) {
	defer a.tasks.Wait()
	step := func(e election.Event) {
		effects := a.election.Step(a.now(), e)
		a.publishView()
		for _, effect := range effects {
			a.apply(ctx, effect)
		}
	}
	a.mailbox.Run(ctx, a.times.HeartbeatInterval, step, func() { step(election.Tick{}) })
	if l := a.leading.Swap(nil); l != nil {
		l.Stop()
	}
}

// apply carries out an effect. Whatever waits runs on its own goroutine.
func (a *electionActor) apply(ctx context.Context, effect election.Effect) {
	switch e := effect.(type) {
	case election.Claim:
		a.tasks.Go(func() { a.mailbox.Send(a.claim(ctx, e)) })
	case election.RenewLease:
		a.tasks.Go(func() {
			err := a.store.RenewLease(ctx, e.LeaseID)
			expired := errors.Is(err, storage.ErrLeaseNotFound)
			a.mailbox.Send(election.RenewalResult{LeaseExpired: expired, Term: e.Term})
		})
	case election.BecomeLeader:
		l := a.startLeader(ctx, e)
		if old := a.leading.Swap(l); old != nil {
			old.Stop()
		}
	case election.StepDown:
		a.stepDown(ctx, e)
	}
}

// stepDown ends the leadership of a term.
func (a *electionActor) stepDown(ctx context.Context, e election.StepDown) {
	a.log.Info("stepping down", "term", e.Term)
	// The leader's key ends with the lease, and others need not wait for that.
	a.tasks.Go(func() {
		if err := a.store.RevokeLease(ctx, e.LeaseID); err != nil {
			a.log.Debug("failed to revoke lease", "error", err)
		}
	})
	if l := a.leading.Load(); l != nil && l.Term() == e.Term {
		a.leading.Store(nil)
		l.Stop()
	}
}

// startLeader starts the leader of a term that this controller has won.
func (a *electionActor) startLeader(ctx context.Context, won election.BecomeLeader) *leader.Leader {
	l := leader.Start(ctx, leader.Dependencies{
		Leadership: &electedTerm{electionActor: a, term: won.Term},
		Intents:    a.intents,
		Observer:   leaderObserver{a},
		Store:      a.store,
		Cloud:      a.cloud,
		Workers:    a.workers,
		Random:     a.random,
		Log:        a.log,
		Now:        a.now,
	}, leader.Options{
		Deployment:    &a.cfg.Deployment,
		WatchTimeout:  a.times.LeaderTimeout / 2,
		ConfirmWithin: a.times.CancellationTimeout,
		ZoneFailover:  a.features.ZoneFailover,
		Timing:        a.features.Timing,
	}, scheduler.Term{
		Number:       won.Term,
		Revision:     won.Revision,
		Controller:   a.cfg.Name,
		FeatureLevel: won.FeatureLevel,
	})
	a.tasks.Go(l.Wait)
	return l
}

// electedTerm connects a leader with the election that it was elected by.
type electedTerm struct {
	*electionActor
	term uint64
}

// Confirmed implements leader.Leadership.
func (t *electedTerm) Confirmed() bool {
	v := t.view.Load()
	return v.Leading && v.Term == t.term && t.now() < v.ConfirmedUntil
}

// JobsKnownUpTo implements leader.Leadership.
func (t *electedTerm) JobsKnownUpTo(at time.Duration) {
	t.mailbox.Send(election.WatchProgress{Term: t.term, UpTo: at})
}

// StepDown implements leader.Leadership.
func (t *electedTerm) StepDown(reason scheduler.StepDown) {
	if reason.LaterTerm > t.term {
		t.mailbox.Send(election.HigherTerm{Term: reason.LaterTerm})
	}
	t.mailbox.Send(election.Resign{Term: t.term, DeferToOthers: reason.TransferLeadership})
}

// leaderObserver passes on what a leader has read and made final.
type leaderObserver struct{ *electionActor }

// MachineTypesRead implements leader.Observer.
func (o leaderObserver) MachineTypesRead(types []protocol.MachineType) { o.api.SetMachineTypes(types) }

// FeatureLevelFinal implements leader.Observer.
func (o leaderObserver) FeatureLevelFinal(level featurelevel.Level) { o.levels.finalised(level) }

// watchLeaderKey passes the leader's key and its changes to the election until the context ends.
func (a *electionActor) watchLeaderKey(ctx context.Context) {
	watch := keyWatch{
		environment: a.environment,
		key:         storage.LeaderKey,
		name:        "watch leader",
		read:        a.readLeaderKey,
		changed: func(e protocol.WatchEvent) {
			if e.DeleteKey != "" {
				a.leaderKeyRead(nil, 0)
			} else {
				a.leaderKeyRead(e.Value, e.Revision)
			}
		},
	}
	watch.run(ctx)
}

// readLeaderKey reads the leader's key. The revision of a key that isn't there comes from a list.
func (a *electionActor) readLeaderKey(ctx context.Context, known uint64) (uint64, error) {
	key, err := a.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
	if err != nil {
		return 0, err
	}
	a.leaderKeyRead(key.Value, key.Revision)
	if key.Revision != 0 {
		return max(known, key.Revision), nil
	}
	keys, revision, err := a.store.List(ctx, storage.LeaderKey)
	if err != nil {
		return 0, err
	}
	for _, key := range keys {
		a.leaderKeyRead(key.Value, key.Revision)
	}
	return max(known, revision), nil
}

// leaderKeyRead passes the leader's key to the election; a revision of 0 says that there is none.
func (a *electionActor) leaderKeyRead(value []byte, revision uint64) {
	if revision == 0 {
		a.mailbox.Send(election.LeaderKey{Term: a.view.Load().Term})
		return
	}
	var rec storage.LeaderRecord
	if err := protocol.Decode(value, &rec); err != nil {
		a.log.Error("malformed leader record", "error", err)
		return
	}
	a.mailbox.Send(election.LeaderKey{Present: true, Holder: rec.Controller, Term: rec.Term})
}
