// Package daemon puts a controller together: it wires the layers and runs the
// election.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/failuredetector"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/fencing"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/coordination/zonefailover"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/timing"
	"pinebay/internal/transport"
)

// Shares of the sockets that a process may have. The rest is for the state
// service (see storage), the cloud and the other controllers.
const (
	serverSocketShare  = 0.75    // users and workers
	commandSocketShare = 1. / 16 // direct commands under way, and as many idle connections
)

// Controller is one process of the service.
type Controller struct {
	network  transport.Network
	random   *random.Source
	cfg      *config.Settings
	features Features
	log      *slog.Logger
	start    time.Time
	times    election.Timing

	store   *storage.Client
	cloud   *leader.CloudClient
	workers *transport.Client
	mesh    *transport.Mesh
	api     *api.Server

	electionMailbox    *actor.Mailbox[election.Event]
	election           *election.Election
	view               atomic.Pointer[election.View]
	leading            atomic.Pointer[leader.Leader]
	fencingMailbox     *actor.Mailbox[fencing.Event]
	fencingMonitor     *fencing.Fencer
	intents            *cancellation.IntentLog
	failureDetector    *failureDetector         // nil: off
	ownership          *ownershipState          // nil: off
	heartbeatNow       map[string]chan struct{} // make the beat to a peer leave at once
	peersMu            sync.Mutex
	peers              map[string]election.PeerStatus // what each last answered of itself
	standbyRenewers    map[string]time.Duration       // peers that renew leases without a leader, and when they last said so
	redirects          *RedirectTracker
	levelMailbox       *actor.Mailbox[featurelevel.Event]
	levels             *featurelevel.Gate
	newerLevelLogged   sync.Once
	peerReachedStoreAt atomic.Int64 // steady time when a peer last had the state service
	peerHeardAt        atomic.Int64 // steady time when a peer was last heard
}

// Times derives the election's times from the settings.
func Times(d *config.Deployment) election.Timing {
	lease, cancel := config.Seconds(d.Workers.LeaseSeconds), config.Seconds(d.Workers.CancelSeconds)
	base := min(lease, cancel/4)
	t := election.Timing{
		HeartbeatInterval: base / 40, LeaderTimeout: base / 5, LeaseTTL: max(3*base/10, 100*time.Millisecond),
		ConfirmationTimeout: base / 2, CandidateDelay: base / 50, CancellationTimeout: api.MaxIntentAge,
	}
	t.ConfirmationTimeout = min(t.ConfirmationTimeout, max((cancel-lease)/4, 4*t.HeartbeatInterval))
	// Whoever does not know of a cancellation renews a lease for the last time within
	// the Horizon of its confirmation, and the task must be gone within the cancel time.
	t.RenewalHorizon = max(t.ConfirmationTimeout, cancel-cancel/8-lease)
	t.RecoveryPeriod = lease + t.RenewalHorizon + t.LeaderTimeout
	return t
}

// Features are what an operator has turned on. Without any a controller does what it always
// did, and features send and hold nothing.
type Features struct {
	// ZoneReturn is the order in which work returns when a zone is lost; nil: off.
	ZoneReturn *zonefailover.RecoveryOrder
	// Ownership watches the other controllers for failures, and parts the machines among those that live.
	Ownership bool
	// Timing measures the leader's steps and heartbeats and logs them; nil: off.
	Timing *timing.Recorder
	// PinProductionLevel keeps the controller at the feature level of the version in production, so that tests can
	// mix levels; it is no operator's flag.
	PinProductionLevel bool
}

// featureLevel is the feature level that a controller speaks.
func (f Features) featureLevel() featurelevel.Level {
	if f.PinProductionLevel {
		return featurelevel.Production
	}
	return featurelevel.Current
}

// New returns a controller that is not running yet. It draws its random numbers from the source.
func New(
	network transport.Network,
	source *random.Source,
	cfg *config.Settings,
	features Features,
	log *slog.Logger,
) *Controller {
	d := &cfg.Deployment
	c := &Controller{
		network:         network,
		random:          source,
		cfg:             cfg,
		features:        features,
		log:             log.With("node", cfg.Name),
		start:           time.Now(),
		times:           Times(d),
		electionMailbox: actor.NewMailbox[election.Event](),
		fencingMailbox:  actor.NewMailbox[fencing.Event](),
		fencingMonitor:  fencing.New(fencingTimes(d)),
		peers:           map[string]election.PeerStatus{},
		standbyRenewers: map[string]time.Duration{},
		heartbeatNow:    map[string]chan struct{}{},
		redirects:       NewRedirectTracker(config.Seconds(d.Workers.LeaseSeconds)),
	}
	c.store = storage.NewClient(
		network,
		source,
		d,
		cfg.Endpoints.Store,
		config.Seconds(min(d.Workers.LeaseSeconds/5, d.Workers.GangPeerSeconds/2)),
	)
	c.cloud = leader.NewCloudClient(network, cfg.Endpoints.Cloud, d.Cloud)
	c.workers = transport.NewClient(
		network,
		1,
		max(1, int(float64(d.Quota.MaxSockets)*commandSocketShare)),
		config.Seconds(d.Workers.LeaseSeconds),
	)
	c.api = api.New(d, c.store, source, c.log, c.jobStatuses, c.announceCancellation)
	peers := map[string]string{}
	var names []string
	for _, p := range cfg.Seeds {
		if p.Name == cfg.Name {
			continue
		}
		peers[p.Name] = p.Addr
		names = append(names, p.Name)
		c.heartbeatNow[p.Name] = make(chan struct{}, 1)
	}
	keep := intentRetention(d, c.times)
	// The state service's writes bound how many cancellations there can be.
	c.intents = cancellation.New(
		source,
		names,
		keep,
		c.now()+c.times.RecoveryPeriod,
		int(max(1, d.Store.WriteRPS*keep.Seconds())),
	)
	c.mesh = transport.NewMesh(network, cfg.Name, peers, c.times.LeaderTimeout/2, c.log, c.handlePeerMessage,
		func(node string) { c.electionMailbox.Send(election.PeerDisconnected{Peer: node}) })
	if features.Ownership {
		c.failureDetector = &failureDetector{
			mailbox:           actor.NewMailbox[failuredetector.Event](),
			malformedLogLimit: rate.Sometimes{Interval: c.times.LeaderTimeout},
		}
		c.ownership = c.newOwnershipState()
	}
	c.levelMailbox = actor.NewMailbox[featurelevel.Event]()
	c.levels = featurelevel.New(cfg.Name, names, features.featureLevel(), c.times.LeaderTimeout/2)
	c.election = election.New(c.now(), cfg.Name, names, c.times)
	c.publishView()
	return c
}

func (c *Controller) now() time.Duration { return time.Since(c.start) }

func (c *Controller) publishView() {
	v := c.election.View(c.now())
	c.view.Store(&v)
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	l, err := transport.Listen(
		c.network,
		c.cfg.ListenAddr,
		int(float64(c.cfg.Deployment.Quota.MaxSockets)*serverSocketShare),
	)
	if err != nil {
		return err
	}
	ml, err := c.network.Listen(c.cfg.MeshAddr)
	if err != nil {
		l.Close()
		return err
	}
	lease := config.Seconds(c.cfg.Deployment.Workers.LeaseSeconds)
	srv := &http.Server{
		Handler: c.routes(), ReadHeaderTimeout: lease, ReadTimeout: lease, IdleTimeout: max(3*lease, 30*time.Second),
		ConnState: l.ConnState, MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error { return c.mesh.Serve(ctx, ml) })
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	g.Go(func() error { c.runElection(ctx); return nil })
	g.Go(func() error { c.runFencing(ctx); return nil })
	g.Go(func() error { c.runFailureDetector(ctx); return nil })
	g.Go(func() error { c.runOwnership(ctx); return nil })
	g.Go(func() error { c.watchOwnership(ctx); return nil })
	g.Go(func() error { c.sendDigests(ctx); return nil })
	g.Go(func() error { c.runLevels(ctx); return nil })
	g.Go(func() error { c.watchLeader(ctx); return nil })
	g.Go(func() error { c.loadMachineTypes(ctx); return nil })
	g.Go(func() error { c.probeStore(ctx); return nil })
	if c.features.Timing != nil {
		g.Go(func() error { c.features.Timing.Run(ctx, c.log); return nil })
	}
	for _, p := range c.mesh.Peers() {
		g.Go(func() error { c.sendHeartbeats(ctx, p); return nil })
	}
	return g.Wait()
}

func (c *Controller) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", c.serveReady)
	r.Post("/v1/report", c.handleHeartbeat)
	c.api.Routes(r)
	return r
}

// serveReady says whether users should come here. During an outage that all
// controllers share, going away would only add to the trouble; a controller
// that alone cannot reach the state service should not be asked.
func (c *Controller) serveReady(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if !c.api.Ready() || c.isolated() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// isolated says whether the state service is out of reach here and, as far as can
// be told, not for all: a peer has had an answer from it well after our last,
// or no peer is in contact at all.
func (c *Controller) isolated() bool {
	silent := c.store.SinceLastAnswer()
	if silent <= c.times.LeaderTimeout {
		return false
	}
	last := c.now() - silent
	return time.Duration(c.peerReachedStoreAt.Load()) > last+c.times.LeaderTimeout ||
		c.now()-time.Duration(c.peerHeardAt.Load()) > c.times.LeaderTimeout
}

// probeStore asks the state service for something small when nothing else has for a
// while, so that silence means that it does not answer.
func (c *Controller) probeStore(ctx context.Context) {
	for ctx.Err() == nil {
		if c.store.SinceLastAnswer() > c.times.LeaderTimeout/4 {
			if _, err := c.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey); err != nil {
				c.log.Debug("state service does not answer", "err", err)
			}
		}
		c.random.Pause(ctx, "probe", c.times.LeaderTimeout/8)
	}
}

// loadMachineTypes reads the machine types once, without which nobody can be
// answered; the leader follows the prices.
func (c *Controller) loadMachineTypes(ctx context.Context) {
	for ctx.Err() == nil && !c.api.Ready() {
		types, err := c.cloud.MachineTypes(ctx, c.store)
		if err == nil {
			c.api.SetMachineTypes(types)
			return
		}
		c.log.Info("machine types not read", "err", err)
		c.random.Pause(ctx, "machine types", c.times.HeartbeatInterval*2)
	}
}
