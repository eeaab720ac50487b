// Package daemon assembles a controller from its actors and connects them to users, workers and the other controllers.
//
// Election, fencing, feature levels, failure detection and ownership are each run by an actor: one goroutine that owns
// its state and processes the messages in its mailbox.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"pinebay/internal/config"
	"pinebay/internal/coordination/api"
	"pinebay/internal/coordination/cancellation"
	"pinebay/internal/coordination/leader"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// serverSocketShare is the share of the process's sockets for connections from users and workers. The remaining sockets
// are for requests to workers (see config.Quota), and for connections to the key-value store (see package storage), the
// cloud and the other controllers.
const serverSocketShare = 0.75

// Limits of the HTTP server for users and workers.
const (
	maxHeaderBytes = 8 << 10          // size of the header of a request
	minIdleTimeout = 30 * time.Second // minimum time for which an idle connection is kept open
)

// Controller is one controller process of the scheduler.
type Controller struct {
	*environment
	network   transport.Network
	api       *api.Server
	ready     *readiness
	election  *electionActor
	fencing   *fencingActor
	levels    *featureLevelActor
	detector  *failureDetectorActor // nil if ownership is disabled
	ownership *ownershipActor       // nil if ownership is disabled
	owner     *machineOwner         // nil if ownership is disabled
	exchange  *peerExchange
	workers   *workerHeartbeats
}

// New returns a controller that is not running yet. All of its random numbers come from source.
func New(
	network transport.Network,
	source *random.Source,
	cfg *config.Settings,
	features Features,
	log *slog.Logger,
) *Controller {
	seeds := otherControllers(cfg)
	env := newEnvironment(network, source, cfg, features, log)
	env.intents = newIntentLog(env, peerNames(seeds))
	peers := newPeerTable(env)
	announcer := newIntentAnnouncer(env, peers, peerNames(seeds))
	apiServer := api.New(&cfg.Deployment, env.store, source, env.log, env.jobStatuses, announcer.announce)
	c := &Controller{
		environment: env,
		network:     network,
		api:         apiServer,
		ready:       &readiness{environment: env, api: apiServer, peers: peers},
		fencing:     newFencingActor(env, peers),
		levels:      newFeatureLevelActor(env, peerNames(seeds), apiServer),
	}
	commands := newCommandClient(network, &cfg.Deployment)
	c.election = newElectionActor(env, peerNames(seeds), apiServer, commands, c.levels)
	if features.Ownership {
		c.ownership = newOwnershipActor(env, apiServer)
		c.detector = c.ownership.detector
		c.owner = newMachineOwner(env, c.ownership, peers)
	}
	c.workers = &workerHeartbeats{
		environment: env,
		peers:       peers,
		fencing:     c.fencing,
		owner:       c.owner,
		redirects:   newRedirectTracker(config.Seconds(cfg.Deployment.Workers.LeaseSeconds)),
	}
	c.exchange = &peerExchange{
		environment:     env,
		peers:           peers,
		election:        c.election,
		fencing:         c.fencing,
		levels:          c.levels,
		ownership:       c.ownership,
		owner:           c.owner,
		detector:        c.detector,
		intentAnnouncer: announcer,
		workers:         c.workers,
	}
	env.mesh = newMesh(network, env, seeds, c.exchange, c.election)
	return c
}

// newEnvironment returns the environment of a controller, without its intent log and its mesh.
func newEnvironment(
	network transport.Network,
	source *random.Source,
	cfg *config.Settings,
	features Features,
	log *slog.Logger,
) *environment {
	d := &cfg.Deployment
	storeTimeout := config.Seconds(min(d.Workers.LeaseSeconds/5, d.Workers.GangPeerSeconds/2))
	return &environment{
		leaderState: &leaderState{},
		cfg:         cfg,
		features:    features,
		times:       ElectionTiming(d),
		start:       time.Now(),
		log:         log.With("controller", cfg.Name),
		random:      source,
		store:       storage.NewClient(network, source, d, cfg.Endpoints.Store, storeTimeout),
		cloud:       leader.NewCloudClient(network, cfg.Endpoints.Cloud, d.Cloud),
	}
}

// otherControllers returns the seeds other than this controller.
func otherControllers(cfg *config.Settings) []config.Peer {
	return slices.DeleteFunc(slices.Clone(cfg.Seeds), func(p config.Peer) bool { return p.Name == cfg.Name })
}

func peerNames(seeds []config.Peer) []string {
	var list []string
	for _, p := range seeds {
		list = append(list, p.Name)
	}
	return list
}

func newIntentLog(env *environment, peers []string) *cancellation.IntentLog {
	d := &env.cfg.Deployment
	retention := intentRetention(d, env.times)
	// The write rate of the key-value store limits how many jobs can be cancelled within the retention period.
	limit := int(max(1, d.Store.WriteRPS*retention.Seconds()))
	return cancellation.New(env.random, peers, retention, env.now()+env.times.RecoveryPeriod, limit)
}

// newCommandClient returns the HTTP client that sends commands to workers.
func newCommandClient(network transport.Network, d *config.Deployment) *transport.Client {
	return transport.NewClient(network, 1, d.Quota.MaxWorkerRequests(), config.Seconds(d.Workers.LeaseSeconds))
}

func newMesh(
	network transport.Network,
	env *environment,
	seeds []config.Peer,
	exchange *peerExchange,
	elections *electionActor,
) *transport.Mesh {
	addresses := map[string]string{}
	for _, p := range seeds {
		addresses[p.Name] = p.Addr
	}
	timeout := env.times.LeaderTimeout / 2
	return transport.NewMesh(transport.MeshConfig{
		Network:    network,
		Self:       env.cfg.Name,
		Peers:      addresses,
		Timeout:    timeout,
		Log:        env.log,
		Handle:     exchange.handle,
		OnPeerLost: elections.peerDisconnected,
	})
}

// Run serves requests until ctx ends. It returns after all goroutines of the controller have ended.
func (c *Controller) Run(ctx context.Context) error {
	sockets := int(float64(c.cfg.Deployment.Quota.MaxSockets) * serverSocketShare)
	listener, err := transport.Listen(ctx, c.network, c.cfg.ListenAddr, sockets)
	if err != nil {
		return err
	}
	meshListener, err := c.network.Listen(ctx, c.cfg.MeshAddr)
	if err != nil {
		_ = listener.Close() // no connection has been accepted yet
		return err
	}
	server := c.newServer(listener)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error { return c.mesh.Serve(ctx, meshListener) })
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	for _, run := range []func(context.Context){
		c.election.run,
		c.fencing.run,
		c.detector.run,
		c.ownership.run,
		c.ownership.watchRecord,
		c.owner.sendDigests,
		c.levels.run,
		c.election.watchLeaderKey,
		c.ready.loadMachineTypes,
		c.ready.probeStore,
	} {
		g.Go(func() error { run(ctx); return nil })
	}
	if c.features.Timing != nil {
		g.Go(func() error { c.features.Timing.Run(ctx, c.log); return nil })
	}
	for _, peer := range c.mesh.Peers() {
		g.Go(func() error { c.exchange.sendHeartbeats(ctx, peer); return nil })
	}
	return g.Wait()
}

// Drain prepares a controller for shutdown by handing its machines over to the other controllers. It returns when their
// workers have had time to be redirected, or when no other controller has taken over within the time in which a leader
// would be replaced. On the leader it returns immediately, because the leader's machines pass to its successor.
func (c *Controller) Drain(ctx context.Context) { c.ownership.drain(ctx) }

// newServer returns the HTTP server for users and workers.
func (c *Controller) newServer(listener *transport.Listener) *http.Server {
	lease := config.Seconds(c.cfg.Deployment.Workers.LeaseSeconds)
	return &http.Server{
		Handler:           c.routes(),
		ReadHeaderTimeout: lease,
		ReadTimeout:       lease,
		IdleTimeout:       max(3*lease, minIdleTimeout),
		ConnState:         listener.ConnState,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
}

func (c *Controller) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", c.ready.serve)
	r.Post("/v1/report", c.workers.handle)
	c.api.Routes(r)
	return r
}
