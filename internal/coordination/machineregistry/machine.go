package machineregistry

import (
	"time"

	"pinebay/internal/protocol"
)

// Machine is a worker machine. Other packages may read its fields freely. They change its conditions and its
// nomination only through the methods of Machine and Registry. They set Relayed and RequestedAt directly, and its
// identity and location, as given by the cloud, until the machine is registered.
//
// A machine is created unregistered, from a request to the cloud, the cloud's list of machines, or a record. Its
// first heartbeat registers it. From then on, Registry.Schedulable reports whether it accepts new tasks. It accepts
// none while heartbeats are missing, while it lists tasks that should not run there, or under one of these conditions:
//   - unresponsive: it did not execute a command, or its worker restarted; ends after a time;
//   - quarantined: tasks of several jobs have failed on it; permanent;
//   - interrupted: the cloud has sent an interruption notice; permanent;
//   - terminating: it is to be returned to the cloud; permanent.
//
// Registry.Remove deletes the machine once it is proven to be gone.
type Machine struct {
	// Identity and location, as given by the cloud until the worker reports its own.
	Name string
	Addr string // empty while unknown
	Type string // empty while unknown
	Zone string
	Spot bool

	// State of the worker, as of its newest heartbeat.
	Incarnation         uint64
	Sequence            uint64 // of the newest heartbeat of that incarnation
	HighestFencingToken uint64 // highest token that the worker has reported; it rejects lower ones
	Registered          bool
	Relayed             bool          // heartbeats arrive through another controller
	LastHeartbeat       time.Duration // or the time when the machine became known
	RequestedAt         time.Duration // time of the request to the cloud, as far as known
	IdleSince           time.Duration // end of the last placement

	// Conditions that prevent new placements; see the type's comment.
	UnresponsiveUntil  time.Duration
	Quarantined        bool
	InterruptionNotice bool
	Terminating        bool

	// NominatedJob is the job for which placements on the machine are being preempted. The nomination expires at
	// NominatedUntil.
	NominatedJob   string
	NominatedUntil time.Duration

	// FailedJobs holds the jobs of which a task has failed on the machine since a task last succeeded there.
	FailedJobs map[string]bool

	// SchedulerData holds the scheduler's data about the machine. The registry does not use it.
	SchedulerData any

	placements   map[protocol.TaskID]*Placement
	exitedTasks  map[protocol.TaskID]*exitedTask
	unknownTasks map[protocol.TaskID]uint64 // attempts of listed tasks that should not be on the machine
	commands     commandState
	images       imageCache
	usage        machineUsage

	removed         bool
	listedAsChanged bool // see Registry.TakeChangedMachines
}

// MarkTerminating records that the machine is to be returned to the cloud.
func (m *Machine) MarkTerminating() { m.Terminating = true }

// Quarantine permanently prevents new placements on the machine.
func (m *Machine) Quarantine() { m.Quarantined = true }

// MarkUnresponsive prevents new placements on the machine until the given time.
func (m *Machine) MarkUnresponsive(until time.Duration) { m.UnresponsiveUntil = until }

// NominateFor nominates the machine for a job until the given time, while placements are being preempted for it.
func (m *Machine) NominateFor(job string, until time.Duration) {
	m.NominatedJob, m.NominatedUntil = job, until
}

// ClearNomination ends the nomination of the machine.
func (m *Machine) ClearNomination() { m.NominatedJob = "" }

// IsNominatedFor reports whether the machine is nominated for the job.
func (m *Machine) IsNominatedFor(now time.Duration, job string) bool {
	return m.NominatedJob == job && now < m.NominatedUntil
}

// Removed reports whether the machine has been removed from its registry.
func (m *Machine) Removed() bool { return m.removed }

// EachPlacement calls f for each placement on the machine, in no particular order.
func (m *Machine) EachPlacement(f func(*Placement)) {
	for _, pl := range m.placements {
		f(pl)
	}
}

// PlacementCount returns the number of placements on the machine.
func (m *Machine) PlacementCount() int { return len(m.placements) }

// FencingDue reports whether a cancelled task may still be on the machine after the deadline for stopping it. An
// unresponsive machine may resume the task at any moment, so only fencing the machine is certain to stop it.
func (m *Machine) FencingDue(now time.Duration) bool {
	for _, pl := range m.placements {
		if pl.FenceAt > 0 && now >= pl.FenceAt {
			return true
		}
	}
	return false
}

// HasAttempt reports whether an earlier attempt of the task is on the machine, or a delayed copy of its run command
// may still arrive there. The worker's entry for the exited attempt makes such a copy harmless. A new attempt would
// replace that entry, and once the new attempt was gone, the copy would start the old attempt again.
func (m *Machine) HasAttempt(task protocol.TaskID) bool {
	return m.placements[task] != nil || m.exitedTasks[task] != nil
}
