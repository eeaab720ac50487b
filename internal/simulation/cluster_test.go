package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/daemon"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// cluster is a deployment of real controllers in simulated time. They communicate over an in-memory network with models
// of the key-value store, the cloud, workers and users. world checks every start and cancellation of a task, and
// answers checks every answer to a user.
type cluster struct {
	t           *testing.T
	start       time.Time
	net         *Network
	store       *Store
	answers     *AnswerChecker
	controllers []*controller
	cfg         config.Deployment
	types       []protocol.MachineType
	log         *slog.Logger
	logs        *bytes.Buffer
	logWriter   *lockedWriter // writes to logs and guards it
	users       *UserClient
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	random            *random.Source
	world             *World
	workers           map[string]*workerProcess
	cloud             *Cloud
	bootTime          func(machine string) time.Duration
	onHeartbeat       func(r *protocol.WorkerHeartbeat) // called for each heartbeat that is sent
	blockedLinks      map[string]int                    // number of faults that block a link, by "from>to"
	jobIDs            []string
	queryAfterAnswers bool
	occurred          map[string]int // see recordOccurrence
	// features returns the features that are enabled at the controller with the given index.
	features            func(node int) daemon.Features
	zonesWithoutRentals map[string]bool // zones in which no machines can be rented
	cloudCapacity       int             // limit on the number of machines
	zoneCapacity        int             // limit on the number of machines in a zone; 0: no limit
}

// controller is a controller of the cluster. Its process may be stopped and started again.
type controller struct {
	name, ip string
	host     *Host
	stop     context.CancelFunc
	settings config.Settings
	process  *daemon.Controller
	features daemon.Features
	up       bool
}

// Addresses of the models.
const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
	usersHost = "10.3.0.1"
)

// fastTimings and slowTimings are the worker settings of two deployments, with short and long timeouts.
var (
	fastTimings = config.Workers{
		HeartbeatSeconds: 1,
		LeaseSeconds:     10,
		GangWaitSeconds:  45,
		GangPeerSeconds:  4,
		CancelSeconds:    40,
	}
	slowTimings = config.Workers{
		HeartbeatSeconds: 3,
		LeaseSeconds:     29,
		GangWaitSeconds:  60,
		GangPeerSeconds:  5,
		CancelSeconds:    59,
	}
)

// newCluster starts a cluster. Options are applied before it starts.
func newCluster(
	t *testing.T,
	seed uint64,
	controllers int,
	timings config.Workers,
	options ...func(*cluster),
) *cluster {
	t.Helper()
	c := &cluster{
		t:                   t,
		start:               time.Now(),
		net:                 NewNetwork(seed),
		store:               NewStore(),
		random:              random.New(seed),
		cfg:                 clusterSettings(controllers, timings),
		types:               clusterMachineTypes(),
		logs:                &bytes.Buffer{},
		workers:             map[string]*workerProcess{},
		blockedLinks:        map[string]int{},
		occurred:            map[string]int{},
		features:            func(int) daemon.Features { return daemon.Features{} },
		zonesWithoutRentals: map[string]bool{},
		cloudCapacity:       12,
	}
	for _, option := range options {
		option(c)
	}
	c.ctx, c.stop = context.WithCancel(t.Context())
	c.bootTime = func(name string) time.Duration {
		return 4*time.Second + c.randomDuration("boot "+name, 6*time.Second)
	}
	c.logWriter = &lockedWriter{w: c.logs}
	c.log = slog.New(slog.NewTextHandler(c.logWriter, &slog.HandlerOptions{Level: logLevel()}))
	c.startModels(config.Seconds(timings.CancelSeconds))
	for i := range controllers {
		settings := c.controllerSettings(i)
		c.controllers = append(c.controllers, &controller{
			name:     settings.Name,
			ip:       controllerIP(i),
			settings: settings,
			features: c.features(i),
		})
	}
	for _, n := range c.controllers {
		c.startController(n)
		time.Sleep(ms) // which peers a controller reaches first must not depend on the order of goroutines
	}
	c.spawn(c.advanceModels)
	return c
}

// clusterSettings returns the deployment settings that all controllers of a cluster share.
func clusterSettings(controllers int, timings config.Workers) config.Deployment {
	return config.Deployment{
		Controllers:      controllers,
		Zones:            []string{"a", "b"},
		MaxClockOffsetMS: 250,
		Teams:            []config.Team{{Name: "red", MaxGPUs: 40}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 24}},
		Workers:          timings,
		Store:            config.StoreLimits{RPS: 150, WriteRPS: 40, ValueKB: 8, TxnOps: 16},
		Cloud:            config.Cloud{RPS: 2, ListLagSeconds: 4},
		Quota:            config.Quota{CoreShare: 0.1, RAMMB: 70, MaxSockets: 500},
		Objectives:       []config.Objective{{Kind: "wait", Class: "daemon", WithinSeconds: 5, Fraction: 0.9}},
	}
}

// clusterMachineTypes returns the machine types of a cluster, which has one.
func clusterMachineTypes() []protocol.MachineType {
	return []protocol.MachineType{{
		Name:             "g8",
		CPUs:             64,
		GPUs:             8,
		MemoryGB:         256,
		CacheGB:          100,
		FetchGBPerSecond: 4,
		HourlyPrice:      10,
		HourlySpotPrice:  4,
		BootSeconds:      8,
		Zones:            []string{"a", "b"},
	}}
}

// logLevel returns the level that the environment variable LOG_LEVEL selects.
func logLevel() slog.Level {
	if os.Getenv("LOG_LEVEL") == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// startModels starts the models that controllers communicate with.
func (c *cluster) startModels(cancelTimeout time.Duration) {
	c.t.Helper()
	c.world = NewWorld(cancelTimeout, time.Second, 80*time.Second)
	for _, team := range c.cfg.Teams {
		c.world.TeamLimits[team.Name] = Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
	}
	c.answers = NewAnswerChecker(c.allTasksDone, c.recordCancelled)
	c.answers.Dependencies, c.answers.CancelTimeout = c.dependencies, cancelTimeout
	c.users = &UserClient{
		Client:  transport.NewClient(c.net.Host(usersHost), 64, 256, time.Minute),
		Checker: c.answers,
		Now:     c.now,
		OnError: func(err error) { c.t.Error(err) },
	}
	c.cloud = c.newCloud()
	c.net.SetBlocked(func(from, to string) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.blockedLinks[from+">"+to] > 0 || c.blockedLinks[from+">*"] > 0 || c.blockedLinks["*>"+to] > 0
	})
	c.serve(stateAddr, c.store)
	c.serve(cloudAddr, c.cloud)
}

// advanceModels updates the models to the current time every 50 ms until the cluster is shut down.
func (c *cluster) advanceModels() {
	for c.ctx.Err() == nil {
		time.Sleep(50 * ms)
		c.store.Advance(c.now())
		c.mu.Lock()
		c.world.Advance(c.now())
		c.mu.Unlock()
	}
}

// controllerName returns the name of the controller with the given index.
func controllerName(i int) string { return fmt.Sprintf("n-%d", i) }

// controllerIP returns the IP address of the controller with the given index.
func controllerIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// controllerSettings returns the settings of the controller with the given index.
func (c *cluster) controllerSettings(i int) config.Settings {
	settings := config.Settings{
		Name:       controllerName(i),
		Location:   "a",
		ListenAddr: controllerIP(i) + ":8080",
		MeshAddr:   controllerIP(i) + ":8081",
		Endpoints:  config.Endpoints{Cloud: cloudAddr, Store: stateAddr},
		Deployment: c.cfg,
	}
	for other := range c.cfg.Controllers {
		if other == i {
			continue
		}
		settings.Seeds = append(settings.Seeds, config.Peer{
			Name:     controllerName(other),
			Location: "a",
			Addr:     controllerIP(other) + ":8081",
		})
	}
	return settings
}

// lockedWriter makes a writer safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write writes to the underlying writer.
func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(p)
}

// logCount returns the number of occurrences of a text in the log so far.
func (c *cluster) logCount(text string) int {
	c.logWriter.mu.Lock()
	defer c.logWriter.mu.Unlock()
	return strings.Count(c.logs.String(), text)
}

// spawn runs f in a goroutine that shutDown waits for.
func (c *cluster) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// now returns the simulated time since the start of the cluster.
func (c *cluster) now() time.Duration { return time.Since(c.start) }

// randomDuration returns a random duration below d. Like all random numbers of the cluster, it depends on the purpose
// and not on the order of calls.
func (c *cluster) randomDuration(purpose string, d time.Duration) time.Duration {
	return c.random.UpTo(purpose, d)
}

// randomInt returns a random integer in [0, n).
func (c *cluster) randomInt(purpose string, n int) int { return c.random.For(purpose).IntN(n) }

// chance returns true with the given probability.
func (c *cluster) chance(purpose string, share float64) bool {
	return c.random.For(purpose).Float64() < share
}

// recordOccurrence counts an event. Scenarios check these counts to make sure that they have exercised what they are
// meant to test.
func (c *cluster) recordOccurrence(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.occurred[what]++
}

// occurrences returns the count of an event.
func (c *cluster) occurrences(what string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.occurred[what]
}

// serve runs an HTTP server for a model.
func (c *cluster) serve(addr string, h http.Handler) {
	c.t.Helper()
	host := c.net.Host(HostOf(addr))
	ln, err := host.Listen(c.ctx, addr)
	if err != nil {
		c.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	c.spawn(func() { _ = srv.Serve(ln) })
	context.AfterFunc(c.ctx, func() {
		_ = srv.Close()
		host.Kill()
	})
}

// startController starts the process of a controller.
func (c *cluster) startController(n *controller) {
	n.host = c.net.Host(n.ip)
	ctx, stop := context.WithCancel(c.ctx)
	n.stop, n.up = stop, true
	process := daemon.New(n.host, c.random.Derive(fmt.Sprint(n.name, c.now())), &n.settings, n.features, c.log)
	n.process = process
	c.spawn(func() {
		if err := process.Run(ctx); err != nil && ctx.Err() == nil {
			c.t.Errorf("controller %s ended unexpectedly: %v", n.name, err)
		}
	})
}

// crash kills the process of a controller and starts it again after downtime. It does nothing while the controller
// is down.
func (c *cluster) crash(n *controller, downtime time.Duration) {
	if !n.up {
		return
	}
	c.recordOccurrence("crash")
	n.up = false
	n.stop() // before its listeners are closed; otherwise Run would report their loss as an error
	n.host.Kill()
	time.AfterFunc(downtime+c.randomDuration("back "+n.name, ms), func() {
		if c.ctx.Err() == nil {
			c.startController(n)
		}
	})
}

// shutDown stops the cluster and waits for its goroutines.
func (c *cluster) shutDown() {
	c.stop()
	for _, n := range c.controllers {
		n.host.Kill()
	}
	c.mu.Lock()
	c.cloud.Close()
	for _, r := range c.workers {
		r.Stop()
	}
	c.mu.Unlock()
	c.net.Close()
	c.wg.Wait()
	time.Sleep(time.Minute) // let pending timers expire
}

// leader returns the controller that is recorded as the leader or, if there is none, as the leader of the last term.
func (c *cluster) leader() *controller {
	p := c.store.Get(storage.LeaderKey)
	if p.Revision == 0 {
		p = c.store.Get(storage.TermKey)
	}
	var rec struct {
		Node string `msgpack:"node"`
	}
	if p.Revision != 0 && protocol.Decode(p.Value, &rec) == nil {
		for _, n := range c.controllers {
			if n.name == rec.Node {
				return n
			}
		}
	}
	return c.controllers[0]
}

// term returns the current term.
func (c *cluster) term() uint64 {
	p := c.store.Get(storage.TermKey)
	if p.Revision == 0 {
		return 0
	}
	rec, err := storage.DecodeTerm(p.Value)
	if err != nil {
		c.t.Errorf("term record: %v", err)
	}
	return rec.Term
}

// others returns all controllers except n.
func (c *cluster) others(n *controller) (out []*controller) {
	for _, o := range c.controllers {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// blockLink blocks one direction of the link between two hosts; "*" stands for all hosts. Blocked packets are queued.
// The returned function unblocks the link.
func (c *cluster) blockLink(from, to string) func() {
	change := func(by int) {
		c.mu.Lock()
		c.blockedLinks[from+">"+to] += by
		c.mu.Unlock()
		c.net.RecheckBlocked()
	}
	change(1)
	return func() {
		change(-1)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, r := range c.workers {
			if r.ip == from || r.ip == to {
				r.model.LateCommandsAllowedUntil = c.now() + s // queued commands arrive now
			}
		}
	}
}

// repairs are functions that end parts of a fault.
type repairs []func()

// run calls all functions in order.
func (r repairs) run() {
	for _, f := range r {
		f()
	}
}

// isolateFrom blocks the links between a controller and others in both directions. The returned function unblocks them.
func (c *cluster) isolateFrom(n *controller, others ...*controller) func() {
	var unblocks repairs
	for _, o := range others {
		unblocks = append(unblocks, c.blockLink(n.ip, o.ip), c.blockLink(o.ip, n.ip))
	}
	return unblocks.run
}
