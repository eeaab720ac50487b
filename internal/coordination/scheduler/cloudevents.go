package scheduler

import (
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
)

// handleMachinesListed compares the registry with the cloud's list of machines.
func (c *Scheduler) handleMachinesListed(now time.Duration, e MachinesListed) {
	if e.Failed {
		c.autoscaler.HandleListFailure()
		return
	}
	if c.prober.enqueueListed(e.Machines) {
		c.sendProbes(now)
	}
	for i := range e.Machines {
		if e.Machines[i].State == protocol.MachineFailed {
			c.zoneFailover.NoteDepartedMachine(e.Machines[i].Name)
		}
	}
	for _, name := range c.autoscaler.HandleList(now, e.RequestedAt, e.Machines) {
		c.log.Info("machine no longer listed", "machine", name)
		c.zoneFailover.NoteDepartedMachine(name)
		c.removeMachine(now, name)
	}
}

// handleScaleOut passes the outcome of a rental to the autoscaler.
func (c *Scheduler) handleScaleOut(now time.Duration, e ScaleOutResult) {
	c.log.Info("scale-out answered", "request_id", e.Request, "machine_count", len(e.Machines), "refused", e.Refused)
	c.autoscaler.HandleScaleOut(now, autoscaler.RentalOutcome{
		RequestID:   e.Request,
		RequestedAt: e.RequestedAt,
		Machines:    e.Machines,
		Refused:     e.Refused,
	})
}

// handleScaleIn removes machines that the cloud has taken back: nothing runs on them any more.
func (c *Scheduler) handleScaleIn(now time.Duration, e ScaleInResult) {
	c.autoscaler.HandleScaleIn(now, e.Machines, e.Succeeded)
	if !e.Succeeded {
		return
	}
	for _, name := range e.Machines {
		c.removeMachine(now, name)
	}
}

// removeMachine removes a machine that does not exist any more, and applies what follows for its placements.
func (c *Scheduler) removeMachine(now time.Duration, name string) {
	c.applyObservations(now, c.machines.Remove(now, name))
}
