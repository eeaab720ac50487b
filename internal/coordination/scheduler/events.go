package scheduler

import (
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Event is an input of a step: something that has happened, or the outcome of an effect.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// HeartbeatReceived is a worker's heartbeat. It is answered by a HeartbeatReply with the same ReplyTo.
type HeartbeatReceived struct {
	ReplyTo   any
	Heartbeat *protocol.WorkerHeartbeat
	// Relayed is set if another controller received it.
	Relayed bool
}

// UnchangedHeartbeats are the heartbeats without news that the owner of a shard has answered for the leader.
type UnchangedHeartbeats struct {
	Heartbeats []UnchangedHeartbeat
	// ForwardNext receives the machines whose next heartbeat has to be forwarded to the leader. It must not block.
	ForwardNext func(machines []string)
}

// UnchangedHeartbeat identifies the last heartbeat of a machine.
type UnchangedHeartbeat struct {
	Machine          string
	Incarnation, Seq uint64
}

// JobAccepted is a job's live record, new or changed.
type JobAccepted struct {
	Record   storage.LiveJobRecord
	Revision uint64
}

// JobEnded says that a job's live record has been deleted.
type JobEnded struct{ ID string }

// CancellationIntent says that a user may be told that a job is cancelled, until the given time.
type CancellationIntent struct {
	ID         string
	ValidUntil time.Duration
}

// WatchProgress says that all changes of live records up to a time have been delivered.
type WatchProgress struct{ At time.Duration }

// TransactionOutcome is the outcome of a Write.
type TransactionOutcome struct {
	WriteID   uint64
	Succeeded bool
	Revision  uint64 // of the keys written
	// FailedKeys are the keys whose comparison failed.
	FailedKeys []string
	// Malformed is set if the transaction was rejected for its form, and so not carried out.
	Malformed bool
}

// FinalStateRead answers ReadFinalState. State is "" if no final record exists or it could not be read.
type FinalStateRead struct {
	ID    string
	State protocol.JobState
}

// FinaliseFeatureLevel requests that a feature level be made final. FeatureLevelFinal follows.
type FinaliseFeatureLevel struct{ Level featurelevel.Level }

// CommandBatchResult is the outcome of SendCommandBatch. Heartbeat is nil if the machine did not answer with one.
type CommandBatchResult struct {
	Machine      string
	Acknowledged bool
	Heartbeat    *protocol.WorkerHeartbeat
}

// ProbeReply is a machine's answer to a Probe.
type ProbeReply struct{ Heartbeat *protocol.WorkerHeartbeat }

// MachineTypesUpdated is the cloud's price list.
type MachineTypesUpdated struct{ Types []protocol.MachineType }

// MachinesListed is the cloud's list of machines. Failed is set if it could not be read.
type MachinesListed struct {
	RequestedAt time.Duration
	Machines    []protocol.ListedMachine
	Failed      bool
}

// ScaleOutResult is the outcome of a request for machines.
type ScaleOutResult struct {
	Request     string
	RequestedAt time.Duration
	Machines    []string
	// Refused is set if the cloud has none to give.
	Refused bool
}

// ScaleInResult is the outcome of returning machines.
type ScaleInResult struct {
	Machines  []string
	Succeeded bool
}

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
