package daemon

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
)

// failureDetector is the actor that judges whether other controllers have failed.
type failureDetector struct {
	mailbox *actor.Mailbox[failuredetector.Event]
	// published is what the next heartbeats say of it.
	published atomic.Pointer[publishedOpinions]
	// malformedLogLimit bounds how often malformed opinions are logged.
	malformedLogLimit rate.Sometimes
}

// publishedOpinions is what a controller tells the others with its heartbeats.
type publishedOpinions struct {
	incarnation failuredetector.Incarnation
	health      int
	opinions    []protocol.PeerOpinion
}

// failureDetectorTimes derives the times of suspicion from those of the election.
func (c *Controller) failureDetectorTimes() failuredetector.Timing {
	return failuredetector.Timing{
		TickInterval:     followerHeartbeatFactor * c.times.HeartbeatInterval,
		SuspicionTimeout: c.times.LeaderTimeout,
		OpinionTTL:       c.times.LeaderTimeout,
	}
}

// runFailureDetector is the actor; it ends at once while suspicions are off.
func (c *Controller) runFailureDetector(ctx context.Context) {
	if c.failureDetector == nil {
		return
	}
	times := c.failureDetectorTimes()
	machine := failuredetector.New(c.now(), c.cfg.Name, c.intents.Incarnation(), c.mesh.Peers(), times)
	step := func(e failuredetector.Event) {
		now := c.now()
		machine.SetVoting(c.intents.Recovered(now))
		for _, effect := range machine.Step(now, e) {
			c.applyDetectorEffect(ctx, effect)
		}
	}
	tick := actor.Every(times.TickInterval, c.now, func(now time.Duration) {
		step(failuredetector.Tick{})
		c.failureDetector.publish(now, machine)
	})
	c.failureDetector.mailbox.Run(ctx, times.TickInterval, step, tick)
}

func (s *failureDetector) publish(now time.Duration, m *failuredetector.Detector) {
	out := &publishedOpinions{incarnation: m.Incarnation(), health: m.HealthScore()}
	opinions := m.Opinions(now)
	for _, name := range slices.Sorted(maps.Keys(opinions)) {
		o := opinions[name]
		heard := o.HeardAgo.Milliseconds()
		if o.HeardAgo < 0 {
			heard = -1
		}
		out.opinions = append(out.opinions, protocol.PeerOpinion{
			Controller:         name,
			Incarnation:        o.Incarnation.Process,
			Refutations:        o.Incarnation.Refutations,
			HeardAgoMS:         heard,
			Suspected:          o.Suspected,
			SuspectedForMS:     o.SuspectedFor.Milliseconds(),
			Phi:                o.Phi,
			Failed:             o.Failed,
			UnreachableThrough: o.UnreachableThrough,
		})
	}
	s.published.Store(out)
}

func (c *Controller) applyDetectorEffect(ctx context.Context, effect failuredetector.Effect) {
	switch e := effect.(type) {
	case failuredetector.DecisionMade:
		c.log.Info("suspicion", "decision", e.Decision.Describe())
		if v, ok := e.Decision.(failuredetector.Verdict); ok {
			c.ownership.mailbox.Send(
				ownership.Verdict{
					Member: ownership.Member{Controller: v.Controller, Incarnation: v.Incarnation},
					Reason: v.Describe(),
				},
			)
		}
	case failuredetector.Probe:
		for _, through := range e.Through {
			go c.probeThrough(ctx, e.Target, through)
		}
	}
}

// probeThrough asks a peer whether it reaches a controller. No answer tells nothing.
func (c *Controller) probeThrough(ctx context.Context, target, through string) {
	r, err := c.mesh.Call(ctx, through, protocol.PeerMessage{Kind: protocol.PeerStatusQuery, ProbeTarget: target})
	if err != nil || r.TargetReached == nil {
		return
	}
	c.failureDetector.mailbox.Send(
		failuredetector.ProbeResult{Target: target, Through: through, Reached: *r.TargetReached},
	)
}

// probeTimeoutDivisor is the part of a call's time, as its inverse, that a probe on behalf of a peer may take:
// the peer's own call must not end before.
const probeTimeoutDivisor = 2

// handleProbe answers whether a controller is reached from here. Any answer of it will do, also of
// one without suspicions.
func (c *Controller) handleProbe(m *protocol.PeerMessage, reply *protocol.PeerMessage) {
	if c.failureDetector == nil || m.ProbeTarget == "" || m.ProbeTarget == c.cfg.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.times.LeaderTimeout/2/probeTimeoutDivisor)
	defer cancel()
	_, err := c.mesh.Call(
		ctx,
		m.ProbeTarget,
		protocol.PeerMessage{Kind: protocol.PeerStatusQuery, ProbeTarget: m.ProbeTarget},
	)
	reached := err == nil
	reply.TargetReached = &reached
}

// addOpinions puts into a heartbeat, or its answer, what this controller holds of the others.
func (c *Controller) addOpinions(m *protocol.PeerMessage) {
	if c.failureDetector == nil {
		return
	}
	if s := c.failureDetector.published.Load(); s != nil {
		m.Refutations, m.HealthScore, m.Opinions = s.incarnation.Refutations, s.health, s.opinions
	}
}

// handleOpinions takes in a peer's heartbeat, or its answer to ours. Opinions that are out of form are
// dropped, and with them whatever they could consent to.
func (c *Controller) handleOpinions(m *protocol.PeerMessage) {
	if c.failureDetector == nil || m.Incarnation == 0 {
		return
	}
	heard := failuredetector.PeerHeartbeat{
		Peer:        m.From,
		Incarnation: failuredetector.Incarnation{Process: m.Incarnation, Refutations: m.Refutations},
		HealthScore: max(0, m.HealthScore),
		Voting:      m.Recovered,
	}
	if err := protocol.CheckOpinions(m.Opinions); err != nil {
		c.failureDetector.malformedLogLimit.Do(func() { c.log.Info("opinions refused", "from", m.From, "err", err) })
	} else {
		heard.Opinions = decodeOpinions(m.Opinions)
	}
	c.failureDetector.mailbox.Send(heard)
}

func decodeOpinions(list []protocol.PeerOpinion) map[string]failuredetector.Opinion {
	out := make(map[string]failuredetector.Opinion, len(list))
	for _, o := range list {
		heard := time.Duration(o.HeardAgoMS) * time.Millisecond
		if o.HeardAgoMS < 0 {
			heard = -1
		}
		out[o.Controller] = failuredetector.Opinion{
			Incarnation: failuredetector.Incarnation{
				Process:     o.Incarnation,
				Refutations: o.Refutations,
			},
			HeardAgo:  heard,
			Suspected: o.Suspected,
			SuspectedFor: time.Duration(
				o.SuspectedForMS,
			) * time.Millisecond,
			Phi:                o.Phi,
			Failed:             o.Failed,
			UnreachableThrough: o.UnreachableThrough,
		}
	}
	return out
}
