package scheduler

import (
	"maps"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
)

// zoneReturn is the part of the core that acts when a zone is lost and when it comes back
// (docs/zone-return.md). It is nil unless an operator has turned it on.
type zoneReturn struct {
	order      *zones.Order
	monitor    *zones.Monitor
	ledger     *zones.Ledger
	several    bool // there is more than one zone
	number     uint64
	untaken    map[zones.LentTask]bool // made in this term, and its lender not told to stop yet
	left       map[string]string       // machines that have failed or left the cloud's list, and their zones
	lentBy     map[string]int          // how many loans a job has made in this term
	searched   int                     // for how many jobs room was looked for since searchedAt
	searchedAt time.Duration
	decisions  []zones.Decision // not told yet
	records    zoneRecords
}

// Intervals of zone return.
const (
	// writeOffCancels is after how many times the cancel time a loan is written off.
	writeOffCancels = 20
	// keepLeases is for how many leases a lost zone's machines are kept that hold work for
	// which there is no room elsewhere. They have its images when they come back.
	keepLeases = 12
	// probeLeases is after how many leases a machine is rented in a lost zone, if work waits
	// that can be nowhere else: a zone without machines could not be heard again.
	probeLeases = 2
)

// startZoneReturn turns zone return on, with what an earlier leader recorded.
func (c *Core) startZoneReturn(now time.Duration, order *zones.Order, pages []protocol.KeyValue) {
	names := c.zones(&protocol.Job{})
	z := &zoneReturn{
		order: order, several: len(names) > 1, untaken: map[zones.LentTask]bool{}, left: map[string]string{}, lentBy: map[string]int{}, records: newZoneRecords(),
		monitor: zones.NewMonitor(now, config.Seconds(c.cfg.Workers.LeaseSeconds), names),
		ledger:  zones.NewLedger(c.mostLoans()),
	}
	c.returning = z
	c.decide(zones.OrderInForce{Order: order.String(), Zones: len(names)})
	if z.several {
		c.recoverZoneReturn(now, pages)
		c.recoverDisplaced()
	}
}

// recoverDisplaced marks the jobs that wait although they had started, when a zone was lost
// under an earlier leader.
func (c *Core) recoverDisplaced() {
	for _, zone := range c.returning.monitor.Zones() {
		if zone.State != zones.Lost && zone.State != zones.Returning {
			continue
		}
		for _, j := range c.jobs {
			if j.counts[pending] > 0 && j.hasStarted() {
				j.displacedFrom = zone.Name
			}
		}
	}
}

// hasStarted says whether a task of the job was ever placed.
func (j *job) hasStarted() bool {
	for _, p := range j.pages {
		if p.highestAttempt > 0 {
			return true
		}
	}
	return false
}

// decide notes a decision, to be told with the next effects.
func (c *Core) decide(d zones.Decision) {
	c.returning.decisions = append(c.returning.decisions, d)
}

func (c *Core) announceDecisions() {
	if c.returning == nil {
		return
	}
	for _, d := range c.returning.decisions {
		c.emit(Decided{d})
	}
	c.returning.decisions = nil
}

// recovering says whether a zone is lost or not yet trusted again, so that the order of
// return is in force.
func (c *Core) recovering() bool {
	return c.returning != nil && c.returning.several && c.returning.monitor.Any(zones.Lost, zones.Returning)
}

// wallAt is the time of day at a moment, in milliseconds.
func (c *Core) wallAt(now time.Duration) int64 { return c.wallMS + (now - c.began).Milliseconds() }

// watchZones judges the zones, and draws the conclusions.
func (c *Core) watchZones(now time.Duration, jobs []*job) {
	z := c.returning
	if z == nil || !z.several {
		return
	}
	for _, change := range z.monitor.Step(now, c.zoneFacts(now)) {
		c.decide(zones.ZoneChanged{Change: change})
		z.records.dirty[z.records.first()] = true
		switch change.To {
		case zones.Lost:
			c.decide(zones.OrderInForce{Order: z.order.String(), Zones: len(z.monitor.Zones())})
		case zones.Returning:
			c.inspectZone(change.Zone)
		case zones.Available:
			maps.DeleteFunc(z.left, func(_, zone string) bool { return zone == change.Zone })
		}
	}
	c.settleLoans(now)
	c.setZonePolicies(now)
	c.fenceForReturn(now, jobs)
	if !z.monitor.Any(zones.Suspected, zones.Lost, zones.Returning) {
		clear(z.lentBy)
		for _, j := range jobs {
			j.displacedFrom = ""
		}
	}
}

// displaced notes that a job has lost a task, which counts if it went with its zone.
func (c *Core) displaced(j *job, pl *partition.Placement) {
	if c.returning == nil || j.over {
		return
	}
	switch c.returning.monitor.State(pl.Zone) {
	case zones.Lost, zones.Returning:
		j.displacedFrom = pl.Zone
	}
}
