package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// markDirty causes the page of a task to be written again.
func (j *Job) markDirty(task int, now time.Duration) {
	j.Pages.PageOf(task).Dirty = true
	j.Queues.addEnded(now, j)
}

// pageRecord returns a page as it should be stored, by a transaction of the given name.
func (j *Job) pageRecord(number int, writeName string) *storage.PlacementPage {
	record := &storage.PlacementPage{
		WriteName:      writeName,
		HighestAttempt: j.Pages.Page(number).HighestAttempt,
		Team:           j.Spec.Team,
		CPUs:           j.TaskResources.CPUs,
		GPUs:           j.TaskResources.GPUs,
		MemoryGB:       j.TaskResources.MemoryGB,
	}
	first, end := j.Pages.Tasks(number)
	for task := first; task < end; task++ {
		if j.TaskStates[task] == TaskDone {
			record.AddDoneTask(task)
		}
		if pl := j.Placements[task]; pl != nil {
			record.Placements = append(record.Placements, storage.Placement{
				Task:        task,
				Machine:     pl.Machine,
				Incarnation: pl.Incarnation,
				Attempt:     pl.Attempt,
				Zone:        record.ZoneIndex(pl.Zone),
			})
		}
	}
	return record
}

// encodePage returns a page as its layout stores it, for a transaction of the given name.
func (j *Job) encodePage(number int, writeName string) ([]byte, error) {
	value, err := storage.EncodePage(j.pageRecord(number, writeName), j.Pages.Layout())
	if err != nil {
		return nil, fmt.Errorf("encode page %d of %s: %w", number, j.Spec.ID, err)
	}
	return value, nil
}

// Upper bounds of what a record takes beside its placements, in the JSON form that the limits count.
const (
	recordHeaderBytes = 512
	doneRangeBytes    = 16
)

// estimatedPageBytes returns an upper bound of the size of a page's record.
func (j *Job) estimatedPageBytes(number int) int {
	size := recordHeaderBytes
	previousDone := false
	first, end := j.Pages.Tasks(number)
	for task := first; task < end; task++ {
		done := j.TaskStates[task] == TaskDone
		if done && !previousDone {
			size += doneRangeBytes
		}
		previousDone = done
		if j.Placements[task] != nil {
			size += storage.PlacementBytes
		}
	}
	return size
}

// pagesToWrite returns the numbers of the next pages to be written, in rising order and up to a limit. Those that
// starts wait for are chosen first.
func (j *Job) pagesToWrite(limit int) []int {
	var numbers []int
	add := func(number int) {
		if len(numbers) < limit && !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	for _, pl := range j.Unstarted {
		add(j.Pages.NumberOf(pl.Task.Index))
	}
	for _, number := range j.Pages.Dirty() {
		add(number)
	}
	slices.Sort(numbers)
	return numbers
}

// narrowToFit narrows a job's pages until each of those to be written fits a value. Pages of the original
// layout always do.
func (c *Scheduler) narrowToFit(j *Job) {
	tooLarge := func(number int) bool { return !c.pageFitsValue(j, number) }
	for j.Pages.CanNarrow() && slices.ContainsFunc(j.Pages.Dirty(), tooLarge) {
		j.Pages.Narrow()
	}
}

// pageFitsValue reports whether a page fits a value. For most pages the estimate decides, without encoding them.
func (c *Scheduler) pageFitsValue(j *Job, number int) bool {
	if float64(j.estimatedPageBytes(number)) <= c.stateLimits.ValueKB*1024 {
		return true
	}
	_, name := c.nextWriteID()
	raw, err := j.encodePage(number, name)
	return err == nil && storage.FitsValueLimit(raw, c.stateLimits.ValueKB)
}

// pageDeletions are the pages of a job that a transaction deletes.
type pageDeletions struct {
	pages      []int
	superseded int // how many superseded pages, from the first one on
}

// addPageDeletions adds the deletion of a job's pages to a transaction, as far as it has room: superseded pages
// first, as they would count again without the pages that replace them.
func (c *Scheduler) addPageDeletions(j *Job, t *protocol.Txn) (deletions pageDeletions) {
	deletePage := func(id storage.PageID, revision uint64) {
		t.If = append(t.If, protocol.Compare{Key: id.Key(), Revision: revision})
		t.Then = append(t.Then, protocol.Op{DeleteKey: id.Key()})
	}
	for _, old := range j.Pages.Superseded() {
		if len(t.Then) < c.stateLimits.TxnOps {
			deletePage(old.ID, old.Revision)
			deletions.superseded++
		}
	}
	for _, number := range j.Pages.Numbers() {
		if page := j.Pages.Page(number); page.Revision != 0 && len(t.Then) < c.stateLimits.TxnOps {
			deletePage(j.Pages.ID(number), page.Revision)
			deletions.pages = append(deletions.pages, number)
		}
	}
	return deletions
}

// pagesDeleted applies the deletion of pages that has been carried out.
func (c *Scheduler) pagesDeleted(j *Job, deletions pageDeletions) {
	for _, number := range deletions.pages {
		c.recordExits(j.Pages.Page(number))
		j.Pages.Remove(number)
	}
	j.Pages.RemoveFirstSuperseded(deletions.superseded)
}

// recordExits reports the exits of a page as recorded whose record no longer lists them.
func (c *Scheduler) recordExits(page *placementpages.Page) {
	for _, pl := range page.UnrecordedExits {
		c.machines.MarkOutcomeRecorded(pl)
	}
	page.UnrecordedExits = nil
}
