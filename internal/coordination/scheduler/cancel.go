package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// withdraw stops a job whose user may be told that it is cancelled before we hear
// of it from the state service, which may be out of our reach. Nobody has any use
// for what its tasks do; should it not be cancelled after all, it begins again.
func (c *Core) withdraw(now time.Duration, e Withdrawn) {
	c.withdrawn[e.ID] = max(c.withdrawn[e.ID], e.Until)
	j := c.jobs[e.ID]
	if j == nil || j.over {
		return
	}
	c.log.Debug("withdrawn", "job", e.ID)
	c.setFencingDeadline(j, c.fencingDeadline(now))
	if j.spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		return
	}
	for _, pl := range placements(j) {
		c.stop(now, j, pl, 0)
	}
}

// fencingDeadline is when machines must be fenced that may still have tasks of a job which is
// cancelled now: with half of the time left, for a release takes some, and so does
// another leader, should we end.
func (c *Core) fencingDeadline(now time.Duration) time.Duration {
	return now + config.Seconds(c.cfg.Workers.CancelSeconds/2)
}

// setFencingDeadline says by when a job's tasks must be gone.
func (c *Core) setFencingDeadline(j *job, by time.Duration) {
	for _, pl := range j.places {
		if pl.FenceAt == 0 {
			pl.FenceAt = by
		}
	}
}

// fresh lets jobs run again that live although the time is over in which their
// cancellation could have been confirmed.
func (c *Core) fresh(at time.Duration) {
	for id, until := range c.withdrawn {
		if at > until {
			delete(c.withdrawn, id)
			c.due = true
		}
	}
}

// held says whether a job must not start anything.
func (c *Core) held(j *job) bool {
	_, ok := c.withdrawn[j.spec.ID]
	return ok || j.over || j.finishing || j.blocked
}

// dropped takes in that a job is over by somebody's transaction.
func (c *Core) dropped(now time.Duration, id string) {
	j := c.jobs[id]
	if j == nil || j.over || j.finishing {
		return // our own end of it is under way, and will tell
	}
	c.end(now, j)
}
