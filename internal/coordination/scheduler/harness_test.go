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

// harness drives a scheduler whose writes succeed immediately and whose machines exist only through their heartbeats.
type harness struct {
	scheduler    *Scheduler
	now          time.Duration
	revision     uint64
	sequences    map[string]uint64
	runs         map[protocol.TaskID]protocol.Command
	machineOf    map[protocol.TaskID]string  // machine that each run command was sent to
	stops        map[protocol.TaskID]float64 // grace period of each stop command, in seconds
	transactions []protocol.Txn
	tasks        map[string]map[protocol.TaskID]protocol.TaskStatus // by machine
	tokens       map[string]uint64
	zoneOf       map[string]string
	spotMachines map[string]bool
	// onEffect, if set, is called with every effect.
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
		Quota: config.Quota{CoreShare: 0.1, MaxSockets: 500},
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

// originalPageKey returns the key of the first page of a job in the original page layout.
func originalPageKey(id string) string {
	return storage.PageID{
		Job:    id,
		Layout: storage.PageLayout{TasksPerPage: storage.OriginalTasksPerPage(8)},
	}.Key()
}

// setObjectives replaces the service-level objectives.
func (h *harness) setObjectives(objectives []config.Objective) {
	h.scheduler.cfg.Objectives = objectives
	h.scheduler.rules.StartLatency = placement.StartLatencyObjectivesOf(objectives)
}

// apply passes an event to the scheduler and carries out the resulting effects.
func (h *harness) apply(e Event) {
	for _, out := range h.scheduler.Step(h.now, e) {
		if h.onEffect != nil {
			h.onEffect(out)
		}
		switch o := out.(type) {
		case Write:
			h.revision++
			h.transactions = append(h.transactions, o.Txn)
			h.apply(TransactionOutcome{WriteID: o.ID, Succeeded: true, Revision: h.revision})
		case SendCommandBatch:
			h.executeCommands(o.Machine, o.Batch.FencingToken, o.Batch.Commands)
			h.apply(CommandBatchResult{Machine: o.Machine, Acknowledged: true, Heartbeat: h.nextHeartbeat(o.Machine)})
		case Probe:
			h.apply(ProbeReply{Machine: o.Machine}) // machines answer no probes unless the test lets them
		case HeartbeatReply:
			h.executeReply(o)
		}
	}
}

// executeReply makes a machine execute the commands in the reply to its heartbeat.
func (h *harness) executeReply(reply HeartbeatReply) {
	machine, ok := reply.ReplyTo.(string)
	if !ok {
		panic(fmt.Sprintf("reply to %v, which is not a machine", reply.ReplyTo))
	}
	h.executeCommands(machine, reply.Body.FencingToken, reply.Body.Commands)
}

// executeCommands makes a machine execute commands.
func (h *harness) executeCommands(machine string, token uint64, cmds []protocol.Command) {
	h.tokens[machine] = max(h.tokens[machine], token)
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.TaskName)
		if err != nil {
			panic(err) // the scheduler created the name
		}
		switch c.Verb {
		case protocol.VerbRun:
			h.runs[id], h.machineOf[id] = c, machine
			h.tasks[machine][id] = protocol.TaskStatus{
				TaskName: c.TaskName,
				Attempt:  c.Attempt,
				State:    protocol.TaskFetching,
			}
		case protocol.VerbStop:
			h.stops[id] = *c.GraceSeconds
		case protocol.VerbForget:
			delete(h.tasks[machine], id)
		}
	}
}

// nextHeartbeat returns the next heartbeat of a machine.
func (h *harness) nextHeartbeat(name string) *protocol.WorkerHeartbeat {
	h.sequences[name]++
	heartbeat := &protocol.WorkerHeartbeat{
		Machine: name, Addr: "x", Type: "g8", Zone: h.zoneOf[name], Spot: h.spotMachines[name], Incarnation: 1,
		Sequence: h.sequences[name], FencingToken: h.tokens[name],
	}
	for _, id := range sortedIDs(h.tasks[name]) {
		heartbeat.Tasks = append(heartbeat.Tasks, h.tasks[name][id])
	}
	return heartbeat
}

// heartbeat delivers a heartbeat of a machine after updating the given tasks on it.
func (h *harness) heartbeat(name, zone string, spot bool, tasks ...protocol.TaskStatus) {
	if h.tasks[name] == nil {
		h.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
	}
	h.zoneOf[name], h.spotMachines[name] = zone, spot
	for _, t := range tasks {
		id, err := protocol.ParseTaskID(t.TaskName)
		if err != nil {
			panic(err) // the test created the name
		}
		h.tasks[name][id] = t
	}
	h.apply(HeartbeatReceived{ReplyTo: name, Heartbeat: h.nextHeartbeat(name)})
}

// addJob delivers an accepted job.
func (h *harness) addJob(j protocol.Job) {
	h.revision++
	h.apply(
		JobAccepted{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: h.now.Milliseconds()}, Revision: h.revision},
	)
}

// runCycle advances the time to the next cycle and runs it.
func (h *harness) runCycle() {
	h.now += CycleInterval
	h.apply(Tick{})
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

// startedTasks returns the number of tasks of a job that were started.
func (h *harness) startedTasks(id string) int {
	n := 0
	for t := range h.runs {
		if t.JobID == id {
			n++
		}
	}
	return n
}

// runningTask returns the status of a running task.
func runningTask(id protocol.TaskID, attempt uint64) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: id.String(), Attempt: attempt, State: protocol.TaskRunning}
}
