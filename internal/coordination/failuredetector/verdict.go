package failuredetector

import (
	"cmp"
	"slices"
	"time"

	"pinebay/internal/coordination/election"
)

// evaluateVerdict reaches a verdict on a peer when a quorum of all controllers holds that the same
// incarnation has failed, and no voting one has heard it recently. Only controllers that vote and
// whose opinions are recent count.
func (d *Detector) evaluateVerdict(now time.Duration, name string, p *peer) {
	if !p.failed || !d.voting || p.verdictReached {
		return
	}
	evidence, heard := d.collectEvidence(now, name, p)
	if heard || !election.IsQuorum(len(evidence), len(d.peerNames)) {
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

// collectEvidence returns the opinions that a peer's incarnation has failed, by the observers'
// names. heard says that a controller has recently heard the peer, so that there can be no verdict.
func (d *Detector) collectEvidence(now time.Duration, name string, p *peer) (evidence []Observation, heard bool) {
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
		case d.heardRecently(opinion) && !opinion.Suspected:
			return nil, true
		}
	}
	slices.SortFunc(evidence, func(a, b Observation) int { return cmp.Compare(a.Observer, b.Observer) })
	return evidence, false
}
