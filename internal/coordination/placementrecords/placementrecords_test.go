package placementrecords

import (
	"slices"
	"strings"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// newJob returns a job with 20 tasks on pages of eight, all of which are placed but not recorded.
func newJob(t *testing.T) *jobstate.Job {
	t.Helper()
	spec := protocol.Job{ID: "j-1", Team: "red", Shape: protocol.Array, TaskCount: 20, CPUs: 1, Priority: "normal"}
	j := jobstate.New(spec, 7, 0, 0, storage.PageLayout{TasksPerPage: 8, Compact: true})
	jobstate.NewQueues().Add(j)
	for task := range spec.TaskCount {
		pl := &machineregistry.Placement{
			Task:    protocol.TaskID{JobID: spec.ID, Index: task},
			Attempt: 1,
			Machine: "host-000001",
			Zone:    "a",
		}
		j.Placements[task] = pl
		j.Unstarted = append(j.Unstarted, pl)
		j.Pages.PageOf(task).HighestAttempt = 1
		j.MarkDirty(task, 0)
	}
	return j
}

// keysOf returns the keys of the comparisons and operations of a transaction.
func keysOf(t *protocol.Txn) (compares, ops []string) {
	for _, compare := range t.If {
		compares = append(compares, compare.Key)
	}
	for _, op := range t.Then {
		ops = append(ops, op.PutKey+op.DeleteKey)
	}
	return compares, ops
}

// TestJobWrite checks the transaction of a write that is limited to two pages, and the state of the job while the write
// is in flight and after it has succeeded. An exit that is added during the write remains unrecorded.
func TestJobWrite(t *testing.T) {
	j := newJob(t)
	exit := &machineregistry.Placement{Task: protocol.TaskID{JobID: "j-1", Index: 3}}
	j.Pages.Page(0).UnrecordedExits = []*machineregistry.Placement{exit}
	write := NewJobWrite(j, 2)
	if write.Operations() != 2 || write.CoversAllStarts() {
		t.Fatalf("got %d operations, covers all starts: %v, want 2, false", write.Operations(), write.CoversAllStarts())
	}
	var txn protocol.Txn
	if err := write.AppendTo(&txn, "5.1"); err != nil {
		t.Fatal(err)
	}
	compares, ops := keysOf(&txn)
	if want := []string{"live/j-1", "place/j-1/w8.0000", "place/j-1/w8.0001"}; !slices.Equal(compares, want) {
		t.Errorf("comparisons of %v, want %v", compares, want)
	}
	if want := []string{"place/j-1/w8.0000", "place/j-1/w8.0001"}; !slices.Equal(ops, want) {
		t.Errorf("writes %v, want %v", ops, want)
	}
	write.Begin()
	if !j.WriteInFlight || !slices.Equal(j.Pages.Dirty(), []int{2}) {
		t.Errorf("in flight: %v, dirty pages %v; want true and page 2", j.WriteInFlight, j.Pages.Dirty())
	}
	late := &machineregistry.Placement{Task: protocol.TaskID{JobID: "j-1", Index: 4}}
	j.Pages.Page(0).UnrecordedExits = append(j.Pages.Page(0).UnrecordedExits, late)
	write.End()
	var recorded []*machineregistry.Placement
	write.Commit(9, func(pl *machineregistry.Placement) { recorded = append(recorded, pl) })
	if len(recorded) != 1 || recorded[0] != exit {
		t.Errorf("recorded exits %v, want only the one before the write", recorded)
	}
	if page := j.Pages.Page(0); page.Revision != 9 || len(page.UnrecordedExits) != 1 || j.WriteInFlight {
		t.Errorf("page %+v, in flight: %v; want revision 9, one exit and no write", page, j.WriteInFlight)
	}
	write.MarkStartsRecorded()
	for task, pl := range j.Placements {
		if pl.Recorded != (task < 16) {
			t.Errorf("task %d: recorded is %v, want true only for the tasks of the first two pages", task, pl.Recorded)
		}
	}
}

// TestFailedJobWrite checks that a write recognizes the failed comparisons that belong to it, and that its pages are
// dirty again after it has been reverted.
func TestFailedJobWrite(t *testing.T) {
	j := newJob(t)
	write := NewJobWrite(j, 10)
	if !write.CoversAllStarts() {
		t.Error("the write does not cover all starts")
	}
	var txn protocol.Txn
	if err := write.AppendTo(&txn, "5.1"); err != nil {
		t.Fatal(err)
	}
	write.Begin()
	for key, want := range map[string]bool{"place/j-1/w8.0001": true, "live/j-1": true, "place/j-2/w8.0001": false} {
		if got := write.Failed([]string{key}); got != want {
			t.Errorf("failed with the comparison of %s: %v, want %v", key, got, want)
		}
	}
	write.End()
	write.Revert()
	if got := j.Pages.Dirty(); !slices.Equal(got, []int{0, 1, 2}) {
		t.Errorf("dirty pages %v, want all", got)
	}
}

// TestNarrowToFit checks that pages are narrowed until their encoded records are within the value limit, if the names
// of machines are longer than usual.
func TestNarrowToFit(t *testing.T) {
	settings := &config.StoreLimits{ValueKB: 0.5, TxnOps: 16, WriteRPS: 100}
	limits := NewLimits(settings, featurelevel.Pipelines)
	j := newJob(t)
	for _, pl := range j.Placements {
		pl.Machine = "host-" + strings.Repeat("x", 60) + pl.Task.String()
	}
	names := 0
	limits.NarrowToFit(j, func() string { names++; return "5.1" })
	if names == 0 {
		t.Error("no page was encoded to determine its size")
	}
	for _, number := range j.Pages.Dirty() {
		value, err := j.EncodePage(number, "5.2")
		if err != nil {
			t.Fatal(err)
		}
		if j.Pages.CanNarrow() && !storage.FitsValueLimit(value, settings.ValueKB) {
			t.Errorf("page %d exceeds the value limit", number)
		}
	}
	if got := j.Pages.Layout().TasksPerPage; got >= 8 {
		t.Errorf("got %d tasks per page, want fewer than 8", got)
	}
}

// TestDeletion checks that superseded pages are deleted first, and that pages without a record are kept as long as
// superseded pages are stored.
func TestDeletion(t *testing.T) {
	j := newJob(t)
	for _, number := range j.Pages.Numbers() {
		j.Pages.Page(number).Revision = uint64(20 + number)
	}
	j.Pages.Narrow()
	j.Pages.Page(0).Revision = 30
	recorded := func(*machineregistry.Placement) {}
	RemoveUnstoredPages(j, recorded)
	if got := len(j.Pages.Numbers()); got != 5 {
		t.Errorf("got %d pages while superseded ones are stored, want 5", got)
	}
	var txn protocol.Txn
	deletion := AppendDeletion(&txn, j, 2)
	if _, ops := keysOf(&txn); !slices.Equal(ops, []string{"place/j-1/w8.0000", "place/j-1/w8.0001"}) {
		t.Errorf("deletes %v, want superseded pages first", ops)
	}
	deletion.Commit(recorded)
	txn = protocol.Txn{}
	deletion = AppendDeletion(&txn, j, 10)
	if _, ops := keysOf(&txn); !slices.Equal(ops, []string{"place/j-1/w8.0002", "place/j-1/w4.0000"}) {
		t.Errorf("second transaction deletes %v, want the last superseded page and the stored one", ops)
	}
	deletion.Commit(recorded)
	RemoveUnstoredPages(j, recorded)
	if got := j.Pages.Numbers(); len(got) != 0 {
		t.Errorf("pages %v are left, want none", got)
	}
}

// TestDecodePrecedence checks that a malformed page is reported and omitted, and that of several pages that cover a
// task only the one with the highest precedence is valid.
func TestDecodePrecedence(t *testing.T) {
	page := func(tasksPerPage, number int, compact bool) protocol.KeyValue {
		layout := storage.PageLayout{TasksPerPage: tasksPerPage, Compact: compact}
		value, err := storage.EncodePage(&storage.PlacementPage{WriteName: "5.1"}, layout)
		if err != nil {
			t.Fatal(err)
		}
		return protocol.KeyValue{Key: storage.PageID{Job: "j-1", Layout: layout, Number: number}.Key(), Value: value}
	}
	malformed := protocol.KeyValue{Key: "place/j-1/w4.0009", Value: []byte{0xc1}}
	var errors []string
	records := []protocol.KeyValue{page(8, 0, false), page(8, 0, true), malformed, page(4, 1, true)}
	byJob := Decode(records, 8, func(record protocol.KeyValue, _ error) { errors = append(errors, record.Key) })
	if !slices.Equal(errors, []string{malformed.Key}) {
		t.Errorf("got errors for %v, want only the malformed page", errors)
	}
	for i, want := range []struct {
		key      string
		validFor []int
	}{
		{"place/j-1/w4.0001", []int{0, 1, 2, 3, 4, 5, 6, 7}},
		{"place/j-1/w8.0000", []int{0, 1, 2, 3}},
		{"place/j-1/0000", nil},
	} {
		stored := byJob["j-1"][i]
		var validFor []int
		for task := range 8 {
			if stored.ValidFor(task) {
				validFor = append(validFor, task)
			}
		}
		if stored.ID.Key() != want.key || !slices.Equal(validFor, want.validFor) {
			t.Errorf(
				"page %d is %s and valid for tasks %v, want %s and %v",
				i,
				stored.ID.Key(),
				validFor,
				want.key,
				want.validFor,
			)
		}
	}
}

// TestLimits checks the limits at both feature levels and after the rejection of transactions.
func TestLimits(t *testing.T) {
	settings := &config.StoreLimits{
		ValueKB:  8,
		TxnOps:   16,
		WriteRPS: 100,
		Next:     config.FutureStoreLimits{ValueKB: 2, TxnOps: 5},
	}
	limits := NewLimits(settings, featurelevel.Baseline)
	if got := limits.NewJobLayout(); got != (storage.PageLayout{TasksPerPage: 96}) {
		t.Errorf("got layout %+v at the baseline level, want the original one with 96 tasks per page", got)
	}
	if limits.MaxOperations() != 16 || limits.PagesPerTransaction() != 6 {
		t.Errorf("got %d operations, %d pages; want 16 and 6", limits.MaxOperations(), limits.PagesPerTransaction())
	}
	limits.SetLevel(featurelevel.Pipelines)
	if got := limits.NewJobLayout(); got != (storage.PageLayout{TasksPerPage: 48, Compact: true}) {
		t.Errorf("got layout %+v, want the compact one with 48 tasks per page", got)
	}
	if got := limits.LayoutAtMost(10).TasksPerPage; got != 10 {
		t.Errorf("got %d tasks per page, want 10 as on the stored pages", got)
	}
	if limits.ValueKB() != 2 || limits.MaxOperations() != 5 || limits.PagesPerTransaction() != 5 {
		t.Errorf(
			"got %v KiB, %d operations, %d pages; want 2, 5 and 5",
			limits.ValueKB(),
			limits.MaxOperations(),
			limits.PagesPerTransaction(),
		)
	}
	for _, test := range []struct {
		rejected int
		want     bool
		max      int
	}{{5, true, 2}, {3, true, 2}, {MinOperations, false, 2}} {
		if got := limits.ShrinkTransactions(test.rejected); got != test.want || limits.MaxOperations() != test.max {
			t.Errorf(
				"after the rejection of %d operations: shrunk %v, limit now %d",
				test.rejected,
				got,
				limits.MaxOperations(),
			)
		}
	}
}
