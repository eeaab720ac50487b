package placementrecords

import (
	"cmp"
	"slices"

	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// StoredPage is a page that was read.
type StoredPage struct {
	ID       storage.PageID
	Revision uint64
	Record   *storage.PlacementPage

	narrower []storage.PageID // pages of the job that count instead of this one, for their tasks
}

// Decode decodes the pages of all jobs. Those of a job are in the order in which they count: of a task that several
// pages cover, the narrowest page does. Malformed records are reported to onError and left out.
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

func sortByPrecedence(pages []StoredPage) {
	slices.SortStableFunc(pages, func(a, b StoredPage) int { return compareLayouts(a.ID.Layout, b.ID.Layout) })
	ids := make([]storage.PageID, len(pages))
	for i := range pages {
		ids[i] = pages[i].ID
		pages[i].narrower = ids[:i]
	}
}

// compareLayouts orders layouts by precedence: the narrower one first, and of two that are equally wide the compact
// one.
func compareLayouts(a, b storage.PageLayout) int {
	if a.TasksPerPage == b.TasksPerPage && a.Compact != b.Compact {
		if a.Compact {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.TasksPerPage, b.TasksPerPage)
}

// Counts reports whether what the page says of a task counts.
func (p *StoredPage) Counts(task int) bool {
	return !slices.ContainsFunc(p.narrower, func(id storage.PageID) bool {
		return task >= id.FirstTask() && task < id.EndTask()
	})
}
