package election

import (
	"time"

	"pinebay/internal/coordination/featurelevel"
)

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass. The caller sends one every heartbeat interval.
	Tick struct{}

	// LeaderKey is the state of the leader's key in the store.
	LeaderKey struct {
		Present bool
		Holder  string
		Term    uint64
	}

	// PeerHeartbeat is a peer's heartbeat, or its answer to ours.
	PeerHeartbeat struct {
		From   string
		Term   uint64
		Leader string
		// Reply is set if this answers a heartbeat of ours, which was sent at SentAt.
		Reply  bool
		SentAt time.Duration
		// IntentsComplete says that we now hold every cancellation intent that the peer holds.
		IntentsComplete bool
		// Recovered says that the peer lacks no intent that still matters.
		Recovered bool
		// IncarnationSince is when the peer's current process first answered us.
		IncarnationSince time.Duration
	}

	// PeerDisconnected says that a peer's connection to us has ended.
	PeerDisconnected struct{ Peer string }

	// ClaimResult is the outcome of a Claim. The other fields are set if Won is. If the claim was
	// lost to another leader, a LeaderKey event names that one.
	ClaimResult struct {
		Won          bool
		Term         uint64
		Revision     uint64             // of the term's record
		FeatureLevel featurelevel.Level // that is final in this term
		LeaseID      uint64
		SentAt       time.Duration
	}

	// RenewalResult is the outcome of a RenewLease. A renewal that failed for another reason than
	// an expired lease is reported without LeaseExpired and tried again.
	RenewalResult struct {
		LeaseExpired bool
		Term         uint64
	}

	// WatchProgress says that the leader of the term knows every change of the accepted jobs up to
	// a time.
	WatchProgress struct {
		Term uint64
		UpTo time.Duration
	}

	// HigherTerm says that a higher term was seen somewhere, without its leader.
	HigherTerm struct{ Term uint64 }

	// Resign ends our leadership if the term is still ours. With DeferToOthers, this controller
	// does not claim for a while, so that another one can lead.
	Resign struct {
		Term          uint64
		DeferToOthers bool
	}
)

// Effect is an output of Step. See the package comment for the order in which the caller carries
// effects out.
type Effect interface{ effect() }

// Effects.
type (
	// Claim asks for one attempt to take the leadership, unless a leader of a term above AboveTerm
	// holds the key. The caller must answer with exactly one ClaimResult; until then no other claim
	// is made.
	Claim struct{ AboveTerm uint64 }

	// RenewLease asks for one renewal of the leader's lease. The caller must answer with exactly one
	// RenewalResult.
	RenewLease struct{ LeaseID, Term uint64 }

	// BecomeLeader starts this controller's leadership of a term.
	BecomeLeader struct {
		Term         uint64
		Revision     uint64             // of the term's record
		FeatureLevel featurelevel.Level // that is final in this term
	}

	// StepDown ends this controller's leadership of a term, and the lease that holds its key.
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
