package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// handleCancellation serves POST /submissions/{id}/withdraw, which cancels a job.
func (s *Server) handleCancellation(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeError(w, notFound())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	status, err := s.cancelJob(ctx, id)
	switch {
	case errors.Is(err, errJobNotFound):
		writeError(w, notFound())
	case err != nil:
		writeError(w, unavailable(cancellationUnavailable, err))
	default:
		transport.WriteResponse(w, http.StatusOK, status)
	}
}

// cancelJob cancels a job unless it has ended, and returns the final status of the job. It announces the cancellation
// intent before it writes the ended record.
func (s *Server) cancelJob(ctx context.Context, id string) (protocol.JobStatus, error) {
	ended, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobCancelled})
	if err != nil {
		return protocol.JobStatus{}, err
	}
	startedAt := time.Now()
	for ctx.Err() == nil {
		live, err := s.store.Get(ctx, storage.BudgetAcceptance, storage.LiveJobKey(id))
		if err == nil && live.Revision == 0 {
			return s.finalStatus(ctx, id)
		}
		var announcedAt time.Time
		if err == nil {
			announcedAt, err = s.announceIntent(ctx, id)
		}
		recorded := false
		if err == nil {
			recorded, err = s.recordCancellation(ctx, id, live.Revision, ended)
		}
		if recorded {
			return s.confirmCancellation(ctx, id, announcedAt)
		}
		if err != nil && !shouldRetry(err, startedAt) {
			return protocol.JobStatus{}, err
		}
		s.random.Pause(ctx, id, retryDelay)
	}
	return protocol.JobStatus{}, ctx.Err()
}

// recordCancellation replaces the live record of a job with its ended record in one transaction. It reports whether the
// live record still had the given revision, and the job no ended record.
func (s *Server) recordCancellation(ctx context.Context, id string, revision uint64, ended []byte) (bool, error) {
	outcome, err := s.store.Txn(ctx, storage.BudgetAcceptance, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.LiveJobKey(id), Revision: revision},
			{Key: storage.EndedJobKey(id)},
		},
		Then: []protocol.Op{
			{DeleteKey: storage.LiveJobKey(id)},
			{PutKey: storage.EndedJobKey(id), Value: ended},
		},
	})
	return outcome.Succeeded && err == nil, err
}

// confirmCancellation returns the final status of a job whose cancellation has been recorded. announcedAt is the
// creation time of the intent that was announced for it.
func (s *Server) confirmCancellation(
	ctx context.Context,
	id string,
	announcedAt time.Time,
) (protocol.JobStatus, error) {
	if err := s.ensureFreshIntent(ctx, id, announcedAt); err != nil {
		return protocol.JobStatus{}, err
	}
	status := protocol.JobStatus{ID: id, State: protocol.JobCancelled}
	s.reader.finals.put(status, true)
	return status, nil
}

// finalStatus returns the final status of a job that has no live record. It returns an error if the job has no final
// status yet.
func (s *Server) finalStatus(ctx context.Context, id string) (protocol.JobStatus, error) {
	status, err := s.jobStatus(ctx, id)
	if err == nil && !status.State.Final() {
		err = fmt.Errorf("%w: job %s", errNoJobRecord, id)
	}
	return status, err
}
