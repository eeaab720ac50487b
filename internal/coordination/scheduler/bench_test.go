package scheduler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// bench drives a core whose writes succeed at once and whose machines are
// just reports.
type bench struct {
	c     *Core
	now   time.Duration
	rev   uint64
	seq   map[string]uint64
	runs  map[protocol.TaskID]protocol.Command
	on    map[protocol.TaskID]string // machine of each run
	stops map[protocol.TaskID]float64
	last  []protocol.Txn
	tasks map[string]map[protocol.TaskID]protocol.TaskStatus // by machine
	token map[string]uint64
	zone  map[string]string
	spot  map[string]bool
	// onEffect, if set, sees every effect.
	onEffect func(Effect)
}

func newBench(teams []config.Team, zones ...string) *bench {
	cfg := &config.Deployment{
		Controllers: 3, Teams: teams, Workers: config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, GangWaitSeconds: 40, GangPeerSeconds: 4, CancelSeconds: 40},
		Store: config.StoreLimits{RPS: 100, WriteRPS: 30, ValueKB: 8, TxnOps: 16}, Cloud: config.Cloud{RPS: 2, ListLagSeconds: 5}, Quota: config.Quota{CoreShare: 0.1},
	}
	types := []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerSecond: 1, HourlyPrice: 4, HourlySpotPrice: 1, BootSeconds: 30, Zones: zones}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &bench{c: New(0, cfg, log, Term{Number: 5, Stamp: 1}, Records{Types: types}, 0, nil), rev: 10, seq: map[string]uint64{},
		runs: map[protocol.TaskID]protocol.Command{}, on: map[protocol.TaskID]string{}, stops: map[protocol.TaskID]float64{},
		tasks: map[string]map[protocol.TaskID]protocol.TaskStatus{}, token: map[string]uint64{}, zone: map[string]string{}, spot: map[string]bool{}}
}

// productionPage is the key of a page of the first layout.
func productionPage(id string, number int) string {
	return storage.PageID{Job: id, Layout: storage.PageLayout{TasksPerPage: storage.OriginalPageTasks(8)}, Number: number}.Key()
}

// setObjectives replaces the aims.
func (b *bench) setObjectives(objectives []config.Objective) {
	b.c.cfg.Objectives = objectives
	b.c.startLatencyObjectives = startLatencyObjectivesOf(objectives)
}

func (b *bench) do(e Event) {
	for _, out := range b.c.Step(b.now, e) {
		if b.onEffect != nil {
			b.onEffect(out)
		}
		switch o := out.(type) {
		case Write:
			b.rev++
			b.last = append(b.last, o.Txn)
			b.do(Written{Write: o.ID, OK: true, Rev: b.rev})
		case Order:
			b.take(o.Machine, o.Orders.FencingToken, o.Orders.Commands)
			b.do(OrdersDone{Machine: o.Machine, OK: true, Report: b.report(o.Machine)})
		case Answer:
			b.take(o.Tag.(string), o.Body.FencingToken, o.Body.Commands)
		}
	}
}

func (b *bench) take(machine string, token uint64, cmds []protocol.Command) {
	b.token[machine] = max(b.token[machine], token)
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.TaskName)
		if err != nil {
			panic(err) // the core made it
		}
		switch c.Verb {
		case protocol.VerbRun:
			b.runs[id], b.on[id] = c, machine
			b.tasks[machine][id] = protocol.TaskStatus{TaskName: c.TaskName, Attempt: c.Attempt, State: protocol.TaskFetching}
		case protocol.VerbStop:
			b.stops[id] = *c.GraceSeconds
		case protocol.VerbForget:
			delete(b.tasks[machine], id)
		}
	}
}

func (b *bench) report(name string) *protocol.WorkerHeartbeat {
	b.seq[name]++
	r := &protocol.WorkerHeartbeat{Machine: name, Addr: "x", Type: "g8", Zone: b.zone[name], Spot: b.spot[name], Incarnation: 1,
		Sequence: b.seq[name], FencingToken: b.token[name]}
	for _, id := range sortedIDs(b.tasks[name]) {
		r.Tasks = append(r.Tasks, b.tasks[name][id])
	}
	return r
}

// machine reports for a machine, whose tasks are now as given.
func (b *bench) machine(name, zone string, spot bool, tasks ...protocol.TaskStatus) {
	if b.tasks[name] == nil {
		b.tasks[name] = map[protocol.TaskID]protocol.TaskStatus{}
	}
	b.zone[name], b.spot[name] = zone, spot
	for _, t := range tasks {
		id, err := protocol.ParseTaskID(t.TaskName)
		if err != nil {
			panic(err) // the test made it
		}
		b.tasks[name][id] = t
	}
	b.do(Reported{Tag: name, Report: b.report(name)})
}

func (b *bench) job(j protocol.Job) {
	b.rev++
	b.do(JobSet{Record: storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()}, Stamp: b.rev})
}

func (b *bench) cycle() {
	b.now += Cycle
	b.do(Tick{})
}

func spec(id string, shape protocol.Shape, prio protocol.Priority, tasks int, gpus float64) protocol.Job {
	return protocol.Job{ID: id, Class: "c", Team: "red", Shape: shape, Priority: prio, TaskCount: tasks, CPUs: 1, GPUs: gpus, MemoryGB: 1, Image: "i", ImageGB: 1}
}

func (b *bench) started(id string) int {
	n := 0
	for t := range b.runs {
		if t.JobID == id {
			n++
		}
	}
	return n
}

func running(id protocol.TaskID, attempt uint64) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: id.String(), Attempt: attempt, State: protocol.TaskRunning}
}
