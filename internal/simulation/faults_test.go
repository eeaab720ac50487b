package simulation

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// fault injects a fault into a cluster. The returned function, if not nil, ends the fault.
type fault func(c *cluster) (repair func())

// during returns a step that injects a fault and ends it after d.
func during(d time.Duration, inject fault) func(c *cluster) {
	return func(c *cluster) {
		repair := inject(c)
		time.AfterFunc(d, func() {
			if c.ctx.Err() == nil && repair != nil {
				repair()
			}
		})
	}
}

// refuseLeader makes the key-value store refuse the requests of the leader only.
func refuseLeader(c *cluster) func() {
	n := c.leader()
	c.recordOccurrence("refused")
	c.store.SetRefused(n.ip, true)
	return func() { c.store.SetRefused(n.ip, false) }
}

// storeOutage makes the key-value store unavailable to all controllers.
func storeOutage(c *cluster) func() {
	c.recordOccurrence("outage")
	c.store.SetOutage(true)
	return func() { c.store.SetOutage(false) }
}

// isolateLeader partitions the leader from the key-value store and the other controllers, but not from workers and
// users.
func isolateLeader(c *cluster) func() {
	n := c.leader()
	c.recordOccurrence("apart")
	unblockPeers, unblockToStore, unblockFromStore := c.isolateFrom(
		n,
		c.others(n)...), c.blockLink(
		n.ip,
		HostOf(stateAddr),
	), c.blockLink(
		HostOf(stateAddr),
		n.ip,
	)
	return func() { unblockPeers(); unblockToStore(); unblockFromStore() }
}

// crashLeader returns a step that crashes the leader.
func crashLeader(downtime time.Duration) func(c *cluster) {
	return func(c *cluster) { c.crash(c.leader(), downtime) }
}

// crashAllControllers returns a step that crashes all controllers. They start again at intervals of 100 ms.
func crashAllControllers(downtime time.Duration) func(c *cluster) {
	return func(c *cluster) {
		for i, n := range c.controllers {
			c.crash(n, downtime+time.Duration(i)*100*ms)
		}
	}
}

// isolateZone partitions zone a, with its workers and one controller, from everything else. Its workers reach only that
// controller.
func isolateZone(c *cluster) func() {
	c.recordOccurrence("zone")
	n := c.controllers[0]
	var unblocks repairs
	for _, o := range c.others(n) {
		unblocks = append(unblocks, c.isolateFrom(n, o))
	}
	blockBoth := func(a, b string) { unblocks = append(unblocks, c.blockLink(a, b), c.blockLink(b, a)) }
	for _, out := range []string{HostOf(stateAddr), HostOf(cloudAddr), usersHost} {
		blockBoth(n.ip, out)
	}
	for _, r := range c.selectWorkers(99, func(r *workerProcess) bool { return r.machine.Zone == "a" }) {
		for _, o := range c.others(n) {
			blockBoth(r.ip, o.ip)
		}
	}
	return unblocks.run
}

// isolateWorkers partitions the workers of a zone from everything. The returned function ends the partition.
func (c *cluster) isolateWorkers(zone string) func() {
	var unblocks repairs
	for _, r := range c.selectWorkers(99, inZone(zone)) {
		unblocks = append(unblocks, c.blockLink("*", r.ip), c.blockLink(r.ip, "*"))
	}
	return unblocks.run
}

// slowController simulates a controller that is short of CPU time: every packet that it sends or receives is delayed,
// including heartbeats and the renewals of its lease.
func slowController(by time.Duration, which func(c *cluster) *controller) fault {
	return func(c *cluster) func() {
		n := which(c)
		c.recordOccurrence("slow")
		c.net.SetExtraDelay(n.ip, by)
		c.setCommandTransitTime(hopsInFlight * by)
		return func() {
			c.net.SetExtraDelay(n.ip, 0)
			time.AfterFunc(hopsInFlight*by, func() { c.setCommandTransitTime(0) })
		}
	}
}

// hopsInFlight is the number of delayed messages between a cancellation and the last start command that a slow
// controller may send in spite of it: a heartbeat that is already under way, its reply, the heartbeat with the
// cancellation, and the command.
const hopsInFlight = 4

// setCommandTransitTime sets the World.CommandTransitTime of the cluster.
func (c *cluster) setCommandTransitTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.CommandTransitTime = d
}

// firstFollower returns the first controller that is not the leader.
func firstFollower(c *cluster) *controller { return c.others(c.leader())[0] }

// selectWorkers returns the first n workers by name for which a function returns true. A nil function selects all
// workers.
func (c *cluster) selectWorkers(n int, which func(*workerProcess) bool) (out []*workerProcess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if r := c.workers[name]; len(out) < n && (which == nil || which(r)) {
			out = append(out, r)
		}
	}
	return out
}

// hasTasks reports whether a worker has tasks.
func hasTasks(r *workerProcess) bool { return len(r.model.Tasks) > 0 }

// loseHeartbeats drops the heartbeats of n workers with tasks. Commands that are sent to their addresses still arrive.
func loseHeartbeats(n int) fault {
	return func(c *cluster) func() {
		workers := c.selectWorkers(n, hasTasks)
		c.setHeartbeatsLost(workers, true)
		return func() { c.setHeartbeatsLost(workers, false) }
	}
}

// setHeartbeatsLost sets whether the heartbeats of workers are dropped.
func (c *cluster) setHeartbeatsLost(workers []*workerProcess, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range workers {
		r.HeartbeatsLost = lost
	}
}

// holdReplies blocks all packets to n workers with tasks. Their heartbeats still arrive, and commands are executed
// late.
func holdReplies(n int) fault {
	return func(c *cluster) func() {
		var unblocks repairs
		for _, r := range c.selectWorkers(n, hasTasks) {
			c.recordOccurrence("deaf")
			unblocks = append(unblocks, c.blockLink("*", r.ip))
		}
		return unblocks.run
	}
}

// hangWorkers returns a step that suspends n machines with tasks for a while.
func hangWorkers(n int, d time.Duration) func(c *cluster) {
	return func(c *cluster) {
		workers := c.selectWorkers(n, hasTasks)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range workers {
			if !r.model.Hung {
				r.hang(d)
			}
		}
	}
}

// faultyWrites replaces the outcome of a random share of the transactions.
func faultyWrites(share float64, outcome func(c *cluster, transaction string) Outcome) fault {
	return func(c *cluster) func() {
		c.store.SetOutcomes(func(host string, txn *protocol.Txn) Outcome {
			name := host
			for _, op := range txn.Then {
				name += " " + op.PutKey + op.DeleteKey
			}
			if !c.chance("fate "+name, share) {
				return Outcome{Reply: true}
			}
			c.recordOccurrence("write")
			return outcome(c, name)
		})
		return func() { c.store.SetOutcomes(nil) }
	}
}

// delayedWrites makes the store apply a share of the transactions late, after newer ones, and never answer them.
func delayedWrites(share float64) fault {
	return faultyWrites(share, func(c *cluster, name string) Outcome {
		return Outcome{Delay: 2*time.Second + c.randomDuration("late "+name, 10*time.Second)}
	})
}

// lostReplies makes the store apply a share of the transactions at once but never answer them.
func lostReplies(share float64) fault { //nolint:unparam // has the same signature as the other faults
	return faultyWrites(share, func(*cluster, string) Outcome { return Outcome{} })
}

// slowWrites makes the store apply a share of the transactions at once but answer them late.
func slowWrites(share float64, maxDelay time.Duration) fault {
	return faultyWrites(share, func(c *cluster, name string) Outcome {
		return Outcome{Reply: true, Delay: c.randomDuration("late "+name, maxDelay)}
	})
}

// duplicateHeartbeats delivers copies of a share of the heartbeats to random controllers, up to 2.5 lease times later.
func duplicateHeartbeats(share float64) fault {
	return func(c *cluster) func() {
		return c.watchHeartbeats(func(r *protocol.WorkerHeartbeat) {
			name := fmt.Sprint(r.Machine, r.Incarnation, r.Sequence)
			if !c.chance("copy "+name, share) {
				return
			}
			to := c.controllers[c.randomInt("copy to "+name, len(c.controllers))]
			time.AfterFunc(
				c.randomDuration("late "+name, time.Duration(2.5*c.cfg.Workers.LeaseSeconds*float64(time.Second))),
				func() { c.deliverCopy(r, to) },
			)
		})
	}
}

// replayToNextLeader keeps copies of a share of the heartbeats and delivers them to all controllers a while after the
// next term has begun.
func replayToNextLeader(share float64, after time.Duration) fault { //nolint:unparam // same signature as other faults
	return func(c *cluster) func() {
		var copies []*protocol.WorkerHeartbeat
		term := c.term()
		c.spawn(func() {
			for c.ctx.Err() == nil {
				time.Sleep(5 * ms)
				if now := c.term(); now != term {
					term = now
					time.Sleep(after)
					c.mu.Lock()
					out := copies
					copies = nil
					c.mu.Unlock()
					for _, r := range out {
						for _, n := range c.controllers {
							go c.deliverCopy(r, n)
						}
					}
				}
			}
		})
		return c.watchHeartbeats(func(r *protocol.WorkerHeartbeat) {
			if c.chance(fmt.Sprint("keep ", r.Machine, r.Incarnation, r.Sequence), share) && len(copies) < 60 {
				copies = append(copies, r)
			}
		})
	}
}

// watchHeartbeats calls f with c.mu held for each heartbeat that is sent, until the returned function is called.
func (c *cluster) watchHeartbeats(f func(*protocol.WorkerHeartbeat)) func() {
	set := func(f func(*protocol.WorkerHeartbeat)) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onHeartbeat = f
	}
	set(f)
	return func() { set(nil) }
}

// queryAfterAnswers makes users verify answers with all controllers, see requestAndVerify.
func queryAfterAnswers(c *cluster) func() {
	set := func(on bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queryAfterAnswers = on
	}
	set(true)
	return func() { set(false) }
}

// cancelJobs returns a step in which users cancel up to n running jobs. If hang is not 0, a machine of each job hangs
// for that time shortly afterwards.
func cancelJobs(n int, hang time.Duration) func(c *cluster) {
	return func(c *cluster) {
		for _, id := range c.runningJobs()[:min(n, len(c.runningJobs()))] {
			c.mu.Lock()
			workers := c.workersWithJob(id)
			if hang > 0 && len(workers) > 0 && !workers[0].model.Hung {
				time.AfterFunc(c.randomDuration("hang "+id, 200*ms), func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					if !workers[0].model.Hung {
						workers[0].hang(hang)
					}
				})
			}
			c.mu.Unlock()
			c.spawn(func() { c.cancelUntilFinal(id, c.controllers, 3*time.Minute) })
		}
	}
}

// submissionStorm returns a step that submits four single-task jobs per second and cancels a quarter of them.
func submissionStorm(d time.Duration) func(c *cluster) {
	return func(c *cluster) {
		c.spawn(func() {
			time.Sleep(c.randomDuration("storm", 50*ms)) // avoid submitting at the same moments as other steps
			for end := c.now() + d; c.now() < end; time.Sleep(250 * ms) {
				j := c.newJob(protocol.Array, 1, 1)
				c.mu.Lock()
				c.world.RunTimes[j.ID] = 3*time.Second + c.randomDuration("run time "+j.ID, 4*time.Second)
				cancelled, delay := c.chance(
					"call off "+j.ID,
					0.25,
				), c.randomDuration(
					"call off after "+j.ID,
					8*time.Second,
				)
				c.mu.Unlock()
				c.submit(j)
				if cancelled {
					time.AfterFunc(delay, func() { c.cancelUntilFinal(j.ID, c.controllers, time.Minute) })
				}
			}
		})
	}
}

// staggeredCompletions returns a step that submits n jobs whose tasks complete at different times, seconds apart.
func staggeredCompletions(n int) func(c *cluster) {
	return func(c *cluster) {
		for i := range n {
			j := c.newJob(protocol.Array, 2+i%2, 1)
			c.mu.Lock()
			c.world.RunTimes[j.ID] = 8*time.Second + c.randomDuration("run time "+j.ID, 10*time.Second)
			c.mu.Unlock()
			c.submit(j)
		}
	}
}

// cancelAtCompletion returns a step that submits n jobs. Each is cancelled, queried and submitted again shortly after
// its task has completed.
func cancelAtCompletion(n int) func(c *cluster) {
	return func(c *cluster) {
		for range n {
			j := c.newJob(protocol.Array, 1, 1)
			c.mu.Lock()
			c.world.RunTimes[j.ID] = 5 * time.Second
			c.mu.Unlock()
			c.submit(j)
			c.spawn(func() {
				for c.ctx.Err() == nil && !c.allTasksDone(j.ID) {
					time.Sleep(10 * ms)
				}
				time.Sleep(c.randomDuration("at end "+j.ID, 600*ms))
				c.recordOccurrence("at end")
				c.spawn(func() { c.cancelUntilFinal(j.ID, c.controllers, time.Minute) })
				c.request(c.anyController(j.ID), RequestSubmit, j.ID)
				c.request(c.anyController(j.ID), RequestQuery, j.ID)
			})
		}
	}
}

// overload returns a step that submits n arrays and gangs of all priorities, some of them restricted to one zone. With
// enough of them, they exceed the capacity of the cluster.
func overload(n int) func(c *cluster) {
	return func(c *cluster) {
		for i := range n {
			j := c.newJob([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Array}[i%3], 2+i%4, 2)
			j.Priority = []protocol.Priority{"best_effort", "urgent", "normal", "critical"}[i%4]
			j.Zone = []string{"", "a", "b"}[i%3]
			j.SameZone = j.Shape == protocol.Gang && i%2 == 0
			if i%3 != 0 {
				j.CheckpointIntervalSeconds, j.CheckpointSaveSeconds = 5, 1
			}
			c.mu.Lock()
			c.world.RunTimes[j.ID] = 10 * time.Second
			c.mu.Unlock()
			c.submit(j)
		}
	}
}

// loseMachines returns a step that removes n machines with tasks without notice.
func loseMachines(n int) func(c *cluster) {
	return func(c *cluster) {
		for _, r := range c.selectWorkers(n, hasTasks) {
			c.recordOccurrence("lost")
			c.mu.Lock()
			c.cloud.Remove(r.machine.Name)
			c.mu.Unlock()
		}
	}
}

// fastBoots shortens the boot time of new machines to between 0.5 and 1.5 s.
func fastBoots(c *cluster) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.bootTime
	c.bootTime = func(name string) time.Duration { return 500*ms + c.randomDuration("boot "+name, time.Second) }
	return func() { c.mu.Lock(); c.bootTime = old; c.mu.Unlock() }
}
