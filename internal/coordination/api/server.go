// Package api serves the users of the scheduler: it accepts jobs, answers queries about them and cancels them.
//
// Every controller serves users, whether it leads or not. What is true of a job is decided by transactions of the
// key-value store alone: a job is accepted when its live record exists, and over when its ended record does. An answer
// is never older than what any user was told before the request came, by any controller.
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

// How long a request may take. Users wait 2 s for the answer to a query, and 5 s for those to submissions and
// cancellations.
const (
	queryTimeout  = 1500 * time.Millisecond
	submitTimeout = 3 * time.Second
)

// MaxIntentAge is the age of a cancellation intent up to which a user may be told that the job is cancelled. A
// controller that cannot reach the key-value store keeps the job stopped for at least as long; after that it may find
// out that the job still lives, and run it again.
const MaxIntentAge = submitTimeout

// finalStatesPerMB is the number of final states to keep for each MB of memory that the process may use.
const finalStatesPerMB = 100

// AnnounceIntent announces to the other controllers that a job is about to be called cancelled. It returns when the
// intent was created, once a quorum holds it, and an error if no quorum can be reached.
type AnnounceIntent func(ctx context.Context, jobID string) (time.Time, error)

// LeaderStatuses asks the leader for the statuses of jobs. It returns those that the leader knows, and whether the
// leader answered in time.
type LeaderStatuses func(ctx context.Context, jobIDs []string) (map[string]protocol.JobStatus, bool)

// Server serves the users' interface. It is safe for concurrent use.
type Server struct {
	cfg            *config.Deployment
	store          *storage.Client
	random         *random.Source
	log            *slog.Logger
	reader         *jobReader
	announceIntent AnnounceIntent
	machineTypes   atomic.Pointer[[]protocol.MachineType] // nil: not known yet
	featureLevel   atomic.Int64
}

// New returns a server that is not ready: it needs the machine types first.
func New(
	cfg *config.Deployment,
	store *storage.Client,
	source *random.Source,
	log *slog.Logger,
	statuses LeaderStatuses,
	announce AnnounceIntent,
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

// SetMachineTypes sets the machine types, against which submissions are checked.
func (s *Server) SetMachineTypes(types []protocol.MachineType) { s.machineTypes.Store(&types) }

// SetFeatureLevel sets the feature level that is final.
func (s *Server) SetFeatureLevel(level featurelevel.Level) { s.featureLevel.Store(int64(level)) }

// FeatureLevel returns the feature level that was set last.
func (s *Server) FeatureLevel() featurelevel.Level { return featurelevel.Level(s.featureLevel.Load()) }

// Ready reports whether the machine types are known.
func (s *Server) Ready() bool { return s.machineTypes.Load() != nil }

// Routes adds the users' paths to a router.
func (s *Server) Routes(r chi.Router) {
	r.Post("/submissions", s.handleSubmission)
	r.Get("/submissions/{id}", s.handleQuery)
	r.Post("/submissions/{id}/withdraw", s.handleCancellation)
}
