package loadtest

import (
	"context"
	"fmt"
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

// run is the test of one size: controller processes, and models of everything around them. Models
// are called from many goroutines; mu guards those that do not lock themselves.
type run struct {
	cfg          *Config
	load         Load
	log          *slog.Logger
	ctx          context.Context // ends with the run; its cause is why
	stop         context.CancelCauseFunc
	wg           sync.WaitGroup
	startedAt    time.Time
	teams        []config.Team
	machineTypes []protocol.MachineType // of hollow workers, and of workers that are processes

	controllers []*controllerProcess
	store       *simulation.Store
	cloud       *simulation.Cloud
	checker     *simulation.AnswerChecker
	users       *simulation.UserClient
	environment *simulation.Environment // of the hollow workers

	meter        *Meter
	replies      atomic.Pointer[replyCounter]
	replyCount   atomic.Int64 // replies to heartbeats
	acceptedJobs atomic.Int64

	mu          sync.Mutex // guards the fields below
	rng         *rand.Rand
	world       *simulation.World
	agents      map[string]*simulation.Agent // of hollow workers, by IP address
	workerHosts map[string]string            // the IP addresses of hollow workers, by machine
	processes   map[string]*process          // workers that are processes, by machine; nil after the end
	acceptedAt  map[string]time.Duration     // jobs of which no task has started yet
	jobCount    int
}

// newRun prepares a run, with settings files in dir, but starts nothing.
func newRun(ctx context.Context, cfg *Config, load Load, dir string, log *slog.Logger) (*run, error) {
	r := &run{
		cfg:          cfg,
		load:         load,
		log:          log,
		startedAt:    time.Now(),
		teams:        newTeams(load),
		machineTypes: newMachineTypes(cfg, load),
		store:        simulation.NewStore(),
		meter:        NewMeter(),
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(load.Workers))),
		agents:       map[string]*simulation.Agent{},
		workerHosts:  map[string]string{},
		processes:    map[string]*process{},
		acceptedAt:   map[string]time.Duration{},
	}
	r.ctx, r.stop = context.WithCancelCause(ctx)
	r.store.SetLimits(cfg.Store)
	r.world = r.newWorld()
	r.cloud = r.newCloud()
	r.checker = simulation.NewAnswerChecker(r.allTasksDone, r.recordCancelled)
	r.checker.Dependencies, r.checker.CancelTimeout = r.dependencies, r.world.CancelTimeout
	r.users = r.newUsers()
	r.environment = &simulation.Environment{
		Lock:              &r.mu,
		Now:               r.now,
		Random:            random.New(cfg.Seed),
		HeartbeatInterval: cfg.HeartbeatInterval,
		OnError:           r.fail,
	}
	for number := range load.Controllers {
		p, err := newController(cfg, dir, controllerSettings(cfg, load, r.teams, number))
		if err != nil {
			return nil, err
		}
		r.controllers = append(r.controllers, p)
		r.environment.Controllers = append(
			r.environment.Controllers,
			simulation.Controller{Name: p.name, Addr: p.addr},
		)
	}
	return r, nil
}

func (r *run) newUsers() *simulation.UserClient {
	const connections, idleTimeout = 256, time.Minute
	network := meteredNetwork{from: []byte{127, 0, 0, 1}, bytes: &r.meter.bytes[LinkUsers]}
	return &simulation.UserClient{
		Client:   transport.NewClient(network, connections, connections, idleTimeout),
		Checker:  r.checker,
		Now:      r.now,
		OnError:  r.fail,
		OnAnswer: r.recordUserReply,
	}
}

// start starts the services, the controllers and the workers.
func (r *run) start() error {
	for _, s := range []struct {
		link    Link
		addr    string
		handler http.Handler
	}{
		{LinkState, r.cfg.storeAddr(), r.store},
		{LinkCloud, r.cfg.cloudAddr(), r.cloud},
		{LinkCommands, fmt.Sprintf("0.0.0.0:%d", r.cfg.Port+hollowWorkersPort), http.HandlerFunc(r.serveCommands)},
		{LinkObserver, r.cfg.observerAddr(), http.HandlerFunc(r.serveObserver)},
	} {
		if err := r.serve(s.link, s.addr, s.handler); err != nil {
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
		r.cloud.Start(hollowWorkerType, zones[i%len(zones)], false)
	}
	for i := range r.cfg.WorkerProcesses {
		r.cloud.Start(workerProcessType, zones[i%len(zones)], false)
	}
	return nil
}

// shutdown ends everything and waits for it.
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

// fail ends the run with an error. Only the first one counts.
func (r *run) fail(err error) { r.stop(err) }

// cause returns why the run has ended, or nil if it has not.
func (r *run) cause() error { return context.Cause(r.ctx) }

// now is the time since the start of the run, on the models' clock.
func (r *run) now() time.Duration { return time.Since(r.startedAt) }

// randomDuration returns a time up to limit. The caller holds mu.
func (r *run) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(limit))
}

// leader returns the controller that holds the leader's lease, or nil if the key-value store names
// none.
func (r *run) leader() *controllerProcess {
	pair := r.store.Get(storage.LeaderKey)
	var record storage.LeaderRecord
	if pair.Revision == 0 || protocol.Decode(pair.Value, &record) != nil {
		return nil
	}
	for _, p := range r.controllers {
		if p.name == record.Controller {
			return p
		}
	}
	return nil
}

// follower returns a controller that does not lead, or nil if no leader is known.
func (r *run) follower() *controllerProcess {
	leader := r.leader()
	if leader == nil {
		return nil
	}
	for _, p := range r.controllers {
		if p != leader {
			return p
		}
	}
	return nil
}

// sleep waits for a time. It returns why the run has ended if it ends meanwhile.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.cause()
	}
}

// waitUntil polls a condition until it holds, and returns false if it does not in time. It returns
// why the run has ended if it ends meanwhile.
func (r *run) waitUntil(condition string, timeout time.Duration, holds func() bool) (bool, error) {
	const interval = 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if holds() {
			return true, nil
		}
		if err := r.sleep(interval); err != nil {
			return false, err
		}
	}
	r.log.Info("condition timed out", "condition", condition, "timeout", timeout)
	return false, nil
}

// tempDir returns a directory for the settings files, and a function that removes it.
func tempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "pinebay-scale-")
	if err != nil {
		return "", nil, fmt.Errorf("directory for settings: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
