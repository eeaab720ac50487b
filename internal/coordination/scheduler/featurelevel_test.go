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

// withNextLimits gives a store's core limits of the state service that are to come.
func withNextLimits(s *manualStore, next config.FutureStoreLimits) *manualStore {
	s.scheduler.cfg.Store.Next = next
	return s
}

// TestLevelChangeWaitsForWritesInFlight: the record of the term changes only when no other write depends on it, none
// begins meanwhile, and all that follow depend on its new version. Starts go on afterwards.
func TestLevelChangeWaitsForWritesInFlight(t *testing.T) {
	s := withNextLimits(newEmptyManualStore(4), config.FutureStoreLimits{ValueKB: 2, TxnOps: 5, WriteRPS: 18})
	s.submit("j-1", "normal", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes under way", len(s.inFlight))
	}
	first := s.inFlight[0]
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
	s.submit("j-2", "urgent", 2)
	s.cycleWithHeartbeats()
	if len(s.inFlight) != 1 {
		t.Fatalf("%d writes under way while one is awaited", len(s.inFlight))
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
		t.Fatalf("%d writes under way while the level is made final", len(s.inFlight))
	}
	s.answer(TransactionOutcome{WriteID: s.inFlight[0].ID, Succeeded: true})
	stamp := s.revision
	s.cycleWithHeartbeats()
	if len(s.inFlight) == 0 {
		t.Fatal("nothing is written any more")
	}
	for _, w := range s.inFlight {
		if w.Txn.If[0] != (protocol.Compare{Key: storage.TermKey, Revision: stamp}) {
			t.Errorf("a write depends on %+v, want version %d of the term", w.Txn.If[0], stamp)
		}
		if len(w.Txn.Then) > 5 {
			t.Errorf("%d operations", len(w.Txn.Then))
		}
		for _, op := range w.Txn.Then {
			if op.PutKey != "" && !strings.Contains(op.PutKey, "/w") {
				t.Errorf("%s is written in the layout of production", op.PutKey)
			}
		}
	}
	if s.scheduler.stateLimits.ValueKB != 2 || s.scheduler.writesPaused {
		t.Errorf("limits %+v, paused %v", s.scheduler.stateLimits, s.scheduler.writesPaused)
	}
}

// knownTasks is what a core knows of a job's tasks that a new leader must know too.
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
		"done %v on %s session %d attempt %d zone %s",
		isDone,
		pl.Machine,
		pl.Incarnation,
		pl.Attempt,
		pl.Zone,
	)
}

// recordKnownTasks takes into the books what a page says of its tasks: of several pages the last one that was written.
func recordKnownTasks(t *rapid.T, known map[int]string, pair protocol.KeyValue) {
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

// TestRecoveryAcrossPageLayouts draws what happens to a job whose pages are cut narrower now and then, while records
// are carried out in part. However far the replacement has come, a new leader reads the books as they were recorded,
// and no attempt number comes again.
func TestRecoveryAcrossPageLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newEmptyManualStore(6)
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
		s.scheduler.setFeatureLevel(featurelevel.Baseline)
		tasks := rapid.IntRange(1, 120).Draw(t, "tasks")
		s.accept(jobSpec("j-1", protocol.Array, "normal", tasks, 1))
		stored, recorded := map[string]protocol.KeyValue{}, map[int]string{}
		carryOut := func(w Write) {
			s.revision++
			for _, cond := range w.Txn.If {
				if strings.HasPrefix(cond.Key, storage.PlacementPrefix) && stored[cond.Key].Revision != cond.Revision {
					t.Fatalf("%s has version %d, wanted %d", cond.Key, stored[cond.Key].Revision, cond.Revision)
				}
			}
			for _, op := range w.Txn.Then {
				if op.PutKey != "" {
					stored[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: s.revision}
					if strings.HasPrefix(op.PutKey, storage.PlacementPrefix) {
						recordKnownTasks(t, recorded, stored[op.PutKey])
					}
					if s.scheduler.level >= featurelevel.Pipelines && op.PutKey != storage.TermKey &&
						!storage.FitsValueLimit(op.Value, s.scheduler.stateLimits.ValueKB) &&
						!strings.Contains(op.PutKey, "/w1.") {
						t.Fatalf("%s does not fit", op.PutKey)
					}
				}
				delete(stored, op.DeleteKey)
			}
			if len(w.Txn.Then) > s.scheduler.stateLimits.TxnOps {
				t.Fatalf("%d operations", len(w.Txn.Then))
			}
			s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.ID })
			s.stepWithCommands(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
		}
		for range rapid.IntRange(0, 3).Draw(t, "quiet cycles first") {
			s.cycleWithHeartbeats()
			for len(s.inFlight) > 0 {
				carryOut(s.inFlight[0])
			}
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				s.cycleWithHeartbeats()
			case 1:
				s.endSome(rapid.IntRange(0, 5).Draw(t, "which"))
			case 2:
				s.step(FinaliseFeatureLevel{Level: featurelevel.Pipelines})
			case 3:
				if j := s.scheduler.jobs["j-1"]; j != nil && j.Pages.CanNarrow() && !j.WriteInFlight {
					j.Pages.Narrow()
				}
			default:
				if len(s.inFlight) > 0 {
					carryOut(s.inFlight[0])
				}
			}
		}
		nextLeader := func() *jobstate.Job {
			pages := slices.Collect(maps.Values(stored))
			pages = slices.DeleteFunc(
				pages,
				func(p protocol.KeyValue) bool { return !strings.HasPrefix(p.Key, storage.PlacementPrefix) },
			)
			raw, err := protocol.Encode(storage.LiveJobRecord{Job: jobSpec("j-1", protocol.Array, "normal", tasks, 1)})
			if err != nil {
				t.Fatal(err)
			}
			next := New(
				s.now,
				s.scheduler.cfg,
				s.scheduler.log,
				Term{Number: 6, Revision: 2, FeatureLevel: s.scheduler.level},
				RecoveredRecords{
					MachineTypes: []protocol.MachineType{*s.scheduler.machines.MachineType("g8")},
					LiveJobs: []protocol.KeyValue{
						{Key: storage.LiveJobKey("j-1"), Value: raw, Revision: 5},
					},
					Pages: pages,
				},
				0,
				nil,
			)
			return next.jobs["j-1"]
		}
		if stored[storage.EndedJobKey("j-1")].Revision > 0 {
			return // all of it is done, and its pages go
		}
		if got := knownTasks(nextLeader()); !maps.Equal(got, recorded) {
			t.Fatalf("in the midst a new leader reads\n%v\nof\n%v", got, recorded)
		}
		s.cycleWithHeartbeats()
		for n := 0; len(s.inFlight) > 0 && n < 500; n++ {
			carryOut(s.inFlight[0])
		}
		j := s.scheduler.jobs["j-1"]
		if j == nil || j.Ended {
			return // all of it is done
		}
		for range 200 {
			s.cycleWithHeartbeats()
			for len(s.inFlight) > 0 {
				carryOut(s.inFlight[0])
			}
		}
		got := nextLeader()
		if !maps.Equal(knownTasks(got), knownTasks(j)) {
			t.Fatalf("a new leader reads\n%v\nof\n%v", knownTasks(got), knownTasks(j))
		}
		for task := range tasks {
			if got.NextAttempt(task) < j.NextAttempt(task) {
				t.Fatalf("task %d would get attempt %d again", task, got.NextAttempt(task))
			}
		}
		if s.scheduler.level >= featurelevel.Pipelines && len(j.Pages.Superseded()) > 0 {
			t.Fatalf("%d pages of another layout are left after many quiet cycles", len(j.Pages.Superseded()))
		}
	})
}

// endSome ends tasks of every sixth number, done or not, that are on machines.
func (s *manualStore) endSome(which int) {
	for _, name := range sortedNames(s.tasks) {
		for id, t := range s.tasks[name] {
			if id.Index%6 == which && t.State != protocol.TaskExited {
				t.State, t.Cause = protocol.TaskExited, []protocol.ExitCause{protocol.CauseDone, protocol.CauseStopped}[which%2]
				s.tasks[name][id] = t
			}
		}
		s.stepWithCommands(HeartbeatReceived{ReplyTo: name, Heartbeat: s.nextHeartbeat(name)})
	}
}

// TestRejectedRecordsAreSplit: a record that the state service refuses for its form is cut narrower and never
// written again as it was; below the level, where that can't be, it waits and the others go on.
func TestRejectedRecordsAreSplit(t *testing.T) {
	s := newEmptyManualStore(6)
	s.submit("j-1", "normal", 10)
	s.cycleWithHeartbeats()
	refused := s.inFlight[0]
	s.answer(TransactionOutcome{WriteID: refused.ID, Malformed: true})
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

// answerOthers answers the writes that are under way but for those of the job that is refused.
func (s *manualStore) answerOthers(refused func(Write) bool) {
	for _, w := range slices.Clone(s.inFlight) {
		if !refused(w) {
			s.answer(TransactionOutcome{WriteID: w.ID, Succeeded: true})
		}
	}
}

// TestCostOfCompactPages counts what the start of an array costs in writes and bytes, in the layout of production
// under 8 KiB and in the compact one under 2 KiB: up to 48 tasks one write in both, and a fraction of the bytes.
func TestCostOfCompactPages(t *testing.T) {
	cost := func(level featurelevel.Level, tasks int) (writes, bytes int) {
		s := withNextLimits(newEmptyManualStore(tasks/8+1), config.FutureStoreLimits{ValueKB: 2, TxnOps: 5})
		s.scheduler.setFeatureLevel(level)
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
			t.Errorf(
				"%d tasks: %d writes of %d bytes in all, before %d of %d",
				tasks,
				writes,
				bytes,
				oldWrites,
				oldBytes,
			)
		}
	}
}
