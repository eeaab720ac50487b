package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// storedPage is a page that recovery has read.
type storedPage struct {
	name  storage.PageName
	stamp uint64
	rec   *storage.PageRecord
}

// recoverPages takes over what the pages record.
func (c *Core) recoverPages(now time.Duration, pairs []protocol.KeyValue) {
	byJob := map[string][]storedPage{}
	for _, pair := range pairs {
		name, err := storage.ParsePageName(pair.Key, storage.ProductionPageTasks(c.cfg.State.ValueKB))
		if err != nil {
			c.log.Error("page out of form", "key", pair.Key, "err", err)
			continue
		}
		rec, err := storage.DecodePage(pair.Value, name.Layout)
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
func (c *Core) recoverJobPages(now time.Duration, id string, pages []storedPage) {
	slices.SortStableFunc(pages, func(a, b storedPage) int { return narrower(a.name.Layout, b.name.Layout) })
	j := c.jobs[id]
	if j == nil {
		j = c.overJob(now, id, pages)
	}
	j.layout = c.narrowed(pages[0].name.Layout.Width)
	var covered []storage.PageName
	for _, p := range pages {
		counts := func(task int) bool {
			return !slices.ContainsFunc(covered, func(n storage.PageName) bool { return task >= n.First() && task < n.End() })
		}
		if p.name.Layout == j.layout {
			own := j.page(p.name.Number)
			own.stamp, own.attempts = p.stamp, max(own.attempts, p.rec.Attempts)
		} else {
			j.superseded = append(j.superseded, superseded{p.name, p.stamp, p.rec.Attempts})
			j.eachPageOf(p.name, func(n int) { j.page(n).attempts = max(j.page(n).attempts, p.rec.Attempts) })
		}
		c.recoverPage(now, j, p.rec, counts)
		covered = append(covered, p.name)
	}
	j.queues.addPlaced(j)
}

// narrower orders layouts by which counts for a task that pages of several cover: the narrower one, and of two
// that are as wide the compact one.
func narrower(a, b storage.Layout) int {
	if a.Width == b.Width && a.Compact != b.Compact {
		if a.Compact {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Width, b.Width)
}

// overJob makes up a job that is over, and whose tasks may not be gone: they still count.
func (c *Core) overJob(now time.Duration, id string, pages []storedPage) *job {
	rec := pages[0].rec
	j := newJob(protocol.Job{ID: id, Team: rec.Team, CPUs: rec.CPUs, GPUs: rec.GPUs,
		MemoryGB: rec.MemoryGB, Priority: "best_effort"}, 0, 0, now, c.layout())
	for _, p := range pages {
		if more := p.name.End() - len(j.tasks); more > 0 {
			j.tasks = append(j.tasks, make([]taskState, more)...)
			j.counts[pending] += more
		}
	}
	j.over = true
	c.jobs[id] = j
	c.enqueue(j)
	return j
}

// recoverPage takes over what a page records of the tasks for which it counts.
func (c *Core) recoverPage(now time.Duration, j *job, rec *storage.PageRecord, counts func(task int) bool) {
	for _, d := range rec.Done {
		for t := d[0]; t <= d[1]; t++ {
			if counts(t) {
				j.set(t, done)
			}
		}
	}
	for _, pl := range rec.Places {
		if pl.Task >= len(j.tasks) || j.places[pl.Task] != nil || !counts(pl.Task) {
			continue
		}
		np := &partition.Placement{
			Task: protocol.TaskID{JobID: j.spec.ID, Index: pl.Task}, Attempt: pl.Attempt, Machine: pl.Machine, Incarnation: pl.Session,
			Zone: rec.Zones[pl.Zone], Resources: j.need, Team: j.spec.Team, PriorityLevel: j.level, Job: &j.spec,
		}
		j.places[pl.Task] = np
		if j.tasks[pl.Task] != done {
			j.set(pl.Task, placed)
		}
		c.machines.Adopt(now, np)
	}
}
