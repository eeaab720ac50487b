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

// environment holds what all parts of a controller share. Its fields are not changed after the controller has been
// created.
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

// leaderState holds what the election actor publishes. The actor publishes a new view before it starts or stops a
// leader.
type leaderState struct {
	view        atomic.Pointer[election.View]
	localLeader atomic.Pointer[leader.Leader] // the leader that runs in this process; nil if there is none
}

// now returns the time since the controller was created, which is the clock of all its parts.
func (e *environment) now() time.Duration { return time.Since(e.start) }

// storeReachable reports whether the key-value store has answered recently. It is false until the first answer: if a
// process that started during an outage claimed to reach the store, its peers would stop renewing leases on standby.
func (e *environment) storeReachable() bool {
	return e.store.HasResponded() && e.store.SinceLastResponse() < e.times.LeaderTimeout/2
}

// cancellationRequested reports whether a user may have been told that the job is cancelled.
func (e *environment) cancellationRequested(job string) bool {
	return e.intents.HasIntent(e.now(), job)
}

// startForbidden reports whether no task of the job may be started, because a user may have been told that the job is
// cancelled. If no cancellation is confirmed while an intent is valid, the scheduler starts the job again after that.
func (e *environment) startForbidden(job string) bool {
	return e.intents.HasIntentSince(e.now()-e.times.CancellationTimeout, job)
}

// mayRenewAsLeader reports whether this controller leads and may renew leases. A leader may renew leases only while it
// knows of every cancellation that a user may have been told of.
func (e *environment) mayRenewAsLeader() bool {
	v := e.view.Load()
	return v.Leading && e.now() < v.MayRenewUntil
}

// jobStatuses returns the leader's statuses of jobs, by job id. It asks over the mesh if the leader runs on another
// controller. The result is false if the leader did not answer.
func (e *environment) jobStatuses(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool) {
	var list []protocol.JobStatus
	ok := false
	v := e.view.Load()
	if l := e.localLeader.Load(); l != nil {
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
