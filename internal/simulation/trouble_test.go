package simulation

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/protocol"
)

// trouble is a step of a scenario: it breaks something at once, and what it returns
// mends it again.
type trouble func(l *live) (mend func())

// during breaks something for a while; what it breaks is mended by itself.
func during(d time.Duration, what trouble) func(l *live) {
	return func(l *live) {
		mend := what(l)
		time.AfterFunc(d, func() {
			if l.ctx.Err() == nil && mend != nil {
				mend()
			}
		})
	}
}

// refuseLeader: the state service refuses the leader alone.
func refuseLeader(l *live) func() {
	n := l.leader()
	l.note("refused")
	l.state.Refuse(n.ip, true)
	return func() { l.state.Refuse(n.ip, false) }
}

// outage: the state service serves nobody.
func outage(l *live) func() {
	l.note("outage")
	l.state.Outage(true)
	return func() { l.state.Outage(false) }
}

// leaderApart: the leader loses the state service and the other controllers, but
// neither its workers nor its users.
func leaderApart(l *live) func() {
	n := l.leader()
	l.note("apart")
	heal, a, b := l.apart(n, l.others(n)...), l.cut(n.ip, HostOf(stateAddr)), l.cut(HostOf(stateAddr), n.ip)
	return func() { heal(); a(); b() }
}

// crashLeader ends the leader, which is back after a while.
func crashLeader(back time.Duration) func(l *live) {
	return func(l *live) { l.crash(l.leader(), back) }
}

// crashAll ends all controllers.
func crashAll(back time.Duration) func(l *live) {
	return func(l *live) {
		for i, n := range l.nodes {
			l.crash(n, back+time.Duration(i)*100*ms)
		}
	}
}

// zoneCut cuts a zone's workers and one controller off from everything else.
func zoneCut(l *live) func() {
	l.note("zone")
	n := l.nodes[0]
	var ends []func()
	for _, o := range l.others(n) {
		ends = append(ends, l.apart(n, o))
	}
	both := func(a, b string) { ends = append(ends, l.cut(a, b), l.cut(b, a)) }
	for _, out := range []string{HostOf(stateAddr), HostOf(cloudAddr), usersHost} {
		both(n.ip, out)
	}
	for _, r := range l.machines(99, func(r *rig) bool { return r.m.Zone == "a" }) {
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

// slowController makes a controller short of processor time: whatever it sends and
// receives, heartbeats and the answers to its renewals too, comes later than it should.
func slowController(by time.Duration, which func(l *live) *controller) trouble {
	return func(l *live) func() {
		n := which(l)
		l.note("slow")
		l.net.Slow(n.ip, by)
		l.underWay(hopsUnderWay * by)
		return func() {
			l.net.Slow(n.ip, 0)
			time.AfterFunc(hopsUnderWay*by, func() { l.underWay(0) })
		}
	}
}

// hopsUnderWay counts the messages by a slow controller between a cancellation and the last
// start that it cannot prevent: a heartbeat that is already under way and its answer, the
// one with the news, and the command.
const hopsUnderWay = 4

// underWay sets how long a start may still be in flight after its job's cancellation.
func (l *live) underWay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.UnderWay = d
}

// aFollower returns a controller that does not lead.
func aFollower(l *live) *controller { return l.others(l.leader())[0] }

// machines returns up to n machines that the function names, or any.
func (l *live) machines(n int, which func(*rig) bool) (out []*rig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name := range l.rigs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if r := l.rigs[name]; len(out) < n && (which == nil || which(r)) {
			out = append(out, r)
		}
	}
	return out
}

func busy(r *rig) bool { return len(r.w.Tasks) > 0 }

// mute: these machines reach no controller, while direct commands reach them.
func mute(n int) trouble {
	return func(l *live) func() {
		rigs := l.machines(n, busy)
		set := func(on bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, r := range rigs {
				r.Mute = on
			}
		}
		set(true)
		return func() { set(false) }
	}
}

// deaf: the reports of these machines arrive, answers and commands to them are held
// back, and commands executed late.
func deaf(n int) trouble {
	return func(l *live) func() {
		var ends []func()
		for _, r := range l.machines(n, busy) {
			l.note("deaf")
			ends = append(ends, l.cut("*", r.ip))
		}
		return func() {
			for _, f := range ends {
				f()
			}
		}
	}
}

// hang makes machines execute nothing for a while.
func hang(n int, d time.Duration) func(l *live) {
	return func(l *live) {
		rigs := l.machines(n, busy)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range rigs {
			if !r.w.Hung {
				r.hang(d)
			}
		}
	}
}

// writes lets a share of the transactions meet a fate.
func writes(share float64, fate func(l *live, transaction string) Fate) trouble {
	return func(l *live) func() {
		l.state.SetFate(func(host string, txn *protocol.Txn) Fate {
			name := host
			for _, op := range txn.Then {
				name += " " + op.Put + op.Delete
			}
			if !l.chance("fate "+name, share) {
				return Fate{Answer: true}
			}
			l.note("write")
			return fate(l, name)
		})
		return func() { l.state.SetFate(nil) }
	}
}

// lateWrites are carried out late, after newer ones, and never answered.
func lateWrites(share float64) trouble {
	return writes(share, func(l *live, name string) Fate {
		return Fate{Late: 2*time.Second + l.upTo("late "+name, 10*time.Second)}
	})
}

// lostAnswers: the transaction is carried out at once, and only its answer is lost.
func lostAnswers(share float64) trouble {
	return writes(share, func(*live, string) Fate { return Fate{} })
}

// slowWrites are answered late.
func slowWrites(share float64, most time.Duration) trouble {
	return writes(share, func(l *live, name string) Fate { return Fate{Answer: true, Late: l.upTo("late "+name, most)} })
}

// lateReports: of a share of the reports a copy arrives again, up to long after.
func lateReports(share float64) trouble {
	return func(l *live) func() {
		return l.tap(func(r *protocol.Report) {
			name := fmt.Sprint(r.Machine, r.Session, r.Seq)
			if !l.chance("copy "+name, share) {
				return
			}
			to := l.nodes[l.draw("copy to "+name, len(l.nodes))]
			time.AfterFunc(l.upTo("late "+name, time.Duration(2.5*l.cfg.Workers.LeaseS*float64(time.Second))), func() { l.deliver(r, to) })
		})
	}
}

// forNext: a copy of a share of the reports is kept for the next leader, and reaches
// every controller as it begins, or so much later.
func forNext(share float64, after time.Duration) trouble {
	return func(l *live) func() {
		var kept []*protocol.Report
		term := l.term()
		l.go_(func() {
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
						for _, n := range l.nodes {
							go l.deliver(r, n)
						}
					}
				}
			}
		})
		return l.tap(func(r *protocol.Report) {
			if l.chance(fmt.Sprint("keep ", r.Machine, r.Session, r.Seq), share) && len(kept) < 60 {
				kept = append(kept, r)
			}
		})
	}
}

// tap lets f see all reports; l.mu is held when it is called.
func (l *live) tap(f func(*protocol.Report)) func() {
	set := func(f func(*protocol.Report)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reports = f
	}
	set(f)
	return func() { set(nil) }
}

// closeLooks: see call.
func closeLooks(l *live) func() {
	set := func(on bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.looks = on
	}
	set(true)
	return func() { set(false) }
}

// cancels has users call off running jobs, at any controllers; with hang, machines of
// theirs hang right after.
func cancels(n int, hang time.Duration) func(l *live) {
	return func(l *live) {
		for _, id := range l.running()[:min(n, len(l.running()))] {
			l.mu.Lock()
			rigs := l.on(id)
			if hang > 0 && len(rigs) > 0 && !rigs[0].w.Hung {
				time.AfterFunc(l.upTo("hang "+id, 200*ms), func() {
					l.mu.Lock()
					defer l.mu.Unlock()
					if !rigs[0].w.Hung {
						rigs[0].hang(hang)
					}
				})
			}
			l.mu.Unlock()
			l.go_(func() { l.cancel(id, l.nodes, 3*time.Minute) })
		}
	}
}

// storm: one-task jobs come four a second, of which a quarter is called off.
func storm(d time.Duration) func(l *live) {
	return func(l *live) {
		l.go_(func() {
			time.Sleep(l.upTo("storm", 50*ms)) // so that other steps don't submit at the same moments
			for end := l.now() + d; l.now() < end; time.Sleep(250 * ms) {
				j := l.job(protocol.Array, 1, 1)
				l.mu.Lock()
				l.world.RunTimes[j.ID] = 3*time.Second + l.upTo("run time "+j.ID, 4*time.Second)
				off, wait := l.chance("call off "+j.ID, 0.25), l.upTo("call off after "+j.ID, 8*time.Second)
				l.mu.Unlock()
				l.user(j)
				if off {
					time.AfterFunc(wait, func() { l.cancel(j.ID, l.nodes, time.Minute) })
				}
			}
		})
	}
}

// apartEnds: jobs of two or three tasks that end far apart.
func apartEnds(n int) func(l *live) {
	return func(l *live) {
		for i := range n {
			j := l.job(protocol.Array, 2+i%2, 1)
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 8*time.Second + l.upTo("run time "+j.ID, 10*time.Second)
			l.mu.Unlock()
			l.user(j)
		}
	}
}

// atEnd: users call jobs off, ask and repeat submissions as their last task ends.
func atEnd(n int) func(l *live) {
	return func(l *live) {
		for range n {
			j := l.job(protocol.Array, 1, 1)
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 5 * time.Second
			l.mu.Unlock()
			l.user(j)
			l.go_(func() {
				for l.ctx.Err() == nil && !l.allDone(j.ID) {
					time.Sleep(10 * ms)
				}
				time.Sleep(l.upTo("at end "+j.ID, 600*ms))
				l.note("at end")
				l.go_(func() { l.cancel(j.ID, l.nodes, time.Minute) })
				l.request(l.any(j.ID), Submits, j.ID)
				l.request(l.any(j.ID), Asks, j.ID)
			})
		}
	}
}

// crowd asks for more than there is room for, of every level and for single zones.
func crowd(n int) func(l *live) {
	return func(l *live) {
		for i := range n {
			j := l.job([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Array}[i%3], 2+i%4, 2)
			j.Priority = []protocol.Priority{"best_effort", "urgent", "normal", "critical"}[i%4]
			j.Zone = []string{"", "a", "b"}[i%3]
			j.SameZone = j.Shape == protocol.Gang && i%2 == 0
			if i%3 != 0 {
				j.CheckpointS, j.SaveS = 5, 1
			}
			l.mu.Lock()
			l.world.RunTimes[j.ID] = 10 * time.Second
			l.mu.Unlock()
			l.user(j)
		}
	}
}

// lose takes machines away without notice.
func lose(n int) func(l *live) {
	return func(l *live) {
		for _, r := range l.machines(n, busy) {
			l.note("lost")
			l.mu.Lock()
			l.rented.Remove(r.m.Name)
			l.mu.Unlock()
		}
	}
}

// quickBoots lets new machines be up at once.
func quickBoots(l *live) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.boot
	l.boot = func(name string) time.Duration { return 500*ms + l.upTo("boot "+name, time.Second) }
	return func() { l.mu.Lock(); l.boot = old; l.mu.Unlock() }
}
