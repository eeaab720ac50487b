package daemon

import (
	"context"
	"slices"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/protocol"
)

// fencingTimes derives the intervals of fencing without a leader. Cancel time is spent
// as follows: a half until a leader would have fenced, a quarter for the machine to be
// heard elsewhere, and the rest for the machine list and the release.
func fencingTimes(d *config.Deployment) fencing.Timing {
	cancel := config.Seconds(d.Workers.CancelSeconds)
	return fencing.Timing{
		GracePeriod:  cancel / 4,
		MinIntentAge: cancel / 2,
		Retention:    cancel + 4*config.Seconds(d.Cloud.ListLagSeconds),
	}
}

// runFencing is the actor that returns silent machines while no leader can be elected.
func (c *Controller) runFencing(ctx context.Context) {
	step := func(e fencing.Event) {
		for _, effect := range c.fencingMonitor.Step(c.now(), e) {
			c.applyFencingEffect(ctx, effect)
		}
	}
	// Every controller of a quorum lists the machines at this pace, and they share the cloud's rate.
	assess := actor.Every(c.times.LeaderTimeout, c.now, func(now time.Duration) { step(c.assessFencing(now)) })
	c.fencingMailbox.Run(ctx, c.times.LeaderTimeout, step, assess)
}

// assessFencing tells the fencing how this controller stands.
func (c *Controller) assessFencing(now time.Duration) fencing.Assessment {
	a := fencing.Assessment{Leaderless: c.leaderless(now), Recovering: !c.intents.Recovered(now)}
	a.OldestIntentAt, a.HasIntent = c.intents.OldestIntentAt(now)
	return a
}

// leaderless says whether a majority agrees that nobody leads and nobody can. A leader
// that could not read the records before the state service went does not know where
// tasks are placed, and counts as none.
func (c *Controller) leaderless(now time.Duration) bool {
	v := *c.view.Load()
	if l := c.leading.Load(); l != nil && !l.Ready() {
		v.Leading, v.Leader = false, ""
	}
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	return election.GroupStatus{
		Now:            now,
		Timing:         c.times,
		View:           v,
		StoreReachable: c.storeReachable(),
		Peers:          c.mesh.Peers(),
		Statuses:       c.peers,
	}.Leaderless(c.cfg.Name)
}

// applyFencingEffect carries out an effect. Whatever waits runs on its own goroutine.
func (c *Controller) applyFencingEffect(ctx context.Context, effect fencing.Effect) {
	switch e := effect.(type) {
	case fencing.ListMachines:
		go func() {
			list, err := c.cloud.List(ctx, c.cloud.Reserve())
			if err != nil {
				c.log.Info("machine list not read", "err", err)
				return // the next assessment asks again
			}
			c.fencingMailbox.Send(fencing.MachinesListed{Machines: list})
		}()
	case fencing.QueryPeers:
		go func() {
			silent, certain := fencing.StillSilent(e.Machines, c.askPeers(ctx, e.Machines))
			if !certain {
				c.log.Info("machines not fenced yet: a peer did not answer", "machines", len(e.Machines))
				return // the next assessment asks again
			}
			c.fencingMailbox.Send(fencing.SilenceConfirmed{Machines: silent})
		}()
	case fencing.ReleaseMachines:
		go c.releaseSilentMachines(ctx, e.Machines)
	case fencing.AnswerPeer:
		e.Reply <- e.Heard
	}
}

// askPeers asks every peer which of the machines it hears.
func (c *Controller) askPeers(ctx context.Context, machines []string) []fencing.PeerReply {
	var answers []fencing.PeerReply
	for _, peer := range c.mesh.Peers() {
		answers = append(answers, c.askPeer(ctx, peer, machines))
	}
	return answers
}

func (c *Controller) askPeer(ctx context.Context, peer string, machines []string) fencing.PeerReply {
	a := fencing.PeerReply{Answered: true, InQuorum: c.recentlyHeard(peer)}
	for _, asked := range protocol.SplitMachineNames(machines) {
		r, err := c.mesh.Call(ctx, peer, protocol.PeerMessage{Kind: protocol.PeerLiveMachinesQuery, Machines: asked})
		if err != nil {
			a.Answered = false
			return a
		}
		a.Heard = append(a.Heard, r.Machines...)
	}
	return a
}

// recentlyHeard says whether a peer has answered so lately that it counts for a majority.
func (c *Controller) recentlyHeard(peer string) bool {
	c.peersMu.Lock()
	defer c.peersMu.Unlock()
	p, ok := c.peers[peer]
	return ok && c.now()-p.SentAt <= c.times.LeaderTimeout/2
}

// releaseSilentMachines returns machines to the cloud. What fails is tried again after the next
// assessment.
func (c *Controller) releaseSilentMachines(ctx context.Context, machines []string) {
	for names := range slices.Chunk(machines, protocol.MaxMachinesPerRelease) {
		c.log.Info("fencing silent machines without a leader", "machines", names)
		if err := c.cloud.Release(ctx, c.cloud.Reserve(), names); err != nil {
			c.log.Info("release unanswered", "machines", len(names), "err", err)
			return
		}
		c.fencingMailbox.Send(fencing.MachinesReleased{Machines: names})
	}
}

// heardMachines answers a peer that asks which machines report here.
func (c *Controller) heardMachines(machines []string) []string {
	reply := make(chan []string, 1)
	c.fencingMailbox.Send(fencing.PeerQuery{Machines: machines, Reply: reply})
	select {
	case heard := <-reply:
		return heard
	case <-time.After(c.times.LeaderTimeout / 2):
		return nil // we are ending
	}
}
