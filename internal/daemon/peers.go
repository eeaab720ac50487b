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

// keepIntents is how long intents are kept: until their tasks must be gone, and
// for longer than a controller may have forgotten some.
func keepIntents(d *config.Deployment, t election.Timing) time.Duration {
	return config.Seconds(d.Workers.CancelS) + t.RecoveryPeriod
}

func (c *Controller) mayRenewOnStandby() bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	now := c.now()
	return election.MayRenewWithoutLeader(now, c.times, *c.view.Load(), c.stateOK(), c.intents.Recovered(now), c.mesh.Peers(), c.peers)
}

// withdrawn says whether a user may have been told that the job is cancelled.
func (c *Controller) withdrawn(job string) bool { return c.intents.HasIntent(c.now(), job) }

// errUnsafe says that a cancellation cannot be confirmed, since too few controllers
// would know of it.
var errUnsafe = errors.New("no majority holds the intent")

// announce has a majority hold an intent of a job's cancellation, and returns when
// the intent was made.
func (c *Controller) announce(ctx context.Context, job string) (time.Time, error) {
	now := c.now()
	if !c.hearsMajority(now) {
		return time.Time{}, errUnsafe // the user is told at once when to come back
	}
	own, err := c.intents.Announce(now, api.MaxIntentAge/4, job)
	if err != nil {
		return time.Time{}, err
	}
	if l := c.leading.Load(); l != nil {
		l.Withdrawn(job, now)
	}
	for _, wake := range c.wakes {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.times.LeaderTimeout/2)
	defer cancel()
	for {
		held, news := c.intents.Holders(own.Sequence)
		if election.IsQuorum(held, len(c.wakes)) {
			return c.start.Add(own.CreatedAt), nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return time.Time{}, errUnsafe
		}
	}
}

// hearsMajority says whether a majority of the controllers, with this one, has answered
// lately.
func (c *Controller) hearsMajority(now time.Duration) bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	n := 1
	for _, p := range c.peers {
		if now-p.SentAt <= c.times.LeaderTimeout {
			n++
		}
	}
	return election.IsQuorum(n, len(c.wakes))
}

// takeIntents takes in the intents that a peer's message brings.
func (c *Controller) takeIntents(m *protocol.PeerMessage, reply bool) cancellation.ReceiveResult {
	now := c.now()
	t := c.intents.Receive(now, m, reply)
	if l := c.leading.Load(); l != nil {
		for _, n := range t.NewIntents {
			l.Withdrawn(n.JobID, now)
		}
	}
	return t
}

// statuses asks the leader about jobs, over the mesh if it is not here.
func (c *Controller) statuses(ctx context.Context, ids []string) (map[string]protocol.JobStatus, bool) {
	var list []protocol.JobStatus
	ok := false
	v := c.view.Load()
	if l := c.leading.Load(); l != nil {
		ctx, cancel := context.WithTimeout(ctx, c.times.LeaderTimeout/2)
		defer cancel()
		list, ok = l.Statuses(ctx, ids)
	} else if v.Leader != "" && v.Leader != c.cfg.Node {
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

// answerPeer answers a peer's message.
func (c *Controller) answerPeer(m *protocol.PeerMessage) *protocol.PeerMessage {
	v := c.view.Load()
	reply := &protocol.PeerMessage{Kind: protocol.PeerReply}
	switch m.Kind {
	case protocol.PeerHeartbeat:
		c.heardPeer(m)
		c.hearSuspicions(m)
		c.hearOwnership(m)
		c.takeIntents(m, false)
		c.box.Send(election.PeerHeartbeat{From: m.From, Term: m.Term, Leader: m.Leader})
		reply.Term, reply.Leader = v.Term, v.Leader
		if m.Leader == m.From && m.Term >= v.Term {
			reply.Term, reply.Leader = m.Term, m.From // what we shall have taken in
		}
		reply.StoreReachable, reply.RenewsLeases = c.stateOK(), c.renews()
		reply.FeatureLevel = int(c.features.level())
		c.intents.FillMessage(c.now(), m.From, m.Incarnation, reply)
		c.addSuspicions(reply)
		c.addOwnership(reply)
	case protocol.PeerStatusQuery:
		if m.ProbeTarget != "" {
			c.answerProbe(m, reply)
		} else if l := c.leading.Load(); l != nil {
			ctx, cancel := context.WithTimeout(context.Background(), c.times.LeaderTimeout/2)
			defer cancel()
			// A peer of an older version asks about one.
			if m.JobID != "" {
				m.JobIDs = []string{m.JobID}
			}
			reply.Statuses, _ = l.Statuses(ctx, m.JobIDs)
			if m.JobID != "" && len(reply.Statuses) > 0 {
				reply.Status, reply.Statuses = &reply.Statuses[0], nil
			}
		}
	case protocol.PeerLiveMachinesQuery:
		reply.Machines = c.machinesHeard(m.Machines)
	case protocol.PeerUnchangedHeartbeats:
		c.takeDigest(m, reply)
	case protocol.PeerForwardedHeartbeat:
		reply.Body = c.answerReport(m)
	}
	return reply
}

// stateOK says whether the state service has answered just now. A process that has begun
// in an outage must not claim that: its peers would stop renewing leases for it.
func (c *Controller) stateOK() bool {
	return c.store.Answered() && c.store.SinceLastAnswer() < c.times.LeaderTimeout/2
}

func (c *Controller) heardPeer(m *protocol.PeerMessage) {
	c.peerHeard.Store(int64(c.now()))
	c.levelBox.Send(featurelevel.PeerHeartbeat{Controller: m.From, Level: featurelevel.Level(m.FeatureLevel)})
	if m.StoreReachable {
		c.peersOK.Store(int64(c.now()))
	}
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	if m.RenewsLeases {
		c.renewers[m.From] = c.now()
	} else {
		delete(c.renewers, m.From)
	}
}

// renews says whether this controller renews leases although nobody leads.
func (c *Controller) renews() bool { return c.leading.Load() == nil && c.mayRenewOnStandby() }

// renewer returns a peer that renews leases although nobody leads, or "".
func (c *Controller) renewer() string {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	best, latest := "", c.now()-c.times.LeaderTimeout/2
	for _, node := range slices.Sorted(maps.Keys(c.renewers)) {
		if at := c.renewers[node]; at > latest {
			best, latest = node, at
		}
	}
	return best
}

// beat tells one peer regularly who leads, and hears what it knows.
func (c *Controller) beat(ctx context.Context, peer string) {
	// The election's own timer has had its turn when this one is due: what a heartbeat says is what
	// that has just decided.
	if actor.Sleep(ctx, c.times.HeartbeatInterval/heartbeatPhase) != nil {
		return
	}
	interval := c.times.HeartbeatInterval
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		v := c.view.Load()
		if pace := c.beatInterval(v); pace != interval {
			interval = pace
			t.Reset(interval)
		}
		sent := c.now()
		m := protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Term: v.Term, Leader: v.Leader, StoreReachable: c.stateOK(), RenewsLeases: c.renews(), FeatureLevel: int(c.features.level())}
		c.intents.FillMessage(sent, peer, 0, &m)
		c.addSuspicions(&m)
		c.addOwnership(&m)
		r, err := c.mesh.Call(ctx, peer, m)
		if err == nil {
			c.features.Timing.Record(timing.Heartbeat, c.now()-sent)
			c.answeredBeat(r, sent)
		}
		select {
		case <-ctx.Done():
		case <-c.wakes[peer]:
		case <-t.C:
		}
	}
}

// heartbeatPhase is the part of the interval, as its inverse, by which heartbeats are set off from the
// election's timer.
const heartbeatPhase = 16

// followerPace is how many times as seldom a follower sends heartbeats as the leader. It
// hears the leader's and answers those; its own only keep followers in contact, which
// hear each other in both directions, and new intents don't wait for them.
const followerPace = 2

// beatInterval is the time between two heartbeats to a peer. Without a leader all send
// them as often as a leader, so that the next one is found as soon.
func (c *Controller) beatInterval(v *election.View) time.Duration {
	if !v.Leading && v.Leader != "" {
		return followerPace * c.times.HeartbeatInterval
	}
	return c.times.HeartbeatInterval
}

// answeredBeat takes in a peer's answer to a beat that was sent at the given time.
func (c *Controller) answeredBeat(r *protocol.PeerMessage, sent time.Duration) {
	c.heardPeer(r)
	c.hearSuspicions(r)
	c.hearOwnership(r)
	t := c.takeIntents(r, true)
	c.peersMu.Lock()
	p := election.PeerStatus{SentAt: sent, StoreReachable: r.StoreReachable, Leader: r.Leader, IntentsReceivedAt: c.peers[r.From].IntentsReceivedAt}
	if t.Complete && t.Recovered {
		p.IntentsReceivedAt = sent
	}
	c.peers[r.From] = p
	c.peersMu.Unlock()
	c.box.Send(election.PeerHeartbeat{From: r.From, Term: r.Term, Leader: r.Leader, Reply: true, SentAt: sent,
		IntentsComplete: t.Complete, Recovered: t.Recovered, IncarnationSince: t.IncarnationSince})
}
