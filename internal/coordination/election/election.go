// Package election elects the leader among the controllers.
//
// The leader holds a key in the key-value store, which is bound to a lease. Each change of leadership increments the
// term. The term is part of the workers' fencing token, and every write of a leader is conditional on the term record.
// Two controllers that both believe they lead are therefore harmless, and so is claiming the leadership too early. What
// this package must ensure is that the leadership changes rarely, and only for a reason.
//
// Election is a pure state machine: it performs no I/O, reads no clock, starts no goroutines and is not safe for
// concurrent use. All times are durations on one monotonic clock. The caller passes each event to Step together with
// the current time, and then, in this order:
//
//  1. publishes the new View, before anything acts on the effects,
//  2. carries out the effects in the order in which they were returned.
//
// Claim, RenewLease and the revocation of the lease in StepDown wait for the store, so the caller runs them in the
// background. It passes the outcome of the first two to Step as ClaimResult and RenewalResult. The work of a term must
// have been started for BecomeLeader, or stopped for StepDown, before Step is called again.
package election

import (
	"time"
)

// Timing holds the intervals and timeouts of the election, all of which are derived from the configuration.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats to the same peer, and between two Ticks.
	HeartbeatInterval time.Duration
	// LeaderTimeout is how long there must have been no contact with a leader before it may be replaced.
	LeaderTimeout time.Duration
	// LeaseTTL is the time to live of the lease that holds the leader key.
	LeaseTTL time.Duration
	// ConfirmationTimeout is how long a leader may continue after its leadership was last confirmed.
	ConfirmationTimeout time.Duration
	// RenewalHorizon is how long a controller may keep renewing workers' leases after the last time at which it knew
	// every cancellation. It is limited because leases must expire before the tasks of a cancelled job have to be gone.
	RenewalHorizon time.Duration
	// CancellationTimeout is how long after its intent was recorded a cancellation can still be confirmed. A
	// later confirmation requires a new intent.
	CancellationTimeout time.Duration
	// RecoveryPeriod is how long after its start a controller may lack relevant cancellation intents that an earlier
	// process of the same name held. It ends when every task has ended whose lease was last renewed by a controller
	// that did not know those intents.
	RecoveryPeriod time.Duration
	// CandidateDelay is the delay between the claims of candidates of consecutive ranks that become ready together.
	CandidateDelay time.Duration
}

// role is the current role of a controller in the election.
type role int

const (
	roleFollower role = iota
	// roleCandidate means that a claim is in flight.
	roleCandidate
	roleLeader
)

// Election is the state machine of a single controller. See the package comment for how to drive it.
type Election struct {
	self   string
	peers  []string
	timing Timing

	role      role
	term      uint64 // the highest term known
	leader    string // the leader of that term, or "" if unknown
	startedAt time.Duration
	effects   []Effect // to be returned by the current Step

	// Follower state.
	leaderContactAt      time.Duration
	leaderDisconnectedAt time.Duration
	peerContactAt        map[string]time.Duration // excludes peers that have disconnected
	quorumContactSince   time.Duration            // 0 if no quorum is reachable
	leaderKeyTerm        uint64                   // the highest term seen in the leader key
	leaderKeyMissing     bool
	claimAt              time.Duration // 0 if no claim is scheduled
	noClaimBefore        time.Duration // lets other controllers lead after a resignation

	// Leader state.
	leaseID                uint64
	renewalSentAt          time.Duration
	renewalInFlight        bool
	claimSentAt            time.Duration
	storeChangesKnownUntil time.Duration            // 0 if no changes are known
	ackedAt                map[string]time.Duration // when the latest heartbeat acknowledged by the peer was sent
	// intentsCompleteAsOf is when the latest heartbeat was sent whose reply completed the peer's intents.
	intentsCompleteAsOf map[string]time.Duration
}

// New returns an Election in the follower role that knows neither a term nor a leader.
func New(now time.Duration, self string, peers []string, timing Timing) *Election {
	return &Election{
		self:                self,
		peers:               peers,
		timing:              timing,
		startedAt:           now,
		leaderContactAt:     now,
		peerContactAt:       map[string]time.Duration{},
		ackedAt:             map[string]time.Duration{},
		intentsCompleteAsOf: map[string]time.Duration{},
	}
}

// View is a snapshot of the election for other actors. Its times are absolute, so a process that was suspended can tell
// that a view taken before is out of date.
type View struct {
	Term    uint64
	Leader  string // "" if unknown or not in contact
	Leading bool   // whether this controller is the leader
	// ConfirmedUntil is set on the leader: the time at which its leadership ceases to be confirmed.
	ConfirmedUntil time.Duration
	// MayRenewUntil is set on the leader: the time until which it may renew workers' leases. A controller that renews
	// leases must know every cancellation that may have been confirmed to a user.
	MayRenewUntil time.Duration
}

// View returns a snapshot of the election at the given time.
func (e *Election) View(now time.Duration) View {
	v := View{Term: e.term, Leader: e.leader, Leading: e.role == roleLeader}
	switch {
	case v.Leading:
		v.ConfirmedUntil = e.confirmedUntil(now)
		if at := e.cancellationsKnownUntil(now); at > 0 {
			v.MayRenewUntil = at + e.timing.RenewalHorizon
		}
	case e.leader == e.self || now-e.leaderContactAt > e.timing.LeaderTimeout:
		v.Leader = ""
	}
	return v
}

// Step processes an event and returns the effects that the caller must carry out, in order. The caller owns the
// returned slice.
func (e *Election) Step(now time.Duration, event Event) []Effect {
	e.effects = nil
	switch ev := event.(type) {
	case Tick:
		e.tick(now)
	case LeaderKey:
		e.handleLeaderKey(now, ev)
	case PeerHeartbeat:
		e.handleHeartbeat(now, ev)
	case PeerDisconnected:
		e.handleDisconnect(now, ev)
	case ClaimResult:
		e.handleClaimResult(now, ev)
	case RenewalResult:
		e.handleRenewalResult(now, ev)
	case WatchProgress:
		if e.role == roleLeader && ev.Term == e.term {
			e.storeChangesKnownUntil = max(e.storeChangesKnownUntil, ev.UpTo)
		}
	case HigherTerm:
		e.adoptTerm(now, ev.Term, "")
	case Resign:
		e.handleResign(now, ev)
	}
	return e.effects
}

// emit appends an effect to those that the current Step returns.
func (e *Election) emit(effect Effect) { e.effects = append(e.effects, effect) }
