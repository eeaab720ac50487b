package daemon

import (
	"context"
	"net/http"

	"pinebay/internal/coordination/api"
	"pinebay/internal/storage"
)

// readiness finds out whether users should come to this controller.
type readiness struct {
	*environment
	api   *api.Server
	peers *peerTable
}

// serve answers whether users should come here. During an outage that all
// controllers share, going away would only add to the trouble; a controller
// that alone cannot reach the key-value store should not be asked.
func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !r.api.Ready() || r.peers.isolatedFromStore() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// probeStore asks the key-value store for something small when nothing else has for a
// while, so that silence means that it does not answer.
func (r *readiness) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		if r.store.SinceLastAnswer() > r.times.LeaderTimeout/4 {
			if _, err := r.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey); err != nil {
				r.log.Debug("failed to probe key-value store", "error", err)
			}
		}
		r.random.Pause(ctx, "probe", r.times.LeaderTimeout/8)
	}
}

// loadMachineTypes reads the machine types once, without which nobody can be
// answered; the leader follows the prices.
func (r *readiness) loadMachineTypes(ctx context.Context) {
	for ctx.Err() == nil && !r.api.Ready() {
		types, err := r.cloud.MachineTypes(ctx, r.store)
		if err == nil {
			r.api.SetMachineTypes(types)
			return
		}
		r.log.Info("failed to read machine types", "error", err)
		r.random.Pause(ctx, "machine types", r.times.HeartbeatInterval*2)
	}
}
