package scheduler

import (
	"maps"
	"slices"
	"time"

	"pinebay/internal/storage"
)

// changeLayout cuts a job's pages anew, narrower than they are. What is stored stays until pages of the new
// layout say the same: of a task that several stored pages cover, the narrowest counts. No write of the job
// may be under way.
func (j *Job) changeLayout(layout storage.PageLayout) {
	old, oldLayout := j.pages, j.layout
	j.layout, j.pages = layout, map[int]*placementPage{}
	for _, n := range slices.Sorted(maps.Keys(old)) {
		p, name := old[n], storage.PageID{Job: j.Spec.ID, Layout: oldLayout, Number: n}
		if p.revision != 0 {
			j.supersededPages = append(j.supersededPages, supersededPage{name, p.revision, p.highestAttempt})
		}
		j.eachOverlappingPage(name, func(k int) {
			cut := j.page(k)
			cut.highestAttempt = max(cut.highestAttempt, p.highestAttempt)
			cut.dirty = cut.dirty || p.dirty
		})
		for _, pl := range p.unrecordedExits {
			cut := j.pageOfTask(pl.Task.Index)
			cut.unrecordedExits = append(cut.unrecordedExits, pl)
		}
	}
}

// narrowToFit cuts a job's pages narrower until those to be written fit a value. The first layout always fits.
func (c *Scheduler) narrowToFit(j *Job) {
	for j.layout.Compact && j.layout.TasksPerPage > 1 && slices.ContainsFunc(j.dirtyPages(), func(n int) bool { return !c.pageFitsValue(j, n) }) {
		j.changeLayout(storage.PageLayout{TasksPerPage: (j.layout.TasksPerPage + 1) / 2, Compact: true})
	}
}

// pageFitsValue says whether page n fits a value. Few need more than a look at how many tasks are on them.
func (c *Scheduler) pageFitsValue(j *Job, n int) bool {
	if float64(j.estimatedPageBytes(n)) <= c.stateLimits.ValueKB*1024 {
		return true
	}
	_, name := c.nextWriteID()
	raw, err := j.encodePage(n, name)
	return err == nil && storage.FitsValueLimit(raw, c.stateLimits.ValueKB)
}

// eachOverlappingPage calls f for each page of the job's layout that shares tasks with a page of another one.
func (j *Job) eachOverlappingPage(name storage.PageID, f func(n int)) {
	end := min(name.EndTask(), len(j.TaskStates))
	for n := name.FirstTask() / j.layout.TasksPerPage; n*j.layout.TasksPerPage < end; n++ {
		f(n)
	}
}

// fullyReplaced says whether a superseded page counts for no task any more once the given pages are written.
func (j *Job) fullyReplaced(s supersededPage, written []int) bool {
	ok := true
	j.eachOverlappingPage(s.id, func(n int) {
		if p := j.page(n); p.revision == 0 && p.highestAttempt > 0 && !slices.Contains(written, n) {
			ok = false
		}
	})
	return ok
}

// markReplacementsDirty has the pages written that keep a superseded page from being dropped. If there are none, it
// goes with the next write of the first page that shares tasks with it.
func (j *Job) markReplacementsDirty(now time.Duration) {
	if len(j.supersededPages) == 0 {
		return
	}
	old := j.supersededPages[0]
	j.eachOverlappingPage(old.id, func(n int) {
		if p := j.page(n); p.revision == 0 {
			p.dirty = true
		}
	})
	if j.fullyReplaced(old, nil) {
		j.page(old.id.FirstTask() / j.layout.TasksPerPage).dirty = true
	}
	j.Queues.addEnded(now, j)
}
