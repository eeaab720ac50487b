package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

// workerProcessType is the type of machines whose workers are processes of their own.
const workerProcessType = "process"

// Paths of the service by which such workers find jobs and tell what becomes of their tasks.
const (
	jobsPath     = "/jobs/"
	observedPath = "/observed"
)

// WorkerConfig is what a worker that runs as a process of its own needs to know.
type WorkerConfig struct {
	Name, Addr, Zone string
	Type             protocol.MachineType
	Controllers      []simulation.Controller
	Report, Lease    time.Duration
	RunTime          time.Duration
	Observer         string // address
	Seed             uint64
}

// RunWorker is a worker: it reports over sockets of its own and serves commands until the
// context ends. Its tasks run nothing, and whatever becomes of them is told to the observer first.
func RunWorker(ctx context.Context, cfg *WorkerConfig) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	w := &processWorker{
		cfg: cfg, startedAt: time.Now(), stop: stop,
		client: &http.Client{Timeout: protocol.HeartbeatTimeout},
	}
	w.world = simulation.NewWorld(0, fetchTime, cfg.RunTime)
	w.world.LookupJob = w.fetchJob
	worker := w.world.AddMachine(0, cfg.Name, cfg.Zone, false, &cfg.Type, cfg.Lease)
	s := &simulation.Environment{
		Lock:              &w.mu,
		Now:               w.now,
		Random:            random.New(cfg.Seed),
		Controllers:       cfg.Controllers,
		HeartbeatInterval: cfg.Report,
		OnError:           func(err error) { stop(err) },
	}
	a := simulation.NewAgent(
		ctx,
		s,
		worker,
		cfg.Addr,
		transport.NewClient(transport.TCP{}, 1, 2, idleConnectionTimeout),
	)
	a.OnTaskStatus = w.reportToObserver
	l, err := net.Listen("tcp4", cfg.Addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	srv := &http.Server{
		Handler:           a,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
		ReadHeaderTimeout: time.Minute,
	}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() { _ = srv.Serve(l) }()
	go w.advanceModel(ctx, worker)
	a.Run(int(cfg.Seed) % len(cfg.Controllers))
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// processWorker is the state of such a process.
type processWorker struct {
	cfg       *WorkerConfig
	startedAt time.Time
	client    *http.Client
	stop      context.CancelCauseFunc

	mu    sync.Mutex // guards what follows
	world *simulation.World
}

func (w *processWorker) now() time.Duration { return time.Since(w.startedAt) }

// advanceModel lets time pass for the tasks. Starts are told at once.
func (w *processWorker) advanceModel(ctx context.Context, worker *simulation.Worker) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		starts := w.world.Starts
		w.world.Advance(w.now())
		if w.world.Starts > starts {
			w.reportToObserver(worker.PeekHeartbeat())
		}
		w.mu.Unlock()
	}
}

// fetchJob fetches a job's description.
func (w *processWorker) fetchJob(id string) *protocol.Job {
	res, err := w.client.Get("http://" + w.cfg.Observer + jobsPath + id)
	if err != nil {
		w.stop(fmt.Errorf("job %s: %w", id, err))
		return nil
	}
	defer res.Body.Close()
	var j protocol.Job
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&j) != nil {
		return nil
	}
	return &j
}

// reportToObserver tells the observer of the worker's tasks; without an observer there is no judging, so the
// worker ends.
func (w *processWorker) reportToObserver(r *protocol.WorkerHeartbeat) {
	raw, err := json.Marshal(r)
	if err != nil {
		w.stop(err)
		return
	}
	res, err := w.client.Post("http://"+w.cfg.Observer+observedPath, "application/json", bytes.NewReader(raw))
	if err != nil {
		w.stop(fmt.Errorf("observer: %w", err))
		return
	}
	res.Body.Close()
}

// serveObserver answers the workers that are processes.
func (r *run) serveObserver(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == observedPath {
		raw, err := io.ReadAll(q.Body)
		var report protocol.WorkerHeartbeat
		if err != nil || json.Unmarshal(raw, &report) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		r.mu.Lock()
		r.world.ApplyHeartbeat(r.now(), &report)
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	j := r.world.Jobs[strings.TrimPrefix(q.URL.Path, jobsPath)]
	r.mu.Unlock()
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(j) // a worker that is gone needs none
}

// workerProcessIP is the address of a worker that is a process.
func workerProcessIP(number int) string { return fmt.Sprintf("127.200.0.%d", number+1) }

// startWorkerProcess starts a worker as a process; the world's lock is held.
func (r *run) startWorkerProcess(m protocol.ListedMachine) {
	kind := r.machineTypes[1]
	cfg := WorkerConfig{
		Name:        m.Name,
		Addr:        m.Addr,
		Zone:        m.Zone,
		Type:        kind,
		Controllers: r.surroundings.Controllers,
		Report:      r.cfg.HeartbeatInterval,
		Lease:       r.cfg.Lease,
		RunTime:     r.cfg.MeanRunTime,
		Observer:    r.cfg.observerAddr(),
		Seed:        r.cfg.Seed + uint64(len(r.processes)),
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		r.fail(err)
		return
	}
	r.world.AddMirrored(r.now(), m.Name, m.Zone, &kind)
	cmd := exec.Command(r.cfg.WorkerProgram, r.cfg.WorkerArgs...)
	cmd.Env = append(os.Environ(), WorkerEnvVar+"="+string(raw))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fail(fmt.Errorf("worker process: %w", err))
		return
	}
	p := &workerProcessHandle{cmd: cmd, exited: make(chan struct{})}
	r.processes[m.Name] = p
	go func() {
		_ = cmd.Wait() // how it ended does not matter; whether it should have is judged
		close(p.exited)
	}()
}

// workerProcessHandle is a worker's process.
type workerProcessHandle struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *workerProcessHandle) kill() {
	_ = p.cmd.Process.Kill() // it may have ended by itself
	<-p.exited
}

// WorkerEnvVar is the variable by which a worker's process gets its configuration.
const WorkerEnvVar = "PINEBAY_SCALE_WORKER"

// WorkerFromEnvironment returns the configuration of a worker's process.
func WorkerFromEnvironment() (*WorkerConfig, error) {
	var cfg WorkerConfig
	if err := json.Unmarshal([]byte(os.Getenv(WorkerEnvVar)), &cfg); err != nil || len(cfg.Controllers) == 0 {
		return nil, fmt.Errorf("%w: variable %s holds no worker's configuration", ErrInvalidConfig, WorkerEnvVar)
	}
	return &cfg, nil
}
