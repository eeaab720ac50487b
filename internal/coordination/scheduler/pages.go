package scheduler

import (
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
				Task: t, Machine: pl.Machine, Session: pl.Incarnation, Attempt: pl.Attempt, Zone: r.ZoneIndex(pl.Zone),
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
		add(pl.Task.Index / j.layout.Width)
	}
	for _, n := range j.dirtyPages() {
		add(n)
	}
	slices.Sort(ns)
	return ns
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
		t.If = append(t.If, protocol.Compare{Key: name.Key(), Revision: stamp})
		t.Then = append(t.Then, protocol.Op{DeleteKey: name.Key()})
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
