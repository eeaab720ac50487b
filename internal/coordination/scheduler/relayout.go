package scheduler

import (
	"maps"
	"slices"
	"time"

	"pinebay/internal/storage"
)

// relayout cuts a job's pages anew, narrower than they are. What is stored stays until pages of the new
// layout say the same: of a task that several stored pages cover, the narrowest counts. No write of the job
// may be under way.
func (j *job) relayout(layout storage.Layout) {
	old, oldLayout := j.pages, j.layout
	j.layout, j.pages = layout, map[int]*page{}
	for _, n := range slices.Sorted(maps.Keys(old)) {
		p, name := old[n], storage.PageName{Job: j.spec.ID, Layout: oldLayout, Number: n}
		if p.stamp != 0 {
			j.superseded = append(j.superseded, superseded{name, p.stamp, p.attempts})
		}
		j.eachPageOf(name, func(k int) {
			cut := j.page(k)
			cut.attempts = max(cut.attempts, p.attempts)
			cut.dirty = cut.dirty || p.dirty
		})
		for _, pl := range p.exits {
			cut := j.pageOf(pl.Task.Index)
			cut.exits = append(cut.exits, pl)
		}
	}
}

// cutToSize cuts a job's pages narrower until those to be written fit a value. The first layout always fits.
func (c *Core) cutToSize(j *job) {
	for j.layout.Compact && j.layout.Width > 1 && slices.ContainsFunc(j.dirtyPages(), func(n int) bool { return !c.fitsValue(j, n) }) {
		j.relayout(storage.Layout{Width: (j.layout.Width + 1) / 2, Compact: true})
	}
}

// fitsValue says whether page n fits a value. Few need more than a look at how many tasks are on them.
func (c *Core) fitsValue(j *job, n int) bool {
	if float64(j.pageBytes(n)) <= c.stateLimits.ValueKB*1024 {
		return true
	}
	_, name := c.name()
	raw, err := j.encodePage(n, name)
	return err == nil && storage.Fits(raw, c.stateLimits.ValueKB)
}

// eachPageOf calls f for each page of the job's layout that shares tasks with a page of another one.
func (j *job) eachPageOf(name storage.PageName, f func(n int)) {
	end := min(name.End(), len(j.tasks))
	for n := name.First() / j.layout.Width; n*j.layout.Width < end; n++ {
		f(n)
	}
}

// replaced says whether a superseded page counts for no task any more once the given pages are written.
func (j *job) replaced(s superseded, written []int) bool {
	ok := true
	j.eachPageOf(s.name, func(n int) {
		if p := j.page(n); p.stamp == 0 && p.attempts > 0 && !slices.Contains(written, n) {
			ok = false
		}
	})
	return ok
}

// replaceSuperseded has the pages written that keep a superseded page from being dropped. If there are none, it
// goes with the next write of the first page that shares tasks with it.
func (j *job) replaceSuperseded(now time.Duration) {
	if len(j.superseded) == 0 {
		return
	}
	old := j.superseded[0]
	j.eachPageOf(old.name, func(n int) {
		if p := j.page(n); p.stamp == 0 {
			p.dirty = true
		}
	})
	if j.replaced(old, nil) {
		j.page(old.name.First() / j.layout.Width).dirty = true
	}
	j.queues.addEnded(now, j)
}
