package scheduler

import (
	"time"

	"pinebay/internal/protocol"
)

const (
	// probesPerSecondPerCore is the number of machines per second that a controller with a whole core can probe in
	// addition to its other work. Each probe opens a connection and decodes a heartbeat.
	probesPerSecondPerCore = 1000
	// probeInterval is the time between the beginnings of two rounds of probes.
	probeInterval = time.Second
)

// prober asks machines that existed before the term for a heartbeat. No task can be placed on a machine before its
// first heartbeat. Without a probe, that can take most of a lease: if the previous leader has stopped answering, the
// worker may still be waiting for its answer. A controller with a small share of a core probes only a few machines at a
// time: sending hundreds of probes at once delayed its other work by seconds, while most machines sent a heartbeat
// without being probed.
type prober struct {
	machinesListed bool    // the first machine list of the term has arrived
	queue          []Probe // probes to be sent
	nextRoundAt    time.Duration
	leftInRound    int // probes that may still be sent in this round
}

// enqueue queues a probe of a machine.
func (p *prober) enqueue(machine, addr string) {
	p.queue = append(p.queue, Probe{Machine: machine, Addr: addr})
}

// enqueueListed queues probes of the running machines in the first machine list of the term, which contains their
// addresses. It returns false for later lists.
func (p *prober) enqueueListed(list []protocol.ListedMachine) bool {
	if p.machinesListed {
		return false
	}
	p.machinesListed = true
	for i := range list {
		if m := &list[i]; m.State == protocol.MachineRunning && m.Addr != "" {
			p.enqueue(m.Name, m.Addr)
		}
	}
	return true
}

// beginRoundIfDue begins a round of at most size probes if one is due.
func (p *prober) beginRoundIfDue(now time.Duration, size int) {
	if now >= p.nextRoundAt {
		p.nextRoundAt = now + probeInterval
		p.leftInRound = size
	}
}

// next removes and returns the first probe in the queue, if the round allows another one.
func (p *prober) next() (probe Probe, ok bool) {
	if p.leftInRound == 0 || len(p.queue) == 0 {
		return Probe{}, false
	}
	probe = p.queue[0]
	p.queue = p.queue[1:]
	return probe, true
}

// sendProbes sends queued probes as far as the round and the limit of requests allow. It skips machines that have sent
// a heartbeat in the meantime.
func (s *Scheduler) sendProbes(now time.Duration) {
	if len(s.prober.queue) == 0 {
		return
	}
	s.prober.beginRoundIfDue(now, max(1, int(probesPerSecondPerCore*s.cfg.Quota.CoreShare)))
	for s.workerRequests.mayProbe() {
		probe, ok := s.prober.next()
		if !ok {
			return
		}
		if !s.machines.Registered(probe.Machine) && !s.autoscaler.RecentlyReleased(probe.Machine) {
			s.emit(probe)
			s.workerRequests.probes[probe.Machine] = true
			s.prober.leftInRound--
		}
	}
}

// handleProbeReply applies the heartbeat with which a machine has answered a probe, if it has, and sends the requests
// that waited for the end of this one.
func (s *Scheduler) handleProbeReply(now time.Duration, e ProbeReply) {
	delete(s.workerRequests.probes, e.Machine)
	if e.Heartbeat != nil {
		if s.stepDownForLaterTerm(e.Heartbeat) {
			return
		}
		s.applyHeartbeat(now, e.Heartbeat)
	}
	s.sendWaitingCommands(now)
	s.sendProbes(now)
}
