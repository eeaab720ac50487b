// Package failuredetector decides whether other controllers have failed.
//
// Each controller monitors the heartbeats of the others with an adaptive detector (see accrualDetector). A controller
// that is no longer in contact is suspected: its peers are asked to probe it, and the suspicion is sent to all
// controllers in the heartbeats. A verdict is reached once a quorum considers the same incarnation failed. A suspicion
// alone only causes probes, and a verdict takes effect only through the ownership record.
//
// Detector is a pure state machine: it performs no I/O, reads no clock and is not safe for concurrent use. The caller
// passes each event to Step and carries out the effects in the order in which they were returned. After each Tick, it
// publishes Incarnation, HealthScore and Opinions, which are sent in the heartbeats to the peers.
package failuredetector

import (
	"slices"
	"time"
)

// Timing holds the intervals of the detector, all of which are derived from the configuration.
type Timing struct {
	// TickInterval is the time between two Ticks, and the maximum time between two heartbeats of a peer.
	TickInterval time.Duration
	// SuspicionTimeout is how long a suspicion must last, without a successful probe, before the observer considers the
	// peer failed.
	SuspicionTimeout time.Duration
	// OpinionTTL is how long the opinions of a peer are valid.
	OpinionTTL time.Duration
}

// Incarnation identifies a period in the lifetime of a controller. A new one begins when the controller restarts or
// refutes a suspicion. Process distinguishes processes of the same name. Refutations counts how often the process has
// learned that it is suspected; it refutes a suspicion by incrementing this number.
type Incarnation struct {
	Process, Refutations uint64
}

// noContact is the value of SinceLastContact if the observer never had contact with the controller.
const noContact = -1

// Opinion is what one controller, the observer, believes about another.
type Opinion struct {
	Incarnation Incarnation
	// SinceLastContact is the time since the observer last had direct contact with the controller. It is negative if
	// there was none.
	SinceLastContact time.Duration
	// Suspected reports whether the observer suspects the controller. If so, SuspectedFor is the duration of the
	// suspicion, and Phi is a measure of how unlikely the time since the last contact is.
	Suspected    bool
	SuspectedFor time.Duration
	Phi          float64
	// Failed reports whether the observer considers the controller failed. UnreachableThrough lists the peers whose
	// probes did not reach the controller.
	Failed             bool
	UnreachableThrough []string
}

// peer is the state kept for one other controller.
type peer struct {
	accrual     accrualDetector
	hadContact  bool // whether there was ever contact with it; if so, incarnation is set
	incarnation Incarnation
	voting      bool
	healthScore int

	opinions           map[string]Opinion
	opinionsReceivedAt time.Duration

	suspected          bool
	suspectedSince     time.Duration
	failed             bool // whether this controller considers it failed
	probedAt           time.Duration
	unreachableThrough map[string]bool // peers whose probes failed during the current suspicion
	verdictReached     bool            // whether there is a verdict on its current incarnation
}

// Detector is the state machine of a single controller. See the package comment for how to drive it.
type Detector struct {
	self        string
	timing      Timing
	incarnation Incarnation
	voting      bool
	peers       map[string]*peer
	peerNames   []string // sorted, so that effects are deterministic
	lastTick    time.Duration
	healthScore int
	effects     []Effect // to be returned by the current Step
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
		d.peers[name] = &peer{accrual: accrualDetector{lastContactAt: now}, unreachableThrough: map[string]bool{}}
	}
	return d
}

// Step processes an event and returns the effects that the caller must carry out, in order. The caller owns the
// returned slice.
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

// Incarnation returns the current incarnation of this process.
func (d *Detector) Incarnation() Incarnation { return d.incarnation }

// HealthScore returns a measure of how late the ticks of this process are. It is 0 while they are punctual and rises
// with each late tick.
func (d *Detector) HealthScore() int { return d.healthScore }

// SetVoting sets whether this process counts towards quorums. A process must not vote shortly after its start.
func (d *Detector) SetVoting(voting bool) { d.voting = voting }

// Opinions returns this controller's opinion of each other controller.
func (d *Detector) Opinions(now time.Duration) map[string]Opinion {
	opinions := make(map[string]Opinion, len(d.peers))
	for name, p := range d.peers {
		opinions[name] = d.opinionOf(now, p)
	}
	return opinions
}

func (d *Detector) opinionOf(now time.Duration, p *peer) Opinion {
	o := Opinion{Incarnation: p.incarnation, SinceLastContact: noContact, Suspected: p.suspected, Failed: p.failed}
	if p.hadContact {
		o.SinceLastContact = now - p.accrual.lastContactAt
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
		case !p.hadContact:
			// Contact with a peer cannot be lost before the first one.
		case !p.suspected && d.phi(now, p) >= phiThreshold:
			d.suspect(now, name, p)
		case p.suspected:
			d.confirmSuspicion(now, name, p)
		}
		d.evaluateVerdict(now, name, p)
	}
}

// handleHeartbeat processes a peer's heartbeat. It ignores heartbeats from unknown controllers, from versions without
// incarnations, and from incarnations older than the latest known one.
func (d *Detector) handleHeartbeat(now time.Duration, h PeerHeartbeat) {
	p := d.peers[h.Peer]
	if p == nil || h.Incarnation.Process == 0 {
		return
	}
	sameProcess := p.hadContact && h.Incarnation.Process == p.incarnation.Process
	if sameProcess && h.Incarnation.Refutations < p.incarnation.Refutations {
		return
	}
	if p.hadContact && !sameProcess {
		p.accrual = accrualDetector{}
	}
	d.updateIncarnation(h.Peer, p, h.Incarnation)
	d.clearSuspicion(now, h.Peer, p, "")
	p.accrual.recordHeartbeat(now, d.timing.TickInterval)
	p.hadContact, p.voting, p.healthScore = true, h.Voting, h.HealthScore
	p.opinions, p.opinionsReceivedAt = h.Opinions, now
	if o, ok := h.Opinions[d.self]; ok && o.Suspected && o.Incarnation == d.incarnation {
		d.incarnation.Refutations++
	}
	d.applyRefutations(now, h)
}

// updateIncarnation records the current incarnation of a peer.
func (d *Detector) updateIncarnation(name string, p *peer, incarnation Incarnation) {
	if p.verdictReached && incarnation != p.incarnation {
		d.emitDecision(Rejoined{Controller: name, Incarnation: incarnation, FailedIncarnation: p.incarnation})
		p.verdictReached = false
	}
	p.incarnation = incarnation
}

func (d *Detector) emit(effect Effect) { d.effects = append(d.effects, effect) }

func (d *Detector) emitDecision(decision Decision) { d.emit(DecisionMade{Decision: decision}) }
