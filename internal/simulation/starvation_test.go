package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/daemon"
	"pinebay/internal/testkit"
)

// starved are scenarios with controllers that are short of processor time. A late timer or
// answer is not a lapsed proof: leases, terms and freshness are checked when acted upon.
var starved = []struct {
	name     string
	w        config.Workers
	steps    []step
	happened []string
}{
	{"a slow leader, cancellations, then a crash", brisk, []step{{0, during(60*s, slowController(400*ms, (*live).leader))}, {2 * s, cancels(4, 0)},
		{20 * s, crashLeader(5 * s)}, {21 * s, cancels(3, 0)}}, []string{"slow", "cancelled", "crash"}},
	{"a slow follower takes over in an outage", brisk, []step{{0, during(90*s, slowController(500*ms, aFollower))}, {s, cancels(3, 0)},
		{3 * s, during(20*s, outage)}, {4 * s, crashLeader(5 * s)}, {30 * s, cancels(3, 0)}}, []string{"slow", "outage", "cancelled", "crash"}},
	{"so slow that others lead, and back", slow, []step{{0, during(30*s, slowController(4*s, (*live).leader))}, {2 * s, cancels(3, 0)},
		{10 * s, cancels(3, 0)}, {32 * s, cancels(2, 0)}}, []string{"slow", "cancelled"}},
	{"slow, with late writes and reports", brisk, []step{{0, during(60*s, slowController(300*ms, (*live).leader))}, {0, during(50*s, lateWrites(0.2))},
		{0, during(60*s, lateReports(0.2))}, {s, storm(30 * s)}, {5 * s, cancels(4, 0)}}, []string{"slow", "write", "late report", "cancelled"}},
}

// TestStarvation plays every scenario of starvation on three controllers.
func TestStarvation(t *testing.T) {
	for i, m := range starved {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			play(t, uint64(300+i), 3, m.w, func(l *live) { l.carryOut(m.steps, m.happened) })
		})
	}
}

// TestDrawnStarvation mixes slow controllers with drawn failures.
func TestDrawnStarvation(t *testing.T) {
	for seed := testkit.Seed(); seed < testkit.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 13))
			steps, names := drawScenario(rng)
			which := []func(*live) *controller{(*live).leader, aFollower}[rng.IntN(2)]
			by := time.Duration(100+rng.IntN(1500)) * ms
			steps = append([]step{{0, during(60*s, slowController(by, which))}}, steps...)
			t.Log(by, names)
			play(t, seed, []int{3, 5}[rng.IntN(2)], []config.Workers{brisk, slow}[rng.IntN(2)], func(l *live) { l.carryOut(steps, []string{"slow"}) })
		})
	}
}

// TestMessagesOfAHeartbeat: in quiet, controllers send each other heartbeats at their pace,
// each in one packet with one for its answer, and nothing else.
func TestMessagesOfAHeartbeat(t *testing.T) {
	play(t, 21, 3, brisk, func(l *live) {
		time.Sleep(20 * s)
		before := l.meshPackets()
		const span = 60 * s
		time.Sleep(span)
		got := l.meshPackets() - before
		beat := daemon.Times(&l.cfg).Beat
		// The leader sends to both followers with every beat, the followers to both others
		// with every other one.
		heartbeats := int(span/beat)*2 + int(span/(2*beat))*4
		t.Logf("%d packets for %d heartbeats", got, heartbeats)
		if most := 2 * heartbeats * 21 / 20; got > most || got < heartbeats {
			t.Errorf("%d packets between controllers for %d heartbeats, want %d at most", got, heartbeats, most)
		}
	})
}

// meshPackets returns how many packets controllers have sent each other.
func (l *live) meshPackets() (n int) {
	for _, a := range l.nodes {
		for _, b := range l.others(a) {
			n += l.net.Packets(a.ip, b.ip)
		}
	}
	return n
}

// TestUsersWhileANewLeaderHears: while a new leader reads the records and hears its
// machines, users' submissions to the controllers that live are accepted all the same.
func TestUsersWhileANewLeaderHears(t *testing.T) {
	play(t, 22, 3, brisk, func(l *live) {
		l.settle(12)
		old, term := l.leader(), l.term()
		l.crash(old, 60*s)
		rest := l.others(old)
		sent, shed := 0, 0
		for end := l.now() + 20*s; l.now() < end; time.Sleep(100 * ms) {
			j := l.job("array", 1, 1)
			l.mu.Lock()
			l.world.Jobs[j.ID], l.world.RunTimes[j.ID] = &j, 3*s
			l.jobs = append(l.jobs, j.ID)
			l.mu.Unlock()
			sent++
			if status, _ := l.request(rest[sent%2], Submits, j.ID); status != 200 && status != 201 {
				shed++
				l.user(j)
				continue
			}
			l.follow(j.ID)
		}
		t.Logf("%d of %d submissions shed", shed, sent)
		if l.term() == term {
			t.Error("nobody took over: the test shows nothing")
		}
		if most := sent / 50; shed > most {
			t.Errorf("%d of %d submissions shed, want %d at most", shed, sent, most)
		}
		time.Sleep(4 * time.Minute)
		l.calm()
	})
}
