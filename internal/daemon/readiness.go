package daemon

import (
	"context"
	"net/http"

	"pinebay/internal/coordination/api"
	"pinebay/internal/storage"
)

// readiness tells the load balancer whether this controller should receive users' requests.
type readiness struct {
	*environment
	api   *api.Server
	peers *peerTable
}

// serve answers readiness checks. During a store outage that affects all controllers, this controller stays ready, as
// moving its users elsewhere would only add load. It is not ready if it alone cannot reach the store.
func (r *readiness) serve(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !r.api.Ready() || r.peers.isolatedFromStore() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// probeStore reads a small value from the key-value store when the store has not answered any other request for a
// while, so that a long time without an answer means that the store is not reachable.
func (r *readiness) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		if r.store.SinceLastResponse() > r.times.LeaderTimeout/4 {
			if _, err := r.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey); err != nil {
				r.log.Debug("failed to probe key-value store", "error", err)
			}
		}
		r.random.Pause(ctx, "probe", r.times.LeaderTimeout/8)
	}
}

// loadMachineTypes reads the machine types once. The API is not ready without them. Later price changes are followed by
// the leader.
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
