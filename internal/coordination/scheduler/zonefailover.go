package scheduler

import (
	"maps"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// zoneFailoverState is the part of the core that acts when a zone is lost and when it comes back
// (docs/zone-return.md). It is nil unless an operator has turned it on.
type zoneFailoverState struct {
	order              *zonefailover.RecoveryOrder
	monitor            *zonefailover.Monitor
	ledger             *zonefailover.Ledger
	multiZone          bool // there is more than one zone
	lastLoanNumber     uint64
	awaitingPreemption map[zonefailover.TaskAttempt]bool // made in this term, and its lender not told to stop yet
	departedMachines   map[string]string                 // machines that have failed or left the cloud's list, and their zones
	loansByJob         map[string]int                    // how many loans a job has made in this term
	searchesInCycle    int                               // for how many jobs room was looked for since searchCycleStart
	searchCycleStart   time.Duration
	pendingDecisions   []zonefailover.Decision // not told yet
	records            failoverRecords
}

// Intervals of zone return.
const (
	// writeOffCancelTimes is after how many times the cancel time a loan is written off.
	writeOffCancelTimes = 20
	// retainLostZoneLeases is for how many leases a lost zone's machines are kept that hold work for
	// which there is no room elsewhere. They have its images when they come back.
	retainLostZoneLeases = 12
	// probeLostZoneLeases is after how many leases a machine is rented in a lost zone, if work waits
	// that can be nowhere else: a zone without machines could not be heard again.
	probeLostZoneLeases = 2
)

// startZoneFailover turns zone return on, with what an earlier leader recorded.
func (c *Scheduler) startZoneFailover(now time.Duration, order *zonefailover.RecoveryOrder, pages []protocol.KeyValue) {
	names := c.allowedZones(&protocol.Job{})
	z := &zoneFailoverState{
		order:              order,
		multiZone:          len(names) > 1,
		awaitingPreemption: map[zonefailover.TaskAttempt]bool{},
		departedMachines:   map[string]string{},
		loansByJob:         map[string]int{},
		records:            newFailoverRecords(),
		monitor:            zonefailover.NewMonitor(now, config.Seconds(c.cfg.Workers.LeaseSeconds), names),
		ledger:             zonefailover.NewLedger(c.maxOpenLoans()),
	}
	c.zoneFailover = z
	c.addDecision(zonefailover.RecoveryOrderInEffect{Order: order.String(), ZoneCount: len(names)})
	if z.multiZone {
		c.recoverZoneFailover(now, pages)
		c.recoverDisplacedJobs()
	}
}

// recoverDisplacedJobs marks the jobs that wait although they had started, when a zone was lost
// under an earlier leader.
func (c *Scheduler) recoverDisplacedJobs() {
	for _, zone := range c.zoneFailover.monitor.Zones() {
		if zone.State != zonefailover.Lost && zone.State != zonefailover.Returning {
			continue
		}
		for _, j := range c.jobs {
			if j.TaskCounts[jobstate.TaskPending] > 0 && j.HasStarted() {
				j.DisplacedFromZone = zone.Name
			}
		}
	}
}

// addDecision notes a decision, to be told with the next effects.
func (c *Scheduler) addDecision(d zonefailover.Decision) {
	c.zoneFailover.pendingDecisions = append(c.zoneFailover.pendingDecisions, d)
}

func (c *Scheduler) emitDecisions() {
	if c.zoneFailover == nil {
		return
	}
	for _, d := range c.zoneFailover.pendingDecisions {
		c.emit(ZoneDecision{d})
	}
	c.zoneFailover.pendingDecisions = nil
}

// inZoneFailover says whether a zone is lost or not yet trusted again, so that the order of
// return is in force.
func (c *Scheduler) inZoneFailover() bool {
	return c.zoneFailover != nil && c.zoneFailover.multiZone &&
		c.zoneFailover.monitor.AnyInState(zonefailover.Lost, zonefailover.Returning)
}

// wallClockMS is the time of day at a moment, in milliseconds.
func (c *Scheduler) wallClockMS(now time.Duration) int64 {
	return c.termStartedMS + (now - c.termStartedAt).Milliseconds()
}

// updateZoneStates judges the zones, and draws the conclusions.
func (c *Scheduler) updateZoneStates(now time.Duration, jobs []*jobstate.Job) {
	z := c.zoneFailover
	if z == nil || !z.multiZone {
		return
	}
	for _, change := range z.monitor.Observe(now, c.observeZones(now)) {
		c.addDecision(zonefailover.ZoneChanged{Change: change})
		z.records.dirty[z.records.firstPage()] = true
		switch change.To {
		case zonefailover.Lost:
			c.addDecision(
				zonefailover.RecoveryOrderInEffect{Order: z.order.String(), ZoneCount: len(z.monitor.Zones())},
			)
		case zonefailover.Returning:
			c.probeZone(change.Zone)
		case zonefailover.Available:
			maps.DeleteFunc(z.departedMachines, func(_, zone string) bool { return zone == change.Zone })
		}
	}
	c.closeFinishedLoans(now)
	c.setZonePolicies(now)
	c.fenceLostMachines(now, jobs)
	if !z.monitor.AnyInState(zonefailover.Suspected, zonefailover.Lost, zonefailover.Returning) {
		clear(z.loansByJob)
		for _, j := range jobs {
			j.DisplacedFromZone = ""
		}
	}
}

// markDisplaced notes that a job has lost a task, which counts if it went with its zone.
func (c *Scheduler) markDisplaced(j *jobstate.Job, pl *machineregistry.Placement) {
	if c.zoneFailover == nil || j.Ended {
		return
	}
	switch c.zoneFailover.monitor.State(pl.Zone) {
	case zonefailover.Lost, zonefailover.Returning:
		j.DisplacedFromZone = pl.Zone
	}
}
