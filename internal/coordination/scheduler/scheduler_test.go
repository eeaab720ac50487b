package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
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
	tasks map[string]map[protocol.TaskID]protocol.TaskReport // by machine
	token map[string]uint64
	zone  map[string]string
	spot  map[string]bool
}

func newBench(teams []config.Team, zones ...string) *bench {
	cfg := &config.Deployment{
		Nodes: 3, Teams: teams, Workers: config.Workers{ReportS: 1, LeaseS: 10, GangWaitS: 40, GangPeerS: 4, CancelS: 40},
		State: config.State{RPS: 100, WriteRPS: 30, ValueKB: 8, TxnOps: 16}, Cloud: config.Cloud{RPS: 2, ListLagS: 5}, Quota: config.Quota{CoreShare: 0.1},
	}
	types := []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: zones}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &bench{c: New(0, cfg, log, 5, 1, types, nil, nil, nil, 0), rev: 10, seq: map[string]uint64{},
		runs: map[protocol.TaskID]protocol.Command{}, on: map[protocol.TaskID]string{}, stops: map[protocol.TaskID]float64{},
		tasks: map[string]map[protocol.TaskID]protocol.TaskReport{}, token: map[string]uint64{}, zone: map[string]string{}, spot: map[string]bool{}}
}

func (b *bench) do(e Event) {
	for _, out := range b.c.Step(b.now, e) {
		switch o := out.(type) {
		case Write:
			b.rev++
			b.last = append(b.last, o.Txn)
			b.do(Written{Write: o.ID, OK: true, Rev: b.rev})
		case Order:
			b.take(o.Machine, o.Orders.Token, o.Orders.Commands)
			b.do(OrdersDone{Machine: o.Machine, OK: true, Report: b.report(o.Machine)})
		case Answer:
			b.take(o.Tag.(string), o.Body.Token, o.Body.Commands)
		}
	}
}

func (b *bench) take(machine string, token uint64, cmds []protocol.Command) {
	b.token[machine] = max(b.token[machine], token)
	for _, c := range cmds {
		id, err := protocol.ParseTaskID(c.Name)
		if err != nil {
			panic(err) // the core made it
		}
		switch c.Verb {
		case protocol.Run:
			b.runs[id], b.on[id] = c, machine
			b.tasks[machine][id] = protocol.TaskReport{Name: c.Name, Attempt: c.Attempt, State: protocol.Fetching}
		case protocol.Stop:
			b.stops[id] = *c.GraceS
		case protocol.Forget:
			delete(b.tasks[machine], id)
		}
	}
}

func (b *bench) report(name string) *protocol.Report {
	b.seq[name]++
	r := &protocol.Report{Machine: name, Addr: "x", Type: "g8", Zone: b.zone[name], Spot: b.spot[name], Session: 1,
		Seq: b.seq[name], Token: b.token[name]}
	for _, t := range b.tasks[name] {
		r.Tasks = append(r.Tasks, t)
	}
	return r
}

// machine reports for a machine, whose tasks are now as given.
func (b *bench) machine(name, zone string, spot bool, tasks ...protocol.TaskReport) {
	if b.tasks[name] == nil {
		b.tasks[name] = map[protocol.TaskID]protocol.TaskReport{}
	}
	b.zone[name], b.spot[name] = zone, spot
	for _, t := range tasks {
		id, err := protocol.ParseTaskID(t.Name)
		if err != nil {
			panic(err) // the test made it
		}
		b.tasks[name][id] = t
	}
	b.do(Reported{Tag: name, Report: b.report(name)})
}

func (b *bench) job(j protocol.Job) {
	b.rev++
	b.do(JobSet{Record: storage.LiveRecord{Job: j, AtMS: b.now.Milliseconds()}, Stamp: b.rev})
}

func (b *bench) cycle() {
	b.now += Cycle
	b.do(Tick{})
}

func spec(id string, shape protocol.Shape, prio protocol.Priority, tasks int, gpus float64) protocol.Job {
	return protocol.Job{ID: id, Class: "c", Team: "red", Shape: shape, Priority: prio, Tasks: tasks, CPUs: 1, GPUs: gpus, MemoryGB: 1, Image: "i", ImageGB: 1}
}

func (b *bench) started(id string) int {
	n := 0
	for t := range b.runs {
		if t.Job == id {
			n++
		}
	}
	return n
}

func running(id protocol.TaskID, attempt uint64) protocol.TaskReport {
	return protocol.TaskReport{Name: id.String(), Attempt: attempt, State: protocol.TaskRunning}
}

// TestAllocationInvariants throws jobs at machines: gangs start whole or not
// at all, nothing is overcommitted, and limits, zones and kinds are kept.
func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(0, 30).Draw(t, "limit"))
		b := newBench([]config.Team{{Name: "red", GPUsMax: limit}, {Name: "blue"}}, "a", "b")
		zone, spot := map[string]string{}, map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "machines") {
			name := fmt.Sprintf("m%d", i)
			zone[name] = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			spot[name] = rapid.IntRange(0, 3).Draw(t, "spot") == 0
			b.machine(name, zone[name], spot[name])
		}
		jobs := map[string]protocol.Job{}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := spec(fmt.Sprintf("j-%d", i), rapid.SampledFrom([]protocol.Shape{protocol.Array, protocol.Gang, protocol.Service}).Draw(t, "shape"),
				rapid.SampledFrom([]protocol.Priority{"critical", "normal", "best_effort"}).Draw(t, "prio"),
				rapid.IntRange(1, 9).Draw(t, "tasks"), float64(rapid.IntRange(1, 8).Draw(t, "gpus")))
			j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
			j.SameZone = rapid.Bool().Draw(t, "same")
			j.Spread = !j.SameZone && rapid.Bool().Draw(t, "spread")
			j.Spot = rapid.Bool().Draw(t, "spot")
			if rapid.Bool().Draw(t, "fixed") {
				j.Zone = "a"
			}
			jobs[j.ID] = j
			b.job(j)
			if rapid.Bool().Draw(t, "cycle") {
				b.cycle()
			}
		}
		for range 6 {
			b.cycle()
		}
		used, red := map[string]float64{}, 0.0
		zones := map[string]map[string]int{}
		for id, m := range b.on {
			j := jobs[id.Job]
			used[m] += j.GPUs
			if j.Team == "red" {
				red += j.GPUs
			}
			if zones[id.Job] == nil {
				zones[id.Job] = map[string]int{}
			}
			zones[id.Job][zone[m]]++
			if spot[m] && !j.Spot || j.Zone != "" && j.Zone != zone[m] {
				t.Fatalf("%v on %s: zone %s spot %v", id, m, zone[m], spot[m])
			}
		}
		for m, u := range used {
			if u > 8 {
				t.Fatalf("%s holds %v of 8 GPUs", m, u)
			}
		}
		if limit > 0 && red > limit {
			t.Fatalf("team uses %v of %v", red, limit)
		}
		for id, j := range jobs {
			n := b.started(id)
			if j.Shape == protocol.Gang && n != 0 && n != j.Tasks {
				t.Fatalf("gang %s: %d of %d started", id, n, j.Tasks)
			}
			if j.SameZone && len(zones[id]) > 1 {
				t.Fatalf("%s is in zones %v", id, zones[id])
			}
			for z, n := range zones[id] {
				if j.Spread && n > (j.Tasks+1)/2 {
					t.Fatalf("%s has %d of %d in %s", id, n, j.Tasks, z)
				}
			}
		}
	})
}

// TestHeldRoomAndBackfill: a short gang's room stays closed to smaller jobs
// for three cycles, and then they may backfill it.
func TestHeldRoomAndBackfill(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m1", "a", false)
	b.job(spec("j-1", protocol.Gang, "urgent", 2, 8)) // needs two machines
	small := spec("j-2", protocol.Array, "urgent", 1, 1)
	small.Class = "d"
	for cycle := 1; cycle <= shortCycles+1; cycle++ {
		if cycle == 1 {
			b.now++
			b.job(small)
		}
		b.machine("m1", "a", false)
		b.cycle()
		if got, want := b.started("j-2"), cycle > shortCycles; (got == 1) != want {
			t.Fatalf("cycle %d: backfilled %v", cycle, got)
		}
	}
	if b.started("j-1") != 0 {
		t.Error("part of the gang was started")
	}
}

// TestFleetIsPlannedInACrowd: however often something relevant arrives, the fleet
// is planned once a second. With hundreds of machines every eager cycle had a
// reason, and dead machines were not fenced for minutes.
func TestFleetIsPlannedInACrowd(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	lists, until := 0, 30*time.Second
	for i := 0; b.now < until; i++ {
		b.now += Eager
		b.job(spec(fmt.Sprintf("j-%d", i), protocol.Array, "normal", 1, 1))
		for _, e := range b.c.Step(b.now, Tick{}) {
			if f, ok := e.(Fleet); ok && f.Effect == (fleet.List{}) {
				lists++
				b.do(Listed{Asked: b.now})
			}
		}
	}
	every := config.Seconds(b.c.cfg.Cloud.ListLagS/2) + Cycle // a list is asked for when the fleet is planned next
	if want := int(until / every); lists < want {
		t.Errorf("the machines were listed %d times, want %d", lists, want)
	}
}

// TestGangRestartsWhole: when one of its tasks is gone, the others are stopped
// and the gang starts again with one new attempt number, but only once all of
// the old attempt is proven gone.
func TestGangRestartsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "tasks")
		b := newBench([]config.Team{{Name: "red"}}, "a")
		for i := range n + 1 {
			b.machine(fmt.Sprintf("m%d", i), "a", false)
		}
		b.job(spec("j-1", protocol.Gang, "urgent", n, 8))
		b.cycle()
		first := map[protocol.TaskID]string{}
		for id, m := range b.on {
			first[id] = m
			b.machine(m, "a", false, running(id, 1))
		}
		if len(first) != n {
			t.Fatalf("%d of %d started", len(first), n)
		}
		lost := protocol.TaskID{Job: "j-1", Task: rapid.IntRange(0, n-1).Draw(t, "lost")}
		clear(b.runs)
		cause := rapid.SampledFrom([]protocol.Cause{protocol.CauseError, protocol.CausePeers, protocol.CauseIncomplete}).Draw(t, "cause")
		b.machine(first[lost], "a", false, protocol.TaskReport{Name: lost.String(), Attempt: 1, State: protocol.Exited, Cause: cause})
		b.cycle()
		if len(b.stops) != n-1 || len(b.runs) != 0 {
			t.Fatalf("stopped %v, started %v", b.stops, b.runs)
		}
		for id, m := range first {
			if id != lost {
				if len(b.runs) != 0 {
					t.Fatalf("restarted while %v is not gone", id)
				}
				b.machine(m, "a", false, protocol.TaskReport{Name: id.String(), Attempt: 1, State: protocol.Exited, Cause: protocol.CauseStopped})
			}
		}
		// The entries are forgotten once the workers have seen a new epoch.
		for range 40 {
			for i := range n + 1 {
				b.machine(fmt.Sprintf("m%d", i), "a", false)
			}
			b.cycle()
		}
		if len(b.runs) != n {
			t.Fatalf("%d of %d restarted", len(b.runs), n)
		}
		for id, c := range b.runs {
			if c.Attempt != 2 {
				t.Fatalf("%v restarted as attempt %d", id, c.Attempt)
			}
		}
	})
}

// TestPreemption: work of lower priority gives way, and saves if it can; work
// of the same priority never does.
func TestPreemption(t *testing.T) {
	for _, x := range []struct {
		prio       protocol.Priority
		checkpoint float64
		aim        float64 // on waiting
		grace      float64
		stops      int
	}{{"critical", 10, 60, 6, 1}, {"critical", 4, 60, 0, 1}, {"critical", 10, 4, 0, 1}, {"normal", 10, 60, 0, 0}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: x.aim, Share: 0.9}}
		b.machine("m1", "a", false)
		low := spec("j-1", protocol.Array, "normal", 1, 8)
		low.CheckpointS, low.SaveS = x.checkpoint, 2
		b.job(low)
		b.cycle()
		id := protocol.TaskID{Job: "j-1"}
		high := spec("j-2", protocol.Service, x.prio, 1, 4)
		high.Class = "quick"
		b.job(high)
		for range 4 {
			b.machine("m1", "a", false, running(id, 1))
			b.cycle()
		}
		if len(b.stops) != x.stops || b.stops[id] != x.grace {
			t.Errorf("%s: stopped %v", x.prio, b.stops)
		}
	}
}

// TestPreemptionAcrossTeams: lower work of another team makes room as well, but for what
// that team runs within its guarantee; and equal work does so for a guarantee alone.
func TestPreemptionAcrossTeams(t *testing.T) {
	for _, x := range []struct {
		name       string
		red, guest config.Team
		prio       protocol.Priority
		stops      int
	}{
		{"lower work of a guest", config.Team{}, config.Team{}, "urgent", 1},
		{"equal work of a guest", config.Team{}, config.Team{}, "best_effort", 0},
		{"equal work of a guest, for a guarantee", config.Team{GPUs: 8}, config.Team{}, "best_effort", 1},
		{"lower work within its guarantee", config.Team{}, config.Team{GPUs: 8}, "urgent", 0},
		{"lower work beyond its guarantee", config.Team{}, config.Team{GPUs: 4}, "urgent", 1},
	} {
		x.red.Name, x.guest.Name = "red", "guest"
		b := newBench([]config.Team{x.red, x.guest}, "a")
		b.machine("m1", "a", false)
		low := spec("j-1", protocol.Array, "best_effort", 1, 8)
		low.Team = "guest"
		b.job(low)
		b.cycle()
		id := protocol.TaskID{Job: "j-1"}
		b.job(spec("j-2", protocol.Gang, x.prio, 1, 8))
		for range 4 {
			b.machine("m1", "a", false, running(id, 1))
			b.cycle()
		}
		if len(b.stops) != x.stops {
			t.Errorf("%s: stopped %v", x.name, b.stops)
		}
	}
}

// TestClearedRoomIsTaken: room that was cleared for a task for want of any is
// taken when it is free, although its fetch now lasts longer than what is left
// of the aim on waiting. Waiting on for room with the image, which nobody was
// clearing, had used up the whole aim.
func TestClearedRoomIsTaken(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: 12, Share: 0.9}}
	b.machine("m1", "a", false)
	low := spec("j-1", protocol.Gang, "urgent", 1, 8)
	low.CheckpointS, low.SaveS = 30, 3
	b.job(low)
	b.cycle()
	id := protocol.TaskID{Job: "j-1"}
	b.machine("m1", "a", false, running(id, 1))
	quick := spec("j-2", protocol.Service, "critical", 1, 8)
	quick.Class, quick.Image, quick.ImageGB = "quick", "big", 9
	b.job(quick)
	for range 3 {
		b.cycle()
		b.machine("m1", "a", false, running(id, 1))
	}
	if _, stopped := b.stops[id]; !stopped {
		t.Fatal("no room was cleared")
	}
	b.cycle()
	b.machine("m1", "a", false, protocol.TaskReport{Name: id.String(), Attempt: 1, State: protocol.Exited, Cause: protocol.CauseStopped, Saved: true})
	b.cycle()
	if b.started("j-2") != 1 {
		t.Error("the cleared room was not taken")
	}
}

// TestLateGangsMakeRoom: when more is asked than can be done, a gang that can
// still start in time goes before an older one of its class that is late
// whatever is done; and that one comes first again in the end.
func TestLateGangsMakeRoom(t *testing.T) {
	for _, x := range []struct {
		waited int // seconds, by the older gang
		want   string
	}{{5, "j-2"}, {25, "j-3"}, {70, "j-2"}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.cfg.Objectives = []config.Objective{
			{Kind: "wait", Class: "big", WithinS: 20, Share: 0.9}, {Kind: "finished", Class: "big", WithinS: 30, Share: 0.9},
		}
		gang := spec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateS = "big", 20
		b.machine("m1", "a", false)
		b.job(gang)
		b.cycle()
		id := protocol.TaskID{Job: "j-1"}
		b.machine("m1", "a", false, running(id, 1))
		gang.ID = "j-2"
		b.job(gang)
		for range x.waited {
			b.machine("m1", "a", false, running(id, 1))
			b.cycle()
		}
		gang.ID = "j-3"
		b.job(gang)
		b.machine("m1", "a", false, protocol.TaskReport{Name: id.String(), Attempt: 1, State: protocol.Exited, Cause: protocol.CauseDone})
		b.cycle()
		if b.started(x.want) != 1 || b.started("j-2")+b.started("j-3") != 1 {
			t.Errorf("after %d s j-2 started %d, j-3 %d, want %s", x.waited, b.started("j-2"), b.started("j-3"), x.want)
		}
	}
}

// TestClearedRoomYieldsToEarlierJobs: room that is being cleared for one gang is
// closed to later jobs, not to those that come first, and is open again once its
// gang has found room elsewhere. Else gangs each sit on a part of what one needs.
func TestClearedRoomYieldsToEarlierJobs(t *testing.T) {
	for _, x := range []struct {
		owner string // for whom the first machine is being cleared
		want  map[string]int
	}{{"j-2", map[string]int{"j-1": 2, "j-3": 0}}, {"j-0", map[string]int{"j-1": 2, "j-3": 0}}, {"j-1", map[string]int{"j-1": 2, "j-3": 0}}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.machine("m0", "a", false)
		b.job(spec("j-0", protocol.Gang, "urgent", 1, 8))
		b.cycle()
		b.machine("m0", "a", false, running(protocol.TaskID{Job: "j-0"}, 1))
		for _, m := range []string{"m1", "m2"} {
			b.machine(m, "a", false)
		}
		b.job(spec("j-1", protocol.Gang, "urgent", 2, 8))
		b.job(spec("j-2", protocol.Gang, "urgent", 2, 8))
		b.job(spec("j-3", protocol.Array, "normal", 1, 1))
		m := b.c.machines.Machine("m1")
		m.Reserved, m.ReservedUntil = x.owner, b.now+time.Minute
		b.cycle()
		for id, n := range x.want {
			if got := b.started(id); got != n {
				t.Errorf("cleared for %s: %s started %d tasks, want %d", x.owner, id, got, n)
			}
		}
	}
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m1", "a", false)
	b.job(spec("j-1", protocol.Service, "critical", 1, 16)) // fits nowhere
	b.job(spec("j-2", protocol.Array, "normal", 1, 1))
	m := b.c.machines.Machine("m1")
	m.Reserved, m.ReservedUntil = "j-1", b.now+time.Minute
	b.cycle()
	if b.started("j-2") != 0 {
		t.Error("a later job took room that is being cleared")
	}
}

// TestColdReplicaLeavesRoomForTheNext: a replica that must fetch, for longer than
// its class's aim, goes beside others where most room is left, so that the next
// of its kind starts there without a fetch; not to an empty machine, which jobs
// that want a whole one need.
func TestColdReplicaLeavesRoomForTheNext(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: 1, Share: 0.9}}
	for i, gpus := range []float64{6, 3} {
		name := fmt.Sprintf("m%d", i+1)
		b.machine(name, "a", false)
		j := spec(fmt.Sprintf("j-%d", i+1), protocol.Service, "critical", 1, gpus)
		j.CPUs, j.MemoryGB = 8*gpus, 32*gpus
		b.job(j)
		b.cycle()
		b.machine(name, "a", false, running(protocol.TaskID{Job: j.ID}, 1))
		b.c.machines.Machine("m1").Sick = i == 0 // so that each has its own
	}
	b.c.machines.Machine("m1").Sick = false
	b.machine("m0", "a", false)
	quick := spec("j-3", protocol.Service, "critical", 1, 1)
	quick.Class, quick.Image, quick.ImageGB = "quick", "small", 1
	b.job(quick)
	b.cycle()
	if got := b.on[protocol.TaskID{Job: "j-3"}]; got != "m2" {
		t.Errorf("the replica went to %q, want m2", got)
	}
}

// TestFetchingArraysMakeWay: in a crowd, arrays that came first fetch on every
// machine. A replica takes a machine as if they had left, and they leave: they
// lose nothing but a fetch, while it would take twice as long beside them. Arrays
// that run stay.
func TestFetchingArraysMakeWay(t *testing.T) {
	for _, x := range []struct {
		state protocol.TaskState
		prio  protocol.Priority
		stops int
	}{{protocol.Fetching, "critical", 1}, {"", "critical", 0}, {protocol.TaskRunning, "critical", 0}, {protocol.Fetching, "urgent", 0}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: 40, Share: 0.9}}
		b.machine("m1", "a", false)
		low := spec("j-1", protocol.Array, "normal", 1, 1)
		low.Image, low.ImageGB = "low", 20
		b.job(low)
		b.cycle()
		id := protocol.TaskID{Job: "j-1"}
		if x.state != "" { // else started, perhaps by an earlier leader, and not reported yet
			b.machine("m1", "a", false, protocol.TaskReport{Name: id.String(), Attempt: 1, State: x.state})
		} else {
			b.c.jobs["j-1"].places[0].State = ""
		}
		high := spec("j-2", protocol.Service, x.prio, 1, 2)
		high.Class, high.Image, high.ImageGB = "quick", "high", 30
		b.job(high)
		b.cycle()
		b.do(Tick{}) // the run goes out once the stop is answered
		if b.started("j-2") != 1 || len(b.stops) != x.stops {
			t.Errorf("%s beside %s: started %d, stopped %v", x.prio, x.state, b.started("j-2"), b.stops)
		}
	}
}

// TestDoneIsRecordedOnce: the last task's exit ends the job in the same
// transaction that drops its page, and nothing is written for it after.
func TestDoneIsRecordedOnce(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m1", "a", false)
	b.job(spec("j-1", protocol.Array, "normal", 3, 1))
	b.cycle()
	var tasks []protocol.TaskReport
	for id, c := range b.runs {
		tasks = append(tasks, protocol.TaskReport{Name: id.String(), Attempt: c.Attempt, State: protocol.Exited, Cause: protocol.CauseDone})
	}
	b.machine("m1", "a", false, tasks[:2]...)
	b.cycle()
	b.machine("m1", "a", false, tasks...)
	b.cycle()
	end := b.last[len(b.last)-1]
	if end.Then[0].Delete != storage.LiveKey("j-1") || end.Then[1].Put != storage.EndedKey("j-1") || end.Then[2].Delete != storage.PageKey("j-1", 0) {
		t.Errorf("end %+v", end)
	}
	if end.If[0].Key != storage.TermKey || end.If[1].Key != storage.LiveKey("j-1") {
		t.Errorf("the end is not fenced: %+v", end.If)
	}
	n := len(b.last)
	b.cycle()
	if len(b.last) != n || len(b.c.jobs) != 0 {
		t.Errorf("%d writes after the end, %d jobs kept", len(b.last)-n, len(b.c.jobs))
	}
}

// TestFaultyJobIsBackedOff: a job that fails everywhere must not get machines
// set aside, nor take all the starts.
func TestFaultyJobIsBackedOff(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	for i := range 6 {
		b.machine(fmt.Sprintf("m%d", i), "a", false)
	}
	b.job(spec("j-1", protocol.Array, "normal", 1, 1))
	id := protocol.TaskID{Job: "j-1"}
	starts := 0
	for range 120 {
		b.cycle()
		for i := range 6 {
			m := fmt.Sprintf("m%d", i)
			if c, ok := b.runs[id]; ok && b.on[id] == m {
				starts++
				delete(b.runs, id)
				b.machine(m, "a", false, protocol.TaskReport{Name: id.String(), Attempt: c.Attempt, State: protocol.Exited, Cause: protocol.CauseError})
				continue
			}
			b.machine(m, "a", false)
		}
	}
	if starts < 3 || starts > 20 {
		t.Errorf("%d starts in two minutes", starts)
	}
	for i := range 6 {
		if m := b.c.machines.Machine(fmt.Sprintf("m%d", i)); m == nil || m.Sick {
			t.Errorf("machine %d was set aside for a faulty job", i)
		}
	}
}

// TestFailingMachineIsNoSink: a machine that fails every task at once has room
// again at once. The tasks of one large array must not go down it one after the
// other; a machine is rented in its place, and the job is not taken for faulty.
func TestFailingMachineIsNoSink(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.do(Listed{})
	b.machine("m1", "a", false)
	b.machine("m2", "a", false)
	b.job(spec("j-1", protocol.Array, "normal", 40, 2))
	failed, ran := map[protocol.TaskID]bool{}, 0
	for range 30 {
		b.cycle()
		for id, c := range b.runs {
			delete(b.runs, id)
			r := protocol.TaskReport{Name: id.String(), Attempt: c.Attempt, State: protocol.Exited, Cause: protocol.CauseDone}
			if b.on[id] == "m1" {
				failed[id], r.Cause = true, protocol.CauseError
			} else {
				ran++
			}
			b.machine(b.on[id], "a", false, r)
		}
		b.machine("m1", "a", false)
		b.machine("m2", "a", false)
	}
	if len(failed) > 4 || ran != 40 {
		t.Errorf("%d tasks failed on the machine, %d ran elsewhere", len(failed), ran)
	}
}

// TestTeamsAreServedInTurn: when more is asked than can be done, the queue of
// one team does not shut out another's.
func TestTeamsAreServedInTurn(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}, {Name: "blue"}}, "a")
	for i := range 20 {
		b.job(spec(fmt.Sprintf("j-%d", i), protocol.Service, "normal", 1, 1))
	}
	b.now++
	for i := range 20 {
		j := spec(fmt.Sprintf("j-%d", 100+i), protocol.Service, "normal", 1, 1)
		j.Team = "blue"
		b.job(j)
	}
	b.machine("m1", "a", false)
	b.cycle()
	if red, blue := b.c.machines.Usage("red").GPUs, b.c.machines.Usage("blue").GPUs; red != 4 || blue != 4 {
		t.Errorf("red has %v, blue %v of 8", red, blue)
	}
}

// TestLargestJob: a job of 100,000 tasks is taken, paged and placed without
// its size showing in what each cycle costs.
func TestLargestJob(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	for i := range 10 {
		b.machine(fmt.Sprintf("m%d", i), "a", false)
	}
	b.job(spec("j-1", protocol.Array, "normal", protocol.MaxTasks, 1))
	done := 0
	for range 30 {
		b.cycle()
		by := map[string][]protocol.TaskReport{}
		for id, c := range b.runs {
			by[b.on[id]] = append(by[b.on[id]], protocol.TaskReport{Name: id.String(), Attempt: c.Attempt, State: protocol.Exited, Cause: protocol.CauseDone})
			done++
		}
		clear(b.runs)
		for i := range 10 {
			m := fmt.Sprintf("m%d", i)
			b.machine(m, "a", false, by[m]...)
		}
	}
	if s, ok := b.c.Status("j-1"); !ok || s.Done != done || done < 30*80/2 {
		t.Errorf("%+v, %d done", s, done)
	}
}

// TestWarmRoomIsCleared guards the aim on short waits: a critical task with
// cold free room and a warm machine full of lower work waits for the latter
// to be cleared, and is not sent to fetch for longer than its aim.
func TestWarmRoomIsCleared(t *testing.T) {
	for _, x := range []struct {
		prio protocol.Priority
		want string
	}{{"critical", "m1"}, {"urgent", "m2"}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: 12, Share: 0.9}}
		b.machine("m1", "a", false)
		low := spec("j-2", protocol.Array, "normal", 1, 4)
		low.CheckpointS, low.SaveS = 10, 2
		b.job(low)
		b.cycle()
		two := protocol.TaskID{Job: "j-2"}
		b.machine("m1", "a", false, running(two, 1))
		first := spec("j-1", protocol.Service, "critical", 1, 4)
		first.Class, first.Image, first.ImageGB = "quick", "big", 60
		b.job(first)
		b.cycle()
		one := protocol.TaskID{Job: "j-1"}
		b.machine("m1", "a", false, running(one, 1))
		b.machine("m2", "a", false) // empty, without the image

		next := first
		next.ID, next.Priority = "j-3", x.prio
		b.job(next)
		b.cycle()
		if _, stopped := b.stops[two]; stopped {
			b.machine("m1", "a", false, protocol.TaskReport{Name: two.String(), Attempt: 1, State: protocol.Exited, Cause: protocol.CauseStopped})
		}
		b.cycle()
		if got := b.on[protocol.TaskID{Job: "j-3"}]; got != x.want {
			t.Errorf("%s went to %q, want %s", x.prio, got, x.want)
		}
	}
}

// TestFetchesThatTakeLongerAreNotSwapped: two machines fetch the same image and
// take longer than the type's rate says. Neither task may be moved to the
// other's machine, where the fetch would begin anew once its own task has left;
// only when one is seen past its fetch does the other join it.
func TestFetchesThatTakeLongerAreNotSwapped(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "quick", WithinS: 40, Share: 0.9}}
	one, two := protocol.TaskID{Job: "j-1"}, protocol.TaskID{Job: "j-2"}
	fetching := func(id protocol.TaskID) protocol.TaskReport {
		return protocol.TaskReport{Name: id.String(), Attempt: 1, State: protocol.Fetching}
	}
	for _, id := range []protocol.TaskID{one, two} {
		b.machine("m-"+id.Job, "a", false)
		j := spec(id.Job, protocol.Service, "critical", 1, 4)
		j.Class, j.Image, j.ImageGB = "quick", "big", 40
		b.job(j)
		b.cycle()
		b.machine("m-"+id.Job, "a", false, fetching(id))
		b.c.machines.Machine("m-j-1").Sick = id == one // so that each has its own
	}
	b.c.machines.Machine("m-j-1").Sick = false
	b.stops = map[protocol.TaskID]float64{}
	for range 55 {
		b.machine(b.on[one], "a", false, fetching(one))
		b.machine(b.on[two], "a", false, fetching(two))
		b.cycle()
	}
	if b.on[one] == b.on[two] || len(b.stops) > 0 {
		t.Fatalf("on %s and %s, stopped %v", b.on[one], b.on[two], b.stops)
	}
	b.machine(b.on[one], "a", false, running(one, 1))
	b.cycle()
	if _, ok := b.stops[two]; !ok {
		t.Error("the other task does not join the image that is there")
	}
}

// TestRoomIsKeptForWaitAims: arrays of the same rank, which could not be
// preempted for it, leave the room that a class with a wait aim is likely to
// want, also if they have a looser one; the class itself may use it.
func TestRoomIsKeptForWaitAims(t *testing.T) {
	t.Run("no aim", func(t *testing.T) { roomIsKept(t) })
	t.Run("looser aim", func(t *testing.T) {
		roomIsKept(t, config.Objective{Kind: "wait", Class: "c", WithinS: 100, Share: 0.9})
	})
}

func roomIsKept(t *testing.T, aims ...config.Objective) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = append(aims, config.Objective{Kind: "wait", Class: "quick", WithinS: 12, Share: 0.9})
	b.machine("m1", "a", false)
	quick := spec("j-1", protocol.Service, "normal", 1, 4)
	quick.Class = "quick"
	b.job(quick)
	b.cycle()
	b.machine("m1", "a", false, running(protocol.TaskID{Job: "j-1"}, 1))
	b.cycle()
	b.machine("m1", "a", false)
	b.job(spec("j-2", protocol.Array, "normal", 8, 1))
	b.cycle()
	if n := b.started("j-2"); n != 0 {
		t.Errorf("%d array tasks took the room kept for others", n)
	}
	quick.ID = "j-3"
	b.machine("m1", "a", false)
	b.job(quick)
	b.cycle()
	if b.started("j-3") != 1 {
		t.Error("the room was kept from those it was kept for")
	}
}

// TestQuickRoomIsKeptFromLowerWork: a class whose fetch leaves no time to clear
// room of arrays has its room kept free of them, and rented for if need be. At
// many machines, arrays had else left no whole one free anywhere.
func TestQuickRoomIsKeptFromLowerWork(t *testing.T) {
	for _, x := range []struct {
		within float64
		tasks  int // of the array that may start
	}{{45, 0}, {65, 8}} {
		b := newBench([]config.Team{{Name: "red"}}, "a")
		b.c.cfg.Objectives = []config.Objective{{Kind: "wait", Class: "big", WithinS: x.within, Share: 0.9}}
		b.machine("m1", "a", false)
		gang := spec("j-1", protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.Image, gang.ImageGB = "big", "big", 40
		b.job(gang)
		b.cycle()
		b.machine("m1", "a", false, running(protocol.TaskID{Job: "j-1"}, 1))
		b.cycle()
		b.machine("m2", "a", false)
		low := spec("j-2", protocol.Array, "normal", 8, 1)
		low.CheckpointS, low.SaveS = 10, 2
		b.job(low)
		b.cycle()
		if n := b.started("j-2"); n != x.tasks {
			t.Errorf("aim of %v s: %d array tasks on the last whole machine, want %d", x.within, n, x.tasks)
		}
		gang.ID = "j-3"
		b.machine("m2", "a", false)
		b.job(gang)
		b.cycle()
		if x.tasks == 0 && b.started("j-3") != 1 {
			t.Error("the room was kept from those it was kept for")
		}
	}
}

// TestNewLeaderKnowsTheImages: what one leader wrote down of the machines'
// images leads the next one's tasks to the machine that has theirs.
func TestNewLeaderKnowsTheImages(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.machine("m2", "a", false)
	j := spec("j-1", protocol.Array, "normal", 1, 1)
	j.Image, j.ImageGB = "big", 50
	b.job(j)
	b.cycle()
	id := protocol.TaskID{Job: "j-1"}
	for range 15 {
		b.machine("m2", "a", false, running(id, 1))
		b.cycle()
	}
	var warm []protocol.Pair
	for _, txn := range b.last {
		for _, op := range txn.Then {
			if op.Put == storage.WarmKey(0) {
				warm = []protocol.Pair{{Key: op.Put, Value: op.Value, Version: 1}}
			}
		}
	}
	if warm == nil {
		t.Fatal("nothing was written down")
	}
	next := newBench([]config.Team{{Name: "red"}}, "a")
	next.c = New(0, next.c.cfg, next.c.log, 6, 2, []protocol.MachineType{*b.c.machines.Type("g8")}, nil, nil, warm, 0)
	for _, m := range []string{"m1", "m2", "m3"} {
		next.machine(m, "a", false)
	}
	j.ID = "j-2"
	next.job(j)
	next.cycle()
	if got := next.on[protocol.TaskID{Job: "j-2"}]; got != "m2" {
		t.Errorf("the task went to %q", got)
	}
}

// TestNewLeaderKnowsTheAges: how long a job has waited counts from its submission,
// also for a leader that has just come: here, which gang can still start in time.
func TestNewLeaderKnowsTheAges(t *testing.T) {
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = []config.Objective{
		{Kind: "wait", Class: "big", WithinS: 20, Share: 0.9}, {Kind: "finished", Class: "big", WithinS: 30, Share: 0.9},
	}
	const wallMS = 100_000
	var live []protocol.Pair
	for id, waitedMS := range map[string]int64{"j-1": 25_000, "j-2": 5_000} {
		gang := spec(id, protocol.Gang, "urgent", 1, 8)
		gang.Class, gang.EstimateS = "big", 20
		value, err := protocol.Encode(storage.LiveRecord{Job: gang, AtMS: wallMS - waitedMS})
		if err != nil {
			t.Fatal(err)
		}
		live = append(live, protocol.Pair{Key: storage.LiveKey(id), Value: value, Version: 3})
	}
	b.c = New(0, b.c.cfg, b.c.log, 6, 2, []protocol.MachineType{*b.c.machines.Type("g8")}, live, nil, nil, wallMS)
	b.machine("m1", "a", false)
	b.cycle()
	if b.started("j-1") != 0 || b.started("j-2") != 1 {
		t.Errorf("started %d of the late gang, %d of the other", b.started("j-1"), b.started("j-2"))
	}
}

// TestLeaderOutOfReachGivesWay: a leader that most machines cannot reach lets
// another lead; and a machine that only others reach gets its commands with
// the answers that are passed on, not directly.
func TestLeaderOutOfReachGivesWay(t *testing.T) {
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
						b.take(name, a.Body.Token, a.Body.Commands)
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

// TestNewLeaderKnowsTheArrivals: spare room does not vanish with a take-over,
// and jobs that live are not counted twice.
func TestNewLeaderKnowsTheArrivals(t *testing.T) {
	cfg := []config.Objective{{Kind: "wait", Class: "quick", WithinS: 12, Share: 0.9}}
	b := newBench([]config.Team{{Name: "red"}}, "a")
	b.c.cfg.Objectives = cfg
	j := spec("j-1", protocol.Service, "normal", 2, 4)
	j.Class = "quick"
	var live []protocol.Pair
	for i := range 40 {
		if i%8 == 0 {
			j.ID = fmt.Sprintf("j-%d", i)
			b.job(j)
			raw, err := protocol.Encode(storage.LiveRecord{Job: j, AtMS: b.now.Milliseconds()})
			if err != nil {
				t.Fatal(err)
			}
			live = append(live, protocol.Pair{Key: storage.LiveKey(j.ID), Value: raw, Version: b.rev})
		}
		b.machine("m1", "a", false)
		b.cycle()
	}
	var warm []protocol.Pair
	for _, txn := range b.last {
		for _, op := range txn.Then {
			if op.Put == storage.WarmKey(0) {
				warm = []protocol.Pair{{Key: op.Put, Value: op.Value, Version: 1}}
			}
		}
	}
	boot := 30 * time.Second
	want := b.c.expected(b.now, "quick", boot)
	next := New(0, b.c.cfg, b.c.log, 6, 2, []protocol.MachineType{*b.c.machines.Type("g8")}, live, nil, warm, b.now.Milliseconds())
	got := next.expected(0, "quick", boot)
	if want == 0 || got < want/3 || got > want*1.2 {
		t.Errorf("expects %v jobs after the take-over, %v before", got, want)
	}
}

// TestNewLeaderInspects: a new leader asks the machines that are there how they
// stand, once, and places work where one answers, before its worker has found out
// who leads. Copies of what they say do no harm.
func TestNewLeaderInspects(t *testing.T) {
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
	b.zone["m1"], b.tasks["m1"] = "a", map[protocol.TaskID]protocol.TaskReport{}
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

// TestSmallLeaderInspectsInTurn: a leader with a small share of a core asks a few
// machines a second, and none that has reported meanwhile.
func TestSmallLeaderInspectsInTurn(t *testing.T) {
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
