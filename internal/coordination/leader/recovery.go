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

// loadedRecords holds the records of the key-value store from which a scheduler is initialized.
type loadedRecords struct {
	types           []protocol.MachineType
	liveJobs, pages []protocol.KeyValue
	images, zones   []protocol.KeyValue
}

// loadRecords reads the records, retrying until it succeeds. It lists the jobs first and watches them from that
// revision on, so that no change is missed.
func (l *Leader) loadRecords(ctx context.Context) {
	var records loadedRecords
	watching := false
	for ctx.Err() == nil {
		var err error
		if !watching {
			var revision uint64
			requestedAt := l.deps.Now()
			if records.liveJobs, revision, err = l.deps.Store.List(ctx, storage.LiveJobPrefix); err == nil {
				watching = true
				l.reportWatchProgress(requestedAt)
				l.goroutines.Go(func() { l.watchJobs(ctx, revision) })
			}
		}
		if err == nil {
			err = l.loadRemaining(ctx, &records)
		}
		if err == nil {
			l.deps.Observer.MachineTypesRead(records.types)
			l.mailbox.Send(records)
			return
		}
		l.log.Info("recovery delayed", "error", err)
		l.deps.Random.Pause(ctx, "recovery", scheduler.CycleInterval/5)
	}
}

// loadRemaining reads all records other than the jobs.
func (l *Leader) loadRemaining(ctx context.Context, records *loadedRecords) (err error) {
	if records.pages, _, err = l.deps.Store.List(ctx, storage.PlacementPrefix); err != nil {
		return err
	}
	if records.images, _, err = l.deps.Store.List(ctx, storage.ImageHintPrefix); err != nil {
		return err
	}
	if l.options.ZoneFailover != nil {
		if records.zones, _, err = l.deps.Store.List(ctx, storage.ZoneFailoverPrefix); err != nil {
			return err
		}
	}
	records.types, err = l.deps.Cloud.MachineTypes(ctx, l.deps.Store)
	return err
}

// reportWatchProgress reports that all changes up to the given time have been processed or are queued in the mailbox.
func (l *Leader) reportWatchProgress(at time.Duration) {
	l.mailbox.Send(scheduler.WatchProgress{At: at})
	l.deps.Leadership.JobWatchProgress(at)
}

// watchJobs watches the accepted jobs. Its requests have a short timeout, because only a response proves that there
// were no other changes when the request was sent.
func (l *Leader) watchJobs(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		requestedAt := l.deps.Now()
		response, err := l.deps.Store.Watch(ctx, storage.LiveJobPrefix, revision, l.options.WatchTimeout)
		if errors.Is(err, storage.ErrCompacted) {
			l.deps.Leadership.StepDown(scheduler.StepDown{Reason: "watched job changes have been compacted"})
			return
		}
		if err != nil {
			l.deps.Random.Pause(ctx, "watch jobs", scheduler.CycleInterval/5)
			continue
		}
		revision = max(revision, response.Revision)
		for _, event := range response.Events {
			if event.DeleteKey != "" {
				l.mailbox.Send(scheduler.JobEnded{ID: event.DeleteKey[len(storage.LiveJobPrefix):]})
				continue
			}
			var record storage.LiveJobRecord
			if err := protocol.Decode(event.Value, &record); err != nil {
				l.log.Error("malformed live job record", "key", event.PutKey, "error", err)
				continue
			}
			l.mailbox.Send(scheduler.JobAccepted{Record: record, Revision: event.Revision})
		}
		l.reportWatchProgress(requestedAt)
	}
}

// refreshMachineTypes reads the machine types periodically, because prices change.
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
