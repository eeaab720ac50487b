package scheduler

import (
	"time"

	"pinebay/internal/protocol"
)

// probesPerCore is how many machines a whole core inspects a second, next to its other
// work. Each inspection opens a connection and decodes a report.
const probesPerCore = 1000

// prober asks the machines that were there before the term how they stand. Their
// workers may still be waiting for the last leader's answer, for most of a lease if it
// fell silent, and until they are heard nothing can be placed there. A small controller
// asks a few at a time: it fell behind for seconds when it asked hundreds at once, while
// most of them reported by themselves.
type prober struct {
	machinesListed bool    // the first list has come
	queue          []Probe // still to be asked
	nextProbesAt   time.Duration
}

// probeListed takes in the cloud's first list of the term, which tells the addresses.
func (c *Scheduler) probeListed(now time.Duration, list []protocol.ListedMachine) {
	if c.prober.machinesListed {
		return
	}
	c.prober.machinesListed = true
	for i := range list {
		l := &list[i]
		if l.State == protocol.MachineRunning && l.Addr != "" {
			c.prober.queue = append(c.prober.queue, Probe{l.Name, l.Addr})
		}
	}
	c.sendProbes(now)
}

// sendProbes asks as many machines as a second has room for, of those that have not
// been heard meanwhile.
func (c *Scheduler) sendProbes(now time.Duration) {
	if len(c.prober.queue) == 0 || now < c.prober.nextProbesAt {
		return
	}
	c.prober.nextProbesAt = now + time.Second
	most := max(1, int(probesPerCore*c.cfg.Quota.CoreShare))
	for len(c.prober.queue) > 0 && most > 0 {
		e := c.prober.queue[0]
		c.prober.queue = c.prober.queue[1:]
		if !c.machines.Registered(e.Machine) && !c.autoscaler.RecentlyReleased(e.Machine) {
			c.emit(e)
			most--
		}
	}
}
