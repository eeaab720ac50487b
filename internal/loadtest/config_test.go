package loadtest

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// TestInvalidConfigurations checks that each invalid configuration is rejected with a single-line error that names the
// invalid setting.
func TestInvalidConfigurations(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		change   func(*Config)
		wantText string
	}{
		"no program":       {func(c *Config) { c.ControllerProgram = "/nowhere/pinebay" }, "program"},
		"unknown vary":     {func(c *Config) { c.Vary = "moons" }, "vary"},
		"no sizes":         {func(c *Config) { c.Sizes = nil }, "sizes"},
		"no workers":       {func(c *Config) { c.Sizes = []int{0} }, "workers"},
		"too much memory":  {func(c *Config) { c.Sizes = []int{1_000_000} }, "memory"},
		"too many sockets": {func(c *Config) { c.Load.TasksPerWorker, c.Sizes = 0.01, []int{1 << 17} }, "sockets"},
		"many processes":   {func(c *Config) { c.Vary, c.Sizes = VaryControllers, []int{1000} }, "processes"},
		"unknown trouble":  {func(c *Config) { c.Faults = []Fault{"rain"} }, "rain"},
		"short lease":      {func(c *Config) { c.Lease = c.HeartbeatInterval }, "lease"},
		"one slice":        {func(c *Config) { c.Slices = 1 }, "slices"},
		"privileged port":  {func(c *Config) { c.FirstPort = 80 }, "port"},
		"no time":          {func(c *Config) { c.MeasureTime = 0 }, "measured time"},
		"no tasks":         {func(c *Config) { c.Load.TasksPerWorker = 0 }, "tasks"},
		"odd share":        {func(c *Config) { c.Load.GangShare = 2 }, "share"},
		"no more asked":    {func(c *Config) { c.Load.TeamsAtLimit, c.Load.Overcommit = true, 1 }, "limits"},
	} {
		cfg := DefaultConfig()
		cfg.ControllerProgram, cfg.Sizes, cfg.Load.Controllers = program, []int{10}, 1
		if err := cfg.Validate(); err != nil {
			t.Fatalf("the valid base configuration is rejected: %v", err)
		}
		x.change(cfg)
		if err := cfg.Validate(); !errors.Is(err, ErrInvalidConfig) || !strings.Contains(err.Error(), x.wantText) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want a single line that names the setting", name, err)
		}
	}
}

// TestLoadScalesWithWorkers checks that the rates grow in proportion to the number of workers, and that the number of
// teams does not. It also checks the sizes of gangs and that urgent jobs have a latency of their own.
func TestLoadScalesWithWorkers(t *testing.T) {
	cfg := &Config{Vary: VaryWorkers, Load: Load{Workers: 100, StartsPerSecond: 50, UrgentJobsPerSecond: 2, Teams: 7}}
	l := cfg.loadAt(300)
	if l.Workers != 300 || l.StartsPerSecond != 150 || l.UrgentJobsPerSecond != 6 || l.Teams != 7 {
		t.Errorf("%+v", l)
	}
	if sizes := (Load{GangTasks: 64}).gangSizes(); len(sizes) != 6 || sizes[5] != 64 {
		t.Errorf("gang sizes %v, want six, up to 64", sizes)
	}
	if startLatencyOf(classUrgent) != UrgentStart || startLatencyOf(classArray) != TaskStart {
		t.Error("start latencies of urgent jobs are not recorded separately")
	}
}
