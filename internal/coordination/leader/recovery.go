package leader

import (
	"errors"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// loadedRecords is what recovery read.
type loadedRecords struct {
	types           []protocol.MachineType
	liveJobs, pages []protocol.KeyValue
	images, zones   []protocol.KeyValue
}

// loadRecords reads the records, trying until it can. The jobs come first and are watched from
// then on, so that no change is missed.
func (l *Leader) loadRecords() {
	var got loadedRecords
	watching := false
	for l.ctx.Err() == nil {
		var err error
		if !watching {
			var rev uint64
			asked := l.Now()
			if got.liveJobs, rev, err = l.Store.List(l.ctx, storage.LiveJobPrefix); err == nil {
				watching = true
				l.markFresh(asked)
				go l.watchJobs(rev)
			}
		}
		if err == nil {
			err = l.loadRemaining(&got)
		}
		if err == nil {
			l.MachineTypesRead(got.types)
			l.mailbox.Send(got)
			return
		}
		l.Log.Info("recovery delayed", "err", err)
		l.Random.Pause(l.ctx, "recovery", scheduler.CycleInterval/5)
	}
}

// loadRemaining reads all records but the jobs.
func (l *Leader) loadRemaining(got *loadedRecords) (err error) {
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
	got.types, err = l.Cloud.MachineTypes(l.ctx, l.Store)
	return err
}

// markFresh notes that all changes up to the given time have been taken in or wait
// in the mailbox.
func (l *Leader) markFresh(at time.Duration) {
	l.mailbox.Send(scheduler.WatchProgress{At: at})
	l.Fresh(l.term, at)
}

// watchJobs follows the accepted jobs. It looks often, for only an answer shows that
// nothing has changed until the question was sent: a watch that hangs shows nothing.
func (l *Leader) watchJobs(rev uint64) {
	for l.ctx.Err() == nil {
		asked := l.Now()
		ev, err := l.Store.Watch(l.ctx, storage.LiveJobPrefix, rev, l.WatchTimeout)
		if errors.Is(err, storage.ErrCompacted) {
			l.Deposed(l.term, scheduler.StepDown{Reason: "fell behind the changes"})
			return
		}
		if err != nil {
			l.Random.Pause(l.ctx, "watch jobs", scheduler.CycleInterval/5)
			continue
		}
		rev = max(rev, ev.Revision)
		for _, e := range ev.Events {
			if e.DeleteKey != "" {
				l.mailbox.Send(scheduler.JobEnded{ID: e.DeleteKey[len(storage.LiveJobPrefix):]})
				continue
			}
			var rec storage.LiveJobRecord
			if err := protocol.Decode(e.Value, &rec); err != nil {
				l.Log.Error("live record out of form", "key", e.PutKey, "err", err)
				continue
			}
			l.mailbox.Send(scheduler.JobAccepted{Record: rec, Revision: e.Revision})
		}
		l.markFresh(asked)
	}
}

// refreshMachineTypes follows the cloud's prices.
func (l *Leader) refreshMachineTypes() {
	for l.ctx.Err() == nil {
		l.Random.Pause(l.ctx, "machine types", config.Seconds(8*l.Deployment.Cloud.ListLagSeconds))
		types, err := l.Cloud.fetchMachineTypes(l.ctx)
		if err != nil {
			l.Log.Info("prices not read", "err", err)
			continue
		}
		l.MachineTypesRead(types)
		l.mailbox.Send(scheduler.MachineTypesUpdated{Types: types})
	}
}
