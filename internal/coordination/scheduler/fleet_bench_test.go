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

// fleetHarness drives a scheduler with a large fleet, whose writes succeed at once and whose machines carry out all
// commands. Only the steps of the scheduler are timed.
type fleetHarness struct {
	scheduler    *Scheduler
	now          time.Duration
	revision     uint64
	heartbeats   map[string]*protocol.WorkerHeartbeat
	started      int // runs that were commanded
	stepTime     time.Duration
	jobs         int
	rng          *rand.Rand
	longestCycle time.Duration // step in which a cycle ran
}

// machineSlots is how many tasks fit on a machine, serviceSlots how many of them services take that run all the time.
const (
	machineSlots = 16
	serviceSlots = 10
	imageCount   = 30
)

func newFleetHarness(machines, teams int) *fleetHarness {
	cfg := &config.Deployment{
		Controllers: 3,
		Workers: config.Workers{
			HeartbeatSeconds: 5,
			LeaseSeconds:     29,
			GangWaitSeconds:  60,
			GangPeerSeconds:  5,
			CancelSeconds:    59,
		},
		Store: config.StoreLimits{
			RPS:      600,
			WriteRPS: 180,
			ValueKB:  8,
			TxnOps:   16,
		},
		Cloud: config.Cloud{RPS: 4, ListLagSeconds: 8},
		Quota: config.Quota{CoreShare: 1},
	}
	for i := range teams {
		cfg.Teams = append(cfg.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i)})
	}
	types := []protocol.MachineType{
		{
			Name:             "m",
			CPUs:             2 * machineSlots,
			GPUs:             2,
			MemoryGB:         4 * machineSlots,
			CacheGB:          imageCount,
			FetchGBPerSecond: 100,
			HourlyPrice:      4,
			HourlySpotPrice:  1,
			BootSeconds:      3600,
			Zones:            []string{"a", "b", "c"},
		},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError}))
	b := &fleetHarness{
		scheduler: New(0, Options{
			Config:  cfg,
			Log:     log,
			Term:    Term{Number: 5, Revision: 1},
			Records: RecoveredRecords{MachineTypes: types},
		}),
		revision:   10,
		heartbeats: map[string]*protocol.WorkerHeartbeat{},
		rng:        rand.New(rand.NewPCG(1, 2)),
	}
	b.now = CycleInterval
	var list []protocol.ListedMachine
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		b.heartbeats[name] = &protocol.WorkerHeartbeat{
			Machine:     name,
			Addr:        "x",
			Type:        "m",
			Zone:        types[0].Zones[i%3],
			Incarnation: 1,
		}
		list = append(
			list,
			protocol.ListedMachine{
				Name:  name,
				Addr:  "x",
				Type:  "m",
				Zone:  types[0].Zones[i%3],
				State: protocol.MachineRunning,
			},
		)
		b.heartbeat(name)
	}
	b.apply(MachinesListed{RequestedAt: b.now, Machines: list})
	return b
}

// apply hands an event to the scheduler and carries out the effects.
func (b *fleetHarness) apply(e Event) {
	cycles := b.scheduler.cycle.count
	began := time.Now()
	effects := b.scheduler.Step(b.now, e)
	took := time.Since(began)
	b.stepTime += took
	if b.scheduler.cycle.count > cycles {
		b.longestCycle = max(b.longestCycle, took)
	}
	for _, out := range effects {
		switch o := out.(type) {
		case Write:
			b.revision++
			b.apply(TransactionOutcome{WriteID: o.ID, Succeeded: true, Revision: b.revision})
		case SendCommandBatch:
			b.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			b.apply(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: b.nextHeartbeat(o.Machine)})
		case HeartbeatReply:
			if name, ok := o.ReplyTo.(string); ok {
				b.executeCommands(name, o.Body.FencingToken, o.Body.Commands)
			}
		}
	}
}

// executeCommands has a machine carry out commands. Tasks run at once.
func (b *fleetHarness) executeCommands(name string, token uint64, commands []protocol.Command) {
	r := b.heartbeats[name]
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
			r.Tasks = append(
				r.Tasks,
				protocol.TaskStatus{TaskName: c.TaskName, Attempt: c.Attempt, State: protocol.TaskRunning},
			)
		case c.Verb == protocol.VerbStop && at >= 0:
			r.Tasks[at].State, r.Tasks[at].Cause = protocol.TaskExited, protocol.CauseStopped
		case c.Verb == protocol.VerbForget && at >= 0:
			r.Tasks = append(r.Tasks[:at], r.Tasks[at+1:]...)
		}
	}
}

// nextHeartbeat returns a machine's next heartbeat.
func (b *fleetHarness) nextHeartbeat(name string) *protocol.WorkerHeartbeat {
	r := *b.heartbeats[name]
	b.heartbeats[name].Sequence++
	r.Sequence = b.heartbeats[name].Sequence
	r.Tasks = append([]protocol.TaskStatus{}, r.Tasks...)
	return &r
}

func (b *fleetHarness) heartbeat(name string) {
	b.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: b.nextHeartbeat(name)})
}

// heartbeatAll sends a heartbeat of each machine.
func (b *fleetHarness) heartbeatAll() {
	for name := range b.heartbeats {
		b.heartbeat(name)
	}
}

// submit submits a job of a team, of normal priority.
func (b *fleetHarness) submit(shape protocol.Shape, team, tasks int) {
	b.jobs++
	id := fmt.Sprintf("j-%07d", b.jobs)
	b.revision++
	b.apply(
		JobAccepted{
			Revision: b.revision,
			Record: storage.LiveJobRecord{AcceptedAtMS: b.now.Milliseconds(), Job: protocol.Job{
				ID:              id,
				Class:           string(shape),
				Team:            fmt.Sprintf("team-%03d", team),
				Shape:           shape,
				Priority:        "normal",
				TaskCount:       tasks,
				CPUs:            2,
				MemoryGB:        4,
				Image:           fmt.Sprintf("image-%02d", b.rng.IntN(imageCount)),
				ImageGB:         1,
				EstimateSeconds: 40,
			}},
		},
	)
}

// fill starts services on all machines, with so many tasks on each.
func (b *fleetHarness) fill(teams, perMachine int) {
	left := perMachine * len(b.heartbeats)
	for i := 0; left > 0; i++ {
		n := min(left, 960)
		b.submit(protocol.Service, i%teams, n)
		left -= n
		if i%8 == 0 {
			b.advance(CycleInterval)
		}
	}
	for range 10 {
		b.advance(CycleInterval)
	}
}

// advance lets time pass.
func (b *fleetHarness) advance(d time.Duration) {
	b.now += d
	b.apply(Tick{})
}

// finishArrays ends all running tasks of arrays.
func (b *fleetHarness) finishArrays() {
	for name, r := range b.heartbeats {
		changed := false
		for i := range r.Tasks {
			t := &r.Tasks[i]
			if id, err := protocol.ParseTaskID(
				t.TaskName,
			); err == nil && t.State == protocol.TaskRunning &&
				b.scheduler.jobs[id.JobID] != nil &&
				b.scheduler.jobs[id.JobID].Spec.Shape == protocol.Array {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				changed = true
			}
		}
		if changed {
			b.heartbeat(name)
		}
	}
}

// BenchmarkStarts measures how many starts a scheduler makes a second, with all that goes with them: submissions,
// cycles, records, commands, heartbeats, ends.
func BenchmarkStarts(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := newFleetHarness(machines, 200)
			f.fill(200, serviceSlots)
			f.heartbeatAll()
			const tasks, jobs = 64, 8
			for b.Loop() {
				f.stepTime, f.started, f.longestCycle = 0, 0, 0
				for range 4 {
					for range jobs {
						f.submit(protocol.Array, f.rng.IntN(200), tasks)
					}
					for range 3 {
						f.advance(MinCycleInterval)
					}
					f.finishArrays()
					f.advance(MinCycleInterval)
				}
			}
			b.ReportMetric(float64(f.started)/f.stepTime.Seconds(), "starts/s")
			b.ReportMetric(float64(f.longestCycle.Microseconds())/1000, "longest-cycle-ms")
		})
	}
}

// BenchmarkQuietCycle measures a cycle with a plan of capacity when nothing has happened.
func BenchmarkQuietCycle(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			f := newFleetHarness(machines, 200)
			f.fill(200, serviceSlots+3)
			f.heartbeatAll()
			f.advance(CycleInterval)
			b.ResetTimer()
			for range b.N {
				f.now += CycleInterval
				f.scheduler.Step(f.now, Tick{})
				b.StopTimer()
				f.heartbeatAll() // or the machines would count as silent
				b.StartTimer()
			}
		})
	}
}

// newOverloadedHarness returns a harness with a full fleet, and jobs of many teams that wait for capacity.
func newOverloadedHarness(machines, teams, waiting int) *fleetHarness {
	f := newFleetHarness(machines, teams)
	f.fill(teams, machineSlots)
	f.heartbeatAll()
	for i := range waiting {
		f.submit(protocol.Array, i%teams, 64)
	}
	for range 4 {
		f.advance(CycleInterval)
	}
	f.heartbeatAll()
	return f
}

// BenchmarkOverload measures a cycle while many jobs wait that find no capacity.
func BenchmarkOverload(b *testing.B) {
	for _, x := range []struct{ machines, teams, waiting int }{
		{100, 1, 200},
		{100, 20, 200},
		{100, 200, 200},
		{250, 200, 1400},
		{2000, 200, 2000},
		{6000, 200, 6000},
		{18_000, 200, 18_000},
	} {
		b.Run(fmt.Sprintf("%d-machines-%d-teams-%d-jobs", x.machines, x.teams, x.waiting), func(b *testing.B) {
			f := newOverloadedHarness(x.machines, x.teams, x.waiting)
			b.ResetTimer()
			for range b.N {
				f.now += CycleInterval
				f.scheduler.Step(f.now, Tick{})
				b.StopTimer()
				f.heartbeatAll()
				b.StartTimer()
			}
		})
	}
}
