package scheduler

import (
	"time"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Event is an input to Step: something that has happened, or the outcome of an effect.
type Event interface{ event() }

// Tick reports only that time has passed.
type Tick struct{}

// HeartbeatReceived is a heartbeat from a worker. It is answered by a HeartbeatReply with the same ReplyTo.
type HeartbeatReceived struct {
	ReplyTo   any
	Heartbeat *protocol.WorkerHeartbeat
	// Relayed is set if the heartbeat arrived through another controller.
	Relayed bool
}

// UnchangedHeartbeats reports the heartbeats without changes that the owner of a shard has answered on behalf of the
// leader.
type UnchangedHeartbeats struct {
	Heartbeats []UnchangedHeartbeat
	// ForwardNext is called with the machines whose next heartbeat has to be forwarded to the leader. It must not
	// block.
	ForwardNext func(machines []string)
}

// UnchangedHeartbeat identifies the most recent heartbeat of a machine.
type UnchangedHeartbeat struct {
	Machine               string
	Incarnation, Sequence uint64
}

// JobAccepted reports the live record of a job, which is new or has changed.
type JobAccepted struct {
	Record   storage.LiveJobRecord
	Revision uint64
}

// JobEnded reports that the live record of a job has been deleted.
type JobEnded struct{ ID string }

// CancellationIntent reports that, until ValidUntil, a user may be told that a job is cancelled.
type CancellationIntent struct {
	ID         string
	ValidUntil time.Duration
}

// WatchProgress reports that all changes of live records up to a time have been delivered.
type WatchProgress struct{ At time.Duration }

// TransactionOutcome is the outcome of a Write.
type TransactionOutcome struct {
	WriteID   uint64
	Succeeded bool
	Revision  uint64 // revision of the keys that were written
	// FailedKeys lists the keys whose comparison failed.
	FailedKeys []string
	// Malformed is set if the store rejected the transaction as malformed and therefore did not apply it.
	Malformed bool
}

// FinalStateRead is the answer to ReadFinalState. State is empty if there is no final record or it could not be read.
type FinalStateRead struct {
	ID    string
	State protocol.JobState
}

// FinaliseFeatureLevel asks for a feature level to be made final. It is answered by FeatureLevelFinal.
type FinaliseFeatureLevel struct{ Level featurelevel.Level }

// CommandBatchResult is the outcome of SendCommandBatch. Heartbeat is nil if the machine did not answer with a
// heartbeat.
type CommandBatchResult struct {
	Machine      string
	Acknowledged bool
	Heartbeat    *protocol.WorkerHeartbeat
	// NotSent is set if nothing of the batch was sent, because it was revoked or had become outdated.
	NotSent bool
}

// ProbeReply is the outcome of a Probe. Heartbeat is nil if the machine did not answer with a heartbeat of its own.
type ProbeReply struct {
	Machine   string
	Heartbeat *protocol.WorkerHeartbeat
}

// MachineTypesUpdated reports the price list of the cloud.
type MachineTypesUpdated struct{ Types []protocol.MachineType }

// MachinesListed reports the list of machines in the cloud. Failed is set if the list could not be read.
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
	// Refused is set if the cloud has no such machines available.
	Refused bool
}

// ScaleInResult is the outcome of releasing machines.
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
