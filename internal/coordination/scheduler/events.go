package scheduler

import (
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/zones"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// Reported is a worker's report; Tag comes back with the answer. Relayed
	// says that another controller passed it on.
	Reported struct {
		Tag     any
		Report  *protocol.WorkerHeartbeat
		Relayed bool
	}
	// Alive tells of machines whose reports an owner has answered, as they told nothing new; Reply takes those of which
	// the next report is to be passed on. It must not wait.
	Alive struct {
		Machines []AliveMachine
		Reply    func(passOn []string)
	}
	// JobSet is an accepted job.
	JobSet struct {
		Record storage.LiveJobRecord
		Stamp  uint64
	}
	// JobDropped says that a job's live record is gone: it is over.
	JobDropped struct{ ID string }
	// Withdrawn says that a user may be about to be told that a job is cancelled, by
	// the given time or else not before another Withdrawn.
	Withdrawn struct {
		ID    string
		Until time.Duration
	}
	// Fresh says that all changes of the accepted jobs up to At have been told.
	Fresh struct{ At time.Duration }
	// Written is the outcome of a Write. Failed names the conditions that did
	// not hold. Refused says that it was refused for its form, and not carried out.
	Written struct {
		Write   uint64
		OK      bool
		Rev     uint64
		Failed  []string
		Refused bool
	}
	// EndRead is what the state service says of how a job ended: "" if there is no record of that.
	EndRead struct {
		ID       string
		Standing protocol.JobState
	}
	// Finalise asks that a feature level be made final.
	Finalise struct{ Level featurelevel.Level }
	// OrdersDone is the outcome of an Order. Report is nil without an answer.
	OrdersDone struct {
		Machine string
		OK      bool
		Report  *protocol.WorkerHeartbeat
	}
	// Inspected is a machine's answer to an Inspect.
	Inspected struct{ Report *protocol.WorkerHeartbeat }
	// Types is the cloud's price list.
	Types struct{ Types []protocol.MachineType }
	// Listed is the cloud's list; Failed says that it did not come.
	Listed struct {
		Asked    time.Duration
		Machines []protocol.ListedMachine
		Failed   bool
	}
	// Rented is the outcome of a rental.
	Rented struct {
		Request string
		Asked   time.Duration
		Names   []string
		Refused bool
	}
	// Released is the outcome of a release.
	Released struct {
		Names []string
		OK    bool
	}
)

// AliveMachine is the last report of a machine that told nothing new.
type AliveMachine struct {
	Name         string
	Session, Seq uint64
}

// Purpose says what a write is for, and so which of them goes first.
type Purpose uint8

// Purposes.
const (
	Starts Purpose = iota // placements that wait for their record
	Frees                 // ends of jobs that others await
	Ends                  // what has ended: tasks, and jobs
	Upkeep                // cleaning, and hints for the next leader
)

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// Fleet is what the fleet asks of the cloud.
	Fleet struct{ Effect fleet.Effect }
	// Answer goes back to a worker.
	Answer struct {
		Tag  any
		Body protocol.WorkerHeartbeatReply
	}
	// Write is a conditional transaction; it is tried until its outcome is
	// known. Verify is a key whose record names the write.
	Write struct {
		ID     uint64
		Txn    protocol.Txn
		Verify string
		Name   string
		For    Purpose
		Shared bool // it has records of several jobs, and may be taken apart
	}
	// Order is a command that goes straight to a machine.
	Order struct {
		Machine, Addr string
		Orders        protocol.CommandBatch
	}
	// Inspect asks a machine how it stands; no answer means nothing.
	Inspect struct{ Machine, Addr string }
	// ReadEnd asks how a job ended; EndRead answers.
	ReadEnd struct{ ID string }
	// LevelReached says that a feature level is final.
	LevelReached struct{ Level featurelevel.Level }
	// Decided tells of a decision because of a zone.
	Decided struct{ Decision zones.Decision }
	// Depose says that this leader's time is over; Term is a later one, if one
	// was seen.
	Depose struct {
		Term   uint64
		Reason string
		Away   bool // another controller should lead
	}
)

func (Tick) event()       {}
func (Reported) event()   {}
func (Alive) event()      {}
func (JobSet) event()     {}
func (JobDropped) event() {}
func (Withdrawn) event()  {}
func (Fresh) event()      {}
func (Written) event()    {}
func (EndRead) event()    {}
func (Finalise) event()   {}
func (OrdersDone) event() {}
func (Inspected) event()  {}
func (Types) event()      {}
func (Listed) event()     {}
func (Rented) event()     {}
func (Released) event()   {}

func (Answer) effect()       {}
func (Write) effect()        {}
func (Order) effect()        {}
func (Inspect) effect()      {}
func (Depose) effect()       {}
func (Fleet) effect()        {}
func (Decided) effect()      {}
func (ReadEnd) effect()      {}
func (LevelReached) effect() {}
