package election

import (
	"time"
)

// Event is what a step takes.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// LeaderKey is what the state service says of the leader's key.
	LeaderKey struct {
		Present bool
		Holder  string
		Term    uint64
	}
	// PeerHeartbeat is a peer's message; Reply is true if it answers ours, sent at Sent.
	// Complete says that we now hold every intent which the peer holds, Whole that
	// it has forgotten none that may still matter, and IncarnationSince when its process first
	// answered us.
	PeerHeartbeat struct {
		From                       string
		Term                       uint64
		Leader                     string
		Reply                      bool
		IntentsComplete, Recovered bool
		IncarnationSince           time.Duration
		SentAt                     time.Duration
	}
	// PeerDisconnected says that a peer's connection to us has ended.
	PeerDisconnected struct{ Peer string }
	// ClaimResult is the outcome of a claim. Without Won, Key says who leads, if known.
	ClaimResult struct {
		Won          bool
		Term         uint64
		Revision     uint64
		FeatureLevel int // the final feature level
		LeaseID      uint64
		SentAt       time.Duration
	}
	// RenewalResult is the outcome of a renewal; LeaseExpired says that the lease is over.
	RenewalResult struct {
		LeaseExpired bool
		Term         uint64
	}
	// WatchProgress says that the leader of the term knows every change of the accepted
	// jobs up to At.
	WatchProgress struct {
		Term uint64
		UpTo time.Duration
	}
	// HigherTerm says that a higher term exists somewhere.
	HigherTerm struct{ Term uint64 }
	// Resign ends our leadership, if the term is still ours. Away says that
	// another controller should lead.
	Resign struct {
		Term          uint64
		DeferToOthers bool
	}
)

// Effect is what a step asks for.
type Effect interface{ effect() }

// Effects.
type (
	// Claim asks for the leadership, over a leader of at most the given term.
	Claim struct{ AboveTerm uint64 }
	// RenewLease renews the leader's lease.
	RenewLease struct{ LeaseID, Term uint64 }
	// BecomeLeader begins the leadership of a term, in which a feature level is final.
	BecomeLeader struct {
		Term, Revision uint64
		FeatureLevel   int
	}
	// StepDown ends the leadership of a term, and the lease that holds its key.
	StepDown struct{ Term, LeaseID uint64 }
)

func (Tick) event()             {}
func (LeaderKey) event()        {}
func (PeerHeartbeat) event()    {}
func (PeerDisconnected) event() {}
func (ClaimResult) event()      {}
func (RenewalResult) event()    {}
func (WatchProgress) event()    {}
func (HigherTerm) event()       {}
func (Resign) event()           {}

func (Claim) effect()        {}
func (RenewLease) effect()   {}
func (BecomeLeader) effect() {}
func (StepDown) effect()     {}
