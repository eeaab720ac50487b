package simulation

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// fault injects a fault into a cluster. The returned function, if not nil, repairs it.
type fault func(l *cluster) (mend func())

// during is a step that injects a fault for a while.
func during(d time.Duration, what fault) func(l *cluster) {
	return func(l *cluster) {
		mend := what(l)
		time.AfterFunc(d, func() {
			if l.ctx.Err() == nil && mend != nil {
				mend()
			}
		})
	}
}

// refuseLeader makes the key-value store refuse the leader alone.
func refuseLeader(l *cluster) func() {
	n := l.leader()
	l.recordOccurrence("refused")
	l.store.SetRefused(n.ip, true)
	return func() { l.store.SetRefused(n.ip, false) }
}

// storeOutage makes the key-value store serve nobody.
func storeOutage(l *cluster) func() {
	l.recordOccurrence("outage")
	l.store.SetOutage(true)
	return func() { l.store.SetOutage(false) }
}

// isolateLeader cuts the leader off from the key-value store and the other controllers, but not from workers and users.
func isolateLeader(l *cluster) func() {
	n := l.leader()
	l.recordOccurrence("apart")
	heal, a, b := l.isolateFrom(
		n,
		l.others(n)...), l.blockLink(
		n.ip,
		HostOf(stateAddr),
	), l.blockLink(
		HostOf(stateAddr),
		n.ip,
	)
	return func() { heal(); a(); b() }
}

// crashLeader is a step that crashes the leader.
func crashLeader(back time.Duration) func(l *cluster) {
	return func(l *cluster) { l.crash(l.leader(), back) }
}

// crashAllControllers is a step that crashes all controllers. They come back one after the other.
func crashAllControllers(back time.Duration) func(l *cluster) {
	return func(l *cluster) {
		for i, n := range l.controllers {
			l.crash(n, back+time.Duration(i)*100*ms)
		}
	}
}

// isolateZone cuts the workers of a zone and one controller off from everything else.
func isolateZone(l *cluster) func() {
	l.recordOccurrence("zone")
	n := l.controllers[0]
	var ends []func()
	for _, o := range l.others(n) {
		ends = append(ends, l.isolateFrom(n, o))
	}
	both := func(a, b string) { ends = append(ends, l.blockLink(a, b), l.blockLink(b, a)) }
	for _, out := range []string{HostOf(stateAddr), HostOf(cloudAddr), usersHost} {
		both(n.ip, out)
	}
	for _, r := range l.selectWorkers(99, func(r *workerProcess) bool { return r.machine.Zone == "a" }) {
		for _, o := range l.others(n) {
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
func slowController(by time.Duration, which func(l *cluster) *controller) fault {
	return func(l *cluster) func() {
		n := which(l)
		l.recordOccurrence("slow")
		l.net.SetExtraDelay(n.ip, by)
		l.setCommandTransitTime(hopsInFlight * by)
		return func() {
			l.net.SetExtraDelay(n.ip, 0)
			time.AfterFunc(hopsInFlight*by, func() { l.setCommandTransitTime(0) })
		}
	}
}

// hopsInFlight is the number of messages of a slow controller between a cancellation and the last start that it cannot
// prevent: a heartbeat that is already under way and its reply, the one with the news, and the command.
const hopsInFlight = 4

// setCommandTransitTime sets how long a start may be under way after the cancellation of its job.
func (l *cluster) setCommandTransitTime(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.CommandTransitTime = d
}

// firstFollower returns a controller that does not lead.
func firstFollower(l *cluster) *controller { return l.others(l.leader())[0] }

// selectWorkers returns up to n workers that a function selects, or any if it is nil, in the order of their names.
func (l *cluster) selectWorkers(n int, which func(*workerProcess) bool) (out []*workerProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name := range l.workers {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if r := l.workers[name]; len(out) < n && (which == nil || which(r)) {
			out = append(out, r)
		}
	}
	return out
}

// hasTasks reports whether a worker has tasks.
func hasTasks(r *workerProcess) bool { return len(r.model.Tasks) > 0 }

// loseHeartbeats drops the heartbeats of n workers. Commands that are sent to their addresses arrive.
func loseHeartbeats(n int) fault {
	return func(l *cluster) func() {
		workers := l.selectWorkers(n, hasTasks)
		set := func(on bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
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
	return func(l *cluster) func() {
		var ends []func()
		for _, r := range l.selectWorkers(n, hasTasks) {
			l.recordOccurrence("deaf")
			ends = append(ends, l.blockLink("*", r.ip))
		}
		return func() {
			for _, f := range ends {
				f()
			}
		}
	}
}

// hangWorkers is a step that makes n workers execute nothing for a while.
func hangWorkers(n int, d time.Duration) func(l *cluster) {
	return func(l *cluster) {
		workers := l.selectWorkers(n, hasTasks)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range workers {
			if !r.model.Hung {
				r.hang(d)
			}
		}
	}
}

// faultyWrites gives a share of the transactions another outcome.
func faultyWrites(share float64, fate func(l *cluster, transaction string) Outcome) fault {
	return func(l *cluster) func() {
		l.store.SetOutcomes(func(host string, txn *protocol.Txn) Outcome {
			name := host
			for _, op := range txn.Then {
				name += " " + op.PutKey + op.DeleteKey
			}
			if !l.chance("fate "+name, share) {
				return Outcome{Reply: true}
			}
			l.recordOccurrence("write")
			return fate(l, name)
		})
		return func() { l.store.SetOutcomes(nil) }
	}
}

// delayedWrites applies a share of the transactions late, after newer ones, and never answers them.
func delayedWrites(share float64) fault {
	return faultyWrites(share, func(l *cluster, name string) Outcome {
		return Outcome{Delay: 2*time.Second + l.randomDuration("late "+name, 10*time.Second)}
	})
}

// lostReplies loses the answers to a share of the transactions, which are applied at once.
func lostReplies(share float64) fault { //nolint:unparam // a share, as the other faults have
	return faultyWrites(share, func(*cluster, string) Outcome { return Outcome{} })
}

// slowWrites delays the answers to a share of the transactions.
func slowWrites(share float64, most time.Duration) fault {
	return faultyWrites(share, func(l *cluster, name string) Outcome {
		return Outcome{Reply: true, Delay: l.randomDuration("late "+name, most)}
	})
}

// duplicateHeartbeats delivers copies of a share of the heartbeats, up to long after them.
func duplicateHeartbeats(share float64) fault {
	return func(l *cluster) func() {
		return l.watchHeartbeats(func(r *protocol.WorkerHeartbeat) {
			name := fmt.Sprint(r.Machine, r.Incarnation, r.Sequence)
			if !l.chance("copy "+name, share) {
				return
			}
			to := l.controllers[l.randomInt("copy to "+name, len(l.controllers))]
			time.AfterFunc(
				l.randomDuration("late "+name, time.Duration(2.5*l.cfg.Workers.LeaseSeconds*float64(time.Second))),
				func() { l.deliverCopy(r, to) },
			)
		})
	}
}

// replayToNextLeader keeps copies of a share of the heartbeats, and delivers them to every controller some time after a
// new term begins.
func replayToNextLeader(share float64, after time.Duration) fault { //nolint:unparam // as the other faults
	return func(l *cluster) func() {
		var kept []*protocol.WorkerHeartbeat
		term := l.term()
		l.spawn(func() {
			for l.ctx.Err() == nil {
				time.Sleep(5 * ms)
				if now := l.term(); now != term {
					term = now
					time.Sleep(after)
					l.mu.Lock()
					out := kept
					kept = nil
					l.mu.Unlock()
					for _, r := range out {
						for _, n := range l.controllers {
							go l.deliverCopy(r, n)
						}
					}
				}
			}
		})
		return l.watchHeartbeats(func(r *protocol.WorkerHeartbeat) {
			if l.chance(fmt.Sprint("keep ", r.Machine, r.Incarnation, r.Sequence), share) && len(kept) < 60 {
				kept = append(kept, r)
			}
		})
	}
}

// watchHeartbeats calls f with l.mu held for each heartbeat. The returned function ends that.
func (l *cluster) watchHeartbeats(f func(*protocol.WorkerHeartbeat)) func() {
	set := func(f func(*protocol.WorkerHeartbeat)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.onHeartbeat = f
	}
	set(f)
	return func() { set(nil) }
}

// queryAfterAnswers makes users verify answers at all controllers, see requestAndVerify.
func queryAfterAnswers(l *cluster) func() {
	set := func(on bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.queryAfterAnswers = on
	}
	set(true)
	return func() { set(false) }
}

// cancelJobs is a step that has users cancel n running jobs. With hang, a worker of each hangs right after.
func cancelJobs(n int, hang time.Duration) func(l *cluster) {
	return func(l *cluster) {
		for _, id := range l.runningJobs()[:min(n, len(l.runningJobs()))] {
			l.mu.Lock()
			workers := l.workersWithJob(id)
			if hang > 0 && len(workers) > 0 && !workers[0].model.Hung {
				time.AfterFunc(l.randomDuration("hang "+id, 200*ms), func() {
					l.mu.Lock()
					defer l.mu.Unlock()
					if !workers[0].model.Hung {
						workers[0].hang(hang)
					}
				})
			}
			l.mu.Unlock()
			l.spawn(func() { l.cancelUntilFinal(id, l.controllers, 3*time.Minute) })
		}
	}
}

// submissionStorm is a step that submits four jobs of one task a second, and cancels a quarter of them.
func submissionStorm(d time.Duration) func(l *cluster) {
	return func(l *cluster) {
		l.spawn(func() {
			time.Sleep(l.randomDuration("storm", 50*ms)) // so that other steps don't submit at the same moments
			for end := l.now() + d; l.now() < end; time.Sleep(250 * ms) {
				j := l.newJob(protocol.Array, 1, 1)
				l.mu.Lock()
				l.world.RunTimes[j.ID] = 3*time.Second + l.randomDuration("run time "+j.ID, 4*time.Second)
				off, wait := l.chance("call off "+j.ID, 0.25), l.randomDuration("call off after "+j.ID, 8*time.Second)
				l.mu.Unlock()
				l.submit(j)
				if off {
					time.AfterFunc(wait, func() { l.cancelUntilFinal(j.ID, l.controllers, time.Minute) })
				}
			}
		})
	}
}

// staggeredCompletions is a step that submits n jobs whose tasks complete far apart.
func staggeredCompletions(n int) func(l *cluster) {
	return func(l *cluster) {
		for i := range n {
			j := l.newJob(protocol.Array, 2+i%2, 1)
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 8*time.Second + l.randomDuration("run time "+j.ID, 10*time.Second)
			l.mu.Unlock()
			l.submit(j)
		}
	}
}

// cancelAtCompletion is a step that submits n jobs, each of which is cancelled, queried and submitted again as its last
// task completes.
func cancelAtCompletion(n int) func(l *cluster) {
	return func(l *cluster) {
		for range n {
			j := l.newJob(protocol.Array, 1, 1)
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 5 * time.Second
			l.mu.Unlock()
			l.submit(j)
			l.spawn(func() {
				for l.ctx.Err() == nil && !l.allTasksDone(j.ID) {
					time.Sleep(10 * ms)
				}
				time.Sleep(l.randomDuration("at end "+j.ID, 600*ms))
				l.recordOccurrence("at end")
				l.spawn(func() { l.cancelUntilFinal(j.ID, l.controllers, time.Minute) })
				l.request(l.anyController(j.ID), RequestSubmit, j.ID)
				l.request(l.anyController(j.ID), RequestQuery, j.ID)
			})
		}
	}
}

// overload is a step that submits n jobs of all priorities, more than there is capacity for, some of them for one zone.
func overload(n int) func(l *cluster) {
	return func(l *cluster) {
		for i := range n {
			j := l.newJob([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Array}[i%3], 2+i%4, 2)
			j.Priority = []protocol.Priority{"best_effort", "urgent", "normal", "critical"}[i%4]
			j.Zone = []string{"", "a", "b"}[i%3]
			j.SameZone = j.Shape == protocol.Gang && i%2 == 0
			if i%3 != 0 {
				j.CheckpointIntervalSeconds, j.SaveSeconds = 5, 1
			}
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 10 * time.Second
			l.mu.Unlock()
			l.submit(j)
		}
	}
}

// loseMachines is a step that takes n machines away without notice.
func loseMachines(n int) func(l *cluster) {
	return func(l *cluster) {
		for _, r := range l.selectWorkers(n, hasTasks) {
			l.recordOccurrence("lost")
			l.mu.Lock()
			l.cloud.Remove(r.machine.Name)
			l.mu.Unlock()
		}
	}
}

// fastBoots makes new machines come up within a second or two.
func fastBoots(l *cluster) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.bootTime
	l.bootTime = func(name string) time.Duration { return 500*ms + l.randomDuration("boot "+name, time.Second) }
	return func() { l.mu.Lock(); l.bootTime = old; l.mu.Unlock() }
}
