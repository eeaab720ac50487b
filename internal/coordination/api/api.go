// Package api serves users: it accepts, answers for and cancels jobs. Any
// controller does so, leader or not, since the state service decides.
package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// Server answers users.
type Server struct {
	cfg    *config.Deployment
	store  *storage.Client
	random *random.Source
	log    *slog.Logger
	reader *jobReader
	// announceIntent has a majority of the controllers hold an intent that a job is cancelled.
	announceIntent AnnounceIntent
	machineTypes   atomic.Pointer[[]protocol.MachineType]
	featureLevel   atomic.Int64
}

// AnnounceIntent has a majority of the controllers hold an intent that a job is about to be
// called cancelled, and returns when the intent was made; an error says that too few
// of them can be reached.
type AnnounceIntent func(ctx context.Context, job string) (time.Time, error)

// MaxIntentAge is within what time of its intent a user may be told that a job is
// cancelled: controllers that the state service does not answer keep the job stopped
// for so long, and may then take it that it lives, if they see so.
const MaxIntentAge = submitTimeout

// New returns a server that does not know the machine types yet.
func New(
	cfg *config.Deployment,
	store *storage.Client,
	source *random.Source,
	log *slog.Logger,
	status LeaderStatuses,
	announce AnnounceIntent,
) *Server {
	// Final states never change, so they may be kept: some hundred a MB.
	return &Server{
		cfg: cfg, store: store, random: source, log: log, announceIntent: announce,
		reader: newJobReader(store, log, status, int(cfg.Quota.RAMMB*100)),
	}
}

// SetMachineTypes tells which machine types there are.
func (s *Server) SetMachineTypes(types []protocol.MachineType) { s.machineTypes.Store(&types) }

// SetFeatureLevel tells which feature level is final.
func (s *Server) SetFeatureLevel(level featurelevel.Level) { s.featureLevel.Store(int64(level)) }

// FeatureLevel returns the feature level that is final, as far as known.
func (s *Server) FeatureLevel() featurelevel.Level { return featurelevel.Level(s.featureLevel.Load()) }

// Ready says whether the machine types are known.
func (s *Server) Ready() bool { return s.machineTypes.Load() != nil }

// Routes adds the users' paths to the router.
func (s *Server) Routes(r chi.Router) {
	r.Post("/submissions", s.handleSubmission)
	r.Get("/submissions/{id}", s.handleQuery)
	r.Post("/submissions/{id}/withdraw", s.handleCancellation)
}

// patience bounds how long a user is kept waiting, well inside the 2 s and 5 s
// that users wait.
const (
	queryTimeout  = 1500 * time.Millisecond
	submitTimeout = 3 * time.Second
)

func writeError(w http.ResponseWriter, status int, why string) {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	transport.WriteResponse(w, status, protocol.ErrorResponse{Error: why})
}

func (s *Server) handleSubmission(w http.ResponseWriter, r *http.Request) {
	raw, err := transport.ReadBody(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	job, err := protocol.DecodeJob(raw)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	types := s.machineTypes.Load()
	if types == nil {
		writeError(w, http.StatusServiceUnavailable, "machine types are not known yet")
		return
	}
	if why := InfeasibleReason(s.cfg, *types, job); why != "" {
		writeError(w, http.StatusUnprocessableEntity, why)
		return
	}
	job.MachineTypes = knownTypes(*types, job.MachineTypes)
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	began := time.Now()
	standing, no := s.checkDependencies(ctx, job)
	if no != nil {
		s.log.Debug("submission refused", "job", job.ID, "status", no.status, "why", no.message)
		writeError(w, no.status, no.message)
		return
	}
	status, st := s.recordJob(ctx, job, standing)
	s.log.Debug("submission", "job", job.ID, "status", status, "took", time.Since(began))
	if status >= 400 {
		writeError(w, status, "the state service did not answer")
		return
	}
	transport.WriteResponse(w, status, st)
}

// recordJob records a job, unless it is known.
func (s *Server) recordJob(
	ctx context.Context,
	job *protocol.Job,
	standing protocol.JobState,
) (int, protocol.JobStatus) {
	value, err := protocol.Encode(storage.LiveJobRecord{Job: *job, AcceptedAtMS: time.Now().UnixMilli()})
	if err != nil {
		return http.StatusServiceUnavailable, protocol.JobStatus{}
	}
	live, ended := storage.LiveJobKey(job.ID), storage.EndedJobKey(job.ID)
	t := protocol.Txn{
		If:   []protocol.Compare{{Key: live}, {Key: ended}},
		Then: []protocol.Op{{PutKey: live, Value: value}},
	}
	began := time.Now()
	for {
		ok, err := s.store.TxnHedged(ctx, storage.BudgetAcceptance, t)
		switch {
		case err == nil && ok && time.Since(began) < storage.HedgeDelay:
			return http.StatusCreated, protocol.JobStatus{ID: job.ID, State: standing}
		case err == nil:
			// The job was known, or the answer took so long that others may have read
			// of the job meanwhile, and even cancelled it: look what has become of it.
			st, found, err := s.jobStatus(ctx, job.ID)
			if err != nil || !found {
				return http.StatusServiceUnavailable, protocol.JobStatus{}
			}
			if ok {
				return http.StatusCreated, st
			}
			return http.StatusOK, st
		case ctx.Err() != nil || !shouldRetry(err, began):
			// An outage, a crowd, or no answer: the user is told at once when to come
			// back. Should the job have been recorded, the retry will see it.
			s.log.Debug("submission put off", "job", job.ID, "err", err)
			return http.StatusServiceUnavailable, protocol.JobStatus{}
		}
		s.random.Pause(ctx, job.ID, retryDelay) // over the rate for the moment
	}
}

const retryDelay = 50 * time.Millisecond

// shouldRetry says whether a request of a user should be tried once more: if the state
// service refused it for its rate, which corrects where several controllers are busy
// at once. When too many wait here already, the user is told to come back.
func shouldRetry(err error, began time.Time) bool {
	return errors.Is(err, storage.ErrRateLimited) && !errors.Is(err, storage.ErrThrottled) &&
		time.Since(began) < storage.MaxQueueTime
}

// jobStatus tells a job's state, as it is at some moment after the call.
func (s *Server) jobStatus(ctx context.Context, id string) (protocol.JobStatus, bool, error) {
	a, err := s.reader.lookup(ctx, id)
	st := a.status
	if err != nil || !a.found || st.State != protocol.JobCancelled || a.shape != "" {
		// One that lives is cancelled with a job that it awaits: it has no tasks of which somebody would have
		// to know that they must end.
		return st, a.found, err
	}
	if f, ok := s.reader.finalState(id); !ok || !f.announced {
		// Its transaction may have come late, when its intent was no longer taken
		// seriously; whoever tells of it makes sure that it is known.
		if err := s.ensureFreshIntent(ctx, id, time.Time{}); err != nil {
			return protocol.JobStatus{}, false, err
		}
		s.reader.rememberFinal(st, true)
	}
	return st, true, nil
}

// ensureFreshIntent makes sure that an intent is held by a majority and is fresh, at the moment
// at which a user is told that the job is cancelled. announced is when the last one
// was made.
func (s *Server) ensureFreshIntent(ctx context.Context, id string, announced time.Time) error {
	for time.Since(announced) > MaxIntentAge {
		var err error
		if announced, err = s.announceIntent(ctx, id); err != nil {
			return fmt.Errorf("intent of %s: %w", id, err)
		}
	}
	return nil
}

func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeError(w, http.StatusNotFound, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	st, found, err := s.jobStatus(ctx, id)
	switch {
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, "the state service did not answer")
	case !found:
		writeError(w, http.StatusNotFound, "no such job")
	default:
		transport.WriteResponse(w, http.StatusOK, st)
	}
}

func (s *Server) handleCancellation(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeError(w, http.StatusNotFound, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	status, st := s.recordCancellation(ctx, id)
	switch status {
	case http.StatusOK:
		transport.WriteResponse(w, status, st)
	case http.StatusNotFound:
		writeError(w, status, "no such job")
	default:
		writeError(w, status, "the cancellation cannot be recorded for the moment")
	}
}

// recordCancellation moves a live job to its final place, in one transaction.
func (s *Server) recordCancellation(ctx context.Context, id string) (int, protocol.JobStatus) {
	value, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobCancelled})
	if err != nil {
		return http.StatusServiceUnavailable, protocol.JobStatus{}
	}
	began := time.Now()
	for ctx.Err() == nil {
		p, err := s.store.Get(ctx, storage.BudgetAcceptance, storage.LiveJobKey(id))
		if err == nil && p.Revision == 0 {
			st, found, err := s.jobStatus(ctx, id)
			switch {
			case err != nil || found && !st.State.Final():
				return http.StatusServiceUnavailable, st
			case !found:
				return http.StatusNotFound, st
			}
			return http.StatusOK, st
		}
		var announced time.Time
		if err == nil {
			announced, err = s.announceIntent(ctx, id)
		}
		if err == nil {
			_, ok, terr := s.store.Txn(ctx, storage.BudgetAcceptance, protocol.Txn{
				If: []protocol.Compare{
					{Key: storage.LiveJobKey(id), Revision: p.Revision},
					{Key: storage.EndedJobKey(id)},
				},
				Then: []protocol.Op{
					{DeleteKey: storage.LiveJobKey(id)},
					{PutKey: storage.EndedJobKey(id), Value: value},
				},
			})
			if terr == nil && ok {
				if err := s.ensureFreshIntent(ctx, id, announced); err != nil {
					break
				}
				st := protocol.JobStatus{ID: id, State: protocol.JobCancelled}
				s.reader.rememberFinal(st, true)
				return http.StatusOK, st
			}
			err = terr
		}
		if err != nil && !shouldRetry(err, began) {
			break // the user is told at once when to come back
		}
		s.random.Pause(ctx, id, retryDelay)
	}
	return http.StatusServiceUnavailable, protocol.JobStatus{}
}

// knownTypes drops names that no machine type has, and repeats, so that a
// record stays small whatever a user lists.
func knownTypes(types []protocol.MachineType, names []string) []string {
	var out []string
	for _, t := range types {
		for _, n := range names {
			if n == t.Name {
				out = append(out, n)
				break
			}
		}
	}
	return out
}

// InfeasibleReason says why a job can never run, or "".
func InfeasibleReason(cfg *config.Deployment, types []protocol.MachineType, j *protocol.Job) string {
	team := cfg.Team(j.Team)
	if team == nil {
		return "unknown team " + strconv.Quote(j.Team)
	}
	zones := map[string]bool{}
	for i := range types {
		if t := &types[i]; t.AllowedBy(j) && t.TaskCapacity(j) > 0 {
			for _, z := range t.Zones {
				if j.Zone == "" || j.Zone == z {
					zones[z] = true
				}
			}
		}
	}
	if len(zones) == 0 {
		return "a task fits no allowed machine type"
	}
	n := float64(j.TaskCount)
	if j.Shape == protocol.Array {
		n = 1
	}
	const slack = 1e-6
	if team.MaxCPUs > 0 && n*j.CPUs > team.MaxCPUs+slack || team.MaxGPUs > 0 && n*j.GPUs > team.MaxGPUs+slack {
		return "needs more than the team's limit"
	}
	if j.Spread && j.TaskCount > 1 && (j.SameZone || len(zones) < 2) {
		return "its tasks must be spread over zones and may not be"
	}
	return ""
}
