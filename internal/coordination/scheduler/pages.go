package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// page is a run of tasks that share a record.
type page struct {
	stamp    uint64 // of its record; 0: nothing is stored
	attempts uint64
	dirty    bool
	exits    []*partition.Placement // gone, and still in the record
}

// superseded is a stored page of another layout than its job's.
type superseded struct {
	name     storage.PageName
	stamp    uint64
	attempts uint64
}

func (j *job) page(n int) *page {
	p := j.pages[n]
	if p == nil {
		p = &page{}
		j.pages[n] = p
	}
	return p
}

func (j *job) pageOf(task int) *page { return j.page(task / j.layout.Width) }

// pageName is what tells a page from others.
func (j *job) pageName(n int) storage.PageName {
	return storage.PageName{Job: j.spec.ID, Layout: j.layout, Number: n}
}

func (j *job) touch(task int, now time.Duration) {
	j.pageOf(task).dirty = true
	j.queues.addEnded(now, j)
}

// record returns page n as it should be stored.
func (j *job) record(n int, write string) *storage.PageRecord {
	p := j.page(n)
	r := &storage.PageRecord{
		Write: write, Attempts: p.attempts, Team: j.spec.Team,
		CPUs: j.need.CPUs, GPUs: j.need.GPUs, MemoryGB: j.need.MemoryGB,
	}
	name := j.pageName(n)
	for t := name.First(); t < min(name.End(), len(j.tasks)); t++ {
		if j.tasks[t] == done {
			r.AddDone(t)
		}
		if pl := j.places[t]; pl != nil {
			r.Places = append(r.Places, storage.Place{
				Task: t, Machine: pl.Machine, Session: pl.Session, Attempt: pl.Attempt, Zone: r.ZoneIndex(pl.Zone),
			})
		}
	}
	return r
}

// encodePage returns page n as it is stored, for a transaction of the given name.
func (j *job) encodePage(n int, write string) ([]byte, error) {
	value, err := storage.EncodePage(j.record(n, write), j.layout)
	if err != nil {
		return nil, fmt.Errorf("page %d of %s: %w", n, j.spec.ID, err)
	}
	return value, nil
}

// What a record takes at the most, in the JSON form that limits count, beside its placements.
const (
	recordHeadBytes = 512
	doneRangeBytes  = 16
)

// pageBytes bounds the size of page n as a record.
func (j *job) pageBytes(n int) int {
	size := recordHeadBytes
	last := false
	name := j.pageName(n)
	for t := name.First(); t < min(name.End(), len(j.tasks)); t++ {
		isDone := j.tasks[t] == done
		if isDone && !last {
			size += doneRangeBytes
		}
		last = isDone
		if j.places[t] != nil {
			size += storage.PlaceBytes
		}
	}
	return size
}

// dirtyPages lists the pages to be written, in order.
func (j *job) dirtyPages() []int {
	var ns []int
	for n, p := range j.pages {
		if p.dirty {
			ns = append(ns, n)
		}
	}
	sort.Ints(ns)
	return ns
}

// pagesToWrite lists up to so many pages to be written, those first for which starts wait.
func (j *job) pagesToWrite(most int) []int {
	var ns []int
	add := func(n int) {
		if len(ns) < most && !slices.Contains(ns, n) {
			ns = append(ns, n)
		}
	}
	for _, pl := range j.granted {
		add(pl.Task.Task / j.layout.Width)
	}
	for _, n := range j.dirtyPages() {
		add(n)
	}
	slices.Sort(ns)
	return ns
}

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
			cut := j.pageOf(pl.Task.Task)
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

// storedPage is a page that recovery has read.
type storedPage struct {
	name  storage.PageName
	stamp uint64
	rec   *storage.PageRecord
}

// recoverPages takes over what the pages record.
func (c *Core) recoverPages(now time.Duration, pairs []protocol.Pair) {
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
		byJob[name.Job] = append(byJob[name.Job], storedPage{name, pair.Version, rec})
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
			Task: protocol.TaskID{Job: j.spec.ID, Task: pl.Task}, Attempt: pl.Attempt, Machine: pl.Machine, Session: pl.Session,
			Zone: rec.Zones[pl.Zone], Need: j.need, Team: j.spec.Team, Level: j.level, Job: &j.spec,
		}
		j.places[pl.Task] = np
		if j.tasks[pl.Task] != done {
			j.set(pl.Task, placed)
		}
		c.machines.Adopt(now, np)
	}
}

// pageDrops lists the pages of a job that a transaction drops.
type pageDrops struct {
	pages      []int
	superseded int // the first so many of them
}

// dropPages adds to a transaction the deletion of a job's pages, as far as it has room: those first that
// others supersede, or they would count again.
func (c *Core) dropPages(j *job, t *protocol.Txn) (d pageDrops) {
	drop := func(name storage.PageName, stamp uint64) {
		t.If = append(t.If, protocol.Cond{Key: name.Key(), Version: stamp})
		t.Then = append(t.Then, protocol.Op{Delete: name.Key()})
	}
	for _, s := range j.superseded {
		if len(t.Then) < c.stateLimits.TxnOps {
			drop(s.name, s.stamp)
			d.superseded++
		}
	}
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		if p := j.pages[n]; p.stamp != 0 && len(t.Then) < c.stateLimits.TxnOps {
			drop(j.pageName(n), p.stamp)
			d.pages = append(d.pages, n)
		}
	}
	return d
}

// pagesDropped takes in that pages of a job are gone.
func (c *Core) pagesDropped(j *job, d pageDrops) {
	for _, n := range d.pages {
		c.settle(j.pages[n])
		delete(j.pages, n)
	}
	j.superseded = j.superseded[d.superseded:]
}
