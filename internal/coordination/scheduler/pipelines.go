package scheduler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// jobsWithPages names the jobs of which placements were recorded.
func jobsWithPages(pairs []protocol.KeyValue) map[string]bool {
	ids := map[string]bool{}
	for _, pair := range pairs {
		if name, err := storage.ParsePageKey(pair.Key, 1); err == nil {
			ids[name.Job] = true
		}
	}
	return ids
}

// addDependencies enters a job that was accepted, and what it awaits.
func (c *Core) addDependencies(now time.Duration, j *job) {
	due := dependency.Never
	if j.spec.DeadlineSeconds > 0 {
		due = j.known + config.Seconds(j.spec.DeadlineSeconds)
	}
	change := c.graph.Add(dependency.Job{ID: j.spec.ID, Needs: j.spec.Dependencies, Level: j.level, Due: due, Estimate: config.Seconds(j.spec.EstimateSeconds * estimateSlack)})
	j.blocked = c.graph.Open(j.spec.ID) > 0 || c.graph.State(j.spec.ID) == dependency.Cancelled
	c.dependenciesChanged(now, change)
}

// estimateSlack is how many times its estimate a job is expected to take when others wait for it: estimates
// are wrong by half.
const estimateSlack = 1.5

// needEnded takes in how a job has ended that others may await. It must be recorded, and so final.
func (c *Core) needEnded(now time.Duration, id string, state dependency.State) {
	c.dependenciesChanged(now, c.graph.End(id, state))
}

// liveRecordGone takes in that a job's live record is gone. How it has ended is read if others await it.
func (c *Core) liveRecordGone(now time.Duration, id string) {
	if c.graph.State(id) != dependency.Unknown {
		c.dependenciesChanged(now, c.graph.EndUnknown(id))
	}
}

// endRead takes in what the state service says of how a job ended.
func (c *Core) endRead(now time.Duration, e EndRead) {
	switch e.Standing {
	case protocol.JobDone:
		c.needEnded(now, e.ID, dependency.Done)
	case protocol.JobCancelled:
		c.needEnded(now, e.ID, dependency.Cancelled)
	default:
		// It lives, and we are about to hear so, or the service has not answered.
		c.callAt(now+Cycle/4, func(now time.Duration) { c.readEnd(e.ID) })
	}
}

// readEnd asks how a job has ended, if anybody still awaits it.
func (c *Core) readEnd(id string) {
	if c.graph.Needed(id) && c.graph.State(id) == dependency.Unknown {
		c.emit(ReadEnd{ID: id})
	}
}

// dependenciesChanged takes in what follows for other jobs.
func (c *Core) dependenciesChanged(now time.Duration, change dependency.Change) {
	for _, id := range change.Unknown {
		c.readEnd(id)
	}
	for _, id := range change.Raised {
		c.reprioritise(c.jobs[id])
	}
	for _, id := range change.Freed {
		c.freed(now, c.jobs[id])
	}
	for _, id := range change.Cancelled {
		if j := c.jobs[id]; j != nil && !j.over {
			j.blocked = true
			c.queues.update(j)
			c.cascade = append(c.cascade, j)
		}
	}
	c.recordCancelled()
}

// freed lets a job begin of which all needs are durably done. Its waiting times count from now on.
func (c *Core) freed(now time.Duration, j *job) {
	if j == nil || j.over || !j.blocked {
		return
	}
	c.log.Debug("freed", "job", j.spec.ID, "class", j.spec.Class, "after", now-j.known)
	j.blocked, j.known = false, now
	c.queues.update(j)
	c.arrived(j, now)
	c.due = true
}

// reprioritise gives a job the priority and the latest start that it has by itself and by those that await it.
// Its running tasks go on, and count by the new priority.
func (c *Core) reprioritise(j *job) {
	if j == nil || j.over {
		return
	}
	level, ok := c.graph.Level(j.spec.ID)
	start := c.graph.LatestStart(j.spec.ID)
	if !c.graph.Chained(j.spec.ID) {
		start = dependency.Never // an ordinary job goes by age
	}
	if !ok || level == j.level && start == j.latestStart {
		return
	}
	c.queues.reorder(j, func() { j.level, j.latestStart = level, start })
	for _, pl := range j.places {
		c.machines.SetPriorityLevel(pl, level)
	}
	c.due = true
}

// recordCancelled writes the ends of jobs that are cancelled with one that they await. They count as
// cancelled without that, for every controller derives it; the record spares it the work.
func (c *Core) recordCancelled() {
	for len(c.cascade) > 0 && !c.writesPaused && c.pagesInFlight[Ends] < c.maxCompletionPages() {
		id, name := c.nextWriteID()
		t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termStamp}}}
		var jobs []*job
		for len(c.cascade) > 0 && len(t.Then)+minTransactionOperations <= max(minTransactionOperations, c.stateLimits.TxnOps) {
			j := c.cascade[0]
			c.cascade[0] = nil
			c.cascade = c.cascade[1:]
			if j.over || j.writeInFlight || j.finishing {
				continue // it has ended by itself
			}
			value, err := protocol.Encode(storage.EndedJobRecord{State: protocol.JobCancelled, WriteName: name, CancelledDependency: c.graph.Cause(j.spec.ID)})
			if err != nil {
				c.log.Error("ended record", "err", err)
				continue
			}
			live, ended := storage.LiveJobKey(j.spec.ID), storage.EndedJobKey(j.spec.ID)
			t.If = append(t.If, protocol.Compare{Key: live, Revision: j.stamp}, protocol.Compare{Key: ended})
			t.Then = append(t.Then, protocol.Op{DeleteKey: live}, protocol.Op{PutKey: ended, Value: value})
			jobs = append(jobs, j)
		}
		if len(jobs) == 0 {
			return
		}
		c.writeCancelled(id, name, t, jobs)
	}
}

// writeCancelled writes the ends of jobs in one transaction.
func (c *Core) writeCancelled(id uint64, name string, t protocol.Txn, jobs []*job) {
	c.pagesInFlight[Ends] += len(t.Then)
	for _, j := range jobs {
		j.finishing = true
	}
	c.writesInFlight[id] = func(now time.Duration, w Written) {
		c.pagesInFlight[Ends] -= len(t.Then)
		for _, j := range jobs {
			j.finishing = false
		}
		switch {
		case w.OK:
			for _, j := range jobs {
				c.log.Debug("cancelled with a job that it awaits", "job", j.spec.ID)
				c.graph.EndUnknown(j.spec.ID)
				c.end(now, j)
			}
		case w.Refused:
			c.shrinkTransactions(&t)
			c.callAt(now+rejectedRetryDelay, func(time.Duration) { c.cascade = append(c.cascade, jobs...) })
			return
		case !c.overtakenAny(now, jobs, w):
			return
		default:
			// Some ended by themselves meanwhile; the others are written again.
			c.cascade = append(c.cascade, jobs...)
		}
		c.recordCancelled()
	}
	c.emit(Write{ID: id, Txn: t, For: Ends, Verify: t.Then[1].PutKey, Name: name})
}

// overtakenAny says whether a transaction about several jobs failed because some of them are over, and takes
// that in.
func (c *Core) overtakenAny(now time.Duration, jobs []*job, w Written) bool {
	over := false
	for _, j := range jobs {
		if slices.Contains(w.Failed, storage.LiveJobKey(j.spec.ID)) || slices.Contains(w.Failed, storage.EndedJobKey(j.spec.ID)) {
			c.end(now, j)
			over = true
		}
	}
	return over || c.endedMeanwhile(now, jobs[0], w)
}

// foreseen lists the room that blocked jobs will want before a machine rented now would be up: the jobs that
// they await all run, and are likely to be done by then.
func (c *Core) foreseen(now time.Duration) (units []fleet.Demand) {
	left := mostForeseen
	c.queues.blockedJobs.Scan(func(j *job) bool {
		if left--; left < 0 {
			return false
		}
		if c.graph.State(j.spec.ID) == dependency.Live && c.isNear(now, j) {
			units = append(units, fleet.Demand{Job: &j.spec, Count: min(j.spec.TaskCount, c.tasksWithinQuotaLimit(j)), Headroom: true})
		}
		return true
	})
	return units
}

// mostForeseen bounds the jobs that a plan looks at for what they will want: the first by priority and latest
// start, however many wait.
const mostForeseen = 256

// isNear says whether all that a job awaits is likely to be done within a boot time.
func (c *Core) isNear(now time.Duration, j *job) bool {
	boot := 0.0
	for _, t := range c.machines.MachineTypes() {
		boot = max(boot, t.BootSeconds)
	}
	for _, id := range j.spec.Dependencies {
		need := c.jobs[id]
		if need == nil || need.over {
			continue
		}
		if need.runAt == 0 || need.counts[pending] > 0 || (need.runAt+config.Seconds(need.spec.EstimateSeconds)-now).Seconds() > boot {
			return false
		}
	}
	return true
}
