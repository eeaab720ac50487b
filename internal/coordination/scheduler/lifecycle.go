package scheduler

import (
	"math"
	"sort"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

func (c *Core) accept(now, since time.Duration, rec storage.LiveJobRecord, stamp uint64) {
	id := rec.Job.ID
	if j := c.jobs[id]; j != nil {
		if !j.over {
			j.stamp = stamp
		}
		return
	}
	j := newJob(rec.Job, stamp, rec.AcceptedAtMS, since, c.newJobLayout())
	c.jobs[id] = j
	c.addDependencies(now, j)
	c.enqueue(j)
	if j.blocked {
		return // it arrives when it is freed
	}
	c.arrived(j, since)
	c.due = true
}

// arrived remembers when a job came that may begin, for the forecast of arrivals.
func (c *Core) arrived(j *job, since time.Duration) {
	class := j.spec.Class
	c.arrivals[class] = append(c.arrivals[class], since)
	c.sample[class] = &j.spec
	if old := c.sizes[class]; old > 0 {
		c.sizes[class] = old + (float64(j.spec.TaskCount)-old)/8
	} else {
		c.sizes[class] = float64(j.spec.TaskCount)
	}
}

// facts takes in what became of placements.
func (c *Core) facts(now time.Duration, facts []partition.Observation) {
	for _, f := range facts {
		pl := f.Placement
		j := c.jobs[pl.Task.JobID]
		if j == nil || j.places[pl.Task.Index] != pl {
			continue
		}
		if !pl.Terminated {
			if pl.State == protocol.TaskRunning && pl.StateSince == now {
				j.runAt = now
				if j.spec.Shape == protocol.Service {
					j.ran[pl.Task.Index] = true
				}
				j.failures = max(0, j.failures-1)
				c.log.Debug("running", "task", pl.Task, "class", j.spec.Class, "attempt", pl.Attempt, "machine", pl.Machine,
					"waited", now-j.known, "placed", now-pl.ReservedAt, "image", j.spec.Image)
			}
			continue
		}
		c.gone(now, j, pl, f.Lost)
	}
}

// gone takes in that a placement is proven gone.
func (c *Core) gone(now time.Duration, j *job, pl *partition.Placement, lost bool) {
	c.due = true
	task := pl.Task.Index
	delete(j.places, task)
	pg := j.pageOfTask(task)
	pg.unrecordedExits = append(pg.unrecordedExits, pl)
	if lost {
		c.markDisplaced(j, pl)
		c.log.Info("task lost with its machine", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine)
	}
	switch {
	case j.over:
		j.set(task, done)
		c.cleanUpEndedJob(now, j)
		return
	case j.tasks[task] == done:
		return
	case !lost && pl.Cause == protocol.CauseDone:
		j.set(task, done)
		j.markDirty(task, now)
		if j.spec.Shape == protocol.Gang {
			// A gang completes together.
			for t := range j.tasks {
				if j.tasks[t] != done {
					j.set(t, done)
					j.markDirty(t, now)
				}
			}
		}
		if j.counts[done] == len(j.tasks) {
			c.completeJob(now, j)
		}
		return
	}
	j.begun = j.begun || j.runAt > 0 && now-j.runAt >= startCountsAfter
	j.runAt = 0
	j.set(task, pending)
	j.markDirty(task, now) // or its exited entry could never be forgotten
	if !lost {
		c.failed(now, j, pl)
	}
	if j.spec.Shape == protocol.Gang {
		c.stopGang(now, j)
		if len(j.places) == 0 {
			j.stopping = false
		}
	}
}

// failed draws the conclusions from an exit that was not asked for.
func (c *Core) failed(now time.Duration, j *job, pl *partition.Placement) {
	switch pl.Cause {
	case protocol.CauseStopped, protocol.CausePeerLost, protocol.CauseDone:
		return
	}
	c.log.Info("task failed", "task", pl.Task, "attempt", pl.Attempt, "machine", pl.Machine, "cause", pl.Cause)
	m := c.machines.Machine(pl.Machine)
	switch pl.Cause {
	case protocol.CauseError:
		j.failures++
		j.failedOn[pl.Machine] = true
		if j.suspect() {
			// It fails everywhere: the job is at fault, not the machines. Back
			// off, so that it spoils neither machines nor our verdict on them.
			j.notBefore = now + min(Cycle<<min(j.failures, 6), config.Seconds(2*c.cfg.Workers.CancelSeconds))
			for name := range j.failedOn {
				if o := c.machines.Machine(name); o != nil {
					delete(o.FailedJobs, j.spec.ID)
				}
			}
		}
	case protocol.CauseNoCapacity, protocol.CauseOtherAttempt:
		// The machine holds something that we don't know of.
		if m != nil {
			m.UnresponsiveUntil = max(m.UnresponsiveUntil, now+config.Seconds(2*c.cfg.Workers.HeartbeatSeconds))
		}
		j.notBefore = now + Cycle/4
	case protocol.CauseUnknownTask:
		j.failures++
		j.notBefore = now + Cycle<<min(j.failures, 5)
	default:
		j.notBefore = now + Cycle/4
	}
}

// stopGang stops all of a gang that has lost a task: below minAvailable it is
// requeued as a whole, from its checkpoint.
func (c *Core) stopGang(now time.Duration, j *job) {
	for _, pl := range placements(j) {
		if !pl.Stopping || pl.GraceS > 0 {
			c.stop(now, j, pl, 0)
		}
	}
	j.stopping = len(j.places) > 0
}

func placements(j *job) []*partition.Placement {
	list := make([]*partition.Placement, 0, len(j.places))
	for _, pl := range j.places {
		list = append(list, pl)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Task.Index < list[b].Task.Index })
	return list
}

// stop asks a placement to end, and takes in when that needs no proof.
func (c *Core) stop(now time.Duration, j *job, pl *partition.Placement, graceS float64) {
	c.capacityEvents++
	if c.machines.Stop(now, pl, graceS) && !pl.StartAllowed && j.writeInFlight {
		// Its record may be written at this moment; it names a placement that
		// was never started, which a later write replaces.
		c.log.Debug("placement withdrawn before its record", "task", pl.Task)
	}
	if pl.Terminated && j.places[pl.Task.Index] == pl {
		c.gone(now, j, pl, true)
	}
}

// stopJob stops everything of a job that is over.
func (c *Core) stopJob(now time.Duration, j *job) {
	for _, pl := range placements(j) {
		c.stop(now, j, pl, 0)
	}
	c.cleanUpEndedJob(now, j)
}

// end takes in that a job is over.
func (c *Core) end(now time.Duration, j *job) {
	j.over, j.stamp = true, 0
	c.liveRecordGone(now, j.spec.ID)
	c.queues.update(j)
	c.due = true
	if j.counts[done] < len(j.tasks) {
		c.setFencingDeadline(j, c.fencingDeadline(now))
	}
	c.stopJob(now, j)
}

// stopOnNotice takes work off machines that the cloud is about to take away: saved
// if that can be done in time.
func (c *Core) stopOnNotice(now time.Duration) {
	c.machines.EachWithInterruptionNotice(func(m *partition.Machine) {
		for _, pl := range c.placementsOn(m) {
			if !pl.Stopping {
				c.stopOrderly(now, pl, math.MaxInt64)
			}
		}
	})
}

// stopOrderly stops a placement, with all of its gang if it has one, so that
// its progress is saved if there is time for that.
func (c *Core) stopOrderly(now time.Duration, pl *partition.Placement, within time.Duration) {
	j := c.jobs[pl.Task.JobID]
	if j == nil {
		return
	}
	grace := 0.0
	if j.spec.CheckpointIntervalSeconds > 0 && config.Seconds(j.spec.SaveSeconds+c.cfg.Workers.HeartbeatSeconds) < within {
		grace = j.spec.SaveSeconds + c.cfg.Workers.GangPeerSeconds
	}
	if j.spec.Shape != protocol.Gang {
		c.stop(now, j, pl, grace)
		return
	}
	j.stopping = true
	for _, o := range placements(j) {
		if !o.Stopping {
			c.stop(now, j, o, grace)
		}
	}
}
