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

// retryDelay is the mean pause before a transaction that was rejected by the rate limit of the key-value store is
// retried.
const retryDelay = 50 * time.Millisecond

// handleSubmission serves POST /submissions, which submits a job.
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

// readSubmission reads a job from a request, and performs the checks that do not need the key-value store.
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

// submit accepts a job unless it was accepted before, and reports whether this call created it.
func (s *Server) submit(ctx context.Context, job *protocol.Job) (bool, protocol.JobStatus, error) {
	state, err := s.checkDependencies(ctx, job)
	if err != nil {
		s.log.Debug("submission rejected", "job", job.ID, "status", statusOf(err), "error", err)
		return false, protocol.JobStatus{}, err
	}
	startedAt := time.Now()
	created, status, err := s.recordJob(ctx, job, state)
	if err != nil {
		err = unavailable(storeUnavailable, err)
		s.log.Debug("failed to record submission", "job", job.ID, "duration", time.Since(startedAt), "error", err)
		return false, protocol.JobStatus{}, err
	}
	s.log.Debug("submission recorded", "job", job.ID, "created", created, "duration", time.Since(startedAt))
	return created, status, nil
}

// recordJob creates the live record of a job, unless the job has a live or an ended record. It reports whether it
// created the record. state is the status of a job that was created.
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
	startedAt := time.Now()
	for {
		created, err := s.store.TxnHedged(ctx, storage.BudgetAcceptance, txn)
		switch {
		case err == nil && created && time.Since(startedAt) < storage.HedgeDelay:
			return true, protocol.JobStatus{ID: job.ID, State: state}, nil
		case err == nil:
			// Either the job already existed, or the response took so long that others may have read the job meanwhile
			// and even cancelled it.
			status, err := s.jobStatus(ctx, job.ID)
			return created, status, err
		case ctx.Err() != nil || !shouldRetry(err, startedAt):
			// Fail fast, and let the user retry. If the job was recorded after all, the retry will find it.
			return false, protocol.JobStatus{}, err
		}
		s.random.Pause(ctx, job.ID, retryDelay)
	}
}

// shouldRetry reports whether a request should retry a transaction that failed with err. Only a rejection by the
// store's rate limit is retried: such rejections stop by themselves when several controllers are busy at the same time.
// There is no retry if too many requests are already waiting on this controller, or if the request started longer than
// MaxQueueTime ago.
func shouldRetry(err error, startedAt time.Time) bool {
	return errors.Is(err, storage.ErrRateLimited) && !errors.Is(err, storage.ErrThrottled) &&
		time.Since(startedAt) < storage.MaxQueueTime
}

// knownTypes returns the machine types that are listed in names, each once and in the order of types. It drops unknown
// names and duplicates so that records stay small regardless of what a user submits.
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
