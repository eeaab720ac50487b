package fencing

import (
	"time"

	"pinebay/internal/protocol"
)

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Assessment describes this controller's situation. The caller sends one at a regular interval.
	Assessment struct {
		// Leaderless says that a quorum agrees that there is no leader and that none can be elected.
		Leaderless bool
		// Recovering says that this process started so recently that it may lack intents of an
		// earlier one that still matter.
		Recovering bool
		// OldestIntentAt is when the oldest cancellation intent arrived that is still held, if
		// HasIntent is set.
		HasIntent      bool
		OldestIntentAt time.Duration
	}

	// HeartbeatReceived is a worker's heartbeat that reached this controller.
	HeartbeatReceived struct{ Heartbeat *protocol.WorkerHeartbeat }

	// MachinesListed is the cloud's machine list.
	MachinesListed struct{ Machines []protocol.ListedMachine }

	// SilenceConfirmed names machines that no peer hears either.
	SilenceConfirmed struct{ Machines []string }

	// MachinesReleased names machines that the cloud has taken back.
	MachinesReleased struct{ Machines []string }

	// PeerQuery asks on behalf of a peer which of the machines this controller hears. Reply must
	// have room for one answer.
	PeerQuery struct {
		Machines []string
		Reply    chan<- []string
	}
)

// Effect is an output of Step.
type Effect interface{ effect() }

// Effects.
type (
	// ListMachines asks for the cloud's machine list, as MachinesListed. If that fails, the next
	// assessment asks again.
	ListMachines struct{}

	// QueryPeers asks every peer which of the machines it hears. StillSilent evaluates the
	// replies; the result is SilenceConfirmed. If it is not certain, the next assessment asks again.
	QueryPeers struct{ Machines []string }

	// ReleaseMachines returns machines to the cloud. Those that were released are reported as
	// MachinesReleased.
	ReleaseMachines struct{ Machines []string }

	// AnswerPeer answers a PeerQuery.
	AnswerPeer struct {
		Heard []string
		Reply chan<- []string
	}
)

func (Assessment) event()        {}
func (HeartbeatReceived) event() {}
func (MachinesListed) event()    {}
func (SilenceConfirmed) event()  {}
func (MachinesReleased) event()  {}
func (PeerQuery) event()         {}

func (ListMachines) effect()    {}
func (QueryPeers) effect()      {}
func (ReleaseMachines) effect() {}
func (AnswerPeer) effect()      {}
