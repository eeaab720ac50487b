package api

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// requestError is why a submission is not accepted.
type requestError struct {
	status  int
	message string
}

// maxDependencyShare is the part of a stored value that the ids of awaited jobs may take.
const maxDependencyShare = 0.5

// idOverheadBytes is what an id takes in a list beside its characters, in the JSON form that limits count.
const idOverheadBytes = 4

// checkDependencies says whether the jobs that a job awaits can be awaited, and what its user is to be told it is
// once it is accepted: cancelled if one of them is.
func (s *Server) checkDependencies(ctx context.Context, job *protocol.Job) (protocol.JobState, *requestError) {
	if len(job.Dependencies) == 0 {
		return protocol.JobQueued, nil
	}
	if no := s.validateDependencies(job); no != nil {
		return "", no
	}
	answers := make([]jobAnswer, len(job.Dependencies))
	g, ctx := errgroup.WithContext(ctx)
	for i, id := range job.Dependencies {
		g.Go(func() (err error) {
			answers[i], err = s.reader.lookup(ctx, id)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.log.Debug("awaited jobs not read", "job", job.ID, "err", err)
		return "", &requestError{http.StatusServiceUnavailable, "the state service did not answer"}
	}
	standing := protocol.JobQueued
	for i, a := range answers {
		switch {
		case !a.found:
			return "", &requestError{
				http.StatusUnprocessableEntity,
				fmt.Sprintf("it awaits %s, which was never accepted", job.Dependencies[i]),
			}
		case a.shape == protocol.Service:
			return "", &requestError{
				http.StatusUnprocessableEntity,
				fmt.Sprintf("it awaits %s, which is a service and never done", job.Dependencies[i]),
			}
		case a.status.State == protocol.JobCancelled:
			standing = protocol.JobCancelled
		}
	}
	return standing, nil
}

// validateDependencies says why a job can't await what it names, whatever that is, or nil.
func (s *Server) validateDependencies(job *protocol.Job) *requestError {
	if s.FeatureLevel() < featurelevel.Pipelines {
		return &requestError{
			http.StatusServiceUnavailable,
			"an upgrade is under way: not all controllers can read awaited jobs yet",
		}
	}
	bytes, longest := 0, 0
	for _, id := range job.Dependencies {
		if id == job.ID {
			return &requestError{http.StatusUnprocessableEntity, fmt.Sprintf("it awaits itself, %s", id)}
		}
		bytes += len(id) + idOverheadBytes
		longest = max(longest, len(id)+idOverheadBytes)
	}
	limit := s.cfg.Store.Lowest().ValueKB * 1024
	if most := limit * maxDependencyShare; float64(bytes) > most {
		return &requestError{
			http.StatusUnprocessableEntity,
			fmt.Sprintf(
				"it awaits %d jobs, and at most %d with ids as long as these can be recorded",
				len(job.Dependencies),
				int(most)/longest,
			),
		}
	}
	value, err := protocol.Encode(storage.LiveJobRecord{Job: *job, AcceptedAtMS: time.Now().UnixMilli()})
	if err != nil || !storage.FitsValueLimit(value, limit/1024) {
		return &requestError{
			http.StatusUnprocessableEntity,
			fmt.Sprintf("with the %d jobs that it awaits it is too long to be recorded", len(job.Dependencies)),
		}
	}
	return nil
}
