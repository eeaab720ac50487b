package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// placementPage is a run of tasks that share a record.
type placementPage struct {
	revision        uint64 // of its record; 0: nothing is stored
	highestAttempt  uint64
	dirty           bool
	unrecordedExits []*machineregistry.Placement // gone, and still in the record
}

// supersededPage is a stored page of another layout than its job's.
type supersededPage struct {
	id             storage.PageID
	revision       uint64
	highestAttempt uint64
}

func (j *Job) page(n int) *placementPage {
	p := j.pages[n]
	if p == nil {
		p = &placementPage{}
		j.pages[n] = p
	}
	return p
}

func (j *Job) pageOfTask(task int) *placementPage { return j.page(task / j.layout.TasksPerPage) }

// pageID is what tells a page from others.
func (j *Job) pageID(n int) storage.PageID {
	return storage.PageID{Job: j.Spec.ID, Layout: j.layout, Number: n}
}

func (j *Job) markDirty(task int, now time.Duration) {
	j.pageOfTask(task).dirty = true
	j.Queues.addEnded(now, j)
}

// pageRecord returns page n as it should be stored.
func (j *Job) pageRecord(n int, write string) *storage.PlacementPage {
	p := j.page(n)
	r := &storage.PlacementPage{
		WriteName: write, HighestAttempt: p.highestAttempt, Team: j.Spec.Team,
		CPUs: j.TaskResources.CPUs, GPUs: j.TaskResources.GPUs, MemoryGB: j.TaskResources.MemoryGB,
	}
	name := j.pageID(n)
	for t := name.FirstTask(); t < min(name.EndTask(), len(j.TaskStates)); t++ {
		if j.TaskStates[t] == TaskDone {
			r.AddDoneTask(t)
		}
		if pl := j.Placements[t]; pl != nil {
			r.Placements = append(r.Placements, storage.Placement{
				Task:        t,
				Machine:     pl.Machine,
				Incarnation: pl.Incarnation,
				Attempt:     pl.Attempt,
				Zone:        r.ZoneIndex(pl.Zone),
			})
		}
	}
	return r
}

// encodePage returns page n as it is stored, for a transaction of the given name.
func (j *Job) encodePage(n int, write string) ([]byte, error) {
	value, err := storage.EncodePage(j.pageRecord(n, write), j.layout)
	if err != nil {
		return nil, fmt.Errorf("page %d of %s: %w", n, j.Spec.ID, err)
	}
	return value, nil
}

// What a record takes at the most, in the JSON form that limits count, beside its placements.
const (
	recordHeaderBytes = 512
	doneRangeBytes    = 16
)

// estimatedPageBytes bounds the size of page n as a record.
func (j *Job) estimatedPageBytes(n int) int {
	size := recordHeaderBytes
	last := false
	name := j.pageID(n)
	for t := name.FirstTask(); t < min(name.EndTask(), len(j.TaskStates)); t++ {
		isDone := j.TaskStates[t] == TaskDone
		if isDone && !last {
			size += doneRangeBytes
		}
		last = isDone
		if j.Placements[t] != nil {
			size += storage.PlacementBytes
		}
	}
	return size
}

// dirtyPages lists the pages to be written, in order.
func (j *Job) dirtyPages() []int {
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
func (j *Job) pagesToWrite(most int) []int {
	var ns []int
	add := func(n int) {
		if len(ns) < most && !slices.Contains(ns, n) {
			ns = append(ns, n)
		}
	}
	for _, pl := range j.unstarted {
		add(pl.Task.Index / j.layout.TasksPerPage)
	}
	for _, n := range j.dirtyPages() {
		add(n)
	}
	slices.Sort(ns)
	return ns
}

// pageDeletions lists the pages of a job that a transaction drops.
type pageDeletions struct {
	pages      []int
	superseded int // the first so many of them
}

// addPageDeletions adds to a transaction the deletion of a job's pages, as far as it has room: those first that
// others supersede, or they would count again.
func (c *Scheduler) addPageDeletions(j *Job, t *protocol.Txn) (d pageDeletions) {
	drop := func(name storage.PageID, stamp uint64) {
		t.If = append(t.If, protocol.Compare{Key: name.Key(), Revision: stamp})
		t.Then = append(t.Then, protocol.Op{DeleteKey: name.Key()})
	}
	for _, s := range j.supersededPages {
		if len(t.Then) < c.stateLimits.TxnOps {
			drop(s.id, s.revision)
			d.superseded++
		}
	}
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		if p := j.pages[n]; p.revision != 0 && len(t.Then) < c.stateLimits.TxnOps {
			drop(j.pageID(n), p.revision)
			d.pages = append(d.pages, n)
		}
	}
	return d
}

// pagesDeleted takes in that pages of a job are gone.
func (c *Scheduler) pagesDeleted(j *Job, d pageDeletions) {
	for _, n := range d.pages {
		c.forgetExits(j.pages[n])
		delete(j.pages, n)
	}
	j.supersededPages = j.supersededPages[d.superseded:]
}
