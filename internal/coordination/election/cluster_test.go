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

// cluster is a group of controllers with a model of the store. Messages between controllers and
// calls of the store are instantaneous.
type cluster struct {
	t         *rapid.T
	now       time.Duration
	names     []string
	elections map[string]*Election
	startedAt map[string]time.Duration
	storeDown map[string]bool // controllers that do not reach the store
	isolated  map[string]bool // controllers that do not reach their peers

	term         uint64 // of the term's record
	holder       string // of the leader's key
	keyPresent   bool
	leaseID      uint64
	expires      time.Duration     // when the lease does
	leaderOfTerm map[uint64]string // all terms that were led
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		elections:    map[string]*Election{},
		storeDown:    map[string]bool{},
		isolated:     map[string]bool{},
		leaderOfTerm: map[uint64]string{},
		startedAt:    map[string]time.Duration{},
		t:            t,
	}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("n%d", i))
	}
	for _, n := range c.names {
		c.restart(n)
	}
	return c
}

// restart starts a new process of a controller.
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

// step passes an event to a controller and carries out the effects.
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
			if !c.storeDown[name] && c.leaseID == o.LeaseID {
				c.keyPresent = false
			}
		}
	}
}

func (c *cluster) renew(name string, renewal RenewLease) RenewalResult {
	if c.storeDown[name] {
		return RenewalResult{Term: renewal.Term}
	}
	if c.leaseID != renewal.LeaseID || !c.keyPresent {
		return RenewalResult{Term: renewal.Term, LeaseExpired: true}
	}
	c.expires = c.now + testTiming.LeaseTTL
	return RenewalResult{Term: renewal.Term}
}

func (c *cluster) claim(name string, claim Claim) ClaimResult {
	if c.storeDown[name] {
		return ClaimResult{}
	}
	if c.term > claim.AboveTerm && c.keyPresent && c.holder != name {
		c.step(name, LeaderKey{Present: true, Holder: c.holder, Term: c.term})
		return ClaimResult{}
	}
	c.term = max(c.term, claim.AboveTerm) + 1
	c.holder, c.keyPresent, c.expires = name, true, c.now+testTiming.LeaseTTL
	c.leaseID++
	return ClaimResult{Won: true, Term: c.term, Revision: c.term, LeaseID: c.leaseID, SentAt: c.now}
}

// run lets time pass in steps of half a heartbeat interval.
func (c *cluster) run(steps int) {
	for range steps {
		c.now += testTiming.HeartbeatInterval / 2
		if c.keyPresent && c.now > c.expires {
			c.keyPresent = false
		}
		for _, name := range c.names {
			if !c.storeDown[name] {
				c.step(name, LeaderKey{Present: c.keyPresent, Holder: c.holder, Term: c.term})
				c.step(name, WatchProgress{Term: c.elections[name].term, UpTo: c.now})
			}
			c.step(name, Tick{})
			c.sendHeartbeats(name)
		}
	}
}

// sendHeartbeats exchanges a heartbeat and its answer with every peer.
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

// requireLeader fails the test unless the named controller is the only leader, in the term.
func (c *cluster) requireLeader(name string, term uint64) {
	c.t.Helper()
	if l := c.leaders(); len(l) != 1 || l[0] != name || c.term != term || c.elections[name].term != term {
		c.t.Fatalf("at %v: leaders %v in term %d, want %s in term %d", c.now, l, c.term, name, term)
	}
}

// requireOtherLeader fails the test unless there is one leader, which is not the named controller.
func (c *cluster) requireOtherLeader(name string) {
	c.t.Helper()
	if l := c.leaders(); len(l) != 1 || l[0] == name {
		c.t.Fatalf("at %v: leaders %v, want one other than %s", c.now, l, name)
	}
}
