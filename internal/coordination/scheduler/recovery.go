package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// storedPage is a page that recovery has read.
type storedPage struct {
	id       storage.PageID
	revision uint64
	record   *storage.PlacementPage
}

// recoverPages takes over what the pages record.
func (c *Scheduler) recoverPages(now time.Duration, pairs []protocol.KeyValue) {
	byJob := map[string][]storedPage{}
	for _, pair := range pairs {
		name, err := storage.ParsePageKey(pair.Key, storage.OriginalPageTasks(c.cfg.Store.ValueKB))
		if err != nil {
			c.log.Error("page out of form", "key", pair.Key, "err", err)
			continue
		}
		rec, err := storage.DecodePage(pair, name.Layout)
		if err != nil {
			c.log.Error("page out of form", "key", pair.Key, "err", err)
			continue
		}
		byJob[name.Job] = append(byJob[name.Job], storedPage{name, pair.Revision, rec})
	}
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		c.recoverJobPages(now, id, byJob[id])
	}
}

// recoverJobPages takes over what the pages of a job record, the narrowest first: of a task that several
// cover, that one counts.
func (c *Scheduler) recoverJobPages(now time.Duration, id string, pages []storedPage) {
	slices.SortStableFunc(pages, func(a, b storedPage) int { return compareLayouts(a.id.Layout, b.id.Layout) })
	j := c.jobs[id]
	if j == nil {
		j = c.newEndedJob(now, id, pages)
	}
	j.Pages.Restore(j.TaskCount(), c.layoutAtMost(pages[0].id.Layout.TasksPerPage))
	var covered []storage.PageID
	for _, p := range pages {
		counts := func(task int) bool {
			return !slices.ContainsFunc(
				covered,
				func(n storage.PageID) bool { return task >= n.FirstTask() && task < n.EndTask() },
			)
		}
		j.Pages.RestorePage(p.id, p.revision, p.record.HighestAttempt)
		c.recoverPageTasks(now, j, p.record, counts)
		covered = append(covered, p.id)
	}
	c.queues.AddPlaced(j)
}

// compareLayouts orders layouts by which counts for a task that pages of several cover: the narrower one, and of two
// that are as wide the compact one.
func compareLayouts(a, b storage.PageLayout) int {
	if a.TasksPerPage == b.TasksPerPage && a.Compact != b.Compact {
		if a.Compact {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.TasksPerPage, b.TasksPerPage)
}

// newEndedJob makes up a job that is over, and whose tasks may not be gone: they still count.
func (c *Scheduler) newEndedJob(now time.Duration, id string, pages []storedPage) *jobstate.Job {
	rec := pages[0].record
	j := jobstate.New(protocol.Job{
		ID: id, Team: rec.Team, CPUs: rec.CPUs, GPUs: rec.GPUs,
		MemoryGB: rec.MemoryGB, Priority: "best_effort",
	}, 0, 0, now, c.newJobLayout())
	for _, p := range pages {
		j.ExtendTasks(p.id.EndTask())
	}
	j.MarkEnded()
	c.jobs[id] = j
	c.queues.Add(j)
	return j
}

// recoverPageTasks takes over what a page records of the tasks for which it counts.
func (c *Scheduler) recoverPageTasks(
	now time.Duration,
	j *jobstate.Job,
	rec *storage.PlacementPage,
	counts func(task int) bool,
) {
	for _, d := range rec.DoneRanges {
		for t := d[0]; t <= d[1]; t++ {
			if counts(t) {
				j.SetTask(t, jobstate.TaskDone)
			}
		}
	}
	for _, pl := range rec.Placements {
		if pl.Task >= j.TaskCount() || j.Placements[pl.Task] != nil || !counts(pl.Task) {
			continue
		}
		np := &machineregistry.Placement{
			Task: protocol.TaskID{
				JobID: j.Spec.ID,
				Index: pl.Task,
			},
			Attempt:       pl.Attempt,
			Machine:       pl.Machine,
			Incarnation:   pl.Incarnation,
			Zone:          rec.Zones[pl.Zone],
			Resources:     j.TaskResources,
			Team:          j.Spec.Team,
			PriorityLevel: j.EffectivePriority,
			Job:           &j.Spec,
		}
		j.RestorePlacement(np)
		c.machines.Adopt(now, np)
	}
}
