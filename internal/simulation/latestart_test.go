package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

// Settings of the scenarios in which commands to unreachable machines take up all sockets for requests to workers.
const (
	fewSockets      = 64 // of a controller; allows four concurrent requests to workers
	machinesPerZone = 12
	cancelDelay     = 150 * ms // time from the acceptance of a job to its cancellation
)

// withFewSockets limits the sockets of the controllers.
func withFewSockets(c *cluster) { c.cfg.Quota.MaxSockets = fewSockets }

// withoutRentals limits the cloud to the machines that the scenario adds.
func withoutRentals(c *cluster) { c.cloudCapacity = 2 * machinesPerZone }

// addRunningMachines adds running machines to both zones and waits until all of them have sent heartbeats.
func (c *cluster) addRunningMachines() {
	c.mu.Lock()
	for range machinesPerZone {
		for _, zone := range c.types[0].Zones {
			c.cloud.AddRunningMachine(c.types[0].Name, zone, false)
		}
	}
	c.mu.Unlock()
	time.Sleep(8 * time.Second)
}

// submitToZone submits a job whose tasks take a whole machine of a zone each.
func (c *cluster) submitToZone(shape protocol.Shape, tasks int, zone string) string {
	j := c.newJob(shape, tasks, 0)
	j.CPUs, j.Zone = c.types[0].CPUs, zone
	c.submit(j)
	return j.ID
}

// runForEachShape runs a scenario with fast timings for each shape of jobs as a parallel subtest.
func runForEachShape(t *testing.T, f func(c *cluster, shape protocol.Shape), options ...func(*cluster)) {
	t.Helper()
	for _, shape := range jobShapes() {
		t.Run(string(shape), func(t *testing.T) {
			t.Parallel()
			runScenario(t, 1, defaultControllers, fastTimings, func(c *cluster) { f(c, shape) }, options...)
		})
	}
}

// jobShapes returns all shapes of jobs.
func jobShapes() []protocol.Shape {
	return []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}
}

// TestNoLateStartBehindUnreachableMachines guards against start commands that wait behind commands to unreachable
// machines and are sent although their job has been cancelled meanwhile (review/6).
func TestNoLateStartBehindUnreachableMachines(t *testing.T) {
	runForEachShape(t, func(c *cluster, shape protocol.Shape) {
		c.addRunningMachines()
		repair := c.isolateWorkers("b")
		c.submitToZone(protocol.Array, machinesPerZone, "b")
		time.Sleep(200 * ms)
		for range machinesPerZone / 2 {
			id := c.submitToZone(shape, 2, "a")
			time.Sleep(cancelDelay)
			c.spawn(func() { c.cancelUntilFinal(id, c.controllers, time.Minute) })
		}
		time.Sleep(10 * time.Second)
		repair()
		time.Sleep(time.Minute)
		if n := c.occurrences("cancelled"); n != machinesPerZone/2 {
			c.t.Errorf("%d jobs were cancelled, want %d", n, machinesPerZone/2)
		}
		if c.starts() == 0 {
			c.t.Error("no task was started")
		}
	}, withFewSockets, withoutRentals)
}

// holdConnections makes the heartbeats of the workers in a zone time out and their connections, of which none may be
// open, wait. The returned function ends both. Unlike other links that were blocked, these have no commands under way
// that may arrive late.
func (c *cluster) holdConnections(zone string) func() {
	workers := c.selectWorkers(machinesPerZone, inZone(zone))
	var unblocks repairs
	c.setHeartbeatsLost(workers, true)
	for _, r := range workers {
		unblocks = append(unblocks, c.blockLink("*", r.ip))
	}
	return func() {
		unblocks.run()
		c.setHeartbeatsLost(workers, false)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range workers {
			r.model.LateCommandsAllowedUntil = 0
		}
	}
}

// TestNoLateStartAfterSlowConnection guards against start commands that wait for a connection to their machine and are
// sent although their job has been cancelled meanwhile.
func TestNoLateStartAfterSlowConnection(t *testing.T) {
	runForEachShape(t, func(c *cluster, shape protocol.Shape) {
		c.addRunningMachines()
		time.Sleep(config.Seconds(c.cfg.Workers.LeaseSeconds)) // connections of probes are closed by then
		release := c.holdConnections("a")
		id := c.submitToZone(shape, machinesPerZone/2, "a")
		time.Sleep(cancelDelay)
		c.spawn(func() { c.cancelUntilFinal(id, c.controllers, time.Minute) })
		time.Sleep(800 * ms) // less than commands may take
		release()
		time.Sleep(10 * time.Second)
		if n := c.occurrences("cancelled"); n != 1 {
			c.t.Errorf("%d jobs were cancelled, want 1", n)
		}
		c.submitToZone(shape, machinesPerZone, "a")
		time.Sleep(10 * time.Second)
		if n := c.starts(); n != machinesPerZone {
			c.t.Errorf("%d tasks started after the cancellation, want all %d", n, machinesPerZone)
		}
	}, withoutRentals)
}

// relayWorkers cuts the connections between the leader and the workers of a zone, and waits until their heartbeats
// reach the leader through other controllers.
func (c *cluster) relayWorkers(leader *controller, zone string) {
	for _, r := range c.selectWorkers(machinesPerZone, inZone(zone)) {
		c.blockLink(r.ip, leader.ip)
		c.blockLink(leader.ip, r.ip)
	}
	time.Sleep(30 * time.Second)
}

// holdLeader holds all packets from the leader to the other controllers. The returned function delivers them.
func holdLeader(c *cluster) func() {
	leader := c.leader()
	var unblocks repairs
	for _, follower := range c.others(leader) {
		unblocks = append(unblocks, c.blockLink(leader.ip, follower.ip))
	}
	return unblocks.run
}

// TestNoLateStartInRelayedReply guards against start commands in the reply to a relayed heartbeat that is delayed
// between the controllers, and is passed on to the worker although the job has been cancelled meanwhile.
func TestNoLateStartInRelayedReply(t *testing.T) {
	runForEachShape(t, func(c *cluster, shape protocol.Shape) {
		c.addRunningMachines()
		leader := c.leader()
		c.relayWorkers(leader, "a")
		id := c.submitToZone(shape, machinesPerZone, "a")
		release := holdLeader(c)
		time.Sleep(500 * ms)
		c.spawn(func() { c.cancelUntilFinal(id, c.others(leader), time.Minute) })
		time.Sleep(400 * ms) // less than a call between controllers may take in all
		release()
		time.Sleep(10 * time.Second)
		if n := c.occurrences("cancelled"); n != 1 {
			c.t.Errorf("%d jobs were cancelled, want 1", n)
		}
		if c.leader() != leader {
			c.t.Error("the leader has changed")
		}
		c.submitToZone(shape, machinesPerZone, "a")
		time.Sleep(10 * time.Second)
		if n := c.starts(); n < machinesPerZone {
			c.t.Errorf("%d tasks started, want at least %d", n, machinesPerZone)
		}
	}, withoutRentals)
}

// cancellationStorm submits jobs to both zones, most of which are cancelled up to two seconds later.
func (c *cluster) cancellationStorm(rng *rand.Rand, jobs int) {
	shapes := jobShapes()
	for range jobs {
		id := c.submitToZone(shapes[rng.IntN(len(shapes))], 1+rng.IntN(machinesPerZone), c.types[0].Zones[rng.IntN(2)])
		if rng.IntN(4) > 0 {
			time.AfterFunc(time.Duration(rng.IntN(2000))*ms, func() {
				c.cancelUntilFinal(id, c.controllers, 2*time.Minute)
			})
		}
		time.Sleep(time.Duration(rng.IntN(600)) * ms)
	}
}

// TestRandomLateStarts draws faults of one zone, of the leader and of its links while jobs are cancelled right after
// their submission, with few or many sockets. It guards against any start after a confirmed cancellation.
func TestRandomLateStarts(t *testing.T) {
	const seeds = 10
	for seed := testutil.Seed(); seed < testutil.Seed()+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 54))
			span := func(maxSeconds int) time.Duration { return time.Duration(1+rng.IntN(maxSeconds*1000)) * ms }
			isolate := func(c *cluster) func() { return c.isolateWorkers("b") }
			faults := []func(c *cluster){
				during(span(15), isolate),
				hangZone("b", span(15)),
				during(span(1), holdLeader),
				crashLeader(span(8)),
				func(*cluster) {},
			}
			first, second := faults[rng.IntN(2)], faults[2+rng.IntN(len(faults)-2)]
			sockets := []int{fewSockets, 2 * fewSockets, 500}[rng.IntN(3)]
			runScenario(t, seed, defaultControllers, fastTimings, func(c *cluster) {
				c.addRunningMachines()
				if rng.IntN(3) == 0 {
					c.relayWorkers(c.leader(), "a")
				}
				first(c)
				c.cancellationStorm(rng, 6)
				second(c)
				c.cancellationStorm(rng, 6)
				time.Sleep(time.Minute)
				if c.occurrences("cancelled") == 0 || c.starts() == 0 {
					t.Errorf("%d cancellations and %d starts", c.occurrences("cancelled"), c.starts())
				}
			}, withoutRentals, func(c *cluster) { c.cfg.Quota.MaxSockets = sockets })
		})
	}
}
