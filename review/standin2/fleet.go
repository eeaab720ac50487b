//go:build review2

// Command standin2 runs the cases of the second review: real controller processes on loopback, and stand-ins for the
// state service, the cloud, the workers and the users in this process.
//
// The stand-ins of internal/simulation are used for the state service, the cloud and the workers; this file connects
// them with the controllers through proxies that can be cut.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// machineSpec describes machines that run when the fleet starts.
type machineSpec struct {
	zone  string
	spot  bool
	count int
}

// options describes a fleet. The zero values of the durations stand for those of crosfhocal-fleet.
type options struct {
	folder      string // of the case, for record.txt
	zones       []string
	teams       []config.Team
	objectives  []config.Objective
	machines    []machineSpec
	machineType protocol.MachineType
	capacity    func(protocol.RentalRequest) int
	bootTime    time.Duration
	listLag     time.Duration
	fetchTime   time.Duration
	runTime     time.Duration
	report      time.Duration
	lease       time.Duration
	cancel      time.Duration
	logDir      string
	gangWait    time.Duration
	gangPeer    time.Duration
	limits      config.StoreLimits
	terse       bool // leave reports out of the record
	links       bool // connect the controllers through proxies, which can be cut
}

// fleet is a running fleet.
type fleet struct {
	options
	ctx     context.Context
	end     context.CancelFunc
	started time.Time
	dir     string
	program []string
	wg      sync.WaitGroup

	store       *simulation.Store
	cloud       *simulation.Cloud
	world       *simulation.World
	checker     *simulation.AnswerChecker
	users       *simulation.UserClient
	environment *simulation.Environment
	controllers []*controller
	meshLinks   map[[2]int]*proxy // by sender and receiver

	mu        sync.Mutex // guards the world, the cloud and the fields below
	agents    map[string]*simulation.Agent
	listeners []net.Listener
	// onCommands, if set, wraps the handler of the requests to a machine.
	onCommands func(machine string, h http.Handler) http.Handler

	refused  atomic.Int64 // reports that controllers answered with 400
	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File
}

// controller is a controller process and the links between it and the stand-ins.
type controller struct {
	fleet        *fleet
	name, path   string
	listen, mesh string
	storeLink    *proxy
	cloudLink    *proxy
	workerLink   *proxy // workers to the controller
	userLink     *proxy
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	killed       bool
	unexpected   bool
}

const controllerCount = 3

func newFleet(o options) (*fleet, error) {
	f := &fleet{options: o, started: time.Now(), agents: map[string]*simulation.Agent{}, meshLinks: map[[2]int]*proxy{}}
	f.ctx, f.end = context.WithCancel(context.Background())
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&f.report, time.Second)
	set(&f.lease, 10*time.Second)
	set(&f.cancel, 40*time.Second)
	set(&f.listLag, 10*time.Second)
	set(&f.fetchTime, 300*time.Millisecond)
	set(&f.runTime, 3*time.Second)
	set(&f.bootTime, 5*time.Second)
	set(&f.gangWait, 45*time.Second)
	set(&f.gangPeer, 4*time.Second)
	if f.limits.RPS == 0 {
		f.limits = config.StoreLimits{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 16}
	}
	if f.capacity == nil {
		f.capacity = func(protocol.RentalRequest) int { return 0 }
	}
	var err error
	if f.dir, err = os.MkdirTemp("", "pinebay-review-"); err != nil {
		return nil, err
	}
	if f.file, err = os.Create(filepath.Join(o.folder, "record.txt")); err != nil {
		return nil, err
	}
	f.record = bufio.NewWriter(f.file)
	if f.program, err = runCommand(); err != nil {
		return nil, err
	}
	f.newModels()
	for range 131 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		f.listeners = append(f.listeners, l)
	}
	return f, f.start()
}

// runCommand reads the command that starts a controller from the deploy file.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(rest, `"`)), nil
		}
	}
	return nil, errors.New("no run command in deploy/service.toml")
}

func (f *fleet) now() time.Duration { return time.Since(f.started) }

// log writes a line to record.txt.
func (f *fleet) log(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f ", f.now().Seconds())
	fmt.Fprintf(f.record, format, args...)
	fmt.Fprintln(f.record)
	_ = f.record.Flush()
}

func (f *fleet) newModels() {
	f.store = simulation.NewStore()
	f.store.SetLimits(f.limits)
	f.world = simulation.NewWorld(f.cancel, f.fetchTime, f.runTime)
	f.world.CommandTransitTime = 2 * time.Second
	for _, t := range f.teams {
		f.world.TeamLimits[t.Name] = simulation.Resources{CPUs: t.MaxCPUs, GPUs: t.MaxGPUs}
	}
	f.world.OnStart = func(_ time.Duration, id protocol.TaskID) { f.log("start %s", id) }
	f.cloud = simulation.NewCloud(&f.mu, f.now)
	f.cloud.Types = []protocol.MachineType{f.machineType}
	f.cloud.ListLag = f.listLag
	f.cloud.Capacity = f.capacity
	f.cloud.BootTime = func(string) time.Duration { return f.bootTime }
	f.cloud.Address = func(number int) string { return f.listeners[number-1].Addr().String() }
	f.cloud.StartWorker, f.cloud.StopWorker = f.startWorker, f.stopWorker
	f.checker = simulation.NewAnswerChecker(f.allTasksDone, func(id string, at time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.world.Cancelled[id] = at
	})
	f.users = &simulation.UserClient{
		Client:  transport.NewClient(transport.TCP{}, 64, 256, time.Minute),
		Checker: f.checker,
		Now:     f.now,
		OnError: func(err error) { f.log("malformed answer: %v", err) },
	}
	f.environment = &simulation.Environment{
		Lock:              &f.mu,
		Now:               f.now,
		Random:            random.NewSystemSeeded(),
		HeartbeatInterval: f.report,
		OnError:           func(err error) { f.log("malformed reply to a worker: %v", err) },
	}
}

func (f *fleet) allTasksDone(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.world.Jobs[id]
	if j == nil {
		return false
	}
	for i := range j.TaskCount {
		if !f.world.Done[protocol.TaskID{JobID: id, Index: i}] {
			return false
		}
	}
	return true
}

// start starts the stand-ins, the links and the controllers.
func (f *fleet) start() error {
	addrs, err := f.freeAddresses(2 * controllerCount)
	if err != nil {
		return err
	}
	cloud, err := f.serve(f.cloud)
	if err != nil {
		return err
	}
	for i := range controllerCount {
		c := &controller{
			fleet: f, name: fmt.Sprintf("bothy-%d", i), listen: addrs[2*i], mesh: addrs[2*i+1],
			path: filepath.Join(f.dir, fmt.Sprintf("bothy-%d.toml", i)),
		}
		// The store tells controllers apart by the host of the remote address.
		store, err := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.RemoteAddr = c.name + ":1"
			f.store.ServeHTTP(w, r)
		}))
		if err != nil {
			return err
		}
		c.storeLink, c.cloudLink = f.link(store), f.link(cloud)
		c.workerLink, c.userLink = f.link(c.listen), f.link(c.listen)
		f.controllers = append(f.controllers, c)
		f.environment.Controllers = append(f.environment.Controllers,
			simulation.Controller{Name: c.name, Addr: c.workerLink.addr()})
	}
	for i := range f.controllers {
		for k, to := range f.controllers {
			if i != k {
				f.meshLinks[[2]int{i, k}] = f.link(to.mesh)
			}
		}
	}
	f.wg.Go(f.advance)
	for i, c := range f.controllers {
		if err := os.WriteFile(c.path, []byte(f.settings(i)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freeAddresses returns addresses for the controllers. Their ports are below those that the system gives to outgoing
// connections, so that none of these takes one before its controller listens.
func (f *fleet) freeAddresses(n int) (addrs []string, err error) {
	const first, ports, tries = 10000, 20000, 1000
	for range tries {
		if len(addrs) == n {
			return addrs, nil
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(ports)))
		if err != nil {
			continue // in use
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// startControllers starts the machines and all controller processes, and waits until one leads.
func (f *fleet) startControllers() error {
	f.mu.Lock()
	for _, m := range f.machines {
		for range m.count {
			f.cloud.AddRunningMachine(f.machineType.Name, m.zone, m.spot)
		}
	}
	f.mu.Unlock()
	for _, c := range f.controllers {
		if err := c.start(); err != nil {
			return err
		}
	}
	if !f.waitFor(20*time.Second, func() bool { return f.leader() != nil }) {
		return errors.New("no leader")
	}
	f.log("leader is %s", f.leader().name)
	if len(f.violations()) > 0 {
		return errors.New("a controller did not start")
	}
	return nil
}

// link returns a proxy for an address, or a stand-in for one that only holds the address.
func (f *fleet) link(target string) *proxy {
	if !f.links {
		return &proxy{target: target}
	}
	return newProxy(f.ctx, target)
}

// serve serves a handler on a free loopback port.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.serveOn(l, h)
	return l.Addr().String(), nil
}

func (f *fleet) serveOn(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	f.wg.Go(func() { _ = srv.Serve(l) })
	context.AfterFunc(f.ctx, func() { _ = srv.Close() })
	return srv
}

// settings returns the settings file of a controller, as DEPLOY-pinebay.md shows it.
func (f *fleet) settings(i int) string {
	var b strings.Builder
	c := f.controllers[i]
	fmt.Fprintf(&b, "node = %q\nlocation = %q\nlisten = %q\nmesh_addr = %q\n", c.name, f.zones[0], c.listen, c.mesh)
	for k, p := range f.controllers {
		if k != i {
			fmt.Fprintf(&b, "[[seeds]]\nnode = %q\nlocation = %q\npeer_addr = %q\n", p.name, f.zones[0],
				f.meshLinks[[2]int{i, k}].addr())
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.cloudLink.addr(), c.storeLink.addr())
	fmt.Fprintf(&b, "[deployment]\nnodes = %d\nzones = [%s]\nclock_off_ms = 250.0\n", controllerCount, quoted(f.zones))
	for _, t := range f.teams {
		fmt.Fprintf(&b, "[[deployment.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f\n",
			t.Name, t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs)
	}
	for _, o := range f.objectives {
		fmt.Fprintf(&b, "[[deployment.objectives]]\nkind = %q\nclass = %q\nwithin_s = %f\nshare = %f\n",
			o.Kind, o.Class, o.WithinSeconds, o.Fraction)
	}
	fmt.Fprintf(&b, "[deployment.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\n"+
		"cancel_s = %f\n", f.report.Seconds(), f.lease.Seconds(), f.gangWait.Seconds(), f.gangPeer.Seconds(),
		f.cancel.Seconds())
	fmt.Fprintf(&b, "[deployment.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d\n", f.limits.RPS,
		f.limits.WriteRPS, f.limits.ValueKB, f.limits.TxnOps)
	fmt.Fprintf(&b, "[deployment.cloud]\nrps = 2.0\nlist_lag_s = %f\n", f.listLag.Seconds())
	b.WriteString("[deployment.quota]\ncore_share = 0.096\nram_mb = 70.0\nmax_sockets = 500\n")
	return b.String()
}

func quoted(names []string) string {
	var list []string
	for _, n := range names {
		list = append(list, fmt.Sprintf("%q", n))
	}
	return strings.Join(list, ", ")
}

// advance moves the models' time on.
func (f *fleet) advance() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
		f.store.Advance(f.now())
		f.mu.Lock()
		f.world.Advance(f.now())
		f.mu.Unlock()
	}
}

// startWorker starts the worker of a machine. The caller holds mu.
func (f *fleet) startWorker(m protocol.ListedMachine) {
	if f.ctx.Err() != nil {
		return
	}
	w := f.world.AddMachine(f.now(), m.Name, m.Zone, m.Spot, &f.machineType, f.lease)
	client := transport.NewClient(transport.TCP{}, 1, 2, time.Minute)
	a := simulation.NewAgent(f.ctx, f.environment, w, m.Addr, client)
	seen := ""
	if !f.terse {
		a.OnHeartbeat = func(h *protocol.WorkerHeartbeat) {
			line := fmt.Sprintf("session %d", h.Incarnation)
			for _, t := range h.Tasks {
				line += fmt.Sprintf(" %s.%d=%s%s", t.TaskName, t.Attempt, t.State, t.Cause)
			}
			if line != seen {
				f.log("report %s %s", h.Machine, line)
				seen = line
			}
		}
	}
	a.OnReply = func(_ time.Duration, status int) {
		if status == http.StatusBadRequest {
			f.refused.Add(1)
		}
	}
	f.agents[m.Name] = a
	l := f.listenerOf(m.Addr)
	var handler http.Handler = a
	if f.onCommands != nil {
		handler = f.onCommands(m.Name, a)
	}
	srv := f.serveOn(l, handler)
	first := f.environment.Random.For("first " + m.Name).IntN(controllerCount)
	f.wg.Go(func() { a.Run(first) })
	go func() {
		<-a.Done()
		_ = srv.Close()
	}()
}

func (f *fleet) listenerOf(addr string) net.Listener {
	for _, l := range f.listeners {
		if l.Addr().String() == addr {
			return l
		}
	}
	return nil
}

// stopWorker stops the worker of a machine. The caller holds mu.
func (f *fleet) stopWorker(name string) {
	f.log("machine %s is gone", name)
	if a := f.agents[name]; a != nil {
		a.Stop()
		delete(f.agents, name)
	}
	f.world.RemoveMachine(name)
}

// leader returns the controller that the leader key names, or nil.
func (f *fleet) leader() *controller {
	pair := f.store.Get(storage.LeaderKey)
	var record storage.LeaderRecord
	if pair.Revision == 0 || protocol.Decode(pair.Value, &record) != nil {
		return nil
	}
	for _, c := range f.controllers {
		if c.name == record.Controller {
			return c
		}
	}
	return nil
}

// sleep waits, unless the fleet ends before.
func (f *fleet) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-f.ctx.Done():
	}
}

// waitFor waits until a condition holds, and reports whether it did in time.
func (f *fleet) waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); f.sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// stop ends all processes and the stand-ins.
func (f *fleet) stop() {
	for _, c := range f.controllers {
		c.kill()
	}
	f.mu.Lock()
	f.cloud.Close()
	f.mu.Unlock()
	f.end()
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.wg.Wait()
	_ = os.RemoveAll(f.dir)
	_ = f.record.Flush()
	_ = f.file.Close()
}

// start starts the process of a controller.
func (c *controller) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	args := append(append([]string{}, c.fleet.program[1:]...), c.path)
	cmd := exec.Command(c.fleet.program[0], args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = io.Discard
	if c.fleet.logDir != "" {
		out, err := os.OpenFile(
			filepath.Join(c.fleet.logDir, c.name+".log"),
			os.O_CREATE|os.O_APPEND|os.O_WRONLY,
			0o600,
		)
		if err != nil {
			return err
		}
		defer out.Close()
		cmd.Stderr = out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	c.cmd, c.exited, c.killed = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		c.mu.Lock()
		if !c.killed && c.fleet.ctx.Err() == nil {
			c.unexpected = true
			c.fleet.log("%s ended by itself", c.name)
		}
		c.mu.Unlock()
		close(exited)
	}()
	c.fleet.log("%s started", c.name)
	return nil
}

// kill kills the process and waits for its end.
func (c *controller) kill() {
	c.mu.Lock()
	cmd, exited := c.cmd, c.exited
	c.killed = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	c.fleet.log("%s killed", c.name)
}

func (c *controller) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(s)
	}
	c.fleet.log("%s gets %v", c.name, s)
}
