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

// errNoQuorum says that a cancellation cannot be confirmed, since too few controllers
// would know of it.
var errNoQuorum = errors.New("no majority holds the intent")

// cancellations exchanges the intents to cancel jobs with the other controllers.
type cancellations struct {
	*environment
	peers *peerTable
	// heartbeatNow has a channel for each peer; a token in it sends the next heartbeat at once.
	heartbeatNow map[string]chan struct{}
}

func newCancellations(env *environment, peers *peerTable, names []string) *cancellations {
	c := &cancellations{environment: env, peers: peers, heartbeatNow: map[string]chan struct{}{}}
	for _, name := range names {
		c.heartbeatNow[name] = make(chan struct{}, 1)
	}
	return c
}

// announce has a majority hold an intent of a job's cancellation, and returns when the intent was made.
func (c *cancellations) announce(ctx context.Context, job string) (time.Time, error) {
	now := c.now()
	if !c.peers.hearsQuorum(now) {
		return time.Time{}, errNoQuorum // the user learns at once when to try again
	}
	own, err := c.intents.Announce(now, api.MaxIntentAge/4, job)
	if err != nil {
		return time.Time{}, err
	}
	if l := c.leading.Load(); l != nil {
		l.AddCancellationIntent(job, now)
	}
	for _, wake := range c.heartbeatNow {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.times.LeaderTimeout/2)
	defer cancel()
	for {
		held, news := c.intents.Holders(own.Sequence)
		if election.IsQuorum(held, len(c.heartbeatNow)) {
			return c.start.Add(own.CreatedAt), nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return time.Time{}, errNoQuorum
		}
	}
}

// merge adds the intents of a peer's message, and passes new ones to the leader of this process.
func (c *cancellations) merge(m *protocol.PeerMessage, reply bool) cancellation.ReceiveResult {
	now := c.now()
	received := c.intents.Receive(now, m, reply)
	if l := c.leading.Load(); l != nil {
		for _, n := range received.NewIntents {
			l.AddCancellationIntent(n.JobID, now)
		}
	}
	return received
}
