package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/protocol"
)

// handleCancellationIntent stops a job whose user may be told that it is cancelled before we hear
// of it from the state service, which may be out of our reach. Nobody has any use
// for what its tasks do; should it not be cancelled after all, it begins again.
func (c *Scheduler) handleCancellationIntent(now time.Duration, e CancellationIntent) {
	c.cancellationIntents[e.ID] = max(c.cancellationIntents[e.ID], e.ValidUntil)
	j := c.jobs[e.ID]
	if j == nil || j.Ended {
		return
	}
	c.log.Debug("withdrawn", "job", e.ID)
	c.setFencingDeadline(j, c.fencingDeadline(now))
	if j.Spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		return
	}
	for _, pl := range j.SortedPlacements() {
		c.stopPlacement(now, j, pl, 0)
	}
}

// fencingDeadline is when machines must be fenced that may still have tasks of a job which is
// cancelled now: with half of the time left, for a release takes some, and so does
// another leader, should we end.
func (c *Scheduler) fencingDeadline(now time.Duration) time.Duration {
	return now + config.Seconds(c.cfg.Workers.CancelSeconds/2)
}

// setFencingDeadline says by when a job's tasks must be gone.
func (c *Scheduler) setFencingDeadline(j *jobstate.Job, by time.Duration) {
	for _, pl := range j.Placements {
		if pl.FenceAt == 0 {
			pl.FenceAt = by
		}
	}
}

// expireCancellationIntents lets jobs run again that live although the time is over in which their
// cancellation could have been confirmed.
func (c *Scheduler) expireCancellationIntents(at time.Duration) {
	for id, until := range c.cancellationIntents {
		if at > until {
			delete(c.cancellationIntents, id)
			c.cycle.due = true
		}
	}
}

// startForbidden says whether a job must not start anything.
func (c *Scheduler) startForbidden(j *jobstate.Job) bool {
	_, ok := c.cancellationIntents[j.Spec.ID]
	return ok || j.Ended || j.Ending || j.Blocked
}

// handleJobEnded takes in that a job is over by somebody's transaction.
func (c *Scheduler) handleJobEnded(now time.Duration, id string) {
	j := c.jobs[id]
	if j == nil || j.Ended || j.Ending {
		return // our own end of it is under way, and will tell
	}
	c.endJob(now, j)
}
