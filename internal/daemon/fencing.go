package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/protocol"
)

// fencingActor returns silent machines to the cloud while no leader can be elected.
type fencingActor struct {
	*environment
	mailbox *actor.Mailbox[fencing.Event]
	fencer  *fencing.Fencer
	peers   *peerTable
	tasks   sync.WaitGroup // requests under way
}

func newFencingActor(env *environment, peers *peerTable) *fencingActor {
	return &fencingActor{
		environment: env,
		mailbox:     actor.NewMailbox[fencing.Event](),
		fencer:      fencing.New(fencingTimes(&env.cfg.Deployment)),
		peers:       peers,
	}
}

// run is the actor. It returns when the context has ended and nothing is under way any more.
func (a *fencingActor) run(ctx context.Context) {
	defer a.tasks.Wait()
	step := func(e fencing.Event) {
		for _, effect := range a.fencer.Step(a.now(), e) {
			a.apply(ctx, effect)
		}
	}
	// Every controller of a quorum lists the machines at this pace, and they share the cloud's rate.
	assess := actor.Every(a.times.LeaderTimeout, a.now, func(now time.Duration) { step(a.assess(now)) })
	a.mailbox.Run(ctx, a.times.LeaderTimeout, step, assess)
}

// assess returns what fencing depends on: whether nobody can lead, and which intents this controller holds.
func (a *fencingActor) assess(now time.Duration) fencing.Assessment {
	result := fencing.Assessment{Leaderless: a.peers.leaderless(now), Recovering: !a.intents.Recovered(now)}
	result.OldestIntentAt, result.HasIntent = a.intents.OldestIntentAt(now)
	return result
}

// apply carries out an effect. Whatever waits runs on its own goroutine.
func (a *fencingActor) apply(ctx context.Context, effect fencing.Effect) {
	switch e := effect.(type) {
	case fencing.ListMachines:
		a.tasks.Go(func() {
			list, err := a.cloud.List(ctx, a.cloud.Reserve())
			if err != nil {
				a.log.Info("failed to list machines", "error", err)
				return // the next assessment asks again
			}
			a.mailbox.Send(fencing.MachinesListed{Machines: list})
		})
	case fencing.QueryPeers:
		a.tasks.Go(func() {
			silent, certain := fencing.StillSilent(e.Machines, a.askPeers(ctx, e.Machines))
			if !certain {
				a.log.Info("fencing postponed", "machine_count", len(e.Machines), "reason", "no answer from a peer")
				return // the next assessment asks again
			}
			a.mailbox.Send(fencing.SilenceConfirmed{Machines: silent})
		})
	case fencing.ReleaseMachines:
		a.tasks.Go(func() { a.releaseSilentMachines(ctx, e.Machines) })
	case fencing.AnswerPeer:
		e.Reply <- e.Heard
	}
}

// askPeers asks every peer which of the machines it hears.
func (a *fencingActor) askPeers(ctx context.Context, machines []string) []fencing.PeerReply {
	var answers []fencing.PeerReply
	for _, peer := range a.mesh.Peers() {
		answers = append(answers, a.askPeer(ctx, peer, machines))
	}
	return answers
}

func (a *fencingActor) askPeer(ctx context.Context, peer string, machines []string) fencing.PeerReply {
	reply := fencing.PeerReply{Answered: true, InQuorum: a.peers.recentlyHeard(peer)}
	for _, asked := range protocol.SplitMachineNames(machines) {
		r, err := a.mesh.Call(ctx, peer, protocol.PeerMessage{Kind: protocol.PeerLiveMachinesQuery, Machines: asked})
		if err != nil {
			reply.Answered = false
			return reply
		}
		reply.Heard = append(reply.Heard, r.Machines...)
	}
	return reply
}

// releaseSilentMachines returns machines to the cloud. What fails is tried again after the next
// assessment.
func (a *fencingActor) releaseSilentMachines(ctx context.Context, machines []string) {
	for names := range slices.Chunk(machines, protocol.MaxMachinesPerRelease) {
		a.log.Info("fencing machines without a leader", "machines", names)
		if err := a.cloud.Release(ctx, a.cloud.Reserve(), names); err != nil {
			a.log.Info("failed to release machines", "machine_count", len(names), "error", err)
			return
		}
		a.mailbox.Send(fencing.MachinesReleased{Machines: names})
	}
}

// heardMachines returns which of a peer's list of machines send their heartbeats here.
func (a *fencingActor) heardMachines(machines []string) []string {
	reply := make(chan []string, 1)
	a.mailbox.Send(fencing.PeerQuery{Machines: machines, Reply: reply})
	select {
	case heard := <-reply:
		return heard
	case <-time.After(a.times.LeaderTimeout / 2):
		return nil // we are ending
	}
}
