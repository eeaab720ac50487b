package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// What one leader recorded of the machines' images leads the next one's tasks to the machine that has theirs.
func TestNewLeaderRecoversImageHints(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m2", "a", false)
	j := jobSpec("j-1", protocol.Array, "normal", 1, 1)
	j.Image, j.ImageGB = "big", 50
	b.addJob(j)
	b.runCycle()
	id := protocol.TaskID{JobID: "j-1"}
	for range 15 {
		b.heartbeat("m2", "a", false, runningTask(id, 1))
		b.runCycle()
	}
	var warm []protocol.KeyValue
	for _, txn := range b.transactions {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				warm = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	if warm == nil {
		t.Fatal("no image hint was written")
	}
	next := newHarness([]config.Team{{Name: "red"}}, "a")
	next.scheduler = New(0, Options{
		Config: next.scheduler.cfg,
		Log:    next.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*b.scheduler.machines.MachineType("g8")},
			Images:       warm,
		},
	})
	for _, m := range []string{"m1", "m2", "m3"} {
		next.heartbeat(m, "a", false)
	}
	j.ID = "j-2"
	next.addJob(j)
	next.runCycle()
	if got := next.machineOf[protocol.TaskID{JobID: "j-2"}]; got != "m2" {
		t.Errorf("the task went to %q", got)
	}
}

// How long a job has waited counts from its submission, also for a new leader: here, which gang can still start in
// time.
func TestNewLeaderRecoversWaitingTimes(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives([]config.Objective{
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
	b.scheduler = New(0, Options{
		Config: b.scheduler.cfg,
		Log:    b.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*b.scheduler.machines.MachineType("g8")},
			LiveJobs:     live,
		},
		WallClockMS: wallMS,
	})
	b.heartbeat("m1", "a", false)
	b.runCycle()
	if b.startedTasks("j-1") != 0 || b.startedTasks("j-2") != 1 {
		t.Errorf("started %d of the late gang, %d of the other", b.startedTasks("j-1"), b.startedTasks("j-2"))
	}
}

// A leader that most machines can't reach steps down for another controller. A machine that reaches only others gets
// its commands with relayed replies, not directly.
func TestUnreachableLeaderStepsDown(t *testing.T) {
	for _, x := range []struct {
		relayed int
		away    bool
	}{{1, false}, {5, true}} {
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		b.addJob(jobSpec("j-1", protocol.Array, "normal", 40, 1))
		away, direct := false, 0
		for range 10 {
			for i := range 6 {
				name := fmt.Sprintf("m%d", i)
				b.heartbeat(name, "a", false)
				r := b.nextHeartbeat(name)
				received := HeartbeatReceived{ReplyTo: name, Heartbeat: r, Relayed: i < x.relayed}
				for _, e := range b.scheduler.Step(b.now, received) {
					if a, ok := e.(HeartbeatReply); ok {
						b.executeCommands(name, a.Body.FencingToken, a.Body.Commands)
					}
				}
			}
			b.now += CycleInterval
			for _, e := range b.scheduler.Step(b.now, Tick{}) {
				switch e := e.(type) {
				case StepDown:
					away = away || e.TransferLeadership
				case SendCommandBatch:
					if e.Machine == "m0" {
						direct++
					}
				case Write:
					b.revision++
					b.apply(TransactionOutcome{WriteID: e.ID, Succeeded: true, Revision: b.revision})
				}
			}
		}
		if away != x.away {
			t.Errorf("%d of 6 relayed: away %v", x.relayed, away)
		}
		if direct != 0 || b.startedTasks("j-1") == 0 {
			t.Errorf("%d direct commands out of reach, %d started", direct, b.startedTasks("j-1"))
		}
	}
}

// The forecast of arrivals survives a failover, and live jobs are not counted twice.
func TestNewLeaderRecoversArrivals(t *testing.T) {
	cfg := []config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}}
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.setObjectives(cfg)
	j := jobSpec("j-1", protocol.Service, "normal", 2, 4)
	j.Class = "quick"
	var live []protocol.KeyValue
	for i := range 40 {
		if i%8 == 0 {
			j.ID = fmt.Sprintf("j-%d", i)
			b.addJob(j)
			raw, err := protocol.Encode(storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()})
			if err != nil {
				t.Fatal(err)
			}
			live = append(live, protocol.KeyValue{Key: storage.LiveJobKey(j.ID), Value: raw, Revision: b.revision})
		}
		b.heartbeat("m1", "a", false)
		b.runCycle()
	}
	var warm []protocol.KeyValue
	for _, txn := range b.transactions {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				warm = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	boot := 30 * time.Second
	want := b.scheduler.forecast.ExpectedArrivals(b.now, "quick", boot)
	next := New(0, Options{
		Config: b.scheduler.cfg,
		Log:    b.scheduler.log,
		Term:   Term{Number: 6, Revision: 2},
		Records: RecoveredRecords{
			MachineTypes: []protocol.MachineType{*b.scheduler.machines.MachineType("g8")},
			LiveJobs:     live,
			Images:       warm,
		},
		WallClockMS: b.now.Milliseconds(),
	})
	got := next.forecast.ExpectedArrivals(0, "quick", boot)
	if want == 0 || got < want/3 || got > want*1.2 {
		t.Errorf("expects %v jobs after the take-over, %v before", got, want)
	}
}

// A new leader probes the running machines that it has not heard of, once each, and places work where one answers,
// before its worker has found out who leads. Duplicated replies do no harm.
func TestNewLeaderProbesMachines(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
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
	b.heartbeat("m0", "a", false)
	asked := map[string]int{}
	for range 3 {
		for _, e := range b.scheduler.Step(b.now, MachinesListed{RequestedAt: b.now, Machines: list}) {
			if i, ok := e.(Probe); ok {
				asked[i.Machine]++
			}
		}
		b.now += CycleInterval
	}
	if len(asked) != 1 || asked["m1"] != 1 {
		t.Errorf("asked %v, want only the machine that runs and has not been heard", asked)
	}
	b.zoneOf["m1"], b.tasks["m1"] = "a", map[protocol.TaskID]protocol.TaskStatus{}
	r := b.nextHeartbeat("m1")
	b.apply(ProbeReply{Heartbeat: r})
	b.heartbeat("m0", "a", false)
	b.addJob(jobSpec("j-1", protocol.Array, "normal", 16, 1))
	b.runCycle()
	b.apply(ProbeReply{Heartbeat: r})
	if n := b.startedTasks("j-1"); n != 16 {
		t.Errorf("%d of 16 tasks started on two machines", n)
	}
}

// A leader with a small share of a core probes a few machines a second, and none that has reported meanwhile.
func TestSmallLeaderLimitsProbes(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.scheduler.cfg.Quota.CoreShare = 0.02
	const machines = 100
	perSecond := int(probesPerCore * b.scheduler.cfg.Quota.CoreShare)
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
	asked := map[string]int{}
	count := func(effects []Effect) (n int) {
		for _, e := range effects {
			if i, ok := e.(Probe); ok {
				asked[i.Machine]++
				n++
			}
		}
		return n
	}
	if n := count(b.scheduler.Step(b.now, MachinesListed{RequestedAt: b.now, Machines: list})); n != perSecond {
		t.Errorf("%d inspections at once, want %d", n, perSecond)
	}
	for i := machines / 2; i < machines; i++ {
		b.heartbeat(list[i].Name, "a", false)
	}
	for range machines / perSecond {
		b.now += CycleInterval
		if n := count(b.scheduler.Step(b.now, Tick{})); n > perSecond {
			t.Errorf("%d inspections in a second, want %d at most", n, perSecond)
		}
	}
	for i := range machines {
		if want := 1 - i/(machines/2); asked[list[i].Name] != want {
			t.Errorf("%s was asked %d times, want %d", list[i].Name, asked[list[i].Name], want)
		}
	}
}
