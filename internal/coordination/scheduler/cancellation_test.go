package scheduler

import (
	"testing"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// TestCancellationIntentStopsJob checks that an intent stops a job of any shape immediately and prevents it from
// starting, even if the job is accepted after the intent. The job may run again only after the watch has shown that it
// is still live at a time at which the cancellation can no longer be confirmed. If the job was cancelled, it does not
// run again.
func TestCancellationIntentStopsJob(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service} {
		h := newHarness(nil, "a")
		h.heartbeat("m1", "a", false)
		h.addJob(jobSpec("j-1", shape, "normal", 2, 1))
		h.runCycle()
		if n := h.startedTasks("j-1"); n != 2 {
			t.Fatalf("%s: %d tasks started, want 2", shape, n)
		}
		ids := []protocol.TaskID{{JobID: "j-1"}, {JobID: "j-1", Index: 1}}
		attempts := []uint64{h.runs[ids[0]].Attempt, h.runs[ids[1]].Attempt}
		h.heartbeat("m1", "a", false, runningTask(ids[0], attempts[0]), runningTask(ids[1], attempts[1]))
		until := h.now + 3*CycleInterval
		h.apply(CancellationIntent{ID: "j-1", ValidUntil: until})
		h.apply(CancellationIntent{ID: "j-2", ValidUntil: until})
		h.addJob(jobSpec("j-2", shape, "normal", 1, 1))
		h.runCycle()
		for i, id := range ids {
			if grace, ok := h.stops[id]; !ok || grace != 0 {
				t.Errorf("%s: %v was not stopped", shape, id)
			}
			h.heartbeat(
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
		clear(h.runs)
		for range 6 {
			h.heartbeat("m1", "a", false)
			h.runCycle()
		}
		h.apply(WatchProgress{At: until}) // the cancellation may have been confirmed at this time
		h.runCycle()
		if len(h.runs) > 0 {
			t.Fatalf("%s: %v started while users may be told that it is cancelled", shape, h.runs)
		}
		h.apply(JobEnded{ID: "j-2"})
		h.apply(WatchProgress{At: until + 1})
		h.heartbeat("m2", "a", false) // m1 still lists the exited tasks
		h.runCycle()
		if h.startedTasks("j-1") != 2 || h.startedTasks("j-2") != 0 {
			t.Errorf("%s: started %v, want only the live job j-1", shape, h.runs)
		}
		if len(h.scheduler.cancellationIntents) > 0 {
			t.Errorf("%s: intents %v were not removed", shape, h.scheduler.cancellationIntents)
		}
	}
}

// TestCancelledTasksHaveFencingDeadline checks that unreachable machines of cancelled jobs are fenced well before the
// tasks must be gone. Tasks of jobs that are done or were stopped for other reasons have no deadline.
func TestCancelledTasksHaveFencingDeadline(t *testing.T) {
	h := newHarness(nil, "a")
	h.heartbeat("m1", "a", false)
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		h.addJob(jobSpec(id, protocol.Array, "normal", 1, 1))
	}
	h.runCycle()
	h.apply(CancellationIntent{ID: "j-1", ValidUntil: h.now})
	h.apply(JobEnded{ID: "j-2"})
	withDeadline := map[string]bool{}
	deadline := h.scheduler.fencingDeadline(h.now)
	h.scheduler.machines.Machine("m1").EachPlacement(func(pl *machineregistry.Placement) {
		if pl.FenceAt == deadline {
			withDeadline[pl.Task.JobID] = true
		}
	})
	if !withDeadline["j-1"] || !withDeadline["j-2"] || withDeadline["j-3"] {
		t.Errorf("jobs with the fencing deadline %v: %v, want j-1 and j-2", deadline, withDeadline)
	}
	if m := h.scheduler.machines.Machine("m1"); m.FencingDue(deadline-1) || !m.FencingDue(deadline) {
		t.Error("the machine is not due for fencing exactly at the deadline of its tasks")
	}
}
