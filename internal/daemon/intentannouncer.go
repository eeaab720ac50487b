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
	c := &intentAnnouncer{environment: env, peers: peers, heartbeatTriggers: map[string]chan struct{}{}}
	for _, name := range names {
		c.heartbeatTriggers[name] = make(chan struct{}, 1)
	}
	return c
}

// announce creates an intent to cancel a job and waits until a quorum of controllers holds it. It returns the time at
// which the intent was created, or errNoQuorum.
func (c *intentAnnouncer) announce(ctx context.Context, job string) (time.Time, error) {
	now := c.now()
	if !c.peers.inContactWithQuorum(now) {
		return time.Time{}, errNoQuorum // fail fast: the user is told when to retry
	}
	own, err := c.intents.Announce(now, api.MaxIntentAge/4, job)
	if err != nil {
		return time.Time{}, err
	}
	if l := c.localLeader.Load(); l != nil {
		l.AddCancellationIntent(job, now)
	}
	for _, trigger := range c.heartbeatTriggers {
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.times.LeaderTimeout/2)
	defer cancel()
	for {
		holders, changed := c.intents.Holders(own.Sequence)
		if election.IsQuorum(holders, len(c.heartbeatTriggers)) {
			return c.start.Add(own.CreatedAt), nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, errNoQuorum
		}
	}
}

// merge adds the intents of a peer's message to this controller's, and passes new ones to the local leader, if any.
func (c *intentAnnouncer) merge(m *protocol.PeerMessage, reply bool) cancellation.ReceiveResult {
	now := c.now()
	received := c.intents.Receive(now, m, reply)
	if l := c.localLeader.Load(); l != nil {
		for _, n := range received.NewIntents {
			l.AddCancellationIntent(n.JobID, now)
		}
	}
	return received
}
