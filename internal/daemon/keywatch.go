package daemon

import (
	"context"
	"errors"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// keyWatch follows one key of the key-value store.
type keyWatch struct {
	*environment
	key string
	// name is for what the pauses between failed requests are drawn.
	name string
	// read passes on the current value. It gets the revision up to which changes are known, and returns the one
	// after which to watch.
	read func(ctx context.Context, known uint64) (uint64, error)
	// changed passes on a change.
	changed func(protocol.WatchEvent)
}

// run reads the key and then waits for its changes, until the context ends. It reads the key again when changes were
// missed.
func (k *keyWatch) run(ctx context.Context) {
	var revision uint64
	watching := false
	wait := config.Seconds(k.cfg.Deployment.Workers.LeaseSeconds)
	for ctx.Err() == nil {
		if !watching {
			read, err := k.read(ctx, revision)
			if err != nil {
				k.random.Pause(ctx, k.name, k.times.HeartbeatInterval)
				continue
			}
			revision, watching = read, true
		}
		changes, err := k.store.Watch(ctx, k.key, revision, wait)
		if err != nil {
			watching = !errors.Is(err, storage.ErrCompacted)
			k.random.Pause(ctx, k.name, k.times.HeartbeatInterval)
			continue
		}
		revision = max(revision, changes.Revision)
		for _, e := range changes.Events {
			k.changed(e)
		}
	}
}
