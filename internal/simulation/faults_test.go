package simulation

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// fault injects a fault into a cluster. The returned function, if not nil, repairs it.
type fault func(c *cluster) (mend func())

// during is a step that injects a fault for a while.
func during(d time.Duration, what fault) func(c *cluster) {
	return func(c *cluster) {
		mend := what(c)
		time.AfterFunc(d, func() {
			if c.ctx.Err() == nil && mend != nil {
				mend()
			}
		})
	}
}

// refuseLeader makes the key-value store refuse the leader alone.
func refuseLeader(c *cluster) func() {
	n := c.leader()
	c.recordOccurrence("refused")
	c.store.SetRefused(n.ip, true)
	return func() { c.store.SetRefused(n.ip, false) }
}

// storeOutage makes the key-value store serve nobody.
func storeOutage(c *cluster) func() {
	c.recordOccurrence("outage")
	c.store.SetOutage(true)
	return func() { c.store.SetOutage(false) }
}

// isolateLeader cuts the leader off from the key-value store and the other controllers, but not from workers and users.
func isolateLeader(c *cluster) func() {
	n := c.leader()
	c.recordOccurrence("apart")
	heal, a, b := c.isolateFrom(
		n,
		c.others(n)...), c.blockLink(
		n.ip,
		HostOf(stateAddr),
	), c.blockLink(
		HostOf(stateAddr),
		n.ip,
	)
	return func() { heal(); a(); b() }
}

// crashLeader is a step that crashes the leader.
func crashLeader(back time.Duration) func(c *cluster) {
	return func(c *cluster) { c.crash(c.leader(), back) }
}

// crashAllControllers is a step that crashes all controllers. They come back one after the other.
func crashAllControllers(back time.Duration) func(c *cluster) {
	return func(c *cluster) {
		for i, n := range c.controllers {
			c.crash(n, back+time.Duration(i)*100*ms)
		}
	}
}

// isolateZone cuts the workers of a zone and one controller off from everything else.
func isolateZone(c *cluster) func() {
	c.recordOccurrence("zone")
	n := c.controllers[0]
	var ends []func()
	for _, o := range c.others(n) {
		ends = append(ends, c.isolateFrom(n, o))
	}
	both := func(a, b string) { ends = append(ends, c.blockLink(a, b), c.blockLink(b, a)) }
	for _, out := range []string{HostOf(stateAddr), HostOf(cloudAddr), usersHost} {
		both(n.ip, out)
	}
	for _, r := range c.selectWorkers(99, func(r *workerProcess) bool { return r.machine.Zone == "a" }) {
		for _, o := range c.others(n) {
			both(r.ip, o.ip)
		}
	}
	return func() {
		for _, f := range ends {
			f()
		}
	}
}

// slowController makes a controller short of processor time: everything that it sends and receives is delayed, such as
// heartbeats and the renewals of its lease.
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

// hopsInFlight is the number of messages of a slow controller between a cancellation and the last start that it cannot
// prevent: a heartbeat that is already under way and its reply, the one with the news, and the command.
const hopsInFlight = 4

// setCommandTransitTime sets how long a start may be under way after the cancellation of its job.
func (c *cluster) setCommandTransitTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world.CommandTransitTime = d
}

// firstFollower returns a controller that does not lead.
func firstFollower(c *cluster) *controller { return c.others(c.leader())[0] }

// selectWorkers returns up to n workers that a function selects, or any if it is nil, in the order of their names.
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

// loseHeartbeats drops the heartbeats of n workers. Commands that are sent to their addresses arrive.
func loseHeartbeats(n int) fault {
	return func(c *cluster) func() {
		workers := c.selectWorkers(n, hasTasks)
		set := func(on bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, r := range workers {
				r.HeartbeatsLost = on
			}
		}
		set(true)
		return func() { set(false) }
	}
}

// holdReplies holds back everything that is sent to n workers. Their heartbeats arrive, and commands are executed late.
func holdReplies(n int) fault {
	return func(c *cluster) func() {
		var ends []func()
		for _, r := range c.selectWorkers(n, hasTasks) {
			c.recordOccurrence("deaf")
			ends = append(ends, c.blockLink("*", r.ip))
		}
		return func() {
			for _, f := range ends {
				f()
			}
		}
	}
}

// hangWorkers is a step that makes n workers execute nothing for a while.
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

// faultyWrites gives a share of the transactions another outcome.
func faultyWrites(share float64, fate func(c *cluster, transaction string) Outcome) fault {
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
			return fate(c, name)
		})
		return func() { c.store.SetOutcomes(nil) }
	}
}

// delayedWrites applies a share of the transactions late, after newer ones, and never answers them.
func delayedWrites(share float64) fault {
	return faultyWrites(share, func(c *cluster, name string) Outcome {
		return Outcome{Delay: 2*time.Second + c.randomDuration("late "+name, 10*time.Second)}
	})
}

// lostReplies loses the answers to a share of the transactions, which are applied at once.
func lostReplies(share float64) fault { //nolint:unparam // a share, as the other faults have
	return faultyWrites(share, func(*cluster, string) Outcome { return Outcome{} })
}

// slowWrites delays the answers to a share of the transactions.
func slowWrites(share float64, most time.Duration) fault {
	return faultyWrites(share, func(c *cluster, name string) Outcome {
		return Outcome{Reply: true, Delay: c.randomDuration("late "+name, most)}
	})
}

// duplicateHeartbeats delivers copies of a share of the heartbeats, up to long after them.
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

// replayToNextLeader keeps copies of a share of the heartbeats, and delivers them to every controller some time after a
// new term begins.
func replayToNextLeader(share float64, after time.Duration) fault { //nolint:unparam // as the other faults
	return func(c *cluster) func() {
		var kept []*protocol.WorkerHeartbeat
		term := c.term()
		c.spawn(func() {
			for c.ctx.Err() == nil {
				time.Sleep(5 * ms)
				if now := c.term(); now != term {
					term = now
					time.Sleep(after)
					c.mu.Lock()
					out := kept
					kept = nil
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
			if c.chance(fmt.Sprint("keep ", r.Machine, r.Incarnation, r.Sequence), share) && len(kept) < 60 {
				kept = append(kept, r)
			}
		})
	}
}

// watchHeartbeats calls f with c.mu held for each heartbeat. The returned function ends that.
func (c *cluster) watchHeartbeats(f func(*protocol.WorkerHeartbeat)) func() {
	set := func(f func(*protocol.WorkerHeartbeat)) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.onHeartbeat = f
	}
	set(f)
	return func() { set(nil) }
}

// queryAfterAnswers makes users verify answers at all controllers, see requestAndVerify.
func queryAfterAnswers(c *cluster) func() {
	set := func(on bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queryAfterAnswers = on
	}
	set(true)
	return func() { set(false) }
}

// cancelJobs is a step that has users cancel n running jobs. With hang, a worker of each hangs right after.
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

// submissionStorm is a step that submits four jobs of one task a second, and cancels a quarter of them.
func submissionStorm(d time.Duration) func(c *cluster) {
	return func(c *cluster) {
		c.spawn(func() {
			time.Sleep(c.randomDuration("storm", 50*ms)) // so that other steps don't submit at the same moments
			for end := c.now() + d; c.now() < end; time.Sleep(250 * ms) {
				j := c.newJob(protocol.Array, 1, 1)
				c.mu.Lock()
				c.world.RunTimes[j.ID] = 3*time.Second + c.randomDuration("run time "+j.ID, 4*time.Second)
				off, wait := c.chance("call off "+j.ID, 0.25), c.randomDuration("call off after "+j.ID, 8*time.Second)
				c.mu.Unlock()
				c.submit(j)
				if off {
					time.AfterFunc(wait, func() { c.cancelUntilFinal(j.ID, c.controllers, time.Minute) })
				}
			}
		})
	}
}

// staggeredCompletions is a step that submits n jobs whose tasks complete far apart.
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

// cancelAtCompletion is a step that submits n jobs, each of which is cancelled, queried and submitted again as its last
// task completes.
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

// overload is a step that submits n jobs of all priorities, more than there is capacity for, some of them for one zone.
func overload(n int) func(c *cluster) {
	return func(c *cluster) {
		for i := range n {
			j := c.newJob([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Array}[i%3], 2+i%4, 2)
			j.Priority = []protocol.Priority{"best_effort", "urgent", "normal", "critical"}[i%4]
			j.Zone = []string{"", "a", "b"}[i%3]
			j.SameZone = j.Shape == protocol.Gang && i%2 == 0
			if i%3 != 0 {
				j.CheckpointIntervalSeconds, j.SaveSeconds = 5, 1
			}
			c.mu.Lock()
			c.world.RunTimes[j.ID] = 10 * time.Second
			c.mu.Unlock()
			c.submit(j)
		}
	}
}

// loseMachines is a step that takes n machines away without notice.
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

// fastBoots makes new machines come up within a second or two.
func fastBoots(c *cluster) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.bootTime
	c.bootTime = func(name string) time.Duration { return 500*ms + c.randomDuration("boot "+name, time.Second) }
	return func() { c.mu.Lock(); c.bootTime = old; c.mu.Unlock() }
}
