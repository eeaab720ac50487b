package loadtest

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// ErrInvalidConfig is wrapped by every complaint about a configuration.
var ErrInvalidConfig = errors.New("configuration")

// Dimension is what differs between the sizes of a run.
type Dimension string

// Dimensions.
const (
	Workers     Dimension = "workers" // and with them tasks, starts and jobs, in proportion
	Starts      Dimension = "starts"
	Teams       Dimension = "teams"
	Tasks       Dimension = "tasks"
	Controllers Dimension = "controllers"
)

var dimensions = []Dimension{Workers, Starts, Teams, Tasks, Controllers}

// Load is what one size of a run asks of the controllers.
type Load struct {
	Controllers    int     `json:"controllers"`
	Workers        int     `json:"workers"`
	Teams          int     `json:"teams"`
	TasksPerWorker float64 `json:"tasks_per_worker"`
	StartsPerS     float64 `json:"starts_per_s"`
	ArrayTasks     int     `json:"array_tasks"`     // of each array; they make most of the starts
	GangShare      float64 `json:"gang_share"`      // of the starts
	GangTasks      int     `json:"gang_tasks"`      // of the largest gang
	UrgentPerS     float64 `json:"urgent_per_s"`    // single urgent tasks a second
	CancelShare    float64 `json:"cancel_share"`    // of the arrays
	PipelinesPerS  float64 `json:"pipelines_per_s"` // pipelines a second, each of three arrays after one another
	TeamsAtLimit   bool    `json:"teams_at_limit"`  // teams ask for more than their limits
	Overcommit     float64 `json:"overcommit"`      // with it: how many times its limit a team asks for
	Zones          int     `json:"zones"`
}

// Config is a run.
type Config struct {
	Program string // the built controller
	Vary    Dimension
	Sizes   []int
	Load    Load
	// StartsPerWorker and the like keep proportions when workers vary.
	HeartbeatInterval, Lease time.Duration
	MeanRunTime              time.Duration // mean of an array's tasks
	Warmup                   time.Duration
	MeasureTime              time.Duration
	Slices                   int
	Seed                     uint64
	Faults                   []Fault
	Port                     int
	CoreShare                float64
	RAMMB                    float64
	MaxSockets               int
	StateRPS                 float64
	StateWriteRPS            float64
	StateTxnOps              int
	CloudRPS                 float64
	// WorkerProcesses is how many workers beside the hollow ones are processes of their own, of the
	// program WorkerProgram with the arguments WorkerArgs.
	WorkerProcesses int
	WorkerProgram   string
	WorkerArgs      []string
	LogDir          string // where the controllers' logs go; empty: nowhere
	Ownership       bool   // the controllers part the machines among them
}

// Bounds of what a run may take of the machine it runs on.
const (
	maxProcesses     = 200
	memoryShare      = 0.5 // of the machine's memory
	workerBytes      = 80 << 10
	taskBytes        = 1 << 10
	controllerBytes  = 512 << 20
	socketsPerWorker = 1.25 // its own connection, and now and then a command's
	socketsReserve   = 512
	// portsNeeded are those of the state service, the cloud, hollow workers, workers that are
	// processes, and their observer.
	portsNeeded = 5
	// portsPerController are its own and the mesh's.
	portsPerController = 2
	maxWorkers         = 1 << 20
)

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

// Validate refuses a configuration that can't be run, with what is wrong and what the bound is.
func (c *Config) Validate() error {
	fail := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s", ErrInvalidConfig, fmt.Sprintf(format, args...))
	}
	if info, err := os.Stat(c.Program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return fail("program %q is not an executable file; build it first", c.Program)
	}
	if !slices.Contains(dimensions, c.Vary) {
		return fail("vary %q is none of %v", c.Vary, dimensions)
	}
	if len(c.Sizes) == 0 {
		return fail("no sizes")
	}
	for _, t := range c.Faults {
		if _, ok := faults[t]; !ok {
			return fail("trouble %q is none of %v", t, FaultNames())
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"report interval", c.HeartbeatInterval}, {"lease", c.Lease}, {"run time", c.MeanRunTime}, {"measured time", c.MeasureTime}} {
		if d.value <= 0 {
			return fail("%s: %v is not a positive duration", d.name, d.value)
		}
	}
	if c.Lease < 2*c.HeartbeatInterval {
		return fail("lease: %v is shorter than two reports of %v", c.Lease, c.HeartbeatInterval)
	}
	if c.Slices < 2 {
		return fail("slices: %d are too few to tell the spread, at least 2 are needed", c.Slices)
	}
	if last := c.Port + portsNeeded + portsPerController*maxProcesses; c.Port < 1024 || last > 65535 {
		return fail("port: %d leaves no room for the others", c.Port)
	}
	for _, size := range c.Sizes {
		if err := c.validateLoad(c.loadAt(size)); err != nil {
			return fmt.Errorf("%w: %s %d: %w", ErrInvalidConfig, c.Vary, size, err)
		}
	}
	return nil
}

func (c *Config) validateLoad(l Load) error {
	switch {
	case l.Workers < 1 || l.Workers > maxWorkers:
		return fmt.Errorf("%d workers, want 1 to %d", l.Workers, maxWorkers)
	case l.Controllers < 1 || c.WorkerProcesses < 0 || l.Controllers+c.WorkerProcesses > maxProcesses:
		return fmt.Errorf(
			"%d controllers and %d worker processes, want 1 to %d processes in all",
			l.Controllers,
			c.WorkerProcesses,
			maxProcesses,
		)
	case l.Teams < 1:
		return fmt.Errorf("%d teams, want at least one", l.Teams)
	case l.Zones < 1:
		return fmt.Errorf("%d zones, want at least one", l.Zones)
	case !(l.TasksPerWorker > 0):
		return fmt.Errorf("%g tasks a worker, want more than none", l.TasksPerWorker)
	case l.StartsPerS < 0 || l.UrgentPerS < 0 || l.PipelinesPerS < 0 || l.GangShare < 0 || l.GangShare > 1 || l.CancelShare < 0 || l.CancelShare > 1:
		return errors.New("a rate or share is out of range")
	case l.ArrayTasks < 1 || l.GangTasks < 1:
		return errors.New("arrays and gangs need at least one task")
	case l.TeamsAtLimit && !(l.Overcommit > 1):
		return fmt.Errorf("teams at their limits ask for more than them, not for %g times as much", l.Overcommit)
	}
	return c.validateHost(l)
}

// validateHost refuses what the machine at hand can't bear.
func (c *Config) validateHost(l Load) error {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return fmt.Errorf("read /proc: %w", err)
	}
	info, err := fs.Meminfo()
	if err != nil || info.MemTotal == nil {
		return fmt.Errorf("read the machine's memory: %w", err)
	}
	const kib = 1 << 10
	tasks := float64(l.Workers) * l.TasksPerWorker
	need := float64(l.Workers)*workerBytes + tasks*taskBytes + float64(l.Controllers)*controllerBytes
	if most := float64(*info.MemTotal) * kib * memoryShare; need > most {
		return fmt.Errorf(
			"needs about %.0f MB of memory, more than %.0f MB, half of the machine's",
			need/(1<<20),
			most/(1<<20),
		)
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of sockets: %w", err)
	}
	if sockets := uint64(float64(l.Workers)*socketsPerWorker) + socketsReserve; sockets > limit.Cur {
		return fmt.Errorf("needs about %d sockets, more than ulimit -n allows: %d", sockets, limit.Cur)
	}
	return nil
}
