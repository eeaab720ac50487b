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

	"pinebay/internal/config"
	"pinebay/internal/simulation"
	"pinebay/internal/testutil"
)

// TestMain runs the tests or, with a configuration in the environment, a worker that one of them has
// started.
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

// tinyConfig returns a load test of the built program that takes seconds.
func tinyConfig(t *testing.T) *Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig()
	cfg.Program = buildController(t)
	cfg.Sizes = []int{6, 8, 10, 12}
	cfg.Load = Load{
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
	}
	cfg.HeartbeatInterval = 300 * time.Millisecond
	cfg.Lease = 3 * time.Second
	cfg.MeanRunTime = time.Second
	cfg.Warmup = 2 * time.Second
	cfg.MeasureTime = 2 * time.Second
	cfg.Slices = 2
	cfg.Quota = config.Quota{CoreShare: 1, RAMMB: 256, MaxSockets: 500}
	cfg.WorkerProcesses, cfg.WorkerProgram = 2, self
	cfg.Port = freePort(t)
	return cfg
}

func buildController(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pinebay")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "pinebay/cmd/pinebay").
		CombinedOutput(); err != nil {
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
			l, err := new(
				net.ListenConfig,
			).Listen(t.Context(), "tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+i)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close() // only to see that the port is free
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// checkNoProcesses checks that no controller and no worker is left.
func checkNoProcesses(t *testing.T, cfg *Config) {
	t.Helper()
	processes, err := procfs.AllProcs()
	if err != nil {
		t.Fatal(err)
	}
	left := 0
	for _, p := range processes {
		path, err := p.Executable()
		if err != nil {
			continue // it has exited, or is somebody else's
		}
		if path == cfg.Program || path == cfg.WorkerProgram && p.PID != os.Getpid() {
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d processes are left", left)
	}
}

// TestTinyRun tests four sizes with real processes: everything is counted, slopes are fitted, no
// invariant is violated and no process is left.
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
				"%d workers: services running %v, %d starts, %d replies checked, %d faults",
				s.Size,
				s.ServicesRunning,
				s.Starts,
				s.CheckedReplies,
				len(s.Faults),
			)
		}
		for _, name := range []string{
			figHeartbeats,
			figStateRequests,
			figLeaderMemory,
			figFollowerSockets,
			figWorkerBytes,
			figProcessMemory,
		} {
			if s.Figures[name].Mean <= 0 {
				t.Errorf("%d workers: %s is missing", s.Size, name)
			}
		}
		if s.Steps["report"].Count == 0 || s.Steps["heartbeat"].Count == 0 {
			t.Errorf("%d workers: no step times: %v", s.Size, s.Steps)
		}
		for _, f := range s.Faults {
			if f.RecoveryS <= 0 {
				t.Errorf("%d workers: the new leader was not seen to read the records", s.Size)
			}
		}
	}
	if len(result.Slopes) == 0 {
		t.Error("no slopes from four sizes")
	}
	checkNoProcesses(t, cfg)
	checkRoundTrip(t, result)
}

// TestShardOwnersAsProcesses lets real processes shard the machines, and kills and freezes the leader
// and owners: no invariant is violated, an ownership epoch is in force on every controller, and no
// process is left. Nothing depends on how long anything takes.
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
			t.Errorf("%d starts, %d replies checked, %d faults", s.Starts, s.CheckedReplies, len(s.Faults))
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
		epochs := strings.Count(string(text), "ownership epoch active")
		if epochs == 0 {
			t.Errorf("no epoch is in force on %s", filepath.Base(path))
		}
		handovers = max(handovers, epochs-1)
	}
	t.Logf("%d handovers", handovers)
	checkNoProcesses(t, cfg)
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

// TestInvariantViolationEndsTheRun: a violated invariant, here a quota that the controllers do not
// know, ends the run, and nothing is left.
func TestInvariantViolationEndsTheRun(t *testing.T) {
	cfg := tinyConfig(t)
	dir := t.TempDir()
	r, err := newRun(t.Context(), cfg, cfg.loadAt(6), dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, team := range r.teams {
		r.world.TeamLimits[team.Name] = simulation.Resources{CPUs: 1}
	}
	var result SizeResult
	err = r.execute(&result)
	r.shutdown()
	if !errors.Is(err, ErrInvariantViolated) || !strings.Contains(err.Error(), "quota") {
		t.Errorf("ended with %v", err)
	}
	checkNoProcesses(t, cfg)
}

// TestInterruptLeavesNothing: a run whose context ends kills its processes.
func TestInterruptLeavesNothing(t *testing.T) {
	cfg := tinyConfig(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	if _, err := Run(ctx, cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	checkNoProcesses(t, cfg)
}

// TestPortTaken: a port that is taken is an error of the configuration.
func TestPortTaken(t *testing.T) {
	cfg := tinyConfig(t)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", cfg.storeAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrInvalidConfig) {
		t.Errorf("ended with %v", err)
	}
	checkNoProcesses(t, cfg)
}
