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

// electionActor runs the election of this controller, and starts and stops the local leader.
type electionActor struct {
	*environment
	mailbox                *actor.Mailbox[election.Event]
	election               *election.Election
	api                    *api.Server
	workerClient           *transport.Client
	levels                 *featureLevelActor
	unsupportedLevelLogged sync.Once
	tasks                  sync.WaitGroup // requests in progress, and leaders that have not ended
}

func newElectionActor(
	env *environment,
	peers []string,
	apiServer *api.Server,
	workerClient *transport.Client,
	levels *featureLevelActor,
) *electionActor {
	a := &electionActor{
		environment:  env,
		mailbox:      actor.NewMailbox[election.Event](),
		election:     election.New(env.now(), env.cfg.Name, peers, env.times),
		api:          apiServer,
		workerClient: workerClient,
		levels:       levels,
	}
	a.publishView()
	return a
}

func (a *electionActor) publishView() {
	v := a.election.View(a.now())
	a.view.Store(&v)
}

// peerDisconnected is called when a connection that a peer had opened has ended.
func (a *electionActor) peerDisconnected(peer string) {
	a.mailbox.Send(election.PeerDisconnected{Peer: peer})
}

// run processes events until ctx ends, the local leader has stopped and all requests have returned.
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
	if l := a.localLeader.Swap(nil); l != nil {
		l.Stop()
	}
}

// apply executes an effect. Effects that block run on goroutines of their own.
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
		if old := a.localLeader.Swap(l); old != nil {
			old.Stop()
		}
	case election.StepDown:
		a.stepDown(ctx, e)
	}
}

// stepDown revokes the lease of a term and stops its leader.
func (a *electionActor) stepDown(ctx context.Context, e election.StepDown) {
	a.log.Info("stepping down", "term", e.Term)
	// Revoking the lease deletes the leader key, so the other controllers need not wait for the lease to expire.
	a.tasks.Go(func() {
		if err := a.store.RevokeLease(ctx, e.LeaseID); err != nil {
			a.log.Debug("failed to revoke lease", "error", err)
		}
	})
	if l := a.localLeader.Load(); l != nil && l.Term() == e.Term {
		a.localLeader.Store(nil)
		l.Stop()
	}
}

// startLeader starts the local leader for a term that this controller has won.
func (a *electionActor) startLeader(ctx context.Context, won election.BecomeLeader) *leader.Leader {
	l := leader.Start(ctx, leader.Dependencies{
		Leadership: &electedTerm{electionActor: a, term: won.Term},
		Intents:    a.intents,
		Observer:   leaderObserver{a},
		Store:      a.store,
		Cloud:      a.cloud,
		Workers:    a.workerClient,
		Random:     a.random,
		Log:        a.log,
		Now:        a.now,
	}, leader.Options{
		Deployment:     &a.cfg.Deployment,
		WatchTimeout:   a.times.LeaderTimeout / 2,
		IntentValidity: a.times.CancellationTimeout,
		ZoneFailover:   a.features.ZoneFailover,
		Timing:         a.features.Timing,
	}, scheduler.Term{
		Number:       won.Term,
		Revision:     won.Revision,
		Controller:   a.cfg.Name,
		FeatureLevel: won.FeatureLevel,
	})
	a.tasks.Go(l.Wait)
	return l
}

// electedTerm connects a leader to the election and to the term that the leader was started for.
type electedTerm struct {
	*electionActor
	term uint64
}

// Confirmed implements leader.Leadership.
func (t *electedTerm) Confirmed() bool {
	v := t.view.Load()
	return v.Leading && v.Term == t.term && t.now() < v.ConfirmedUntil
}

// JobWatchProgress implements leader.Leadership.
func (t *electedTerm) JobWatchProgress(at time.Duration) {
	t.mailbox.Send(election.WatchProgress{Term: t.term, UpTo: at})
}

// StepDown implements leader.Leadership.
func (t *electedTerm) StepDown(reason scheduler.StepDown) {
	if reason.LaterTerm > t.term {
		t.mailbox.Send(election.HigherTerm{Term: reason.LaterTerm})
	}
	t.mailbox.Send(election.Resign{Term: t.term, DeferToOthers: reason.TransferLeadership})
}

// leaderObserver forwards the machine types and the final feature level from the leader to the parts that use them.
type leaderObserver struct{ *electionActor }

// MachineTypesRead implements leader.Observer.
func (o leaderObserver) MachineTypesRead(types []protocol.MachineType) { o.api.SetMachineTypes(types) }

// FeatureLevelFinal implements leader.Observer.
func (o leaderObserver) FeatureLevelFinal(level featurelevel.Level) { o.levels.levelFinalised(level) }

// watchLeaderKey sends the leader key and its changes to the election until ctx ends.
func (a *electionActor) watchLeaderKey(ctx context.Context) {
	watch := keyWatch{
		environment: a.environment,
		key:         storage.LeaderKey,
		purpose:     "watch leader",
		read:        a.readLeaderKey,
		onChange: func(e protocol.WatchEvent) {
			if e.DeleteKey != "" {
				a.sendLeaderKey(nil, 0)
			} else {
				a.sendLeaderKey(e.Value, e.Revision)
			}
		},
	}
	watch.run(ctx)
}

// readLeaderKey reads the leader key. If the key does not exist, the revision after which to watch it comes from a list
// request, since a read of a missing key returns none.
func (a *electionActor) readLeaderKey(ctx context.Context, known uint64) (uint64, error) {
	key, err := a.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
	if err != nil {
		return 0, err
	}
	a.sendLeaderKey(key.Value, key.Revision)
	if key.Revision != 0 {
		return max(known, key.Revision), nil
	}
	keys, revision, err := a.store.List(ctx, storage.LeaderKey)
	if err != nil {
		return 0, err
	}
	for _, key := range keys {
		a.sendLeaderKey(key.Value, key.Revision)
	}
	return max(known, revision), nil
}

// sendLeaderKey sends the value of the leader key to the election. A revision of 0 means that the key does not exist.
func (a *electionActor) sendLeaderKey(value []byte, revision uint64) {
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
