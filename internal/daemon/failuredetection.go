package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/actor"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/ownership"
	"pinebay/internal/protocol"
)

// failureDetectorActor judges whether other controllers have failed. A nil actor is off.
type failureDetectorActor struct {
	*environment
	mailbox *actor.Mailbox[failuredetector.Event]
	// published is what the next heartbeats say.
	published atomic.Pointer[publishedOpinions]
	// malformedLogLimit bounds how often malformed opinions are logged.
	malformedLogLimit rate.Sometimes
	// verdicts receives the verdicts.
	verdicts *actor.Mailbox[ownership.Event]
	tasks    sync.WaitGroup // probes under way
}

func newFailureDetectorActor(env *environment, verdicts *actor.Mailbox[ownership.Event]) *failureDetectorActor {
	return &failureDetectorActor{
		environment:       env,
		mailbox:           actor.NewMailbox[failuredetector.Event](),
		malformedLogLimit: rate.Sometimes{Interval: env.times.LeaderTimeout},
		verdicts:          verdicts,
	}
}

// publishedOpinions is what a controller's heartbeats say about failures.
type publishedOpinions struct {
	incarnation failuredetector.Incarnation
	health      int
	opinions    []protocol.PeerOpinion
}

// run is the actor. It returns when the context has ended and nothing is under way any more, or at once if it is off.
func (a *failureDetectorActor) run(ctx context.Context) {
	if a == nil {
		return
	}
	defer a.tasks.Wait()
	times := detectorTimes(a.times)
	detector := failuredetector.New(a.now(), a.cfg.Name, a.intents.Incarnation(), a.mesh.Peers(), times)
	step := func(e failuredetector.Event) {
		now := a.now()
		detector.SetVoting(a.intents.Recovered(now))
		for _, effect := range detector.Step(now, e) {
			a.apply(ctx, effect)
		}
	}
	tick := actor.Every(times.TickInterval, a.now, func(now time.Duration) {
		step(failuredetector.Tick{})
		a.publish(now, detector)
	})
	a.mailbox.Run(ctx, times.TickInterval, step, tick)
}

// incarnation returns the current one of this process.
func (a *failureDetectorActor) incarnation() failuredetector.Incarnation {
	if s := a.published.Load(); s != nil {
		return s.incarnation
	}
	return failuredetector.Incarnation{Process: a.intents.Incarnation()}
}

// publish makes the opinions available for the next heartbeats.
func (a *failureDetectorActor) publish(now time.Duration, m *failuredetector.Detector) {
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
	a.published.Store(out)
}

// apply carries out an effect. Whatever waits runs on its own goroutine.
func (a *failureDetectorActor) apply(ctx context.Context, effect failuredetector.Effect) {
	switch e := effect.(type) {
	case failuredetector.DecisionMade:
		a.log.Info("failure detector decision", "decision", e.Decision.Describe())
		if v, ok := e.Decision.(failuredetector.Verdict); ok {
			a.verdicts.Send(ownership.Verdict{
				Member: ownership.Member{Controller: v.Controller, Incarnation: v.Incarnation},
				Reason: v.Describe(),
			})
		}
	case failuredetector.Probe:
		for _, through := range e.Through {
			a.tasks.Go(func() { a.probeThrough(ctx, e.Target, through) })
		}
	}
}

// probeThrough asks a peer whether it reaches a controller. No answer proves nothing.
func (a *failureDetectorActor) probeThrough(ctx context.Context, target, through string) {
	r, err := a.mesh.Call(ctx, through, protocol.PeerMessage{Kind: protocol.PeerStatusQuery, ProbeTarget: target})
	if err != nil || r.TargetReached == nil {
		return
	}
	a.mailbox.Send(
		failuredetector.ProbeResult{Target: target, Through: through, Reached: *r.TargetReached},
	)
}

// probeTimeoutDivisor is the part of a call's time, as its inverse, that a probe on behalf of a peer may take:
// the peer's own call must not end before.
const probeTimeoutDivisor = 2

// handleProbe answers whether a controller is reachable from here. Any answer of it will do, also of
// one without failure detection.
func (a *failureDetectorActor) handleProbe(m *protocol.PeerMessage, reply *protocol.PeerMessage) {
	if a == nil || m.ProbeTarget == "" || m.ProbeTarget == a.cfg.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.times.LeaderTimeout/2/probeTimeoutDivisor)
	defer cancel()
	_, err := a.mesh.Call(
		ctx,
		m.ProbeTarget,
		protocol.PeerMessage{Kind: protocol.PeerStatusQuery, ProbeTarget: m.ProbeTarget},
	)
	reached := err == nil
	reply.TargetReached = &reached
}

// fill sets in a heartbeat, or its answer, the opinions of this controller about the others.
func (a *failureDetectorActor) fill(m *protocol.PeerMessage) {
	if a == nil {
		return
	}
	if s := a.published.Load(); s != nil {
		m.Refutations, m.HealthScore, m.Opinions = s.incarnation.Refutations, s.health, s.opinions
	}
}

// peerHeard passes on a peer's heartbeat, or its answer to one. Malformed opinions are dropped, and with them their
// votes.
func (a *failureDetectorActor) peerHeard(m *protocol.PeerMessage) {
	if a == nil || m.Incarnation == 0 {
		return
	}
	heard := failuredetector.PeerHeartbeat{
		Peer:        m.From,
		Incarnation: failuredetector.Incarnation{Process: m.Incarnation, Refutations: m.Refutations},
		HealthScore: max(0, m.HealthScore),
		Voting:      m.Recovered,
	}
	if err := protocol.CheckOpinions(m.Opinions); err != nil {
		a.malformedLogLimit.Do(func() { a.log.Info("malformed peer opinions", "peer", m.From, "error", err) })
	} else {
		heard.Opinions = decodeOpinions(m.Opinions)
	}
	a.mailbox.Send(heard)
}

func decodeOpinions(list []protocol.PeerOpinion) map[string]failuredetector.Opinion {
	out := make(map[string]failuredetector.Opinion, len(list))
	for _, o := range list {
		heard := time.Duration(o.HeardAgoMS) * time.Millisecond
		if o.HeardAgoMS < 0 {
			heard = -1
		}
		out[o.Controller] = failuredetector.Opinion{
			Incarnation:        failuredetector.Incarnation{Process: o.Incarnation, Refutations: o.Refutations},
			HeardAgo:           heard,
			Suspected:          o.Suspected,
			SuspectedFor:       time.Duration(o.SuspectedForMS) * time.Millisecond,
			Phi:                o.Phi,
			Failed:             o.Failed,
			UnreachableThrough: o.UnreachableThrough,
		}
	}
	return out
}
