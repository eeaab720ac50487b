// Package placementpages tracks the pages in which the placements of a job are stored.
//
// The tasks of a job are divided into pages with the same number of tasks, and each page is one record in the key-value
// store. A Set holds, for one job, the layout of its pages, which of them are stored, which must be written, and which
// stored pages of an earlier, wider layout are still valid for some tasks. It does no I/O: the scheduler builds
// transactions from it and reports their outcomes to it.
package placementpages

import (
	"iter"
	"maps"
	"slices"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// Page is the state of one record, which covers a range of the tasks of the job.
type Page struct {
	// Revision is the revision of the stored record, or 0 if the page is not stored.
	Revision uint64
	// HighestAttempt is the highest attempt number ever given to a task of the page.
	HighestAttempt uint64
	// Dirty is set if the page differs from its record and must be written.
	Dirty bool
	// UnrecordedExits are terminated placements that the stored record still lists.
	UnrecordedExits []*machineregistry.Placement
}

// SupersededPage is a stored page of an earlier layout of the job. It remains valid for those of its tasks whose page
// in the current layout is not yet stored. Once it is valid for no task, it can be deleted.
type SupersededPage struct {
	ID             storage.PageID
	Revision       uint64
	HighestAttempt uint64
}

// Set holds all pages of one job.
type Set struct {
	jobID      string
	taskCount  int
	layout     storage.PageLayout
	pages      map[int]*Page
	superseded []SupersededPage
}

// NewSet returns the pages of a job that has no stored pages.
func NewSet(jobID string, taskCount int, layout storage.PageLayout) Set {
	return Set{jobID: jobID, taskCount: taskCount, layout: layout, pages: map[int]*Page{}}
}

// Layout returns the current layout.
func (s *Set) Layout() storage.PageLayout { return s.layout }

// Restore sets the layout and the number of tasks of a job whose pages are being read. It must be called before any
// page is accessed.
func (s *Set) Restore(taskCount int, layout storage.PageLayout) {
	s.taskCount, s.layout = taskCount, layout
}

// RestorePage adds a stored page. If its layout is not the current one, it is added as a superseded page.
func (s *Set) RestorePage(id storage.PageID, revision, highestAttempt uint64) {
	if id.Layout == s.layout {
		page := s.Page(id.Number)
		page.Revision = revision
		page.HighestAttempt = max(page.HighestAttempt, highestAttempt)
		return
	}
	s.superseded = append(s.superseded, SupersededPage{ID: id, Revision: revision, HighestAttempt: highestAttempt})
	for number := range s.overlapping(id) {
		page := s.Page(number)
		page.HighestAttempt = max(page.HighestAttempt, highestAttempt)
	}
}

// Page returns the page with the given number, creating it if necessary.
func (s *Set) Page(number int) *Page {
	page := s.pages[number]
	if page == nil {
		page = &Page{}
		s.pages[number] = page
	}
	return page
}

// PageNumber returns the number of the page that covers a task.
func (s *Set) PageNumber(task int) int { return task / s.layout.TasksPerPage }

// PageOf returns the page that covers a task.
func (s *Set) PageOf(task int) *Page { return s.Page(s.PageNumber(task)) }

// ID returns the identifier of a page, which is unique among the pages of all jobs and layouts.
func (s *Set) ID(number int) storage.PageID {
	return storage.PageID{Job: s.jobID, Layout: s.layout, Number: number}
}

// Tasks returns the half-open range [first, end) of tasks that a page covers.
func (s *Set) Tasks(number int) (first, end int) {
	id := s.ID(number)
	return id.FirstTask(), min(id.EndTask(), s.taskCount)
}

// HighestAttempt returns the highest attempt number ever given to a task of the job.
func (s *Set) HighestAttempt() (highest uint64) {
	for _, page := range s.pages {
		highest = max(highest, page.HighestAttempt)
	}
	return highest
}

// All returns the pages with their numbers, in no particular order.
func (s *Set) All() iter.Seq2[int, *Page] { return maps.All(s.pages) }

// Numbers returns the numbers of the pages in ascending order.
func (s *Set) Numbers() []int { return slices.Sorted(maps.Keys(s.pages)) }

// Dirty returns the numbers of the dirty pages in ascending order.
func (s *Set) Dirty() []int {
	var numbers []int
	for number, page := range s.pages {
		if page.Dirty {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Remove removes a page that is no longer stored.
func (s *Set) Remove(number int) { delete(s.pages, number) }

// Superseded returns the stored pages of earlier layouts in the order in which they are to be replaced.
func (s *Set) Superseded() []SupersededPage { return s.superseded }

// RemoveSuperseded removes a superseded page that has been deleted.
func (s *Set) RemoveSuperseded(old SupersededPage) {
	s.superseded = slices.DeleteFunc(s.superseded, func(other SupersededPage) bool { return other == old })
}

// RemoveFirstSuperseded removes the first count superseded pages, which have been deleted.
func (s *Set) RemoveFirstSuperseded(count int) { s.superseded = s.superseded[count:] }

// CanNarrow reports whether the pages can be narrowed. Pages of the original layout can't, because their keys don't
// contain the number of tasks per page.
func (s *Set) CanNarrow() bool { return s.layout.Compact && s.layout.TasksPerPage > 1 }

// Narrow splits each page in two (see ChangeLayout).
func (s *Set) Narrow() {
	s.ChangeLayout(storage.PageLayout{TasksPerPage: (s.layout.TasksPerPage + 1) / 2, Compact: true})
}

// ChangeLayout divides the tasks into narrower pages. The stored pages are kept as superseded pages until pages of the
// new layout are stored in their place; if several stored pages cover a task, the narrowest one is valid. No write of
// the job may be in flight.
func (s *Set) ChangeLayout(layout storage.PageLayout) {
	oldPages, oldLayout := s.pages, s.layout
	s.layout, s.pages = layout, map[int]*Page{}
	for _, number := range slices.Sorted(maps.Keys(oldPages)) {
		old := oldPages[number]
		id := storage.PageID{Job: s.jobID, Layout: oldLayout, Number: number}
		if old.Revision != 0 {
			superseded := SupersededPage{ID: id, Revision: old.Revision, HighestAttempt: old.HighestAttempt}
			s.superseded = append(s.superseded, superseded)
		}
		for newNumber := range s.overlapping(id) {
			page := s.Page(newNumber)
			page.HighestAttempt = max(page.HighestAttempt, old.HighestAttempt)
			page.Dirty = page.Dirty || old.Dirty
		}
		for _, exit := range old.UnrecordedExits {
			page := s.PageOf(exit.Task.Index)
			page.UnrecordedExits = append(page.UnrecordedExits, exit)
		}
	}
}

// FullyReplaced reports whether a superseded page is valid for no task once the given pages have been written.
func (s *Set) FullyReplaced(old SupersededPage, written []int) bool {
	for number := range s.overlapping(old.ID) {
		page := s.pages[number]
		if page != nil && page.Revision == 0 && page.HighestAttempt > 0 && !slices.Contains(written, number) {
			return false
		}
	}
	return true
}

// MarkReplacementsDirty marks the pages dirty that must be stored before the first superseded page can be deleted. If
// there are none, it marks the first page that overlaps with the superseded page, because its next write deletes the
// superseded page.
func (s *Set) MarkReplacementsDirty() {
	if len(s.superseded) == 0 {
		return
	}
	old := s.superseded[0]
	for number := range s.overlapping(old.ID) {
		if page := s.Page(number); page.Revision == 0 {
			page.Dirty = true
		}
	}
	if s.FullyReplaced(old, nil) {
		s.PageOf(old.ID.FirstTask()).Dirty = true
	}
}

// overlapping returns the numbers of the pages in the current layout that share tasks with the given page of any
// layout.
func (s *Set) overlapping(id storage.PageID) iter.Seq[int] {
	return func(yield func(int) bool) {
		end := min(id.EndTask(), s.taskCount)
		for number := s.PageNumber(id.FirstTask()); number*s.layout.TasksPerPage < end; number++ {
			if !yield(number) {
				return
			}
		}
	}
}
