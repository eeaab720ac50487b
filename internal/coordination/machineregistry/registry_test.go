package machineregistry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var testMachineType = protocol.MachineType{
	Name:             "g8",
	CPUs:             64,
	GPUs:             8,
	MemoryGB:         256,
	CacheGB:          10,
	FetchGBPerSecond: 1,
	BootSeconds:      30,
	Zones:            []string{"a"},
}

func newTestRegistry(term uint64) *Registry {
	p := New(
		term,
		config.Workers{
			HeartbeatSeconds: 1,
			LeaseSeconds:     10,
			GangWaitSeconds:  40,
			GangPeerSeconds:  4,
			CancelSeconds:    40,
		},
	)
	p.SetMachineTypes([]protocol.MachineType{testMachineType})
	return p
}

func testHeartbeat(session, seq, token uint64, tasks ...protocol.TaskStatus) *protocol.WorkerHeartbeat {
	return &protocol.WorkerHeartbeat{
		Machine:      "m1",
		Addr:         "a",
		Type:         "g8",
		Zone:         "a",
		Incarnation:  session,
		Sequence:     seq,
		FencingToken: token,
		Tasks:        tasks,
	}
}

func testTaskID(n int) protocol.TaskID { return protocol.TaskID{JobID: "j-1", Index: n} }

func newTestPlacement(n int, gpus float64) *Placement {
	return &Placement{
		Task: testTaskID(n), Attempt: 1, Machine: "m1", Resources: Resources{GPUs: gpus}, Team: "red",
		Job: &protocol.Job{ID: "j-1", Image: "i", ImageGB: 1},
	}
}

// TestUnchangedHeartbeat: that an owner has answered a report keeps a machine from counting as silent, if nothing newer
// is known and it is the session that the leader knows; it proves nothing of tasks. What has commands to take is asked
// for.
func TestUnchangedHeartbeat(t *testing.T) {
	p := New(3, config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10})
	now := time.Second
	if p.HandleUnchangedHeartbeat(now, "m1", 1, 1) {
		t.Error("a machine that was never heard needs no report")
	}
	p.HandleHeartbeat(
		now,
		&protocol.WorkerHeartbeat{Machine: "m1", Type: "g8", Zone: "a", Incarnation: 2, Sequence: 5, FencingToken: 7},
	)
	now += 5 * time.Second
	for _, x := range []struct {
		session, seq uint64
		ok           bool
		heard        time.Duration
	}{{1, 9, false, time.Second}, {3, 1, false, time.Second}, {2, 5, true, time.Second}, {2, 6, true, now}} {
		if ok := p.HandleUnchangedHeartbeat(
			now,
			"m1",
			x.session,
			x.seq,
		); ok != x.ok ||
			p.Machine("m1").LastHeartbeat != x.heard {
			t.Errorf("session %d, number %d: %v, heard at %v", x.session, x.seq, ok, p.Machine("m1").LastHeartbeat)
		}
	}
	pl := &Placement{Task: protocol.TaskID{JobID: "j-1"}, Attempt: 1, Machine: "m1", Incarnation: 2, StartAllowed: true}
	p.Adopt(now, pl)
	if p.HandleUnchangedHeartbeat(now, "m1", 2, 7) || pl.Terminated {
		t.Errorf("a machine with a start to take: no report is asked for, or the task is gone: %v", pl.Terminated)
	}
}

// TestCapacityIsNeverReservedTwice grants, starts, stops and ends at random: what
// is granted always fits, and the books close at nothing.
func TestCapacityIsNeverReservedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestRegistry(1)
		now := time.Duration(0)
		seq := uint64(1)
		p.HandleHeartbeat(now, testHeartbeat(1, seq, 0))
		held := map[int]*Placement{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 100 * time.Millisecond
			if rapid.Bool().Draw(t, "grant") {
				var ps []*Placement
				sum := 0.0
				for k := range rapid.IntRange(1, 3).Draw(t, "n") {
					pl := newTestPlacement(i*10+k, rapid.Float64Range(0.5, 5).Draw(t, "gpus"))
					sum += pl.Resources.GPUs
					ps = append(ps, pl)
				}
				used := 0.0
				for _, pl := range held {
					used += pl.Resources.GPUs
				}
				if ok := p.Reserve(now, ps); ok != (used+sum <= testMachineType.GPUs+1e-9) {
					t.Fatalf("grant of %v beside %v: %v", sum, used, ok)
				} else if ok {
					for _, pl := range ps {
						held[pl.Task.Index] = pl
						p.AllowStart(pl)
					}
				}
				p.TakeDueCommands(now, p.Machine("m1"))
			} else {
				seq++
				var tasks []protocol.TaskStatus
				for n, pl := range held {
					tasks = append(
						tasks,
						protocol.TaskStatus{
							TaskName: pl.Task.String(),
							Attempt:  1,
							State:    protocol.TaskExited,
							Cause:    protocol.CauseDone,
						},
					)
					delete(held, n)
				}
				p.HandleHeartbeat(now, testHeartbeat(1, seq, 0, tasks...))
			}
			used := 0.0
			for _, pl := range held {
				used += pl.Resources.GPUs
			}
			if got := p.TeamUsage("red").GPUs; got < used-1e-6 || got > used+1e-6 {
				t.Fatalf("books say %v, held are %v", got, used)
			}
		}
	})
}

// TestAbsenceProvesNoTermination: copies of old reports, and reports without the task,
// never make a task gone; an exit, a larger session or a lost machine do.
func TestAbsenceProvesNoTermination(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(p *Registry) []Observation
		gone bool
	}{
		{"newer report without it", func(p *Registry) []Observation {
			f := p.HandleHeartbeat(5, testHeartbeat(3, 50, 0)).Observations
			return f
		}, false},
		{"older session", func(p *Registry) []Observation {
			f := p.HandleHeartbeat(5, testHeartbeat(2, 99, 0)).Observations
			return f
		}, false},
		{"another attempt exited", func(p *Registry) []Observation {
			f := p.HandleHeartbeat(5, testHeartbeat(3, 50, 0, protocol.TaskStatus{TaskName: testTaskID(1).String(), Attempt: 7, State: protocol.TaskExited})).Observations
			return f
		}, false},
		{"its attempt exited in another session", func(p *Registry) []Observation {
			f := p.HandleHeartbeat(5, testHeartbeat(2, 50, 0, protocol.TaskStatus{TaskName: testTaskID(1).String(), Attempt: 1, State: protocol.TaskExited})).Observations
			return f
		}, false},
		{"its attempt exited, told late", func(p *Registry) []Observation {
			p.HandleHeartbeat(4, testHeartbeat(3, 60, 0))
			f := p.HandleHeartbeat(5, testHeartbeat(3, 50, 0, protocol.TaskStatus{TaskName: testTaskID(1).String(), Attempt: 1, State: protocol.TaskExited})).Observations
			return f
		}, true},
		{"larger session", func(p *Registry) []Observation {
			f := p.HandleHeartbeat(5, testHeartbeat(4, 1, 0)).Observations
			return f
		}, true},
		{"machine lost", func(p *Registry) []Observation { return p.Remove(5, "m1") }, true},
	} {
		p := newTestRegistry(2)
		pl := newTestPlacement(1, 1)
		pl.Incarnation = 3
		p.Adopt(0, pl)
		p.HandleHeartbeat(1, testHeartbeat(3, 10, 0))
		facts := x.do(p)
		gone := len(facts) == 1 && facts[0].Placement == pl && pl.Terminated
		if gone != x.gone || pl.Terminated != x.gone {
			t.Errorf("%s: gone %v, facts %v", x.name, gone, facts)
		}
	}
}

func verbsOf(cmds []protocol.Command) string {
	s := ""
	for _, c := range cmds {
		s += string(c.Verb) + " "
	}
	return s
}

// TestForgetWaitsForRecordAndFencing: an exited entry protects against late copies of its run. It
// is forgotten only once the record is settled and the worker refuses tokens
// as low as the run's.
func TestForgetWaitsForRecordAndFencing(t *testing.T) {
	p := newTestRegistry(2)
	p.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := p.Machine("m1")
	pl := newTestPlacement(1, 1)
	if !p.Reserve(0, []*Placement{pl}) {
		t.Fatal("not granted")
	}
	if got := verbsOf(p.TakeDueCommands(0, m)); got != "" {
		t.Errorf("before its record: %q", got)
	}
	p.AllowStart(pl)
	if got := verbsOf(p.TakeDueCommands(0, m)); got != "run " {
		t.Errorf("after its record: %q", got)
	}
	exited := protocol.TaskStatus{
		TaskName: testTaskID(1).String(),
		Attempt:  1,
		State:    protocol.TaskExited,
		Cause:    protocol.CauseStopped,
	}
	first := p.FencingToken(m)
	p.HandleHeartbeat(time.Second, testHeartbeat(1, 2, first, exited))
	late := time.Hour
	p.HandleHeartbeat(late, testHeartbeat(1, 3, first, exited))
	if got := verbsOf(p.TakeDueCommands(late, m)); got != "" {
		t.Errorf("unsettled: %q", got)
	}
	again := newTestPlacement(1, 1)
	again.Attempt = 2
	if p.Reserve(late, []*Placement{again}) {
		t.Error("a new attempt was granted beside an entry whose run may come again")
	}
	p.MarkOutcomeRecorded(pl)
	if got := verbsOf(p.TakeDueCommands(late, m)); got != "" || p.FencingToken(m) <= first {
		t.Errorf("settled: %q, token %d after %d", got, p.FencingToken(m), first)
	}
	p.HandleHeartbeat(late+1, testHeartbeat(1, 4, p.FencingToken(m), exited))
	if got := verbsOf(p.TakeDueCommands(late+1, m)); got != "forget " {
		t.Errorf("worker has seen the new token: %q", got)
	}
	if !p.Reserve(late+2, []*Placement{again}) {
		t.Error("not granted once forgotten")
	}
}

// TestStopsOfUnreportedStarts: a run without an answer is never repeated to withdraw
// it. Absence proves it gone only in a report whose token is above the run's,
// since the worker refuses the run from then on.
func TestStopsOfUnreportedStarts(t *testing.T) {
	p := newTestRegistry(2)
	p.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := p.Machine("m1")
	pl := newTestPlacement(1, 1)
	p.Reserve(0, []*Placement{pl})
	p.AllowStart(pl)
	p.TakeDueCommands(0, m)
	sent := p.FencingToken(m)
	if p.Stop(1, pl, 0) {
		t.Fatal("a run that may be under way was called gone")
	}
	if got := verbsOf(p.TakeDueCommands(2, m)); got != "stop " || p.FencingToken(m) <= sent {
		t.Errorf("%q with token %d after %d", got, p.FencingToken(m), sent)
	}
	if f := p.HandleHeartbeat(3, testHeartbeat(1, 2, sent)).Observations; len(f) != 0 || pl.Terminated {
		t.Error("absence with the run's own token proved something")
	}
	if f := p.HandleHeartbeat(
		4,
		testHeartbeat(1, 3, p.FencingToken(m)),
	).Observations; len(f) != 1 || !f[0].Lost ||
		!pl.Terminated {
		t.Errorf("absence with a higher token: %v", f)
	}

	adopted := newTestPlacement(3, 1)
	adopted.Incarnation = 1
	p.Adopt(5, adopted)
	p.Stop(5, adopted, 0)
	if f := p.HandleHeartbeat(6, testHeartbeat(1, 4, protocol.FencingToken(1, 9))).Observations; len(f) != 0 {
		t.Error("absence with an earlier leader's token proved something")
	}
	if f := p.HandleHeartbeat(7, testHeartbeat(1, 5, p.FencingToken(m))).Observations; len(f) != 1 {
		t.Errorf("absence with our token: %v", f)
	}

	never := newTestPlacement(2, 1)
	p.Reserve(8, []*Placement{never})
	if !p.Stop(8, never, 0) || !never.Terminated {
		t.Error("a run that never left needs no proof")
	}
}

// TestImagesInUseAreNotEvicted: the machine drops images that were used least lately. One
// that a task needs is in use however long ago the task came, and was last used
// when the task ended; taking it for dropped, or a dropped one for there, sends
// replicas to fetches that nobody expects.
func TestImagesInUseAreNotEvicted(t *testing.T) {
	p := newTestRegistry(1)
	seq := uint64(0)
	say := func(now time.Duration, tasks ...protocol.TaskStatus) {
		seq++
		p.HandleHeartbeat(now, testHeartbeat(1, seq, 0, tasks...))
	}
	use := func(now time.Duration, n int, image string, sizeGB float64) {
		say(now)
		pl := newTestPlacement(n, 1)
		pl.Job.Image, pl.Job.ImageGB = image, sizeGB
		if !p.Reserve(now, []*Placement{pl}) {
			t.Fatalf("no room for %s", image)
		}
		p.AllowStart(pl)
		say(
			now+time.Second,
			protocol.TaskStatus{TaskName: testTaskID(n).String(), Attempt: 1, State: protocol.TaskRunning},
		)
	}
	end := func(now time.Duration, n int) {
		say(
			now,
			protocol.TaskStatus{
				TaskName: testTaskID(n).String(),
				Attempt:  1,
				State:    protocol.TaskExited,
				Cause:    protocol.CauseDone,
			},
		)
	}
	warm := func(now time.Duration, image string) bool {
		return p.FetchTime(now, p.Machine("m1"), &protocol.Job{Image: image, ImageGB: 1}) == 0
	}
	use(0, 1, "old", 4) // runs on
	use(10*time.Second, 2, "short", 4)
	end(20*time.Second, 2)
	use(30*time.Second, 3, "new", 4) // takes the place of one
	if now := 40 * time.Second; !warm(now, "old") || warm(now, "short") || !warm(now, "new") {
		t.Errorf("old %v, short %v, new %v", warm(now, "old"), warm(now, "short"), warm(now, "new"))
	}
	end(50*time.Second, 3)
	end(60*time.Second, 1)
	use(70*time.Second, 4, "next", 4)
	if now := 80 * time.Second; !warm(now, "old") || warm(now, "new") {
		t.Errorf("old, used last, %v; new %v", warm(now, "old"), warm(now, "new"))
	}
}

// TestNewStartsAreNotDelayed: the pause after an answered command keeps a run from
// being repeated before the next report can tell of it; a new start must not
// wait for it. At a report each 5 s that pause was more than some aims allow.
func TestNewStartsAreNotDelayed(t *testing.T) {
	p := newTestRegistry(1)
	p.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := p.Machine("m1")
	first, second := newTestPlacement(1, 1), newTestPlacement(2, 1)
	now := 100 * time.Millisecond
	for _, pl := range []*Placement{first, second} {
		if !p.Reserve(now, []*Placement{pl}) {
			t.Fatal("no room")
		}
	}
	p.AllowStart(first)
	if len(p.MachinesToCommand(now)) != 1 || len(p.TakeDueCommands(now, m)) != 1 {
		t.Fatal("the first start is not sent")
	}
	p.CommandAnswered(now, m, true)
	if now += 10 * time.Millisecond; len(p.MachinesToCommand(now)) != 0 {
		t.Error("a run is repeated at once")
	}
	p.AllowStart(second)
	if len(p.MachinesToCommand(now)) != 1 || len(p.TakeDueCommands(now, m)) == 0 {
		t.Error("a new start waits for the pause after the last command")
	}
	// The same for what comes up while a command is on its way.
	p.CommandSent(m)
	third := newTestPlacement(3, 1)
	if !p.Reserve(now, []*Placement{third}) {
		t.Fatal("no room")
	}
	p.AllowStart(third)
	p.CommandAnswered(now, m, true)
	if len(p.MachinesToCommand(now)) != 1 {
		t.Error("a new start waits for the pause after the command that was on its way")
	}
}
