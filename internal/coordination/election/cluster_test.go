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

// cluster is a set of controllers with a model of the leader's key.
type cluster struct {
	now          time.Duration
	elections    map[string]*Election
	names        []string
	term         uint64 // of the record
	holder       string
	leaseID      uint64
	expires      time.Duration
	keyPresent   bool
	storeDown    map[string]bool // without the state service
	isolated     map[string]bool // without the mesh
	leaderOfTerm map[uint64]string
	startedAt    map[string]time.Duration
	t            *rapid.T
}

func newCluster(t *rapid.T, n int) *cluster {
	g := &cluster{
		elections:    map[string]*Election{},
		storeDown:    map[string]bool{},
		isolated:     map[string]bool{},
		leaderOfTerm: map[uint64]string{},
		startedAt:    map[string]time.Duration{},
		t:            t,
	}
	for i := range n {
		g.names = append(g.names, fmt.Sprintf("n%d", i))
	}
	for _, n := range g.names {
		g.restart(n)
	}
	return g
}

func (g *cluster) restart(name string) {
	var peers []string
	for _, n := range g.names {
		if n != name {
			peers = append(peers, n)
		}
	}
	g.elections[name] = New(g.now, name, peers, testTiming)
	g.startedAt[name] = g.now
}

func (g *cluster) step(name string, e Event) {
	m := g.elections[name]
	for _, out := range m.Step(g.now, e) {
		switch o := out.(type) {
		case Claim:
			g.step(name, g.claim(name, o))
		case RenewLease:
			ok := !g.storeDown[name] && g.leaseID == o.LeaseID && g.keyPresent
			if ok {
				g.expires = g.now + testTiming.LeaseTTL
			}
			g.step(name, RenewalResult{LeaseExpired: !ok && !g.storeDown[name], Term: o.Term})
		case BecomeLeader:
			if other, ok := g.leaderOfTerm[o.Term]; ok {
				g.t.Fatalf("term %d is led by %s and %s", o.Term, other, name)
			}
			g.leaderOfTerm[o.Term] = name
		case StepDown:
			if !g.storeDown[name] && g.leaseID == o.LeaseID {
				g.keyPresent = false
			}
		}
	}
}

func (g *cluster) claim(name string, c Claim) ClaimResult {
	if g.storeDown[name] {
		return ClaimResult{}
	}
	if g.term > c.AboveTerm && g.keyPresent && g.holder != name {
		g.step(name, LeaderKey{Present: true, Holder: g.holder, Term: g.term})
		return ClaimResult{}
	}
	g.term = max(g.term, c.AboveTerm) + 1
	g.holder, g.keyPresent, g.expires = name, true, g.now+testTiming.LeaseTTL
	g.leaseID++
	return ClaimResult{Won: true, Term: g.term, Revision: g.term, LeaseID: g.leaseID, SentAt: g.now}
}

func (g *cluster) tick() {
	g.now += testTiming.HeartbeatInterval / 2
	if g.keyPresent && g.now > g.expires {
		g.keyPresent = false
	}
	for _, n := range g.names {
		if !g.storeDown[n] {
			g.step(n, LeaderKey{Present: g.keyPresent, Holder: g.holder, Term: g.term})
			g.step(n, WatchProgress{Term: g.elections[n].term, UpTo: g.now})
		}
		g.step(n, Tick{})
		for _, o := range g.names {
			if o == n || g.isolated[n] || g.isolated[o] {
				continue
			}
			v := g.elections[n].View(g.now)
			g.step(o, PeerHeartbeat{From: n, Term: v.Term, Leader: v.Leader})
			w := g.elections[o].View(g.now)
			g.step(n, PeerHeartbeat{
				From:             o,
				Term:             w.Term,
				Leader:           w.Leader,
				Reply:            true,
				SentAt:           g.now,
				IntentsComplete:  true,
				Recovered:        g.now >= g.startedAt[o]+testTiming.RecoveryPeriod,
				IncarnationSince: g.startedAt[o],
			})
		}
	}
}

func (g *cluster) leaders() (out []string) {
	for _, n := range g.names {
		if g.elections[n].View(g.now).Leading {
			out = append(out, n)
		}
	}
	return out
}
