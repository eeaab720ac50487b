package leader

import (
	"context"
	"errors"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// loadedRecords are the records of the key-value store that a scheduler starts from.
type loadedRecords struct {
	types           []protocol.MachineType
	liveJobs, pages []protocol.KeyValue
	images, zones   []protocol.KeyValue
}

// loadRecords reads the records, trying until it can. The jobs come first and are watched from
// then on, so that no change is missed.
func (l *Leader) loadRecords(ctx context.Context) {
	var got loadedRecords
	watching := false
	for ctx.Err() == nil {
		var err error
		if !watching {
			var rev uint64
			asked := l.deps.Now()
			if got.liveJobs, rev, err = l.deps.Store.List(ctx, storage.LiveJobPrefix); err == nil {
				watching = true
				l.markFresh(asked)
				l.tasks.Go(func() { l.watchJobs(ctx, rev) })
			}
		}
		if err == nil {
			err = l.loadRemaining(ctx, &got)
		}
		if err == nil {
			l.deps.Observer.MachineTypesRead(got.types)
			l.mailbox.Send(got)
			return
		}
		l.log.Info("recovery delayed", "error", err)
		l.deps.Random.Pause(ctx, "recovery", scheduler.CycleInterval/5)
	}
}

// loadRemaining reads all records but the jobs.
func (l *Leader) loadRemaining(ctx context.Context, got *loadedRecords) (err error) {
	if got.pages, _, err = l.deps.Store.List(ctx, storage.PlacementPrefix); err != nil {
		return err
	}
	if got.images, _, err = l.deps.Store.List(ctx, storage.ImageHintPrefix); err != nil {
		return err
	}
	if l.options.ZoneFailover != nil {
		if got.zones, _, err = l.deps.Store.List(ctx, storage.ZoneFailoverPrefix); err != nil {
			return err
		}
	}
	got.types, err = l.deps.Cloud.MachineTypes(ctx, l.deps.Store)
	return err
}

// markFresh records that all changes up to the given time have been processed or wait
// in the mailbox.
func (l *Leader) markFresh(at time.Duration) {
	l.mailbox.Send(scheduler.WatchProgress{At: at})
	l.deps.Leadership.JobsKnownUpTo(at)
}

// watchJobs follows the accepted jobs. Its requests wait briefly: only an answer shows that
// nothing had changed when the request was sent.
func (l *Leader) watchJobs(ctx context.Context, rev uint64) {
	for ctx.Err() == nil {
		asked := l.deps.Now()
		ev, err := l.deps.Store.Watch(ctx, storage.LiveJobPrefix, rev, l.options.WatchTimeout)
		if errors.Is(err, storage.ErrCompacted) {
			l.deps.Leadership.StepDown(scheduler.StepDown{Reason: "fell behind the changes"})
			return
		}
		if err != nil {
			l.deps.Random.Pause(ctx, "watch jobs", scheduler.CycleInterval/5)
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
				l.log.Error("malformed live job record", "key", e.PutKey, "error", err)
				continue
			}
			l.mailbox.Send(scheduler.JobAccepted{Record: rec, Revision: e.Revision})
		}
		l.markFresh(asked)
	}
}

// refreshMachineTypes reads the machine types regularly, as prices change.
func (l *Leader) refreshMachineTypes(ctx context.Context) {
	for ctx.Err() == nil {
		l.deps.Random.Pause(ctx, "machine types", config.Seconds(8*l.options.Deployment.Cloud.ListLagSeconds))
		types, err := l.deps.Cloud.fetchMachineTypes(ctx)
		if err != nil {
			l.log.Info("failed to read machine types", "error", err)
			continue
		}
		l.deps.Observer.MachineTypesRead(types)
		l.mailbox.Send(scheduler.MachineTypesUpdated{Types: types})
	}
}
