package daemon

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/protocol"
)

// fencingActor performs fencing without a leader: while no leader can be elected, it releases unreachable machines to
// the cloud.
type fencingActor struct {
	*environment
	mailbox *actor.Mailbox[fencing.Event]
	fencer  *fencing.Fencer
	peers   *peerTable
	tasks   sync.WaitGroup // requests in progress
}

func newFencingActor(env *environment, peers *peerTable) *fencingActor {
	return &fencingActor{
		environment: env,
		mailbox:     actor.NewMailbox[fencing.Event](),
		fencer:      fencing.New(fencingTiming(&env.cfg.Deployment)),
		peers:       peers,
	}
}

// run processes events until ctx ends and all requests have returned.
func (a *fencingActor) run(ctx context.Context) {
	defer a.tasks.Wait()
	step := func(e fencing.Event) {
		for _, effect := range a.fencer.Step(a.now(), e) {
			a.apply(ctx, effect)
		}
	}
	// Every controller of a quorum lists the machines at this interval, and all of them share the cloud's rate limit.
	assess := actor.Throttle(a.times.LeaderTimeout, a.now, func(now time.Duration) { step(a.assess(now)) })
	a.mailbox.Run(ctx, a.times.LeaderTimeout, step, assess)
}

// assess returns the inputs of fencing: whether no controller can lead, and which intents this controller holds.
func (a *fencingActor) assess(now time.Duration) fencing.Assessment {
	result := fencing.Assessment{Leaderless: a.peers.leaderless(now), Recovering: !a.intents.Recovered(now)}
	result.OldestIntentAt, result.HasIntent = a.intents.OldestIntentAt(now)
	return result
}

// apply executes an effect. Effects that block run on goroutines of their own.
func (a *fencingActor) apply(ctx context.Context, effect fencing.Effect) {
	switch e := effect.(type) {
	case fencing.ListMachines:
		a.tasks.Go(func() {
			list, err := a.cloud.List(ctx, a.cloud.Reserve())
			if err != nil {
				a.log.Info("failed to list machines", "error", err)
				return // retried after the next assessment
			}
			a.mailbox.Send(fencing.MachinesListed{Machines: list})
		})
	case fencing.QueryPeers:
		a.tasks.Go(func() {
			unreachable, certain := fencing.UnreachableMachines(e.Machines, a.queryPeers(ctx, e.Machines))
			if !certain {
				a.log.Info("fencing postponed", "machine_count", len(e.Machines), "reason", "no answer from a peer")
				return // retried after the next assessment
			}
			a.mailbox.Send(fencing.UnreachableConfirmed{Machines: unreachable})
		})
	case fencing.ReleaseMachines:
		a.tasks.Go(func() { a.releaseUnreachableMachines(ctx, e.Machines) })
	case fencing.AnswerPeer:
		e.Reply <- e.LiveMachines
	}
}

// queryPeers asks every peer which of the machines send heartbeats to it.
func (a *fencingActor) queryPeers(ctx context.Context, machines []string) []fencing.PeerReply {
	var replies []fencing.PeerReply
	for _, peer := range a.mesh.Peers() {
		replies = append(replies, a.queryPeer(ctx, peer, machines))
	}
	return replies
}

// queryPeer asks one peer which of the machines send heartbeats to it, in several messages if the list is long.
func (a *fencingActor) queryPeer(ctx context.Context, peer string, machines []string) fencing.PeerReply {
	reply := fencing.PeerReply{Answered: true, InQuorum: a.peers.recentlyInContact(peer)}
	for _, part := range protocol.SplitMachineNames(machines) {
		r, err := a.mesh.Call(ctx, peer, protocol.PeerMessage{Kind: protocol.PeerLiveMachinesQuery, Machines: part})
		if err != nil {
			reply.Answered = false
			return reply
		}
		reply.LiveMachines = append(reply.LiveMachines, r.Machines...)
	}
	return reply
}

// errLeaderPossible is the reason for not releasing machines that were found to be unreachable.
var errLeaderPossible = errors.New("a leader may have been elected")

// checkLeaderless returns an error if a leader may have been elected in the meantime. This process may have been
// suspended since it found that there was none.
func (a *fencingActor) checkLeaderless() error {
	if a.peers.leaderless(a.now()) {
		return nil
	}
	return errLeaderPossible
}

// releaseUnreachableMachines releases machines to the cloud. It stops at the first failure; the remaining machines are
// released after a later assessment.
func (a *fencingActor) releaseUnreachableMachines(ctx context.Context, machines []string) {
	for machineNames := range slices.Chunk(machines, protocol.MaxMachinesPerRelease) {
		a.log.Info("fencing machines without a leader", "machines", machineNames)
		if err := a.cloud.Release(ctx, a.cloud.Reserve(), machineNames, a.checkLeaderless); err != nil {
			a.log.Info("failed to release machines", "machine_count", len(machineNames), "error", err)
			return
		}
		a.mailbox.Send(fencing.MachinesReleased{Machines: machineNames})
	}
}

// liveMachines returns the machines in a peer's query that send heartbeats to this controller.
func (a *fencingActor) liveMachines(machines []string) []string {
	reply := make(chan []string, 1)
	a.mailbox.Send(fencing.PeerQuery{Machines: machines, Reply: reply})
	select {
	case live := <-reply:
		return live
	case <-time.After(a.times.LeaderTimeout / 2):
		return nil // the actor has stopped
	}
}
