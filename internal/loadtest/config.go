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

// ErrInvalidConfig is wrapped by every error that the configuration of a load test causes.
var ErrInvalidConfig = errors.New("configuration")

// Dimension is what differs between the sizes of a load test.
type Dimension string

// Dimensions.
const (
	Workers     Dimension = "workers" // and with them, in proportion, tasks, starts and jobs
	Starts      Dimension = "starts"
	Teams       Dimension = "teams"
	Tasks       Dimension = "tasks"
	Controllers Dimension = "controllers"
)

var dimensions = []Dimension{Workers, Starts, Teams, Tasks, Controllers}

// Load is what one size asks of the controllers.
type Load struct {
	Controllers    int     `json:"controllers"`
	Workers        int     `json:"workers"`
	Teams          int     `json:"teams"`
	TasksPerWorker float64 `json:"tasks_per_worker"`
	StartsPerS     float64 `json:"starts_per_s"`    // task starts, without those of urgent jobs and pipelines
	ArrayTasks     int     `json:"array_tasks"`     // of each array; arrays make most of the starts
	GangShare      float64 `json:"gang_share"`      // of the starts
	GangTasks      int     `json:"gang_tasks"`      // of the largest gang
	UrgentPerS     float64 `json:"urgent_per_s"`    // urgent jobs of a single task
	CancelShare    float64 `json:"cancel_share"`    // of the arrays
	PipelinesPerS  float64 `json:"pipelines_per_s"` // each of three arrays that depend on one another
	TeamsAtLimit   bool    `json:"teams_at_limit"`  // teams have limits and ask for more
	Overcommit     float64 `json:"overcommit"`      // with TeamsAtLimit: how many times its limit a team asks for
	Zones          int     `json:"zones"`
}

// Config is the configuration of a load test.
type Config struct {
	Program string    // path of the controller's executable
	Vary    Dimension // what the sizes are sizes of
	Sizes   []int
	// Load is the load of every size, but for what Vary names. If that is Workers, the rates belong
	// to Load.Workers and follow the size.
	Load Load

	HeartbeatInterval time.Duration // of the workers
	Lease             time.Duration // of the workers
	MeanRunTime       time.Duration // of tasks, those of services excepted

	Warmup      time.Duration // between the first arrivals and the measurement
	MeasureTime time.Duration
	Slices      int     // of the measured time; they show the spread of a figure
	Faults      []Fault // injected after the measurement, one after the other
	Seed        uint64

	// The limits of the settings. The models of the key-value store and the cloud enforce theirs; a
	// controller's use of processor and memory is only measured.
	Quota config.Quota
	Store config.StoreLimits
	Cloud config.Cloud

	// WorkerProcesses is the number of workers, beside the hollow ones, that are processes of their
	// own: of WorkerProgram, started with WorkerArgs.
	WorkerProcesses int
	WorkerProgram   string
	WorkerArgs      []string

	Port      int    // the first of the loopback ports
	LogDir    string // for the controllers' logs; empty: they are discarded
	Ownership bool   // the controllers shard the machines
}

// DefaultConfig returns the proportions of a large deployment, 18,000 workers with 240,000 tasks
// and 3,000 starts a second, at sizes that a single machine can bear.
func DefaultConfig() *Config {
	return &Config{
		Program: "target/pinebay",
		Vary:    Workers,
		Sizes:   []int{250, 500, 750, 1000},
		Load: Load{
			Controllers:    3,
			Workers:        18_000,
			Teams:          200,
			Zones:          3,
			TasksPerWorker: 240_000. / 18_000,
			StartsPerS:     3000,
			ArrayTasks:     500,
			GangShare:      0.1,
			GangTasks:      64,
			UrgentPerS:     10,
			PipelinesPerS:  30,
			CancelShare:    0.03,
			Overcommit:     1.5,
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
		Port:              21_000,
	}
}

// loadAt returns the load of one size.
func (c *Config) loadAt(size int) Load {
	l := c.Load
	switch c.Vary {
	case Workers:
		factor := float64(size) / float64(l.Workers)
		l.Workers = size
		l.StartsPerS *= factor
		l.UrgentPerS *= factor
		l.PipelinesPerS *= factor
	case Starts:
		l.StartsPerS = float64(size)
	case Teams:
		l.Teams = size
	case Tasks:
		l.TasksPerWorker = float64(size)
	case Controllers:
		l.Controllers = size
	}
	return l
}

// Bounds of a configuration.
const (
	maxProcesses = 200
	maxWorkers   = 1 << 20
	minSlices    = 2 // with fewer, a figure has no spread
	minPort      = 1024
	maxPort      = 1<<16 - 1
)

// What a load test takes of the host, as measured, and the share of the host that it may take.
const (
	workerBytes      = 80 << 10
	taskBytes        = 1 << 10
	controllerBytes  = 512 << 20
	socketsPerWorker = 1.25 // its own connection, and now and then one for commands
	reservedSockets  = 512
	hostMemoryShare  = 0.5
)

// Validate returns an error that wraps ErrInvalidConfig if the configuration is not valid or the
// host cannot bear the load. It names the setting and its bounds in one line.
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
	if info, err := os.Stat(c.Program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("program %q is not an executable file; build it first", c.Program)
	}
	return nil
}

func (c *Config) validateSizes() error {
	if !slices.Contains(dimensions, c.Vary) {
		return fmt.Errorf("vary %q is none of %v", c.Vary, dimensions)
	}
	if len(c.Sizes) == 0 {
		return errors.New("no sizes")
	}
	return nil
}

func (c *Config) validateFaults() error {
	for _, f := range c.Faults {
		if _, ok := injectors[f]; !ok {
			return fmt.Errorf("trouble %q is none of %v", f, FaultNames())
		}
	}
	return nil
}

func (c *Config) validateTimes() error {
	for _, t := range []struct {
		name  string
		value time.Duration
	}{
		{"report interval", c.HeartbeatInterval},
		{"lease", c.Lease},
		{"run time", c.MeanRunTime},
		{"measured time", c.MeasureTime},
	} {
		if t.value <= 0 {
			return fmt.Errorf("%s: %v is not a positive duration", t.name, t.value)
		}
	}
	if c.Lease < 2*c.HeartbeatInterval {
		return fmt.Errorf("lease: %v is shorter than two reports of %v", c.Lease, c.HeartbeatInterval)
	}
	if c.Slices < minSlices {
		return fmt.Errorf("slices: %d are too few to show the spread, at least %d are needed", c.Slices, minSlices)
	}
	return nil
}

func (c *Config) validatePorts() error {
	last := c.Port + sharedPorts + portsPerController*maxProcesses
	if c.Port < minPort || last > maxPort {
		return fmt.Errorf("port: %d to %d are not between %d and %d", c.Port, last, minPort, maxPort)
	}
	return nil
}

func (c *Config) validateCounts(l Load) error {
	switch {
	case l.Workers < 1 || l.Workers > maxWorkers:
		return fmt.Errorf("%d workers, want 1 to %d", l.Workers, maxWorkers)
	case l.Controllers < 1 || c.WorkerProcesses < 0 || l.Controllers+c.WorkerProcesses > maxProcesses:
		const message = "%d controllers and %d worker processes, want 1 to %d processes in all"
		return fmt.Errorf(message, l.Controllers, c.WorkerProcesses, maxProcesses)
	case l.Teams < 1:
		return fmt.Errorf("%d teams, want at least one", l.Teams)
	case l.Zones < 1:
		return fmt.Errorf("%d zones, want at least one", l.Zones)
	case l.ArrayTasks < 1 || l.GangTasks < 1:
		return fmt.Errorf("%d tasks an array and %d a gang, want at least one", l.ArrayTasks, l.GangTasks)
	}
	return nil
}

func validateRates(l Load) error {
	if !(l.TasksPerWorker > 0) { // true for NaN, too
		return fmt.Errorf("%g tasks a worker, want more than none", l.TasksPerWorker)
	}
	for _, r := range []struct {
		name       string
		value, max float64
	}{
		{"starts a second", l.StartsPerS, math.MaxFloat64},
		{"urgent jobs a second", l.UrgentPerS, math.MaxFloat64},
		{"pipelines a second", l.PipelinesPerS, math.MaxFloat64},
		{"share of gangs", l.GangShare, 1},
		{"share of cancelled arrays", l.CancelShare, 1},
	} {
		if r.value < 0 || r.value > r.max {
			return fmt.Errorf("%s: %g is not between 0 and %g", r.name, r.value, r.max)
		}
	}
	if l.TeamsAtLimit && !(l.Overcommit > 1) { // true for NaN, too
		return fmt.Errorf("teams at their limits ask for more than them, not for %g times as much", l.Overcommit)
	}
	return nil
}

// validateHost refuses a load that the host cannot bear.
func validateHost(l Load) error {
	if err := validateMemory(l); err != nil {
		return err
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of sockets: %w", err)
	}
	if sockets := uint64(float64(l.Workers)*socketsPerWorker) + reservedSockets; sockets > limit.Cur {
		return fmt.Errorf("needs about %d sockets, more than ulimit -n allows: %d", sockets, limit.Cur)
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
		return errors.New("the host's memory is not known")
	}
	tasks := float64(l.Workers) * l.TasksPerWorker
	need := float64(l.Workers)*workerBytes + tasks*taskBytes + float64(l.Controllers)*controllerBytes
	if limit := float64(*info.MemTotal) * kib * hostMemoryShare; need > limit {
		return fmt.Errorf("needs about %.0f MB of memory, more than %.0f MB, half of the host's", need/mib, limit/mib)
	}
	return nil
}

// Bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
)
