package daemon

import (
	"context"
	"slices"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// runLevels is the feature levels' actor.
func (c *Controller) runLevels(ctx context.Context) {
	var missing []string
	step := func(e featurelevel.Event) {
		if _, ok := e.(featurelevel.RecordsListed); ok {
			defer func() { missing = c.logMissingLevels(missing) }()
		}
		for _, effect := range c.levels.Step(c.now(), e) {
			c.applyLevelEffect(ctx, effect)
		}
	}
	c.levelMailbox.Run(ctx, c.times.HeartbeatInterval, step, func() {
		l := c.leading.Load()
		step(featurelevel.Leadership{Leading: l != nil && l.Ready()})
		step(featurelevel.Tick{})
	})
}

// logMissingLevels logs which controllers have not shown this version's level, if these are others than were told of.
func (c *Controller) logMissingLevels(told []string) []string {
	missing := c.levels.Missing()
	if !slices.Equal(missing, told) && c.levels.Final() < c.features.featureLevel() {
		c.log.Info("feature level waits for controllers", "level", c.features.featureLevel(), "missing", missing)
	}
	return missing
}

func (c *Controller) applyLevelEffect(ctx context.Context, effect featurelevel.Effect) {
	switch e := effect.(type) {
	case featurelevel.ListRecords:
		go func() { c.levelMailbox.Send(c.listLevels(ctx)) }()
	case featurelevel.Announce:
		go func() {
			c.recordLevel(ctx, e)
			c.levelMailbox.Send(featurelevel.AnnounceDone{})
		}()
	case featurelevel.Finalise:
		if l := c.leading.Load(); l != nil {
			l.FinaliseLevel(e.Level)
		}
	case featurelevel.Activate:
		c.log.Info("feature level in force", "level", e.Level)
		c.store.SetLimits(c.cfg.Deployment.Store.Lowest())
		c.api.SetFeatureLevel(e.Level)
	}
}

// notifyLevelFinalised takes in that the leader here has made a level final.
func (c *Controller) notifyLevelFinalised(level featurelevel.Level) {
	c.levelMailbox.Send(featurelevel.Finalised{Level: level})
}

// listLevels reads what levels the controllers have recorded, and which one is final.
func (c *Controller) listLevels(ctx context.Context) featurelevel.RecordsListed {
	fail := func(err error) featurelevel.RecordsListed {
		c.log.Debug("feature levels not read", "err", err)
		return featurelevel.RecordsListed{Failed: true}
	}
	pairs, _, err := c.store.ListWithBudget(ctx, storage.BudgetUrgent, storage.FeatureLevelPrefix)
	if err != nil {
		return fail(err)
	}
	listed := featurelevel.RecordsListed{Controllers: map[string]featurelevel.Record{}}
	for _, p := range pairs {
		node, rec, err := storage.DecodeFeatureLevel(p)
		if err != nil {
			c.log.Error("feature level out of form", "err", err)
			continue
		}
		listed.Controllers[node] = featurelevel.Record{Level: featurelevel.Level(rec.Level), Revision: p.Revision}
	}
	term, err := c.store.Get(ctx, storage.BudgetUrgent, storage.TermKey)
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

// recordLevel records the level that this controller speaks. Should the answer be lost, the next look
// shows whether it is recorded.
func (c *Controller) recordLevel(ctx context.Context, e featurelevel.Announce) {
	value, err := protocol.Encode(storage.FeatureLevelRecord{Level: int(e.Level)})
	if err != nil {
		c.log.Error("feature level", "err", err)
		return
	}
	key := storage.FeatureLevelKey(c.cfg.Name)
	_, ok, err := c.store.Txn(ctx, storage.BudgetUrgent, protocol.Txn{
		If: []protocol.Compare{{Key: key, Revision: e.Revision}}, Then: []protocol.Op{{PutKey: key, Value: value}},
	})
	c.log.Info("feature level recorded", "level", e.Level, "ok", ok, "err", err)
}
