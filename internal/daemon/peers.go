package daemon

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/timing"
)

// intentRetention is how long intents are kept: until their tasks must be gone, and
// for longer than a controller may have forgotten some.
func intentRetention(d *config.Deployment, t election.Timing) time.Duration {
	return config.Seconds(d.Workers.CancelSeconds) + t.RecoveryPeriod
}

func (c *Controller) mayRenewOnStandby() bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	now := c.now()
	return election.GroupStatus{
		Now:            now,
		Timing:         c.times,
		View:           *c.view.Load(),
		StoreReachable: c.storeReachable(),
		Recovered:      c.intents.Recovered(now),
		Peers:          c.mesh.Peers(),
		Statuses:       c.peers,
	}.MayRenewLeases()
}

// cancellationRequested says whether a user may have been told that the job is cancelled.
func (c *Controller) cancellationRequested(job string) bool { return c.intents.HasIntent(c.now(), job) }

// errNoQuorum says that a cancellation cannot be confirmed, since too few controllers
// would know of it.
var errNoQuorum = errors.New("no majority holds the intent")

// announceCancellation has a majority hold an intent of a job's cancellation, and returns when
// the intent was made.
func (c *Controller) announceCancellation(ctx context.Context, job string) (time.Time, error) {
	now := c.now()
	if !c.hearsQuorum(now) {
		return time.Time{}, errNoQuorum // the user is told at once when to come back
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

// hearsQuorum says whether a majority of the controllers, with this one, has answered
// lately.
func (c *Controller) hearsQuorum(now time.Duration) bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	n := 1
	for _, p := range c.peers {
		if now-p.SentAt <= c.times.LeaderTimeout {
			n++
		}
	}
	return election.IsQuorum(n, len(c.heartbeatNow))
}

// mergeIntents takes in the intents that a peer's message brings.
func (c *Controller) mergeIntents(m *protocol.PeerMessage, reply bool) cancellation.ReceiveResult {
	now := c.now()
	t := c.intents.Receive(now, m, reply)
	if l := c.leading.Load(); l != nil {
		for _, n := range t.NewIntents {
			l.AddCancellationIntent(n.JobID, now)
		}
	}
	return t
}

// jobStatuses asks the leader about jobs, over the mesh if it is not here.
func (c *Controller) jobStatuses(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool) {
	var list []protocol.JobStatus
	ok := false
	v := c.view.Load()
	if l := c.leading.Load(); l != nil {
		ctx, cancel := context.WithTimeout(ctx, c.times.LeaderTimeout/2)
		defer cancel()
		list, ok = l.JobStatuses(ctx, ids)
	} else if v.Leader != "" && v.Leader != c.cfg.Name {
		r, err := c.mesh.Call(ctx, v.Leader, protocol.PeerMessage{Kind: protocol.PeerStatusQuery, JobIDs: ids})
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

// handlePeerMessage answers a peer's message.
func (c *Controller) handlePeerMessage(m *protocol.PeerMessage) *protocol.PeerMessage {
	v := c.view.Load()
	reply := &protocol.PeerMessage{Kind: protocol.PeerReply}
	switch m.Kind {
	case protocol.PeerHeartbeat:
		c.recordPeerContact(m)
		c.handleOpinions(m)
		c.handleOwnershipStatus(m)
		c.mergeIntents(m, false)
		c.electionMailbox.Send(election.PeerHeartbeat{From: m.From, Term: m.Term, Leader: m.Leader})
		reply.Term, reply.Leader = v.Term, v.Leader
		if m.Leader == m.From && m.Term >= v.Term {
			reply.Term, reply.Leader = m.Term, m.From // what we shall have taken in
		}
		reply.StoreReachable, reply.RenewsLeases = c.storeReachable(), c.renewsOnStandby()
		reply.FeatureLevel = int(c.features.featureLevel())
		c.intents.FillMessage(c.now(), m.From, m.Incarnation, reply)
		c.addOpinions(reply)
		c.addOwnership(reply)
	case protocol.PeerStatusQuery:
		if m.ProbeTarget != "" {
			c.handleProbe(m, reply)
		} else if l := c.leading.Load(); l != nil {
			ctx, cancel := context.WithTimeout(context.Background(), c.times.LeaderTimeout/2)
			defer cancel()
			// A peer of an older version asks about one.
			if m.JobID != "" {
				m.JobIDs = []string{m.JobID}
			}
			reply.Statuses, _ = l.JobStatuses(ctx, m.JobIDs)
			if m.JobID != "" && len(reply.Statuses) > 0 {
				reply.Status, reply.Statuses = &reply.Statuses[0], nil
			}
		}
	case protocol.PeerLiveMachinesQuery:
		reply.Machines = c.heardMachines(m.Machines)
	case protocol.PeerUnchangedHeartbeats:
		c.handleDigest(m, reply)
	case protocol.PeerForwardedHeartbeat:
		reply.Body = c.answerRelayedHeartbeat(m)
	}
	return reply
}

// storeReachable says whether the state service has answered just now. A process that has begun
// in an outage must not claim that: its peers would stop renewing leases for it.
func (c *Controller) storeReachable() bool {
	return c.store.Answered() && c.store.SinceLastAnswer() < c.times.LeaderTimeout/2
}

func (c *Controller) recordPeerContact(m *protocol.PeerMessage) {
	c.peerHeardAt.Store(int64(c.now()))
	c.levelMailbox.Send(featurelevel.PeerHeartbeat{Controller: m.From, Level: featurelevel.Level(m.FeatureLevel)})
	if m.StoreReachable {
		c.peerReachedStoreAt.Store(int64(c.now()))
	}
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	if m.RenewsLeases {
		c.standbyRenewers[m.From] = c.now()
	} else {
		delete(c.standbyRenewers, m.From)
	}
}

// renewsOnStandby says whether this controller renews leases although nobody leads.
func (c *Controller) renewsOnStandby() bool { return c.leading.Load() == nil && c.mayRenewOnStandby() }

// standbyRenewer returns a peer that renews leases although nobody leads, or "".
func (c *Controller) standbyRenewer() string {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	best, latest := "", c.now()-c.times.LeaderTimeout/2
	for _, node := range slices.Sorted(maps.Keys(c.standbyRenewers)) {
		if at := c.standbyRenewers[node]; at > latest {
			best, latest = node, at
		}
	}
	return best
}

// sendHeartbeats tells one peer regularly who leads, and hears what it knows.
func (c *Controller) sendHeartbeats(ctx context.Context, peer string) {
	// The election's own timer has had its turn when this one is due: what a heartbeat says is what
	// that has just decided.
	if actor.Sleep(ctx, c.times.HeartbeatInterval/heartbeatPhaseDivisor) != nil {
		return
	}
	interval := c.times.HeartbeatInterval
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		v := c.view.Load()
		if pace := c.heartbeatInterval(v); pace != interval {
			interval = pace
			t.Reset(interval)
		}
		sent := c.now()
		m := protocol.PeerMessage{
			Kind:           protocol.PeerHeartbeat,
			Term:           v.Term,
			Leader:         v.Leader,
			StoreReachable: c.storeReachable(),
			RenewsLeases:   c.renewsOnStandby(),
			FeatureLevel:   int(c.features.featureLevel()),
		}
		c.intents.FillMessage(sent, peer, 0, &m)
		c.addOpinions(&m)
		c.addOwnership(&m)
		r, err := c.mesh.Call(ctx, peer, m)
		if err == nil {
			c.features.Timing.Record(timing.PeerHeartbeat, c.now()-sent)
			c.handleHeartbeatReply(r, sent)
		}
		select {
		case <-ctx.Done():
		case <-c.heartbeatNow[peer]:
		case <-t.C:
		}
	}
}

// heartbeatPhaseDivisor is the part of the interval, as its inverse, by which heartbeats are set off from the
// election's timer.
const heartbeatPhaseDivisor = 16

// followerHeartbeatFactor is how many times as seldom a follower sends heartbeats as the leader. It
// hears the leader's and answers those; its own only keep followers in contact, which
// hear each other in both directions, and new intents don't wait for them.
const followerHeartbeatFactor = 2

// heartbeatInterval is the time between two heartbeats to a peer. Without a leader all send
// them as often as a leader, so that the next one is found as soon.
func (c *Controller) heartbeatInterval(v *election.View) time.Duration {
	if !v.Leading && v.Leader != "" {
		return followerHeartbeatFactor * c.times.HeartbeatInterval
	}
	return c.times.HeartbeatInterval
}

// handleHeartbeatReply takes in a peer's answer to a beat that was sent at the given time.
func (c *Controller) handleHeartbeatReply(r *protocol.PeerMessage, sent time.Duration) {
	c.recordPeerContact(r)
	c.handleOpinions(r)
	c.handleOwnershipStatus(r)
	t := c.mergeIntents(r, true)
	c.peersMu.Lock()
	p := election.PeerStatus{
		SentAt:            sent,
		StoreReachable:    r.StoreReachable,
		Leader:            r.Leader,
		IntentsReceivedAt: c.peers[r.From].IntentsReceivedAt,
	}
	if t.Complete && t.Recovered {
		p.IntentsReceivedAt = sent
	}
	c.peers[r.From] = p
	c.peersMu.Unlock()
	c.electionMailbox.Send(election.PeerHeartbeat{
		From: r.From, Term: r.Term, Leader: r.Leader, Reply: true, SentAt: sent,
		IntentsComplete: t.Complete, Recovered: t.Recovered, IncarnationSince: t.IncarnationSince,
	})
}
