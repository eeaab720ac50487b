package api

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// maxDependencyShare is the fraction of the store's value limit that the ids of a job's dependencies may take.
const maxDependencyShare = 0.5

// idOverheadBytes is the encoding overhead of each id in a list, in the JSON form against which value limits are
// checked.
const idOverheadBytes = 4

// bytesPerKB converts the value limit in the settings to bytes.
const bytesPerKB = 1024

// checkDependencies returns the initial state of a job: cancelled if one of its dependencies is cancelled, and queued
// otherwise. It returns an error if a dependency is not allowed, or if the state of one cannot be read.
func (s *Server) checkDependencies(ctx context.Context, job *protocol.Job) (protocol.JobState, error) {
	if len(job.Dependencies) == 0 {
		return protocol.JobQueued, nil
	}
	if err := s.validateDependencies(job); err != nil {
		return "", err
	}
	answers, err := s.lookupAll(ctx, job.Dependencies)
	if err != nil {
		return "", unavailable(storeUnavailable, err)
	}
	state := protocol.JobQueued
	for i, answer := range answers {
		switch id := job.Dependencies[i]; {
		case !answer.found:
			return "", unprocessable("it awaits %s, which was never accepted", id)
		case answer.shape == protocol.Service:
			return "", unprocessable("it awaits %s, which is a service and never done", id)
		case answer.status.State == protocol.JobCancelled:
			state = protocol.JobCancelled
		}
	}
	return state, nil
}

// lookupAll looks up several jobs concurrently. The results are in the order of ids.
func (s *Server) lookupAll(ctx context.Context, ids []string) ([]jobAnswer, error) {
	answers := make([]jobAnswer, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	for i, id := range ids {
		group.Go(func() (err error) {
			answers[i], err = s.reader.lookup(ctx, id)
			return err
		})
	}
	return answers, group.Wait()
}

// validateDependencies performs the checks on a job's dependencies that need no lookup.
func (s *Server) validateDependencies(job *protocol.Job) error {
	if s.FeatureLevel() < featurelevel.Pipelines {
		return unavailable(upgradeInProgress, nil)
	}
	size, largest := 0, 0
	for _, id := range job.Dependencies {
		if id == job.ID {
			return unprocessable("it awaits itself, %s", id)
		}
		size += len(id) + idOverheadBytes
		largest = max(largest, len(id)+idOverheadBytes)
	}
	// The record must also fit the lower limits that the settings announce for the future.
	valueKB := s.cfg.Store.Lowest().ValueKB
	if limit := valueKB * bytesPerKB * maxDependencyShare; float64(size) > limit {
		return unprocessable("it awaits %d jobs, and at most %d with ids as long as these can be recorded",
			len(job.Dependencies), int(limit)/largest)
	}
	record, err := protocol.Encode(storage.LiveJobRecord{Job: *job, AcceptedAtMS: time.Now().UnixMilli()})
	if err != nil || !storage.FitsValueLimit(record, valueKB) {
		return unprocessable("with the %d jobs that it awaits it is too long to be recorded", len(job.Dependencies))
	}
	return nil
}
