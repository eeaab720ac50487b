package scheduler

import (
	"testing"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// TestCancellationIntentStopsJob: an intent stops a job of any shape at once and keeps it from starting, also one that
// is accepted after the intent. The job runs again only once the watch has shown that it lives at a time at which the
// cancellation can't be confirmed any more. If it is cancelled, it does not run again.
func TestCancellationIntentStopsJob(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service} {
		b := newHarness(nil, "a")
		b.heartbeat("m1", "a", false)
		b.addJob(jobSpec("j-1", shape, "normal", 2, 1))
		b.runCycle()
		if n := b.startedTasks("j-1"); n != 2 {
			t.Fatalf("%s: %d started", shape, n)
		}
		ids := []protocol.TaskID{{JobID: "j-1"}, {JobID: "j-1", Index: 1}}
		attempts := []uint64{b.runs[ids[0]].Attempt, b.runs[ids[1]].Attempt}
		b.heartbeat("m1", "a", false, runningTask(ids[0], attempts[0]), runningTask(ids[1], attempts[1]))
		until := b.now + 3*CycleInterval
		b.apply(CancellationIntent{ID: "j-1", ValidUntil: until})
		b.apply(CancellationIntent{ID: "j-2", ValidUntil: until})
		b.addJob(jobSpec("j-2", shape, "normal", 1, 1))
		b.runCycle()
		for i, id := range ids {
			if grace, ok := b.stops[id]; !ok || grace != 0 {
				t.Errorf("%s: %v was not stopped", shape, id)
			}
			b.heartbeat(
				"m1",
				"a",
				false,
				protocol.TaskStatus{
					TaskName: id.String(),
					Attempt:  attempts[i],
					State:    protocol.TaskExited,
					Cause:    protocol.CauseStopped,
				},
			)
		}
		clear(b.runs)
		for range 6 {
			b.heartbeat("m1", "a", false)
			b.runCycle()
		}
		b.apply(WatchProgress{At: until}) // it may just have been confirmed
		b.runCycle()
		if len(b.runs) > 0 {
			t.Fatalf("%s: %v started while users may be told that it is cancelled", shape, b.runs)
		}
		b.apply(JobEnded{ID: "j-2"})
		b.apply(WatchProgress{At: until + 1})
		b.heartbeat("m2", "a", false) // the first still has its exited entries
		b.runCycle()
		if b.startedTasks("j-1") != 2 || b.startedTasks("j-2") != 0 {
			t.Errorf("%s: %v run when one lives and the other does not", shape, b.runs)
		}
		if len(b.scheduler.cancellationIntents) > 0 {
			t.Errorf("%s: intents %v are kept", shape, b.scheduler.cancellationIntents)
		}
	}
}

// TestCancelledTasksHaveFencingDeadline: silent machines of cancelled jobs are fenced well before the tasks must be
// gone. Those of jobs that are done, or stopped for other reasons, have no deadline.
func TestCancelledTasksHaveFencingDeadline(t *testing.T) {
	b := newHarness(nil, "a")
	b.heartbeat("m1", "a", false)
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		b.addJob(jobSpec(id, protocol.Array, "normal", 1, 1))
	}
	b.runCycle()
	b.apply(CancellationIntent{ID: "j-1", ValidUntil: b.now})
	b.apply(JobEnded{ID: "j-2"})
	deadlines := map[string]bool{}
	by := b.scheduler.fencingDeadline(b.now)
	b.scheduler.machines.Machine("m1").EachPlacement(func(pl *machineregistry.Placement) {
		if pl.FenceAt == by {
			deadlines[pl.Task.JobID] = true
		}
	})
	if !deadlines["j-1"] || !deadlines["j-2"] || deadlines["j-3"] {
		t.Errorf("with the fencing deadline %v: %v", by, deadlines)
	}
	if m := b.scheduler.machines.Machine("m1"); m.FencingDue(by-1) || !m.FencingDue(by) {
		t.Error("the machine is not due for fencing at the deadline of its tasks")
	}
}
