package daemon

import (
	"context"
	"slices"
	"sync"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// featureLevelActor determines the feature level that all controllers support, so that the leader can make it final.
type featureLevelActor struct {
	*environment
	mailbox *actor.Mailbox[featurelevel.Event]
	gate    *featurelevel.Gate
	api     *api.Server
	missing []string       // controllers last logged as not supporting this version's level
	tasks   sync.WaitGroup // requests in progress
}

func newFeatureLevelActor(env *environment, peers []string, apiServer *api.Server) *featureLevelActor {
	level := env.features.featureLevel()
	return &featureLevelActor{
		environment: env,
		mailbox:     actor.NewMailbox[featurelevel.Event](),
		gate:        featurelevel.New(env.cfg.Name, peers, level, env.times.LeaderTimeout/2),
		api:         apiServer,
	}
}

// run processes events until ctx ends and all requests have returned.
func (a *featureLevelActor) run(ctx context.Context) {
	defer a.tasks.Wait()
	step := func(e featurelevel.Event) {
		for _, effect := range a.gate.Step(a.now(), e) {
			a.apply(ctx, effect)
		}
		if _, ok := e.(featurelevel.RecordsListed); ok {
			a.logMissing()
		}
	}
	a.mailbox.Run(ctx, a.times.HeartbeatInterval, step, func() {
		l := a.localLeader.Load()
		step(featurelevel.Leadership{Leading: l != nil && l.Ready()})
		step(featurelevel.Tick{})
	})
}

// handlePeerHeartbeat processes the feature level in a peer's heartbeat or in its reply to one.
func (a *featureLevelActor) handlePeerHeartbeat(m *protocol.PeerMessage) {
	a.mailbox.Send(featurelevel.PeerHeartbeat{Controller: m.From, Level: featurelevel.Level(m.FeatureLevel)})
}

// levelFinalised is called when the local leader has made a level final.
func (a *featureLevelActor) levelFinalised(level featurelevel.Level) {
	a.mailbox.Send(featurelevel.Finalised{Level: level})
}

// logMissing logs the controllers that do not support this version's level yet, if the list of them has changed.
func (a *featureLevelActor) logMissing() {
	missing := a.gate.Missing()
	if !slices.Equal(missing, a.missing) && a.gate.Final() < a.features.featureLevel() {
		a.log.Info("feature level pending", "level", a.features.featureLevel(), "missing", missing)
	}
	a.missing = missing
}

// apply executes an effect. Effects that block run on goroutines of their own.
func (a *featureLevelActor) apply(ctx context.Context, effect featurelevel.Effect) {
	switch e := effect.(type) {
	case featurelevel.ListRecords:
		a.tasks.Go(func() { a.mailbox.Send(a.listLevels(ctx)) })
	case featurelevel.Announce:
		a.tasks.Go(func() {
			a.recordLevel(ctx, e)
			a.mailbox.Send(featurelevel.AnnounceDone{})
		})
	case featurelevel.Finalise:
		if l := a.localLeader.Load(); l != nil {
			l.FinaliseLevel(e.Level)
		}
	case featurelevel.Activate:
		a.log.Info("feature level active", "level", e.Level)
		a.store.SetLimits(a.cfg.Deployment.Store.Lowest())
		a.api.SetFeatureLevel(e.Level)
	}
}

// listLevels reads the recorded feature levels of all controllers and the final level.
func (a *featureLevelActor) listLevels(ctx context.Context) featurelevel.RecordsListed {
	fail := func(err error) featurelevel.RecordsListed {
		a.log.Debug("failed to read feature levels", "error", err)
		return featurelevel.RecordsListed{Failed: true}
	}
	pairs, _, err := a.store.ListWithBudget(ctx, storage.BudgetUrgent, storage.FeatureLevelPrefix)
	if err != nil {
		return fail(err)
	}
	listed := featurelevel.RecordsListed{Controllers: map[string]featurelevel.Record{}}
	for _, p := range pairs {
		controller, rec, err := storage.DecodeFeatureLevel(p)
		if err != nil {
			a.log.Error("malformed feature level record", "error", err)
			continue
		}
		listed.Controllers[controller] = featurelevel.Record{Level: featurelevel.Level(rec.Level), Revision: p.Revision}
	}
	term, err := a.store.Get(ctx, storage.BudgetUrgent, storage.TermKey)
	if err != nil {
		return fail(err)
	}
	if term.Revision != 0 {
		rec, err := storage.DecodeTerm(term.Value)
		if err != nil {
			return fail(err)
		}
		listed.Final = featurelevel.Level(rec.FeatureLevel)
	}
	return listed
}

// recordLevel records the feature level that this controller supports. A lost response needs no handling: the next
// listing shows whether the level is recorded.
func (a *featureLevelActor) recordLevel(ctx context.Context, e featurelevel.Announce) {
	value, err := protocol.Encode(storage.FeatureLevelRecord{Level: int(e.Level)})
	if err != nil {
		a.log.Error("failed to encode feature level record", "error", err)
		return
	}
	key := storage.FeatureLevelKey(a.cfg.Name)
	outcome, err := a.store.Txn(ctx, storage.BudgetUrgent, protocol.Txn{
		If: []protocol.Compare{{Key: key, Revision: e.Revision}}, Then: []protocol.Op{{PutKey: key, Value: value}},
	})
	a.log.Info("feature level announcement completed", "level", e.Level, "succeeded", outcome.Succeeded, "error", err)
}
