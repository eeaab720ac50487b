// Package suspicion judges whether other controllers have failed. Each controller watches the
// heartbeats of the others by an adaptive detector, has peers probe whom it no longer hears, and tells
// the others what it holds; a verdict is what a majority holds of the same incarnation. Nothing follows
// from a suspicion but probes; a verdict comes into force by the ownership record.
//
// Machine is a pure step function: it does no I/O and reads no clock.
package suspicion

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/election"
)

// Times are derived from the settings.
type Times struct {
	// Interval is the time between two ticks, and at most between two heartbeats of a peer.
	Interval time.Duration
	// Confirm is for how long a suspicion must last, without a probe that gets through, until the
	// observer holds that the peer has failed.
	Confirm time.Duration
	// Fresh is for how long what a peer says counts.
	Fresh time.Duration
}

// Incarnation is one span of a controller's life: Life tells its processes apart, and Number rises when
// the process hears that it is suspected, to refute that.
type Incarnation struct {
	Life, Number uint64
}

// Opinion is what one controller holds of another.
type Opinion struct {
	Of Incarnation
	// HeardAgo is how long ago the observer last heard the controller itself; negative: never.
	HeardAgo time.Duration
	// Suspected says that it is suspected, SuspectedFor since when, and Phi how unlikely its silence is.
	Suspected    bool
	SuspectedFor time.Duration
	Phi          float64
	// Failed says that the observer holds that it has failed; Probed names the peers through which it
	// could not be reached.
	Failed bool
	Probed []string
}

// Events.
type (
	// Event is what a step takes.
	Event interface{ event() }
	// Tick lets time pass; ticks come every Interval.
	Tick struct{}
	// Heard is a message of a peer: in which incarnation it is, how its own timers fare (see Health),
	// whether it counts for majorities, and what it holds of the others.
	Heard struct {
		Peer     string
		Is       Incarnation
		Health   int
		Counts   bool
		Opinions map[string]Opinion
	}
	// Probed is the outcome of a probe of Target through a peer.
	Probed struct {
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
	// Decided tells of a decision.
	Decided struct{ Decision Decision }
)

func (Tick) event()     {}
func (Heard) event()    {}
func (Probed) event()   {}
func (Probe) effect()   {}
func (Decided) effect() {}

// peer is what is known of one other controller.
type peer struct {
	accrual accrual
	is      Incarnation
	known   bool // its incarnation was heard
	counts  bool
	health  int
	// opinions are what it holds, as of opinionsAt.
	opinions   map[string]Opinion
	opinionsAt time.Duration

	suspected   bool
	since       time.Duration
	failed      bool
	probedAt    time.Duration
	unreachable map[string]bool // peers whose probes have failed since it is suspected
	verdict     bool            // there is one on its incarnation
}

// Machine is a controller's view of the others.
type Machine struct {
	self     string
	times    Times
	is       Incarnation
	counts   bool
	peers    map[string]*peer
	names    []string
	lastTick time.Duration
	health   int
	out      []Effect
}

// New returns the machine of a process that has just begun, with the given life.
func New(now time.Duration, self string, life uint64, peers []string, times Times) *Machine {
	m := &Machine{self: self, times: times, is: Incarnation{Life: life}, peers: map[string]*peer{}, lastTick: now,
		names: slices.Sorted(slices.Values(peers))}
	for _, name := range m.names {
		m.peers[name] = &peer{accrual: accrual{last: now}, unreachable: map[string]bool{}}
	}
	return m
}

// Step takes an event and returns what is to be done.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.out = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Heard:
		m.heard(now, e)
	case Probed:
		m.probed(now, e)
	}
	return m.out
}

// Incarnation is the one that this process is in.
func (m *Machine) Incarnation() Incarnation { return m.is }

// Health tells how the own timers fare: 0 as they should, higher the more of them fired late.
func (m *Machine) Health() int { return m.health }

// SetCounts says whether this process counts for majorities: not while it has just begun.
func (m *Machine) SetCounts(counts bool) { m.counts = counts }

// Opinions returns what this controller holds of the others.
func (m *Machine) Opinions(now time.Duration) map[string]Opinion {
	out := make(map[string]Opinion, len(m.peers))
	for name, p := range m.peers {
		out[name] = m.opinion(now, p)
	}
	return out
}

func (m *Machine) opinion(now time.Duration, p *peer) Opinion {
	o := Opinion{Of: p.is, HeardAgo: -1, Suspected: p.suspected, Failed: p.failed}
	if p.known {
		o.HeardAgo = now - p.accrual.last
	}
	if p.suspected {
		o.SuspectedFor, o.Phi = now-p.since, m.phi(now, p)
		for name := range p.unreachable {
			o.Probed = append(o.Probed, name)
		}
		slices.Sort(o.Probed)
	}
	return o
}

// maxHealth bounds how far lateness of the own timers widens the windows.
const maxHealth = 8

// judgeHealth notes how late this tick is. A tick that comes a half of an interval late costs a step,
// one that is several intervals late as many, and a punctual one gives a step back.
func (m *Machine) judgeHealth(now time.Duration) {
	late := now - m.lastTick - m.times.Interval
	m.lastTick = now
	switch {
	case late > m.times.Interval/2:
		m.health = min(maxHealth, m.health+1+int(late/m.times.Interval))
	case m.health > 0:
		m.health--
	}
}

// slack widens the windows by the own lateness.
func (m *Machine) slack() time.Duration { return time.Duration(m.health) * m.times.Interval }

func (m *Machine) phi(now time.Duration, p *peer) float64 {
	return p.accrual.phi(now, m.times.Interval, m.slack())
}

func (m *Machine) tick(now time.Duration) {
	m.judgeHealth(now)
	for _, name := range m.names {
		p := m.peers[name]
		switch {
		case !p.known:
			// Nobody can be missed who was never heard.
		case !p.suspected && m.phi(now, p) >= suspectPhi:
			m.suspect(now, name, p)
		case p.suspected:
			m.follow(now, name, p)
		}
		m.judge(now, name, p)
	}
}

// suspect begins a suspicion, and has the other peers probe.
func (m *Machine) suspect(now time.Duration, name string, p *peer) {
	p.suspected, p.since, p.failed = true, now, false
	clear(p.unreachable)
	m.decide(Suspected{Node: name, Of: p.is, Silent: now - p.accrual.last, Phi: m.phi(now, p), Health: m.health})
	m.probe(now, name, p)
}

// follow has a suspected peer probed again, and holds that it has failed once the suspicion has lasted
// and nobody got through. Without a peer to ask, an observer holds nothing: it is as likely cut off.
func (m *Machine) follow(now time.Duration, name string, p *peer) {
	if now-p.probedAt >= m.times.Confirm/2 {
		m.probe(now, name, p)
	}
	p.failed = p.failed || now-p.since >= m.times.Confirm+m.slack() && len(p.unreachable) > 0
}

func (m *Machine) probe(now time.Duration, target string, p *peer) {
	p.probedAt = now
	var through []string
	for _, name := range m.names {
		if o := m.peers[name]; name != target && o.known && !o.suspected {
			through = append(through, name)
		}
	}
	if len(through) > 0 {
		m.out = append(m.out, Probe{Target: target, Through: through})
	}
}

func (m *Machine) probed(now time.Duration, e Probed) {
	p := m.peers[e.Target]
	if p == nil || m.peers[e.Through] == nil || !p.suspected {
		return
	}
	if e.Reached {
		m.clear(now, e.Target, p, e.Through)
		p.accrual.reached = now // it lives; the way between us is what failed
		return
	}
	p.unreachable[e.Through] = true
}

// clear ends a suspicion, because the peer was heard, or through whom it was reached. An incarnation on
// which there is a verdict is over: it stays suspected, and so learns that it has to go on as another.
func (m *Machine) clear(now time.Duration, name string, p *peer, through string) {
	if !p.suspected || p.verdict {
		return
	}
	m.decide(Cleared{Node: name, Of: p.is, After: now - p.since, Through: through})
	p.suspected, p.failed = false, false
	clear(p.unreachable)
}

func (m *Machine) heard(now time.Duration, e Heard) {
	p := m.peers[e.Peer]
	if p == nil || e.Is.Life == 0 || p.known && e.Is.Life == p.is.Life && e.Is.Number < p.is.Number {
		return // unknown, of a version without incarnations, or older than what we have heard
	}
	if p.known && e.Is.Life != p.is.Life {
		p.accrual = accrual{}
	}
	m.goesOnAs(e.Peer, p, e.Is)
	m.clear(now, e.Peer, p, "")
	p.accrual.heard(now, m.times.Interval)
	p.known, p.counts, p.health = true, e.Counts, e.Health
	p.opinions, p.opinionsAt = e.Opinions, now
	if o, ok := e.Opinions[m.self]; ok && o.Suspected && o.Of == m.is {
		m.is.Number++ // refuted: we live
	}
	m.refute(now, e)
}

// goesOnAs notes in which incarnation a peer is.
func (m *Machine) goesOnAs(name string, p *peer, is Incarnation) {
	if p.verdict && is != p.is {
		m.decide(Returned{Node: name, Of: is, Verdict: p.is})
		p.verdict = false
	}
	p.is = is
}

// refute ends suspicions that a peer knows better: it has heard a later incarnation, and lately.
func (m *Machine) refute(now time.Duration, e Heard) {
	for _, name := range m.names {
		p, o := m.peers[name], e.Opinions[name]
		later := o.Of.Life == p.is.Life && o.Of.Number > p.is.Number
		if name != e.Peer && p.suspected && later && o.HeardAgo >= 0 && o.HeardAgo <= m.times.Fresh {
			m.goesOnAs(name, p, o.Of)
			m.clear(now, name, p, e.Peer)
			p.accrual.reached = now - o.HeardAgo
		}
	}
}

// judge reaches a verdict on a peer when a majority of all controllers holds that the same incarnation
// has failed, and none that counts has heard it since. Only those count that have not just begun, and
// whose word is fresh.
func (m *Machine) judge(now time.Duration, name string, p *peer) {
	if !p.failed || !m.counts || p.verdict {
		return
	}
	evidence := []Observation{{Observer: m.self, Health: m.health, Opinion: m.opinion(now, p)}}
	for _, other := range m.names {
		o := m.peers[other]
		opinion, ok := o.opinions[name]
		if other == name || !ok || !o.counts || now-o.opinionsAt > m.times.Fresh {
			continue
		}
		switch {
		case opinion.Of == p.is && opinion.Failed:
			evidence = append(evidence, Observation{Observer: other, Health: o.health, Opinion: opinion})
		case opinion.HeardAgo >= 0 && opinion.HeardAgo <= m.times.Fresh && !opinion.Suspected:
			return // it is heard elsewhere
		}
	}
	if !election.Majority(len(evidence), len(m.names)) {
		return
	}
	p.verdict = true
	slices.SortFunc(evidence, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	m.decide(Verdict{Node: name, Of: p.is, Controllers: len(m.names) + 1, Evidence: evidence})
}

func (m *Machine) decide(d Decision) { m.out = append(m.out, Decided{d}) }
