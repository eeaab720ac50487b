package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// handleCancellationIntent stops a job whose user may be told that it is cancelled before the leader can read the
// cancellation from the key-value store, which may be unreachable. The results of the job's tasks are not needed any
// more. If the job turns out not to be cancelled, it is placed again.
func (s *Scheduler) handleCancellationIntent(now time.Duration, e CancellationIntent) {
	s.cancellationIntents[e.ID] = max(s.cancellationIntents[e.ID], e.ValidUntil)
	j := s.jobs[e.ID]
	if j == nil || j.Ended {
		return
	}
	s.log.Debug("cancellation requested", "job", e.ID)
	s.setFencingDeadline(j, s.fencingDeadline(now))
	if j.Spec.Shape == protocol.Gang {
		s.stopGang(now, j)
		return
	}
	for _, pl := range j.SortedPlacements() {
		s.stopPlacement(now, j, pl, 0)
	}
}

// fencingDeadline returns the time at which to fence the machines that may still run tasks of a job that is cancelled
// now. It leaves half of the time allowed for a cancellation to the release of the machines and to a failover to
// another leader.
func (s *Scheduler) fencingDeadline(now time.Duration) time.Duration {
	return now + config.Seconds(s.cfg.Workers.CancelSeconds/2)
}

// setFencingDeadline sets the time at which machines that may still run tasks of a job are fenced. Deadlines that are
// already set are kept.
func (s *Scheduler) setFencingDeadline(j *jobstate.Job, deadline time.Duration) {
	for _, pl := range j.Placements {
		if pl.FenceAt == 0 {
			pl.FenceAt = deadline
		}
	}
}

// expireCancellationIntents removes the intents that had expired by watchedUpTo. The watch has delivered all changes up
// to that time, so a job that is still live was not cancelled and may run again.
func (s *Scheduler) expireCancellationIntents(watchedUpTo time.Duration) {
	for id, validUntil := range s.cancellationIntents {
		if watchedUpTo > validUntil {
			delete(s.cancellationIntents, id)
			s.cycle.due = true
		}
	}
}

// startForbidden reports whether tasks of a job must not be started.
func (s *Scheduler) startForbidden(j *jobstate.Job) bool {
	_, mayBeCancelled := s.cancellationIntents[j.Spec.ID]
	return mayBeCancelled || j.Ended || j.Ending || j.Blocked
}

// handleJobEnded ends a job whose live record was deleted by a transaction other than the leader's own.
func (s *Scheduler) handleJobEnded(now time.Duration, id string) {
	j := s.jobs[id]
	if j == nil || j.Ended || j.Ending {
		return // the job is ended when the outcome of the leader's own write is known
	}
	s.endJob(now, j)
}
