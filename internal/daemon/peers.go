package daemon

import (
	"context"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
	"pinebay/internal/timing"
)

// heartbeatPhaseDivisor is the part of the interval, as its inverse, by which heartbeats are set off from the
// election's timer.
const heartbeatPhaseDivisor = 16

// followerHeartbeatFactor is the interval of a follower's heartbeats as a multiple of the leader's. A follower receives
// the leader's heartbeats and answers those; its own only keep followers in contact, which
// hear each other in both directions, and new intents don't wait for them.
const followerHeartbeatFactor = 2

// peerExchange sends heartbeats to the other controllers, and answers their messages.
type peerExchange struct {
	*environment
	peers         *peerTable
	election      *electionActor
	fencing       *fencingActor
	levels        *featureLevelActor
	ownership     *ownershipActor // nil: off
	owner         *machineOwner   // nil: off
	detector      *failureDetectorActor
	cancellations *cancellations
	workers       *workerHeartbeats
}

// handle answers a peer's message.
func (x *peerExchange) handle(m *protocol.PeerMessage) *protocol.PeerMessage {
	reply := &protocol.PeerMessage{Kind: protocol.PeerReply}
	switch m.Kind {
	case protocol.PeerHeartbeat:
		x.answerHeartbeat(m, reply)
	case protocol.PeerStatusQuery:
		if m.ProbeTarget != "" {
			x.detector.handleProbe(m, reply)
		} else {
			x.answerStatusQuery(m, reply)
		}
	case protocol.PeerLiveMachinesQuery:
		reply.Machines = x.fencing.heardMachines(m.Machines)
	case protocol.PeerUnchangedHeartbeats:
		x.owner.handleDigest(m, reply)
	case protocol.PeerForwardedHeartbeat:
		reply.Body = x.workers.answerRelayedHeartbeat(m)
	}
	return reply
}

// answerHeartbeat processes a peer's heartbeat and answers it with what this controller would say in its own.
func (x *peerExchange) answerHeartbeat(m, reply *protocol.PeerMessage) {
	v := x.view.Load() // before this heartbeat
	x.receive(m)
	x.cancellations.merge(m, false)
	x.election.mailbox.Send(election.PeerHeartbeat{From: m.From, Term: m.Term, Leader: m.Leader})
	reply.Term, reply.Leader = v.Term, v.Leader
	if m.Leader == m.From && m.Term >= v.Term {
		reply.Term, reply.Leader = m.Term, m.From // as the election will know when it has processed the heartbeat
	}
	x.fill(reply, m.From, m.Incarnation, x.now())
}

// answerStatusQuery has the leader of this process, if there is one, answer what it knows of jobs.
func (x *peerExchange) answerStatusQuery(m, reply *protocol.PeerMessage) {
	l := x.leading.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.times.LeaderTimeout/2)
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

// receive processes what a heartbeat and its answer have in common, but for intents.
func (x *peerExchange) receive(m *protocol.PeerMessage) {
	x.peers.recordContact(m)
	x.levels.peerHeard(m)
	x.detector.peerHeard(m)
	x.ownership.peerHeard(m)
}

// fill sets what a heartbeat and its answer have in common. incarnation is the peer's by its message; 0: the one that
// last answered.
func (x *peerExchange) fill(m *protocol.PeerMessage, peer string, incarnation uint64, now time.Duration) {
	m.StoreReachable = x.storeReachable()
	m.RenewsLeases = x.peers.renewsOnStandby()
	m.FeatureLevel = int(x.features.featureLevel())
	x.intents.FillMessage(now, peer, incarnation, m)
	x.detector.fill(m)
	x.ownership.fill(m)
}

// sendHeartbeats sends heartbeats to one peer until the context ends.
func (x *peerExchange) sendHeartbeats(ctx context.Context, peer string) {
	// The election's timer fires before this one, so that a heartbeat carries what
	// the election has just decided.
	if actor.Sleep(ctx, x.times.HeartbeatInterval/heartbeatPhaseDivisor) != nil {
		return
	}
	interval := x.times.HeartbeatInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		v := x.view.Load()
		if next := x.heartbeatInterval(v); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		x.sendHeartbeat(ctx, peer, v)
		select {
		case <-ctx.Done():
		case <-x.cancellations.heartbeatNow[peer]:
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and processes its answer.
func (x *peerExchange) sendHeartbeat(ctx context.Context, peer string, v *election.View) {
	sent := x.now()
	m := protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Term: v.Term, Leader: v.Leader}
	x.fill(&m, peer, 0, sent)
	reply, err := x.mesh.Call(ctx, peer, m)
	if err != nil {
		return // the next one may get through
	}
	x.features.Timing.Record(timing.PeerHeartbeat, x.now()-sent)
	x.handleHeartbeatReply(reply, sent)
}

// heartbeatInterval returns the time between two heartbeats to a peer. Without a leader all send
// them as often as a leader, so that the next one is found as soon.
func (x *peerExchange) heartbeatInterval(v *election.View) time.Duration {
	if !v.Leading && v.Leader != "" {
		return followerHeartbeatFactor * x.times.HeartbeatInterval
	}
	return x.times.HeartbeatInterval
}

// handleHeartbeatReply processes a peer's answer to a heartbeat that was sent at the given time.
func (x *peerExchange) handleHeartbeatReply(r *protocol.PeerMessage, sent time.Duration) {
	x.receive(r)
	received := x.cancellations.merge(r, true)
	x.peers.recordReply(r, sent, received)
	x.election.mailbox.Send(election.PeerHeartbeat{
		From:             r.From,
		Term:             r.Term,
		Leader:           r.Leader,
		Reply:            true,
		SentAt:           sent,
		IntentsComplete:  received.Complete,
		Recovered:        received.Recovered,
		IncarnationSince: received.IncarnationSince,
	})
}
