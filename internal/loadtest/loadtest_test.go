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

// TestMain runs the tests. If the environment has the configuration of a worker, this process was started by one of the
// tests and runs that worker instead.
func TestMain(m *testing.M) {
	if os.Getenv(WorkerEnvVar) == "" {
		testutil.Main(m)
		return
	}
	cfg, err := WorkerConfigFromEnv()
	if err == nil {
		err = RunWorker(context.Background(), cfg)
	}
	if err != nil {
		os.Exit(1)
	}
}

// smallConfig builds the controller and returns the configuration of a load test that takes only seconds.
func smallConfig(t *testing.T) *Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig()
	cfg.ControllerProgram = buildController(t)
	cfg.Sizes = []int{6, 8, 10, 12}
	cfg.Load = Load{
		Controllers:         3,
		Workers:             10,
		Teams:               2,
		Zones:               2,
		TasksPerWorker:      4,
		StartsPerSecond:     10,
		ArrayTasks:          5,
		GangShare:           0.2,
		GangTasks:           2,
		UrgentJobsPerSecond: 2,
		PipelinesPerSecond:  1,
		CancelShare:         0.2,
		Overcommit:          1.5,
	}
	cfg.HeartbeatInterval = 300 * time.Millisecond
	cfg.Lease = 3 * time.Second
	cfg.MeanRunTime = time.Second
	cfg.Warmup = 2 * time.Second
	cfg.MeasureTime = 2 * time.Second
	cfg.Slices = 2
	cfg.Quota = config.Quota{CoreShare: 1, RAMMB: 256, MaxSockets: 500}
	cfg.WorkerProcesses, cfg.WorkerProgram = 2, self
	cfg.FirstPort = freePort(t)
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

// freePort returns the first of 20 consecutive ports that are likely to be free.
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
			_ = l.Close() // opened only to see whether the port is free
		}
		if free {
			return port
		}
	}
	t.Fatal("no free ports")
	return 0
}

// checkNoProcesses checks that no process of a controller or worker is left running.
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
			continue // the process has exited, or belongs to another user
		}
		if path == cfg.ControllerProgram || path == cfg.WorkerProgram && p.PID != os.Getpid() {
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d processes are still running", left)
	}
}

// TestSmallRun runs a load test of four sizes with real processes. It checks that all metrics are measured, slopes are
// fitted, no invariant is violated, and no process is left running.
func TestSmallRun(t *testing.T) {
	cfg := smallConfig(t)
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
				"%d workers: services running %v, %d starts, %d replies checked, %d faults, want true, some, some, 1",
				s.Size,
				s.ServicesRunning,
				s.Starts,
				s.CheckedReplies,
				len(s.Faults),
			)
		}
		for _, name := range []string{
			metricHeartbeats,
			metricStateRequests,
			metricLeaderMemory,
			metricFollowerSockets,
			metricWorkerBytes,
			metricProcessMemory,
		} {
			if s.Metrics[name].Mean <= 0 {
				t.Errorf("%d workers: metric %s is missing or not positive", s.Size, name)
			}
		}
		if s.StepTimes["report"].Count == 0 || s.StepTimes["heartbeat"].Count == 0 {
			t.Errorf("%d workers: no step times: %v", s.Size, s.StepTimes)
		}
		for _, f := range s.Faults {
			if f.RecordsReadSeconds <= 0 {
				t.Errorf("%d workers: no new leader logged that it had read the records", s.Size)
			}
		}
	}
	if len(result.Slopes) == 0 {
		t.Error("no slopes were fitted to four sizes")
	}
	checkNoProcesses(t, cfg)
	checkRoundTrip(t, result)
}

// TestShardOwnership runs real processes with shard ownership, and kills and freezes the leader and owners. It checks
// that no invariant is violated, an ownership epoch is active on every controller, and no process is left running. None
// of its checks depends on timing.
func TestShardOwnership(t *testing.T) {
	cfg := smallConfig(t)
	cfg.Sizes, cfg.Ownership, cfg.LogDir = []int{12}, true, t.TempDir()
	cfg.Faults = []Fault{FreezeOwner, KillOwner, FreezeLeader, KillLeader}
	result, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range result.Sizes {
		if s.Starts == 0 || s.CheckedReplies == 0 || len(s.Faults) != len(cfg.Faults) {
			t.Errorf(
				"%d starts, %d replies checked, %d faults; want some, some and 4",
				s.Starts,
				s.CheckedReplies,
				len(s.Faults),
			)
		}
	}
	logs, err := filepath.Glob(filepath.Join(cfg.LogDir, "*.log"))
	if err != nil || len(logs) != cfg.Load.Controllers {
		t.Fatalf("%d logs, error %v, want one log per controller", len(logs), err)
	}
	handovers := 0
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		epochs := strings.Count(string(text), "ownership epoch active")
		if epochs == 0 {
			t.Errorf("no ownership epoch became active on %s", filepath.Base(path))
		}
		handovers = max(handovers, epochs-1)
	}
	t.Logf("%d handovers", handovers)
	checkNoProcesses(t, cfg)
}

// checkRoundTrip checks that a result has the same tables after it is written to a file and read again. It also checks
// the capacity table and the plots.
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
		t.Errorf("tables differ after reading, or have no slopes:\n%s", b.String())
	}
	var capacity strings.Builder
	if err := result.WriteCapacity(
		&capacity,
		1000,
	); err != nil ||
		!strings.Contains(capacity.String(), "extrapolated, 83.3 times") {
		t.Errorf("capacity: error %v, want an extrapolation by 83.3 times:\n%s", err, capacity.String())
	}
	if err := (&Result{}).WriteCapacity(&capacity, 10); !errors.Is(err, ErrInvalidConfig) {
		t.Errorf("capacity without slopes: error %v, want ErrInvalidConfig", err)
	}
	if err := result.WritePlots(filepath.Join(t.TempDir(), "picture.png"), PlottedMetrics()); err != nil {
		t.Error(err)
	}
}

// TestInvariantViolationEndsRun checks that a violated invariant ends the run and that no process is left running. To
// cause a violation, the checker is given team quotas that the controllers do not know.
func TestInvariantViolationEndsRun(t *testing.T) {
	cfg := smallConfig(t)
	dir := t.TempDir()
	r, err := newSizeRun(t.Context(), cfg, cfg.loadAt(6), dir, slog.New(slog.DiscardHandler))
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
		t.Errorf("ended with %v, want a violated quota", err)
	}
	checkNoProcesses(t, cfg)
}

// TestInterruptKillsProcesses checks that all processes are killed when the context of a run is cancelled.
func TestInterruptKillsProcesses(t *testing.T) {
	cfg := smallConfig(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Second, cancel)
	if _, err := Run(ctx, cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v, want context.Canceled", err)
	}
	checkNoProcesses(t, cfg)
}

// TestPortInUse checks that a port that is already in use causes a configuration error.
func TestPortInUse(t *testing.T) {
	cfg := smallConfig(t)
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", cfg.storeAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if _, err := Run(t.Context(), cfg, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrInvalidConfig) {
		t.Errorf("ended with %v, want ErrInvalidConfig", err)
	}
	checkNoProcesses(t, cfg)
}
