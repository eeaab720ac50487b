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

// recoverPlacementPages restores the placements that earlier leaders recorded.
func (s *Scheduler) recoverPlacementPages(now time.Duration, records []protocol.KeyValue) {
	onError := func(record protocol.KeyValue, err error) {
		s.log.Error("malformed placement page", "key", record.Key, "error", err)
	}
	byJob := placementrecords.Decode(records, storage.OriginalTasksPerPage(s.cfg.Store.ValueKB), onError)
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		s.recoverJobPages(now, id, byJob[id])
	}
}

// recoverJobPages restores the pages of a job, which are sorted by width, narrowest first.
func (s *Scheduler) recoverJobPages(now time.Duration, id string, pages []placementrecords.StoredPage) {
	j := s.jobs[id]
	if j == nil {
		j = s.newEndedJob(now, id, pages)
	}
	j.Pages.Restore(j.TaskCount(), s.recordLimits.LayoutAtMost(pages[0].ID.Layout.TasksPerPage))
	for i := range pages {
		page := &pages[i]
		j.Pages.RestorePage(page.ID, page.Revision, page.Record.HighestAttempt)
		s.recoverTasks(now, j, page)
	}
	s.queues.AddPlaced(j)
}

// newEndedJob adds and returns a job that has placement pages but no live record. The job has ended, but its tasks use
// capacity until they are known to be gone.
func (s *Scheduler) newEndedJob(now time.Duration, id string, pages []placementrecords.StoredPage) *jobstate.Job {
	record := pages[0].Record
	spec := protocol.Job{
		ID:       id,
		Team:     record.Team,
		CPUs:     record.CPUs,
		GPUs:     record.GPUs,
		MemoryGB: record.MemoryGB,
		Priority: "best_effort",
	}
	j := jobstate.New(spec, 0, 0, now, s.recordLimits.NewJobLayout())
	for _, page := range pages {
		j.ExtendTasks(page.ID.EndTask())
	}
	j.MarkEnded()
	s.jobs[id] = j
	s.queues.Add(j)
	return j
}

// recoverTasks restores the tasks for which a page is authoritative.
func (s *Scheduler) recoverTasks(now time.Duration, j *jobstate.Job, page *placementrecords.StoredPage) {
	for _, done := range page.Record.DoneRanges {
		for task := done[0]; task <= done[1]; task++ {
			if page.ValidFor(task) {
				j.SetTask(task, jobstate.TaskDone)
			}
		}
	}
	for _, stored := range page.Record.Placements {
		if stored.Task < j.TaskCount() && j.Placements[stored.Task] == nil && page.ValidFor(stored.Task) {
			s.recoverPlacement(now, j, stored, page.Record.Zones[stored.Zone])
		}
	}
}

// recoverPlacement restores a placement. The next heartbeat of its machine reports the current state of the task.
func (s *Scheduler) recoverPlacement(now time.Duration, j *jobstate.Job, stored storage.Placement, zone string) {
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
	s.machines.Adopt(now, pl)
}
