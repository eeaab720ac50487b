// Package failuredetector judges whether other controllers have failed. Each controller watches the
// heartbeats of the others by an adaptive detector, has peers probe whom it no longer hears, and tells
// the others what it holds; a verdict is what a majority holds of the same incarnation. Nothing follows
// from a suspicion but probes; a verdict comes into force by the ownership record.
//
// Machine is a pure step function: it does no I/O and reads no clock.
package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/election"
)

// Timing are derived from the settings.
type Timing struct {
	// TickInterval is the time between two ticks, and at most between two heartbeats of a peer.
	TickInterval time.Duration
	// SuspicionTimeout is for how long a suspicion must last, without a probe that gets through, until the
	// observer holds that the peer has failed.
	SuspicionTimeout time.Duration
	// OpinionTTL is for how long what a peer says counts.
	OpinionTTL time.Duration
}

// Incarnation is one span of a controller's life: Life tells its processes apart, and Number rises when
// the process hears that it is suspected, to refute that.
type Incarnation struct {
	Process, Refutations uint64
}

// Opinion is what one controller holds of another.
type Opinion struct {
	Incarnation Incarnation
	// HeardAgo is how long ago the observer last heard the controller itself; negative: never.
	HeardAgo time.Duration
	// Suspected says that it is suspected, SuspectedFor since when, and Phi how unlikely its silence is.
	Suspected    bool
	SuspectedFor time.Duration
	Phi          float64
	// Failed says that the observer holds that it has failed; Probed names the peers through which it
	// could not be reached.
	Failed             bool
	UnreachableThrough []string
}

// Events.
type (
	// Event is what a step takes.
	Event interface{ event() }
	// Tick lets time pass; ticks come every Interval.
	Tick struct{}
	// PeerHeartbeat is a message of a peer: in which incarnation it is, how its own timers fare (see Health),
	// whether it counts for majorities, and what it holds of the others.
	PeerHeartbeat struct {
		Peer        string
		Incarnation Incarnation
		HealthScore int
		Voting      bool
		Opinions    map[string]Opinion
	}
	// ProbeResult is the outcome of a probe of Target through a peer.
	ProbeResult struct {
		Target, Through string
		Reached         bool
	}
)

// Effects.
type (
	// Effect is what a step asks for.
	Effect interface{ effect() }
	// Probe asks that the target be probed through each of the peers, and answered by Probed.
	Probe struct {
		Target  string
		Through []string
	}
	// DecisionMade tells of a decision.
	DecisionMade struct{ Decision Decision }
)

func (Tick) event()          {}
func (PeerHeartbeat) event() {}
func (ProbeResult) event()   {}
func (Probe) effect()        {}
func (DecisionMade) effect() {}

// peer is what is known of one other controller.
type peer struct {
	accrual     accrualDetector
	incarnation Incarnation
	known       bool // its incarnation was heard
	voting      bool
	healthScore int
	// opinions are what it holds, as of opinionsReceivedAt.
	opinions           map[string]Opinion
	opinionsReceivedAt time.Duration

	suspected          bool
	suspectedSince     time.Duration
	failed             bool
	probedAt           time.Duration
	unreachableThrough map[string]bool // peers whose probes have failed since it is suspected
	verdictReached     bool            // there is one on its incarnation
}

// Detector is a controller's view of the others.
type Detector struct {
	self        string
	timing      Timing
	incarnation Incarnation
	voting      bool
	peers       map[string]*peer
	peerNames   []string
	lastTick    time.Duration
	healthScore int
	effects     []Effect
}

// New returns the machine of a process that has just begun, with the given life.
func New(now time.Duration, self string, life uint64, peers []string, times Timing) *Detector {
	m := &Detector{
		self: self, timing: times, incarnation: Incarnation{Process: life}, peers: map[string]*peer{}, lastTick: now,
		peerNames: slices.Sorted(slices.Values(peers)),
	}
	for _, name := range m.peerNames {
		m.peers[name] = &peer{accrual: accrualDetector{lastHeardAt: now}, unreachableThrough: map[string]bool{}}
	}
	return m
}

// Step takes an event and returns what is to be done.
func (m *Detector) Step(now time.Duration, event Event) []Effect {
	m.effects = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case PeerHeartbeat:
		m.handleHeartbeat(now, e)
	case ProbeResult:
		m.handleProbeResult(now, e)
	}
	return m.effects
}

// Incarnation is the one that this process is in.
func (m *Detector) Incarnation() Incarnation { return m.incarnation }

// HealthScore tells how the own timers fare: 0 as they should, higher the more of them fired late.
func (m *Detector) HealthScore() int { return m.healthScore }

// SetVoting says whether this process counts for majorities: not while it has just begun.
func (m *Detector) SetVoting(counts bool) { m.voting = counts }

// Opinions returns what this controller holds of the others.
func (m *Detector) Opinions(now time.Duration) map[string]Opinion {
	out := make(map[string]Opinion, len(m.peers))
	for name, p := range m.peers {
		out[name] = m.opinionOf(now, p)
	}
	return out
}

func (m *Detector) opinionOf(now time.Duration, p *peer) Opinion {
	o := Opinion{Incarnation: p.incarnation, HeardAgo: -1, Suspected: p.suspected, Failed: p.failed}
	if p.known {
		o.HeardAgo = now - p.accrual.lastHeardAt
	}
	if p.suspected {
		o.SuspectedFor, o.Phi = now-p.suspectedSince, m.phi(now, p)
		for name := range p.unreachableThrough {
			o.UnreachableThrough = append(o.UnreachableThrough, name)
		}
		slices.Sort(o.UnreachableThrough)
	}
	return o
}

// maxHealthScore bounds how far lateness of the own timers widens the windows.
const maxHealthScore = 8

// updateHealthScore notes how late this tick is. A tick that comes a half of an interval late costs a step,
// one that is several intervals late as many, and a punctual one gives a step back.
func (m *Detector) updateHealthScore(now time.Duration) {
	late := now - m.lastTick - m.timing.TickInterval
	m.lastTick = now
	switch {
	case late > m.timing.TickInterval/2:
		m.healthScore = min(maxHealthScore, m.healthScore+1+int(late/m.timing.TickInterval))
	case m.healthScore > 0:
		m.healthScore--
	}
}

// slack widens the windows by the own lateness.
func (m *Detector) slack() time.Duration { return time.Duration(m.healthScore) * m.timing.TickInterval }

func (m *Detector) phi(now time.Duration, p *peer) float64 {
	return p.accrual.phi(now, m.timing.TickInterval, m.slack())
}

func (m *Detector) tick(now time.Duration) {
	m.updateHealthScore(now)
	for _, name := range m.peerNames {
		p := m.peers[name]
		switch {
		case !p.known:
			// Nobody can be missed who was never heard.
		case !p.suspected && m.phi(now, p) >= phiThreshold:
			m.suspect(now, name, p)
		case p.suspected:
			m.confirmSuspicion(now, name, p)
		}
		m.evaluateVerdict(now, name, p)
	}
}

// suspect begins a suspicion, and has the other peers probe.
func (m *Detector) suspect(now time.Duration, name string, p *peer) {
	p.suspected, p.suspectedSince, p.failed = true, now, false
	clear(p.unreachableThrough)
	m.emitDecision(
		Suspected{
			Controller:  name,
			Incarnation: p.incarnation,
			SilentFor:   now - p.accrual.lastHeardAt,
			Phi:         m.phi(now, p),
			HealthScore: m.healthScore,
		},
	)
	m.requestProbes(now, name, p)
}

// confirmSuspicion has a suspected peer probed again, and holds that it has failed once the suspicion has lasted
// and nobody got through. Without a peer to ask, an observer holds nothing: it is as likely cut off.
func (m *Detector) confirmSuspicion(now time.Duration, name string, p *peer) {
	if now-p.probedAt >= m.timing.SuspicionTimeout/2 {
		m.requestProbes(now, name, p)
	}
	p.failed = p.failed || now-p.suspectedSince >= m.timing.SuspicionTimeout+m.slack() && len(p.unreachableThrough) > 0
}

func (m *Detector) requestProbes(now time.Duration, target string, p *peer) {
	p.probedAt = now
	var through []string
	for _, name := range m.peerNames {
		if o := m.peers[name]; name != target && o.known && !o.suspected {
			through = append(through, name)
		}
	}
	if len(through) > 0 {
		m.effects = append(m.effects, Probe{Target: target, Through: through})
	}
}

func (m *Detector) handleProbeResult(now time.Duration, e ProbeResult) {
	p := m.peers[e.Target]
	if p == nil || m.peers[e.Through] == nil || !p.suspected {
		return
	}
	if e.Reached {
		m.clearSuspicion(now, e.Target, p, e.Through)
		p.accrual.lastReachedAt = now // it lives; the way between us is what failed
		return
	}
	p.unreachableThrough[e.Through] = true
}

// clearSuspicion ends a suspicion, because the peer was heard, or through whom it was reached. An incarnation on
// which there is a verdict is over: it stays suspected, and so learns that it has to go on as another.
func (m *Detector) clearSuspicion(now time.Duration, name string, p *peer, through string) {
	if !p.suspected || p.verdictReached {
		return
	}
	m.emitDecision(
		SuspicionCleared{
			Controller:     name,
			Incarnation:    p.incarnation,
			SuspectedFor:   now - p.suspectedSince,
			ReachedThrough: through,
		},
	)
	p.suspected, p.failed = false, false
	clear(p.unreachableThrough)
}

func (m *Detector) handleHeartbeat(now time.Duration, e PeerHeartbeat) {
	p := m.peers[e.Peer]
	if p == nil || e.Incarnation.Process == 0 ||
		p.known && e.Incarnation.Process == p.incarnation.Process &&
			e.Incarnation.Refutations < p.incarnation.Refutations {
		return // unknown, of a version without incarnations, or older than what we have heard
	}
	if p.known && e.Incarnation.Process != p.incarnation.Process {
		p.accrual = accrualDetector{}
	}
	m.updateIncarnation(e.Peer, p, e.Incarnation)
	m.clearSuspicion(now, e.Peer, p, "")
	p.accrual.observe(now, m.timing.TickInterval)
	p.known, p.voting, p.healthScore = true, e.Voting, e.HealthScore
	p.opinions, p.opinionsReceivedAt = e.Opinions, now
	if o, ok := e.Opinions[m.self]; ok && o.Suspected && o.Incarnation == m.incarnation {
		m.incarnation.Refutations++ // refuted: we live
	}
	m.applyRefutations(now, e)
}

// updateIncarnation notes in which incarnation a peer is.
func (m *Detector) updateIncarnation(name string, p *peer, is Incarnation) {
	if p.verdictReached && is != p.incarnation {
		m.emitDecision(Returned{Controller: name, Incarnation: is, FailedIncarnation: p.incarnation})
		p.verdictReached = false
	}
	p.incarnation = is
}

// applyRefutations ends suspicions that a peer knows better: it has heard a later incarnation, and lately.
func (m *Detector) applyRefutations(now time.Duration, e PeerHeartbeat) {
	for _, name := range m.peerNames {
		p, o := m.peers[name], e.Opinions[name]
		later := o.Incarnation.Process == p.incarnation.Process && o.Incarnation.Refutations > p.incarnation.Refutations
		if name != e.Peer && p.suspected && later && o.HeardAgo >= 0 && o.HeardAgo <= m.timing.OpinionTTL {
			m.updateIncarnation(name, p, o.Incarnation)
			m.clearSuspicion(now, name, p, e.Peer)
			p.accrual.lastReachedAt = now - o.HeardAgo
		}
	}
}

// evaluateVerdict reaches a verdict on a peer when a majority of all controllers holds that the same incarnation
// has failed, and none that counts has heard it since. Only those count that have not just begun, and
// whose word is fresh.
func (m *Detector) evaluateVerdict(now time.Duration, name string, p *peer) {
	if !p.failed || !m.voting || p.verdictReached {
		return
	}
	evidence := []Observation{{Observer: m.self, HealthScore: m.healthScore, Opinion: m.opinionOf(now, p)}}
	for _, other := range m.peerNames {
		o := m.peers[other]
		opinion, ok := o.opinions[name]
		if other == name || !ok || !o.voting || now-o.opinionsReceivedAt > m.timing.OpinionTTL {
			continue
		}
		switch {
		case opinion.Incarnation == p.incarnation && opinion.Failed:
			evidence = append(evidence, Observation{Observer: other, HealthScore: o.healthScore, Opinion: opinion})
		case opinion.HeardAgo >= 0 && opinion.HeardAgo <= m.timing.OpinionTTL && !opinion.Suspected:
			return // it is heard elsewhere
		}
	}
	if !election.IsQuorum(len(evidence), len(m.peerNames)) {
		return
	}
	p.verdictReached = true
	slices.SortFunc(evidence, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	m.emitDecision(
		Verdict{Controller: name, Incarnation: p.incarnation, GroupSize: len(m.peerNames) + 1, Evidence: evidence},
	)
}

func (m *Detector) emitDecision(d Decision) { m.effects = append(m.effects, DecisionMade{d}) }
