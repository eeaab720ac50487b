package placementrecords

import (
	"cmp"
	"slices"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// StoredPage is a page that was read from the store.
type StoredPage struct {
	ID       storage.PageID
	Revision uint64
	Record   *storage.PlacementPage

	narrower []storage.PageID // pages of the job that take precedence for the tasks that they cover
}

// Decode decodes the pages of all jobs. The pages of each job are sorted by precedence: if several pages cover a task,
// the narrowest one is valid. Malformed records are passed to onError and omitted.
func Decode(
	records []protocol.KeyValue,
	originalTasks int,
	onError func(record protocol.KeyValue, err error),
) map[string][]StoredPage {
	byJob := map[string][]StoredPage{}
	for _, record := range records {
		id, err := storage.ParsePageKey(record.Key, originalTasks)
		if err != nil {
			onError(record, err)
			continue
		}
		page, err := storage.DecodePage(record, id.Layout)
		if err != nil {
			onError(record, err)
			continue
		}
		byJob[id.Job] = append(byJob[id.Job], StoredPage{ID: id, Revision: record.Revision, Record: page})
	}
	for _, pages := range byJob {
		sortByPrecedence(pages)
	}
	return byJob
}

// sortByPrecedence sorts the pages of a job by precedence, and sets the preceding pages of each.
func sortByPrecedence(pages []StoredPage) {
	slices.SortStableFunc(pages, func(a, b StoredPage) int { return compareLayouts(a.ID.Layout, b.ID.Layout) })
	ids := make([]storage.PageID, len(pages))
	for i := range pages {
		ids[i] = pages[i].ID
		pages[i].narrower = ids[:i]
	}
}

// compareLayouts orders layouts by precedence: a narrower layout comes first, and of two layouts with the same number
// of tasks per page the compact one.
func compareLayouts(a, b storage.PageLayout) int {
	if a.TasksPerPage == b.TasksPerPage && a.Compact != b.Compact {
		if a.Compact {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.TasksPerPage, b.TasksPerPage)
}

// ValidFor reports whether the page is the valid one for a task, which no page of higher precedence covers.
func (p *StoredPage) ValidFor(task int) bool {
	return !slices.ContainsFunc(p.narrower, func(id storage.PageID) bool {
		return task >= id.FirstTask() && task < id.EndTask()
	})
}
