package scheduler

import (
	"time"

	"pinebay/internal/protocol"
)

// inspectsPerCore is how many machines a whole core inspects a second, next to its other
// work. Each inspection opens a connection and decodes a report.
const inspectsPerCore = 1000

// inspector asks the machines that were there before the term how they stand. Their
// workers may still be waiting for the last leader's answer, for most of a lease if it
// fell silent, and until they are heard nothing can be placed there. A small controller
// asks a few at a time: it fell behind for seconds when it asked hundreds at once, while
// most of them reported by themselves.
type inspector struct {
	listed bool      // the first list has come
	queue  []Inspect // still to be asked
	next   time.Duration
}

// inspectListed takes in the cloud's first list of the term, which tells the addresses.
func (c *Core) inspectListed(now time.Duration, list []protocol.ListedMachine) {
	if c.inspector.listed {
		return
	}
	c.inspector.listed = true
	for i := range list {
		l := &list[i]
		if l.State == protocol.MachineRunning && l.Addr != "" {
			c.inspector.queue = append(c.inspector.queue, Inspect{l.Name, l.Addr})
		}
	}
	c.inspectSome(now)
}

// inspectSome asks as many machines as a second has room for, of those that have not
// been heard meanwhile.
func (c *Core) inspectSome(now time.Duration) {
	if len(c.inspector.queue) == 0 || now < c.inspector.next {
		return
	}
	c.inspector.next = now + time.Second
	most := max(1, int(inspectsPerCore*c.cfg.Quota.CoreShare))
	for len(c.inspector.queue) > 0 && most > 0 {
		e := c.inspector.queue[0]
		c.inspector.queue = c.inspector.queue[1:]
		if !c.machines.Registered(e.Machine) && !c.fleet.RecentlyReleased(e.Machine) {
			c.emit(e)
			most--
		}
	}
}
