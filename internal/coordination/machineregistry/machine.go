package machineregistry

import (
	"time"

	"pinebay/internal/protocol"
)

// Machine is a rented machine.
type Machine struct {
	Name, Addr, Type, Zone                string
	Spot                                  bool
	Incarnation, Seq, HighestFencingToken uint64
	Registered                            bool          // its worker has been heard
	RentedAt                              time.Duration // when the request was sent, as far as known
	LastHeartbeat                         time.Duration // last message, or when we began to listen
	InterruptionNotice                    bool          // the cloud takes it away
	Terminating                           bool          // it is being returned; nothing new goes there
	Quarantined                           bool          // it fails tasks, or cannot be commanded
	UnresponsiveUntil                     time.Duration // it does not take commands
	IdleSince                             time.Duration
	Relayed                               bool // its reports come by another controller: it may be out of our reach
	CommandInFlight                       bool // a direct command is on its way
	CommandRetryAt                        time.Duration
	newCommandsDue                        bool // something new is due since the command on its way left

	commandEpoch         uint64        // of the commands to it, within our term
	commandEpochRaisedAt time.Duration // when the epoch was raised

	// SchedulerData is what the scheduler knows of the machine beyond this; the partition does not look at it.
	SchedulerData any

	ReservedJob   string // job that room is being cleared for
	ReservedUntil time.Duration

	FailedJobs   map[string]bool // jobs whose tasks failed here since the last success
	placements   map[protocol.TaskID]*Placement
	used         Resources
	exitedTasks  map[protocol.TaskID]*exitedTask
	unknownTasks map[protocol.TaskID]uint64
	images       map[string]*imageEntry

	removed             bool                           // it is proven gone
	listedAsChanged     bool                           // see Partition.Changed
	usageByPriority     [PriorityLevels]placementUsage // what placements of each priority take
	stoppingUsage       placementUsage                 // what those take that are to end
	checkpointableUsage [PriorityLevels]placementUsage // what those of each priority take that can save
}

// placementUsage is what some placements on a machine take.
type placementUsage struct {
	count     int
	resources Resources
}

// PriorityLevels is the number of priorities.
const PriorityLevels = 4

// Removed says whether the machine is proven gone.
func (m *Machine) Removed() bool { return m.removed }

// PreemptibleResources is at most the room that work of at least the given level would leave, with what is
// about to leave anyhow.
func (m *Machine) PreemptibleResources(level int) Resources {
	n := m.stoppingUsage.resources
	for r := max(0, level); r < PriorityLevels; r++ {
		n = n.Plus(m.usageByPriority[r].resources)
	}
	return n
}

// CheckpointableResources is the room that work of at least the given level takes that can save, but for services.
func (m *Machine) CheckpointableResources(level int) Resources {
	var n Resources
	for r := max(0, level); r < PriorityLevels; r++ {
		n = n.Plus(m.checkpointableUsage[r].resources)
	}
	return n
}

// HasImage says whether the machine has a job's image or is fetching it.
func (m *Machine) HasImage(image string) bool { return m.images[image] != nil }

// EachPlacement calls f for each placement that may be on the machine, in no order.
func (m *Machine) EachPlacement(f func(*Placement)) {
	for _, p := range m.placements {
		f(p)
	}
}

// IsReservedFor says whether room is being cleared on the machine for the job.
func (m *Machine) IsReservedFor(now time.Duration, job string) bool {
	return m.ReservedJob == job && now < m.ReservedUntil
}

// FencingDue says whether a cancelled task may still be there when it must not be any
// more: a machine that hangs may go on with it at any time.
func (m *Machine) FencingDue(now time.Duration) bool {
	for _, p := range m.placements {
		if p.FenceAt > 0 && now >= p.FenceAt {
			return true
		}
	}
	return false
}

// PlacementCount returns how many tasks may be on the machine.
func (m *Machine) PlacementCount() int { return len(m.placements) }

// ArrayUsage returns the room that arrays take.
func (m *Machine) ArrayUsage() Resources {
	var n Resources
	for _, p := range m.placements {
		if p.Job != nil && p.Job.Shape == protocol.Array {
			n = n.Plus(p.Resources)
		}
	}
	return n
}

// Machine returns a machine, or nil.
func (p *Registry) Machine(name string) *Machine { return p.machines[name] }

// HasAttempt says whether an earlier attempt of the task is or was on the machine
// and its run may still come again, late. A new attempt there would replace
// the exited entry that makes such a copy harmless, and the old attempt could
// start once the new one has left.
func (m *Machine) HasAttempt(task protocol.TaskID) bool {
	return m.placements[task] != nil || m.exitedTasks[task] != nil
}
