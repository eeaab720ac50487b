package loadtest

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
	"pinebay/internal/testutil"
)

// TestMain runs the tests, or a worker of a run that one of them has started.
func TestMain(m *testing.M) {
	if os.Getenv(WorkerEnvVar) == "" {
		testutil.Main(m)
		return
	}
	cfg, err := WorkerFromEnvironment()
	if err == nil {
		err = RunWorker(context.Background(), cfg)
	}
	if err != nil {
		os.Exit(1)
	}
}

// tinyConfig is a run that is over in seconds, with the built program.
func tinyConfig(t *testing.T) *Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return &Config{
		WorkerProcesses: 2,
		WorkerProgram:   self,
		Program:         buildController(t),
		Vary:            Workers,
		Sizes:           []int{6, 8, 10, 12},
		Load: Load{
			Controllers:    3,
			Workers:        10,
			Teams:          2,
			Zones:          2,
			TasksPerWorker: 4,
			StartsPerS:     10,
			ArrayTasks:     5,
			GangShare:      0.2,
			GangTasks:      2,
			UrgentPerS:     2,
			PipelinesPerS:  1,
			CancelShare:    0.2,
			Overcommit:     1.5,
		},
		HeartbeatInterval: 300 * time.Millisecond,
		Lease:             3 * time.Second,
		MeanRunTime:       time.Second,
		Warmup:            2 * time.Second,
		MeasureTime:       2 * time.Second,
		Slices:            2,
		Seed:              1,
		Port:              freePort(t),
		CoreShare:         1,
		RAMMB:             256,
		MaxSockets:        500,
		StateRPS:          600,
		StateWriteRPS:     180,
		StateTxnOps:       16,
		CloudRPS:          4,
	}
}

func buildController(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pinebay")
	if out, err := exec.Command("go", "build", "-o", program, "pinebay/cmd/pinebay").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// freePort returns a port from which on several are likely to be free.
func freePort(t *testing.T) int {
	t.Helper()
	for port := 23_000; port < 30_000; port += 500 {
		free := true
		for i := range 20 {
			l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+i)))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// countProcesses counts processes of a program.
func countProcesses(t *testing.T, program string) (n int) {
	t.Helper()
	procs, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range procs {
		path, err := p.Executable()
		if err == nil && (path == program || path == self && p.PID != os.Getpid()) {
			n++
		}
	}
	return n
}

// TestTinyRun plays four sizes with real processes: everything is counted, slopes are fitted,
// no rule is broken and no process is left.
func TestTinyRun(t *testing.T) {
	cfg := tinyConfig(t)
	cfg.Faults = []Fault{KillLeader}
	if err := cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	result, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range result.Sizes {
		if !s.ServicesRunning || s.Starts == 0 || s.CheckedReplies == 0 || len(s.Faults) != 1 {
			t.Errorf(
				"%d workers: filled %v, %d starts, %d answers judged, %d troubles",
				s.Size,
				s.ServicesRunning,
				s.Starts,
				s.CheckedReplies,
				len(s.Faults),
			)
		}
		for _, name := range []string{figHeartbeats, figStateRequests, figLeaderMemory, figFollowerSockets, figWorkerBytes, figProcessMemory} {
			if s.Figures[name].Mean <= 0 {
				t.Errorf("%d workers: %s is missing", s.Size, name)
			}
		}
		if s.Steps["report"].Count == 0 || s.Steps["heartbeat"].Count == 0 {
			t.Errorf("%d workers: no step times: %v", s.Size, s.Steps)
		}
	}
	if len(result.Slopes) == 0 {
		t.Error("no slopes from four sizes")
	}
	if n := countProcesses(t, cfg.Program); n > 0 {
		t.Errorf("%d processes are left", n)
	}
	checkRoundTrip(t, result)
}

// TestShardOwnersAsProcesses has real processes part the machines among them, and kills and freezes the leader and
// owners: no rule is broken, an epoch is in force on every controller, and no process is left. How long anything takes
// decides nothing.
func TestShardOwnersAsProcesses(t *testing.T) {
	cfg := tinyConfig(t)
	cfg.Sizes, cfg.Ownership, cfg.LogDir = []int{12}, true, t.TempDir()
	cfg.Faults = []Fault{FreezeOwner, KillOwner, FreezeLeader, KillLeader}
	result, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range result.Sizes {
		if s.Starts == 0 || s.CheckedReplies == 0 || len(s.Faults) != len(cfg.Faults) {
			t.Errorf("%d starts, %d answers judged, %d troubles", s.Starts, s.CheckedReplies, len(s.Faults))
		}
	}
	logs, err := filepath.Glob(filepath.Join(cfg.LogDir, "*.log"))
	if err != nil || len(logs) != cfg.Load.Controllers {
		t.Fatalf("%d logs, %v", len(logs), err)
	}
	handovers := 0
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		epochs := strings.Count(string(text), "ownership epoch in force")
		if epochs == 0 {
			t.Errorf("no epoch is in force on %s", filepath.Base(path))
		}
		handovers = max(handovers, epochs-1)
	}
	t.Logf("%d handovers", handovers)
	if n := countProcesses(t, cfg.Program); n > 0 {
		t.Errorf("%d processes are left", n)
	}
}

// checkRoundTrip writes a result and reads it again: its tables are the same.
func checkRoundTrip(t *testing.T, result *Result) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "result.json")
	if err := result.WriteJSON(path); err != nil {
		t.Fatal(err)
	}
	again, err := ReadResult(path)
	if err != nil {
		t.Fatal(err)
	}
	var a, b strings.Builder
	if err := errors.Join(result.WriteTables(&a), again.WriteTables(&b)); err != nil {
		t.Fatal(err)
	}
	if a.String() != b.String() || !strings.Contains(a.String(), "for each of workers") {
		t.Errorf("tables differ, or have no slopes:\n%s", b.String())
	}
	var capacity strings.Builder
	if err := result.WriteCapacity(
		&capacity,
		1000,
	); err != nil ||
		!strings.Contains(capacity.String(), "extrapolated, 83.3 times") {
		t.Errorf("capacity: %v\n%s", err, capacity.String())
	}
	if err := (&Result{}).WriteCapacity(&capacity, 10); !errors.Is(err, ErrInvalidConfig) {
		t.Errorf("capacity without slopes: %v", err)
	}
	if err := result.WritePlots(filepath.Join(t.TempDir(), "picture.png"), PlottedFigures()); err != nil {
		t.Error(err)
	}
}

// TestInvariantViolationEndsTheRun: when the oracles see a rule broken, here a limit that the
// controllers were not told of, the run ends with that, and nothing is left.
func TestInvariantViolationEndsTheRun(t *testing.T) {
	cfg := tinyConfig(t)
	dir := t.TempDir()
	r, err := newRun(t.Context(), cfg, cfg.loadAt(6), dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, team := range r.teams {
		r.world.TeamLimits[team.Name] = [2]float64{1, 0}
	}
	var result SizeResult
	err = r.execute(&result)
	r.shutdown()
	if !errors.Is(err, ErrInvariantViolated) || !strings.Contains(err.Error(), "quota") {
		t.Errorf("ended with %v", err)
	}
	if n := countProcesses(t, cfg.Program); n > 0 {
		t.Errorf("%d processes are left", n)
	}
}

// TestInterruptLeavesNothing: a run that is called off ends its processes.
func TestInterruptLeavesNothing(t *testing.T) {
	cfg := tinyConfig(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	if _, err := Run(ctx, cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	if n := countProcesses(t, cfg.Program); n > 0 {
		t.Errorf("%d processes are left", n)
	}
}

// TestPortTaken: a port that is taken is a complaint about the configuration.
func TestPortTaken(t *testing.T) {
	cfg := tinyConfig(t)
	l, err := net.Listen("tcp4", cfg.stateAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrInvalidConfig) {
		t.Errorf("ended with %v", err)
	}
	if n := countProcesses(t, cfg.Program); n > 0 {
		t.Errorf("%d processes are left", n)
	}
}

// TestInvalidConfigurations: each impossible configuration is refused with a line that names
// what is wrong.
func TestInvalidConfigurations(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		change func(*Config)
		names  string
	}{
		"no program":       {func(c *Config) { c.Program = "/nowhere/pinebay" }, "program"},
		"unknown vary":     {func(c *Config) { c.Vary = "moons" }, "vary"},
		"no sizes":         {func(c *Config) { c.Sizes = nil }, "sizes"},
		"no workers":       {func(c *Config) { c.Sizes = []int{0} }, "workers"},
		"too much memory":  {func(c *Config) { c.Sizes = []int{1_000_000} }, "memory"},
		"too many sockets": {func(c *Config) { c.Load.TasksPerWorker, c.Sizes = 0.01, []int{1 << 17} }, "sockets"},
		"many processes":   {func(c *Config) { c.Vary, c.Sizes = Controllers, []int{1000} }, "processes"},
		"unknown trouble":  {func(c *Config) { c.Faults = []Fault{"rain"} }, "rain"},
		"short lease":      {func(c *Config) { c.Lease = c.HeartbeatInterval }, "lease"},
		"one slice":        {func(c *Config) { c.Slices = 1 }, "slices"},
		"privileged port":  {func(c *Config) { c.Port = 80 }, "port"},
		"no time":          {func(c *Config) { c.MeasureTime = 0 }, "measured time"},
		"no tasks":         {func(c *Config) { c.Load.TasksPerWorker = 0 }, "tasks"},
		"odd share":        {func(c *Config) { c.Load.GangShare = 2 }, "share"},
		"no more asked":    {func(c *Config) { c.Load.TeamsAtLimit, c.Load.Overcommit = true, 1 }, "limits"},
	} {
		cfg := &Config{
			Program:           program,
			Vary:              Workers,
			Sizes:             []int{10},
			Slices:            2,
			Port:              23_000,
			HeartbeatInterval: time.Second,
			Lease:             5 * time.Second,
			MeanRunTime:       time.Second,
			MeasureTime:       time.Second,
			Load: Load{
				Controllers:    1,
				Workers:        10,
				Teams:          1,
				Zones:          1,
				TasksPerWorker: 1,
				ArrayTasks:     1,
				GangTasks:      1,
			},
		}
		if err := cfg.Validate(); err != nil {
			t.Fatalf("the base is refused: %v", err)
		}
		x.change(cfg)
		if err := cfg.Validate(); !errors.Is(err, ErrInvalidConfig) || !strings.Contains(err.Error(), x.names) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestSlopes: a line is found again from points on it, however many and wherever they are, and
// its spread from points beside it.
func TestSlopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope, at := rapid.Float64Range(-5, 5).Draw(t, "slope"), rapid.Float64Range(1, 100).Draw(t, "at none")
		off := rapid.Float64Range(0, 10).Draw(t, "off")
		var sizes []SizeResult
		for i := range rapid.IntRange(minSizes, 9).Draw(t, "sizes") {
			size := (i + 1) * 100
			y := at + slope*float64(size) + off*float64(1-2*(i%2))
			sizes = append(sizes, SizeResult{Size: size, Figures: map[string]Figure{"f": {Mean: y}}})
		}
		got := fitSlopes(sizes)
		if len(got) != 1 {
			t.Fatalf("%d slopes", len(got))
		}
		const near = 1e-6
		if off < near && (got[0].Slope-slope > near || slope-got[0].Slope > near || got[0].StandardError > near) {
			t.Errorf("slope %g, want %g; error %g", got[0].Slope, slope, got[0].StandardError)
		}
		// Five standard errors, and what rounding leaves.
		if d := got[0].Slope - slope; off > near &&
			(d > 5*got[0].StandardError+near || -d > 5*got[0].StandardError+near) {
			t.Errorf("slope %g is %g standard errors from %g", got[0].Slope, d/got[0].StandardError, slope)
		}
	})
	if few := fitSlopes(make([]SizeResult, minSizes-1)); few != nil {
		t.Errorf("slopes from too few sizes: %v", few)
	}
}

// TestWorkerAddresses: every worker has a loopback address of its own.
func TestWorkerAddresses(t *testing.T) {
	seen := map[string]bool{}
	for i := range 20_000 {
		ip := workerIP(i + 1)
		if !ip.IsLoopback() || seen[ip.String()] || ip.To4()[3] == 0 || ip.To4()[3] == 255 {
			t.Fatalf("worker %d has %s", i, ip)
		}
		seen[ip.String()] = true
	}
}

// TestLoadsKeepProportions: with more workers everything that belongs to them grows alike.
func TestLoadsKeepProportions(t *testing.T) {
	cfg := &Config{Vary: Workers, Load: Load{Workers: 100, StartsPerS: 50, UrgentPerS: 2, Teams: 7}}
	l := cfg.loadAt(300)
	if l.Workers != 300 || l.StartsPerS != 150 || l.UrgentPerS != 6 || l.Teams != 7 {
		t.Errorf("%+v", l)
	}
	r := &run{load: Load{GangTasks: 64}}
	if sizes := r.load.gangSizes(); len(sizes) != 6 || sizes[5] != 64 {
		t.Errorf("gangs of %v", sizes)
	}
	if startLatencyOf(classUrgent) != UrgentStart || startLatencyOf(classArray) != TaskStart {
		t.Error("urgent work is not told from other work")
	}
}

// TestMirroredWorkersAreChecked: what workers in processes of their own tell is checked like all else: a task
// that starts while another worker has it, one that is there although it was cancelled, and nothing
// of one that ended before.
func TestMirroredWorkersAreChecked(t *testing.T) {
	kind := &protocol.MachineType{Name: workerProcessType, CPUs: 8, MemoryGB: 8}
	report := func(machine string, state protocol.TaskState) *protocol.WorkerHeartbeat {
		return &protocol.WorkerHeartbeat{
			Machine: machine,
			Tasks:   []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: state}},
		}
	}
	const second = time.Second
	for name, x := range map[string]struct {
		steps    func(w *simulation.World)
		breaches int
		on       int
	}{
		"one after the other": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, report("a", protocol.TaskExited))
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 0, 1},
		"a lease ran out": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, &protocol.WorkerHeartbeat{Machine: "a"})
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 0, 1},
		"both at once": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 1, 2},
		"cancelled": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.Cancelled["j-1"] = second
			w.Advance(20 * second)
		}, 1, 1},
	} {
		w := simulation.NewWorld(10*second, second, second)
		w.Jobs["j-1"] = &protocol.Job{ID: "j-1", Shape: protocol.Array, TaskCount: 1, CPUs: 1}
		w.AddMirrored(0, "a", "zone", kind)
		w.AddMirrored(0, "b", "zone", kind)
		x.steps(w)
		if len(w.Violations) != x.breaches || w.TasksOnMachines() != x.on {
			t.Errorf("%s: broken %v, %d on machines", name, w.Violations, w.TasksOnMachines())
		}
	}
}
