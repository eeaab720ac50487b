package daemon

import (
	"context"
	"errors"
	"time"

	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
)

// errNoQuorum is returned when too few controllers hold an intent to guarantee that the cancellation is respected.
var errNoQuorum = errors.New("cancellation intent is not held by a quorum of controllers")

// intentAnnouncer replicates cancellation intents to the other controllers. An intent announces that a user is about to
// be told that a job is cancelled.
type intentAnnouncer struct {
	*environment
	peers *peerTable
	// heartbeatTriggers has a channel with a buffer of 1 for each peer. A value in it makes sendHeartbeats send the
	// next heartbeat to that peer immediately.
	heartbeatTriggers map[string]chan struct{}
}

func newIntentAnnouncer(env *environment, peers *peerTable, names []string) *intentAnnouncer {
	a := &intentAnnouncer{environment: env, peers: peers, heartbeatTriggers: map[string]chan struct{}{}}
	for _, name := range names {
		a.heartbeatTriggers[name] = make(chan struct{}, 1)
	}
	return a
}

// announce creates an intent to cancel a job and waits until a quorum of controllers holds it. It returns the time at
// which the intent was created, or errNoQuorum.
func (a *intentAnnouncer) announce(ctx context.Context, job string) (time.Time, error) {
	now := a.now()
	if !a.peers.inContactWithQuorum(now) {
		return time.Time{}, errNoQuorum // fail fast: the user is told when to retry
	}
	own, err := a.intents.Announce(now, api.MaxIntentAge/4, job)
	if err != nil {
		return time.Time{}, err
	}
	if l := a.localLeader.Load(); l != nil {
		l.AddCancellationIntent(job, now)
	}
	for _, trigger := range a.heartbeatTriggers {
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, a.times.LeaderTimeout/2)
	defer cancel()
	for {
		holders, changed := a.intents.HolderCount(own.Sequence)
		if election.IsQuorum(holders, len(a.heartbeatTriggers)) {
			return a.start.Add(own.CreatedAt), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, errNoQuorum
		}
	}
}

// merge adds the intents of a peer's message to this controller's, and passes new ones to the local leader, if there is
// one. reply is set if the message is a reply to this controller.
func (a *intentAnnouncer) merge(m *protocol.PeerMessage, reply bool) cancellation.ReceiveResult {
	now := a.now()
	received := a.intents.Receive(now, m, reply)
	if l := a.localLeader.Load(); l != nil {
		for _, n := range received.NewIntents {
			l.AddCancellationIntent(n.JobID, now)
		}
	}
	return received
}
