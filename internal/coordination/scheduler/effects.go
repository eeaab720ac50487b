package scheduler

import (
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/protocol"
)

// Effect is an output of a step, to be carried out in order.
type Effect interface{ effect() }

// CloudRequest is a call to the cloud.
type CloudRequest struct{ Effect autoscaler.Effect }

// HeartbeatReply answers a HeartbeatReceived.
type HeartbeatReply struct {
	ReplyTo any
	Body    protocol.WorkerHeartbeatReply
}

// WritePriority is the purpose of a write, which decides what goes first. Lower values go first.
type WritePriority uint8

const (
	// PriorityStart is for placements that start once they are recorded.
	PriorityStart WritePriority = iota
	// PriorityUnblock is for the ends of jobs that others depend on.
	PriorityUnblock
	// PriorityCompletion is for the ends of tasks and of other jobs.
	PriorityCompletion
	// PriorityMaintenance is for deletions, and for hints to the next leader.
	PriorityMaintenance
)

// Write is a transaction. It is retried until its outcome is known, which a TransactionOutcome reports.
type Write struct {
	ID  uint64
	Txn protocol.Txn
	// VerifyKey is a key whose record holds Name if the write was carried out.
	VerifyKey string
	Name      string
	Priority  WritePriority
	// Splittable is set if it has records of several jobs, which may be written apart.
	Splittable bool
}

// SendCommandBatch sends commands to a machine. A CommandBatchResult follows.
type SendCommandBatch struct {
	Machine, Addr string
	Batch         protocol.CommandBatch
}

// Probe asks a machine for a heartbeat. A ProbeReply follows if it answers.
type Probe struct{ Machine, Addr string }

// ReadFinalState reads how a job has ended. A FinalStateRead follows.
type ReadFinalState struct{ ID string }

// FeatureLevelFinal says that a feature level is final.
type FeatureLevelFinal struct{ Level featurelevel.Level }

// ZoneDecision reports a decision of zone failover.
type ZoneDecision struct{ Decision zonefailover.Decision }

// StepDown ends the term.
type StepDown struct {
	// LaterTerm is the term of another leader if one is known, or 0.
	LaterTerm uint64
	Reason    string
	// TransferLeadership is set if another controller should lead.
	TransferLeadership bool
}

func (HeartbeatReply) effect()    {}
func (Write) effect()             {}
func (SendCommandBatch) effect()  {}
func (Probe) effect()             {}
func (StepDown) effect()          {}
func (CloudRequest) effect()      {}
func (ZoneDecision) effect()      {}
func (ReadFinalState) effect()    {}
func (FeatureLevelFinal) effect() {}
