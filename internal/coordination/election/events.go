package election

import (
	"time"

	"pinebay/internal/coordination/featurelevel"
)

// Event is an input to Election.Step.
type Event interface{ event() }

// Events that Step accepts.
type (
	// Tick reports that time has passed. The caller sends one per heartbeat interval.
	Tick struct{}

	// LeaderKey reports the state of the leader key in the store.
	LeaderKey struct {
		Present bool
		Holder  string
		Term    uint64
	}

	// PeerHeartbeat reports a heartbeat from a peer, or a peer's reply to a heartbeat of this controller.
	PeerHeartbeat struct {
		From   string
		Term   uint64
		Leader string
		// Reply is true for a reply. SentAt is then when this controller sent the heartbeat that was replied to.
		Reply  bool
		SentAt time.Duration
		// IntentsComplete reports whether this controller now holds every cancellation intent that the peer holds.
		IntentsComplete bool
		// Recovered reports whether the peer holds every intent that is still relevant, including those from before its
		// restart.
		Recovered bool
		// IncarnationSince is when the peer's current process first replied to this controller.
		IncarnationSince time.Duration
	}

	// PeerDisconnected reports that a peer's connection to this controller has ended.
	PeerDisconnected struct{ Peer string }

	// ClaimResult reports the outcome of a Claim. The other fields are set only if Won is true. If another leader won,
	// a LeaderKey event identifies it.
	ClaimResult struct {
		Won          bool
		Term         uint64
		Revision     uint64             // of the term record
		FeatureLevel featurelevel.Level // the final feature level as of this term
		LeaseID      uint64
		SentAt       time.Duration
	}

	// RenewalResult reports the outcome of a RenewLease. LeaseExpired is false if the renewal failed for any other
	// reason; the renewal is then retried.
	RenewalResult struct {
		LeaseExpired bool
		Term         uint64
	}

	// WatchProgress reports that the leader of the term knows every change to the accepted jobs up to the given time.
	WatchProgress struct {
		Term uint64
		UpTo time.Duration
	}

	// HigherTerm reports that a higher term was observed and its leader is unknown.
	HigherTerm struct{ Term uint64 }

	// Resign ends this controller's leadership if it still leads the term. With DeferToOthers, the controller refrains
	// from claims for a while so that another one can take over.
	Resign struct {
		Term          uint64
		DeferToOthers bool
	}
)

// Effect is an output of Election.Step. The package comment defines the order in which the caller carries effects out.
type Effect interface{ effect() }

// Effects that Step returns.
type (
	// Claim requests one attempt to acquire the leadership, unless the leader of a term above AboveTerm holds the key.
	// The caller must respond with exactly one ClaimResult; no other Claim is issued before that.
	Claim struct{ AboveTerm uint64 }

	// RenewLease requests one renewal of the leader's lease. The caller must respond with exactly one RenewalResult.
	RenewLease struct{ LeaseID, Term uint64 }

	// BecomeLeader starts this controller's leadership of a term.
	BecomeLeader struct {
		Term         uint64
		Revision     uint64             // of the term record
		FeatureLevel featurelevel.Level // the final feature level as of this term
	}

	// StepDown ends this controller's leadership of a term and revokes the lease that holds its key.
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
