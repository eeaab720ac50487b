package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// handleCancellationIntent stops a job whose user may be told that it is cancelled before the leader reads that from
// the state service, which may not be reachable. Nobody needs the results of its tasks. If it is not cancelled after
// all, it is placed again.
func (c *Scheduler) handleCancellationIntent(now time.Duration, e CancellationIntent) {
	c.cancellationIntents[e.ID] = max(c.cancellationIntents[e.ID], e.ValidUntil)
	j := c.jobs[e.ID]
	if j == nil || j.Ended {
		return
	}
	c.log.Debug("cancellation requested", "job", e.ID)
	c.setFencingDeadline(j, c.fencingDeadline(now))
	if j.Spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		return
	}
	for _, pl := range j.SortedPlacements() {
		c.stopPlacement(now, j, pl, 0)
	}
}

// fencingDeadline is when machines must be fenced that may still run tasks of a job that is cancelled now. Half of the
// time is left for the release of the machines, and for another leader should this one fail.
func (c *Scheduler) fencingDeadline(now time.Duration) time.Duration {
	return now + config.Seconds(c.cfg.Workers.CancelSeconds/2)
}

// setFencingDeadline sets by when the tasks of a job must be gone, unless that is set already.
func (c *Scheduler) setFencingDeadline(j *jobstate.Job, by time.Duration) {
	for _, pl := range j.Placements {
		if pl.FenceAt == 0 {
			pl.FenceAt = by
		}
	}
}

// expireCancellationIntents lets jobs run again of which the watch has shown no cancellation up to a time at which
// their intents were no longer valid.
func (c *Scheduler) expireCancellationIntents(watchedUpTo time.Duration) {
	for id, validUntil := range c.cancellationIntents {
		if watchedUpTo > validUntil {
			delete(c.cancellationIntents, id)
			c.cycle.due = true
		}
	}
}

// startForbidden reports whether no task of a job may start.
func (c *Scheduler) startForbidden(j *jobstate.Job) bool {
	_, mayBeCancelled := c.cancellationIntents[j.Spec.ID]
	return mayBeCancelled || j.Ended || j.Ending || j.Blocked
}

// handleJobEnded ends a job whose live record another transaction than the leader's has deleted.
func (c *Scheduler) handleJobEnded(now time.Duration, id string) {
	j := c.jobs[id]
	if j == nil || j.Ended || j.Ending {
		return // the outcome of the leader's own write will end it
	}
	c.endJob(now, j)
}
