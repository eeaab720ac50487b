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

// live is a deployment of real controllers in simulated time, against the stand-ins
// over an in-memory network. Its oracles are the world, which checks every start and
// cancellation, and the ledger, which checks every answer to a user.
type live struct {
	t      *testing.T
	start  time.Time
	net    *Network
	state  *State
	ledger *Ledger
	nodes  []*controller
	cfg    config.Deployment
	types  []protocol.MachineType
	log    *slog.Logger
	logs   *bytes.Buffer
	logged *locked // guards logs
	users  *Users
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex // guards what follows
	random   *random.Source
	world    *World
	rigs     map[string]*rig
	rented   *Cloud
	boot     func(machine string) time.Duration
	reports  func(r *protocol.Report) // sees every report that is sent
	cuts     map[string]int           // "from>to" to how often it is cut
	jobs     []string
	looks    bool
	happened map[string]int // what the troubles have come to
	// features are what is turned on, on all controllers but those that it is off on.
	features func(node int) daemon.Features
	dead     map[string]bool // zones in which nothing can be rented
	room     int             // machines that the cloud has
	zoneRoom int             // those of one zone; 0: no bound of its own
}

type controller struct {
	name, ip string
	host     *Host
	stop     context.CancelFunc
	settings config.Settings
	process  *daemon.Controller
	features daemon.Features
	up       bool
}

const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
	usersHost = "10.3.0.1"
)

// times are the workers' times of a deployment.
var (
	brisk = config.Workers{ReportS: 1, LeaseS: 10, GangWaitS: 45, GangPeerS: 4, CancelS: 40}
	slow  = config.Workers{ReportS: 3, LeaseS: 29, GangWaitS: 60, GangPeerS: 5, CancelS: 59}
)

func newLive(t *testing.T, seed uint64, controllers int, w config.Workers, options ...func(*live)) *live {
	l := &live{
		t: t, start: time.Now(), net: NewNetwork(seed), state: NewState(), random: random.New(seed),
		cfg: config.Deployment{
			Nodes: controllers, Zones: []string{"a", "b"}, ClockOffMS: 250,
			Teams:   []config.Team{{Name: "red", GPUsMax: 40}, {Name: "blue", GPUs: 8, GPUsMax: 24}},
			Workers: w, State: config.State{RPS: 150, WriteRPS: 40, ValueKB: 8, TxnOps: 16},
			Cloud:      config.Cloud{RPS: 2, ListLagS: 4},
			Quota:      config.Quota{CoreShare: 0.1, RAMMB: 70, MaxSockets: 500},
			Objectives: []config.Objective{{Kind: "wait", Class: "daemon", WithinS: 5, Share: 0.9}},
		},
		types: []protocol.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 4, Price: 10,
			SpotPrice: 4, BootS: 8, Zones: []string{"a", "b"}}},
		logs: &bytes.Buffer{}, rigs: map[string]*rig{}, cuts: map[string]int{}, happened: map[string]int{},
		features: func(int) daemon.Features { return daemon.Features{} }, dead: map[string]bool{}, room: 12,
	}
	for _, option := range options {
		option(l)
	}
	l.ctx, l.stop = context.WithCancel(t.Context())
	l.world = NewWorld(config.Seconds(w.CancelS), time.Second, 80*time.Second)
	for _, team := range l.cfg.Teams {
		l.world.Limits[team.Name] = [2]float64{team.CPUsMax, team.GPUsMax}
	}
	l.boot = func(name string) time.Duration { return 4*time.Second + l.upTo("boot "+name, 6*time.Second) }
	l.ledger = NewLedger(l.allDone, l.toldCancelled)
	l.ledger.Awaits, l.ledger.CancelS = l.awaits, config.Seconds(w.CancelS)
	level := slog.LevelInfo
	if os.Getenv("LOG_LEVEL") == "debug" {
		level = slog.LevelDebug
	}
	l.logged = &locked{w: l.logs}
	l.log = slog.New(slog.NewTextHandler(l.logged, &slog.HandlerOptions{Level: level}))
	l.users = &Users{Client: transport.NewClient(l.net.Host(usersHost), 64, 256, time.Minute), Ledger: l.ledger, Now: l.now,
		Fault: func(err error) { l.t.Error(err) }}
	l.rented = l.newCloud()
	l.net.Cut(func(from, to string) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.cuts[from+">"+to] > 0 || l.cuts[from+">*"] > 0 || l.cuts["*>"+to] > 0
	})
	l.serve(stateAddr, l.state)
	l.serve(cloudAddr, l.rented)
	for i := range controllers {
		ip := fmt.Sprintf("10.0.0.%d", i+1)
		s := config.Settings{Node: fmt.Sprintf("n-%d", i), Location: "a", Listen: ip + ":8080", MeshAddr: ip + ":8081",
			Outside: config.Outside{Cloud: cloudAddr, State: stateAddr}, Deploy: l.cfg}
		for k := range controllers {
			if k != i {
				s.Seeds = append(s.Seeds, config.Peer{Node: fmt.Sprintf("n-%d", k), Location: "a", Addr: fmt.Sprintf("10.0.0.%d:8081", k+1)})
			}
		}
		l.nodes = append(l.nodes, &controller{name: s.Node, ip: ip, settings: s, features: l.features(i)})
	}
	for _, n := range l.nodes {
		l.boots(n)
		time.Sleep(ms) // whom it reaches must not depend on which of them listens first
	}
	l.go_(func() {
		for l.ctx.Err() == nil {
			time.Sleep(50 * ms)
			l.state.Advance(l.now())
			l.mu.Lock()
			l.world.Advance(l.now())
			l.mu.Unlock()
		}
	})
	return l
}

type locked struct {
	mu sync.Mutex
	w  io.Writer
}

func (w *locked) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(p)
}

// logCount returns how often a text stands in the logs so far.
func (l *live) logCount(text string) int {
	l.logged.mu.Lock()
	defer l.logged.mu.Unlock()
	return strings.Count(l.logs.String(), text)
}

func (l *live) go_(f func()) {
	l.wg.Add(1)
	go func() { defer l.wg.Done(); f() }()
}

func (l *live) now() time.Duration { return time.Since(l.start) }

// upTo, draw and chance draw for a purpose.

func (l *live) upTo(purpose string, d time.Duration) time.Duration { return l.random.UpTo(purpose, d) }

func (l *live) draw(purpose string, n int) int { return l.random.For(purpose).IntN(n) }

func (l *live) chance(purpose string, share float64) bool {
	return l.random.For(purpose).Float64() < share
}

func (l *live) note(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.happened[what]++
}

func (l *live) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.happened[what]
}

// serve runs an outside service.
func (l *live) serve(addr string, h http.Handler) *Host {
	host := l.net.Host(HostOf(addr))
	ln, err := host.Listen(addr)
	if err != nil {
		l.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	l.go_(func() { _ = srv.Serve(ln) })
	context.AfterFunc(l.ctx, func() { srv.Close(); host.Kill() })
	return host
}

// boots starts a controller's process.
func (l *live) boots(n *controller) {
	n.host = l.net.Host(n.ip)
	ctx, stop := context.WithCancel(l.ctx)
	n.stop, n.up = stop, true
	process := daemon.New(n.host, l.random.Named(fmt.Sprint(n.name, l.now())), &n.settings, n.features, l.log)
	n.process = process
	l.go_(func() {
		if err := process.Run(ctx); err != nil && ctx.Err() == nil {
			l.t.Errorf("%s ended: %v", n.name, err)
		}
	})
}

// crash ends a controller's process, which is back after a while.
func (l *live) crash(n *controller, back time.Duration) {
	if !n.up {
		return
	}
	l.note("crash")
	n.up = false
	n.stop() // before its listeners are gone, or it would say that it ended by itself
	n.host.Kill()
	time.AfterFunc(back+l.upTo("back "+n.name, ms), func() {
		if l.ctx.Err() == nil {
			l.boots(n)
		}
	})
}

// end ends everything.
func (l *live) end() {
	l.stop()
	for _, n := range l.nodes {
		n.host.Kill()
	}
	l.mu.Lock()
	l.rented.Close()
	for _, r := range l.rigs {
		r.Stop()
	}
	l.mu.Unlock()
	l.net.Close()
	l.wg.Wait()
	time.Sleep(time.Minute) // what still waits for its time
}

// leader returns the controller that the state service names, or the last one named.
func (l *live) leader() *controller {
	p := l.state.Get(storage.LeaderKey)
	if p.Version == 0 {
		p = l.state.Get(storage.TermKey)
	}
	var rec struct {
		Node string `msgpack:"node"`
	}
	if p.Version != 0 && protocol.Decode(p.Value, &rec) == nil {
		for _, n := range l.nodes {
			if n.name == rec.Node {
				return n
			}
		}
	}
	return l.nodes[0]
}

func (l *live) term() uint64 {
	p := l.state.Get(storage.TermKey)
	if p.Version == 0 {
		return 0
	}
	rec, err := storage.DecodeTerm(p.Value)
	if err != nil {
		l.t.Errorf("term record: %v", err)
	}
	return rec.Term
}

// others returns the controllers but the given one.
func (l *live) others(n *controller) (out []*controller) {
	for _, o := range l.nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// cut makes what one host sends to the other wait; "*" is any host. It returns what
// ends the cut.
func (l *live) cut(from, to string) func() {
	change := func(by int) {
		l.mu.Lock()
		l.cuts[from+">"+to] += by
		l.mu.Unlock()
		l.net.Changed()
	}
	change(1)
	return func() {
		change(-1)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.rigs {
			if r.ip == from || r.ip == to {
				r.w.Excused = l.now() + s // what was held back arrives now
			}
		}
	}
}

// apart cuts controllers from each other, both ways, and returns what ends it.
func (l *live) apart(n *controller, others ...*controller) func() {
	var ends []func()
	for _, o := range others {
		ends = append(ends, l.cut(n.ip, o.ip), l.cut(o.ip, n.ip))
	}
	return func() {
		for _, f := range ends {
			f()
		}
	}
}
