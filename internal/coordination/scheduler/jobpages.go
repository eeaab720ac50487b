package scheduler

import (
	"slices"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// narrowToFit narrows a job's pages until each of those to be written fits a value. Pages of the original
// layout always do.
func (c *Scheduler) narrowToFit(j *jobstate.Job) {
	tooLarge := func(number int) bool { return !c.pageFitsValue(j, number) }
	for j.Pages.CanNarrow() && slices.ContainsFunc(j.Pages.Dirty(), tooLarge) {
		j.Pages.Narrow()
	}
}

// pageFitsValue reports whether a page fits a value. For most pages the estimate decides, without encoding them.
func (c *Scheduler) pageFitsValue(j *jobstate.Job, number int) bool {
	if float64(j.EstimatedPageBytes(number)) <= c.stateLimits.ValueKB*1024 {
		return true
	}
	_, name := c.nextWriteID()
	raw, err := j.EncodePage(number, name)
	return err == nil && storage.FitsValueLimit(raw, c.stateLimits.ValueKB)
}

// pageDeletions are the pages of a job that a transaction deletes.
type pageDeletions struct {
	pages      []int
	superseded int // how many superseded pages, from the first one on
}

// addPageDeletions adds the deletion of a job's pages to a transaction, as far as it has room: superseded pages
// first, as they would count again without the pages that replace them.
func (c *Scheduler) addPageDeletions(j *jobstate.Job, t *protocol.Txn) (deletions pageDeletions) {
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
func (c *Scheduler) pagesDeleted(j *jobstate.Job, deletions pageDeletions) {
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
