package election

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const ms = time.Millisecond

var times = Times{Beat: 100 * ms, Silent: time.Second, TTL: 1500 * ms, Hold: 2 * time.Second, Step: 100 * ms,

	Confirm: time.Second, Horizon: 4 * time.Second, Recovery: 7 * time.Second}

// group is a set of controllers with a model of the leader's key.
type group struct {
	now     time.Duration
	nodes   map[string]*Machine
	names   []string
	term    uint64 // of the record
	node    string
	lease   uint64
	expires time.Duration
	present bool
	down    map[string]bool // without the state service
	cut     map[string]bool // without the mesh
	leads   map[uint64]string
	began   map[string]time.Duration
	t       *rapid.T
}

func newGroup(t *rapid.T, n int) *group {
	g := &group{nodes: map[string]*Machine{}, down: map[string]bool{}, cut: map[string]bool{}, leads: map[uint64]string{},
		began: map[string]time.Duration{}, t: t}
	for i := range n {
		g.names = append(g.names, fmt.Sprintf("n%d", i))
	}
	for _, n := range g.names {
		g.restart(n)
	}
	return g
}

func (g *group) restart(name string) {
	var peers []string
	for _, n := range g.names {
		if n != name {
			peers = append(peers, n)
		}
	}
	g.nodes[name] = New(g.now, name, peers, times)
	g.began[name] = g.now
}

func (g *group) step(name string, e Event) {
	m := g.nodes[name]
	for _, out := range m.Step(g.now, e) {
		switch o := out.(type) {
		case Claim:
			g.step(name, g.claim(name, o))
		case Renew:
			ok := !g.down[name] && g.lease == o.Lease && g.present
			if ok {
				g.expires = g.now + times.TTL
			}
			g.step(name, Renewed{NoLease: !ok && !g.down[name], Term: o.Term})
		case Lead:
			if other, ok := g.leads[o.Term]; ok {
				g.t.Fatalf("term %d is led by %s and %s", o.Term, other, name)
			}
			g.leads[o.Term] = name
		case Yield:
			if !g.down[name] && g.lease == o.Lease {
				g.present = false
			}
		}
	}
}

func (g *group) claim(name string, c Claim) Claimed {
	if g.down[name] {
		return Claimed{}
	}
	if g.term > c.Over && g.present && g.node != name {
		g.step(name, Key{Present: true, Node: g.node, Term: g.term})
		return Claimed{}
	}
	g.term = max(g.term, c.Over) + 1
	g.node, g.present, g.expires = name, true, g.now+times.TTL
	g.lease++
	return Claimed{Won: true, Term: g.term, Stamp: g.term, Lease: g.lease, Sent: g.now}
}

func (g *group) tick() {
	g.now += times.Beat / 2
	if g.present && g.now > g.expires {
		g.present = false
	}
	for _, n := range g.names {
		if !g.down[n] {
			g.step(n, Key{Present: g.present, Node: g.node, Term: g.term})
			g.step(n, Fresh{Term: g.nodes[n].term, At: g.now})
		}
		g.step(n, Tick{})
		for _, o := range g.names {
			if o == n || g.cut[n] || g.cut[o] {
				continue
			}
			v := g.nodes[n].View(g.now)
			g.step(o, Beat{From: n, Term: v.Term, Leader: v.Leader})
			w := g.nodes[o].View(g.now)
			g.step(n, Beat{From: o, Term: w.Term, Leader: w.Leader, Reply: true, Sent: g.now,
				Complete: true, Whole: g.now >= g.began[o]+times.Recovery, LifeAt: g.began[o]})
		}
	}
}

func (g *group) leaders() (out []string) {
	for _, n := range g.names {
		if g.nodes[n].View(g.now).Leading {
			out = append(out, n)
		}
	}
	return out
}
