package scheduler

import (
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementrecords"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// recoverPages restores the placements that earlier leaders recorded.
func (c *Scheduler) recoverPages(now time.Duration, records []protocol.KeyValue) {
	onError := func(record protocol.KeyValue, err error) {
		c.log.Error("malformed placement page", "key", record.Key, "error", err)
	}
	byJob := placementrecords.Decode(records, storage.OriginalPageTasks(c.cfg.Store.ValueKB), onError)
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		c.recoverJobPages(now, id, byJob[id])
	}
}

// recoverJobPages restores the pages of a job, the narrowest first.
func (c *Scheduler) recoverJobPages(now time.Duration, id string, pages []placementrecords.StoredPage) {
	j := c.jobs[id]
	if j == nil {
		j = c.newEndedJob(now, id, pages)
	}
	j.Pages.Restore(j.TaskCount(), c.recordLimits.LayoutAtMost(pages[0].ID.Layout.TasksPerPage))
	for i := range pages {
		page := &pages[i]
		j.Pages.RestorePage(page.ID, page.Revision, page.Record.HighestAttempt)
		c.recoverTasks(now, j, page)
	}
	c.queues.AddPlaced(j)
}

// newEndedJob returns a job without a live record. It has ended, but its tasks count until they are proven gone.
func (c *Scheduler) newEndedJob(now time.Duration, id string, pages []placementrecords.StoredPage) *jobstate.Job {
	record := pages[0].Record
	spec := protocol.Job{
		ID:       id,
		Team:     record.Team,
		CPUs:     record.CPUs,
		GPUs:     record.GPUs,
		MemoryGB: record.MemoryGB,
		Priority: "best_effort",
	}
	j := jobstate.New(spec, 0, 0, now, c.recordLimits.NewJobLayout())
	for _, page := range pages {
		j.ExtendTasks(page.ID.EndTask())
	}
	j.MarkEnded()
	c.jobs[id] = j
	c.queues.Add(j)
	return j
}

// recoverTasks restores the tasks for which a page counts.
func (c *Scheduler) recoverTasks(now time.Duration, j *jobstate.Job, page *placementrecords.StoredPage) {
	for _, done := range page.Record.DoneRanges {
		for task := done[0]; task <= done[1]; task++ {
			if page.Counts(task) {
				j.SetTask(task, jobstate.TaskDone)
			}
		}
	}
	for _, stored := range page.Record.Placements {
		if stored.Task < j.TaskCount() && j.Placements[stored.Task] == nil && page.Counts(stored.Task) {
			c.recoverPlacement(now, j, stored, page.Record.Zones[stored.Zone])
		}
	}
}

// recoverPlacement restores a placement, whose machine will report what has become of it.
func (c *Scheduler) recoverPlacement(now time.Duration, j *jobstate.Job, stored storage.Placement, zone string) {
	pl := &machineregistry.Placement{
		Task:          protocol.TaskID{JobID: j.Spec.ID, Index: stored.Task},
		Attempt:       stored.Attempt,
		Machine:       stored.Machine,
		Incarnation:   stored.Incarnation,
		Zone:          zone,
		Resources:     j.TaskResources,
		Team:          j.Spec.Team,
		PriorityLevel: j.EffectivePriority,
		Job:           &j.Spec,
	}
	j.RestorePlacement(pl)
	c.machines.Adopt(now, pl)
}
