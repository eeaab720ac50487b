package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// handleQuery serves GET /submissions/{id}, which returns the status of a job.
func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !protocol.ValidJobID(id) {
		writeError(w, notFound())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	status, err := s.jobStatus(ctx, id)
	switch {
	case errors.Is(err, errJobNotFound):
		writeError(w, notFound())
	case err != nil:
		writeError(w, unavailable(storeUnavailable, err))
	default:
		transport.WriteResponse(w, http.StatusOK, status)
	}
}

// jobStatus returns the status of a job at some time after the call. It returns errJobNotFound if the job was never
// submitted.
func (s *Server) jobStatus(ctx context.Context, id string) (protocol.JobStatus, error) {
	answer, err := s.reader.lookup(ctx, id)
	if err != nil {
		return protocol.JobStatus{}, err
	}
	if !answer.found {
		return protocol.JobStatus{}, errJobNotFound
	}
	if answer.status.State != protocol.JobCancelled || answer.live() {
		// A cancelled job that is live was cancelled because of a dependency. It has never had tasks, so no controller
		// has to learn of the cancellation before the user.
		return answer.status, nil
	}
	if final, ok := s.reader.finals.get(id); !ok || !final.announced {
		// The transaction that cancelled the job may have been applied after its intent had expired.
		if err := s.ensureFreshIntent(ctx, id, time.Time{}); err != nil {
			return protocol.JobStatus{}, err
		}
		s.reader.finals.put(answer.status, true)
	}
	return answer.status, nil
}

// ensureFreshIntent makes sure that a quorum holds an intent for the job that is not older than MaxIntentAge, as is
// required when a user is told that the job is cancelled. announcedAt is the creation time of the last announced
// intent, or zero.
func (s *Server) ensureFreshIntent(ctx context.Context, id string, announcedAt time.Time) error {
	for time.Since(announcedAt) > MaxIntentAge {
		var err error
		if announcedAt, err = s.announceIntent(ctx, id); err != nil {
			return fmt.Errorf("announce cancellation of %s: %w", id, err)
		}
	}
	return nil
}
