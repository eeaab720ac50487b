// Package placementpages keeps track of the pages in which the placements of a job are stored.
//
// A job's tasks are divided into pages of equal width, and each page is one record of the key-value store. A Set
// knows, for one job, the layout of its pages, what of them is stored, what has to be written again, and which
// stored pages of an earlier, wider layout still count for some tasks. It does no I/O: the scheduler builds
// transactions from it and reports their outcome back.
package placementpages

import (
	"iter"
	"maps"
	"slices"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/storage"
)

// Page is the state of one record: a run of tasks of the job.
type Page struct {
	// Revision is that of the stored record; 0 if nothing is stored.
	Revision uint64
	// HighestAttempt is the highest attempt number that a task of the page has ever been given.
	HighestAttempt uint64
	// Dirty pages differ from their record and have to be written.
	Dirty bool
	// UnrecordedExits are placements that are gone but still listed in the stored record.
	UnrecordedExits []*machineregistry.Placement
}

// Superseded is a stored page of an earlier layout of its job. It counts for those of its tasks of whose page in
// the current layout nothing is stored yet, and can be deleted when it counts for none.
type Superseded struct {
	ID             storage.PageID
	Revision       uint64
	HighestAttempt uint64
}

// Set is all pages of one job.
type Set struct {
	jobID      string
	taskCount  int
	layout     storage.PageLayout
	pages      map[int]*Page
	superseded []Superseded
}

// NewSet returns the pages of a job of which nothing is stored.
func NewSet(jobID string, taskCount int, layout storage.PageLayout) Set {
	return Set{jobID: jobID, taskCount: taskCount, layout: layout, pages: map[int]*Page{}}
}

// Layout returns the current layout.
func (s *Set) Layout() storage.PageLayout { return s.layout }

// Restore sets the layout and the number of tasks of a job that was read from its records. No page may have been
// touched before.
func (s *Set) Restore(taskCount int, layout storage.PageLayout) {
	s.taskCount, s.layout = taskCount, layout
}

// RestorePage adds a page that was read. If its layout isn't the current one, it counts as superseded.
func (s *Set) RestorePage(id storage.PageID, revision, highestAttempt uint64) {
	if id.Layout == s.layout {
		page := s.Page(id.Number)
		page.Revision = revision
		page.HighestAttempt = max(page.HighestAttempt, highestAttempt)
		return
	}
	s.superseded = append(s.superseded, Superseded{ID: id, Revision: revision, HighestAttempt: highestAttempt})
	for number := range s.overlapping(id) {
		page := s.Page(number)
		page.HighestAttempt = max(page.HighestAttempt, highestAttempt)
	}
}

// Page returns the page of the given number, which is created if need be.
func (s *Set) Page(number int) *Page {
	page := s.pages[number]
	if page == nil {
		page = &Page{}
		s.pages[number] = page
	}
	return page
}

// NumberOf returns the number of the page that covers a task.
func (s *Set) NumberOf(task int) int { return task / s.layout.TasksPerPage }

// PageOf returns the page that covers a task.
func (s *Set) PageOf(task int) *Page { return s.Page(s.NumberOf(task)) }

// ID identifies a page among those of all jobs and layouts.
func (s *Set) ID(number int) storage.PageID {
	return storage.PageID{Job: s.jobID, Layout: s.layout, Number: number}
}

// Tasks returns the range of tasks that a page covers: from the first one up to, but not including, the end.
func (s *Set) Tasks(number int) (first, end int) {
	id := s.ID(number)
	return id.FirstTask(), min(id.EndTask(), s.taskCount)
}

// HighestAttempt returns the highest attempt number that any task has ever been given.
func (s *Set) HighestAttempt() (highest uint64) {
	for _, page := range s.pages {
		highest = max(highest, page.HighestAttempt)
	}
	return highest
}

// All returns the pages with their numbers, in no particular order.
func (s *Set) All() iter.Seq2[int, *Page] { return maps.All(s.pages) }

// Numbers returns the numbers of the pages, in rising order.
func (s *Set) Numbers() []int { return slices.Sorted(maps.Keys(s.pages)) }

// Dirty returns the numbers of the pages that have to be written, in rising order.
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

// Remove removes a page of which nothing is stored any more.
func (s *Set) Remove(number int) { delete(s.pages, number) }

// Superseded returns the stored pages of earlier layouts, in the order in which they are to be replaced.
func (s *Set) Superseded() []Superseded { return s.superseded }

// RemoveSuperseded forgets a superseded page that has been deleted.
func (s *Set) RemoveSuperseded(old Superseded) {
	s.superseded = slices.DeleteFunc(s.superseded, func(other Superseded) bool { return other == old })
}

// RemoveFirstSuperseded forgets the given number of superseded pages, which have been deleted.
func (s *Set) RemoveFirstSuperseded(count int) { s.superseded = s.superseded[count:] }

// CanNarrow reports whether the pages can be divided further: those of the original layout can't, as its width
// isn't part of their key.
func (s *Set) CanNarrow() bool { return s.layout.Compact && s.layout.TasksPerPage > 1 }

// Narrow divides each page in two. See ChangeLayout.
func (s *Set) Narrow() {
	s.ChangeLayout(storage.PageLayout{TasksPerPage: (s.layout.TasksPerPage + 1) / 2, Compact: true})
}

// ChangeLayout divides the tasks into narrower pages. What is stored stays, as superseded pages, until pages of the
// new layout say the same: of a task that several stored pages cover, the narrowest page counts. No write of
// the job may be in flight.
func (s *Set) ChangeLayout(layout storage.PageLayout) {
	oldPages, oldLayout := s.pages, s.layout
	s.layout, s.pages = layout, map[int]*Page{}
	for _, number := range slices.Sorted(maps.Keys(oldPages)) {
		old := oldPages[number]
		id := storage.PageID{Job: s.jobID, Layout: oldLayout, Number: number}
		if old.Revision != 0 {
			superseded := Superseded{ID: id, Revision: old.Revision, HighestAttempt: old.HighestAttempt}
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

// FullyReplaced reports whether a superseded page counts for no task any more once the given pages are written.
func (s *Set) FullyReplaced(old Superseded, written []int) bool {
	for number := range s.overlapping(old.ID) {
		page := s.pages[number]
		if page != nil && page.Revision == 0 && page.HighestAttempt > 0 && !slices.Contains(written, number) {
			return false
		}
	}
	return true
}

// MarkReplacementsDirty causes those pages to be written that keep the first superseded page from being deleted. If
// there are none, it is deleted along with the next write of the first page that shares tasks with it.
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

// overlapping returns the numbers of the current layout's pages that share tasks with a page of any layout.
func (s *Set) overlapping(id storage.PageID) iter.Seq[int] {
	return func(yield func(int) bool) {
		end := min(id.EndTask(), s.taskCount)
		for number := s.NumberOf(id.FirstTask()); number*s.layout.TasksPerPage < end; number++ {
			if !yield(number) {
				return
			}
		}
	}
}
