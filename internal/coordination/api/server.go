// Package api serves users: it accepts submissions of jobs, answers queries about jobs and cancels them.
//
// Every controller serves users, whether or not it is the leader. The state of a job is determined by transactions of
// the key-value store alone: a job is accepted once its live record exists, and has ended once its ended record exists.
// A response is never older than what any controller told any user before the request arrived.
package api

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/storage"
)

// Timeouts of requests. Users wait 2 s for the response to a query, and 5 s for the response to a submission or a
// cancellation.
const (
	queryTimeout  = 1500 * time.Millisecond
	submitTimeout = 3 * time.Second
)

// MaxIntentAge is the maximum age of a cancellation intent at which a user may be told that the job is cancelled. A
// controller that cannot reach the key-value store keeps the job stopped for at least this long. After that it may find
// the job still live in the store and run it again.
const MaxIntentAge = submitTimeout

// finalStatesPerMB is the number of outcomes to cache for each MB of the process's memory limit.
const finalStatesPerMB = 100

// AnnounceIntentFunc announces an intent to cancel a job to the other controllers. Once a quorum holds the intent, it
// returns the time at which the intent was created. It returns an error if no quorum can be reached.
type AnnounceIntentFunc func(ctx context.Context, jobID string) (time.Time, error)

// LeaderStatusesFunc asks the leader for the statuses of jobs. It returns the statuses of the jobs that the leader
// knows, by id, and whether the leader answered in time.
type LeaderStatusesFunc func(ctx context.Context, jobIDs []string) (map[string]protocol.JobStatus, bool)

// Server serves the users' API. It is safe for concurrent use.
type Server struct {
	cfg            *config.Deployment
	store          *storage.Client
	random         *random.Source
	log            *slog.Logger
	reader         *jobReader
	announceIntent AnnounceIntentFunc
	machineTypes   atomic.Pointer[[]protocol.MachineType] // nil until they are known
	featureLevel   atomic.Int64
}

// New returns a server. It is not ready until SetMachineTypes is called.
func New(
	cfg *config.Deployment,
	store *storage.Client,
	source *random.Source,
	log *slog.Logger,
	statuses LeaderStatusesFunc,
	announce AnnounceIntentFunc,
) *Server {
	finals := newFinalStates(int(cfg.Quota.RAMMB * finalStatesPerMB))
	return &Server{
		cfg:            cfg,
		store:          store,
		random:         source,
		log:            log,
		reader:         newJobReader(store, log, statuses, finals),
		announceIntent: announce,
	}
}

// SetMachineTypes sets the machine types, which submissions are checked against.
func (s *Server) SetMachineTypes(types []protocol.MachineType) { s.machineTypes.Store(&types) }

// SetFeatureLevel sets the final feature level.
func (s *Server) SetFeatureLevel(level featurelevel.Level) { s.featureLevel.Store(int64(level)) }

// FeatureLevel returns the feature level set by the last call of SetFeatureLevel.
func (s *Server) FeatureLevel() featurelevel.Level { return featurelevel.Level(s.featureLevel.Load()) }

// Ready reports whether the machine types are known, without which submissions are rejected.
func (s *Server) Ready() bool { return s.machineTypes.Load() != nil }

// Routes adds the routes of the users' API to r.
func (s *Server) Routes(r chi.Router) {
	r.Post("/submissions", s.handleSubmission)
	r.Get("/submissions/{id}", s.handleQuery)
	r.Post("/submissions/{id}/withdraw", s.handleCancellation)
}
