// Package election decides which controller leads. The leader holds a key of
// the state service by a lease; each change of leader raises the term, whose
// number is the workers' token and whose record fences every write. So taking
// over early is safe, and this state machine only has to keep it calm.
package election

import (
	"time"
)

// role of this controller.
type role int

// Roles.
const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// Timing of the election; all are ratios of the settings' figures.
type Timing struct {
	HeartbeatInterval   time.Duration // between two beats to a peer
	LeaderTimeout       time.Duration // a leader that is silent so long may be replaced
	LeaseTTL            time.Duration // of the leader's lease
	ConfirmationTimeout time.Duration // a leader without any confirmation goes on so long
	// RenewalHorizon is for how long whoever knew of every cancellation up to some time may
	// still renew leases: the leases must be over before the tasks have to be gone.
	RenewalHorizon time.Duration
	// CancellationTimeout is within what time of its intent a cancellation is confirmed, or
	// else not without another intent.
	CancellationTimeout time.Duration
	// RecoveryPeriod is how long after its start a controller may have forgotten intents
	// that matter: until every task has ended whose lease was last renewed by
	// somebody who did not know them.
	RecoveryPeriod time.Duration
	CandidateDelay time.Duration // between candidates that wake at the same time
}

// Election is the state machine of one controller.
type Election struct {
	self   string
	peers  []string
	timing Timing

	role                 role
	term                 uint64 // highest known
	leader               string // of that term, as far as known
	leaderHeardAt        time.Duration
	quorumHeardSince     time.Duration // since when a majority has been heard; 0: it is not
	leaderDisconnectedAt time.Duration // when the leader's connection last ended
	keyTerm              uint64
	keyMissing           bool
	claimAt              time.Duration            // 0: none intended
	deferUntil           time.Duration            // until then others should lead
	peerHeardAt          map[string]time.Duration // when each peer was last heard; not there once its connection has ended

	leaseID           uint64
	renewalSentAt     time.Duration
	renewing          bool
	startedAt         time.Duration
	claimSentAt       time.Duration            // when the claim of our term was sent
	changesKnownUpTo  time.Duration            // up to when we know the state service's changes; 0: not at all
	ackedAt           map[string]time.Duration // when the last beat was sent that was acknowledged
	intentsReceivedAt map[string]time.Duration // and with all intents
	effects           []Effect
}

// New returns a follower that knows nothing.
func New(now time.Duration, self string, peers []string, t Timing) *Election {
	return &Election{
		self:              self,
		peers:             peers,
		timing:            t,
		leaderHeardAt:     now,
		startedAt:         now,
		peerHeardAt:       map[string]time.Duration{},
		ackedAt:           map[string]time.Duration{},
		intentsReceivedAt: map[string]time.Duration{},
	}
}

// View is what others may know of the machine.
type View struct {
	Term           uint64
	Leader         string // "" when unknown or silent
	Leading        bool
	ConfirmedUntil time.Duration // when leading: it is confirmed until then
	// MayRenewUntil is, when leading, until when workers may be answered: whoever renews
	// their leases must know of every cancellation that a user may have been told of.
	MayRenewUntil time.Duration
}

// View returns the current view.
func (m *Election) View(now time.Duration) View {
	v := View{Term: m.term, Leader: m.leader, Leading: m.role == roleLeader}
	switch {
	case v.Leading:
		v.ConfirmedUntil = m.confirmedUntil(now)
		if at := m.cancellationsKnownUpTo(now); at > 0 {
			v.MayRenewUntil = at + m.timing.RenewalHorizon
		}
	case m.leader == m.self || now-m.leaderHeardAt > m.timing.LeaderTimeout:
		v.Leader = ""
	}
	return v
}

// Step takes an event and returns what is to be done.
func (m *Election) Step(now time.Duration, event Event) []Effect {
	m.effects = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case LeaderKey:
		m.handleLeaderKey(now, e)
	case PeerHeartbeat:
		m.peerHeardAt[e.From] = now
		m.handleHeartbeat(now, e)
	case PeerDisconnected:
		delete(m.peerHeardAt, e.Peer)
		if m.role == roleFollower && e.Peer == m.leader {
			m.leaderDisconnectedAt = now
			// A live leader connects again within a beat.
			m.scheduleClaim(now + 2*m.timing.HeartbeatInterval)
		}
	case ClaimResult:
		m.handleClaimResult(now, e)
	case RenewalResult:
		m.handleRenewalResult(now, e)
	case WatchProgress:
		if m.role == roleLeader && e.Term == m.term {
			m.changesKnownUpTo = max(m.changesKnownUpTo, e.UpTo)
		}
	case HigherTerm:
		m.adoptTerm(now, e.Term, "")
	case Resign:
		if m.role == roleLeader && e.Term == m.term {
			m.stepDown(now)
			m.leader = ""
			if e.DeferToOthers {
				m.deferUntil = now + 2*m.timing.LeaseTTL
			} else {
				m.scheduleClaim(now + m.timing.HeartbeatInterval)
			}
		}
	}
	return m.effects
}
