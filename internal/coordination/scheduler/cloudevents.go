package scheduler

import (
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
)

// handleMachinesListed reconciles the registry with the list of machines in the cloud.
func (s *Scheduler) handleMachinesListed(now time.Duration, e MachinesListed) {
	if e.Failed {
		s.autoscaler.HandleMachineListFailure()
		return
	}
	if s.prober.enqueueListed(e.Machines) {
		s.sendProbes(now)
	}
	for i := range e.Machines {
		if e.Machines[i].State == protocol.MachineFailed {
			s.zoneFailover.RecordDepartedMachine(e.Machines[i].Name)
		}
	}
	for _, name := range s.autoscaler.HandleMachineList(now, e.RequestedAt, e.Machines) {
		s.log.Info("machine no longer listed", "machine", name)
		s.zoneFailover.RecordDepartedMachine(name)
		s.removeMachine(now, name)
	}
}

// handleScaleOut passes the outcome of a request for machines to the autoscaler.
func (s *Scheduler) handleScaleOut(now time.Duration, e ScaleOutResult) {
	s.log.Info("scale-out answered", "request_id", e.Request, "machine_count", len(e.Machines), "refused", e.Refused)
	s.autoscaler.HandleScaleOut(now, autoscaler.RentalOutcome{
		RequestID:   e.Request,
		RequestedAt: e.RequestedAt,
		Machines:    e.Machines,
		Refused:     e.Refused,
	})
}

// handleScaleIn removes the machines that the cloud has taken back. No task runs on them any more.
func (s *Scheduler) handleScaleIn(now time.Duration, e ScaleInResult) {
	s.autoscaler.HandleScaleIn(now, e.Machines, e.Succeeded)
	if !e.Succeeded {
		return
	}
	for _, name := range e.Machines {
		s.removeMachine(now, name)
	}
}

// removeMachine removes a machine that no longer exists and handles the loss of its placements.
func (s *Scheduler) removeMachine(now time.Duration, name string) {
	s.applyObservations(now, s.machines.Remove(now, name))
}
