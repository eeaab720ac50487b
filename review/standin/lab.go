//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

const (
	modelInterval   = 20 * time.Millisecond
	requestInterval = time.Second // between two attempts of a user at the same request
	connections     = 256
	idleTimeout     = time.Minute
	bootTime        = 2 * time.Second // "at times machines are up within a second or two"
)

// lab holds everything that a case runs: three real controllers, and models of the key-value store, the cloud, the
// workers and the users, all on loopback addresses and the real clock.
type lab struct {
	ctx     context.Context
	site    site
	dir     string // temporary folder with settings and logs
	started time.Time
	random  *random.Source
	out     io.Writer // the record

	outMu sync.Mutex
	wg    sync.WaitGroup

	controllers []*controller
	store       *simulation.Store
	cloud       *simulation.Cloud
	checker     *simulation.AnswerChecker
	users       *simulation.UserClient
	environment *simulation.Environment

	mu       sync.Mutex // guards the fields below
	world    *simulation.World
	agents   map[string]*simulation.Agent // by machine
	jobs     map[string]*protocol.Job     // submitted jobs; workers fetch the descriptions from here
	seen     map[string]string            // last recorded state of each task attempt
	summary  bool                         // record numbers of tasks instead of single tasks
	answered map[string]time.Duration     // when each machine's latest answered report was sent
	rejected map[string]int               // reports of each machine that were answered with 400
	problems []error                      // errors of the stand-ins themselves

	reserved []net.Listener // hold the ports of the controllers until they start
}

// controller is one real controller process.
type controller struct {
	name, addr, mesh string
	settings         string // path of its settings file
	command          *exec.Cmd
	exited           chan struct{}
}

// newLab returns a lab in which nothing runs yet. out receives the record.
func newLab(ctx context.Context, s site, dir string, out io.Writer) *lab {
	l := &lab{
		ctx:      ctx,
		site:     s,
		dir:      dir,
		started:  time.Now(),
		random:   random.New(1),
		out:      out,
		store:    simulation.NewStore(),
		agents:   map[string]*simulation.Agent{},
		jobs:     map[string]*protocol.Job{},
		seen:     map[string]string{},
		answered: map[string]time.Duration{},
		rejected: map[string]int{},
	}
	workers := s.deployment.Workers
	l.store.SetLimits(s.deployment.Store)
	l.world = simulation.NewWorld(config.Seconds(workers.CancelSeconds), s.fetchTime, s.runTime)
	l.world.LookupJob = func(id string) *protocol.Job { return l.jobs[id] }
	l.world.CommandTransitTime = config.Seconds(workers.HeartbeatSeconds)
	l.cloud = simulation.NewCloud(&l.mu, l.now)
	l.cloud.Types = []protocol.MachineType{s.machineType}
	l.cloud.ListLag = config.Seconds(s.deployment.Cloud.ListLagSeconds)
	l.cloud.Capacity = func(protocol.RentalRequest) int { return max(0, len(s.machineZones)-l.cloud.Count("")) }
	l.cloud.BootTime = func(string) time.Duration { return bootTime }
	l.cloud.Address = l.listenAsWorker
	l.cloud.StartWorker, l.cloud.StopWorker = l.startWorker, l.stopWorker
	l.checker = simulation.NewAnswerChecker(l.allTasksDone, func(id string, at time.Duration) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.world.Cancelled[id] = at
	})
	l.users = &simulation.UserClient{
		Client:  transport.NewClient(transport.TCP{}, connections, connections, idleTimeout),
		Checker: l.checker,
		Now:     l.now,
		OnError: l.fail,
	}
	l.environment = &simulation.Environment{
		Lock:              &l.mu,
		Now:               l.now,
		Random:            l.random,
		HeartbeatInterval: config.Seconds(workers.HeartbeatSeconds),
		OnError:           l.fail,
	}
	return l
}

func (l *lab) now() time.Duration { return time.Since(l.started) }

// record writes a line to the record.
func (l *lab) record(format string, args ...any) {
	l.outMu.Lock()
	defer l.outMu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%8.3f  %s\n", l.now().Seconds(), fmt.Sprintf(format, args...))
}

// fail notes an error of the stand-ins, which makes the case end with status 2.
func (l *lab) fail(err error) {
	l.record("stand-in error: %v", err)
	go func() { // the caller may hold the lock
		l.mu.Lock()
		defer l.mu.Unlock()
		l.problems = append(l.problems, err)
	}()
}

// start starts the models, the controllers and the machines that are up at the start.
func (l *lab) start() error {
	storeAddr, err := l.serve(l.store)
	if err != nil {
		return err
	}
	cloudAddr, err := l.serve(l.cloud)
	if err != nil {
		return err
	}
	l.wg.Go(l.advance)
	if err := l.startControllers(storeAddr, cloudAddr); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, zone := range l.site.machineZones {
		l.cloud.AddRunningMachine(l.site.machineType.Name, zone, false)
	}
	return nil
}

// serve serves HTTP on a free loopback port and returns the address.
func (l *lab) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(l.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	l.wg.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// startControllers writes the settings of the controllers and starts them.
func (l *lab) startControllers(storeAddr, cloudAddr string) error {
	var ports []string
	for range 2 * l.site.deployment.Controllers {
		listener, err := new(net.ListenConfig).Listen(l.ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		l.reserved = append(l.reserved, listener) // closed when the controller starts
		ports = append(ports, listener.Addr().String())
	}
	for i := range l.site.deployment.Controllers {
		l.controllers = append(l.controllers, &controller{
			name:     fmt.Sprintf("bothy-%d", i),
			addr:     ports[2*i],
			mesh:     ports[2*i+1],
			settings: filepath.Join(l.dir, fmt.Sprintf("bothy-%d.toml", i)),
		})
	}
	for _, c := range l.controllers {
		settings := config.Settings{
			Name:       c.name,
			Location:   l.site.location,
			ListenAddr: c.addr,
			MeshAddr:   c.mesh,
			Endpoints:  config.Endpoints{Cloud: cloudAddr, Store: storeAddr},
			Deployment: l.site.deployment,
		}
		for _, peer := range l.controllers {
			if peer != c {
				settings.Seeds = append(settings.Seeds, config.Peer{
					Name: peer.name, Location: l.site.location, Addr: peer.mesh,
				})
			}
		}
		raw, err := toml.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.settings, raw, 0o600); err != nil {
			return err
		}
		l.environment.Controllers = append(
			l.environment.Controllers,
			simulation.Controller{Name: c.name, Addr: c.addr},
		)
	}
	return nil
}

// startController starts the process of a controller with the command of the deploy file.
func (l *lab) startController(c *controller, run string) error {
	for _, listener := range l.reserved {
		if addr := listener.Addr().String(); addr == c.addr || addr == c.mesh {
			_ = listener.Close()
		}
	}
	logFile, err := os.OpenFile(filepath.Join(l.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	words := append(strings.Fields(run), c.settings)
	//nolint:gosec,noctx // the command is that of the deploy file; kill ends the process
	c.command = exec.Command(words[0], words[1:]...)
	c.command.Stderr = logFile
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.command.Start(); err != nil {
		return err
	}
	l.record("controller %s started on %s", c.name, c.addr)
	c.exited = make(chan struct{})
	if l.site.limitCPU {
		go limitCPU(c.command.Process, l.site.deployment.Quota.CoreShare, c.exited)
	}
	exited, command := c.exited, c.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// limitCPU stops and continues a process so that it gets no more than its share of a core, until it has exited. On the
// operators' machines the platform sees to that.
func limitCPU(p *os.Process, share float64, exited <-chan struct{}) {
	const period = 50 * time.Millisecond
	running := time.Duration(share * float64(period))
	for {
		select {
		case <-exited:
			return
		default:
		}
		_ = p.Signal(syscall.SIGCONT) // fails only once the process has exited
		time.Sleep(running)
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(period - running)
	}
}

// stop ends all controllers and models.
func (l *lab) stop(cancel context.CancelFunc) {
	for _, c := range l.controllers {
		if c.command != nil && c.command.Process != nil {
			_ = c.command.Process.Kill()
			<-c.exited
		}
	}
	l.mu.Lock()
	l.cloud.Close()
	l.mu.Unlock()
	cancel()
	l.wg.Wait()
}

// controllersAlive returns an error if a controller has ended by itself.
func (l *lab) controllersAlive() error {
	for _, c := range l.controllers {
		select {
		case <-c.exited:
			return fmt.Errorf("controller %s has ended by itself", c.name)
		default:
		}
	}
	return nil
}

// listenAsWorker opens the port of the machine with the given number and returns its address. The cloud calls it with
// mu held.
func (l *lab) listenAsWorker(number int) string {
	name := fmt.Sprintf("host-%06d", number)
	addr, err := l.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		agent := l.agents[name]
		l.mu.Unlock()
		if agent == nil {
			panic(http.ErrAbortHandler) // the machine is not up or gone
		}
		agent.ServeHTTP(w, r)
	}))
	if err != nil {
		l.fail(err)
	}
	return addr
}

// startWorker starts the worker of a machine. The cloud calls it with mu held.
func (l *lab) startWorker(m protocol.ListedMachine) {
	lease := config.Seconds(l.site.deployment.Workers.LeaseSeconds)
	worker := l.world.AddMachine(l.now(), m.Name, m.Zone, m.Spot, &l.site.machineType, lease)
	client := transport.NewClient(transport.TCP{}, 1, 2, idleTimeout)
	agent := simulation.NewAgent(l.ctx, l.environment, worker, m.Addr, client)
	l.agents[m.Name] = agent
	l.record("machine %s up in %s", m.Name, m.Zone)
	last, sent := 0, time.Duration(0)
	agent.OnHeartbeat = func(*protocol.WorkerHeartbeat) { sent = l.now() }
	agent.OnReply = func(_ time.Duration, status int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch status {
		case http.StatusOK:
			l.answered[m.Name] = sent
		case http.StatusBadRequest:
			l.rejected[m.Name]++
		}
		if status != last {
			l.record("%s: reports are now answered with %d", m.Name, status)
			last = status
		}
	}
	l.wg.Go(func() { agent.Run(len(l.agents) % len(l.controllers)) })
}

// stopWorker stops the worker of a machine. The cloud calls it with mu held.
func (l *lab) stopWorker(name string) {
	l.record("machine %s is gone", name)
	l.agents[name].Stop()
	delete(l.agents, name)
	l.world.RemoveMachine(name)
}

// allTasksDone reports whether all tasks of a job have completed.
func (l *lab) allTasksDone(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	job := l.jobs[id]
	for i := 0; job != nil && i < job.TaskCount; i++ {
		if !l.world.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return job != nil
}

// advance advances the models until the lab stops, and records what the tasks do.
func (l *lab) advance() {
	ticker := time.NewTicker(modelInterval)
	defer ticker.Stop()
	lastSummary := time.Duration(0)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		now := l.now()
		l.store.Advance(now)
		l.mu.Lock()
		l.world.Advance(now)
		switch {
		case !l.summary:
			l.recordTasks()
		case now-lastSummary >= time.Second:
			lastSummary = now
			l.recordSummary()
		}
		l.mu.Unlock()
	}
}

// recordTasks records each change of a task. The caller holds mu.
func (l *lab) recordTasks() {
	for _, name := range l.machines() {
		worker := l.world.Workers[name]
		for id, task := range worker.Tasks {
			key := fmt.Sprintf("%s %s try %d session %d", name, id, task.Attempt, worker.Incarnation)
			state := strings.TrimSpace(fmt.Sprintf("%s %s", task.State, task.Cause))
			if l.seen[key] != state {
				l.seen[key] = state
				l.record("%s: %s", key, state)
			}
		}
	}
}

// setSummary makes the record contain the numbers of tasks instead of single tasks.
func (l *lab) setSummary() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary = true
}

// recordSummary records the numbers of tasks on each machine. The caller holds mu.
func (l *lab) recordSummary() {
	for _, name := range l.machines() {
		worker := l.world.Workers[name]
		counts := map[string]int{}
		for id, task := range worker.Tasks {
			counts[fmt.Sprintf("%s %s", id.JobID, task.State)]++
		}
		var parts []string
		for key, n := range counts {
			parts = append(parts, fmt.Sprintf("%d %s", n, key))
		}
		slices.Sort(parts)
		line := fmt.Sprintf("%s: session %d: %s", name, worker.Incarnation, strings.Join(parts, ", "))
		if l.seen[name] != line {
			l.seen[name] = line
			l.record("%s", line)
		}
	}
}

// machines returns the names of the machines that are up, sorted. The caller holds mu.
func (l *lab) machines() (names []string) {
	for name := range l.world.Workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// free returns the free resources of a machine. Tasks that fetch count as using theirs. The caller holds mu.
func (l *lab) free(name string) simulation.Resources {
	worker := l.world.Workers[name]
	free := worker.Capacity
	for id, task := range worker.Tasks {
		if task.State == protocol.TaskExited {
			continue
		}
		job := l.jobs[id.JobID]
		free.CPUs -= job.CPUs
		free.GPUs -= job.GPUs
		free.MemoryGB -= job.MemoryGB
	}
	return free
}

// room returns how many more tasks of a job fit into what a machine has free, but at most limit. The caller holds mu.
func (l *lab) room(name string, job *protocol.Job, limit int) (tasks int) {
	worker, free := l.world.Workers[name], l.free(name)
	if len(job.MachineTypes) > 0 && !slices.Contains(job.MachineTypes, worker.Type) ||
		job.Zone != "" && job.Zone != worker.Zone || worker.Spot && !job.SpotAllowed {
		return 0
	}
	for tasks < limit && job.CPUs <= free.CPUs && job.GPUs <= free.GPUs && job.MemoryGB <= free.MemoryGB {
		free.CPUs -= job.CPUs
		free.GPUs -= job.GPUs
		free.MemoryGB -= job.MemoryGB
		tasks++
	}
	return tasks
}

// onMachines returns how many tasks of a job are on machines and have not exited. The caller holds mu.
func (l *lab) onMachines(id string) (n int) {
	for _, worker := range l.world.Workers {
		for task, status := range worker.Tasks {
			if task.JobID == id && status.State != protocol.TaskExited {
				n++
			}
		}
	}
	return n
}
