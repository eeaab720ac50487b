package scheduler

import (
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// Effect is an output of Step. The caller carries out effects in order.
type Effect interface{ effect() }

// CloudRequest is a request to the cloud.
type CloudRequest struct{ Effect autoscaler.Effect }

// HeartbeatReply is the answer to a HeartbeatReceived event.
type HeartbeatReply struct {
	ReplyTo any
	Body    protocol.WorkerHeartbeatReply
}

// WritePriority is the purpose of a write, which determines its priority. Lower values go first.
type WritePriority uint8

const (
	// PriorityStart is for placements that start as soon as they are recorded.
	PriorityStart WritePriority = iota
	// PriorityUnblock is for the ends of jobs that other jobs depend on.
	PriorityUnblock
	// PriorityCompletion is for the ends of tasks and of all other jobs.
	PriorityCompletion
	// PriorityMaintenance is for deletions and for hints to the next leader.
	PriorityMaintenance
)

// Write is a transaction. It is retried until its outcome is known, and that outcome is reported by a
// TransactionOutcome.
type Write struct {
	ID  uint64
	Txn protocol.Txn
	// VerifyKey is a key whose record contains VerifyName if the transaction was committed.
	VerifyKey  string
	VerifyName string
	Priority   WritePriority
	// Splittable is set if the transaction contains records of several jobs, which may be written separately.
	Splittable bool
}

// SendCommandBatch sends commands to a machine. It is answered by a CommandBatchResult.
type SendCommandBatch struct {
	Machine, Addr string
	Batch         protocol.CommandBatch
}

// RevokeCommandBatch asks that the command batch to a machine is not sent if it has not been written to a connection
// yet, because it contains an outdated start command. The batch is answered in any case.
type RevokeCommandBatch struct{ Machine string }

// Probe asks a machine for a heartbeat. It is answered by a ProbeReply.
type Probe struct{ Machine, Addr string }

// ReadFinalState reads the state in which a job has ended. It is answered by a FinalStateRead.
type ReadFinalState struct{ ID string }

// FeatureLevelFinal reports that a feature level is final.
type FeatureLevelFinal struct{ Level featurelevel.Level }

// ZoneDecision reports a decision of zone failover.
type ZoneDecision struct{ Decision zonefailover.Decision }

// StepDown ends the term.
type StepDown struct {
	// LaterTerm is the number of the later term, if one is known to have begun, or 0.
	LaterTerm uint64
	Reason    string
	// TransferLeadership is set if another controller should become the leader.
	TransferLeadership bool
}

func (HeartbeatReply) effect()     {}
func (Write) effect()              {}
func (SendCommandBatch) effect()   {}
func (RevokeCommandBatch) effect() {}
func (Probe) effect()              {}
func (StepDown) effect()           {}
func (CloudRequest) effect()       {}
func (ZoneDecision) effect()       {}
func (ReadFinalState) effect()     {}
func (FeatureLevelFinal) effect()  {}
