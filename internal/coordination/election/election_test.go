package election

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneLeaderPerTerm plays cuts, outages and restarts: no term is led by
// two, and when the trouble is over there is one leader, who stays.
func TestOneLeaderPerTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "controllers"))
		for range rapid.IntRange(0, 12).Draw(t, "troubles") {
			n := rapid.SampledFrom(g.names).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "trouble") {
			case 0:
				g.restart(n)
			case 1:
				g.storeDown[n] = !g.storeDown[n]
			case 2:
				g.isolated[n] = !g.isolated[n]
			case 3:
				all := !g.storeDown[n]
				for _, o := range g.names {
					g.storeDown[o] = all
				}
			case 4:
				g.step(n, Resign{Term: g.elections[n].term})
			}
			for range rapid.IntRange(0, 80).Draw(t, "ticks") {
				g.tick()
			}
		}
		clear(g.storeDown)
		clear(g.isolated)
		for range 200 {
			g.tick()
		}
		if l := g.leaders(); len(l) != 1 {
			t.Fatalf("leaders after the trouble: %v", l)
		}
		before := g.term
		for range 400 {
			g.tick()
		}
		if g.term != before {
			t.Fatalf("a quiet time saw terms %d to %d", before, g.term)
		}
	})
}

// TestLeaderSurvivesStoreOutage: while a majority confirms it by the mesh, a
// leader goes on without the state service, and workers stay answered.
func TestLeaderSurvivesStoreOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, 3)
		for range 100 {
			g.tick()
		}
		before, term := g.leaders(), g.term
		for _, n := range g.names {
			g.storeDown[n] = true
		}
		for range rapid.IntRange(1, 600).Draw(t, "ticks") {
			// During an outage no lease ends.
			g.expires = g.now + testTiming.LeaseTTL
			g.tick()
			if l := g.leaders(); len(l) != 1 || l[0] != before[0] || g.elections[l[0]].term != term {
				t.Fatalf("leaders %v at %v, before %v", l, g.now, before)
			}
		}
	})
}

// TestIsolatedLeaderStepsDown: one that nobody confirms stops within Hold, so that its
// workers find a leader that knows of cancellations.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, 3)
		for range 100 {
			g.tick()
		}
		old := g.leaders()[0]
		g.storeDown[old], g.isolated[old] = true, true
		end := g.now + testTiming.ConfirmationTimeout + 2*testTiming.HeartbeatInterval
		for g.now < end {
			g.tick()
		}
		if g.elections[old].View(g.now).Leading {
			t.Fatalf("%s still leads, unconfirmed", old)
		}
		for range 60 {
			g.tick()
		}
		if l := g.leaders(); len(l) != 1 || l[0] == old {
			t.Fatalf("leaders %v without %s", l, old)
		}
	})
}

// TestPausedLeaderIsUnconfirmedOnWakeUp: the view of a leader tells until when it is confirmed, so that one
// that stood still while its clocks ran on knows before its first step that it is
// not any more.
func TestPausedLeaderIsUnconfirmedOnWakeUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, 3)
		for range rapid.IntRange(100, 130).Draw(t, "ticks") {
			g.tick()
		}
		m := g.elections[g.leaders()[0]]
		if v := m.View(
			g.now,
		); !v.Leading || v.ConfirmedUntil <= g.now ||
			v.ConfirmedUntil > g.now+testTiming.ConfirmationTimeout {
			t.Fatalf("at %v: %+v", g.now, v)
		}
		woke := g.now + testTiming.ConfirmationTimeout
		if v := m.View(woke); v.ConfirmedUntil > woke {
			t.Fatalf("at %v after standing still: %+v", woke, v)
		}
	})
}

// TestRenewalWithoutLeaderNeedsQuorum: one controller that says it reaches the state service
// or knows a leader forbids it, for somebody can lead. Otherwise it takes a majority
// that has just spoken, and one that has handed on all its intents, and forgotten none,
// within the horizon; whoever has not counts for nothing.
func TestRenewalWithoutLeaderNeedsQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		peers := []string{"a", "b", "c", "d"}[:rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "peers")]
		heard := map[string]PeerStatus{}
		forbidden, agree, known := false, 1, 1
		for _, p := range peers {
			if rapid.IntRange(0, 6).Draw(t, "unheard") == 0 {
				continue
			}
			x := PeerStatus{
				SentAt:         now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "age"))*ms,
				StoreReachable: rapid.IntRange(0, 4).Draw(t, "ok") == 0,
				Leader:         rapid.SampledFrom([]string{"", "", "", "", "c"}).Draw(t, "leader"),
			}
			if rapid.IntRange(0, 4).Draw(t, "never") != 0 {
				x.IntentsReceivedAt = now - time.Duration(rapid.IntRange(0, 6000).Draw(t, "known"))*ms
			}
			heard[p] = x
			if x.IntentsReceivedAt > 0 && now-x.IntentsReceivedAt <= testTiming.RenewalHorizon {
				known++
			}
			if now-x.SentAt <= testTiming.LeaderTimeout/2 {
				forbidden = forbidden || x.StoreReachable || x.Leader != ""
				agree++
			}
		}
		v := View{Term: 3, Leader: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "mine")}
		stateOK := rapid.IntRange(0, 3).Draw(t, "state") == 0
		whole := rapid.IntRange(0, 3).Draw(t, "whole") != 0
		want := !forbidden && 2*agree > len(peers)+1 && 2*known > len(peers)+1 && v.Leader == "" && !stateOK && whole
		if got := MayRenewWithoutLeader(now, testTiming, v, stateOK, whole, peers, heard); got != want {
			t.Fatalf("%v for %+v, %+v, state %v, whole %v", got, v, heard, stateOK, whole)
		}
	})
	if MayRenewWithoutLeader(time.Minute, testTiming, View{}, false, true, nil, nil) {
		t.Error("one controller alone may not")
	}
}

// TestOnlyLeaderThatKnowsCancellationsMayRenew: a leader whose lease is renewed but
// that neither sees the state service's changes nor has a majority's intents is not
// aware, and gives up. A peer that may have forgotten intents counts only once the
// service has shown all that it can have forgotten.
func TestOnlyLeaderThatKnowsCancellationsMayRenew(t *testing.T) {
	lead := func() *Election {
		m := New(0, "a", []string{"b", "c"}, testTiming)
		m.startedAt = -time.Hour
		m.Step(0, LeaderKey{})
		m.Step(10*time.Second, Tick{})
		if m.role != roleCandidate {
			t.Fatal("no claim")
		}
		m.Step(10*time.Second, ClaimResult{Won: true, Term: 1, Revision: 1, LeaseID: 7, SentAt: 10 * time.Second})
		return m
	}
	beat := func(whole, complete bool, lifeAt, sent time.Duration) PeerHeartbeat {
		return PeerHeartbeat{
			From:             "b",
			Term:             1,
			Leader:           "a",
			Reply:            true,
			SentAt:           sent,
			Recovered:        whole,
			IntentsComplete:  complete,
			IncarnationSince: lifeAt,
		}
	}
	at := 12 * time.Second
	for _, c := range []struct {
		name  string
		event Event
		began time.Duration
		want  time.Duration
	}{
		{"renewed only", RenewalResult{Term: 1}, -time.Hour, 0},
		{"saw the changes", WatchProgress{Term: 1, UpTo: 11 * time.Second}, -time.Hour, 15 * time.Second},
		{"saw them in another term", WatchProgress{Term: 2, UpTo: 11 * time.Second}, -time.Hour, 0},
		{"a majority's intents", beat(true, true, 0, 11*time.Second), -time.Hour, 15 * time.Second},
		{"not all intents", beat(true, false, 0, 11*time.Second), -time.Hour, 0},
		{"a peer that forgot", beat(false, true, 9*time.Second, 11*time.Second), -time.Hour, 0},
		{"forgot itself", beat(true, true, 0, 11*time.Second), 9 * time.Second, 0},
	} {
		m := lead()
		m.startedAt = c.began
		m.Step(at, c.event)
		if v := m.View(at); v.MayRenewUntil != c.want || v.ConfirmedUntil < 12*time.Second {
			t.Errorf("%s: %+v, want aware until %v", c.name, v, c.want)
		}
		m.Step(at+testTiming.ConfirmationTimeout, Tick{})
		if m.View(at + testTiming.ConfirmationTimeout).Leading {
			t.Errorf(
				"%s: still leads when nobody has told it of cancellations for %v",
				c.name,
				testTiming.ConfirmationTimeout,
			)
		}
	}
	m := lead()
	m.Step(at, WatchProgress{Term: 1, UpTo: 11 * time.Second}) // two seconds after the peer began anew
	m.Step(at, beat(false, true, 9*time.Second, at))
	if v := m.View(at); v.MayRenewUntil != at+testTiming.RenewalHorizon {
		t.Errorf("a peer whose loss the service has made good: %+v", v)
	}
	// A majority that follows but has forgotten keeps the leadership, and no more.
	m = lead()
	m.Step(at, WatchProgress{Term: 1, UpTo: 11 * time.Second})
	for now := at; now < 20*time.Second; now += testTiming.HeartbeatInterval {
		m.Step(now, beat(false, true, at, now))
		m.Step(now, Tick{})
		if v := m.View(now); !v.Leading || v.MayRenewUntil != 11*time.Second+testTiming.RenewalHorizon {
			t.Fatalf("at %v: %+v", now, v)
		}
	}
}

// TestResignedLeaderDefersToOthers: one that resigns because machines
// reach others only does not take the leadership back at once.
func TestResignedLeaderDefersToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, 3)
		for range rapid.IntRange(60, 200).Draw(t, "ticks") {
			g.tick()
		}
		old := g.leaders()[0]
		g.step(old, Resign{Term: g.elections[old].term, DeferToOthers: true})
		for range 70 {
			g.tick()
		}
		if l := g.leaders(); len(l) != 1 || l[0] == old {
			t.Fatalf("leaders %v after %s gave way", l, old)
		}
	})
}

// TestRefusedConnectionsKeepLeader: while controllers refuse each other's
// connections, each hears nobody. The leader that renews its key stays;
// a leader that alone is cut off is replaced although it renews its key.
func TestRefusedConnectionsKeepLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers"))
		for range rapid.IntRange(60, 200).Draw(t, "ticks") {
			g.tick()
		}
		leader, term := g.leaders()[0], g.term
		for _, n := range g.names {
			g.isolated[n] = true
			for _, o := range g.names {
				if o != n && rapid.Bool().Draw(t, "reset") {
					g.step(n, PeerDisconnected{Peer: o})
				}
			}
		}
		for range rapid.IntRange(8, 400).Draw(t, "refused") {
			g.tick()
			if l := g.leaders(); len(l) != 1 || l[0] != leader || g.term != term {
				t.Fatalf("leaders %v in term %d, before %s in %d", l, g.term, leader, term)
			}
		}
		clear(g.isolated)
		g.isolated[leader] = true // its connections are the last to come back
		g.tick()
		g.tick()
		clear(g.isolated)
		for range 20 {
			g.tick()
		}
		if l := g.leaders(); len(l) != 1 || l[0] != leader || g.term != term {
			t.Fatalf("leaders %v in term %d afterwards", l, g.term)
		}
		g.isolated[leader] = true
		for end := g.now + testTiming.LeaderTimeout + 10*testTiming.CandidateDelay; g.now < end; {
			g.tick()
		}
		if g.term == term {
			t.Fatalf("%s is cut off and still not replaced", leader)
		}
	})
}
