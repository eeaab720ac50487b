package scheduler

import (
	"time"

	"pinebay/internal/protocol"
)

const (
	// probesPerCore is how many machines a controller with a whole core probes a second, beside its other work.
	// Each probe opens a connection and decodes a heartbeat.
	probesPerCore = 1000
	// probeInterval is the time between two rounds of probes.
	probeInterval = time.Second
)

// prober asks machines for a heartbeat that were there before the term. Their workers may still be waiting for the
// last leader's answer, for most of a lease if it fell silent, and nothing can be placed on them before a heartbeat.
// A small controller probes a few at a time: hundreds at once made it fall behind for seconds, while most machines
// sent a heartbeat by themselves.
type prober struct {
	machinesListed bool    // the cloud's first list of the term has come
	queue          []Probe // still to be sent
	nextRoundAt    time.Duration
}

// enqueue queues the probe of a machine.
func (p *prober) enqueue(machine, addr string) {
	p.queue = append(p.queue, Probe{Machine: machine, Addr: addr})
}

// enqueueListed queues the running machines of the cloud's first list of the term, which has their addresses. It
// returns false for later lists.
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

// next removes the next probe from the queue.
func (p *prober) next() (probe Probe, ok bool) {
	if len(p.queue) == 0 {
		return Probe{}, false
	}
	probe = p.queue[0]
	p.queue = p.queue[1:]
	return probe, true
}

// sendProbes probes as many machines as a round allows, of those that have not sent a heartbeat meanwhile.
func (c *Scheduler) sendProbes(now time.Duration) {
	if !c.prober.roundDue(now) {
		return
	}
	c.prober.nextRoundAt = now + probeInterval
	left := max(1, int(probesPerCore*c.cfg.Quota.CoreShare))
	for left > 0 {
		probe, ok := c.prober.next()
		if !ok {
			return
		}
		if !c.machines.Registered(probe.Machine) && !c.autoscaler.RecentlyReleased(probe.Machine) {
			c.emit(probe)
			left--
		}
	}
}
