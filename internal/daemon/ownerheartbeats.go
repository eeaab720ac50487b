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

// machineOwner answers the unchanged heartbeats of the machines that this controller owns, and reports them to the
// leader in digests. A nil machineOwner is disabled.
type machineOwner struct {
	*environment
	ownership *ownershipActor
	peers     *peerTable
	redirects *redirectTracker // machines that were redirected to their owner
	// digestAcknowledgedAt is the time, on the controller's clock, at which the last acknowledged digest was sent to
	// the leader.
	digestAcknowledgedAt atomic.Int64

	mu               sync.Mutex // guards the fields below
	heartbeats       *ownership.HeartbeatFilter
	digestReceivedAt map[string]time.Duration // on the leader: when the last digest of each owner arrived
}

func newMachineOwner(env *environment, recordActor *ownershipActor, peers *peerTable) *machineOwner {
	lease := config.Seconds(env.cfg.Deployment.Workers.LeaseSeconds)
	return &machineOwner{
		environment:      env,
		ownership:        recordActor,
		peers:            peers,
		redirects:        newRedirectTracker(lease),
		heartbeats:       ownership.NewHeartbeatFilter(lease / 2),
		digestReceivedAt: map[string]time.Duration{},
	}
}

// machineOwnership returns what is known about the ownership of a machine. The table and the leader's epoch are read
// first, so that the state of the owner is at least as new as they are.
func (o *machineOwner) machineOwnership(
	leadership leadershipView,
	l *leader.Leader,
	view *election.View,
	machine string,
) ownershipView {
	if o == nil || leadership.renewsOnStandby || leadership.leaderless() {
		return ownershipView{} // owners answer on behalf of a leader only
	}
	table := o.activeTable(l, view)
	if table == nil {
		return ownershipView{}
	}
	v := ownershipView{epoch: table.Epoch, owner: table.Owner(machine)}
	switch {
	case v.owner == "":
	case v.owner != leadership.self:
		v.ownerReachable = o.ownerReachable(v.owner, leadership.leadsHere)
	case !leadership.leadsHere:
		v.mayAnswer = o.ownerStatus(table, view).MayAnswer()
	}
	return v
}

// activeTable returns the ownership table if its epoch is the leader's active epoch, or nil otherwise.
func (o *machineOwner) activeTable(l *leader.Leader, v *election.View) *ownership.Table {
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
	if e := o.ownership.leaderEpoch.Load(); e == nil || e.leader != v.Leader || e.epoch != table.Epoch {
		return nil
	}
	return table
}

// ownerStatus returns the inputs to the decision whether this controller may answer workers as an owner.
func (o *machineOwner) ownerStatus(table *ownership.Table, v *election.View) ownership.OwnerStatus {
	now := o.now()
	s := ownership.OwnerStatus{
		Table:              table,
		Controller:         o.cfg.Name,
		Process:            o.intents.Incarnation(),
		Leader:             v.Leader,
		DigestAge:          now - time.Duration(o.digestAcknowledgedAt.Load()),
		MaxDigestAge:       o.times.LeaderTimeout,
		KnowsCancellations: o.peers.hasAllIntents(now),
	}
	if e := o.ownership.leaderEpoch.Load(); e != nil && e.leader == v.Leader {
		s.LeaderEpoch = e.epoch
	}
	return s
}

// ownerReachable reports whether an owner is likely to answer a worker. The leader judges by the owner's digests, other
// controllers by its replies to heartbeats.
func (o *machineOwner) ownerReachable(owner string, leads bool) bool {
	if !leads {
		return o.peers.recentlyInContact(owner)
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.digestReceivedAt[owner]
	return ok && now-at <= o.times.LeaderTimeout/2
}

// returnedFromOwner reports whether a machine has come back after it was redirected to its owner. Such a machine cannot
// reach the owner, and is served by this controller for a while.
func (o *machineOwner) returnedFromOwner(machine string, epoch uint64) bool {
	return o.redirects.shouldRelay(machine, fmt.Sprint(epoch), false, o.now())
}

// mustForward reports whether the leader has to process a heartbeat. Otherwise this controller may answer it.
func (o *machineOwner) mustForward(heartbeat *protocol.WorkerHeartbeat, term uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heartbeats.MustForward(o.now(), heartbeat, term)
}

// answered records that this controller has answered a heartbeat itself.
func (o *machineOwner) answered(heartbeat *protocol.WorkerHeartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heartbeats.RecordLocalReply(heartbeat)
}

// forwarded records that the leader has answered a forwarded heartbeat.
func (o *machineOwner) forwarded(heartbeat *protocol.WorkerHeartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heartbeats.RecordForwarded(o.now(), heartbeat)
}

// sendDigests regularly reports to the leader the machines whose heartbeats this controller has answered, until ctx
// ends. It returns immediately if ownership is disabled.
func (o *machineOwner) sendDigests(ctx context.Context) {
	if o == nil {
		return
	}
	for actor.Sleep(ctx, followerHeartbeatFactor*o.times.HeartbeatInterval) == nil {
		v := o.view.Load()
		table := o.ownership.table.Load()
		if table == nil || v.Leader == "" || v.Leader == o.cfg.Name || o.localLeader.Load() != nil {
			continue
		}
		if _, ok := table.Member(o.cfg.Name); ok {
			o.sendDigest(ctx, v.Leader, table)
		}
	}
}

// sendDigest reports the machines whose heartbeats were answered since the last digest. The leader replies with the
// machines whose next heartbeat must be forwarded.
func (o *machineOwner) sendDigest(ctx context.Context, leader string, table *ownership.Table) {
	o.mu.Lock()
	o.heartbeats.Expire(o.now())
	unchanged := o.heartbeats.TakeUnchanged()
	o.mu.Unlock()
	for {
		part := unchanged[:min(len(unchanged), maxDigestMachines)]
		unchanged = unchanged[len(part):]
		sent := o.now()
		m := protocol.PeerMessage{
			Kind:           protocol.PeerUnchangedHeartbeats,
			OwnershipEpoch: table.Epoch,
			Incarnation:    o.intents.Incarnation(),
		}
		for _, u := range part {
			m.Machines = append(m.Machines, u.Machine)
			m.MachineIncarnations = append(m.MachineIncarnations, u.Incarnation)
			m.HeartbeatSequences = append(m.HeartbeatSequences, u.Sequence)
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
		if len(unchanged) == 0 {
			return
		}
	}
}

// maxDigestMachines is the maximum number of machines in one message of a digest, so that the message fits into a
// frame.
const maxDigestMachines = protocol.MaxMachinesPerMessage

// handleDigest passes an owner's digest to the local leader. It does not acknowledge a digest of another epoch, or of a
// process that is not an owner in the current epoch. Without an acknowledgment the sender stops answering as an owner.
func (o *machineOwner) handleDigest(m, reply *protocol.PeerMessage) {
	if o == nil {
		return
	}
	l := o.localLeader.Load()
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
			Sequence:    m.HeartbeatSequences[i],
		}
	}
	wanted, ok := l.UnchangedHeartbeats(ctx, machines)
	if !ok || o.localLeader.Load() != l {
		return
	}
	reply.OwnershipEpoch, reply.Machines = table.Epoch, wanted
	o.mu.Lock()
	defer o.mu.Unlock()
	o.digestReceivedAt[m.From] = o.now()
}
