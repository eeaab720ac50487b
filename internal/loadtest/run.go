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

// sizeRun is the test of one size. It has the controller processes and the models of everything with which they
// interact. The models are called from many goroutines; mu guards those that have no lock of their own.
type sizeRun struct {
	cfg          *Config
	load         Load
	log          *slog.Logger
	ctx          context.Context // done when the run ends; its cause is the reason for the end
	stop         context.CancelCauseFunc
	wg           sync.WaitGroup
	startedAt    time.Time
	teams        []config.Team
	machineTypes []protocol.MachineType // that of hollow workers, then that of worker processes

	controllers []*controllerProcess
	store       *simulation.Store
	cloud       *simulation.Cloud
	checker     *simulation.AnswerChecker
	users       *simulation.UserClient
	environment *simulation.Environment // shared by the hollow workers

	meter        *Meter
	replies      atomic.Pointer[replyCounter]
	replyCount   atomic.Int64 // replies to heartbeats of hollow workers
	acceptedJobs atomic.Int64

	mu              sync.Mutex // guards the fields below
	rng             *rand.Rand
	world           *simulation.World
	agents          map[string]*simulation.Agent // hollow workers by IP address
	workerHosts     map[string]string            // IP addresses of hollow workers by machine
	workerProcesses map[string]*process          // by machine; nil after shutdown
	acceptedAt      map[string]time.Duration     // when jobs were accepted whose first task has not started yet
	jobCount        int
}

// newSizeRun prepares a run and writes the settings files of the controllers to dir. It does not start anything.
func newSizeRun(ctx context.Context, cfg *Config, load Load, dir string, log *slog.Logger) (*sizeRun, error) {
	r := &sizeRun{
		cfg:             cfg,
		load:            load,
		log:             log,
		startedAt:       time.Now(),
		teams:           newTeams(load),
		machineTypes:    newMachineTypes(cfg, load),
		store:           simulation.NewStore(),
		meter:           NewMeter(),
		rng:             rand.New(rand.NewPCG(cfg.Seed, uint64(load.Workers))),
		agents:          map[string]*simulation.Agent{},
		workerHosts:     map[string]string{},
		workerProcesses: map[string]*process{},
		acceptedAt:      map[string]time.Duration{},
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
		p, err := newControllerProcess(cfg, dir, controllerSettings(cfg, load, r.teams, number))
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

func (r *sizeRun) newUsers() *simulation.UserClient {
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

// start starts the HTTP services of the models, the controllers and the workers.
func (r *sizeRun) start() error {
	for _, s := range []struct {
		link    Link
		addr    string
		handler http.Handler
	}{
		{LinkState, r.cfg.storeAddr(), r.store},
		{LinkCloud, r.cfg.cloudAddr(), r.cloud},
		{LinkCommands, fmt.Sprintf("0.0.0.0:%d", r.cfg.FirstPort+hollowWorkerPort), http.HandlerFunc(r.serveCommands)},
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
		r.cloud.AddRunningMachine(hollowWorkerType, zones[i%len(zones)], false)
	}
	for i := range r.cfg.WorkerProcesses {
		r.cloud.AddRunningMachine(workerProcessType, zones[i%len(zones)], false)
	}
	return nil
}

// shutdown ends the run, kills all processes, and waits until all goroutines of the run have returned.
func (r *sizeRun) shutdown() {
	r.stop(context.Canceled)
	r.mu.Lock()
	r.cloud.Close()
	processes := r.workerProcesses
	r.workerProcesses = nil
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, p := range r.controllers {
		p.kill()
	}
	r.wg.Wait()
}

// fail ends the run with an error. Only the first call has an effect.
func (r *sizeRun) fail(err error) { r.stop(err) }

// cause returns the error with which the run has ended, or nil if it is still running.
func (r *sizeRun) cause() error { return context.Cause(r.ctx) }

// now returns the time of the models: the time since the start of the run.
func (r *sizeRun) now() time.Duration { return time.Since(r.startedAt) }

// randomDuration returns a random duration between 0 and limit. The caller must hold mu.
func (r *sizeRun) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(limit))
}

// leader returns the controller that is the leader according to the record in the key-value store, or nil if there is
// no leader.
func (r *sizeRun) leader() *controllerProcess {
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

// follower returns a controller that is not the leader, or nil if there is no leader or no other controller.
func (r *sizeRun) follower() *controllerProcess {
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

// sleep pauses for the duration d. If the run ends before that, sleep returns the cause at once.
func (r *sizeRun) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.cause()
	}
}

// waitUntil polls a condition until it holds or the timeout has passed, and reports whether it holds. If the run ends
// before that, waitUntil returns the cause as an error. The name of the condition is used in the log only.
func (r *sizeRun) waitUntil(condition string, timeout time.Duration, holds func() bool) (bool, error) {
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

// tempDir creates a temporary directory for the settings files, and returns it with a function that removes it.
func tempDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "pinebay-scale-")
	if err != nil {
		return "", nil, fmt.Errorf("create a directory for settings files: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}
