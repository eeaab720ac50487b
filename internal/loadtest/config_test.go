package loadtest

import (
	"errors"
	"os"
	"strings"
	"testing"
)

// TestInvalidConfigurations: each invalid configuration is refused with one line that names what is
// wrong.
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
		cfg := DefaultConfig()
		cfg.Program, cfg.Sizes, cfg.Load.Controllers = program, []int{10}, 1
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

// TestLoadsKeepProportions: with more workers, everything that belongs to them grows alike.
func TestLoadsKeepProportions(t *testing.T) {
	cfg := &Config{Vary: Workers, Load: Load{Workers: 100, StartsPerS: 50, UrgentPerS: 2, Teams: 7}}
	l := cfg.loadAt(300)
	if l.Workers != 300 || l.StartsPerS != 150 || l.UrgentPerS != 6 || l.Teams != 7 {
		t.Errorf("%+v", l)
	}
	if sizes := (Load{GangTasks: 64}).gangSizes(); len(sizes) != 6 || sizes[5] != 64 {
		t.Errorf("gangs of %v", sizes)
	}
	if startLatencyOf(classUrgent) != UrgentStart || startLatencyOf(classArray) != TaskStart {
		t.Error("urgent jobs count as others")
	}
}
