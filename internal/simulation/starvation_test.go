package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/daemon"
	"pinebay/internal/testutil"
)

// starvationScenarios are scenarios with controllers that are short of CPU time. Timers and replies may be late then,
// so controllers must check leases, terms and the age of data at the moment when they rely on them.
var starvationScenarios = []scenario{
	{
		name:    "a slow leader, cancellations, then a crash",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, slowController(400*ms, (*cluster).leader))},
			{2 * s, cancelJobs(4, 0)},
			{20 * s, crashLeader(5 * s)},
			{21 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"slow", "cancelled", "crash"},
	},
	{
		name:    "a slow follower takes over in an outage",
		timings: fastTimings,
		steps: []step{
			{0, during(90*s, slowController(500*ms, firstFollower))},
			{s, cancelJobs(3, 0)},
			{3 * s, during(20*s, storeOutage)},
			{4 * s, crashLeader(5 * s)},
			{30 * s, cancelJobs(3, 0)},
		},
		occurred: []string{"slow", "outage", "cancelled", "crash"},
	},
	{
		name:    "so slow that others lead, and back",
		timings: slowTimings,
		steps: []step{
			{0, during(30*s, slowController(4*s, (*cluster).leader))},
			{2 * s, cancelJobs(3, 0)},
			{10 * s, cancelJobs(3, 0)},
			{32 * s, cancelJobs(2, 0)},
		},
		occurred: []string{"slow", "cancelled"},
	},
	{
		name:    "slow, with late writes and reports",
		timings: fastTimings,
		steps: []step{
			{0, during(60*s, slowController(300*ms, (*cluster).leader))},
			{0, during(50*s, delayedWrites(0.2))},
			{0, during(60*s, duplicateHeartbeats(0.2))},
			{s, submissionStorm(30 * s)},
			{5 * s, cancelJobs(4, 0)},
		},
		occurred: []string{"slow", "write", "late report", "cancelled"},
	},
}

// TestStarvation checks all starvation scenarios.
func TestStarvation(t *testing.T) {
	runScenarios(t, 300, starvationScenarios, func(c *cluster, x *scenario) { c.runToCompletion(x.steps, x.occurred) })
}

// TestRandomStarvation checks random scenarios in which a controller is slow.
func TestRandomStarvation(t *testing.T) {
	for seed := testutil.Seed(); seed < testutil.Seed()+6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 13))
			steps, names := randomScenario(rng)
			which := []func(*cluster) *controller{(*cluster).leader, firstFollower}[rng.IntN(2)]
			by := time.Duration(100+rng.IntN(1500)) * ms
			steps = append([]step{{0, during(60*s, slowController(by, which))}}, steps...)
			t.Log(by, names)
			runScenario(
				t,
				seed,
				[]int{3, 5}[rng.IntN(2)],
				[]config.Workers{fastTimings, slowTimings}[rng.IntN(2)],
				func(c *cluster) { c.runToCompletion(steps, []string{"slow"}) },
			)
		})
	}
}

// TestPacketsPerHeartbeat checks that controllers without faults send each other only heartbeats at their interval,
// with one packet for each heartbeat and one for its reply.
func TestPacketsPerHeartbeat(t *testing.T) {
	runScenario(t, 21, 3, fastTimings, func(c *cluster) {
		time.Sleep(20 * s)
		before := c.peerPackets()
		const span = 60 * s
		time.Sleep(span)
		got := c.peerPackets() - before
		interval := daemon.ElectionTiming(&c.cfg).HeartbeatInterval
		// The leader sends a heartbeat to both followers in every interval; each follower sends one to both other
		// controllers in every second interval.
		heartbeats := int(span/interval)*2 + int(span/(2*interval))*4
		t.Logf("%d packets for %d heartbeats", got, heartbeats)
		if maxPackets := 2 * heartbeats * 21 / 20; got > maxPackets || got < heartbeats {
			t.Errorf("%d packets between controllers for %d heartbeats, want at most %d", got, heartbeats, maxPackets)
		}
	})
}

// peerPackets returns the number of packets that controllers have sent to each other.
func (c *cluster) peerPackets() (n int) {
	for _, a := range c.controllers {
		for _, b := range c.others(a) {
			n += c.net.Packets(a.ip, b.ip)
		}
	}
	return n
}

// TestSubmissionsDuringFailover checks that controllers accept submissions while a new leader is elected, reads the
// records and waits for heartbeats of its machines.
func TestSubmissionsDuringFailover(t *testing.T) {
	runScenario(t, 22, 3, fastTimings, func(c *cluster) {
		c.startJobs(12)
		old, term := c.leader(), c.term()
		c.crash(old, 60*s)
		rest := c.others(old)
		sent, rejected := 0, 0
		for end := c.now() + 20*s; c.now() < end; time.Sleep(100 * ms) {
			j := c.newJob("array", 1, 1)
			c.mu.Lock()
			c.world.Jobs[j.ID], c.world.RunTimes[j.ID] = &j, 3*s
			c.jobIDs = append(c.jobIDs, j.ID)
			c.mu.Unlock()
			sent++
			if status, _ := c.request(rest[sent%2], RequestSubmit, j.ID); status != 200 && status != 201 {
				rejected++
				c.submit(j)
				continue
			}
			c.pollInBackground(j.ID)
		}
		t.Logf("%d of %d submissions rejected", rejected, sent)
		if c.term() == term {
			t.Error("no other controller took over, so the test did not exercise a failover")
		}
		if maxRejected := sent / 50; rejected > maxRejected {
			t.Errorf("%d of %d submissions rejected, want at most %d", rejected, sent, maxRejected)
		}
		time.Sleep(4 * time.Minute)
		c.checkAllServed()
	})
}
