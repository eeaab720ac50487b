package machineregistry

import (
	"time"

	"pinebay/internal/protocol"
)

// Placement is one attempt of a task on a machine, from the reservation of its capacity until it is proven that the
// task does not run there any more. It passes through these states:
//
//	reserved    after Reserve: capacity is held, no command is sent
//	startable   after AllowStart: its record is written, a run command may be sent
//	reported    after a heartbeat: the machine has listed the task
//	stopping    after Stop: a stop command is sent until the task is gone
//	terminated  Terminated is set, and the registry has dropped the placement
//
// A placement that was recorded by a leader of an earlier term is added by Adopt and is startable.
type Placement struct {
	Task          protocol.TaskID
	Attempt       uint64
	Machine       string
	Incarnation   uint64 // incarnation of the worker for which the capacity was reserved
	Zone          string
	Resources     Resources
	Team          string
	PriorityLevel int
	Job           *protocol.Job // nil if the job is no longer known

	ReservedAt      time.Duration
	Recorded        bool // a durable record lists it
	StartAllowed    bool // everything that must be recorded before it starts is recorded
	Reported        bool // its machine has listed it in a heartbeat
	State           protocol.TaskState
	StateSince      time.Duration // time when State was first reported
	Cause           protocol.ExitCause
	CheckpointSaved bool
	Terminated      bool // proven not to run now or later

	Stopping     bool
	GraceSeconds float64 // time that the task has to save a checkpoint
	// FenceAt is the time from which the machine is to be fenced if it is still not sending heartbeats, because the
	// job was cancelled; 0 means never.
	FenceAt time.Duration

	runSent         bool   // a run command may have reached the machine
	runFencingToken uint64 // token of the last run command
}

// Reserve reserves capacity for all placements or for none of them. It fails if a placement does not fit, its machine
// is not schedulable, or an earlier attempt of its task may still be on the machine. It sets the incarnation, zone
// and reservation time of each placement.
func (r *Registry) Reserve(now time.Duration, placements []*Placement) bool {
	for i, pl := range placements {
		m := r.machines[pl.Machine]
		if m == nil || !r.canReserve(now, m, pl) {
			for _, reserved := range placements[:i] {
				r.Unreserve(now, reserved)
			}
			return false
		}
		pl.Incarnation, pl.Zone, pl.ReservedAt = m.Incarnation, m.Zone, now
		r.addPlacement(m, pl)
		r.recordImageUse(now, m, pl.Job)
	}
	return true
}

// canReserve reports whether a placement can be reserved on a machine.
func (r *Registry) canReserve(now time.Duration, m *Machine, pl *Placement) bool {
	return r.Schedulable(now, m) && !m.HasAttempt(pl.Task) && pl.Resources.Fits(r.FreeCapacity(m))
}

// Unreserve releases the capacity of a placement that was reserved but never started.
func (r *Registry) Unreserve(now time.Duration, pl *Placement) {
	if m := r.machines[pl.Machine]; m != nil {
		r.removePlacement(now, m, pl)
		r.abandonFetch(m, pl)
	}
}

// Adopt adds a placement that was recorded by a leader of an earlier term. Its run command may have been sent with
// any fencing token of the earlier terms.
func (r *Registry) Adopt(now time.Duration, pl *Placement) {
	m := r.GetOrCreate(now, pl.Machine)
	if m.Zone == "" {
		m.Zone = pl.Zone
	}
	pl.StartAllowed, pl.runSent, pl.ReservedAt = true, true, now
	pl.runFencingToken = r.lastTokenOfEarlierTerms()
	r.commandsDue[m.Name] = m
	r.addPlacement(m, pl)
}

// AllowStart allows the run command of a placement to be sent, once a record lists the placement. The pause after an
// earlier command does not delay it, because that pause is meant for repeated commands.
func (r *Registry) AllowStart(pl *Placement) {
	pl.StartAllowed = true
	r.expediteCommand(pl)
}

// Stop requests the end of a placement. If it is called again, the shorter grace period applies. It returns true if
// the placement was terminated immediately, because its run command was never sent.
func (r *Registry) Stop(now time.Duration, pl *Placement, graceSeconds float64) bool {
	if pl.Terminated {
		return false
	}
	if !pl.Stopping {
		pl.Stopping, pl.GraceSeconds = true, graceSeconds
		r.indexStopping(pl)
	}
	pl.GraceSeconds = min(pl.GraceSeconds, graceSeconds)
	r.expediteCommand(pl)
	r.markBatchOutdated(pl)
	if !pl.runSent {
		r.Unreserve(now, pl)
		return true
	}
	return false
}

// markBatchOutdated records that a placement was stopped while its run command may be in a batch in flight.
func (r *Registry) markBatchOutdated(pl *Placement) {
	m := r.machines[pl.Machine]
	if m != nil && m.commands.inFlight.starts(pl) {
		r.outdatedBatches = append(r.outdatedBatches, m)
	}
}

// MarkOutcomeRecorded records that the outcome of an exited placement is stored, so that the machine may forget the
// task.
func (r *Registry) MarkOutcomeRecorded(pl *Placement) {
	m := r.machines[pl.Machine]
	if m == nil {
		return
	}
	if e := m.exitedTasks[pl.Task]; e != nil && e.attempt == pl.Attempt {
		e.outcomeRecorded = true
	}
}

// SetPriorityLevel changes the priority level of a placement.
func (r *Registry) SetPriorityLevel(pl *Placement, level int) {
	m := r.machines[pl.Machine]
	if m == nil || m.placements[pl.Task] != pl {
		pl.PriorityLevel = level
		return
	}
	r.unindexPlacement(m, pl)
	pl.PriorityLevel = level
	r.indexPlacement(m, pl)
}

// addPlacement adds a placement to a machine and counts its resources as used.
func (r *Registry) addPlacement(m *Machine, pl *Placement) {
	m.placements[pl.Task] = pl
	m.usage.total = m.usage.total.Plus(pl.Resources)
	r.setTeamUsage(pl.Team, r.teamUsage[pl.Team].Plus(pl.Resources))
	r.indexPlacement(m, pl)
}

// removePlacement terminates a placement and releases its capacity.
func (r *Registry) removePlacement(now time.Duration, m *Machine, pl *Placement) {
	pl.Terminated = true
	if m.placements[pl.Task] != pl {
		return
	}
	delete(m.placements, pl.Task)
	if pl.Job != nil && m.images[pl.Job.Image] != nil {
		m.images[pl.Job.Image].lastUsed = now
	}
	m.usage.total = m.usage.total.Minus(pl.Resources)
	r.setTeamUsage(pl.Team, r.teamUsage[pl.Team].Minus(pl.Resources))
	r.unindexPlacement(m, pl)
	if len(m.placements) == 0 {
		m.usage.total = Resources{} // discards rounding errors
		m.IdleSince = now
	}
}

// sortedPlacements returns placements sorted by job ID and task index.
func sortedPlacements(placements map[protocol.TaskID]*Placement) []*Placement {
	list := make([]*Placement, 0, len(placements))
	for _, id := range sortedTaskIDs(placements) {
		list = append(list, placements[id])
	}
	return list
}
