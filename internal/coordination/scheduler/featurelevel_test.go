package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/jobstate"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// withNextLimits sets the limits that the store will have in the future.
func withNextLimits(s *manualStore, next config.FutureStoreLimits) *manualStore {
	s.scheduler.cfg.Store.Next = next
	return s
}

// TestLevelChangeWaitsForWritesInFlight checks that the term record is changed only while no other write, each of which
// is conditional on it, is in flight. No write begins during the change, all later writes are conditional on the new
// revision of the term record, and starts continue afterwards.
func TestLevelChangeWaitsForWritesInFlight(t *testing.T) {
	s := withNextLimits(newEmptyManualStore(4), config.FutureStoreLimits{ValueKB: 2, TxnOps: 5, WriteRPS: 18})
	s.submit("j-1", "normal", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight, want 1", len(s.inFlight))
	}
	first := s.inFlight[0]
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.submit("j-2", "urgent", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight, want only the first one", len(s.inFlight))
	}
	s.answer(TransactionOutcome{WriteID: first.ID, Succeeded: true})
	if len(s.inFlight) != 1 || s.inFlight[0].VerifyKey != storage.TermKey || s.inFlight[0].Txn.If[0].Revision != 1 {
		t.Fatalf("the write in flight is not that of the term record: %+v", s.inFlight)
	}
	rec, err := storage.DecodeTerm(s.inFlight[0].Txn.Then[0].Value)
	if err != nil || rec.Term != 5 || rec.FeatureLevel != int(featurelevel.Pipelines) ||
		rec.WriteName != s.inFlight[0].VerifyName {
		t.Fatalf("term record %+v, error %v, want the new feature level in term 5", rec, err)
	}
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight during the level change, want 1", len(s.inFlight))
	}
	s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
	termRevision := s.revision
	s.cycleWithHeartbeats()
	if len(s.inFlight) == 0 {
		t.Fatal("no writes after the level change")
	}
	for _, w := range s.inFlight {
		if w.Txn.If[0] != (protocol.Compare{Key: storage.TermKey, Revision: termRevision}) {
			t.Errorf("a write is conditional on %+v, want revision %d of the term record", w.Txn.If[0], termRevision)
		}
		if len(w.Txn.Then) > 5 {
			t.Errorf("%d operations in a transaction, want 5 at most", len(w.Txn.Then))
		}
		for _, op := range w.Txn.Then {
			if op.PutKey != "" && !strings.Contains(op.PutKey, "/w") {
				t.Errorf("%s is written in the original layout, want the compact one", op.PutKey)
			}
		}
	}
	if s.scheduler.recordLimits.ValueKB() != 2 || s.scheduler.writes.paused {
		t.Errorf(
			"value limit %v KB, writes paused %v, want 2 KB and not paused",
			s.scheduler.recordLimits.ValueKB(),
			s.scheduler.writes.paused,
		)
	}
}

// knownTasks describes those tasks of a job that a new leader must know about.
func knownTasks(j *jobstate.Job) map[int]string {
	known := map[int]string{}
	for task := range j.TaskCount() {
		state := j.TaskState(task)
		pl := j.Placements[task]
		if state == jobstate.TaskDone || pl != nil {
			known[task] = describeTask(state == jobstate.TaskDone, pl)
		}
	}
	return known
}

func describeTask(isDone bool, pl *machineregistry.Placement) string {
	if pl == nil {
		return fmt.Sprint("done ", isDone)
	}
	return fmt.Sprintf(
		"done %v on %s incarnation %d attempt %d zone %s",
		isDone,
		pl.Machine,
		pl.Incarnation,
		pl.Attempt,
		pl.Zone,
	)
}

// applyPage applies what a page records of its tasks. If several pages cover a task, the one written last counts.
func applyPage(t *rapid.T, known map[int]string, pair protocol.KeyValue) {
	t.Helper()
	name, err := storage.ParsePageKey(pair.Key, storage.OriginalTasksPerPage(4))
	if err != nil {
		t.Fatal(err)
	}
	rec, err := storage.DecodePage(pair, name.Layout)
	if err != nil {
		t.Fatal(err)
	}
	isDone := map[int]bool{}
	for _, d := range rec.DoneRanges {
		for task := d[0]; task <= d[1]; task++ {
			isDone[task] = true
		}
	}
	for task := name.FirstTask(); task < name.EndTask(); task++ {
		delete(known, task)
		if isDone[task] {
			known[task] = describeTask(true, nil)
		}
	}
	for _, pl := range rec.Placements {
		known[pl.Task] = describeTask(
			isDone[pl.Task],
			&machineregistry.Placement{
				Machine:     pl.Machine,
				Incarnation: pl.Incarnation,
				Attempt:     pl.Attempt,
				Zone:        rec.Zones[pl.Zone],
			},
		)
	}
}

// layoutScenario is a random history of one job whose pages are narrowed from time to time, while its writes are only
// partly committed.
type layoutScenario struct {
	t *rapid.T
	*manualStore
	tasks    int
	stored   map[string]protocol.KeyValue
	recorded map[int]string // what the stored pages record of each task
}

// newLayoutScenario returns a scenario with random limits and a job at the lowest feature level.
func newLayoutScenario(t *rapid.T) *layoutScenario {
	s := &layoutScenario{
		t:           t,
		manualStore: newEmptyManualStore(6),
		stored:      map[string]protocol.KeyValue{},
		recorded:    map[int]string{},
	}
	s.scheduler.cfg.Store = config.StoreLimits{
		RPS:      100,
		WriteRPS: 30,
		ValueKB:  4,
		TxnOps:   rapid.IntRange(2, 6).Draw(t, "operations"),
		Next: config.FutureStoreLimits{
			ValueKB: rapid.SampledFrom([]float64{0.5, 1, 4}).Draw(t, "value"),
			TxnOps:  rapid.IntRange(2, 5).Draw(t, "next operations"),
		},
	}
	s.scheduler.recordLimits.SetLevel(featurelevel.Baseline)
	s.tasks = rapid.IntRange(1, 120).Draw(t, "tasks")
	s.accept(s.spec())
	return s
}

func (s *layoutScenario) spec() protocol.Job {
	return jobSpec("j-1", protocol.Array, "normal", s.tasks, 1)
}

// commitWrite lets a write succeed and checks that it is within the limits.
func (s *layoutScenario) commitWrite(w Write) {
	s.revision++
	for _, compare := range w.Txn.If {
		stored := s.stored[compare.Key].Revision
		if strings.HasPrefix(compare.Key, storage.PlacementPrefix) && stored != compare.Revision {
			s.t.Fatalf("%s has revision %d, expected %d", compare.Key, stored, compare.Revision)
		}
	}
	for _, op := range w.Txn.Then {
		if op.PutKey != "" {
			s.put(op)
		}
		delete(s.stored, op.DeleteKey)
	}
	if len(w.Txn.Then) > s.scheduler.recordLimits.MaxOperations() {
		s.t.Fatalf("%d operations exceed the limit", len(w.Txn.Then))
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.ID })
	s.stepWithCommands(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
}

func (s *layoutScenario) put(op protocol.Op) {
	s.stored[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: s.revision}
	if strings.HasPrefix(op.PutKey, storage.PlacementPrefix) {
		applyPage(s.t, s.recorded, s.stored[op.PutKey])
	}
	limits := &s.scheduler.recordLimits
	if limits.Level() >= featurelevel.Pipelines && op.PutKey != storage.TermKey &&
		!storage.FitsValueLimit(op.Value, limits.ValueKB()) && !strings.Contains(op.PutKey, "/w1.") {
		s.t.Fatalf("%s exceeds the value limit", op.PutKey)
	}
}

// runCycleAndCommit runs a cycle and commits all writes.
func (s *layoutScenario) runCycleAndCommit() {
	s.cycleWithHeartbeats()
	for len(s.inFlight) > 0 {
		s.commitWrite(s.inFlight[0])
	}
}

// randomStep performs a random step.
func (s *layoutScenario) randomStep() {
	switch rapid.IntRange(0, 5).Draw(s.t, "what") {
	case 0:
		s.cycleWithHeartbeats()
	case 1:
		s.exitTasksByIndex(rapid.IntRange(0, 5).Draw(s.t, "which"))
	case 2:
		s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	case 3:
		if j := s.scheduler.jobs["j-1"]; j != nil && j.Pages.CanNarrow() && !j.WriteInFlight {
			j.Pages.Narrow()
		}
	default:
		if len(s.inFlight) > 0 {
			s.commitWrite(s.inFlight[0])
		}
	}
}

// recoveredJob returns the job as a new leader recovers it.
func (s *layoutScenario) recoveredJob() *jobstate.Job {
	pages := slices.Collect(maps.Values(s.stored))
	pages = slices.DeleteFunc(pages, func(p protocol.KeyValue) bool {
		return !strings.HasPrefix(p.Key, storage.PlacementPrefix)
	})
	raw, err := protocol.Encode(storage.LiveJobRecord{Job: s.spec()})
	if err != nil {
		s.t.Fatal(err)
	}
	next := New(s.now, Options{
		Config: s.scheduler.cfg,
		Log:    s.scheduler.log,
		Term:   Term{Number: 6, Revision: 2, FeatureLevel: s.scheduler.recordLimits.Level()},
		Records: RecoveredRecords{
			MachineTypes:   []protocol.MachineType{*s.scheduler.machines.MachineType("g8")},
			LiveJobs:       []protocol.KeyValue{{Key: storage.LiveJobKey("j-1"), Value: raw, Revision: 5}},
			PlacementPages: pages,
		},
	})
	return next.jobs["j-1"]
}

// TestRecoveryAcrossPageLayouts checks that a new leader recovers the tasks of a job as they were last recorded,
// no matter which of its pages have been replaced, and that no attempt number is used twice. Eventually, no page of
// another layout is left.
func TestRecoveryAcrossPageLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLayoutScenario(t)
		for range rapid.IntRange(0, 3).Draw(t, "quiet cycles first") {
			s.runCycleAndCommit()
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.randomStep()
		}
		if s.stored[storage.EndedJobKey("j-1")].Revision > 0 {
			return // all tasks are done and the pages deleted
		}
		if got := knownTasks(s.recoveredJob()); !maps.Equal(got, s.recorded) {
			t.Fatalf("during the replacement a new leader recovers\n%v\nwant\n%v", got, s.recorded)
		}
		s.cycleWithHeartbeats()
		for n := 0; len(s.inFlight) > 0 && n < 500; n++ {
			s.commitWrite(s.inFlight[0])
		}
		j := s.scheduler.jobs["j-1"]
		if j == nil || j.Ended {
			return // all tasks are done
		}
		for range 200 {
			s.runCycleAndCommit()
		}
		got := s.recoveredJob()
		if !maps.Equal(knownTasks(got), knownTasks(j)) {
			t.Fatalf("a new leader recovers\n%v\nwant\n%v", knownTasks(got), knownTasks(j))
		}
		for task := range s.tasks {
			if got.NextAttempt(task) < j.NextAttempt(task) {
				t.Fatalf("task %d would get attempt %d again", task, got.NextAttempt(task))
			}
		}
		if s.scheduler.recordLimits.Level() >= featurelevel.Pipelines && len(j.Pages.Superseded()) > 0 {
			t.Fatalf(
				"%d pages of another layout are left after many cycles without other writes",
				len(j.Pages.Superseded()),
			)
		}
	})
}

// exitTasksByIndex ends the tasks whose index modulo 6 is the given remainder, as done if the remainder is even and as
// stopped if it is odd.
func (s *manualStore) exitTasksByIndex(remainder int) {
	for _, name := range sortedNames(s.tasks) {
		for id, t := range s.tasks[name] {
			if id.Index%6 == remainder && t.State != protocol.TaskExited {
				causes := []protocol.ExitCause{protocol.CauseDone, protocol.CauseStopped}
				t.State, t.Cause = protocol.TaskExited, causes[remainder%2]
				s.tasks[name][id] = t
			}
		}
		s.stepWithCommands(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

// TestRejectedRecordsAreSplit checks that a record that the store rejects as malformed is divided and never written
// again unchanged. Below the feature level that allows the division, the job waits while other jobs continue.
func TestRejectedRecordsAreSplit(t *testing.T) {
	s := newEmptyManualStore(6)
	s.submit("j-1", "normal", 10)
	s.cycleWithHeartbeats()
	rejected := s.inFlight[0]
	s.answer(TransactionOutcome{WriteID: rejected.ID, Malformed: true})
	s.submit("j-2", "normal", 1)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 || !slices.Contains(jobsOfWrite(s.inFlight[0]), "j-2") ||
		slices.Contains(jobsOfWrite(s.inFlight[0]), "j-1") {
		t.Fatalf("below the feature level, want only j-2 written: %+v", s.inFlight)
	}
	s.answerAllWrites()
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.answerAllWrites()
	for width := s.scheduler.jobs["j-1"].Pages.Layout().TasksPerPage; width > 8; width /= 2 {
		s.cycleWithHeartbeats()
		i := slices.IndexFunc(s.inFlight, func(w Write) bool { return slices.Contains(jobsOfWrite(w), "j-1") })
		if i < 0 {
			t.Fatalf("the record is not written with pages of %d tasks", width)
		}
		if got := s.scheduler.jobs["j-1"].Pages.Layout().TasksPerPage; got != width {
			t.Fatalf("pages of %d tasks, want %d", got, width)
		}
		s.answer(TransactionOutcome{WriteID: s.inFlight[i].ID, Malformed: true})
		s.answerOthers(func(w Write) bool { return slices.Contains(jobsOfWrite(w), "j-1") })
	}
	s.cycleWithHeartbeats()
	s.answerAllWrites()
	if j := s.scheduler.jobs["j-1"]; len(j.Unstarted) > 0 {
		t.Errorf("%d starts still wait for their record", len(j.Unstarted))
	}
}

// answerOthers lets the writes in flight succeed, except the rejected ones.
func (s *manualStore) answerOthers(rejected func(Write) bool) {
	for _, w := range slices.Clone(s.inFlight) {
		if !rejected(w) {
			s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
		}
	}
}

// TestCostOfCompactPages checks that the start of an array costs at most 70% as many bytes in the compact layout with 2
// KiB values as in the original layout with 8 KiB values, and that up to 48 tasks take one write in both.
func TestCostOfCompactPages(t *testing.T) {
	cost := func(level featurelevel.Level, tasks int) (writes, bytes int) {
		s := withNextLimits(newEmptyManualStore(tasks/8+1), config.FutureStoreLimits{ValueKB: 2, TxnOps: 5})
		s.scheduler.recordLimits.SetLevel(level)
		s.accept(jobSpec("j-1", protocol.Array, "normal", tasks, 1))
		s.cycleWithHeartbeats()
		for len(s.inFlight) > 0 {
			for _, op := range s.inFlight[0].Txn.Then {
				size, err := storage.JSONSize(op.Value)
				if err != nil {
					t.Fatal(err)
				}
				writes, bytes = writes+1, bytes+size
			}
			s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
		}
		return writes, bytes
	}
	for tasks, maximum := range map[int]int{18: 1, 48: 1, 96: 2} {
		oldWrites, oldBytes := cost(featurelevel.Baseline, tasks)
		writes, bytes := cost(featurelevel.Pipelines, tasks)
		t.Logf(
			"%d tasks: %d writes, %d bytes in total; original layout: %d writes, %d bytes",
			tasks,
			writes,
			bytes,
			oldWrites,
			oldBytes,
		)
		if writes > maximum || oldWrites != 1 || 10*bytes > 7*oldBytes {
			t.Errorf(
				"%d tasks: %d writes, %d bytes in total; original layout: %d writes, %d bytes",
				tasks,
				writes,
				bytes,
				oldWrites,
				oldBytes,
			)
		}
	}
}
