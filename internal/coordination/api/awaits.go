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

// refusal is why a submission is not accepted.
type refusal struct {
	status int
	why    string
}

// awaitsShare is the part of a stored value that the ids of awaited jobs may take.
const awaitsShare = 0.5

// idBytes is what an id takes in a list beside its characters, in the JSON form that limits count.
const idBytes = 4

// checkAwaits says whether the jobs that a job awaits can be awaited, and what its user is to be told it is
// once it is accepted: cancelled if one of them is.
func (s *Server) checkAwaits(ctx context.Context, job *protocol.Job) (protocol.Standing, *refusal) {
	if len(job.Awaits) == 0 {
		return protocol.Queued, nil
	}
	if no := s.awaitsInForm(job); no != nil {
		return "", no
	}
	answers := make([]answer, len(job.Awaits))
	g, ctx := errgroup.WithContext(ctx)
	for i, id := range job.Awaits {
		g.Go(func() (err error) {
			answers[i], err = s.reader.ask(ctx, id)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.log.Debug("awaited jobs not read", "job", job.ID, "err", err)
		return "", &refusal{http.StatusServiceUnavailable, "the state service did not answer"}
	}
	standing := protocol.Queued
	for i, a := range answers {
		switch {
		case !a.found:
			return "", &refusal{http.StatusUnprocessableEntity, fmt.Sprintf("it awaits %s, which was never accepted", job.Awaits[i])}
		case a.shape == protocol.Service:
			return "", &refusal{http.StatusUnprocessableEntity, fmt.Sprintf("it awaits %s, which is a service and never done", job.Awaits[i])}
		case a.st.Standing == protocol.Cancelled:
			standing = protocol.Cancelled
		}
	}
	return standing, nil
}

// awaitsInForm says why a job can't await what it names, whatever that is, or nil.
func (s *Server) awaitsInForm(job *protocol.Job) *refusal {
	if s.Level() < featurelevel.Pipelines {
		return &refusal{http.StatusServiceUnavailable, "an upgrade is under way: not all controllers can read awaited jobs yet"}
	}
	bytes, longest := 0, 0
	for _, id := range job.Awaits {
		if id == job.ID {
			return &refusal{http.StatusUnprocessableEntity, fmt.Sprintf("it awaits itself, %s", id)}
		}
		bytes += len(id) + idBytes
		longest = max(longest, len(id)+idBytes)
	}
	limit := s.cfg.State.Lowest().ValueKB * 1024
	if most := limit * awaitsShare; float64(bytes) > most {
		return &refusal{http.StatusUnprocessableEntity, fmt.Sprintf("it awaits %d jobs, and at most %d with ids as long as these can be recorded", len(job.Awaits), int(most)/longest)}
	}
	value, err := protocol.Encode(storage.LiveRecord{Job: *job, AtMS: time.Now().UnixMilli()})
	if err != nil || !storage.Fits(value, limit/1024) {
		return &refusal{http.StatusUnprocessableEntity, fmt.Sprintf("with the %d jobs that it awaits it is too long to be recorded", len(job.Awaits))}
	}
	return nil
}
