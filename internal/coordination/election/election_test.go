package election

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneLeaderPerTerm injects network partitions, store outages, resignations and restarts. It checks that no term has
// two leaders, and that exactly one leader remains and keeps the leadership once the faults are over.
func TestOneLeaderPerTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "controllers"))
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			name := rapid.SampledFrom(c.names).Draw(t, "controller")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				c.restart(name)
			case 1:
				c.storeUnreachable[name] = !c.storeUnreachable[name]
			case 2:
				c.isolated[name] = !c.isolated[name]
			case 3:
				down := !c.storeUnreachable[name]
				for _, other := range c.names {
					c.storeUnreachable[other] = down
				}
			case 4:
				c.step(name, Resign{Term: c.elections[name].term})
			}
			c.run(rapid.IntRange(0, 80).Draw(t, "ticks"))
		}
		clear(c.storeUnreachable)
		clear(c.isolated)
		c.run(200)
		if l := c.leaders(); len(l) != 1 {
			t.Fatalf("leaders after the faults: %v, want exactly one", l)
		}
		before := c.term
		c.run(400)
		if c.term != before {
			t.Fatalf("term changed from %d to %d without a fault", before, c.term)
		}
	})
}

// TestLeaderSurvivesStoreOutage checks that a leader keeps the leadership without the store for as long as a quorum
// acknowledges its heartbeats.
func TestLeaderSurvivesStoreOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.run(100)
		leader, term := c.leaders()[0], c.term
		for _, name := range c.names {
			c.storeUnreachable[name] = true
		}
		for range rapid.IntRange(1, 600).Draw(t, "ticks") {
			c.leaseExpiresAt = c.now + testTiming.LeaseTTL // the store expires no leases during an outage
			c.run(1)
			c.requireLeader(leader, term)
		}
	})
}

// TestIsolatedLeaderStepsDown checks that a leader that can reach neither the store nor any peer steps down within the
// confirmation timeout, and that another controller is elected.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.run(100)
		old := c.leaders()[0]
		c.storeUnreachable[old], c.isolated[old] = true, true
		end := c.now + testTiming.ConfirmationTimeout + 2*testTiming.HeartbeatInterval
		for c.now < end {
			c.run(1)
		}
		if c.elections[old].View(c.now).Leading {
			t.Fatalf("%s still leads although its leadership is unconfirmed", old)
		}
		c.run(60)
		c.requireOtherLeader(old)
	})
}

// TestSuspendedLeaderIsUnconfirmedOnResume checks that a leader's view states until when its leadership is confirmed,
// so that a process that was suspended can tell, before its first step, that it is no longer confirmed.
func TestSuspendedLeaderIsUnconfirmedOnResume(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.run(rapid.IntRange(100, 130).Draw(t, "ticks"))
		e := c.elections[c.leaders()[0]]
		resumedAt := c.now + testTiming.ConfirmationTimeout
		if v := e.View(c.now); !v.Leading || v.ConfirmedUntil <= c.now || v.ConfirmedUntil > resumedAt {
			t.Fatalf("view at %v: %+v, want leadership confirmed for at most the confirmation timeout", c.now, v)
		}
		if v := e.View(resumedAt); v.ConfirmedUntil > resumedAt {
			t.Fatalf("view at %v, after a suspension: %+v, want unconfirmed leadership", resumedAt, v)
		}
	})
}

// TestRenewalWithoutLeaderNeedsQuorum checks when leases may be renewed without a leader. A peer that reaches the store
// or knows a leader forbids it. Otherwise it takes a quorum that was recently in contact, and a quorum that has
// delivered all of its intents within the renewal horizon.
func TestRenewalWithoutLeaderNeedsQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		peers := []string{"a", "b", "c", "d"}[:rapid.SampledFrom([]int{1, 2, 4}).Draw(t, "peers")]
		statuses := map[string]PeerStatus{}
		forbidden, agreeing, known := false, 1, 1
		for _, name := range peers {
			if rapid.IntRange(0, 6).Draw(t, "unheard") == 0 {
				continue
			}
			p := PeerStatus{
				SentAt:         now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "age"))*ms,
				StoreReachable: rapid.IntRange(0, 4).Draw(t, "store reachable") == 0,
				Leader:         rapid.SampledFrom([]string{"", "", "", "", "c"}).Draw(t, "leader"),
			}
			if rapid.IntRange(0, 4).Draw(t, "never") != 0 {
				p.IntentsCompleteAsOf = now - time.Duration(rapid.IntRange(0, 6000).Draw(t, "intents received"))*ms
			}
			statuses[name] = p
			if p.IntentsCompleteAsOf > 0 && now-p.IntentsCompleteAsOf <= testTiming.RenewalHorizon {
				known++
			}
			if now-p.SentAt <= testTiming.LeaderTimeout/2 {
				forbidden = forbidden || p.StoreReachable || p.Leader != ""
				agreeing++
			}
		}
		g := GroupStatus{
			Now:            now,
			Timing:         testTiming,
			View:           View{Term: 3, Leader: rapid.SampledFrom([]string{"", "", "a"}).Draw(t, "own leader")},
			StoreReachable: rapid.IntRange(0, 3).Draw(t, "own store reachable") == 0,
			Recovered:      rapid.IntRange(0, 3).Draw(t, "recovered") != 0,
			Peers:          peers,
			Statuses:       statuses,
		}
		want := !forbidden && 2*agreeing > len(peers)+1 && 2*known > len(peers)+1 &&
			g.View.Leader == "" && !g.StoreReachable && g.Recovered
		if got := g.MayRenewLeases(); got != want {
			t.Fatalf("MayRenewLeases() = %v, want %v, for %+v", got, want, g)
		}
	})
	if (GroupStatus{Now: time.Minute, Timing: testTiming, Recovered: true}).MayRenewLeases() {
		t.Error("a controller without peers may renew leases without a leader")
	}
}

// TestOnlyLeaderThatKnowsCancellationsMayRenew checks that a leader may renew workers' leases only while it knows the
// changes in the store or the intents of a quorum; renewing its own lease is not enough. A peer that may have lost
// intents counts only once the store has shown every cancellation that they could belong to.
func TestOnlyLeaderThatKnowsCancellationsMayRenew(t *testing.T) {
	const (
		claimed = 10 * time.Second
		sentAt  = 11 * time.Second
		now     = 12 * time.Second
		longAgo = -time.Hour
	)
	acknowledgement := func(recovered, complete bool, since, sentAt time.Duration) PeerHeartbeat {
		return PeerHeartbeat{
			From:             "b",
			Term:             1,
			Leader:           "a",
			Reply:            true,
			SentAt:           sentAt,
			Recovered:        recovered,
			IntentsComplete:  complete,
			IncarnationSince: since,
		}
	}
	for _, test := range []struct {
		name          string
		event         Event
		startedAt     time.Duration
		mayRenewUntil time.Duration
	}{
		{"lease renewed only", RenewalResult{Term: 1}, longAgo, 0},
		{"store's changes known", WatchProgress{Term: 1, UpTo: sentAt}, longAgo, sentAt + testTiming.RenewalHorizon},
		{"store's changes known in another term", WatchProgress{Term: 2, UpTo: sentAt}, longAgo, 0},
		{"intents of a quorum", acknowledgement(true, true, 0, sentAt), longAgo, sentAt + testTiming.RenewalHorizon},
		{"incomplete intents", acknowledgement(true, false, 0, sentAt), longAgo, 0},
		{"peer that lacks intents", acknowledgement(false, true, 9*time.Second, sentAt), longAgo, 0},
		{"leader that lacks intents", acknowledgement(true, true, 0, sentAt), 9 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestLeader(t, claimed)
			e.startedAt = test.startedAt
			e.Step(now, test.event)
			if v := e.View(now); v.MayRenewUntil != test.mayRenewUntil || v.ConfirmedUntil < now {
				t.Errorf("view %+v, want renewals until %v", v, test.mayRenewUntil)
			}
			e.Step(now+testTiming.ConfirmationTimeout, Tick{})
			if e.View(now + testTiming.ConfirmationTimeout).Leading {
				t.Errorf("still leads after %v without confirmation", testTiming.ConfirmationTimeout)
			}
		})
	}
	t.Run("peer whose lost intents the store has shown", func(t *testing.T) {
		e := newTestLeader(t, claimed)
		e.Step(now, WatchProgress{Term: 1, UpTo: sentAt}) // two seconds after the peer started
		e.Step(now, acknowledgement(false, true, 9*time.Second, now))
		if v := e.View(now); v.MayRenewUntil != now+testTiming.RenewalHorizon {
			t.Errorf("view %+v, want renewals until %v", v, now+testTiming.RenewalHorizon)
		}
	})
	t.Run("quorum that lacks intents keeps the leadership only", func(t *testing.T) {
		e := newTestLeader(t, claimed)
		e.Step(now, WatchProgress{Term: 1, UpTo: sentAt})
		for at := now; at < 20*time.Second; at += testTiming.HeartbeatInterval {
			e.Step(at, acknowledgement(false, true, now, at))
			e.Step(at, Tick{})
			if v := e.View(at); !v.Leading || v.MayRenewUntil != sentAt+testTiming.RenewalHorizon {
				t.Fatalf("at %v: view %+v, want leadership with an unchanged end of renewals", at, v)
			}
		}
	})
}

// newTestLeader returns controller "a", with peers "b" and "c", which has led term 1 since the given time.
func newTestLeader(t *testing.T, since time.Duration) *Election {
	t.Helper()
	e := New(0, "a", []string{"b", "c"}, testTiming)
	e.startedAt = -time.Hour
	e.Step(0, LeaderKey{})
	e.Step(since, Tick{})
	if e.role != roleCandidate {
		t.Fatal("the controller did not claim the leadership although the leader key is missing")
	}
	e.Step(since, ClaimResult{Won: true, Term: 1, Revision: 1, LeaseID: 7, SentAt: since})
	return e
}

// TestResignedLeaderDefersToOthers checks that a leader that resigns because machines reach only other controllers does
// not reclaim the leadership at once.
func TestResignedLeaderDefersToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.run(rapid.IntRange(60, 200).Draw(t, "ticks"))
		old := c.leaders()[0]
		c.step(old, Resign{Term: c.elections[old].term, DeferToOthers: true})
		c.run(70)
		c.requireOtherLeader(old)
	})
}

// TestRefusedConnectionsKeepLeader checks that a leader that renews its lease keeps the leadership while all
// controllers refuse each other's connections, and that a leader that is the only partitioned controller is replaced
// even though it renews its lease.
func TestRefusedConnectionsKeepLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "controllers"))
		c.run(rapid.IntRange(60, 200).Draw(t, "ticks"))
		leader, term := c.leaders()[0], c.term
		for _, name := range c.names {
			c.isolated[name] = true
			for _, peer := range c.names {
				if peer != name && rapid.Bool().Draw(t, "reset") {
					c.step(name, PeerDisconnected{Peer: peer})
				}
			}
		}
		for range rapid.IntRange(8, 400).Draw(t, "refused") {
			c.run(1)
			c.requireLeader(leader, term)
		}
		clear(c.isolated)
		c.isolated[leader] = true // the leader is the last to reconnect
		c.run(2)
		clear(c.isolated)
		c.run(20)
		c.requireLeader(leader, term)
		c.isolated[leader] = true
		for end := c.now + testTiming.LeaderTimeout + 10*testTiming.CandidateDelay; c.now < end; {
			c.run(1)
		}
		if c.term == term {
			t.Fatalf("%s is partitioned from its peers but was not replaced", leader)
		}
	})
}
