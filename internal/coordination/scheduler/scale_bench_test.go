package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// fleetBench drives a core with a large fleet whose writes succeed at once and whose machines
// do as they are told. Only the core's own steps are timed.
type fleetBench struct {
	c       *Core
	now     time.Duration
	rev     uint64
	reports map[string]*protocol.WorkerHeartbeat
	started int // runs that were commanded
	spent   time.Duration
	jobs    int
	rng     *rand.Rand
	longest time.Duration // step in which a cycle ran
}

// slots is the room of a machine in tasks, of which the standing work takes standing.
const (
	slots    = 16
	standing = 10
	images   = 30
)

func newFleetBench(machines, teams int, limit float64) *fleetBench {
	cfg := &config.Deployment{
		Controllers: 3, Workers: config.Workers{HeartbeatSeconds: 5, LeaseSeconds: 29, GangWaitSeconds: 60, GangPeerSeconds: 5, CancelSeconds: 59},
		Store: config.StoreLimits{RPS: 600, WriteRPS: 180, ValueKB: 8, TxnOps: 16}, Cloud: config.Cloud{RPS: 4, ListLagSeconds: 8}, Quota: config.Quota{CoreShare: 1},
	}
	for i := range teams {
		cfg.Teams = append(cfg.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i), MaxCPUs: limit})
	}
	types := []protocol.MachineType{{Name: "m", CPUs: 2 * slots, GPUs: 2, MemoryGB: 4 * slots, CacheGB: images, FetchGBPerSecond: 100, HourlyPrice: 4, HourlySpotPrice: 1, BootSeconds: 3600,
		Zones: []string{"a", "b", "c"}}}
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError}))
	b := &fleetBench{c: New(0, cfg, log, Term{Number: 5, Stamp: 1}, Records{Types: types}, 0, nil), rev: 10, reports: map[string]*protocol.WorkerHeartbeat{}, rng: rand.New(rand.NewPCG(1, 2))}
	b.now = Cycle
	var list []protocol.ListedMachine
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		b.reports[name] = &protocol.WorkerHeartbeat{Machine: name, Addr: "x", Type: "m", Zone: types[0].Zones[i%3], Incarnation: 1}
		list = append(list, protocol.ListedMachine{Name: name, Addr: "x", Type: "m", Zone: types[0].Zones[i%3], State: protocol.MachineRunning})
		b.report(name)
	}
	b.do(Listed{Asked: b.now, Machines: list})
	return b
}

// do hands an event to the core and carries out its effects.
func (b *fleetBench) do(e Event) {
	cycles := b.c.cycles
	began := time.Now()
	effects := b.c.Step(b.now, e)
	took := time.Since(began)
	b.spent += took
	if b.c.cycles > cycles {
		b.longest = max(b.longest, took)
	}
	for _, out := range effects {
		switch o := out.(type) {
		case Write:
			b.rev++
			b.do(Written{Write: o.ID, OK: true, Rev: b.rev})
		case Order:
			b.execute(o.Machine, o.Orders.FencingToken, o.Orders.Commands)
			b.do(OrdersDone{Machine: o.Machine, OK: true, Report: b.next(o.Machine)})
		case Answer:
			if name, ok := o.Tag.(string); ok {
				b.execute(name, o.Body.FencingToken, o.Body.Commands)
			}
		}
	}
}

// execute has a machine do as it is told; tasks run at once.
func (b *fleetBench) execute(name string, token uint64, commands []protocol.Command) {
	r := b.reports[name]
	r.FencingToken = max(r.FencingToken, token)
	for _, c := range commands {
		at := -1
		for i := range r.Tasks {
			if r.Tasks[i].TaskName == c.TaskName {
				at = i
			}
		}
		switch {
		case c.Verb == protocol.VerbRun && at < 0:
			b.started++
			r.Tasks = append(r.Tasks, protocol.TaskStatus{TaskName: c.TaskName, Attempt: c.Attempt, State: protocol.TaskRunning})
		case c.Verb == protocol.VerbStop && at >= 0:
			r.Tasks[at].State, r.Tasks[at].Cause = protocol.TaskExited, protocol.CauseStopped
		case c.Verb == protocol.VerbForget && at >= 0:
			r.Tasks = append(r.Tasks[:at], r.Tasks[at+1:]...)
		}
	}
}

// next returns a machine's next report.
func (b *fleetBench) next(name string) *protocol.WorkerHeartbeat {
	r := *b.reports[name]
	b.reports[name].Sequence++
	r.Sequence = b.reports[name].Sequence
	r.Tasks = append([]protocol.TaskStatus{}, r.Tasks...)
	return &r
}

func (b *fleetBench) report(name string) { b.do(Reported{Tag: name, Report: b.next(name)}) }

// heartbeatAll has all machines report.
func (b *fleetBench) reportAll() {
	for name := range b.reports {
		b.report(name)
	}
}

// submit submits a job of a team; it returns its name.
func (b *fleetBench) submit(shape protocol.Shape, team, tasks int, priority protocol.Priority) string {
	b.jobs++
	id := fmt.Sprintf("j-%07d", b.jobs)
	b.rev++
	b.do(JobSet{Stamp: b.rev, Record: storage.LiveJobRecord{AcceptedAtMS: b.now.Milliseconds(), Job: protocol.Job{
		ID: id, Class: string(shape), Team: fmt.Sprintf("team-%03d", team), Shape: shape, Priority: priority, TaskCount: tasks,
		CPUs: 2, MemoryGB: 4, Image: fmt.Sprintf("image-%02d", b.rng.IntN(images)), ImageGB: 1, EstimateSeconds: 40,
	}}})
	return id
}

// fill starts standing work on all machines, for so many tasks each.
func (b *fleetBench) fill(teams, perMachine int) {
	left := perMachine * len(b.reports)
	for i := 0; left > 0; i++ {
		n := min(left, 960)
		b.submit(protocol.Service, i%teams, n, "normal")
		left -= n
		if i%8 == 0 {
			b.pass(Cycle)
		}
	}
	for range 10 {
		b.pass(Cycle)
	}
}

// pass lets time pass; the machines' reports keep coming.
func (b *fleetBench) pass(d time.Duration) {
	b.now += d
	b.do(Tick{})
}

// finish ends tasks on a machine, but those of services.
func (b *fleetBench) finishArrays() {
	for name, r := range b.reports {
		changed := false
		for i := range r.Tasks {
			t := &r.Tasks[i]
			if id, err := protocol.ParseTaskID(t.TaskName); err == nil && t.State == protocol.TaskRunning && b.c.jobs[id.JobID] != nil &&
				b.c.jobs[id.JobID].spec.Shape == protocol.Array {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				changed = true
			}
		}
		if changed {
			b.report(name)
		}
	}
}

// BenchmarkStarts shows how many starts a core does a second, with all that goes with them:
// submissions, cycles, records, commands, reports, ends.
func BenchmarkStarts(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := newFleetBench(machines, 200, 0)
			f.fill(200, standing)
			f.reportAll()
			const tasks, jobs = 64, 8
			for b.Loop() {
				f.spent, f.started, f.longest = 0, 0, 0
				for range 4 {
					for range jobs {
						f.submit(protocol.Array, f.rng.IntN(200), tasks, "normal")
					}
					for range 3 {
						f.pass(Eager)
					}
					f.finishArrays()
					f.pass(Eager)
				}
			}
			b.ReportMetric(float64(f.started)/f.spent.Seconds(), "starts/s")
			b.ReportMetric(float64(f.longest.Microseconds())/1000, "longest-cycle-ms")
		})
	}
}

// BenchmarkQuietCycle shows what a full cycle costs when nothing has happened.
func BenchmarkQuietCycle(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := newFleetBench(machines, 200, 0)
			f.fill(200, standing+3)
			f.reportAll()
			f.pass(Cycle)
			b.ResetTimer()
			for range b.N {
				f.now += Cycle
				f.c.Step(f.now, Tick{})
				b.StopTimer()
				f.reportAll() // or the machines would count as silent
				b.StartTimer()
			}
		})
	}
}

// overload is a fleet that is full while jobs of many teams wait that can't run yet: each
// team is at its limit or there is no room.
func overload(machines, teams, waiting int) *fleetBench {
	f := newFleetBench(machines, teams, 0)
	f.fill(teams, slots)
	f.reportAll()
	for i := range waiting {
		f.submit(protocol.Array, i%teams, 64, "normal")
	}
	for range 4 {
		f.pass(Cycle)
	}
	f.reportAll()
	return f
}

// BenchmarkOverload shows what a cycle costs while jobs wait that find no room.
func BenchmarkOverload(b *testing.B) {
	for _, x := range []struct{ machines, teams, waiting int }{{100, 1, 200}, {100, 20, 200}, {100, 200, 200}, {250, 200, 1400}, {2000, 200, 2000}, {6000, 200, 6000}, {18_000, 200, 18_000}} {
		b.Run(fmt.Sprintf("%d-machines-%d-teams-%d-jobs", x.machines, x.teams, x.waiting), func(b *testing.B) {
			f := overload(x.machines, x.teams, x.waiting)
			b.ResetTimer()
			for range b.N {
				f.now += Cycle
				f.c.Step(f.now, Tick{})
				b.StopTimer()
				f.reportAll()
				b.StartTimer()
			}
		})
	}
}
