package partition

import (
	"time"

	"pinebay/internal/protocol"
)

// Machine is a rented machine.
type Machine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	Session, Seq, Token    uint64
	Up                     bool          // its worker has been heard
	Rented                 time.Duration // when the request was sent, as far as known
	Heard                  time.Duration // last message, or when we began to listen
	Notice                 bool          // the cloud takes it away
	Condemned              bool          // it is being returned; nothing new goes there
	Sick                   bool          // it fails tasks, or cannot be commanded
	MutedUntil             time.Duration // it does not take commands
	IdleSince              time.Duration
	Relayed                bool // its reports come by another controller: it may be out of our reach
	Busy                   bool // a direct command is on its way
	RetryAt                time.Duration
	fresh                  bool // something new is due since the command on its way left

	epoch       uint64        // of the commands to it, within our term
	epochRaised time.Duration // when the epoch was raised

	// View is what the scheduler knows of the machine beyond this; the partition does not look at it.
	View any

	Reserved      string // job that room is being cleared for
	ReservedUntil time.Duration

	Errors     map[string]bool // jobs whose tasks failed here since the last success
	placements map[protocol.TaskID]*Placement
	used       Need
	exits      map[protocol.TaskID]*exit
	stray      map[protocol.TaskID]uint64
	images     map[string]*image

	lost     bool            // it is proven gone
	touched  bool            // see Partition.Changed
	byRank   [Levels]rankUse // what placements of each priority take
	stopping rankUse         // what those take that are to end
	savable  [Levels]rankUse // what those of each priority take that can save
}

// rankUse is what some placements on a machine take.
type rankUse struct {
	count int
	need  Need
}

// Levels is the number of priorities.
const Levels = 4

// Lost says whether the machine is proven gone.
func (m *Machine) Lost() bool { return m.lost }

// Givable is at most the room that work of at least the given level would leave, with what is
// about to leave anyhow.
func (m *Machine) Givable(level int) Need {
	n := m.stopping.need
	for r := max(0, level); r < Levels; r++ {
		n = n.Plus(m.byRank[r].need)
	}
	return n
}

// Savable is the room that work of at least the given level takes that can save, but for services.
func (m *Machine) Savable(level int) Need {
	var n Need
	for r := max(0, level); r < Levels; r++ {
		n = n.Plus(m.savable[r].need)
	}
	return n
}

// HasImage says whether the machine has a job's image or is fetching it.
func (m *Machine) HasImage(image string) bool { return m.images[image] != nil }

// Placements calls f for each placement that may be on the machine, in no order.
func (m *Machine) Placements(f func(*Placement)) {
	for _, p := range m.placements {
		f(p)
	}
}

// ReservedFor says whether room is being cleared on the machine for the job.
func (m *Machine) ReservedFor(now time.Duration, job string) bool {
	return m.Reserved == job && now < m.ReservedUntil
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

// Count returns how many tasks may be on the machine.
func (m *Machine) Count() int { return len(m.placements) }

// Arrays returns the room that arrays take.
func (m *Machine) Arrays() Need {
	var n Need
	for _, p := range m.placements {
		if p.Job != nil && p.Job.Shape == protocol.Array {
			n = n.Plus(p.Need)
		}
	}
	return n
}

// Machine returns a machine, or nil.
func (p *Partition) Machine(name string) *Machine { return p.machines[name] }

// HasAttempt says whether an earlier attempt of the task is or was on the machine
// and its run may still come again, late. A new attempt there would replace
// the exited entry that makes such a copy harmless, and the old attempt could
// start once the new one has left.
func (m *Machine) HasAttempt(task protocol.TaskID) bool {
	return m.placements[task] != nil || m.exits[task] != nil
}
