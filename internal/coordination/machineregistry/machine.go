package machineregistry

import (
	"time"

	"pinebay/internal/protocol"
)

// Machine is a worker machine. Other packages read its fields freely. They change its conditions and
// reservation only by the methods below and by those of Registry; where the machine is and what it
// is, as the cloud says, they may set until it is registered.
//
// A machine starts unregistered, known from a rental, the cloud's list or a record. Its first
// heartbeat registers it. From then on Registry.Schedulable says whether it takes new tasks: not
// while it is silent or lists tasks that should not be there, nor under one of four conditions:
//   - unresponsive: it did not execute a command, or its worker restarted; ends by itself;
//   - quarantined: the tasks of several jobs failed on it; for good;
//   - interrupted: the cloud has announced that it will take the machine away; for good;
//   - terminating: it is to be returned to the cloud; for good.
//
// Registry.Remove ends it, once the machine is proven to be gone.
type Machine struct {
	// Identity and location, from the cloud until the worker reports its own.
	Name string
	Addr string // empty while unknown
	Type string // empty while unknown
	Zone string
	Spot bool

	// The worker, as of its newest heartbeat.
	Incarnation         uint64
	Sequence            uint64 // of the newest heartbeat of that incarnation
	HighestFencingToken uint64 // that it has reported; it refuses commands with a lower one
	Registered          bool
	Relayed             bool          // its heartbeats arrive through another controller
	LastHeartbeat       time.Duration // or when the machine became known
	RentedAt            time.Duration // when it was requested, as far as known
	IdleSince           time.Duration // when the last placement ended

	// Conditions that prevent new placements; see above.
	UnresponsiveUntil  time.Duration
	Quarantined        bool
	InterruptionNotice bool
	Terminating        bool

	// NominatedJob is the job for which capacity is being cleared by preemption, until NominatedUntil.
	NominatedJob   string
	NominatedUntil time.Duration

	// FailedJobs are the jobs of which a task failed here since a task last succeeded.
	FailedJobs map[string]bool

	// SchedulerData belongs to the scheduler, which attaches what its cycles know of the machine.
	// The registry does not read it.
	SchedulerData any

	placements   map[protocol.TaskID]*Placement
	exitedTasks  map[protocol.TaskID]*exitedTask
	unknownTasks map[protocol.TaskID]uint64 // attempts of tasks that should not be there
	commands     commandQueue
	images       imageCache
	usage        machineUsage

	removed         bool
	listedAsChanged bool // see Registry.TakeChanged
}

// MarkTerminating says that the machine is to be returned to the cloud.
func (m *Machine) MarkTerminating() { m.Terminating = true }

// Quarantine keeps new tasks off the machine for good.
func (m *Machine) Quarantine() { m.Quarantined = true }

// MarkUnresponsive keeps new tasks off the machine until the given time.
func (m *Machine) MarkUnresponsive(until time.Duration) { m.UnresponsiveUntil = until }

// NominateFor says that capacity is being cleared on the machine for a job until the given time.
func (m *Machine) NominateFor(job string, until time.Duration) {
	m.NominatedJob, m.NominatedUntil = job, until
}

// ClearNomination ends what NominateFor began.
func (m *Machine) ClearNomination() { m.NominatedJob = "" }

// IsNominatedFor reports whether capacity is being cleared on the machine for the job.
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

// FencingDue reports whether a cancelled task may still be on the machine although its time is
// over. A machine that hangs may resume the task at any moment, so only fencing stops it.
func (m *Machine) FencingDue(now time.Duration) bool {
	for _, pl := range m.placements {
		if pl.FenceAt > 0 && now >= pl.FenceAt {
			return true
		}
	}
	return false
}

// HasAttempt reports whether an earlier attempt of the task is on the machine, or a delayed copy
// of its run command may still arrive there. A new attempt would replace the worker's entry for
// the exited one, which makes such a copy harmless; once the new attempt had left, the copy would
// start the old one again.
func (m *Machine) HasAttempt(task protocol.TaskID) bool {
	return m.placements[task] != nil || m.exitedTasks[task] != nil
}
