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

// handleQuery serves GET /submissions/{id}.
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

// jobStatus returns the status of a job at some moment after the call. The error is errJobNotFound if nobody has
// submitted the job.
func (s *Server) jobStatus(ctx context.Context, id string) (protocol.JobStatus, error) {
	answer, err := s.reader.lookup(ctx, id)
	if err != nil {
		return protocol.JobStatus{}, err
	}
	if !answer.found {
		return protocol.JobStatus{}, errJobNotFound
	}
	if answer.status.State != protocol.JobCancelled || answer.live() {
		// A live job is cancelled together with a dependency. It has never had tasks, so no controller needs to know of
		// the cancellation before the user.
		return answer.status, nil
	}
	if final, ok := s.reader.finals.get(id); !ok || !final.announced {
		// The transaction of the cancellation may have been applied so late that its intent had expired.
		if err := s.ensureFreshIntent(ctx, id, time.Time{}); err != nil {
			return protocol.JobStatus{}, err
		}
		s.reader.finals.put(answer.status, true)
	}
	return answer.status, nil
}

// ensureFreshIntent returns when a quorum holds an intent for the job that is no older than MaxIntentAge, as it must at
// the moment at which a user is told that the job is cancelled. announced is when the last intent was created.
func (s *Server) ensureFreshIntent(ctx context.Context, id string, announced time.Time) error {
	for time.Since(announced) > MaxIntentAge {
		var err error
		if announced, err = s.announceIntent(ctx, id); err != nil {
			return fmt.Errorf("announce cancellation of %s: %w", id, err)
		}
	}
	return nil
}
