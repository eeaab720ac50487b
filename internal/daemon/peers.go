package daemon

import (
	"context"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
	"pinebay/internal/timing"
)

// heartbeatPhaseDivisor divides the heartbeat interval to get the delay of heartbeats relative to the election's timer.
const heartbeatPhaseDivisor = 16

// followerHeartbeatFactor is the interval of a follower's heartbeats as a multiple of the leader's. Followers can send
// fewer, because they also reply to the leader's heartbeats. Their own heartbeats only maintain the contact between
// followers, which works in both directions, and new intents are sent without waiting for the interval.
const followerHeartbeatFactor = 2

// peerExchange sends heartbeats to the other controllers and answers their messages.
type peerExchange struct {
	*environment
	peers           *peerTable
	election        *electionActor
	fencing         *fencingActor
	levels          *featureLevelActor
	ownership       *ownershipActor       // nil if ownership is disabled
	owner           *machineOwner         // nil if ownership is disabled
	detector        *failureDetectorActor // nil if ownership is disabled
	intentAnnouncer *intentAnnouncer
	workers         *workerHeartbeats
}

// handle returns the reply to a peer's message.
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
		reply.Machines = x.fencing.liveMachines(m.Machines)
	case protocol.PeerUnchangedHeartbeats:
		x.owner.handleDigest(m, reply)
	case protocol.PeerForwardedHeartbeat:
		reply.Body = x.workers.answerForwardedHeartbeat(m)
	}
	return reply
}

// answerHeartbeat processes a peer's heartbeat. The reply contains the same fields as a heartbeat of this controller.
func (x *peerExchange) answerHeartbeat(m, reply *protocol.PeerMessage) {
	v := x.view.Load() // the view before this heartbeat is processed
	x.receive(m)
	x.intentAnnouncer.merge(m, false)
	x.election.mailbox.Send(election.PeerHeartbeat{From: m.From, Term: m.Term, Leader: m.Leader})
	reply.Term, reply.Leader = v.Term, v.Leader
	if m.Leader == m.From && m.Term >= v.Term {
		// The heartbeat is from the leader: reply with the view that the election will have after processing it.
		reply.Term, reply.Leader = m.Term, m.From
	}
	x.fill(reply, m.From, m.Incarnation, x.now())
}

// answerStatusQuery fills the reply with the local leader's statuses of jobs. The reply stays empty if there is no
// local leader.
func (x *peerExchange) answerStatusQuery(m, reply *protocol.PeerMessage) {
	l := x.localLeader.Load()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.times.LeaderTimeout/2)
	defer cancel()
	// A peer of an older version queries a single job.
	if m.JobID != "" {
		m.JobIDs = []string{m.JobID}
	}
	reply.Statuses, _ = l.JobStatuses(ctx, m.JobIDs)
	if m.JobID != "" && len(reply.Statuses) > 0 {
		reply.Status, reply.Statuses = &reply.Statuses[0], nil
	}
}

// receive processes the fields that heartbeats and replies to them have in common, except for intents.
func (x *peerExchange) receive(m *protocol.PeerMessage) {
	x.peers.recordContact(m)
	x.levels.handlePeerHeartbeat(m)
	x.detector.handlePeerHeartbeat(m)
	x.ownership.handlePeerHeartbeat(m)
}

// fill sets the fields that heartbeats and replies to them have in common. incarnation is the peer's incarnation
// according to its message; 0 stands for the incarnation that replied last.
func (x *peerExchange) fill(m *protocol.PeerMessage, peer string, incarnation uint64, now time.Duration) {
	m.StoreReachable = x.storeReachable()
	m.RenewsLeases = x.peers.renewsOnStandby()
	m.FeatureLevel = int(x.features.featureLevel())
	x.intents.FillMessage(now, peer, incarnation, m)
	x.detector.fill(m)
	x.ownership.fill(m)
}

// sendHeartbeats sends heartbeats to one peer until ctx ends.
func (x *peerExchange) sendHeartbeats(ctx context.Context, peer string) {
	// Send heartbeats shortly after the election's timer, so that they carry its latest decision.
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
		case <-x.intentAnnouncer.heartbeatTriggers[peer]:
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and processes the reply.
func (x *peerExchange) sendHeartbeat(ctx context.Context, peer string, v *election.View) {
	sent := x.now()
	m := protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Term: v.Term, Leader: v.Leader}
	x.fill(&m, peer, 0, sent)
	reply, err := x.mesh.Call(ctx, peer, m)
	if err != nil {
		return // the next heartbeat may succeed
	}
	x.features.Timing.Record(timing.PeerHeartbeat, x.now()-sent)
	x.handleHeartbeatReply(reply, sent)
}

// heartbeatInterval returns the time between two heartbeats to a peer. While there is no leader, every controller sends
// heartbeats as often as a leader does, so that a new leader is elected without delay.
func (x *peerExchange) heartbeatInterval(v *election.View) time.Duration {
	if !v.Leading && v.Leader != "" {
		return followerHeartbeatFactor * x.times.HeartbeatInterval
	}
	return x.times.HeartbeatInterval
}

// handleHeartbeatReply processes the reply to a heartbeat that was sent at the given time.
func (x *peerExchange) handleHeartbeatReply(r *protocol.PeerMessage, sent time.Duration) {
	x.receive(r)
	received := x.intentAnnouncer.merge(r, true)
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
