package scheduler

import (
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// HeartbeatReceived is a worker's report; Tag comes back with the answer. Relayed
	// says that another controller passed it on.
	HeartbeatReceived struct {
		ReplyTo   any
		Heartbeat *protocol.WorkerHeartbeat
		Relayed   bool
	}
	// UnchangedHeartbeats tells of machines whose reports an owner has answered, as they told nothing new; Reply takes
	// those of which the next report is to be passed on. It must not wait.
	UnchangedHeartbeats struct {
		Heartbeats  []UnchangedHeartbeat
		ForwardNext func(passOn []string)
	}
	// JobAccepted is an accepted job.
	JobAccepted struct {
		Record   storage.LiveJobRecord
		Revision uint64
	}
	// JobEnded says that a job's live record is gone: it is over.
	JobEnded struct{ ID string }
	// CancellationIntent says that a user may be about to be told that a job is cancelled, by
	// the given time or else not before another Withdrawn.
	CancellationIntent struct {
		ID         string
		ValidUntil time.Duration
	}
	// WatchProgress says that all changes of the accepted jobs up to At have been told.
	WatchProgress struct{ At time.Duration }
	// TransactionOutcome is the outcome of a Write. Failed names the conditions that did
	// not hold. Refused says that it was refused for its form, and not carried out.
	TransactionOutcome struct {
		WriteID    uint64
		Succeeded  bool
		Revision   uint64
		FailedKeys []string
		Malformed  bool
	}
	// FinalStateRead is what the state service says of how a job ended: "" if there is no record of that.
	FinalStateRead struct {
		ID    string
		State protocol.JobState
	}
	// FinaliseFeatureLevel asks that a feature level be made final.
	FinaliseFeatureLevel struct{ Level featurelevel.Level }
	// CommandBatchResult is the outcome of an Order. Report is nil without an answer.
	CommandBatchResult struct {
		Machine      string
		Acknowledged bool
		Heartbeat    *protocol.WorkerHeartbeat
	}
	// ProbeReply is a machine's answer to an Inspect.
	ProbeReply struct{ Heartbeat *protocol.WorkerHeartbeat }
	// MachineTypesUpdated is the cloud's price list.
	MachineTypesUpdated struct{ Types []protocol.MachineType }
	// MachinesListed is the cloud's list; Failed says that it did not come.
	MachinesListed struct {
		RequestedAt time.Duration
		Machines    []protocol.ListedMachine
		Failed      bool
	}
	// ScaleOutResult is the outcome of a rental.
	ScaleOutResult struct {
		Request     string
		RequestedAt time.Duration
		Machines    []string
		Refused     bool
	}
	// ScaleInResult is the outcome of a release.
	ScaleInResult struct {
		Machines  []string
		Succeeded bool
	}
)

// UnchangedHeartbeat is the last report of a machine that told nothing new.
type UnchangedHeartbeat struct {
	Machine          string
	Incarnation, Seq uint64
}

// WritePriority says what a write is for, and so which of them goes first.
type WritePriority uint8

// Purposes.
const (
	PriorityStart       WritePriority = iota // placements that wait for their record
	PriorityUnblock                          // ends of jobs that others await
	PriorityCompletion                       // what has ended: tasks, and jobs
	PriorityMaintenance                      // cleaning, and hints for the next leader
)

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// CloudRequest is what the fleet asks of the cloud.
	CloudRequest struct{ Effect autoscaler.Effect }
	// HeartbeatReply goes back to a worker.
	HeartbeatReply struct {
		ReplyTo any
		Body    protocol.WorkerHeartbeatReply
	}
	// Write is a conditional transaction; it is tried until its outcome is
	// known. Verify is a key whose record names the write.
	Write struct {
		ID         uint64
		Txn        protocol.Txn
		VerifyKey  string
		Name       string
		Priority   WritePriority
		Splittable bool // it has records of several jobs, and may be taken apart
	}
	// SendCommandBatch is a command that goes straight to a machine.
	SendCommandBatch struct {
		Machine, Addr string
		Batch         protocol.CommandBatch
	}
	// Probe asks a machine how it stands; no answer means nothing.
	Probe struct{ Machine, Addr string }
	// ReadFinalState asks how a job ended; FinalStateRead answers.
	ReadFinalState struct{ ID string }
	// FeatureLevelFinal says that a feature level is final.
	FeatureLevelFinal struct{ Level featurelevel.Level }
	// ZoneDecision tells of a decision because of a zone.
	ZoneDecision struct{ Decision zonefailover.Decision }
	// StepDown says that this leader's time is over; Term is a later one, if one
	// was seen.
	StepDown struct {
		LaterTerm          uint64
		Reason             string
		TransferLeadership bool // another controller should lead
	}
)

func (Tick) event()                 {}
func (HeartbeatReceived) event()    {}
func (UnchangedHeartbeats) event()  {}
func (JobAccepted) event()          {}
func (JobEnded) event()             {}
func (CancellationIntent) event()   {}
func (WatchProgress) event()        {}
func (TransactionOutcome) event()   {}
func (FinalStateRead) event()       {}
func (FinaliseFeatureLevel) event() {}
func (CommandBatchResult) event()   {}
func (ProbeReply) event()           {}
func (MachineTypesUpdated) event()  {}
func (MachinesListed) event()       {}
func (ScaleOutResult) event()       {}
func (ScaleInResult) event()        {}

func (HeartbeatReply) effect()    {}
func (Write) effect()             {}
func (SendCommandBatch) effect()  {}
func (Probe) effect()             {}
func (StepDown) effect()          {}
func (CloudRequest) effect()      {}
func (ZoneDecision) effect()      {}
func (ReadFinalState) effect()    {}
func (FeatureLevelFinal) effect() {}
