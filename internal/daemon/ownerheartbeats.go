package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
)

// machineOwner answers unchanged heartbeats of the machines that this controller owns, and reports them to the leader
// in digests. A nil machineOwner is off.
type machineOwner struct {
	*environment
	ownership *ownershipActor
	peers     *peerTable
	redirects *redirectTracker // machines that were sent to their owner
	// digestAcknowledgedAt is when the last acknowledged digest was sent to the leader, on the controller's clock.
	digestAcknowledgedAt atomic.Int64

	mu               sync.Mutex // guards what follows
	heartbeats       *ownership.HeartbeatFilter
	digestReceivedAt map[string]time.Duration // at the leader: when each owner's last digest came
}

func newMachineOwner(env *environment, record *ownershipActor, peers *peerTable) *machineOwner {
	lease := config.Seconds(env.cfg.Deployment.Workers.LeaseSeconds)
	return &machineOwner{
		environment:      env,
		ownership:        record,
		peers:            peers,
		redirects:        newRedirectTracker(lease),
		heartbeats:       ownership.NewHeartbeatFilter(lease / 2),
		digestReceivedAt: map[string]time.Duration{},
	}
}

// viewOf returns what is known of the ownership of a machine. The order of the reads is that of the decision: the
// table and the leader's epoch first, so that what is read of the owner is at least as new.
func (o *machineOwner) viewOf(
	known leadershipView,
	l *leader.Leader,
	view *election.View,
	machine string,
) ownershipView {
	if o == nil || known.renewsOnStandby || known.leaderless() {
		return ownershipView{} // owners answer for a leader
	}
	table := o.effectiveTable(l, view)
	if table == nil {
		return ownershipView{}
	}
	v := ownershipView{epoch: table.Epoch, owner: table.Owner(machine)}
	switch {
	case v.owner == "":
	case v.owner != known.self:
		v.ownerReachable = o.ownerReachable(v.owner, known.leadsHere)
	case !known.leadsHere:
		v.mayAnswer = o.ownerStatus(table, view).MayAnswer()
	}
	return v
}

// effectiveTable returns the table of owners if it is that of the leader's epoch, or nil.
func (o *machineOwner) effectiveTable(l *leader.Leader, v *election.View) *ownership.Table {
	table := o.ownership.table.Load()
	if table == nil {
		return nil
	}
	if l != nil {
		if !l.Ready() {
			return nil
		}
		return table
	}
	if at := o.ownership.leaderEpoch.Load(); at == nil || at.leader != v.Leader || at.epoch != table.Epoch {
		return nil
	}
	return table
}

// ownerStatus returns what decides whether this controller may answer workers as an owner.
func (o *machineOwner) ownerStatus(table *ownership.Table, v *election.View) ownership.OwnerStatus {
	now := o.now()
	s := ownership.OwnerStatus{
		Table:              table,
		Controller:         o.cfg.Name,
		Process:            o.intents.Incarnation(),
		Leader:             v.Leader,
		DigestAge:          now - time.Duration(o.digestAcknowledgedAt.Load()),
		MaxDigestAge:       o.times.LeaderTimeout,
		KnowsCancellations: o.peers.intentsKnown(now),
	}
	if at := o.ownership.leaderEpoch.Load(); at != nil && at.leader == v.Leader {
		s.LeaderEpoch = at.epoch
	}
	return s
}

// ownerReachable returns whether an owner is likely to answer a worker. The leader knows by the owner's digests, others
// by its answers to heartbeats.
func (o *machineOwner) ownerReachable(owner string, leads bool) bool {
	if !leads {
		return o.peers.recentlyHeard(owner)
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.digestReceivedAt[owner]
	return ok && now-at <= o.times.LeaderTimeout/2
}

// returnedFromOwner returns whether a machine was redirected to its owner and has come back: it can't reach the owner,
// and is served here for a while.
func (o *machineOwner) returnedFromOwner(machine string, epoch uint64) bool {
	return o.redirects.shouldRelay(machine, fmt.Sprint(epoch), false, o.now())
}

// mustForward returns whether the leader has to know of a heartbeat. If not, this controller may answer it.
func (o *machineOwner) mustForward(heartbeat *protocol.WorkerHeartbeat, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heartbeats.MustForward(o.now(), heartbeat, term)
}

// answered records that this controller has answered a heartbeat.
func (o *machineOwner) answered(heartbeat *protocol.WorkerHeartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heartbeats.AnsweredLocally(heartbeat)
}

// forwarded records that the leader has answered a heartbeat.
func (o *machineOwner) forwarded(heartbeat *protocol.WorkerHeartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heartbeats.Forwarded(o.now(), heartbeat)
}

// sendDigests regularly reports to the leader which machines this controller has answered, until the context ends; it
// returns at once if ownership is off.
func (o *machineOwner) sendDigests(ctx context.Context) {
	if o == nil {
		return
	}
	for actor.Sleep(ctx, followerHeartbeatFactor*o.times.HeartbeatInterval) == nil {
		v := o.view.Load()
		table := o.ownership.table.Load()
		if table == nil || v.Leader == "" || v.Leader == o.cfg.Name || o.leading.Load() != nil {
			continue
		}
		if _, ok := table.Member(o.cfg.Name); ok {
			o.sendDigest(ctx, v.Leader, table)
		}
	}
}

// sendDigest reports to the leader which machines were answered since the last digest. The leader answers with those of
// which it wants the next heartbeat.
func (o *machineOwner) sendDigest(ctx context.Context, leader string, table *ownership.Table) {
	o.mu.Lock()
	o.heartbeats.Expire(o.now())
	alive := o.heartbeats.TakeUnchanged()
	o.mu.Unlock()
	for {
		part := alive[:min(len(alive), maxDigestMachines)]
		alive = alive[len(part):]
		sent := o.now()
		m := protocol.PeerMessage{
			Kind:           protocol.PeerUnchangedHeartbeats,
			OwnershipEpoch: table.Epoch,
			Incarnation:    o.intents.Incarnation(),
		}
		for _, a := range part {
			m.Machines = append(m.Machines, a.Machine)
			m.MachineIncarnations = append(m.MachineIncarnations, a.Incarnation)
			m.HeartbeatSequences = append(m.HeartbeatSequences, a.Sequence)
		}
		r, err := o.mesh.Call(ctx, leader, m)
		if err != nil || r.OwnershipEpoch != table.Epoch {
			o.log.Debug("heartbeat digest not acknowledged", "peer", leader, "epoch", table.Epoch, "error", err)
			return
		}
		o.digestAcknowledgedAt.Store(int64(sent))
		o.mu.Lock()
		o.heartbeats.ForwardNext(r.Machines)
		o.mu.Unlock()
		if len(alive) == 0 {
			return
		}
	}
}

// maxDigestMachines is how many machines one message of a digest names, so that it fits a frame.
const maxDigestMachines = protocol.MaxMachinesPerMessage

// handleDigest passes the digest of an owner to the leader of this process. A digest of another epoch, or of a
// controller that owns nothing in this one, is not acknowledged: its sender stops answering as an owner.
func (o *machineOwner) handleDigest(m, reply *protocol.PeerMessage) {
	if o == nil {
		return
	}
	l := o.leading.Load()
	if l == nil || !l.Ready() {
		return
	}
	table := o.ownership.table.Load()
	if table == nil || m.OwnershipEpoch != table.Epoch {
		return
	}
	if owner, ok := table.Member(m.From); !ok || owner.Incarnation.Process != m.Incarnation {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.times.LeaderTimeout/2)
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
	if !ok || o.leading.Load() != l {
		return
	}
	reply.OwnershipEpoch, reply.Machines = table.Epoch, passOn
	o.mu.Lock()
	defer o.mu.Unlock()
	o.digestReceivedAt[m.From] = o.now()
}
