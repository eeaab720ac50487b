package placementrecords

import (
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Deletion is the deletion of a job's pages in one transaction.
type Deletion struct {
	job        *jobstate.Job
	pages      []int
	superseded int // how many superseded pages, from the first one on
}

// AppendDeletion adds the deletion of a job's pages to a transaction, up to a number of operations in all: superseded
// pages first, as they would count again without the pages that replace them.
func AppendDeletion(t *protocol.Txn, j *jobstate.Job, maxOperations int) Deletion {
	deletion := Deletion{job: j}
	deletePage := func(id storage.PageID, revision uint64) {
		t.If = append(t.If, protocol.Compare{Key: id.Key(), Revision: revision})
		t.Then = append(t.Then, protocol.Op{DeleteKey: id.Key()})
	}
	for _, old := range j.Pages.Superseded() {
		if len(t.Then) < maxOperations {
			deletePage(old.ID, old.Revision)
			deletion.superseded++
		}
	}
	for _, number := range j.Pages.Numbers() {
		if page := j.Pages.Page(number); page.Revision != 0 && len(t.Then) < maxOperations {
			deletePage(j.Pages.ID(number), page.Revision)
			deletion.pages = append(deletion.pages, number)
		}
	}
	return deletion
}

// Commit applies a deletion that was carried out. It calls recorded for each placement that is gone and was listed in
// a deleted page.
func (d Deletion) Commit(recorded func(*machineregistry.Placement)) {
	if d.job == nil {
		return
	}
	for _, number := range d.pages {
		releaseExits(d.job.Pages.Page(number), recorded)
		d.job.Pages.Remove(number)
	}
	d.job.Pages.RemoveFirstSuperseded(d.superseded)
}

// ForgetUnstored removes the pages of an ended job of which nothing is stored.
func ForgetUnstored(j *jobstate.Job, recorded func(*machineregistry.Placement)) {
	if len(j.Pages.Superseded()) > 0 {
		return // they still count for tasks of such pages
	}
	for number, page := range j.Pages.All() {
		if page.Revision == 0 {
			releaseExits(page, recorded)
			j.Pages.Remove(number)
		}
	}
}

func releaseExits(page *placementpages.Page, recorded func(*machineregistry.Placement)) {
	for _, exit := range page.UnrecordedExits {
		recorded(exit)
	}
	page.UnrecordedExits = nil
}
