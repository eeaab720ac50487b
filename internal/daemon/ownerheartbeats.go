package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// ownershipView returns what is known of the ownership of a machine. The order of the reads is that of the decision: the
// table and the leader's epoch first, so that what is read of the owner is at least as new.
func (c *Controller) ownershipView(
	known leadershipView,
	l *leader.Leader,
	view *election.View,
	machine string,
) ownershipView {
	if c.ownership == nil || known.renewsOnStandby || known.leaderless() {
		return ownershipView{} // owners answer for a leader
	}
	table := c.effectiveTable(l, view)
	if table == nil {
		return ownershipView{}
	}
	o := ownershipView{epoch: table.Epoch, owner: table.Owner(machine)}
	switch {
	case o.owner == "":
	case o.owner != known.self:
		o.ownerReachable = c.ownerReachable(o.owner, known.leadsHere)
	case !known.leadsHere:
		o.mayAnswer = c.ownerStatus(table, view).MayAnswer()
	}
	return o
}

// effectiveTable returns the owners if the leader goes by them, or nil.
func (c *Controller) effectiveTable(l *leader.Leader, v *election.View) *ownership.Table {
	table := c.ownership.table.Load()
	if table == nil {
		return nil
	}
	if l != nil {
		if !l.Ready() {
			return nil
		}
		return table
	}
	if at := c.ownership.leaderEpoch.Load(); at == nil || at.node != v.Leader || at.epoch != table.Epoch {
		return nil
	}
	return table
}

// ownerStatus is what decides whether this controller may answer workers as an owner.
func (c *Controller) ownerStatus(table *ownership.Table, v *election.View) ownership.OwnerStatus {
	now := c.now()
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	s := ownership.OwnerStatus{
		Table:        table,
		Controller:   c.cfg.Name,
		Process:      c.intents.Incarnation(),
		Leader:       v.Leader,
		DigestAge:    now - time.Duration(c.ownership.digestAcknowledgedAt.Load()),
		MaxDigestAge: c.times.LeaderTimeout,
		KnowsCancellations: election.GroupStatus{
			Now:       now,
			Timing:    c.times,
			Recovered: c.intents.Recovered(now),
			Peers:     c.mesh.Peers(),
			Statuses:  c.peers,
		}.KnowsCancellations(),
	}
	if at := c.ownership.leaderEpoch.Load(); at != nil && at.node == v.Leader {
		s.LeaderEpoch = at.epoch
	}
	return s
}

// ownerReachable says whether an owner is likely to take a worker. The leader knows by its digests, others by its
// answers.
func (c *Controller) ownerReachable(owner string, leads bool) bool {
	now := c.now()
	if leads {
		c.ownership.mu.Lock()
		defer c.ownership.mu.Unlock()
		at, ok := c.ownership.digestReceivedAt[owner]
		return ok && now-at <= c.times.LeaderTimeout/2
	}
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	p, ok := c.peers[owner]
	return ok && now-p.SentAt <= c.times.LeaderTimeout/2
}

// returnedFromOwner says whether a machine was sent to its owner and has come back: it can't reach it, and is served
// here for a while.
func (c *Controller) returnedFromOwner(machine string, epoch uint64) bool {
	return c.ownership.ownerRedirects.ShouldRelay(machine, fmt.Sprint(epoch), false, c.now())
}

// answerAsOwner answers the heartbeat of a machine that this controller owns, or forwards it to the leader if that has
// to know of it.
func (c *Controller) answerAsOwner(leader string, q heartbeatRequest) {
	o := c.ownership
	o.mu.Lock()
	mustForward := o.heartbeats.MustForward(c.now(), q.heartbeat, q.view.Term)
	o.mu.Unlock()
	if !mustForward {
		transport.WriteResponse(q.w, http.StatusOK, ownership.UnchangedReply(q.heartbeat, c.cancellationRequested))
		o.mu.Lock()
		o.heartbeats.AnsweredLocally(q.heartbeat)
		o.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), heartbeatTimeout)
	defer cancel()
	forwarded := c.forwardToLeader(ctx, q.w, leader, protocol.PeerMessage{
		Kind:           protocol.PeerForwardedHeartbeat,
		Body:           q.raw,
		OwnershipEpoch: q.epoch,
	})
	if forwarded {
		o.mu.Lock()
		o.heartbeats.Forwarded(c.now(), q.heartbeat)
		o.mu.Unlock()
	}
}

// sendDigests tells the leader regularly which machines this controller has answered; it ends at once while ownership
// is off.
func (c *Controller) sendDigests(ctx context.Context) {
	if c.ownership == nil {
		return
	}
	for actor.Sleep(ctx, followerHeartbeatFactor*c.times.HeartbeatInterval) == nil {
		v := c.view.Load()
		table := c.ownership.table.Load()
		if table == nil || v.Leader == "" || v.Leader == c.cfg.Name || c.leading.Load() != nil {
			continue
		}
		if _, ok := table.Member(c.cfg.Name); ok {
			c.sendDigest(ctx, v.Leader, table)
		}
	}
}

// sendDigest tells the leader which machines were answered since the last digest, and takes in which of their reports
// it wants.
func (c *Controller) sendDigest(ctx context.Context, leader string, table *ownership.Table) {
	c.ownership.mu.Lock()
	c.ownership.heartbeats.Expire(c.now())
	alive := c.ownership.heartbeats.TakeUnchanged()
	c.ownership.mu.Unlock()
	for {
		part := alive[:min(len(alive), maxDigestMachines)]
		alive = alive[len(part):]
		sent := c.now()
		m := protocol.PeerMessage{
			Kind:           protocol.PeerUnchangedHeartbeats,
			OwnershipEpoch: table.Epoch,
			Incarnation:    c.intents.Incarnation(),
		}
		for _, a := range part {
			m.Machines = append(m.Machines, a.Machine)
			m.MachineIncarnations, m.HeartbeatSequences = append(
				m.MachineIncarnations,
				a.Incarnation,
			), append(
				m.HeartbeatSequences,
				a.Sequence,
			)
		}
		r, err := c.mesh.Call(ctx, leader, m)
		if err != nil || r.OwnershipEpoch != table.Epoch {
			c.log.Debug("digest not acknowledged", "leader", leader, "epoch", table.Epoch, "err", err)
			return
		}
		c.ownership.digestAcknowledgedAt.Store(int64(sent))
		c.ownership.mu.Lock()
		c.ownership.heartbeats.ForwardNext(r.Machines)
		c.ownership.mu.Unlock()
		if len(alive) == 0 {
			return
		}
	}
}

// maxDigestMachines is how many machines one message tells of, so that it fits a frame.
const maxDigestMachines = protocol.MaxMachinesPerMessage

// handleDigest takes in which machines an owner has answered. A digest of another epoch, or of a controller that owns
// nothing in this one, is not acknowledged: whoever sent it stops answering as an owner.
func (c *Controller) handleDigest(m, reply *protocol.PeerMessage) {
	l := c.leading.Load()
	if c.ownership == nil || l == nil || !l.Ready() {
		return
	}
	table := c.ownership.table.Load()
	if table == nil || m.OwnershipEpoch != table.Epoch {
		return
	}
	if owner, ok := table.Member(m.From); !ok || owner.Incarnation.Process != m.Incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.times.LeaderTimeout/2)
	defer cancel()
	machines := make([]scheduler.UnchangedHeartbeat, len(m.MachineIncarnations))
	for i := range machines {
		machines[i] = scheduler.UnchangedHeartbeat{
			Machine:     m.Machines[i],
			Incarnation: m.MachineIncarnations[i],
			Seq:         m.HeartbeatSequences[i],
		}
	}
	passOn, ok := l.UnchangedHeartbeats(ctx, machines)
	if !ok || c.leading.Load() != l {
		return
	}
	reply.OwnershipEpoch, reply.Machines = table.Epoch, passOn
	c.ownership.mu.Lock()
	defer c.ownership.mu.Unlock()
	c.ownership.digestReceivedAt[m.From] = c.now()
}
