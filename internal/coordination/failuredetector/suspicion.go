package failuredetector

import "time"

// suspect starts a suspicion and requests probes of the controller through the other peers.
func (d *Detector) suspect(now time.Duration, name string, p *peer) {
	p.suspected, p.suspectedSince, p.failed = true, now, false
	clear(p.unreachableThrough)
	d.emitDecision(Suspected{
		Controller:       name,
		Incarnation:      p.incarnation,
		SinceLastContact: now - p.accrual.lastContactAt,
		Phi:              d.phi(now, p),
		HealthScore:      d.healthScore,
	})
	d.requestProbes(now, name, p)
}

// confirmSuspicion requests further probes of a suspected controller, and considers it failed once the suspicion has
// lasted long enough without a successful probe. An observer without any peer that could probe draws no conclusion,
// since it is just as likely to be partitioned itself.
func (d *Detector) confirmSuspicion(now time.Duration, name string, p *peer) {
	if now-p.probedAt >= d.timing.SuspicionTimeout/2 {
		d.requestProbes(now, name, p)
	}
	timedOut := now-p.suspectedSince >= d.timing.SuspicionTimeout+d.slack()
	p.failed = p.failed || timedOut && len(p.unreachableThrough) > 0
}

// requestProbes requests probes of the target through every peer that is not suspected.
func (d *Detector) requestProbes(now time.Duration, target string, p *peer) {
	p.probedAt = now
	var through []string
	for _, name := range d.peerNames {
		if o := d.peers[name]; name != target && o.hadContact && !o.suspected {
			through = append(through, name)
		}
	}
	if len(through) > 0 {
		d.emit(Probe{Target: target, Through: through})
	}
}

func (d *Detector) handleProbeResult(now time.Duration, r ProbeResult) {
	p := d.peers[r.Target]
	if p == nil || d.peers[r.Through] == nil || !p.suspected {
		return
	}
	if !r.Reached {
		p.unreachableThrough[r.Through] = true
		return
	}
	// The target is alive. Only the connection between it and this controller has failed.
	d.clearSuspicion(now, r.Target, p, r.Through)
	p.accrual.lastReachedAt = now
}

// clearSuspicion ends a suspicion because there was contact with the controller, or it was reached through a peer. An
// incarnation with a verdict remains suspected, so that it learns of the verdict and continues as a new incarnation.
func (d *Detector) clearSuspicion(now time.Duration, name string, p *peer, through string) {
	if !p.suspected || p.verdictReached {
		return
	}
	d.emitDecision(SuspicionCleared{
		Controller:     name,
		Incarnation:    p.incarnation,
		SuspectedFor:   now - p.suspectedSince,
		ReachedThrough: through,
	})
	p.suspected, p.failed = false, false
	clear(p.unreachableThrough)
}

// applyRefutations ends suspicions that a peer has refuted, because it recently had contact with a later incarnation of
// the suspected controller.
func (d *Detector) applyRefutations(now time.Duration, h PeerHeartbeat) {
	for _, name := range d.peerNames {
		p, o := d.peers[name], h.Opinions[name]
		refuted := o.Incarnation.Process == p.incarnation.Process &&
			o.Incarnation.Refutations > p.incarnation.Refutations
		if name != h.Peer && p.suspected && refuted && d.hadRecentContact(o) {
			d.updateIncarnation(name, p, o.Incarnation)
			d.clearSuspicion(now, name, p, h.Peer)
			p.accrual.lastReachedAt = now - o.SinceLastContact
		}
	}
}

// hadRecentContact reports whether the observer recently had direct contact with the controller.
func (d *Detector) hadRecentContact(o Opinion) bool {
	return o.SinceLastContact >= 0 && o.SinceLastContact <= d.timing.OpinionTTL
}
