package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/election"
)

// evaluateVerdict reaches a verdict on a peer if a quorum of all controllers considers the same incarnation failed and
// no voting controller had recent contact with it. Only controllers that vote and whose opinions are recent are
// counted.
func (d *Detector) evaluateVerdict(now time.Duration, name string, p *peer) {
	if !p.failed || !d.voting || p.verdictReached {
		return
	}
	evidence, inContact := d.collectEvidence(now, name, p)
	if inContact || !election.IsQuorum(len(evidence), len(d.peerNames)) {
		return
	}
	p.verdictReached = true
	d.emitDecision(Verdict{
		Controller:  name,
		Incarnation: p.incarnation,
		GroupSize:   len(d.peerNames) + 1,
		Evidence:    evidence,
	})
}

// collectEvidence returns the opinions that the current incarnation of a peer has failed, sorted by observer.
// inContact is true if a controller recently had contact with the peer, which rules out a verdict.
func (d *Detector) collectEvidence(now time.Duration, name string, p *peer) (evidence []Observation, inContact bool) {
	evidence = append(evidence, Observation{Observer: d.self, HealthScore: d.healthScore, Opinion: d.opinionOf(now, p)})
	for _, other := range d.peerNames {
		o := d.peers[other]
		opinion, ok := o.opinions[name]
		if other == name || !ok || !o.voting || now-o.opinionsReceivedAt > d.timing.OpinionTTL {
			continue
		}
		switch {
		case opinion.Incarnation == p.incarnation && opinion.Failed:
			evidence = append(evidence, Observation{Observer: other, HealthScore: o.healthScore, Opinion: opinion})
		case d.hadRecentContact(opinion) && !opinion.Suspected:
			return nil, true
		}
	}
	slices.SortFunc(evidence, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	return evidence, false
}
