package loadtest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// ErrInvariantViolated is wrapped when an oracle saw a broken rule.
var ErrInvariantViolated = errors.New("a rule was broken")

// run is one size of a run: real controllers, and models of everything around them.
type run struct {
	cfg          *Config
	load         Load
	log          *slog.Logger
	ctx          context.Context
	stop         context.CancelCauseFunc
	wg           sync.WaitGroup
	startedAt    time.Time
	meter        *Meter
	teams        []config.Team
	machineTypes []protocol.MachineType

	controllers  []*controllerProcess
	state        *simulation.Store
	cloud        *simulation.Cloud
	ledger       *simulation.AnswerChecker
	users        *simulation.UserClient
	surroundings *simulation.Environment

	mu          sync.Mutex // guards what follows
	rng         *rand.Rand
	world       *simulation.World
	agents      map[string]*simulation.Agent // by the address of their machine
	workerHosts map[string]string            // addresses by machine
	acceptedAt  map[string]time.Duration     // when jobs were accepted of which no task has started
	jobCount    int
	// processes are the workers that are processes of their own, by machine.
	processes map[string]*workerProcessHandle

	replies      atomic.Pointer[replyCounter]
	acceptedJobs atomic.Int64
	replyCount   atomic.Int64 // of controllers to reports
}

// What machines and tasks are like: all tasks but those of gangs take the same, and a machine
// has room for a fifth more tasks than it is meant to run.
const (
	machineType     = "hollow"
	taskCPUs        = 2
	taskMemoryGB    = 4
	capacityFactor  = 1.2
	machineGPUs     = 2
	imageGB         = 1
	fetchGBPerS     = 100
	fetchTime       = 50 * time.Millisecond
	imageCount      = 30
	tickInterval    = 20 * time.Millisecond
	userConnections = 256
	// bootS is so long that machines which have nothing to do are kept: the size is to stay what it is.
	bootS = 3600
)

// newRun puts everything in place but starts nothing yet.
func newRun(ctx context.Context, cfg *Config, load Load, dir string, log *slog.Logger) (*run, error) {
	slots := float64(int(load.TasksPerWorker*capacityFactor + 1))
	r := &run{
		cfg:         cfg,
		load:        load,
		log:         log,
		startedAt:   time.Now(),
		meter:       NewMeter(),
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(load.Workers))),
		agents:      map[string]*simulation.Agent{},
		workerHosts: map[string]string{},
		acceptedAt:  map[string]time.Duration{},
		processes:   map[string]*workerProcessHandle{},
		state:       simulation.NewStore(),
		machineTypes: []protocol.MachineType{
			{
				Name:             machineType,
				CPUs:             slots * taskCPUs,
				GPUs:             machineGPUs,
				MemoryGB:         slots * taskMemoryGB,
				CacheGB:          imageCount * imageGB,
				FetchGBPerSecond: fetchGBPerS,
				HourlyPrice:      10,
				HourlySpotPrice:  5,
				BootSeconds:      bootS,
				Zones:            zoneNames(load.Zones),
			},
		},
	}
	if cfg.WorkerProcesses > 0 {
		process := r.machineTypes[0]
		process.Name = workerProcessType
		r.machineTypes = append(r.machineTypes, process)
	}
	r.teams = newTeams(load)
	r.ctx, r.stop = context.WithCancelCause(ctx)
	r.state.SetLimits(cfg.stateLimits())
	r.newWorld()
	r.newCloud()
	r.ledger = simulation.NewAnswerChecker(r.allTasksDone, r.recordCancelled)
	r.ledger.Dependencies, r.ledger.CancelTimeout = r.dependencies, r.world.CancelTimeout
	network := meteredNetwork{from: []byte{127, 0, 0, 1}, bytes: &r.meter.bytes[LinkUsers]}
	r.users = &simulation.UserClient{
		Client: transport.NewClient(network, userConnections, userConnections, time.Minute), Checker: r.ledger,
		Now: r.now, OnError: r.fail, OnAnswer: r.recordUserReply,
	}
	r.surroundings = &simulation.Environment{
		Lock:              &r.mu,
		Now:               r.now,
		Random:            random.New(cfg.Seed),
		HeartbeatInterval: cfg.HeartbeatInterval,
		OnError:           r.fail,
	}
	for node := range load.Controllers {
		s := controllerSettings(cfg, load, r.teams, node, cfg.stateAddr(), cfg.cloudAddr())
		p, err := newController(cfg, dir, s)
		if err != nil {
			return nil, err
		}
		r.controllers = append(r.controllers, p)
		r.surroundings.Controllers = append(
			r.surroundings.Controllers,
			simulation.Controller{Name: p.name, Addr: p.addr},
		)
	}
	return r, nil
}

func (c *Config) stateAddr() string { return fmt.Sprintf("127.0.0.1:%d", c.Port) }

func (c *Config) cloudAddr() string { return fmt.Sprintf("127.0.0.1:%d", c.Port+1) }

func (c *Config) workersPort() int { return c.Port + 2 }

func (c *Config) workerProcessPort() int { return c.Port + 3 }

func (c *Config) observerAddr() string { return fmt.Sprintf("127.0.0.1:%d", c.Port+4) }

func (r *run) newWorld() {
	r.world = simulation.NewWorld(4*r.cfg.Lease, fetchTime, r.cfg.MeanRunTime)
	// News of a cancellation and the last command before it may be under way for as long as a
	// direct command may take.
	r.world.CommandTransitTime = r.cfg.HeartbeatInterval
	r.world.RunTimeOf = r.runTime
	r.world.OnStart = r.recordTaskStart
	for _, t := range r.teams {
		r.world.TeamLimits[t.Name] = [2]float64{t.MaxCPUs, t.MaxGPUs}
	}
}

// runTime is a half to one and a half times the mean, always the same for a task.
func (r *run) runTime(id protocol.TaskID) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, id.JobID, id.Index)
	const parts = 1 << 10
	return r.cfg.MeanRunTime/2 + r.cfg.MeanRunTime*time.Duration(h.Sum32()%parts)/parts
}

func (r *run) newCloud() {
	r.cloud = simulation.NewCloud(&r.mu, r.now)
	r.cloud.Types, r.cloud.ListLag = r.machineTypes, config.Seconds(r.cfg.cloudLimits().ListLagSeconds)
	r.cloud.Capacity = func(protocol.Rental) int { return 0 }
	r.cloud.BootTime = func(string) time.Duration { return 0 }
	r.cloud.Address = func(number int) string {
		if process := number - r.load.Workers; process > 0 {
			return fmt.Sprintf("%s:%d", workerProcessIP(process), r.cfg.workerProcessPort())
		}
		return fmt.Sprintf("%s:%d", workerIP(number), r.cfg.workersPort())
	}
	r.cloud.StartWorker, r.cloud.StopWorker = r.startWorker, r.stopWorker
}

func (r *run) now() time.Duration { return time.Since(r.startedAt) }

// randomDuration returns a time up to d; the lock is held.
func (r *run) randomDuration(d time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(d))
}

// fail ends the run.
func (r *run) fail(err error) { r.stop(err) }

// start brings up the services, the controllers and the workers.
func (r *run) start() error {
	for _, s := range []struct {
		link Link
		addr string
		h    http.Handler
	}{
		{LinkState, r.cfg.stateAddr(), r.state},
		{LinkCloud, r.cfg.cloudAddr(), r.cloud},
		{LinkCommands, fmt.Sprintf("0.0.0.0:%d", r.cfg.workersPort()), http.HandlerFunc(r.serveCommands)},
		{LinkObserver, r.cfg.observerAddr(), http.HandlerFunc(r.serveObserver)},
	} {
		if err := r.serve(s.link, s.addr, s.h); err != nil {
			return err
		}
	}
	r.wg.Go(r.advanceModels)
	for _, p := range r.controllers {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := zoneNames(r.load.Zones)
	for i := range r.load.Workers {
		r.cloud.Start(machineType, zones[i%len(zones)], false)
	}
	for i := range r.cfg.WorkerProcesses {
		r.cloud.Start(workerProcessType, zones[i%len(zones)], false)
	}
	return nil
}

// advanceModels lets time pass for the models, and lets the oracles judge.
func (r *run) advanceModels() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		now := r.now()
		r.state.Advance(now)
		r.mu.Lock()
		r.world.Advance(now)
		r.mu.Unlock()
		if err := r.checkInvariants(); err != nil {
			r.fail(err)
			return
		}
	}
}

// checkInvariants returns the first broken rule.
func (r *run) checkInvariants() error {
	r.mu.Lock()
	broken := append([]string{}, r.world.Violations...)
	late := r.world.LateStarts
	r.mu.Unlock()
	broken = append(broken, r.ledger.Violations()...)
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d starts after a confirmed cancellation", late))
	}
	for _, p := range r.controllers {
		if p.exitedUnexpectedly() {
			return fmt.Errorf("%s ended by itself", p.name)
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s (%d in all)", ErrInvariantViolated, broken[0], len(broken))
	}
	return nil
}

// shutdown ends everything.
func (r *run) shutdown() {
	r.stop(context.Canceled)
	r.mu.Lock()
	r.cloud.Close()
	processes := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, p := range r.controllers {
		p.kill()
	}
	r.wg.Wait()
}

// leader returns the controller that the state service names, or nil.
func (r *run) leader() *controllerProcess {
	pair := r.state.Get(storage.LeaderKey)
	var rec storage.LeaderRecord
	if pair.Revision == 0 || protocol.Decode(pair.Value, &rec) != nil {
		return nil
	}
	for _, p := range r.controllers {
		if p.name == rec.Controller {
			return p
		}
	}
	return nil
}

// sleep waits, and returns why the run has ended if it has.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	}
}

// waitUntil waits until something is so, at most for a time, and says whether it is.
func (r *run) waitUntil(what string, most time.Duration, ok func() bool) (bool, error) {
	deadline := time.Now().Add(most)
	const look = 50 * time.Millisecond
	for time.Now().Before(deadline) {
		if ok() {
			return true, nil
		}
		if err := r.sleep(look); err != nil {
			return false, err
		}
	}
	r.log.Info("not reached", "what", what, "within", most)
	return false, nil
}

// replyCounter counts the workers that had an answer to a report since some moment.
type replyCounter struct {
	since time.Time

	mu      sync.Mutex
	firstAt time.Time // when the first had one
	workers map[*simulation.Agent]bool
}

// recordHeartbeatReply notes that a worker had an answer.
func (r *run) recordHeartbeatReply(a *simulation.Agent) {
	r.replyCount.Add(1)
	c := r.replies.Load()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.workers) == 0 {
		c.firstAt = time.Now()
	}
	c.workers[a] = true
}

// count returns how many workers had an answer, and when the first had one.
func (c *replyCounter) count() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workers), c.firstAt
}

// countReplies begins to count anew.
func (r *run) countReplies() *replyCounter {
	c := &replyCounter{since: time.Now(), workers: map[*simulation.Agent]bool{}}
	r.replies.Store(c)
	return c
}

// tempDir returns a directory for the settings files, and what removes it.
func tempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "pinebay-scale-")
	if err != nil {
		return "", nil, fmt.Errorf("settings: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
