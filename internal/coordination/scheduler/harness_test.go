package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/placement"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// harness drives a scheduler whose writes succeed at once and whose machines exist by their heartbeats only.
type harness struct {
	scheduler    *Scheduler
	now          time.Duration
	revision     uint64
	sequences    map[string]uint64
	runs         map[protocol.TaskID]protocol.Command
	machineOf    map[protocol.TaskID]string // machine of each run
	stops        map[protocol.TaskID]float64
	transactions []protocol.Txn
	tasks        map[string]map[protocol.TaskID]protocol.TaskStatus // by machine
	tokens       map[string]uint64
	zoneOf       map[string]string
	spotMachines map[string]bool
	// onEffect, if set, sees every effect.
	onEffect func(Effect)
}

func newHarness(teams []config.Team, zones ...string) *harness {
	cfg := &config.Deployment{
		Controllers: 3,
		Teams:       teams,
		Workers: config.Workers{
			HeartbeatSeconds: 1,
			LeaseSeconds:     10,
			GangWaitSeconds:  40,
			GangPeerSeconds:  4,
			CancelSeconds:    40,
		},
		Store: config.StoreLimits{
			RPS:      100,
			WriteRPS: 30,
			ValueKB:  8,
			TxnOps:   16,
		},
		Cloud: config.Cloud{RPS: 2, ListLagSeconds: 5},
		Quota: config.Quota{CoreShare: 0.1},
	}
	types := []protocol.MachineType{
		{
			Name:             "g8",
			CPUs:             64,
			GPUs:             8,
			MemoryGB:         256,
			CacheGB:          100,
			FetchGBPerSecond: 1,
			HourlyPrice:      4,
			HourlySpotPrice:  1,
			BootSeconds:      30,
			Zones:            zones,
		},
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &harness{
		scheduler: New(0, Options{
			Config:  cfg,
			Log:     log,
			Term:    Term{Number: 5, Revision: 1},
			Records: RecoveredRecords{MachineTypes: types},
		}),
		revision:     10,
		sequences:    map[string]uint64{},
		runs:         map[protocol.TaskID]protocol.Command{},
		machineOf:    map[protocol.TaskID]string{},
		stops:        map[protocol.TaskID]float64{},
		tasks:        map[string]map[protocol.TaskID]protocol.TaskStatus{},
		tokens:       map[string]uint64{},
		zoneOf:       map[string]string{},
		spotMachines: map[string]bool{},
	}
}

// productionPage returns the key of a job's first page in the original layout.
func productionPage(id string) string {
	return storage.PageID{
		Job:    id,
		Layout: storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(8)},
	}.Key()
}

// setObjectives replaces the service-level objectives.
func (b *harness) setObjectives(objectives []config.Objective) {
	b.scheduler.cfg.Objectives = objectives
	b.scheduler.rules.StartLatency = placement.StartLatencyObjectivesOf(objectives)
}

// apply hands an event to the scheduler and carries out the effects.
func (b *harness) apply(e Event) {
	for _, out := range b.scheduler.Step(b.now, e) {
		if b.onEffect != nil {
			b.onEffect(out)
		}
		switch o := out.(type) {
		case Write:
			b.revision++
			b.transactions = append(b.transactions, o.Txn)
			b.apply(TransactionOutcome{WriteID: o.ID, Succeeded: true, Revision: b.revision})
		case SendCommandBatch:
			b.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			b.apply(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: b.nextHeartbeat(o.Machine)})
		case HeartbeatReply:
			b.executeReply(o)
		}
	}
}

// executeReply has a machine carry out the commands in the reply to its heartbeat.
func (b *harness) executeReply(reply HeartbeatReply) {
	machine, ok := reply.ReplyTo.(string)
	if !ok {
		panic(fmt.Sprintf("a reply to %v, which is no machine", reply.ReplyTo))
	}
	b.executeCommands(machine, reply.Body.FencingToken, reply.Body.Commands)
}

// executeCommands has a machine carry out commands.
func (b *harness) executeCommands(machine string, token uint64, cmds []protocol.Command) {
	b.tokens[machine] = max(b.tokens[machine], token)
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.TaskName)
		if err != nil {
			panic(err) // the scheduler made it
		}
		switch c.Verb {
		case protocol.VerbRun:
			b.runs[id], b.machineOf[id] = c, machine
			b.tasks[machine][id] = protocol.TaskStatus{
				TaskName: c.TaskName,
				Attempt:  c.Attempt,
				State:    protocol.TaskFetching,
			}
		case protocol.VerbStop:
			b.stops[id] = *c.GraceSeconds
		case protocol.VerbForget:
			delete(b.tasks[machine], id)
		}
	}
}

// nextHeartbeat returns the next heartbeat of a machine.
func (b *harness) nextHeartbeat(name string) *protocol.WorkerHeartbeat {
	b.sequences[name]++
	r := &protocol.WorkerHeartbeat{
		Machine: name, Addr: "x", Type: "g8", Zone: b.zoneOf[name], Spot: b.spotMachines[name], Incarnation: 1,
		Sequence: b.sequences[name], FencingToken: b.tokens[name],
	}
	for _, id := range sortedIDs(b.tasks[name]) {
		r.Tasks = append(r.Tasks, b.tasks[name][id])
	}
	return r
}

// heartbeat sends a heartbeat of a machine, whose tasks are changed to those given.
func (b *harness) heartbeat(name, zone string, spot bool, tasks ...protocol.TaskStatus) {
	if b.tasks[name] == nil {
		b.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
	}
	b.zoneOf[name], b.spotMachines[name] = zone, spot
	for _, t := range tasks {
		id, err := protocol.ParseTaskID(t.TaskName)
		if err != nil {
			panic(err) // the test made it
		}
		b.tasks[name][id] = t
	}
	b.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: b.nextHeartbeat(name)})
}

// addJob accepts a job.
func (b *harness) addJob(j protocol.Job) {
	b.revision++
	b.apply(
		JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()}, Revision: b.revision},
	)
}

// runCycle lets time pass until the next cycle, and runs it.
func (b *harness) runCycle() {
	b.now += CycleInterval
	b.apply(Tick{})
}

// jobSpec returns the specification of a job of team red.
func jobSpec(id string, shape protocol.Shape, prio protocol.Priority, tasks int, gpus float64) protocol.Job {
	return protocol.Job{
		ID:        id,
		Class:     "c",
		Team:      "red",
		Shape:     shape,
		Priority:  prio,
		TaskCount: tasks,
		CPUs:      1,
		GPUs:      gpus,
		MemoryGB:  1,
		Image:     "i",
		ImageGB:   1,
	}
}

// startedTasks returns how many tasks of a job were started.
func (b *harness) startedTasks(id string) int {
	n := 0
	for t := range b.runs {
		if t.JobID == id {
			n++
		}
	}
	return n
}

// runningTask returns the status of a task that runs.
func runningTask(id protocol.TaskID, attempt uint64) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: id.String(), Attempt: attempt, State: protocol.TaskRunning}
}
