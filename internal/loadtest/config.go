package loadtest

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"pinebay/internal/config"
)

// ErrInvalidConfig is wrapped by all errors that are caused by the configuration of a load test.
var ErrInvalidConfig = errors.New("configuration")

// ScalingParameter is the parameter of the load that a load test varies: each size is a value of it.
type ScalingParameter string

// Parameters that can be varied.
const (
	VaryWorkers     ScalingParameter = "workers" // tasks, starts and jobs grow in proportion
	VaryStarts      ScalingParameter = "starts"
	VaryTeams       ScalingParameter = "teams"
	VaryTasks       ScalingParameter = "tasks"
	VaryControllers ScalingParameter = "controllers"
)

var scalingParameters = []ScalingParameter{VaryWorkers, VaryStarts, VaryTeams, VaryTasks, VaryControllers}

// Load describes the deployment and the work that the controllers handle at one size.
type Load struct {
	Controllers         int     `json:"controllers"`
	Workers             int     `json:"workers"`
	Teams               int     `json:"teams"`
	TasksPerWorker      float64 `json:"tasks_per_worker"`
	StartsPerSecond     float64 `json:"starts_per_s"`    // task starts, not counting urgent jobs and pipelines
	ArrayTasks          int     `json:"array_tasks"`     // per array; most starts are those of arrays
	GangShare           float64 `json:"gang_share"`      // share of the starts that are tasks of gangs
	GangTasks           int     `json:"gang_tasks"`      // in the largest gang
	UrgentJobsPerSecond float64 `json:"urgent_per_s"`    // urgent jobs have a single task
	CancelShare         float64 `json:"cancel_share"`    // share of the arrays that are cancelled
	PipelinesPerSecond  float64 `json:"pipelines_per_s"` // each is a chain of three dependent arrays
	TeamsAtLimit        bool    `json:"teams_at_limit"`  // teams have limits, and request more
	Overcommit          float64 `json:"overcommit"`      // with TeamsAtLimit: requested resources relative to the limit
	Zones               int     `json:"zones"`
}

// Config is the configuration of a load test.
type Config struct {
	ControllerProgram string           // path of the controller executable
	Vary              ScalingParameter // the parameter whose values are in Sizes
	Sizes             []int
	// Load is the load at every size, except for the parameter Vary. If that is VaryWorkers, the rates apply to
	// Load.Workers workers and are scaled in proportion to the size.
	Load Load

	HeartbeatInterval time.Duration // interval between two heartbeats of a worker
	Lease             time.Duration // duration of a worker's lease
	MeanRunTime       time.Duration // of all tasks except those of services

	Warmup      time.Duration // between the first submissions of jobs other than services and the measurement
	MeasureTime time.Duration
	Slices      int     // number of slices of MeasureTime; they show how much a metric varies
	Faults      []Fault // faults to inject after the measurement, one at a time
	Seed        uint64

	// Limits in the controllers' settings. The models of the key-value store and the cloud enforce theirs. The CPU and
	// memory usage of a controller is only measured.
	Quota config.Quota
	Store config.StoreLimits
	Cloud config.Cloud

	// WorkerProcesses is the number of workers, in addition to the hollow ones, that run as processes of their own.
	// Each runs WorkerProgram with WorkerArgs.
	WorkerProcesses int
	WorkerProgram   string
	WorkerArgs      []string

	FirstPort int    // the first of the loopback ports that the test uses
	LogDir    string // directory for the controllers' logs; if empty, they are discarded
	Ownership bool   // run the controllers with shard ownership enabled
}

// DefaultConfig returns a configuration with the proportions of a large deployment (18,000 workers with 240,000 tasks
// and 3,000 task starts per second), scaled down to sizes that a single machine can run.
func DefaultConfig() *Config {
	return &Config{
		ControllerProgram: "target/pinebay",
		Vary:              VaryWorkers,
		Sizes:             []int{250, 500, 750, 1000},
		Load: Load{
			Controllers:         3,
			Workers:             18_000,
			Teams:               200,
			Zones:               3,
			TasksPerWorker:      240_000. / 18_000,
			StartsPerSecond:     3000,
			ArrayTasks:          500,
			GangShare:           0.1,
			GangTasks:           64,
			UrgentJobsPerSecond: 10,
			PipelinesPerSecond:  30,
			CancelShare:         0.03,
			Overcommit:          1.5,
		},
		HeartbeatInterval: 5 * time.Second,
		Lease:             29 * time.Second,
		MeanRunTime:       40 * time.Second,
		Warmup:            45 * time.Second,
		MeasureTime:       30 * time.Second,
		Slices:            6,
		Seed:              1,
		Quota:             config.Quota{CoreShare: 1, RAMMB: 2048, MaxSockets: 19_000},
		Store:             config.StoreLimits{RPS: 600, WriteRPS: 180, ValueKB: 8, TxnOps: 16},
		Cloud:             config.Cloud{RPS: 4, ListLagSeconds: 8},
		WorkerProcesses:   3,
		FirstPort:         21_000,
	}
}

// loadAt returns the load at a size.
func (c *Config) loadAt(size int) Load {
	l := c.Load
	switch c.Vary {
	case VaryWorkers:
		factor := float64(size) / float64(l.Workers)
		l.Workers = size
		l.StartsPerSecond *= factor
		l.UrgentJobsPerSecond *= factor
		l.PipelinesPerSecond *= factor
	case VaryStarts:
		l.StartsPerSecond = float64(size)
	case VaryTeams:
		l.Teams = size
	case VaryTasks:
		l.TasksPerWorker = float64(size)
	case VaryControllers:
		l.Controllers = size
	}
	return l
}

// Limits on the values of a configuration.
const (
	maxProcesses = 200
	maxWorkers   = 1 << 20
	minSlices    = 2 // a single value does not show how much a metric varies
	minPort      = 1024
	maxPort      = 1<<16 - 1
)

// Resources of the host that a load test uses, as measured: memory in bytes for each worker, task and controller, and
// sockets. hostMemoryShare is the share of the host's memory that a load test may use.
const (
	workerBytes      = 80 << 10
	taskBytes        = 1 << 10
	controllerBytes  = 512 << 20
	socketsPerWorker = 1.25 // one connection for heartbeats, and sometimes one for commands
	reservedSockets  = 512
	hostMemoryShare  = 0.5
)

// Validate returns an error that wraps [ErrInvalidConfig] if the configuration is not valid or the host does not have
// enough resources for the load. The error is a single line that names the setting and its limits.
func (c *Config) Validate() error {
	checks := []func() error{c.validateProgram, c.validateSizes, c.validateFaults, c.validateTimes, c.validatePorts}
	for _, check := range checks {
		if err := check(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
		}
	}
	for _, size := range c.Sizes {
		l := c.loadAt(size)
		for _, check := range []func(Load) error{c.validateCounts, validateRates, validateHost} {
			if err := check(l); err != nil {
				return fmt.Errorf("%w: %s %d: %w", ErrInvalidConfig, c.Vary, size, err)
			}
		}
	}
	return nil
}

func (c *Config) validateProgram() error {
	if info, err := os.Stat(c.ControllerProgram); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %q is not an executable file; build the controller first", c.ControllerProgram)
	}
	return nil
}

func (c *Config) validateSizes() error {
	if !slices.Contains(scalingParameters, c.Vary) {
		return fmt.Errorf("vary: unknown parameter %q, want one of %v", c.Vary, scalingParameters)
	}
	if len(c.Sizes) == 0 {
		return errors.New("sizes: want at least one")
	}
	return nil
}

func (c *Config) validateFaults() error {
	for _, f := range c.Faults {
		if _, ok := injectors[f]; !ok {
			return fmt.Errorf("unknown fault %q, want one of %v", f, FaultNames())
		}
	}
	return nil
}

func (c *Config) validateTimes() error {
	for _, t := range []struct {
		name  string
		value time.Duration
	}{
		{"heartbeat interval", c.HeartbeatInterval},
		{"lease", c.Lease},
		{"run time", c.MeanRunTime},
		{"measured time", c.MeasureTime},
	} {
		if t.value <= 0 {
			return fmt.Errorf("%s: %v is not a positive duration", t.name, t.value)
		}
	}
	if c.Lease < 2*c.HeartbeatInterval {
		return fmt.Errorf("lease: %v is shorter than two heartbeat intervals of %v", c.Lease, c.HeartbeatInterval)
	}
	if c.Slices < minSlices {
		return fmt.Errorf(
			"slices: %d is too few to show how much a metric varies, want at least %d",
			c.Slices,
			minSlices,
		)
	}
	return nil
}

func (c *Config) validatePorts() error {
	last := c.FirstPort + sharedPorts + portsPerController*maxProcesses
	if c.FirstPort < minPort || last > maxPort {
		return fmt.Errorf("port: the ports %d to %d are not all between %d and %d", c.FirstPort, last, minPort, maxPort)
	}
	return nil
}

func (c *Config) validateCounts(l Load) error {
	switch {
	case l.Workers < 1 || l.Workers > maxWorkers:
		return fmt.Errorf("%d workers, want 1 to %d", l.Workers, maxWorkers)
	case l.Controllers < 1 || c.WorkerProcesses < 0 || l.Controllers+c.WorkerProcesses > maxProcesses:
		const message = "%d controllers and %d worker processes, want 1 to %d processes in total"
		return fmt.Errorf(message, l.Controllers, c.WorkerProcesses, maxProcesses)
	case l.Teams < 1:
		return fmt.Errorf("%d teams, want at least one", l.Teams)
	case l.Zones < 1:
		return fmt.Errorf("%d zones, want at least one", l.Zones)
	case l.ArrayTasks < 1 || l.GangTasks < 1:
		return fmt.Errorf(
			"%d tasks per array and %d tasks in the largest gang, want at least one each",
			l.ArrayTasks,
			l.GangTasks,
		)
	}
	return nil
}

func validateRates(l Load) error {
	if !(l.TasksPerWorker > 0) { // negated so that NaN is rejected too
		return fmt.Errorf("%g tasks per worker, want more than 0", l.TasksPerWorker)
	}
	for _, r := range []struct {
		name       string
		value, max float64
	}{
		{"starts per second", l.StartsPerSecond, math.MaxFloat64},
		{"urgent jobs per second", l.UrgentJobsPerSecond, math.MaxFloat64},
		{"pipelines per second", l.PipelinesPerSecond, math.MaxFloat64},
		{"share of gangs", l.GangShare, 1},
		{"share of cancelled arrays", l.CancelShare, 1},
	} {
		if r.value < 0 || r.value > r.max {
			return fmt.Errorf("%s: %g is not between 0 and %g", r.name, r.value, r.max)
		}
	}
	if l.TeamsAtLimit && !(l.Overcommit > 1) { // negated so that NaN is rejected too
		return fmt.Errorf("overcommit: %g, want more than 1 if teams are to exceed their limits", l.Overcommit)
	}
	return nil
}

// validateHost checks that the host has enough memory and sockets for the load.
func validateHost(l Load) error {
	if err := validateMemory(l); err != nil {
		return err
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit on open files: %w", err)
	}
	if sockets := uint64(float64(l.Workers)*socketsPerWorker) + reservedSockets; sockets > limit.Cur {
		return fmt.Errorf("needs about %d sockets, but ulimit -n allows only %d open files", sockets, limit.Cur)
	}
	return nil
}

func validateMemory(l Load) error {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return fmt.Errorf("read /proc: %w", err)
	}
	info, err := fs.Meminfo()
	if err != nil {
		return fmt.Errorf("read the host's memory: %w", err)
	}
	if info.MemTotal == nil {
		return errors.New("the total memory of the host is unknown: /proc/meminfo has no MemTotal")
	}
	tasks := float64(l.Workers) * l.TasksPerWorker
	need := float64(l.Workers)*workerBytes + tasks*taskBytes + float64(l.Controllers)*controllerBytes
	if limit := float64(*info.MemTotal) * kib * hostMemoryShare; need > limit {
		return fmt.Errorf(
			"needs about %.0f MB of memory, more than %.0f MB, which is half of the host's memory",
			need/mib,
			limit/mib,
		)
	}
	return nil
}

// Units of memory, in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
)
