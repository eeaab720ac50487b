package election

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const ms = time.Millisecond

var testTiming = Timing{
	HeartbeatInterval:   100 * ms,
	LeaderTimeout:       time.Second,
	LeaseTTL:            1500 * ms,
	ConfirmationTimeout: 2 * time.Second,
	CandidateDelay:      100 * ms,
	CancellationTimeout: time.Second,
	RenewalHorizon:      4 * time.Second,
	RecoveryPeriod:      7 * time.Second,
}

// cluster simulates a group of controllers and the store that they share. Messages between controllers and requests to
// the store take no time.
type cluster struct {
	t                *rapid.T
	now              time.Duration
	names            []string
	elections        map[string]*Election
	startedAt        map[string]time.Duration
	storeUnreachable map[string]bool // controllers that cannot reach the store
	isolated         map[string]bool // controllers that cannot reach their peers

	term           uint64 // the term in the term record
	keyHolder      string // the controller named in the leader key
	keyPresent     bool
	leaseID        uint64
	leaseExpiresAt time.Duration     // when the lease that holds the leader key expires
	leaderOfTerm   map[uint64]string // the leader of each term that has had one
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		elections:        map[string]*Election{},
		storeUnreachable: map[string]bool{},
		isolated:         map[string]bool{},
		leaderOfTerm:     map[uint64]string{},
		startedAt:        map[string]time.Duration{},
		t:                t,
	}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("n%d", i))
	}
	for _, n := range c.names {
		c.restart(n)
	}
	return c
}

// restart replaces a controller by a new process that has kept no state.
func (c *cluster) restart(name string) {
	var peers []string
	for _, n := range c.names {
		if n != name {
			peers = append(peers, n)
		}
	}
	c.elections[name] = New(c.now, name, peers, testTiming)
	c.startedAt[name] = c.now
}

// step passes an event to a controller and applies the resulting effects.
func (c *cluster) step(name string, e Event) {
	for _, effect := range c.elections[name].Step(c.now, e) {
		switch o := effect.(type) {
		case Claim:
			c.step(name, c.claim(name, o))
		case RenewLease:
			c.step(name, c.renew(name, o))
		case BecomeLeader:
			if other, ok := c.leaderOfTerm[o.Term]; ok {
				c.t.Fatalf("term %d is led by %s and %s", o.Term, other, name)
			}
			c.leaderOfTerm[o.Term] = name
		case StepDown:
			if !c.storeUnreachable[name] && c.leaseID == o.LeaseID {
				c.keyPresent = false
			}
		}
	}
}

func (c *cluster) renew(name string, renewal RenewLease) RenewalResult {
	if c.storeUnreachable[name] {
		return RenewalResult{Term: renewal.Term}
	}
	if c.leaseID != renewal.LeaseID || !c.keyPresent {
		return RenewalResult{Term: renewal.Term, LeaseExpired: true}
	}
	c.leaseExpiresAt = c.now + testTiming.LeaseTTL
	return RenewalResult{Term: renewal.Term}
}

func (c *cluster) claim(name string, claim Claim) ClaimResult {
	if c.storeUnreachable[name] {
		return ClaimResult{}
	}
	if c.term > claim.AboveTerm && c.keyPresent && c.keyHolder != name {
		c.step(name, LeaderKey{Present: true, Holder: c.keyHolder, Term: c.term})
		return ClaimResult{}
	}
	c.term = max(c.term, claim.AboveTerm) + 1
	c.keyHolder, c.keyPresent, c.leaseExpiresAt = name, true, c.now+testTiming.LeaseTTL
	c.leaseID++
	return ClaimResult{Won: true, Term: c.term, Revision: c.term, LeaseID: c.leaseID, SentAt: c.now}
}

// run advances the simulation by a number of steps, each half a heartbeat interval long.
func (c *cluster) run(steps int) {
	for range steps {
		c.now += testTiming.HeartbeatInterval / 2
		if c.keyPresent && c.now > c.leaseExpiresAt {
			c.keyPresent = false
		}
		for _, name := range c.names {
			if !c.storeUnreachable[name] {
				c.step(name, LeaderKey{Present: c.keyPresent, Holder: c.keyHolder, Term: c.term})
				c.step(name, WatchProgress{Term: c.elections[name].term, UpTo: c.now})
			}
			c.step(name, Tick{})
			c.sendHeartbeats(name)
		}
	}
}

// sendHeartbeats exchanges a heartbeat and its reply with every reachable peer.
func (c *cluster) sendHeartbeats(from string) {
	for _, to := range c.names {
		if to == from || c.isolated[from] || c.isolated[to] {
			continue
		}
		sender := c.elections[from].View(c.now)
		c.step(to, PeerHeartbeat{From: from, Term: sender.Term, Leader: sender.Leader})
		receiver := c.elections[to].View(c.now)
		c.step(from, PeerHeartbeat{
			From:             to,
			Term:             receiver.Term,
			Leader:           receiver.Leader,
			Reply:            true,
			SentAt:           c.now,
			IntentsComplete:  true,
			Recovered:        c.now >= c.startedAt[to]+testTiming.RecoveryPeriod,
			IncarnationSince: c.startedAt[to],
		})
	}
}

func (c *cluster) leaders() (names []string) {
	for _, name := range c.names {
		if c.elections[name].View(c.now).Leading {
			names = append(names, name)
		}
	}
	return names
}

// requireLeader fails the test unless the named controller is the only leader and the current term is the given one.
func (c *cluster) requireLeader(name string, term uint64) {
	c.t.Helper()
	if l := c.leaders(); len(l) != 1 || l[0] != name || c.term != term || c.elections[name].term != term {
		c.t.Fatalf("at %v: leaders %v in term %d, want %s in term %d", c.now, l, c.term, name, term)
	}
}

// requireOtherLeader fails the test unless there is exactly one leader and it is not the named controller.
func (c *cluster) requireOtherLeader(name string) {
	c.t.Helper()
	if l := c.leaders(); len(l) != 1 || l[0] == name {
		c.t.Fatalf("at %v: leaders %v, want one other than %s", c.now, l, name)
	}
}
