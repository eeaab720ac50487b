package scheduler

import (
	"time"

	"pinebay/internal/protocol"
)

const (
	// probesPerSecondPerCore is the number of machines per second that a controller with a whole core can probe in
	// addition to its other work. Each probe opens a connection and decodes a heartbeat.
	probesPerSecondPerCore = 1000
	// probeInterval is the time between two rounds of probes.
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

// roundDue reports whether probes may be sent now.
func (p *prober) roundDue(now time.Duration) bool { return len(p.queue) > 0 && now >= p.nextRoundAt }

// next removes and returns the first probe in the queue.
func (p *prober) next() (probe Probe, ok bool) {
	if len(p.queue) == 0 {
		return Probe{}, false
	}
	probe = p.queue[0]
	p.queue = p.queue[1:]
	return probe, true
}

// sendProbes sends one round of probes, skipping machines that have sent a heartbeat in the meantime.
func (s *Scheduler) sendProbes(now time.Duration) {
	if !s.prober.roundDue(now) {
		return
	}
	s.prober.nextRoundAt = now + probeInterval
	remaining := max(1, int(probesPerSecondPerCore*s.cfg.Quota.CoreShare))
	for remaining > 0 {
		probe, ok := s.prober.next()
		if !ok {
			return
		}
		if !s.machines.Registered(probe.Machine) && !s.autoscaler.RecentlyReleased(probe.Machine) {
			s.emit(probe)
			remaining--
		}
	}
}
