package placementrecords

import (
	"slices"

	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/placementpages"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// JobWrite is the part of a transaction that belongs to one job. Several jobs may share a transaction.
type JobWrite struct {
	Job *jobstate.Job

	pages []int
	size  int // upper bound of the total size of the records of the pages, in bytes
	// starting are the placements that wait for this write to be recorded.
	starting []*machineregistry.Placement
	// remainingStarts is the number of placements that still wait to be recorded after this write.
	remainingStarts int
	// replaced are superseded pages that are not valid for any task after this write. They are deleted with it.
	replaced []placementpages.SupersededPage
	// exitsWritten counts by page the placements whose exits are recorded by the write.
	exitsWritten map[int]int
	compares     []protocol.Compare
}

// NewJobWrite returns the next write of a job, with at most maxOperations operations and as many pages as fit into a
// transaction. Pages that starts depend on go first. Each page must be within the value limit (see Limits.NarrowToFit).
func NewJobWrite(j *jobstate.Job, maxOperations int) *JobWrite {
	w := &JobWrite{Job: j}
	for _, number := range j.PagesToWrite(maxOperations) {
		size := j.EstimatedPageBytes(number)
		if len(w.pages) > 0 && w.size+size > MaxTransactionBytes {
			break
		}
		w.pages = append(w.pages, number)
		w.size += size
	}
	unrecorded := j.UnrecordedStarts()
	for _, pl := range unrecorded {
		if slices.Contains(w.pages, j.Pages.PageNumber(pl.Task.Index)) {
			w.starting = append(w.starting, pl)
		}
	}
	w.remainingStarts = len(unrecorded) - len(w.starting)
	for _, old := range j.Pages.Superseded() {
		if w.Operations() < maxOperations && j.Pages.FullyReplaced(old, w.pages) {
			w.replaced = append(w.replaced, old)
		}
	}
	return w
}

// Operations returns the number of operations in the write.
func (w *JobWrite) Operations() int { return len(w.pages) + len(w.replaced) }

// PageNumbers returns the numbers of the pages that are written, in ascending order.
func (w *JobWrite) PageNumbers() []int { return w.pages }

// Size returns an upper bound of the total size of the records, in bytes.
func (w *JobWrite) Size() int { return w.size }

// CoversAllStarts reports whether the write includes all starts of the job that wait for their records.
func (w *JobWrite) CoversAllStarts() bool { return w.remainingStarts == 0 }

// RemainingStarts returns the number of starts of the job that still wait for their records after the write.
func (w *JobWrite) RemainingStarts() int { return w.remainingStarts }

// AppendTo adds the comparisons and operations of the write to a transaction with the given name.
func (w *JobWrite) AppendTo(t *protocol.Txn, name string) error {
	j := w.Job
	w.exitsWritten = map[int]int{}
	w.compares = []protocol.Compare{{Key: storage.LiveJobKey(j.Spec.ID), Revision: j.LiveRevision}}
	for _, number := range w.pages {
		value, err := j.EncodePage(number, name)
		if err != nil {
			return err
		}
		page, key := j.Pages.Page(number), j.Pages.ID(number).Key()
		w.exitsWritten[number] = len(page.UnrecordedExits)
		w.compares = append(w.compares, protocol.Compare{Key: key, Revision: page.Revision})
		t.Then = append(t.Then, protocol.Op{PutKey: key, Value: value})
	}
	for _, old := range w.replaced {
		w.compares = append(w.compares, protocol.Compare{Key: old.ID.Key(), Revision: old.Revision})
		t.Then = append(t.Then, protocol.Op{DeleteKey: old.ID.Key()})
	}
	t.If = append(t.If, w.compares...)
	return nil
}

// Begin marks a write of the job as in flight and its pages as clean.
func (w *JobWrite) Begin() {
	w.Job.WriteInFlight = true
	w.setDirty(false)
}

// End marks the write of the job as no longer in flight, whatever its outcome.
func (w *JobWrite) End() { w.Job.WriteInFlight = false }

// Revert marks the pages as dirty again after a write that was not applied.
func (w *JobWrite) Revert() { w.setDirty(true) }

func (w *JobWrite) setDirty(dirty bool) {
	for _, number := range w.pages {
		w.Job.Pages.Page(number).Dirty = dirty
	}
}

// Failed reports whether a comparison of this write is among those that failed.
func (w *JobWrite) Failed(failedKeys []string) bool {
	return slices.ContainsFunc(w.compares, func(compare protocol.Compare) bool {
		return slices.Contains(failedKeys, compare.Key)
	})
}

// Commit updates the job's pages after a successful write. It calls recorded for each terminated placement that the
// stored records no longer list.
func (w *JobWrite) Commit(revision uint64, recorded func(*machineregistry.Placement)) {
	pages := &w.Job.Pages
	for _, number := range w.pages {
		page, written := pages.Page(number), w.exitsWritten[number]
		page.Revision = revision
		for _, exit := range page.UnrecordedExits[:written] {
			recorded(exit)
		}
		page.UnrecordedExits = page.UnrecordedExits[written:]
	}
	for _, old := range w.replaced {
		pages.RemoveSuperseded(old)
	}
}

// MarkStartsRecorded marks the placements as recorded whose starts have waited for this write.
func (w *JobWrite) MarkStartsRecorded() {
	for _, pl := range w.starting {
		pl.Recorded = true
	}
}

// NarrowToFit narrows the pages of a job until each dirty page is within the value limit. Pages of the original layout
// always are. nextName returns the name of a write, which is part of the record and so of its size.
func (l *Limits) NarrowToFit(j *jobstate.Job, nextName func() string) {
	tooLarge := func(number int) bool { return !l.pageFits(j, number, nextName) }
	for j.Pages.CanNarrow() && slices.ContainsFunc(j.Pages.Dirty(), tooLarge) {
		j.Pages.Narrow()
	}
}

// pageFits reports whether a page is within the value limit. For most pages the estimate is sufficient, without
// encoding the page.
func (l *Limits) pageFits(j *jobstate.Job, number int, nextName func() string) bool {
	if l.fitsValue(j.EstimatedPageBytes(number)) {
		return true
	}
	raw, err := j.EncodePage(number, nextName())
	return err == nil && storage.FitsValueLimit(raw, l.current.ValueKB)
}
