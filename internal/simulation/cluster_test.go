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

// cluster is a deployment of real controllers in simulated time, with models of everything around them on an in-memory
// network. Its oracles are the world, which checks every start and cancellation of a task, and answers, which checks
// every answer to a user.
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
	logWriter   *lockedWriter // writes to logs, and guards it
	users       *UserClient
	ctx         context.Context
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu                sync.Mutex // guards what follows
	random            *random.Source
	world             *World
	workers           map[string]*workerProcess
	cloud             *Cloud
	bootTime          func(machine string) time.Duration
	onHeartbeat       func(r *protocol.WorkerHeartbeat) // called for each heartbeat that is sent
	blockedLinks      map[string]int                    // "from>to": the number of reasons to block it
	jobIDs            []string
	queryAfterAnswers bool
	occurred          map[string]int // see recordOccurrence
	// features returns what is enabled at a controller.
	features      func(node int) daemon.Features
	deadZones     map[string]bool // zones in which nothing can be rented
	cloudCapacity int             // the number of machines that can be rented
	zoneCapacity  int             // the number of them in one zone; 0: no limit
}

// controller is a controller of the cluster. Its process ends and starts again.
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

// fastTimings and slowTimings are the timings of workers in different deployments.
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

// newCluster starts a cluster. The options change its settings before it starts.
func newCluster(
	t *testing.T,
	seed uint64,
	controllers int,
	timings config.Workers,
	options ...func(*cluster),
) *cluster {
	t.Helper()
	l := &cluster{
		t:             t,
		start:         time.Now(),
		net:           NewNetwork(seed),
		store:         NewStore(),
		random:        random.New(seed),
		cfg:           clusterSettings(controllers, timings),
		types:         clusterMachineTypes(),
		logs:          &bytes.Buffer{},
		workers:       map[string]*workerProcess{},
		blockedLinks:  map[string]int{},
		occurred:      map[string]int{},
		features:      func(int) daemon.Features { return daemon.Features{} },
		deadZones:     map[string]bool{},
		cloudCapacity: 12,
	}
	for _, option := range options {
		option(l)
	}
	l.ctx, l.stop = context.WithCancel(t.Context())
	l.bootTime = func(name string) time.Duration {
		return 4*time.Second + l.randomDuration("boot "+name, 6*time.Second)
	}
	l.logWriter = &lockedWriter{w: l.logs}
	l.log = slog.New(slog.NewTextHandler(l.logWriter, &slog.HandlerOptions{Level: logLevel()}))
	l.startModels(config.Seconds(timings.CancelSeconds))
	for i := range controllers {
		settings := l.controllerSettings(i)
		l.controllers = append(l.controllers, &controller{
			name:     settings.Name,
			ip:       controllerIP(i),
			settings: settings,
			features: l.features(i),
		})
	}
	for _, n := range l.controllers {
		l.startController(n)
		time.Sleep(ms) // whom it reaches must not depend on which of them listens first
	}
	l.spawn(l.advanceModels)
	return l
}

// clusterSettings returns the settings that all controllers of a cluster share.
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

// clusterMachineTypes returns the only machine type of a cluster.
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

// logLevel returns the level of the variable LOG_LEVEL.
func logLevel() slog.Level {
	if os.Getenv("LOG_LEVEL") == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// startModels starts everything that controllers talk to.
func (l *cluster) startModels(cancelTimeout time.Duration) {
	l.t.Helper()
	l.world = NewWorld(cancelTimeout, time.Second, 80*time.Second)
	for _, team := range l.cfg.Teams {
		l.world.TeamLimits[team.Name] = Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}
	}
	l.answers = NewAnswerChecker(l.allTasksDone, l.recordCancelled)
	l.answers.Dependencies, l.answers.CancelTimeout = l.dependencies, cancelTimeout
	l.users = &UserClient{
		Client:  transport.NewClient(l.net.Host(usersHost), 64, 256, time.Minute),
		Checker: l.answers,
		Now:     l.now,
		OnError: func(err error) { l.t.Error(err) },
	}
	l.cloud = l.newCloud()
	l.net.SetBlocked(func(from, to string) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.blockedLinks[from+">"+to] > 0 || l.blockedLinks[from+">*"] > 0 || l.blockedLinks["*>"+to] > 0
	})
	l.serve(stateAddr, l.store)
	l.serve(cloudAddr, l.cloud)
}

// advanceModels lets time pass for the models until the cluster ends.
func (l *cluster) advanceModels() {
	for l.ctx.Err() == nil {
		time.Sleep(50 * ms)
		l.store.Advance(l.now())
		l.mu.Lock()
		l.world.Advance(l.now())
		l.mu.Unlock()
	}
}

// controllerName returns the name of a controller by its index.
func controllerName(i int) string { return fmt.Sprintf("n-%d", i) }

// controllerIP returns the host of a controller by its index.
func controllerIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// controllerSettings returns the settings of a controller by its index.
func (l *cluster) controllerSettings(i int) config.Settings {
	settings := config.Settings{
		Name:       controllerName(i),
		Location:   "a",
		ListenAddr: controllerIP(i) + ":8080",
		MeshAddr:   controllerIP(i) + ":8081",
		Endpoints:  config.Endpoints{Cloud: cloudAddr, Store: stateAddr},
		Deployment: l.cfg,
	}
	for other := range l.cfg.Controllers {
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

// logCount returns how often a text occurs in the log so far.
func (l *cluster) logCount(text string) int {
	l.logWriter.mu.Lock()
	defer l.logWriter.mu.Unlock()
	return strings.Count(l.logs.String(), text)
}

// spawn runs f in a goroutine that shutDown waits for.
func (l *cluster) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

// now returns the simulated time since the start.
func (l *cluster) now() time.Duration { return time.Since(l.start) }

// randomDuration returns a random duration up to d. Like all random numbers of the cluster it depends on the purpose
// and not on the order of calls.
func (l *cluster) randomDuration(purpose string, d time.Duration) time.Duration {
	return l.random.UpTo(purpose, d)
}

// randomInt returns a random number below n.
func (l *cluster) randomInt(purpose string, n int) int { return l.random.For(purpose).IntN(n) }

// chance returns true with the given probability.
func (l *cluster) chance(purpose string, share float64) bool {
	return l.random.For(purpose).Float64() < share
}

// recordOccurrence records that something has occurred that a scenario may demand.
func (l *cluster) recordOccurrence(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.occurred[what]++
}

// occurrences returns how often something has occurred.
func (l *cluster) occurrences(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.occurred[what]
}

// serve runs an HTTP server of a model.
func (l *cluster) serve(addr string, h http.Handler) {
	l.t.Helper()
	host := l.net.Host(HostOf(addr))
	ln, err := host.Listen(l.ctx, addr)
	if err != nil {
		l.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.spawn(func() { _ = srv.Serve(ln) })
	context.AfterFunc(l.ctx, func() {
		_ = srv.Close()
		host.Kill()
	})
}

// startController starts the process of a controller.
func (l *cluster) startController(n *controller) {
	n.host = l.net.Host(n.ip)
	ctx, stop := context.WithCancel(l.ctx)
	n.stop, n.up = stop, true
	process := daemon.New(n.host, l.random.Named(fmt.Sprint(n.name, l.now())), &n.settings, n.features, l.log)
	n.process = process
	l.spawn(func() {
		if err := process.Run(ctx); err != nil && ctx.Err() == nil {
			l.t.Errorf("%s ended: %v", n.name, err)
		}
	})
}

// crash ends the process of a controller, and starts it again after a while.
func (l *cluster) crash(n *controller, back time.Duration) {
	if !n.up {
		return
	}
	l.recordOccurrence("crash")
	n.up = false
	n.stop() // before its listeners are gone, or it would say that it ended by itself
	n.host.Kill()
	time.AfterFunc(back+l.randomDuration("back "+n.name, ms), func() {
		if l.ctx.Err() == nil {
			l.startController(n)
		}
	})
}

// shutDown ends everything, and waits for what is still under way.
func (l *cluster) shutDown() {
	l.stop()
	for _, n := range l.controllers {
		n.host.Kill()
	}
	l.mu.Lock()
	l.cloud.Close()
	for _, r := range l.workers {
		r.Stop()
	}
	l.mu.Unlock()
	l.net.Close()
	l.wg.Wait()
	time.Sleep(time.Minute) // what still waits for its time
}

// leader returns the controller that holds the leader's key, or held it last.
func (l *cluster) leader() *controller {
	p := l.store.Get(storage.LeaderKey)
	if p.Revision == 0 {
		p = l.store.Get(storage.TermKey)
	}
	var rec struct {
		Node string `msgpack:"node"`
	}
	if p.Revision != 0 && protocol.Decode(p.Value, &rec) == nil {
		for _, n := range l.controllers {
			if n.name == rec.Node {
				return n
			}
		}
	}
	return l.controllers[0]
}

// term returns the current term.
func (l *cluster) term() uint64 {
	p := l.store.Get(storage.TermKey)
	if p.Revision == 0 {
		return 0
	}
	rec, err := storage.DecodeTerm(p.Value)
	if err != nil {
		l.t.Errorf("term record: %v", err)
	}
	return rec.Term
}

// others returns all controllers but one.
func (l *cluster) others(n *controller) (out []*controller) {
	for _, o := range l.controllers {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// blockLink holds back what one host sends to another. "*" stands for every host. The returned function ends that.
func (l *cluster) blockLink(from, to string) func() {
	change := func(by int) {
		l.mu.Lock()
		l.blockedLinks[from+">"+to] += by
		l.mu.Unlock()
		l.net.RecheckBlocked()
	}
	change(1)
	return func() {
		change(-1)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.workers {
			if r.ip == from || r.ip == to {
				r.model.ExcusedUntil = l.now() + s // what was held back arrives now
			}
		}
	}
}

// isolateFrom blocks the links between a controller and others in both directions. The returned function ends that.
func (l *cluster) isolateFrom(n *controller, others ...*controller) func() {
	var ends []func()
	for _, o := range others {
		ends = append(ends, l.blockLink(n.ip, o.ip), l.blockLink(o.ip, n.ip))
	}
	return func() {
		for _, f := range ends {
			f()
		}
	}
}
