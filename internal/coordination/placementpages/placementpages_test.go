package placementpages

import (
	"slices"
	"testing"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const testJob = "j-1"

// newStoredSet returns the pages of a job with 20 tasks, all of which are stored on pages of eight tasks.
func newStoredSet(t *testing.T) *Set {
	t.Helper()
	layout := storage.PageLayout{TasksPerPage: 8, Compact: true}
	set := NewSet(testJob, 20, layout)
	for number := range 3 {
		id := storage.PageID{Job: testJob, Layout: layout, Number: number}
		set.RestorePage(id, uint64(10+number), uint64(1+number))
	}
	return &set
}

// TestPagesCoverAllTasksOnce checks that every task is on exactly one page.
func TestPagesCoverAllTasksOnce(t *testing.T) {
	set := newStoredSet(t)
	next := 0
	for _, number := range set.Numbers() {
		first, end := set.Tasks(number)
		if first != next {
			t.Errorf("page %d begins with task %d, want %d", number, first, next)
		}
		for task := first; task < end; task++ {
			if set.PageNumber(task) != number {
				t.Errorf("task %d is on page %d, want %d", task, set.PageNumber(task), number)
			}
		}
		next = end
	}
	if next != 20 {
		t.Errorf("the pages cover %d tasks, want 20", next)
	}
}

// TestNarrowKeepsPageState checks that narrowing the pages preserves the dirty state, the unrecorded exits and the
// attempt numbers of their tasks, and keeps the stored pages as superseded pages.
func TestNarrowKeepsPageState(t *testing.T) {
	set := newStoredSet(t)
	set.Page(1).Dirty = true
	exit := &machineregistry.Placement{Task: protocol.TaskID{JobID: testJob, Index: 13}}
	set.Page(1).UnrecordedExits = []*machineregistry.Placement{exit}
	set.Narrow()
	if got := set.Layout(); got != (storage.PageLayout{TasksPerPage: 4, Compact: true}) {
		t.Fatalf("got layout %+v, want the compact one with 4 tasks per page", got)
	}
	if got := set.Dirty(); !slices.Equal(got, []int{2, 3}) {
		t.Errorf("dirty pages %v, want those that replace page 1", got)
	}
	if got := set.PageOf(13).UnrecordedExits; len(got) != 1 || got[0] != exit {
		t.Errorf("got exits %v on the page of task 13, want only the exit of that task", got)
	}
	for _, number := range set.Numbers() {
		if page := set.Page(number); page.Revision != 0 || page.HighestAttempt != uint64(1+number/2) {
			t.Errorf("page %d: %+v, want no revision and the highest attempt of the page it replaces", number, page)
		}
	}
	if got := len(set.Superseded()); got != 3 {
		t.Errorf("got %d superseded pages, want 3", got)
	}
	if set.HighestAttempt() != 3 {
		t.Errorf("got highest attempt %d, want 3", set.HighestAttempt())
	}
}

// TestSupersededPageIsReplaced checks that a superseded page counts as replaced only when all its tasks are covered by
// stored pages of the new layout, and which pages are marked dirty in order to replace and delete it.
func TestSupersededPageIsReplaced(t *testing.T) {
	set := newStoredSet(t)
	set.Narrow()
	old := set.Superseded()[0]
	for _, test := range []struct {
		name    string
		written []int
		want    bool
	}{
		{"nothing is written", nil, false},
		{"one half is written", []int{0}, false},
		{"other pages are written", []int{2, 3}, false},
		{"both halves are written", []int{0, 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := set.FullyReplaced(old, test.written); got != test.want {
				t.Errorf("fully replaced: %v, want %v", got, test.want)
			}
		})
	}
	set.MarkReplacementsDirty()
	if got := set.Dirty(); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("dirty pages %v, want the two halves", got)
	}
	for _, number := range []int{0, 1} {
		page := set.Page(number)
		page.Revision, page.Dirty = 20, false
	}
	set.MarkReplacementsDirty()
	if got := set.Dirty(); !slices.Equal(got, []int{0}) {
		t.Errorf("dirty pages %v, want the first one, whose write deletes the superseded page", got)
	}
	set.RemoveSuperseded(old)
	if got := set.Superseded(); len(got) != 2 || got[0].ID.Number != 1 {
		t.Errorf("superseded pages %v, want pages 1 and 2", got)
	}
	set.RemoveFirstSuperseded(2)
	if got := set.Superseded(); len(got) != 0 {
		t.Errorf("superseded pages %v, want none", got)
	}
}

// TestOriginalLayoutIsNotNarrowed checks that only compact pages with more than one task can be narrowed.
func TestOriginalLayoutIsNotNarrowed(t *testing.T) {
	for _, test := range []struct {
		layout storage.PageLayout
		want   bool
	}{
		{storage.PageLayout{TasksPerPage: 96}, false},
		{storage.PageLayout{TasksPerPage: 1, Compact: true}, false},
		{storage.PageLayout{TasksPerPage: 2, Compact: true}, true},
	} {
		if set := NewSet(testJob, 4, test.layout); set.CanNarrow() != test.want {
			t.Errorf("CanNarrow of %+v: %v, want %v", test.layout, set.CanNarrow(), test.want)
		}
	}
}
