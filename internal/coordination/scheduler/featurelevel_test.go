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

// withNextLimits sets limits that the store will have later.
func withNextLimits(s *manualStore, next config.FutureStoreLimits) *manualStore {
	s.scheduler.cfg.Store.Next = next
	return s
}

// The record of the term changes only when no other write depends on it. None begins meanwhile, and all that follow
// depend on its new revision. Starts go on afterwards.
func TestLevelChangeWaitsForWritesInFlight(t *testing.T) {
	s := withNextLimits(newEmptyManualStore(4), config.FutureStoreLimits{ValueKB: 2, TxnOps: 5, WriteRPS: 18})
	s.submit("j-1", "normal", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight", len(s.inFlight))
	}
	first := s.inFlight[0]
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.submit("j-2", "urgent", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight while the first one is", len(s.inFlight))
	}
	s.answer(TransactionOutcome{WriteID: first.ID, Succeeded: true})
	if len(s.inFlight) != 1 || s.inFlight[0].VerifyKey != storage.TermKey || s.inFlight[0].Txn.If[0].Revision != 1 {
		t.Fatalf("the term's record is not what is written now: %+v", s.inFlight)
	}
	rec, err := storage.DecodeTerm(s.inFlight[0].Txn.Then[0].Value)
	if err != nil || rec.Term != 5 || rec.FeatureLevel != int(featurelevel.Pipelines) ||
		rec.WriteName != s.inFlight[0].Name {
		t.Fatalf("the record: %+v, %v", rec, err)
	}
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes in flight while the level is made final", len(s.inFlight))
	}
	s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
	termRevision := s.revision
	s.cycleWithHeartbeats()
	if len(s.inFlight) == 0 {
		t.Fatal("nothing is written any more")
	}
	for _, w := range s.inFlight {
		if w.Txn.If[0] != (protocol.Compare{Key: storage.TermKey, Revision: termRevision}) {
			t.Errorf("a write depends on %+v, want revision %d of the term", w.Txn.If[0], termRevision)
		}
		if len(w.Txn.Then) > 5 {
			t.Errorf("%d operations", len(w.Txn.Then))
		}
		for _, op := range w.Txn.Then {
			if op.PutKey != "" && !strings.Contains(op.PutKey, "/w") {
				t.Errorf("%s is written in the original layout", op.PutKey)
			}
		}
	}
	if s.scheduler.recordLimits.ValueKB() != 2 || s.scheduler.writes.paused {
		t.Errorf("value limit %v KB, paused %v", s.scheduler.recordLimits.ValueKB(), s.scheduler.writes.paused)
	}
}

// knownTasks describes what the leader knows of a job's tasks that a new leader must know too.
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

// recordKnownTasks applies what a page says of its tasks: of several pages the last one that was written counts.
func recordKnownTasks(t *rapid.T, known map[int]string, pair protocol.KeyValue) {
	t.Helper()
	name, err := storage.ParsePageKey(pair.Key, storage.OriginalPageTasks(4))
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

// layoutScenario is a random history of one job whose pages are narrowed now and then, while its writes are carried out
// in part.
type layoutScenario struct {
	t *rapid.T
	*manualStore
	tasks    int
	stored   map[string]protocol.KeyValue
	recorded map[int]string // what the stored pages say of each task
}

// newLayoutScenario draws the limits, and a job at the lowest feature level.
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

// carryOut lets a write succeed, and checks that it is within the limits.
func (s *layoutScenario) carryOut(w Write) {
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
		s.t.Fatalf("%d operations", len(w.Txn.Then))
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.ID })
	s.stepWithCommands(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
}

func (s *layoutScenario) put(op protocol.Op) {
	s.stored[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: s.revision}
	if strings.HasPrefix(op.PutKey, storage.PlacementPrefix) {
		recordKnownTasks(s.t, s.recorded, s.stored[op.PutKey])
	}
	limits := &s.scheduler.recordLimits
	if limits.Level() >= featurelevel.Pipelines && op.PutKey != storage.TermKey &&
		!storage.FitsValueLimit(op.Value, limits.ValueKB()) && !strings.Contains(op.PutKey, "/w1.") {
		s.t.Fatalf("%s does not fit", op.PutKey)
	}
}

// quietCycle runs a cycle and carries out all that it writes.
func (s *layoutScenario) quietCycle() {
	s.cycleWithHeartbeats()
	for len(s.inFlight) > 0 {
		s.carryOut(s.inFlight[0])
	}
}

// randomStep draws what happens next.
func (s *layoutScenario) randomStep() {
	switch rapid.IntRange(0, 5).Draw(s.t, "what") {
	case 0:
		s.cycleWithHeartbeats()
	case 1:
		s.endSome(rapid.IntRange(0, 5).Draw(s.t, "which"))
	case 2:
		s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	case 3:
		if j := s.scheduler.jobs["j-1"]; j != nil && j.Pages.CanNarrow() && !j.WriteInFlight {
			j.Pages.Narrow()
		}
	default:
		if len(s.inFlight) > 0 {
			s.carryOut(s.inFlight[0])
		}
	}
}

// recoveredJob returns the job as a new leader reads it.
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
			MachineTypes: []protocol.MachineType{*s.scheduler.machines.MachineType("g8")},
			LiveJobs:     []protocol.KeyValue{{Key: storage.LiveJobKey("j-1"), Value: raw, Revision: 5}},
			Pages:        pages,
		},
	})
	return next.jobs["j-1"]
}

// However far the replacement of a job's pages has come, a new leader reads its tasks as they were recorded last, and
// no attempt number is used twice. In the end no page of another layout is left.
func TestRecoveryAcrossPageLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLayoutScenario(t)
		for range rapid.IntRange(0, 3).Draw(t, "quiet cycles first") {
			s.quietCycle()
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s.randomStep()
		}
		if s.stored[storage.EndedJobKey("j-1")].Revision > 0 {
			return // all tasks are done, and the pages are deleted
		}
		if got := knownTasks(s.recoveredJob()); !maps.Equal(got, s.recorded) {
			t.Fatalf("in the midst a new leader reads\n%v\nof\n%v", got, s.recorded)
		}
		s.cycleWithHeartbeats()
		for n := 0; len(s.inFlight) > 0 && n < 500; n++ {
			s.carryOut(s.inFlight[0])
		}
		j := s.scheduler.jobs["j-1"]
		if j == nil || j.Ended {
			return // all tasks are done
		}
		for range 200 {
			s.quietCycle()
		}
		got := s.recoveredJob()
		if !maps.Equal(knownTasks(got), knownTasks(j)) {
			t.Fatalf("a new leader reads\n%v\nof\n%v", knownTasks(got), knownTasks(j))
		}
		for task := range s.tasks {
			if got.NextAttempt(task) < j.NextAttempt(task) {
				t.Fatalf("task %d would get attempt %d again", task, got.NextAttempt(task))
			}
		}
		if s.scheduler.recordLimits.Level() >= featurelevel.Pipelines && len(j.Pages.Superseded()) > 0 {
			t.Fatalf("%d pages of another layout are left after many quiet cycles", len(j.Pages.Superseded()))
		}
	})
}

// endSome ends the tasks on machines with every sixth index, as done or as stopped.
func (s *manualStore) endSome(which int) {
	for _, name := range sortedNames(s.tasks) {
		for id, t := range s.tasks[name] {
			if id.Index%6 == which && t.State != protocol.TaskExited {
				causes := []protocol.ExitCause{protocol.CauseDone, protocol.CauseStopped}
				t.State, t.Cause = protocol.TaskExited, causes[which%2]
				s.tasks[name][id] = t
			}
		}
		s.stepWithCommands(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

// A record that the store rejects as malformed is divided and never written again as it was. Below the feature level
// that allows it, the job waits and the others go on.
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
		t.Fatalf("below the level the others do not go on alone: %+v", s.inFlight)
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

// answerOthers lets the writes in flight succeed, except those that are rejected.
func (s *manualStore) answerOthers(rejected func(Write) bool) {
	for _, w := range slices.Clone(s.inFlight) {
		if !rejected(w) {
			s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
		}
	}
}

// The start of an array costs a fraction of the bytes in the compact layout with 2 KiB values of what it costs in the
// original layout with 8 KiB, and up to 48 tasks one write in both.
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
	for tasks, most := range map[int]int{18: 1, 48: 1, 96: 2} {
		oldWrites, oldBytes := cost(featurelevel.Baseline, tasks)
		writes, bytes := cost(featurelevel.Pipelines, tasks)
		t.Logf("%d tasks: %d writes of %d bytes in all, before %d of %d", tasks, writes, bytes, oldWrites, oldBytes)
		if writes > most || oldWrites != 1 || 10*bytes > 7*oldBytes {
			t.Errorf("%d tasks: %d writes of %d bytes, before %d of %d", tasks, writes, bytes, oldWrites, oldBytes)
		}
	}
}
