// Package failuredetector decides whether other controllers have failed.
//
// Each controller watches the heartbeats of the others with an adaptive detector (see
// accrualDetector). A controller that it no longer hears is suspected: peers are asked to probe it,
// and the opinion is sent to the others with the heartbeats. A verdict is reached when a quorum
// holds that the same incarnation has failed. A suspicion alone causes nothing but probes, and a
// verdict takes effect only through the ownership record.
//
// Detector is a pure state machine: it does no I/O, reads no clock and is not safe for concurrent
// use. The caller passes every event to Step, carries out the effects in the order in which they
// were returned, and after each Tick publishes Incarnation, HealthScore and Opinions for the
// heartbeats to the peers.
package failuredetector

import (
	"slices"
	"time"
)

// Timing holds the intervals of the detector. All are derived from the settings.
type Timing struct {
	// TickInterval is the time between two Ticks, and at most between two heartbeats of a peer.
	TickInterval time.Duration
	// SuspicionTimeout is how long a suspicion must last, without a successful probe, until the
	// observer holds that the peer has failed.
	SuspicionTimeout time.Duration
	// OpinionTTL is how long a peer's opinions count.
	OpinionTTL time.Duration
}

// Incarnation identifies a span of a controller's life without an undisputed failure. Process
// tells processes of the same name apart. Refutations is how often the process has learned that it
// is suspected, and has refuted that by going on under the next number.
type Incarnation struct {
	Process, Refutations uint64
}

// neverHeard is the HeardAgo of an observer that has never heard the controller.
const neverHeard = -1

// Opinion is what one controller, the observer, holds of another.
type Opinion struct {
	Incarnation Incarnation
	// HeardAgo is how long ago the observer itself last heard the controller; negative: never.
	HeardAgo time.Duration
	// Suspected says that it is suspected, since SuspectedFor ago. Phi is how unlikely its silence is.
	Suspected    bool
	SuspectedFor time.Duration
	Phi          float64
	// Failed says that the observer holds that it has failed. UnreachableThrough names the peers whose
	// probes did not reach it.
	Failed             bool
	UnreachableThrough []string
}

// peer is what is known of one other controller.
type peer struct {
	accrual     accrualDetector
	known       bool // it was heard, so incarnation is set
	incarnation Incarnation
	voting      bool
	healthScore int

	opinions           map[string]Opinion
	opinionsReceivedAt time.Duration

	suspected          bool
	suspectedSince     time.Duration
	failed             bool // in this controller's opinion
	probedAt           time.Duration
	unreachableThrough map[string]bool // peers whose probes have failed since it is suspected
	verdictReached     bool            // on its incarnation
}

// Detector is the state machine of one controller.
type Detector struct {
	self        string
	timing      Timing
	incarnation Incarnation
	voting      bool
	peers       map[string]*peer
	peerNames   []string // sorted, so that the same events have the same effects
	lastTick    time.Duration
	healthScore int
	effects     []Effect // of the current step
}

// New returns the detector of a process that has just started.
func New(now time.Duration, self string, process uint64, peers []string, timing Timing) *Detector {
	d := &Detector{
		self:        self,
		timing:      timing,
		incarnation: Incarnation{Process: process},
		peers:       map[string]*peer{},
		peerNames:   slices.Sorted(slices.Values(peers)),
		lastTick:    now,
	}
	for _, name := range d.peerNames {
		d.peers[name] = &peer{accrual: accrualDetector{lastHeardAt: now}, unreachableThrough: map[string]bool{}}
	}
	return d
}

// Step processes an event and returns the effects that the caller must carry out, in order. The
// slice belongs to the caller.
func (d *Detector) Step(now time.Duration, event Event) []Effect {
	d.effects = nil
	switch e := event.(type) {
	case Tick:
		d.tick(now)
	case PeerHeartbeat:
		d.handleHeartbeat(now, e)
	case ProbeResult:
		d.handleProbeResult(now, e)
	}
	return d.effects
}

// Incarnation returns this process's current incarnation.
func (d *Detector) Incarnation() Incarnation { return d.incarnation }

// HealthScore says how late this process's own ticks come: 0 if they are punctual, and higher the
// more of them are late.
func (d *Detector) HealthScore() int { return d.healthScore }

// SetVoting says whether this process counts for quorums. It must not while it has just started.
func (d *Detector) SetVoting(voting bool) { d.voting = voting }

// Opinions returns what this controller holds of each other one.
func (d *Detector) Opinions(now time.Duration) map[string]Opinion {
	opinions := make(map[string]Opinion, len(d.peers))
	for name, p := range d.peers {
		opinions[name] = d.opinionOf(now, p)
	}
	return opinions
}

func (d *Detector) opinionOf(now time.Duration, p *peer) Opinion {
	o := Opinion{Incarnation: p.incarnation, HeardAgo: neverHeard, Suspected: p.suspected, Failed: p.failed}
	if p.known {
		o.HeardAgo = now - p.accrual.lastHeardAt
	}
	if p.suspected {
		o.SuspectedFor, o.Phi = now-p.suspectedSince, d.phi(now, p)
		for name := range p.unreachableThrough {
			o.UnreachableThrough = append(o.UnreachableThrough, name)
		}
		slices.Sort(o.UnreachableThrough)
	}
	return o
}

func (d *Detector) tick(now time.Duration) {
	d.updateHealthScore(now)
	for _, name := range d.peerNames {
		p := d.peers[name]
		switch {
		case !p.known:
			// A peer that was never heard cannot be missed.
		case !p.suspected && d.phi(now, p) >= phiThreshold:
			d.suspect(now, name, p)
		case p.suspected:
			d.confirmSuspicion(now, name, p)
		}
		d.evaluateVerdict(now, name, p)
	}
}

// handleHeartbeat ignores heartbeats of unknown controllers, of versions without incarnations, and
// of incarnations that are older than the last one that was heard.
func (d *Detector) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	p := d.peers[h.Peer]
	if p == nil || h.Incarnation.Process == 0 {
		return
	}
	sameProcess := p.known && h.Incarnation.Process == p.incarnation.Process
	if sameProcess && h.Incarnation.Refutations < p.incarnation.Refutations {
		return
	}
	if p.known && !sameProcess {
		p.accrual = accrualDetector{}
	}
	d.updateIncarnation(h.Peer, p, h.Incarnation)
	d.clearSuspicion(now, h.Peer, p, "")
	p.accrual.observe(now, d.timing.TickInterval)
	p.known, p.voting, p.healthScore = true, h.Voting, h.HealthScore
	p.opinions, p.opinionsReceivedAt = h.Opinions, now
	if o, ok := h.Opinions[d.self]; ok && o.Suspected && o.Incarnation == d.incarnation {
		d.incarnation.Refutations++
	}
	d.applyRefutations(now, h)
}

// updateIncarnation notes in which incarnation a peer is.
func (d *Detector) updateIncarnation(name string, p *peer, incarnation Incarnation) {
	if p.verdictReached && incarnation != p.incarnation {
		d.emitDecision(Returned{Controller: name, Incarnation: incarnation, FailedIncarnation: p.incarnation})
		p.verdictReached = false
	}
	p.incarnation = incarnation
}

func (d *Detector) emit(effect Effect) { d.effects = append(d.effects, effect) }

func (d *Detector) emitDecision(decision Decision) { d.emit(DecisionMade{Decision: decision}) }
