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

// ownerReport takes a report by who owns its machine, and says whether it has answered it: the owner answers what
// tells nothing new and passes the rest on to the leader, others send the worker to its owner. What is not answered
// here goes as without owners.
func (c *Controller) ownerReport(w http.ResponseWriter, r *http.Request, l *leader.Leader, v *election.View, rep *protocol.WorkerHeartbeat, raw []byte) bool {
	if c.owners == nil {
		return false
	}
	table := c.tableInForce(l, v)
	if table == nil {
		return false
	}
	owner := table.Owner(rep.Machine)
	switch {
	case owner == c.cfg.Node && l == nil && c.standing(table, v).MayAnswer():
		c.answerAsOwner(w, r, table, v, rep, raw)
		return true
	case owner == c.cfg.Node || owner == "" || !c.ownerServes(owner, l != nil) || c.bounced(rep.Machine, table):
		return false
	}
	c.redirect(w, owner)
	return true
}

// tableInForce returns the owners if the leader goes by them, or nil.
func (c *Controller) tableInForce(l *leader.Leader, v *election.View) *ownership.Table {
	table := c.owners.table.Load()
	if table == nil {
		return nil
	}
	if l != nil {
		if !l.Ready() {
			return nil
		}
		return table
	}
	if at := c.owners.leader.Load(); at == nil || at.node != v.Leader || at.epoch != table.Epoch {
		return nil
	}
	return table
}

// machinesAreOwned says whether the leader goes by a record of owners.
func (c *Controller) machinesAreOwned(v *election.View) bool {
	return c.owners != nil && c.tableInForce(nil, v) != nil
}

// standing is what decides whether this controller may answer workers as an owner.
func (c *Controller) standing(table *ownership.Table, v *election.View) ownership.OwnerStatus {
	now := c.now()
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	s := ownership.OwnerStatus{Table: table, Controller: c.cfg.Node, Process: c.intents.Incarnation(), Leader: v.Leader,
		DigestAge: now - time.Duration(c.owners.acknowledged.Load()), MaxDigestAge: c.times.LeaderTimeout,
		KnowsCancellations: election.KnowsCancellations(now, c.times, c.intents.Recovered(now), c.mesh.Peers(), c.peers)}
	if at := c.owners.leader.Load(); at != nil && at.node == v.Leader {
		s.LeaderEpoch = at.epoch
	}
	return s
}

// ownerServes says whether an owner is likely to take a worker. The leader knows by its digests, others by its answers.
func (c *Controller) ownerServes(owner string, leads bool) bool {
	now := c.now()
	if leads {
		c.owners.mu.Lock()
		defer c.owners.mu.Unlock()
		at, ok := c.owners.digests[owner]
		return ok && now-at <= c.times.LeaderTimeout/2
	}
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	p, ok := c.peers[owner]
	return ok && now-p.SentAt <= c.times.LeaderTimeout/2
}

// bounced says whether a machine was sent to its owner and has come back: it can't reach it, and is served here for a
// while.
func (c *Controller) bounced(machine string, table *ownership.Table) bool {
	return c.owners.bounces.Relay(machine, fmt.Sprint(table.Epoch), false, c.now())
}

// answerAsOwner answers a report of a machine that this controller owns.
func (c *Controller) answerAsOwner(w http.ResponseWriter, r *http.Request, table *ownership.Table, v *election.View, rep *protocol.WorkerHeartbeat, raw []byte) {
	o := c.owners
	o.mu.Lock()
	news := o.reports.MustForward(c.now(), rep, v.Term)
	o.mu.Unlock()
	if !news {
		transport.WriteResponse(w, http.StatusOK, ownership.UnchangedReply(rep, c.withdrawn))
		o.mu.Lock()
		o.reports.AnsweredLocally(rep)
		o.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), reportPatience)
	defer cancel()
	if c.passOn(ctx, w, v.Leader, protocol.PeerMessage{Kind: protocol.PeerForwardedHeartbeat, Body: raw, OwnershipEpoch: table.Epoch}) {
		o.mu.Lock()
		o.reports.Forwarded(c.now(), rep)
		o.mu.Unlock()
	}
}

// runDigests tells the leader regularly which machines this controller has answered; it ends at once while ownership is
// off.
func (c *Controller) runDigests(ctx context.Context) {
	if c.owners == nil {
		return
	}
	for actor.Sleep(ctx, followerPace*c.times.HeartbeatInterval) == nil {
		v := c.view.Load()
		table := c.owners.table.Load()
		if table == nil || v.Leader == "" || v.Leader == c.cfg.Node || c.leading.Load() != nil {
			continue
		}
		if _, ok := table.Member(c.cfg.Node); ok {
			c.sendDigest(ctx, v.Leader, table)
		}
	}
}

// sendDigest tells the leader which machines were answered since the last digest, and takes in which of their reports
// it wants.
func (c *Controller) sendDigest(ctx context.Context, leader string, table *ownership.Table) {
	c.owners.mu.Lock()
	c.owners.reports.Expire(c.now())
	alive := c.owners.reports.TakeUnchanged()
	c.owners.mu.Unlock()
	for {
		part := alive[:min(len(alive), maxDigest)]
		alive = alive[len(part):]
		sent := c.now()
		m := protocol.PeerMessage{Kind: protocol.PeerUnchangedHeartbeats, OwnershipEpoch: table.Epoch, Incarnation: c.intents.Incarnation()}
		for _, a := range part {
			m.Machines = append(m.Machines, a.Machine)
			m.MachineIncarnations, m.HeartbeatSequences = append(m.MachineIncarnations, a.Incarnation), append(m.HeartbeatSequences, a.Sequence)
		}
		r, err := c.mesh.Call(ctx, leader, m)
		if err != nil || r.OwnershipEpoch != table.Epoch {
			c.log.Debug("digest not acknowledged", "leader", leader, "epoch", table.Epoch, "err", err)
			return
		}
		c.owners.acknowledged.Store(int64(sent))
		c.owners.mu.Lock()
		c.owners.reports.ForwardNext(r.Machines)
		c.owners.mu.Unlock()
		if len(alive) == 0 {
			return
		}
	}
}

// maxDigest is how many machines one message tells of, so that it fits a frame.
const maxDigest = protocol.MaxMachinesPerMessage

// takeDigest takes in which machines an owner has answered. A digest of another epoch, or of a controller that owns
// nothing in this one, is not acknowledged: whoever sent it stops answering as an owner.
func (c *Controller) takeDigest(m, reply *protocol.PeerMessage) {
	l := c.leading.Load()
	if c.owners == nil || l == nil || !l.Ready() {
		return
	}
	table := c.owners.table.Load()
	if table == nil || m.OwnershipEpoch != table.Epoch {
		return
	}
	if owner, ok := table.Member(m.From); !ok || owner.Incarnation.Process != m.Incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.times.LeaderTimeout/2)
	defer cancel()
	machines := make([]scheduler.AliveMachine, len(m.MachineIncarnations))
	for i := range machines {
		machines[i] = scheduler.AliveMachine{Name: m.Machines[i], Session: m.MachineIncarnations[i], Seq: m.HeartbeatSequences[i]}
	}
	passOn, ok := l.Alive(ctx, machines)
	if !ok || c.leading.Load() != l {
		return
	}
	reply.OwnershipEpoch, reply.Machines = table.Epoch, passOn
	c.owners.mu.Lock()
	defer c.owners.mu.Unlock()
	c.owners.digests[m.From] = c.now()
}
