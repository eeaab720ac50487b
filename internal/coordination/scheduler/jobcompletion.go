package scheduler

import (
	"fmt"
	"time"

	"pinebay/internal/coordination/dependency"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// completeJob records that all tasks are done. The job's end moves it from its
// live key to its final one; pages without placements go with it.
func (c *Scheduler) completeJob(now time.Duration, j *jobstate.Job) {
	if j.Ending || j.Ended {
		return
	}
	if j.WriteInFlight || c.writesPaused {
		return // the outcome of that write, or the end of the pause, comes back here
	}
	j.Ending = true
	id, name := c.nextWriteID()
	value, err := protocol.Encode(
		storage.EndedJobRecord{State: protocol.JobDone, DoneTasks: j.TaskCount(), WriteName: name},
	)
	if err != nil {
		c.log.Error("ended record", "err", err)
		return
	}
	t := protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: c.termRevision},
			{Key: storage.LiveJobKey(j.Spec.ID), Revision: j.LiveRevision},
		},
		Then: []protocol.Op{
			{DeleteKey: storage.LiveJobKey(j.Spec.ID)},
			{PutKey: storage.EndedJobKey(j.Spec.ID), Value: value},
		},
	}
	var dropped pageDeletions
	if len(j.Placements) == 0 {
		dropped = c.addPageDeletions(j, &t)
	}
	c.writesInFlight[id] = func(now time.Duration, w TransactionOutcome) {
		j.Ending = false
		if w.Malformed {
			c.shrinkTransactions(&t)
			c.callAt(now+rejectedRetryDelay, func(now time.Duration) { c.completeJob(now, j) })
			return
		}
		if !w.Succeeded && !c.endedMeanwhile(now, j, w) {
			return
		}
		if w.Succeeded {
			c.pagesDeleted(j, dropped)
			c.dependencyEnded(now, j.Spec.ID, dependency.Done)
		}
		c.log.Debug(
			"job done",
			"job",
			j.Spec.ID,
			"class",
			j.Spec.Class,
			"tasks",
			j.TaskCount(),
			"took",
			now-j.WaitingSince,
		)
		c.endJob(now, j)
	}
	purpose := PriorityCompletion
	if c.dependencies.HasDependents(j.Spec.ID) {
		purpose = PriorityUnblock
	}
	c.emit(Write{ID: id, Txn: t, Priority: purpose, VerifyKey: storage.EndedJobKey(j.Spec.ID), Name: name})
}

// rejectedRetryDelay is the time after which a write is tried again that was refused for its form.
const rejectedRetryDelay = 10 * CycleInterval

func (c *Scheduler) nextWriteID() (uint64, string) {
	c.lastWriteID++
	return c.lastWriteID, fmt.Sprintf("%d.%d", c.term, c.lastWriteID)
}

// endedMeanwhile says whether a write failed because the job is over. Any other
// reason means that somebody else leads or that the books are wrong; either
// way a new term, which reads everything afresh, is the safe answer.
func (c *Scheduler) endedMeanwhile(now time.Duration, j *jobstate.Job, w TransactionOutcome) bool {
	for _, k := range w.FailedKeys {
		if k == storage.TermKey {
			c.emit(StepDown{Reason: "the term has changed"})
			return false
		}
	}
	for _, k := range w.FailedKeys {
		if k == storage.LiveJobKey(j.Spec.ID) {
			return true
		}
	}
	c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", w.FailedKeys)})
	return false
}

// cleanUpEndedJob removes the pages of a job that is over, once nothing of it is left.
func (c *Scheduler) cleanUpEndedJob(now time.Duration, j *jobstate.Job) {
	if !j.Ended || j.WriteInFlight || len(j.Placements) > 0 || c.writesPaused {
		return
	}
	if len(j.Pages.Superseded()) == 0 {
		for number, page := range j.Pages.All() {
			if page.Revision == 0 {
				c.recordExits(page)
				j.Pages.Remove(number)
			}
		}
	}
	t := protocol.Txn{If: []protocol.Compare{{Key: storage.TermKey, Revision: c.termRevision}}}
	dropped := c.addPageDeletions(j, &t)
	if len(t.Then) == 0 {
		delete(c.jobs, j.Spec.ID)
		c.zoneFailover.ForgetJob(j.Spec.ID)
		c.queues.Remove(j)
		return
	}
	j.WriteInFlight = true
	id, _ := c.nextWriteID()
	c.writesInFlight[id] = func(now time.Duration, w TransactionOutcome) {
		j.WriteInFlight = false
		if w.Malformed {
			c.shrinkTransactions(&t)
			c.callAt(now+rejectedRetryDelay, func(now time.Duration) { c.cleanUpEndedJob(now, j) })
			return
		}
		if !w.Succeeded {
			c.emit(StepDown{Reason: fmt.Sprintf("conditions failed: %v", w.FailedKeys)})
			return
		}
		c.pagesDeleted(j, dropped)
		c.cleanUpEndedJob(now, j)
	}
	c.emit(Write{ID: id, Txn: t, Priority: PriorityMaintenance, VerifyKey: t.Then[0].DeleteKey})
}

// startRecorded lets recorded placements go; a gang's only when all are recorded.
func (c *Scheduler) startRecorded(j *jobstate.Job) {
	var rest []*machineregistry.Placement
	for _, pl := range j.Unstarted {
		if !pl.Recorded {
			rest = append(rest, pl)
		}
	}
	if j.Spec.Shape == protocol.Gang && len(rest) > 0 {
		return
	}
	for _, pl := range j.Unstarted {
		if pl.Recorded && !pl.Terminated {
			c.machines.AllowStart(pl)
		}
	}
	j.Unstarted = rest
	c.cycle.due = c.cycle.due || j.PendingTasks() > 0
}

func (c *Scheduler) cancelUnstarted(now time.Duration, j *jobstate.Job) {
	granted := j.Unstarted
	j.Unstarted = nil
	for _, pl := range granted {
		if !pl.StartAllowed {
			c.stopPlacement(now, j, pl, 0)
		}
	}
}
