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

// failureDetectorActor detects the failure of other controllers. A nil actor is disabled.
type failureDetectorActor struct {
	*environment
	mailbox *actor.Mailbox[failuredetector.Event]
	// published holds the opinions that the next heartbeats carry.
	published atomic.Pointer[publishedOpinions]
	// malformedLogLimit limits how often malformed opinions are logged.
	malformedLogLimit rate.Sometimes
	// verdicts is the mailbox to which the detector's verdicts are sent.
	verdicts *actor.Mailbox[ownership.Event]
	tasks    sync.WaitGroup // probes in progress
}

func newFailureDetectorActor(env *environment, verdicts *actor.Mailbox[ownership.Event]) *failureDetectorActor {
	return &failureDetectorActor{
		environment:       env,
		mailbox:           actor.NewMailbox[failuredetector.Event](),
		malformedLogLimit: rate.Sometimes{Interval: env.times.LeaderTimeout},
		verdicts:          verdicts,
	}
}

// publishedOpinions holds what the heartbeats of a controller report about failures.
type publishedOpinions struct {
	incarnation failuredetector.Incarnation
	health      int
	opinions    []protocol.PeerOpinion
}

// run processes events until ctx ends and all probes have returned. It returns immediately if failure detection is
// disabled.
func (a *failureDetectorActor) run(ctx context.Context) {
	if a == nil {
		return
	}
	defer a.tasks.Wait()
	times := detectorTiming(a.times)
	detector := failuredetector.New(a.now(), a.cfg.Name, a.intents.Incarnation(), a.mesh.Peers(), times)
	step := func(e failuredetector.Event) {
		now := a.now()
		detector.SetVoting(a.intents.Recovered(now))
		for _, effect := range detector.Step(now, e) {
			a.apply(ctx, effect)
		}
	}
	tick := actor.Throttle(times.TickInterval, a.now, func(now time.Duration) {
		step(failuredetector.Tick{})
		a.publish(now, detector)
	})
	a.mailbox.Run(ctx, times.TickInterval, step, tick)
}

// incarnation returns the current incarnation of this process.
func (a *failureDetectorActor) incarnation() failuredetector.Incarnation {
	if s := a.published.Load(); s != nil {
		return s.incarnation
	}
	return failuredetector.Incarnation{Process: a.intents.Incarnation()}
}

// publish stores the detector's current opinions for the next heartbeats.
func (a *failureDetectorActor) publish(now time.Duration, d *failuredetector.Detector) {
	out := &publishedOpinions{incarnation: d.Incarnation(), health: d.HealthScore()}
	opinions := d.Opinions(now)
	for _, name := range slices.Sorted(maps.Keys(opinions)) {
		o := opinions[name]
		sinceLastContactMS := o.SinceLastContact.Milliseconds()
		if o.SinceLastContact < 0 {
			sinceLastContactMS = -1
		}
		out.opinions = append(out.opinions, protocol.PeerOpinion{
			Controller:         name,
			Incarnation:        o.Incarnation.Process,
			Refutations:        o.Incarnation.Refutations,
			SinceLastContactMS: sinceLastContactMS,
			Suspected:          o.Suspected,
			SuspectedForMS:     o.SuspectedFor.Milliseconds(),
			Phi:                o.Phi,
			Failed:             o.Failed,
			UnreachableThrough: o.UnreachableThrough,
		})
	}
	a.published.Store(out)
}

// apply executes an effect. Effects that block run on goroutines of their own.
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

// probeThrough asks a peer whether it can reach the target. A failed request is ignored, because it does not show
// whether the peer can reach the target.
func (a *failureDetectorActor) probeThrough(ctx context.Context, target, through string) {
	r, err := a.mesh.Call(ctx, through, protocol.PeerMessage{Kind: protocol.PeerStatusQuery, ProbeTarget: target})
	if err != nil || r.TargetReached == nil {
		return
	}
	a.mailbox.Send(
		failuredetector.ProbeResult{Target: target, Through: through, Reached: *r.TargetReached},
	)
}

// probeTimeoutDivisor divides the timeout of a mesh call to get the timeout of a probe on behalf of a peer, so that the
// probe ends before the peer's own call times out.
const probeTimeoutDivisor = 2

// handleProbe answers whether this controller can reach the target of a probe. Any reply of the target counts,
// including that of a controller without failure detection.
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

// fill adds the opinions of this controller to a heartbeat or to the reply to one.
func (a *failureDetectorActor) fill(m *protocol.PeerMessage) {
	if a == nil {
		return
	}
	if s := a.published.Load(); s != nil {
		m.Refutations, m.HealthScore, m.Opinions = s.incarnation.Refutations, s.health, s.opinions
	}
}

// handlePeerHeartbeat passes a peer's heartbeat, or its reply to one, to the detector. Malformed opinions are dropped,
// so the votes in them do not count.
func (a *failureDetectorActor) handlePeerHeartbeat(m *protocol.PeerMessage) {
	if a == nil || m.Incarnation == 0 {
		return
	}
	heartbeat := failuredetector.PeerHeartbeat{
		Peer:        m.From,
		Incarnation: failuredetector.Incarnation{Process: m.Incarnation, Refutations: m.Refutations},
		HealthScore: max(0, m.HealthScore),
		Voting:      m.Recovered,
	}
	if err := protocol.ValidateOpinions(m.Opinions); err != nil {
		a.malformedLogLimit.Do(func() { a.log.Info("malformed peer opinions", "peer", m.From, "error", err) })
	} else {
		heartbeat.Opinions = decodeOpinions(m.Opinions)
	}
	a.mailbox.Send(heartbeat)
}

func decodeOpinions(list []protocol.PeerOpinion) map[string]failuredetector.Opinion {
	out := make(map[string]failuredetector.Opinion, len(list))
	for _, o := range list {
		sinceLastContact := time.Duration(o.SinceLastContactMS) * time.Millisecond
		if o.SinceLastContactMS < 0 {
			sinceLastContact = -1
		}
		out[o.Controller] = failuredetector.Opinion{
			Incarnation:        failuredetector.Incarnation{Process: o.Incarnation, Refutations: o.Refutations},
			SinceLastContact:   sinceLastContact,
			Suspected:          o.Suspected,
			SuspectedFor:       time.Duration(o.SuspectedForMS) * time.Millisecond,
			Phi:                o.Phi,
			Failed:             o.Failed,
			UnreachableThrough: o.UnreachableThrough,
		}
	}
	return out
}
