package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// retryDelay is the pause before a transaction that exceeded the rate of the key-value store is tried again.
const retryDelay = 50 * time.Millisecond

// handleSubmission serves POST /submissions.
func (s *Server) handleSubmission(w http.ResponseWriter, r *http.Request) {
	job, err := s.readSubmission(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	created, status, err := s.submit(ctx, job)
	switch {
	case err != nil:
		writeError(w, err)
	case created:
		transport.WriteResponse(w, http.StatusCreated, status)
	default:
		transport.WriteResponse(w, http.StatusOK, status)
	}
}

// readSubmission reads a job and checks whatever can be checked without the key-value store.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request) (*protocol.Job, error) {
	raw, err := transport.ReadBody(w, r)
	if err != nil {
		return nil, badRequest(err)
	}
	job, err := protocol.DecodeJob(raw)
	if err != nil {
		return nil, badRequest(err)
	}
	types := s.machineTypes.Load()
	if types == nil {
		return nil, unavailable(machineTypesUnavailable, nil)
	}
	if err := checkFeasible(s.cfg, *types, job); err != nil {
		return nil, err
	}
	job.MachineTypes = knownTypes(*types, job.MachineTypes)
	return job, nil
}

// submit accepts a job, unless it was accepted before, and reports whether it has created the job.
func (s *Server) submit(ctx context.Context, job *protocol.Job) (bool, protocol.JobStatus, error) {
	state, err := s.checkDependencies(ctx, job)
	if err != nil {
		s.log.Debug("submission rejected", "job", job.ID, "status", statusOf(err), "error", err)
		return false, protocol.JobStatus{}, err
	}
	began := time.Now()
	created, status, err := s.recordJob(ctx, job, state)
	if err != nil {
		err = unavailable(storeUnavailable, err)
		s.log.Debug("failed to record submission", "job", job.ID, "duration", time.Since(began), "error", err)
		return false, protocol.JobStatus{}, err
	}
	s.log.Debug("submission recorded", "job", job.ID, "created", created, "duration", time.Since(began))
	return created, status, nil
}

// recordJob writes the live record of a job, unless the job is live or has ended. state is the state of a job that is
// new. It reports whether the record was created.
func (s *Server) recordJob(
	ctx context.Context,
	job *protocol.Job,
	state protocol.JobState,
) (created bool, status protocol.JobStatus, err error) {
	value, err := protocol.Encode(storage.LiveJobRecord{Job: *job, AcceptedAtMS: time.Now().UnixMilli()})
	if err != nil {
		return false, protocol.JobStatus{}, err
	}
	live, ended := storage.LiveJobKey(job.ID), storage.EndedJobKey(job.ID)
	txn := protocol.Txn{
		If:   []protocol.Compare{{Key: live}, {Key: ended}},
		Then: []protocol.Op{{PutKey: live, Value: value}},
	}
	began := time.Now()
	for {
		created, err := s.store.TxnHedged(ctx, storage.BudgetAcceptance, txn)
		switch {
		case err == nil && created && time.Since(began) < storage.HedgeDelay:
			return true, protocol.JobStatus{ID: job.ID, State: state}, nil
		case err == nil:
			// The job existed; or the answer took so long that others may have read of the job meanwhile, and even
			// cancelled it.
			status, err := s.jobStatus(ctx, job.ID)
			return created, status, err
		case ctx.Err() != nil || !shouldRetry(err, began):
			// The user is told at once to come back. If the job was recorded all the same, the retry will find it.
			return false, protocol.JobStatus{}, err
		}
		s.random.Pause(ctx, job.ID, retryDelay)
	}
}

// shouldRetry reports whether a request that began at the given time should try a transaction again after an error.
// Only the rate limit of the key-value store is a reason, which corrects itself when several controllers are busy at
// once, and only as long as not too many requests wait here already.
func shouldRetry(err error, began time.Time) bool {
	return errors.Is(err, storage.ErrRateLimited) && !errors.Is(err, storage.ErrThrottled) &&
		time.Since(began) < storage.MaxQueueTime
}

// knownTypes returns the machine types that are among names, in their order and each once. A record stays small
// whatever a user lists.
func knownTypes(types []protocol.MachineType, names []string) []string {
	var known []string
	for _, machineType := range types {
		for _, name := range names {
			if name == machineType.Name {
				known = append(known, name)
				break
			}
		}
	}
	return known
}
