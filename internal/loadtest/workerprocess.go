package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

// WorkerEnvVar is the environment variable that holds the configuration of a worker process, in JSON.
const WorkerEnvVar = "PINEBAY_SCALE_WORKER"

// URL paths of the observer, a service of the load test. Worker processes get the descriptions of jobs from it and
// report the status of their tasks to it, so that the invariants are checked for these tasks too.
const (
	jobsPath     = "/jobs/"
	observedPath = "/observed"
)

// WorkerConfig is the configuration of a worker process. Report is the interval between heartbeats, Lease is the
// duration of the lease, and RunTime is the mean run time of tasks.
type WorkerConfig struct {
	Name, Addr, Zone string
	Type             protocol.MachineType
	Controllers      []simulation.Controller
	Report, Lease    time.Duration
	RunTime          time.Duration
	Observer         string // address of the observer
	Seed             uint64
}

// WorkerConfigFromEnv decodes the configuration in the environment variable [WorkerEnvVar].
func WorkerConfigFromEnv() (*WorkerConfig, error) {
	var cfg WorkerConfig
	if err := json.Unmarshal([]byte(os.Getenv(WorkerEnvVar)), &cfg); err != nil {
		return nil, fmt.Errorf("%w: environment variable %s: %w", ErrInvalidConfig, WorkerEnvVar, err)
	}
	if len(cfg.Controllers) == 0 {
		return nil, fmt.Errorf("%w: environment variable %s lists no controllers", ErrInvalidConfig, WorkerEnvVar)
	}
	return &cfg, nil
}

// RunWorker runs a worker until the context ends. The worker sends heartbeats and accepts commands over sockets of its
// own, and simulates its tasks. It reports every change of a task's status to the observer before it reports it to a
// controller.
func RunWorker(ctx context.Context, cfg *WorkerConfig) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	w := &workerProcess{
		ctx:         ctx,
		stop:        stop,
		observer:    "http://" + cfg.Observer,
		observerCtx: context.WithoutCancel(ctx),
		client:      &http.Client{Timeout: protocol.HeartbeatTimeout},
		startedAt:   time.Now(),
		world:       simulation.NewWorld(0, fetchTime, cfg.RunTime),
	}
	w.world.LookupJob = w.lookUpJob
	w.worker = w.world.AddMachine(0, cfg.Name, cfg.Zone, false, &cfg.Type, cfg.Lease)
	environment := &simulation.Environment{
		Lock:              &w.mu,
		Now:               w.now,
		Random:            random.New(cfg.Seed),
		Controllers:       cfg.Controllers,
		HeartbeatInterval: cfg.Report,
		OnError:           func(err error) { stop(err) },
	}
	a := simulation.NewAgent(ctx, environment, w.worker, cfg.Addr, newWorkerClient(transport.TCP{}))
	a.OnTaskStatus = w.reportToObserver
	l, err := new(net.ListenConfig).Listen(ctx, "tcp4", cfg.Addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidConfig, err)
	}
	srv := newServer(a)
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	go w.advanceModel()
	a.Run(int(cfg.Seed) % len(cfg.Controllers))
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// workerProcess is the state of a worker in its own process.
type workerProcess struct {
	ctx      context.Context
	stop     context.CancelCauseFunc
	observer string // URL
	// observerCtx is not cancelled with ctx, because the last changes of the tasks must still be reported to the
	// observer.
	observerCtx context.Context
	client      *http.Client
	startedAt   time.Time

	mu     sync.Mutex // guards the fields below
	world  *simulation.World
	worker *simulation.Worker
}

func (w *workerProcess) now() time.Duration { return time.Since(w.startedAt) }

// advanceModel periodically advances the simulated tasks until the process ends. It reports task starts to the observer
// at once.
func (w *workerProcess) advanceModel() {
	callPeriodically(w.ctx, modelInterval, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		starts := w.world.Starts
		w.world.Advance(w.now())
		if w.world.Starts > starts {
			w.reportToObserver(w.worker.PeekHeartbeat())
		}
	})
}

// lookUpJob gets the description of a job from the observer. It returns nil if the job is unknown.
func (w *workerProcess) lookUpJob(id string) *protocol.Job {
	status, body, err := w.call(http.MethodGet, jobsPath+id, nil)
	if err != nil {
		w.stop(fmt.Errorf("look up job %s: %w", id, err))
		return nil
	}
	var j protocol.Job
	if status != http.StatusOK || json.Unmarshal(body, &j) != nil {
		return nil
	}
	return &j
}

// reportToObserver reports the status of the worker's tasks to the observer. If that fails, the worker stops, because
// the invariants cannot be checked without these reports.
func (w *workerProcess) reportToObserver(heartbeat *protocol.WorkerHeartbeat) {
	raw, err := json.Marshal(heartbeat)
	if err != nil {
		w.stop(fmt.Errorf("encode the heartbeat for the observer: %w", err))
		return
	}
	if _, _, err := w.call(http.MethodPost, observedPath, raw); err != nil {
		w.stop(fmt.Errorf("report to the observer: %w", err))
	}
}

// call sends a request to the observer and returns the status and the body of the response.
func (w *workerProcess) call(method, path string, body []byte) (status int, response []byte, err error) {
	req, err := http.NewRequestWithContext(w.observerCtx, method, w.observer+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }() // the body has been read
	response, err = io.ReadAll(res.Body)
	return res.StatusCode, response, err
}

// serveObserver serves the requests of worker processes to the observer.
func (r *sizeRun) serveObserver(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == observedPath {
		r.serveTaskStatus(w, req)
		return
	}
	r.mu.Lock()
	j := r.world.Jobs[strings.TrimPrefix(req.URL.Path, jobsPath)]
	r.mu.Unlock()
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(j) // fails only if the worker is gone, and then it needs no job
}

// serveTaskStatus applies the task status that a worker process reports to the model of the workers.
func (r *sizeRun) serveTaskStatus(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	var heartbeat protocol.WorkerHeartbeat
	if err != nil || json.Unmarshal(raw, &heartbeat) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.ApplyHeartbeat(r.now(), &heartbeat)
}

// startWorkerProcess starts the worker of a machine as a process. The caller must hold mu.
func (r *sizeRun) startWorkerProcess(m protocol.ListedMachine) {
	machineType := r.machineTypes[1]
	cfg := WorkerConfig{
		Name:        m.Name,
		Addr:        m.Addr,
		Zone:        m.Zone,
		Type:        machineType,
		Controllers: r.environment.Controllers,
		Report:      r.cfg.HeartbeatInterval,
		Lease:       r.cfg.Lease,
		RunTime:     r.cfg.MeanRunTime,
		Observer:    r.cfg.observerAddr(),
		Seed:        r.cfg.Seed + uint64(len(r.workerProcesses)),
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		r.fail(fmt.Errorf("encode the configuration of worker %s: %w", m.Name, err))
		return
	}
	r.world.AddRemoteWorker(r.now(), m.Name, m.Zone, &machineType)
	//nolint:noctx // stopWorker ends it
	cmd := exec.Command(r.cfg.WorkerProgram, r.cfg.WorkerArgs...)
	cmd.Env = append(os.Environ(), WorkerEnvVar+"="+string(raw))
	p, err := startProcess(cmd, nil)
	if err != nil {
		r.fail(fmt.Errorf("worker %s: %w", m.Name, err))
		return
	}
	r.workerProcesses[m.Name] = p
}
