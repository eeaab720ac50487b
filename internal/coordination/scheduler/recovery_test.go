package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestNewLeaderRecoversImageHints: what one leader wrote down of the machines'
// images leads the next one's tasks to the machine that has theirs.
func TestNewLeaderRecoversImageHints(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m2", "a", false)
	j := spec("j-1", protocol.Array, "normal", 1, 1)
	j.Image, j.ImageGB = "big", 50
	b.job(j)
	b.cycle()
	id := protocol.TaskID{JobID: "j-1"}
	for range 15 {
		b.machine("m2", "a", false, running(id, 1))
		b.cycle()
	}
	var warm []protocol.KeyValue
	for _, txn := range b.last {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				warm = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	if warm == nil {
		t.Fatal("nothing was written down")
	}
	next := newBench([]config.Team{{Name: "red"}}, "a")
	next.c = New(0, next.c.cfg, next.c.log, Term{Number: 6, Stamp: 2}, Records{Types: []protocol.MachineType{*b.c.machines.MachineType("g8")}, Images: warm}, 0, nil)
	for _, m := range []string{"m1", "m2", "m3"} {
		next.machine(m, "a", false)
	}
	j.ID = "j-2"
	next.job(j)
	next.cycle()
	if got := next.on[protocol.TaskID{JobID: "j-2"}]; got != "m2" {
		t.Errorf("the task went to %q", got)
	}
}

// TestNewLeaderRecoversWaitingTimes: how long a job has waited counts from its submission,
// also for a leader that has just come: here, which gang can still start in time.
func TestNewLeaderRecoversWaitingTimes(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.setObjectives([]config.Objective{
		{Kind: "wait", Class: "big", WithinSeconds: 20, Fraction: 0.9}, {Kind: "finished", Class: "big", WithinSeconds: 30, Fraction: 0.9},
	})
	const wallMS = 100_000
	var live []protocol.KeyValue
	for id, waitedMS := range map[string]int64{"j-1": 25_000, "j-2": 5_000} {
		gang := spec(id, protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateSeconds = "big", 20
		value, err := protocol.Encode(storage.LiveJobRecord{Job: gang, AcceptedAtMS: wallMS - waitedMS})
		if err != nil {
			t.Fatal(err)
		}
		live = append(live, protocol.KeyValue{Key: storage.LiveJobKey(id), Value: value, Revision: 3})
	}
	b.c = New(0, b.c.cfg, b.c.log, Term{Number: 6, Stamp: 2}, Records{Types: []protocol.MachineType{*b.c.machines.MachineType("g8")}, Live: live}, wallMS, nil)
	b.machine("m1", "a", false)
	b.cycle()
	if b.started("j-1") != 0 || b.started("j-2") != 1 {
		t.Errorf("started %d of the late gang, %d of the other", b.started("j-1"), b.started("j-2"))
	}
}

// TestUnreachableLeaderStepsDown: a leader that most machines cannot reach lets
// another lead; and a machine that only others reach gets its commands with
// the answers that are passed on, not directly.
func TestUnreachableLeaderStepsDown(t *testing.T) {
	for _, x := range []struct {
		relayed int
		away    bool
	}{{1, false}, {5, true}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.job(spec("j-1", protocol.Array, "normal", 40, 1))
		away, direct := false, 0
		for range 10 {
			for i := range 6 {
				name := fmt.Sprintf("m%d", i)
				b.machine(name, "a", false)
				r := b.report(name)
				for _, e := range b.c.Step(b.now, Reported{Tag: name, Report: r, Relayed: i < x.relayed}) {
					if a, ok := e.(Answer); ok {
						b.take(name, a.Body.FencingToken, a.Body.Commands)
					}
				}
			}
			b.now += Cycle
			for _, e := range b.c.Step(b.now, Tick{}) {
				switch e := e.(type) {
				case Depose:
					away = away || e.Away
				case Order:
					if e.Machine == "m0" {
						direct++
					}
				case Write:
					b.rev++
					b.do(Written{Write: e.ID, OK: true, Rev: b.rev})
				}
			}
		}
		if away != x.away {
			t.Errorf("%d of 6 relayed: away %v", x.relayed, away)
		}
		if direct != 0 || b.started("j-1") == 0 {
			t.Errorf("%d direct commands out of reach, %d started", direct, b.started("j-1"))
		}
	}
}

// TestNewLeaderRecoversArrivals: spare room does not vanish with a take-over,
// and jobs that live are not counted twice.
func TestNewLeaderRecoversArrivals(t *testing.T) {
	cfg := []config.Objective{{Kind: "wait", Class: "quick", WithinSeconds: 12, Fraction: 0.9}}
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.setObjectives(cfg)
	j := spec("j-1", protocol.Service, "normal", 2, 4)
	j.Class = "quick"
	var live []protocol.KeyValue
	for i := range 40 {
		if i%8 == 0 {
			j.ID = fmt.Sprintf("j-%d", i)
			b.job(j)
			raw, err := protocol.Encode(storage.LiveJobRecord{Job: j, AcceptedAtMS: b.now.Milliseconds()})
			if err != nil {
				t.Fatal(err)
			}
			live = append(live, protocol.KeyValue{Key: storage.LiveJobKey(j.ID), Value: raw, Revision: b.rev})
		}
		b.machine("m1", "a", false)
		b.cycle()
	}
	var warm []protocol.KeyValue
	for _, txn := range b.last {
		for _, op := range txn.Then {
			if op.PutKey == storage.ImageHintKey(0) {
				warm = []protocol.KeyValue{{Key: op.PutKey, Value: op.Value, Revision: 1}}
			}
		}
	}
	boot := 30 * time.Second
	want := b.c.expected(b.now, "quick", boot)
	next := New(0, b.c.cfg, b.c.log, Term{Number: 6, Stamp: 2}, Records{Types: []protocol.MachineType{*b.c.machines.MachineType("g8")}, Live: live, Images: warm}, b.now.Milliseconds(), nil)
	got := next.expected(0, "quick", boot)
	if want == 0 || got < want/3 || got > want*1.2 {
		t.Errorf("expects %v jobs after the take-over, %v before", got, want)
	}
}

// TestNewLeaderProbesMachines: a new leader asks the machines that are there how they
// stand, once, and places work where one answers, before its worker has found out
// who leads. Copies of what they say do no harm.
func TestNewLeaderProbesMachines(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	var list []protocol.ListedMachine
	for i, state := range []string{protocol.MachineRunning, protocol.MachineRunning, protocol.MachineStarting, protocol.MachineFailed} {
		list = append(list, protocol.ListedMachine{Name: fmt.Sprintf("m%d", i), Addr: "x", Type: "g8", Zone: "a", State: state})
	}
	b.machine("m0", "a", false)
	asked := map[string]int{}
	for range 3 {
		for _, e := range b.c.Step(b.now, Listed{Asked: b.now, Machines: list}) {
			if i, ok := e.(Inspect); ok {
				asked[i.Machine]++
			}
		}
		b.now += Cycle
	}
	if len(asked) != 1 || asked["m1"] != 1 {
		t.Errorf("asked %v, want only the machine that runs and has not been heard", asked)
	}
	b.zone["m1"], b.tasks["m1"] = "a", map[protocol.TaskID]protocol.TaskStatus{}
	r := b.report("m1")
	b.do(Inspected{Report: r})
	b.machine("m0", "a", false)
	b.job(spec("j-1", protocol.Array, "normal", 16, 1))
	b.cycle()
	b.do(Inspected{Report: r})
	if n := b.started("j-1"); n != 16 {
		t.Errorf("%d of 16 tasks started on two machines", n)
	}
}

// TestSmallLeaderLimitsProbes: a leader with a small share of a core asks a few
// machines a second, and none that has reported meanwhile.
func TestSmallLeaderLimitsProbes(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Quota.CoreShare = 0.02
	const machines = 100
	perSecond := int(inspectsPerCore * b.c.cfg.Quota.CoreShare)
	var list []protocol.ListedMachine
	for i := range machines {
		list = append(list, protocol.ListedMachine{Name: fmt.Sprintf("m%03d", i), Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineRunning})
	}
	asked := map[string]int{}
	count := func(effects []Effect) (n int) {
		for _, e := range effects {
			if i, ok := e.(Inspect); ok {
				asked[i.Machine]++
				n++
			}
		}
		return n
	}
	if n := count(b.c.Step(b.now, Listed{Asked: b.now, Machines: list})); n != perSecond {
		t.Errorf("%d inspections at once, want %d", n, perSecond)
	}
	for i := machines / 2; i < machines; i++ {
		b.machine(list[i].Name, "a", false)
	}
	for range machines / perSecond {
		b.now += Cycle
		if n := count(b.c.Step(b.now, Tick{})); n > perSecond {
			t.Errorf("%d inspections in a second, want %d at most", n, perSecond)
		}
	}
	for i := range machines {
		if want := 1 - i/(machines/2); asked[list[i].Name] != want {
			t.Errorf("%s was asked %d times, want %d", list[i].Name, asked[list[i].Name], want)
		}
	}
}
