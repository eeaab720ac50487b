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

// fleetHarness drives a scheduler with a large fleet, whose writes succeed immediately and whose machines execute all
// commands. Only the steps of the scheduler are timed.
type fleetHarness struct {
	scheduler    *Scheduler
	now          time.Duration
	revision     uint64
	heartbeats   map[string]*protocol.WorkerHeartbeat
	started      int // number of run commands
	stepTime     time.Duration
	jobs         int
	rng          *rand.Rand
	longestCycle time.Duration // longest step that ran a cycle
}

// machineSlots is the number of tasks that fit on a machine. serviceSlots is the number of these slots that are
// occupied by services throughout a benchmark. imageCount is the number of different images that the jobs use.
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
		Quota: config.Quota{CoreShare: 1, MaxSockets: 2086},
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
	h := &fleetHarness{
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
	h.now = CycleInterval
	var list []protocol.ListedMachine
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		h.heartbeats[name] = &protocol.WorkerHeartbeat{
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
		h.heartbeat(name)
	}
	h.apply(MachinesListed{RequestedAt: h.now, Machines: list})
	return h
}

// apply passes an event to the scheduler and carries out the resulting effects.
func (h *fleetHarness) apply(e Event) {
	cycles := h.scheduler.cycle.count
	began := time.Now()
	effects := h.scheduler.Step(h.now, e)
	took := time.Since(began)
	h.stepTime += took
	if h.scheduler.cycle.count > cycles {
		h.longestCycle = max(h.longestCycle, took)
	}
	for _, out := range effects {
		switch o := out.(type) {
		case Write:
			h.revision++
			h.apply(TransactionOutcome{WriteID: o.ID, Succeeded: true, Revision: h.revision})
		case SendCommandBatch:
			h.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			h.apply(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: h.nextHeartbeat(o.Machine)})
		case HeartbeatReply:
			if name, ok := o.ReplyTo.(string); ok {
				h.executeCommands(name, o.Body.FencingToken, o.Body.Commands)
			}
		}
	}
}

// executeCommands makes a machine execute commands. Tasks run immediately.
func (h *fleetHarness) executeCommands(name string, token uint64, commands []protocol.Command) {
	heartbeat := h.heartbeats[name]
	heartbeat.FencingToken = max(heartbeat.FencingToken, token)
	for _, c := range commands {
		at := -1
		for i := range heartbeat.Tasks {
			if heartbeat.Tasks[i].TaskName == c.TaskName {
				at = i
			}
		}
		switch {
		case c.Verb == protocol.VerbRun && at < 0:
			h.started++
			heartbeat.Tasks = append(
				heartbeat.Tasks,
				protocol.TaskStatus{TaskName: c.TaskName, Attempt: c.Attempt, State: protocol.TaskRunning},
			)
		case c.Verb == protocol.VerbStop && at >= 0:
			heartbeat.Tasks[at].State, heartbeat.Tasks[at].Cause = protocol.TaskExited, protocol.CauseStopped
		case c.Verb == protocol.VerbForget && at >= 0:
			heartbeat.Tasks = append(heartbeat.Tasks[:at], heartbeat.Tasks[at+1:]...)
		}
	}
}

// nextHeartbeat returns the next heartbeat of a machine.
func (h *fleetHarness) nextHeartbeat(name string) *protocol.WorkerHeartbeat {
	heartbeat := *h.heartbeats[name]
	h.heartbeats[name].Sequence++
	heartbeat.Sequence = h.heartbeats[name].Sequence
	heartbeat.Tasks = append([]protocol.TaskStatus{}, heartbeat.Tasks...)
	return &heartbeat
}

func (h *fleetHarness) heartbeat(name string) {
	h.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: h.nextHeartbeat(name)})
}

// heartbeatAll delivers a heartbeat of each machine.
func (h *fleetHarness) heartbeatAll() {
	for name := range h.heartbeats {
		h.heartbeat(name)
	}
}

// submit submits a job of normal priority for a team.
func (h *fleetHarness) submit(shape protocol.Shape, team, tasks int) {
	h.jobs++
	id := fmt.Sprintf("j-%07d", h.jobs)
	h.revision++
	h.apply(
		JobAccepted{
			Revision: h.revision,
			Record: storage.LiveJobRecord{AcceptedAtMS: h.now.Milliseconds(), Job: protocol.Job{
				ID:              id,
				Class:           string(shape),
				Team:            fmt.Sprintf("team-%03d", team),
				Shape:           shape,
				Priority:        "normal",
				TaskCount:       tasks,
				CPUs:            2,
				MemoryGB:        4,
				Image:           fmt.Sprintf("image-%02d", h.rng.IntN(imageCount)),
				ImageGB:         1,
				EstimateSeconds: 40,
			}},
		},
	)
}

// fill starts services on all machines, with perMachine tasks on each.
func (h *fleetHarness) fill(teams, perMachine int) {
	left := perMachine * len(h.heartbeats)
	for i := 0; left > 0; i++ {
		n := min(left, 960)
		h.submit(protocol.Service, i%teams, n)
		left -= n
		if i%8 == 0 {
			h.advance(CycleInterval)
		}
	}
	for range 10 {
		h.advance(CycleInterval)
	}
}

// advance advances the time and delivers a tick.
func (h *fleetHarness) advance(d time.Duration) {
	h.now += d
	h.apply(Tick{})
}

// finishArrays reports all running tasks of arrays as done.
func (h *fleetHarness) finishArrays() {
	for name, r := range h.heartbeats {
		changed := false
		for i := range r.Tasks {
			t := &r.Tasks[i]
			if id, err := protocol.ParseTaskID(
				t.TaskName,
			); err == nil && t.State == protocol.TaskRunning &&
				h.scheduler.jobs[id.JobID] != nil &&
				h.scheduler.jobs[id.JobID].Spec.Shape == protocol.Array {
				t.State, t.Cause = protocol.TaskExited, protocol.CauseDone
				changed = true
			}
		}
		if changed {
			h.heartbeat(name)
		}
	}
}

// BenchmarkStarts measures the number of starts per second, including everything that goes with them: submissions,
// cycles, records, commands, heartbeats and completions.
func BenchmarkStarts(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			h := newFleetHarness(machines, 200)
			h.fill(200, serviceSlots)
			h.heartbeatAll()
			const tasks, jobs = 64, 8
			for b.Loop() {
				h.stepTime, h.started, h.longestCycle = 0, 0, 0
				for range 4 {
					for range jobs {
						h.submit(protocol.Array, h.rng.IntN(200), tasks)
					}
					for range 3 {
						h.advance(MinCycleInterval)
					}
					h.finishArrays()
					h.advance(MinCycleInterval)
				}
			}
			b.ReportMetric(float64(h.started)/h.stepTime.Seconds(), "starts/s")
			b.ReportMetric(float64(h.longestCycle.Microseconds())/1000, "longest-cycle-ms")
		})
	}
}

// BenchmarkQuietCycle measures a cycle with a capacity plan when nothing has changed.
func BenchmarkQuietCycle(b *testing.B) {
	for _, machines := range []int{250, 1000, 4000, 18_000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			h := newFleetHarness(machines, 200)
			h.fill(200, serviceSlots+3)
			h.heartbeatAll()
			h.advance(CycleInterval)
			b.ResetTimer()
			for range b.N {
				h.now += CycleInterval
				h.scheduler.Step(h.now, Tick{})
				b.StopTimer()
				h.heartbeatAll() // otherwise the machines would count as unreachable
				b.StartTimer()
			}
		})
	}
}

// newOverloadedHarness returns a harness with a full fleet and with jobs of many teams that wait for capacity.
func newOverloadedHarness(machines, teams, waiting int) *fleetHarness {
	h := newFleetHarness(machines, teams)
	h.fill(teams, machineSlots)
	h.heartbeatAll()
	for i := range waiting {
		h.submit(protocol.Array, i%teams, 64)
	}
	for range 4 {
		h.advance(CycleInterval)
	}
	h.heartbeatAll()
	return h
}

// BenchmarkOverload measures a cycle while many jobs wait for capacity that is not available.
func BenchmarkOverload(b *testing.B) {
	for _, tc := range []struct{ machines, teams, waiting int }{
		{100, 1, 200},
		{100, 20, 200},
		{100, 200, 200},
		{250, 200, 1400},
		{2000, 200, 2000},
		{6000, 200, 6000},
		{18_000, 200, 18_000},
	} {
		b.Run(fmt.Sprintf("%d-machines-%d-teams-%d-jobs", tc.machines, tc.teams, tc.waiting), func(b *testing.B) {
			h := newOverloadedHarness(tc.machines, tc.teams, tc.waiting)
			b.ResetTimer()
			for range b.N {
				h.now += CycleInterval
				h.scheduler.Step(h.now, Tick{})
				b.StopTimer()
				h.heartbeatAll()
				b.StartTimer()
			}
		})
	}
}
