package daemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// environment is what all parts of a controller share. Its fields don't change once the controller is created.
type environment struct {
	*leaderState
	cfg      *config.Settings
	features Features
	times    election.Timing
	start    time.Time
	log      *slog.Logger
	random   *random.Source
	store    *storage.Client
	cloud    *leader.CloudClient
	mesh     *transport.Mesh
	intents  *cancellation.IntentLog
}

// leaderState is what the election actor publishes. It publishes a view before it starts or stops a leader.
type leaderState struct {
	view    atomic.Pointer[election.View]
	leading atomic.Pointer[leader.Leader] // the leader of this process; nil: none
}

// now returns the time since the controller was created.
func (e *environment) now() time.Duration { return time.Since(e.start) }

// storeReachable returns whether the key-value store has answered just now. A process that has started in an outage
// must not claim that: its peers would stop renewing leases for it.
func (e *environment) storeReachable() bool {
	return e.store.Answered() && e.store.SinceLastAnswer() < e.times.LeaderTimeout/2
}

// cancellationRequested returns whether a user may have been told that the job is cancelled.
func (e *environment) cancellationRequested(job string) bool {
	return e.intents.HasIntent(e.now(), job)
}

// knowsCancellations returns whether this controller leads and may renew leases: it knows of every cancellation that
// users may have been told of.
func (e *environment) knowsCancellations() bool {
	v := e.view.Load()
	return v.Leading && e.now() < v.MayRenewUntil
}

// jobStatuses asks the leader about jobs, over the mesh if it is not here. It returns false if there was no answer.
func (e *environment) jobStatuses(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool) {
	var list []protocol.JobStatus
	ok := false
	v := e.view.Load()
	if l := e.leading.Load(); l != nil {
		ctx, cancel := context.WithTimeout(ctx, e.times.LeaderTimeout/2)
		defer cancel()
		list, ok = l.JobStatuses(ctx, ids)
	} else if v.Leader != "" && v.Leader != e.cfg.Name {
		r, err := e.mesh.Call(ctx, v.Leader, protocol.PeerMessage{Kind: protocol.PeerStatusQuery, JobIDs: ids})
		if ok = err == nil; ok {
			list = r.Statuses
		}
	}
	known := make(map[string]protocol.JobStatus, len(list))
	for _, s := range list {
		known[s.ID] = s
	}
	return known, ok
}
