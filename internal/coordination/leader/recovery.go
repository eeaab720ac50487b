package leader

import (
	"errors"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// loaded is what recovery read.
type loaded struct {
	types         []protocol.MachineType
	live, pages   []protocol.KeyValue
	images, zones []protocol.KeyValue
}

// recover reads the records, trying until it can. The jobs come first and are watched from
// then on, so that no change is missed.
func (l *Leader) recover() {
	var got loaded
	watching := false
	for l.ctx.Err() == nil {
		var err error
		if !watching {
			var rev uint64
			asked := l.Now()
			if got.live, rev, err = l.Store.List(l.ctx, storage.LiveJobPrefix); err == nil {
				watching = true
				l.fresh(asked)
				go l.watch(rev)
			}
		}
		if err == nil {
			err = l.readRest(&got)
		}
		if err == nil {
			l.Types(got.types)
			l.box.Send(got)
			return
		}
		l.Log.Info("recovery delayed", "err", err)
		l.Random.Pause(l.ctx, "recovery", scheduler.Cycle/5)
	}
}

// readRest reads all records but the jobs.
func (l *Leader) readRest(got *loaded) (err error) {
	if got.pages, _, err = l.Store.List(l.ctx, storage.PlacementPrefix); err != nil {
		return err
	}
	if got.images, _, err = l.Store.List(l.ctx, storage.ImageHintPrefix); err != nil {
		return err
	}
	if l.ZoneReturn != nil {
		if got.zones, _, err = l.Store.List(l.ctx, storage.ZoneFailoverPrefix); err != nil {
			return err
		}
	}
	got.types, err = l.Cloud.Types(l.ctx, l.Store)
	return err
}

// fresh notes that all changes up to the given time have been taken in or wait
// in the mailbox.
func (l *Leader) fresh(at time.Duration) {
	l.box.Send(scheduler.Fresh{At: at})
	l.Fresh(l.term, at)
}

// watch follows the accepted jobs. It looks often, for only an answer shows that
// nothing has changed until the question was sent: a watch that hangs shows nothing.
func (l *Leader) watch(rev uint64) {
	for l.ctx.Err() == nil {
		asked := l.Now()
		ev, err := l.Store.Watch(l.ctx, storage.LiveJobPrefix, rev, l.Watch)
		if errors.Is(err, storage.ErrCompacted) {
			l.Deposed(l.term, scheduler.Depose{Reason: "fell behind the changes"})
			return
		}
		if err != nil {
			l.Random.Pause(l.ctx, "watch jobs", scheduler.Cycle/5)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.DeleteKey != "" {
				l.box.Send(scheduler.JobDropped{ID: e.DeleteKey[len(storage.LiveJobPrefix):]})
				continue
			}
			var rec storage.LiveJobRecord
			if err := protocol.Decode(e.Value, &rec); err != nil {
				l.Log.Error("live record out of form", "key", e.PutKey, "err", err)
				continue
			}
			l.box.Send(scheduler.JobSet{Record: rec, Stamp: e.Revision})
		}
		l.fresh(asked)
	}
}

// refreshTypes follows the cloud's prices.
func (l *Leader) refreshTypes() {
	for l.ctx.Err() == nil {
		l.Random.Pause(l.ctx, "machine types", config.Seconds(8*l.Cfg.Cloud.ListLagS))
		types, err := l.Cloud.fetchTypes(l.ctx)
		if err != nil {
			l.Log.Info("prices not read", "err", err)
			continue
		}
		l.Types(types)
		l.box.Send(scheduler.Types{Types: types})
	}
}
