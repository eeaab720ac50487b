package placementrecords

import (
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// Deletion is the deletion of pages of one job in a transaction.
type Deletion struct {
	job        *jobstate.Job
	pages      []int
	superseded int // number of superseded pages to delete, starting with the first
}

// AppendDeletion adds the deletion of a job's pages to a transaction, up to a total of maxOperations operations.
// Superseded pages are deleted first, because they would become valid again without the pages that replace them.
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

// Commit updates the pages of the job after a successful deletion. It calls recorded for each terminated placement that
// was listed on a deleted page.
func (d Deletion) Commit(recorded func(*machineregistry.Placement)) {
	if d.job == nil {
		return
	}
	for _, number := range d.pages {
		reportExits(d.job.Pages.Page(number), recorded)
		d.job.Pages.Remove(number)
	}
	d.job.Pages.RemoveFirstSuperseded(d.superseded)
}

// RemoveUnstoredPages removes the pages of an ended job that have no stored record.
func RemoveUnstoredPages(j *jobstate.Job, recorded func(*machineregistry.Placement)) {
	if len(j.Pages.Superseded()) > 0 {
		return // superseded pages may still be valid for the tasks of pages without a record
	}
	for number, page := range j.Pages.All() {
		if page.Revision == 0 {
			reportExits(page, recorded)
			j.Pages.Remove(number)
		}
	}
}

// reportExits calls recorded for the terminated placements of a page, and removes them from the page.
func reportExits(page *placementpages.Page, recorded func(*machineregistry.Placement)) {
	for _, exit := range page.UnrecordedExits {
		recorded(exit)
	}
	page.UnrecordedExits = nil
}
