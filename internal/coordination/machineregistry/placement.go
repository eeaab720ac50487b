package machineregistry

import (
	"time"

	"pinebay/internal/protocol"
)

// Placement is one attempt of a task on a machine, from the reservation of its capacity until the
// task is proven not to run there any more. It goes through these steps:
//
//	reserved   Reserve     capacity is held, nothing is sent
//	startable  AllowStart  its record is written: a run command may be sent
//	reported   heartbeat   the machine has listed the task
//	stopping   Stop        a stop command is sent until the task is gone
//	terminated             Terminated is set; the registry has dropped it
//
// A placement that an earlier leader recorded enters by Adopt as startable.
type Placement struct {
	Task          protocol.TaskID
	Attempt       uint64
	Machine       string
	Incarnation   uint64 // of the worker for which the capacity was reserved
	Zone          string
	Resources     Resources
	Team          string
	PriorityLevel int
	Job           *protocol.Job // nil if the job is no longer known

	ReservedAt      time.Duration
	Recorded        bool // a durable record names it
	StartAllowed    bool // all that must be recorded before its start is
	Reported        bool // its machine has listed it in a heartbeat
	State           protocol.TaskState
	StateSince      time.Duration // when State was first reported
	Cause           protocol.ExitCause
	CheckpointSaved bool
	Terminated      bool // proven not to run, now or later

	Stopping     bool
	GraceSeconds float64 // seconds that the task has to save a checkpoint
	// FenceAt is when the machine is to be fenced if it is still silent then, since the job was
	// cancelled; 0 means never.
	FenceAt time.Duration

	runSent         bool   // a run command may have reached the machine
	runFencingToken uint64 // of the last run command
}

// Reserve reserves capacity for all placements, or for none of them if one does not fit, its
// machine is not schedulable, or the machine may still have an earlier attempt of the task. It
// fills in the incarnation, the zone and the time of the reservation.
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

// Adopt adds a placement that an earlier leader recorded. Its run may have been sent with any
// token of an earlier term.
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

// AllowStart lets the run command of a placement be sent, now that a record names it. The pause
// after an earlier command does not delay it: that pause is for repeated commands.
func (r *Registry) AllowStart(pl *Placement) {
	pl.StartAllowed = true
	r.expediteCommand(pl)
}

// Stop asks for the end of a placement. A shorter grace period replaces a longer one. Stop
// returns true if the placement was terminated at once, as no run command was ever sent.
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
	if !pl.runSent {
		r.Unreserve(now, pl)
		return true
	}
	return false
}

// MarkOutcomeRecorded says that the outcome of an exited placement is recorded, so that the
// machine may forget the task.
func (r *Registry) MarkOutcomeRecorded(pl *Placement) {
	m := r.machines[pl.Machine]
	if m == nil {
		return
	}
	if e := m.exitedTasks[pl.Task]; e != nil && e.attempt == pl.Attempt {
		e.outcomeRecorded = true
	}
}

// SetPriorityLevel changes the priority by which a placement counts.
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
		m.usage.total = Resources{} // without the rounding errors of the sums
		m.IdleSince = now
	}
}

// sortedPlacements returns a machine's placements in task order.
func sortedPlacements(placements map[protocol.TaskID]*Placement) []*Placement {
	list := make([]*Placement, 0, len(placements))
	for _, id := range sortedTaskIDs(placements) {
		list = append(list, placements[id])
	}
	return list
}
