package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	task    protocol.TaskID
	attempt uint64
}

// gangWorker is the worker of a machine, which lists every attempt until it is told to forget it.
type gangWorker struct {
	name, zone                   string
	incarnation, sequence, token uint64
	noticed                      bool
	tasks                        map[taskAttempt]protocol.TaskState
}

// heartbeat returns the next heartbeat of the worker.
func (w *gangWorker) heartbeat() *protocol.WorkerHeartbeat {
	w.sequence++
	heartbeat := &protocol.WorkerHeartbeat{
		Machine: w.name, Addr: "x", Type: "g8", Zone: w.zone, Incarnation: w.incarnation,
		Sequence: w.sequence, FencingToken: w.token,
	}
	if w.noticed {
		heartbeat.InterruptionNoticeSeconds = new(float64)
	}
	for _, id := range w.sortedAttempts() {
		state := w.tasks[id]
		status := protocol.TaskStatus{TaskName: id.task.String(), Attempt: id.attempt, State: state}
		if state == protocol.TaskExited {
			status.Cause = protocol.CauseStopped
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat
}

// sortedAttempts returns the attempts that the worker lists, sorted by task and attempt.
func (w *gangWorker) sortedAttempts() []taskAttempt {
	return slices.SortedFunc(maps.Keys(w.tasks), func(a, b taskAttempt) int {
		return cmp.Or(cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
}

// gangScenario is a history of a gang that takes several transactions to record. Leaders change and machines are lost
// while only some of the transactions are committed.
type gangScenario struct {
	t rapid.TB
	*manualStore
	gang    protocol.Job
	term    uint64
	workers []*gangWorker
	stored  map[string]protocol.KeyValue
}

// newGangScenario returns a scenario with the given number of machines in each of two zones. A machine holds eight
// tasks of the gang, a page six, and a transaction two pages.
func newGangScenario(t rapid.TB, tasks, machinesPerZone int) *gangScenario {
	t.Helper()
	s := &gangScenario{
		t:           t,
		manualStore: &manualStore{harness: newHarness([]config.Team{{Name: "red"}}, "a", "b")},
		gang:        jobSpec("j-1", protocol.Gang, "normal", tasks, 1),
		term:        5,
		stored:      map[string]protocol.KeyValue{},
	}
	s.gang.SameZone = true
	s.scheduler.cfg.Store = config.StoreLimits{RPS: 100, WriteRPS: 10, ValueKB: 0.5, TxnOps: 2}
	for i := range 2 * machinesPerZone {
		s.addWorker(fmt.Sprintf("m%d", i), []string{"a", "b"}[i%2])
	}
	s.changeLeader()
	return s
}

func (s *gangScenario) addWorker(name, zone string) {
	s.workers = append(s.workers, &gangWorker{
		name: name, zone: zone, incarnation: 1, tasks: map[taskAttempt]protocol.TaskState{},
	})
}

// changeLeader starts the next term from the stored records. Writes in flight are never committed.
func (s *gangScenario) changeLeader() {
	s.inFlight = nil
	s.term++
	s.revision++
	live, err := protocol.Encode(storage.LiveJobRecord{Job: s.gang})
	if err != nil {
		s.t.Fatal(err)
	}
	s.scheduler = New(s.now, Options{
		Config: s.scheduler.cfg,
		Log:    s.scheduler.log,
		Term:   Term{Number: s.term, Revision: s.revision},
		Records: RecoveredRecords{
			MachineTypes:   []protocol.MachineType{*s.scheduler.machines.MachineType("g8")},
			LiveJobs:       []protocol.KeyValue{{Key: storage.LiveJobKey(s.gang.ID), Value: live, Revision: 2}},
			PlacementPages: s.storedPages(),
		},
	})
}

// storedPages returns the stored placement pages in the order of their keys.
func (s *gangScenario) storedPages() (pages []protocol.KeyValue) {
	for _, key := range slices.Sorted(maps.Keys(s.stored)) {
		pages = append(pages, s.stored[key])
	}
	return pages
}

// deliver passes an event to the scheduler. Writes stay in flight, and workers execute the commands sent to them.
func (s *gangScenario) deliver(e Event) {
	for _, effect := range s.scheduler.Step(s.now, e) {
		switch effect := effect.(type) {
		case Write:
			s.inFlight = append(s.inFlight, effect)
		case SendCommandBatch:
			w := s.worker(effect.Machine)
			s.execute(w, effect.Batch.FencingToken, effect.Batch.Commands)
			s.deliver(CommandBatchResult{Machine: w.name, Acknowledged: true, Heartbeat: w.heartbeat()})
		case HeartbeatReply:
			name, _ := effect.ReplyTo.(string)
			s.execute(s.worker(name), effect.Body.FencingToken, effect.Body.Commands)
		case StepDown:
			s.t.Fatalf("the leader steps down: %s", effect.Reason)
		}
	}
}

func (s *gangScenario) worker(name string) *gangWorker {
	i := slices.IndexFunc(s.workers, func(w *gangWorker) bool { return w.name == name })
	if i < 0 {
		s.t.Fatalf("no machine %q", name)
	}
	return s.workers[i]
}

// execute makes a worker execute commands.
func (s *gangScenario) execute(w *gangWorker, token uint64, commands []protocol.Command) {
	w.token = max(w.token, token)
	for _, c := range commands {
		task, err := protocol.ParseTaskID(c.TaskName)
		if err != nil {
			s.t.Fatal(err)
		}
		id := taskAttempt{task, c.Attempt}
		state, known := w.tasks[id]
		switch {
		case c.Verb == protocol.VerbRun && !known:
			w.tasks[id] = protocol.TaskFetching
			s.checkOneAttempt()
		case c.Verb == protocol.VerbStop && known && state != protocol.TaskExited:
			w.tasks[id] = protocol.TaskExited
		case c.Verb == protocol.VerbForget:
			delete(w.tasks, id)
		}
	}
}

// activeTasks returns the number of tasks on machines that have not exited, by attempt, and their zones.
func (s *gangScenario) activeTasks() (byAttempt map[uint64]int, zones map[string]bool) {
	byAttempt, zones = map[uint64]int{}, map[string]bool{}
	for _, w := range s.workers {
		for id, state := range w.tasks {
			if state != protocol.TaskExited {
				byAttempt[id.attempt]++
				zones[w.zone] = true
			}
		}
	}
	return byAttempt, zones
}

// checkOneAttempt checks that only tasks of one attempt, in one zone, are on machines.
func (s *gangScenario) checkOneAttempt() {
	if byAttempt, zones := s.activeTasks(); len(byAttempt) > 1 || len(zones) > 1 {
		s.t.Fatalf("tasks of attempts %v are on machines of zones %v", byAttempt, zones)
	}
}

// commitWrite lets a write succeed.
func (s *gangScenario) commitWrite(w Write) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o Write) bool { return o.ID == w.ID })
	s.revision++
	for _, op := range w.Txn.Then {
		if strings.HasPrefix(op.PutKey, storage.PlacementPrefix) {
			s.stored[op.PutKey] = protocol.KeyValue{Key: op.PutKey, Value: op.Value, Revision: s.revision}
		}
		delete(s.stored, op.DeleteKey)
	}
	s.deliver(TransactionOutcome{WriteID: w.ID, Succeeded: true, Revision: s.revision})
}

// cycle runs a cycle in which all machines send heartbeats.
func (s *gangScenario) cycle() {
	s.now += CycleInterval
	for _, w := range s.workers {
		s.deliver(HeartbeatReceived{ReplyTo: w.name, Heartbeat: w.heartbeat()})
	}
	s.deliver(Tick{})
}

// expireLease makes a worker drop all tasks and begin the next incarnation.
func (s *gangScenario) expireLease(w *gangWorker) {
	w.incarnation, w.sequence = w.incarnation+1, 0
	clear(w.tasks)
	s.deliver(HeartbeatReceived{ReplyTo: w.name, Heartbeat: w.heartbeat()})
}

// commitNext lets the only write in flight succeed.
func (s *gangScenario) commitNext() {
	s.t.Helper()
	if len(s.inFlight) != 1 {
		s.t.Fatalf("%d writes in flight, want 1", len(s.inFlight))
	}
	s.commitWrite(s.inFlight[0])
}

// runToEnd commits all writes of the following cycles and checks that the gang runs as a whole.
func (s *gangScenario) runToEnd() {
	s.t.Helper()
	for range 60 {
		s.cycle()
		for n := 0; len(s.inFlight) > 0 && n < maxTestWrites; n++ {
			s.commitWrite(s.inFlight[0])
		}
	}
	s.checkOneAttempt()
	byAttempt, _ := s.activeTasks()
	tasks := slices.Collect(maps.Values(byAttempt))
	if !slices.Equal(tasks, []int{s.gang.TaskCount}) {
		s.t.Fatalf("tasks on machines by attempt: %v, want all %d tasks of one attempt", byAttempt, s.gang.TaskCount)
	}
}

// TestGangRecordedInPartRestartsAsAWhole guards against a new leader that starts tasks of two attempts of a gang, in
// two zones, after its last attempt was recorded only in part over the records of an earlier one.
func TestGangRecordedInPartRestartsAsAWhole(t *testing.T) {
	s := newGangScenario(t, 16, 2)
	s.cycle()
	s.commitNext()
	lost := s.worker(s.scheduler.jobs["j-1"].Placements[0].Machine)
	s.expireLease(lost)
	s.commitNext() // the first attempt is recorded as a whole, but no task may start any more
	s.now += MinCycleInterval
	s.deliver(Tick{})
	if placements := s.scheduler.jobs["j-1"].Placements; len(placements) != 16 || placements[0].Attempt != 2 {
		t.Fatalf("%d tasks are placed again, want 16 of attempt 2", len(placements))
	}
	s.commitNext() // the second attempt is recorded in part
	s.changeLeader()
	for _, w := range s.workers {
		if w != lost { // its next heartbeat shows that the first attempt is gone
			s.deliver(HeartbeatReceived{ReplyTo: w.name, Heartbeat: w.heartbeat()})
		}
	}
	s.runToEnd()
}

// randomStep performs a random step.
func (s *gangScenario) randomStep(t *rapid.T) {
	w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(t, "machine")]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		s.changeLeader()
	case 1:
		s.expireLease(w)
	case 2:
		w.noticed = !w.noticed
	case 3:
		for id, state := range w.tasks {
			if state == protocol.TaskFetching {
				w.tasks[id] = protocol.TaskRunning
			}
		}
	case 4:
		s.now += MinCycleInterval
		s.deliver(Tick{})
	case 5:
		s.cycle()
	default:
		if len(s.inFlight) > 0 {
			s.commitWrite(s.inFlight[rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "write")])
		}
	}
}

// TestRandomGangHistories checks that tasks of only one attempt of a gang, in one zone, are ever on machines, whichever
// of its writes are committed before the leader changes. Afterwards the gang runs.
func TestRandomGangHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGangScenario(t, rapid.IntRange(2, 16).Draw(t, "tasks"), 3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.randomStep(t)
		}
		s.addWorker("n0", "a") // the others may be about to be interrupted
		s.addWorker("n1", "a")
		s.runToEnd()
	})
}
