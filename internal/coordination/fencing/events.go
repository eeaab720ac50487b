package fencing

import (
	"time"

	"pinebay/internal/protocol"
)

// Event is an input to Fencer.Step.
type Event interface{ event() }

// Events that Step accepts.
type (
	// Assessment describes the situation of this controller. The caller sends one at regular intervals.
	Assessment struct {
		// Leaderless reports whether a quorum agrees that there is no leader and that none can be elected.
		Leaderless bool
		// Recovering reports whether this process started so recently that it may lack intents which an earlier process
		// held and which are still relevant.
		Recovering bool
		// OldestIntentAt is when the oldest cancellation intent still held arrived. It is valid if HasIntent is true.
		HasIntent      bool
		OldestIntentAt time.Duration
	}

	// HeartbeatReceived reports that this controller received a heartbeat from a worker.
	HeartbeatReceived struct{ Heartbeat *protocol.WorkerHeartbeat }

	// MachinesListed reports the cloud's list of machines.
	MachinesListed struct{ Machines []protocol.ListedMachine }

	// UnreachableConfirmed lists machines that none of the peers has received a recent heartbeat from either.
	UnreachableConfirmed struct{ Machines []string }

	// MachinesReleased lists machines whose release the cloud has accepted.
	MachinesReleased struct{ Machines []string }

	// PeerQuery is a peer's question which of the machines this controller has recently received heartbeats from. Reply
	// must have buffer space for one answer.
	PeerQuery struct {
		Machines []string
		Reply    chan<- []string
	}
)

// Effect is an output of Fencer.Step.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// ListMachines requests the cloud's list of machines, to be reported as MachinesListed. A failed request is
	// repeated at the next Assessment.
	ListMachines struct{}

	// QueryPeers requests that every peer be asked which of the machines it has recently received heartbeats from. The
	// caller evaluates the replies with UnreachableMachines and reports the result as UnreachableConfirmed. If the
	// result is not certain, the query is repeated at the next Assessment.
	QueryPeers struct{ Machines []string }

	// ReleaseMachines requests that machines be returned to the cloud. Those that were released are reported as
	// MachinesReleased.
	ReleaseMachines struct{ Machines []string }

	// AnswerPeer is the answer to a PeerQuery.
	AnswerPeer struct {
		LiveMachines []string
		Reply        chan<- []string
	}
)

func (Assessment) event()           {}
func (HeartbeatReceived) event()    {}
func (MachinesListed) event()       {}
func (UnreachableConfirmed) event() {}
func (MachinesReleased) event()     {}
func (PeerQuery) event()            {}

func (ListMachines) effect()    {}
func (QueryPeers) effect()      {}
func (ReleaseMachines) effect() {}
func (AnswerPeer) effect()      {}
