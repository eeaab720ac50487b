package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestNewLeaderRecoversImageHints checks that a new leader uses the recorded image hints to place a task on the machine
// that already has its image.
func TestNewLeaderRecoversImageHints(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m2", "a", false)
	j := jobSpec("j-1", protocol.Array, "normal", 1, 1)
	j.Image, j.ImageGB = "big", 50
	h.addJob(j)
	h.runCycle()
	id := protocol.TaskID{JobID: "j-1"}
	for range 15 {
		h.heartbeat("m2", "a", false, runningTask(id, 1))
		h.runCycle()
	}
	var hints []protocol.KeyValue
	for _, txn := range h.transactions {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				hints = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	if hints == nil {
		t.Fatal("no image hint was written")
	}
	next := newHarness([]config.Team{{Name: "red"}}, "a")
	next.scheduler = New(0, Options{
		Config: next.scheduler.cfg,
		Log:    next.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*h.scheduler.machines.MachineType("g8")},
			ImageHints:   hints,
		},
	})
	for _, m := range []string{"m1", "m2", "m3"} {
		next.heartbeat(m, "a", false)
	}
	j.ID = "j-2"
	next.addJob(j)
	next.runCycle()
	if got := next.machineOf[protocol.TaskID{JobID: "j-2"}]; got != "m2" {
		t.Errorf("the task was placed on %q, want m2", got)
	}
}

// TestNewLeaderRecoversWaitingTimes checks that waiting times count from the submission of a job even under a new
// leader. Here they determine which gang can still start in time.
func TestNewLeaderRecoversWaitingTimes(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives([]config.Objective{
		{
			Kind:          "wait",
			Class:         "big",
			WithinSeconds: 20,
			Fraction:      0.9,
		},
		{Kind: "finished", Class: "big", WithinSeconds: 30, Fraction: 0.9},
	})
	const wallMS = 100_000
	var live []protocol.KeyValue
	for id, waitedMS := range map[string]int64{"j-1": 25_000, "j-2": 5_000} {
		gang := jobSpec(id, protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateSeconds = "big", 20
		value, err := protocol.Encode(storage.LiveJobRecord{Job: gang, AcceptedAtMS: wallMS - waitedMS})
		if err != nil {
			t.Fatal(err)
		}
		live = append(live, protocol.KeyValue{Key: storage.LiveJobKey(id), Value: value, Revision: 3})
	}
	h.scheduler = New(0, Options{
		Config: h.scheduler.cfg,
		Log:    h.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*h.scheduler.machines.MachineType("g8")},
			LiveJobs:     live,
		},
		WallClockMS: wallMS,
	})
	h.heartbeat("m1", "a", false)
	h.runCycle()
	if h.startedTasks("j-1") != 0 || h.startedTasks("j-2") != 1 {
		t.Errorf(
			"the late gang started %d tasks, the other %d, want 0 and 1",
			h.startedTasks("j-1"),
			h.startedTasks("j-2"),
		)
	}
}

// TestUnreachableLeaderStepsDown checks that a leader that most machines cannot reach steps down in favor of another
// controller. A machine that reaches only other controllers gets its commands in relayed replies, not directly.
func TestUnreachableLeaderStepsDown(t *testing.T) {
	for _, tc := range []struct {
		relayed     int
		transferred bool
	}{{1, false}, {5, true}} {
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		h.addJob(jobSpec("j-1", protocol.Array, "normal", 40, 1))
		transferred, direct := false, 0
		for range 10 {
			for i := range 6 {
				name := fmt.Sprintf("m%d", i)
				h.heartbeat(name, "a", false)
				next := h.nextHeartbeat(name)
				received := HeartbeatReceived{ReplyTo: name, Heartbeat: next, Relayed: i < tc.relayed}
				for _, e := range h.scheduler.Step(h.now, received) {
					if reply, ok := e.(HeartbeatReply); ok {
						h.executeCommands(name, reply.Body.FencingToken, reply.Body.Commands)
					}
				}
			}
			h.now += CycleInterval
			for _, e := range h.scheduler.Step(h.now, Tick{}) {
				switch e := e.(type) {
				case StepDown:
					transferred = transferred || e.TransferLeadership
				case SendCommandBatch:
					if e.Machine == "m0" {
						direct++
					}
				case Write:
					h.revision++
					h.apply(TransactionOutcome{WriteID: e.ID, Succeeded: true, Revision: h.revision})
				}
			}
		}
		if transferred != tc.transferred {
			t.Errorf("%d of 6 relayed: leadership transferred %v, want the opposite", tc.relayed, transferred)
		}
		if direct != 0 || h.startedTasks("j-1") == 0 {
			t.Errorf(
				"%d commands sent directly to an unreachable machine, want none; %d tasks started, want some",
				direct,
				h.startedTasks("j-1"),
			)
		}
	}
}

// TestNewLeaderRecoversArrivals checks that the forecast of arrivals survives a failover and that live jobs are not
// counted twice.
func TestNewLeaderRecoversArrivals(t *testing.T) {
	objectives := []config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}}
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.setObjectives(objectives)
	j := jobSpec("j-1", protocol.Service, "normal", 2, 4)
	j.Class = "quick"
	var live []protocol.KeyValue
	for i := range 40 {
		if i%8 == 0 {
			j.ID = fmt.Sprintf("j-%d", i)
			h.addJob(j)
			raw, err := protocol.Encode(storage.LiveJobRecord{Job: j, AcceptedAtMS: h.now.Milliseconds()})
			if err != nil {
				t.Fatal(err)
			}
			live = append(live, protocol.KeyValue{Key: storage.LiveJobKey(j.ID), Value: raw, Revision: h.revision})
		}
		h.heartbeat("m1", "a", false)
		h.runCycle()
	}
	var hints []protocol.KeyValue
	for _, txn := range h.transactions {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				hints = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	boot := 30 * time.Second
	want := h.scheduler.forecast.ExpectedArrivals(h.now, "quick", boot)
	next := New(0, Options{
		Config: h.scheduler.cfg,
		Log:    h.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*h.scheduler.machines.MachineType("g8")},
			LiveJobs:     live,
			ImageHints:   hints,
		},
		WallClockMS: h.now.Milliseconds(),
	})
	got := next.forecast.ExpectedArrivals(0, "quick", boot)
	if want == 0 || got < want/3 || got > want*1.2 {
		t.Errorf("%v jobs expected after the failover, want a third to 120%% of the %v before", got, want)
	}
}

// TestNewLeaderProbesMachines checks that a new leader probes each running machine from which it has received no
// heartbeat once, and that it places tasks on a machine that answers even before the worker has found out who leads.
// Duplicate replies must be harmless.
func TestNewLeaderProbesMachines(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	var list []protocol.ListedMachine
	states := []protocol.MachineState{
		protocol.MachineRunning, protocol.MachineRunning, protocol.MachineStarting, protocol.MachineFailed,
	}
	for i, state := range states {
		list = append(
			list,
			protocol.ListedMachine{Name: fmt.Sprintf("m%d", i), Addr: "x", Type: "g8", Zone: "a", State: state},
		)
	}
	h.heartbeat("m0", "a", false)
	probed := map[string]int{}
	for range 3 {
		for _, e := range h.scheduler.Step(h.now, MachinesListed{RequestedAt: h.now, Machines: list}) {
			if i, ok := e.(Probe); ok {
				probed[i.Machine]++
			}
		}
		h.now += CycleInterval
	}
	if len(probed) != 1 || probed["m1"] != 1 {
		t.Errorf("probed %v, want only the running machine without a heartbeat", probed)
	}
	h.zoneOf["m1"], h.tasks["m1"] = "a", map[protocol.TaskID]protocol.TaskStatus{}
	r := h.nextHeartbeat("m1")
	h.apply(ProbeReply{Machine: "m1", Heartbeat: r})
	h.heartbeat("m0", "a", false)
	h.addJob(jobSpec("j-1", protocol.Array, "normal", 16, 1))
	h.runCycle()
	h.apply(ProbeReply{Machine: "m1", Heartbeat: r})
	if n := h.startedTasks("j-1"); n != 16 {
		t.Errorf("%d of 16 tasks started on two machines, want all", n)
	}
}

// TestSmallLeaderLimitsProbes checks that a leader with a small share of a core probes only a few machines per second,
// and none that has sent a heartbeat in the meantime.
func TestSmallLeaderLimitsProbes(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.scheduler.cfg.Quota.CoreShare = 0.02
	const machines = 100
	h.scheduler.workerRequests.limit = 2 * machines // does not apply: the probes are not answered
	perSecond := int(probesPerSecondPerCore * h.scheduler.cfg.Quota.CoreShare)
	var list []protocol.ListedMachine
	for i := range machines {
		list = append(
			list,
			protocol.ListedMachine{
				Name:  fmt.Sprintf("m%03d", i),
				Addr:  "x",
				Type:  "g8",
				Zone:  "a",
				State: protocol.MachineRunning,
			},
		)
	}
	probed := map[string]int{}
	count := func(effects []Effect) (n int) {
		for _, e := range effects {
			if i, ok := e.(Probe); ok {
				probed[i.Machine]++
				n++
			}
		}
		return n
	}
	if n := count(h.scheduler.Step(h.now, MachinesListed{RequestedAt: h.now, Machines: list})); n != perSecond {
		t.Errorf("%d probes at once, want %d", n, perSecond)
	}
	for i := machines / 2; i < machines; i++ {
		h.heartbeat(list[i].Name, "a", false)
	}
	for range machines / perSecond {
		h.now += CycleInterval
		if n := count(h.scheduler.Step(h.now, Tick{})); n > perSecond {
			t.Errorf("%d probes in a second, want %d at most", n, perSecond)
		}
	}
	for i := range machines {
		if want := 1 - i/(machines/2); probed[list[i].Name] != want {
			t.Errorf("%s was probed %d times, want %d", list[i].Name, probed[list[i].Name], want)
		}
	}
}
