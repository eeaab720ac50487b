// Package election decides which controller leads.
//
// The leader holds a key of the key-value store by a lease. Every change of leader raises the
// term. The term is part of the workers' fencing token, and the record of the term is a
// condition of every write of a leader, so two controllers that both believe to lead cannot do
// harm. Claiming the leadership early is therefore safe; what this package has to provide is
// that it changes hands seldom and only for a reason.
//
// Election is a pure state machine: it does no I/O, reads no clock, starts no goroutines and is
// not safe for concurrent use. All times are durations on one steady clock. The caller passes
// every event to Step with the current time and then, in this order,
//
//  1. publishes the new View, before anything acts on the effects,
//  2. carries out the effects in the order in which they were returned.
//
// Claim, RenewLease and the end of the lease in StepDown wait for the store; the caller runs them
// in the background and passes the outcome of the first two to Step as ClaimResult and
// RenewalResult. BecomeLeader and StepDown must have started and stopped the work of the term
// before the next call of Step.
package election

import (
	"time"
)

// Timing holds the intervals and timeouts of the election. All are derived from the settings.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats to a peer, and between two Ticks.
	HeartbeatInterval time.Duration
	// LeaderTimeout is how long a leader must be silent before it may be replaced.
	LeaderTimeout time.Duration
	// LeaseTTL is the time to live of the lease that holds the leader's key.
	LeaseTTL time.Duration
	// ConfirmationTimeout is how long a leader goes on without any confirmation.
	ConfirmationTimeout time.Duration
	// RenewalHorizon is how long a controller that knew of every cancellation at some time may go
	// on to renew leases: leases must expire before cancelled tasks have to be gone.
	RenewalHorizon time.Duration
	// CancellationTimeout is the time within which a cancellation is confirmed after its intent
	// was recorded. A cancellation that is not confirmed by then needs a new intent.
	CancellationTimeout time.Duration
	// RecoveryPeriod is how long after its start a controller may lack intents that still matter,
	// because an earlier process of the same name held them: until every task has ended whose
	// lease was last renewed by a controller that did not know those intents.
	RecoveryPeriod time.Duration
	// CandidateDelay is the time between the claims of candidates that become ready together.
	CandidateDelay time.Duration
}

// role is the part that a controller currently plays in the election.
type role int

const (
	roleFollower role = iota
	// roleCandidate has a claim under way.
	roleCandidate
	roleLeader
)

// Election is the state machine of one controller.
type Election struct {
	self   string
	peers  []string
	timing Timing

	role      role
	term      uint64 // highest known term
	leader    string // leader of that term, "" if unknown
	startedAt time.Duration
	effects   []Effect // of the current step

	// As a follower.
	leaderHeardAt        time.Duration
	leaderDisconnectedAt time.Duration
	peerHeardAt          map[string]time.Duration // without peers whose connection has ended
	quorumHeardSince     time.Duration            // 0: no quorum is heard
	keyTerm              uint64                   // highest term seen in the leader's key
	keyMissing           bool
	claimAt              time.Duration // 0: no claim is scheduled
	deferUntil           time.Duration // no claim before, so that others can lead

	// As the leader.
	leaseID           uint64
	renewalSentAt     time.Duration
	renewing          bool
	claimSentAt       time.Duration
	changesKnownUpTo  time.Duration            // of the store; 0: nothing is known
	ackedAt           map[string]time.Duration // when the last heartbeat was sent that the peer acknowledged
	intentsReceivedAt map[string]time.Duration // the same, of answers that completed the peer's intents
}

// New returns a follower that knows no term and no leader.
func New(now time.Duration, self string, peers []string, timing Timing) *Election {
	return &Election{
		self:              self,
		peers:             peers,
		timing:            timing,
		startedAt:         now,
		leaderHeardAt:     now,
		peerHeardAt:       map[string]time.Duration{},
		ackedAt:           map[string]time.Duration{},
		intentsReceivedAt: map[string]time.Duration{},
	}
}

// View is a snapshot of the election for other actors. Its times are absolute, so a view that
// was taken before the process stood still is recognisably out of date.
type View struct {
	Term    uint64
	Leader  string // "" when unknown or silent
	Leading bool   // this controller leads
	// ConfirmedUntil is, on the leader, when its leadership stops being confirmed.
	ConfirmedUntil time.Duration
	// MayRenewUntil is, on the leader, until when it may renew workers' leases. Whoever renews
	// them must know of every cancellation that a user may have been told of.
	MayRenewUntil time.Duration
}

// View returns a snapshot.
func (e *Election) View(now time.Duration) View {
	v := View{Term: e.term, Leader: e.leader, Leading: e.role == roleLeader}
	switch {
	case v.Leading:
		v.ConfirmedUntil = e.confirmedUntil(now)
		if at := e.cancellationsKnownUpTo(now); at > 0 {
			v.MayRenewUntil = at + e.timing.RenewalHorizon
		}
	case e.leader == e.self || now-e.leaderHeardAt > e.timing.LeaderTimeout:
		v.Leader = ""
	}
	return v
}

// Step processes an event and returns the effects that the caller must carry out, in order. The
// slice belongs to the caller.
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
			e.changesKnownUpTo = max(e.changesKnownUpTo, ev.UpTo)
		}
	case HigherTerm:
		e.adoptTerm(now, ev.Term, "")
	case Resign:
		e.handleResign(now, ev)
	}
	return e.effects
}

// emit adds an effect to those of the current step.
func (e *Election) emit(effect Effect) { e.effects = append(e.effects, effect) }
