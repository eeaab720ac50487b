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

// handleCancellation serves POST /submissions/{id}/withdraw.
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

// cancelJob cancels a job, unless it has ended, and returns its final status.
func (s *Server) cancelJob(ctx context.Context, id string) (protocol.JobStatus, error) {
	ended, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobCancelled})
	if err != nil {
		return protocol.JobStatus{}, err
	}
	began := time.Now()
	for ctx.Err() == nil {
		live, err := s.store.Get(ctx, storage.BudgetAcceptance, storage.LiveJobKey(id))
		if err == nil && live.Revision == 0 {
			return s.finalStatus(ctx, id)
		}
		var announced time.Time
		if err == nil {
			announced, err = s.announceIntent(ctx, id)
		}
		moved := false
		if err == nil {
			moved, err = s.moveToEnded(ctx, id, live.Revision, ended)
		}
		if moved {
			return s.confirmCancellation(ctx, id, announced)
		}
		if err != nil && !shouldRetry(err, began) {
			return protocol.JobStatus{}, err
		}
		s.random.Pause(ctx, id, retryDelay)
	}
	return protocol.JobStatus{}, ctx.Err()
}

// moveToEnded replaces the live record of a job by its ended record in one transaction, and reports whether the live
// record still had the revision.
func (s *Server) moveToEnded(ctx context.Context, id string, revision uint64, ended []byte) (bool, error) {
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

// confirmCancellation returns the status of a job whose cancellation was recorded, after an intent that was created at
// the given time.
func (s *Server) confirmCancellation(ctx context.Context, id string, announced time.Time) (protocol.JobStatus, error) {
	if err := s.ensureFreshIntent(ctx, id, announced); err != nil {
		return protocol.JobStatus{}, err
	}
	status := protocol.JobStatus{ID: id, State: protocol.JobCancelled}
	s.reader.finals.put(status, true)
	return status, nil
}

// finalStatus returns the status of a job without live record, which must be final.
func (s *Server) finalStatus(ctx context.Context, id string) (protocol.JobStatus, error) {
	status, err := s.jobStatus(ctx, id)
	if err == nil && !status.State.Final() {
		err = fmt.Errorf("%w: job %s", errNotReadable, id)
	}
	return status, err
}
