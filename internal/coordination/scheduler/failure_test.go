package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestGangRestartsWhole checks that, when one task of a gang is gone, the others are stopped and the gang restarts with
// one new attempt number, but only after all tasks of the old attempt are known to be gone.
func TestGangRestartsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "tasks")
		h := newHarness([]config.Team{{Name: "red"}}, "a")
		for i := range n + 1 {
			h.heartbeat(fmt.Sprintf("m%d", i), "a", false)
		}
		h.addJob(jobSpec("j-1", protocol.Gang, "urgent", n, 8))
		h.runCycle()
		first := map[protocol.TaskID]string{}
		for id, m := range h.machineOf {
			first[id] = m
			h.heartbeat(m, "a", false, runningTask(id, 1))
		}
		if len(first) != n {
			t.Fatalf("%d of %d tasks started", len(first), n)
		}
		lost := protocol.TaskID{JobID: "j-1", Index: rapid.IntRange(0, n-1).Draw(t, "lost")}
		clear(h.runs)
		causes := []protocol.ExitCause{protocol.CauseError, protocol.CausePeerLost, protocol.CauseIncomplete}
		cause := rapid.SampledFrom(causes).Draw(t, "cause")
		h.heartbeat(
			first[lost],
			"a",
			false,
			protocol.TaskStatus{TaskName: lost.String(), Attempt: 1, State: protocol.TaskExited, Cause: cause},
		)
		h.runCycle()
		if len(h.stops) != n-1 || len(h.runs) != 0 {
			t.Fatalf("stopped %v, started %v, want all other tasks stopped and none started", h.stops, h.runs)
		}
		for id, m := range first {
			if id != lost {
				if len(h.runs) != 0 {
					t.Fatalf("restarted while %v may still be running", id)
				}
				h.heartbeat(
					m,
					"a",
					false,
					protocol.TaskStatus{
						TaskName: id.String(),
						Attempt:  1,
						State:    protocol.TaskExited,
						Cause:    protocol.CauseStopped,
					},
				)
			}
		}
		// Workers forget the old attempts after they have seen a newer fencing token.
		for range 40 {
			for i := range n + 1 {
				h.heartbeat(fmt.Sprintf("m%d", i), "a", false)
			}
			h.runCycle()
		}
		if len(h.runs) != n {
			t.Fatalf("%d of %d tasks restarted", len(h.runs), n)
		}
		for id, c := range h.runs {
			if c.Attempt != 2 {
				t.Fatalf("%v restarted as attempt %d, want 2", id, c.Attempt)
			}
		}
	})
}

// TestCompletionIsRecordedOnce checks that the exit of the last task ends the job in the same transaction that deletes
// its page, and that nothing is written for the job afterwards.
func TestCompletionIsRecordedOnce(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.heartbeat("m1", "a", false)
	h.addJob(jobSpec("j-1", protocol.Array, "normal", 3, 1))
	h.runCycle()
	var tasks []protocol.TaskStatus
	for id, c := range h.runs {
		tasks = append(
			tasks,
			protocol.TaskStatus{
				TaskName: id.String(),
				Attempt:  c.Attempt,
				State:    protocol.TaskExited,
				Cause:    protocol.CauseDone,
			},
		)
	}
	h.heartbeat("m1", "a", false, tasks[:2]...)
	h.runCycle()
	h.heartbeat("m1", "a", false, tasks...)
	h.runCycle()
	end := h.transactions[len(h.transactions)-1]
	if end.Then[0].DeleteKey != storage.LiveJobKey("j-1") || end.Then[1].PutKey != storage.EndedJobKey("j-1") ||
		end.Then[2].DeleteKey != originalPageKey("j-1") {
		t.Errorf("last transaction %+v, want the end of the job with its page deleted", end)
	}
	if end.If[0].Key != storage.TermKey || end.If[1].Key != storage.LiveJobKey("j-1") {
		t.Errorf("the transaction is not conditional on the term and live records: %+v", end.If)
	}
	n := len(h.transactions)
	h.runCycle()
	if len(h.transactions) != n || len(h.scheduler.jobs) != 0 {
		t.Errorf(
			"%d writes after the end of the job, %d jobs not removed, want none of both",
			len(h.transactions)-n,
			len(h.scheduler.jobs),
		)
	}
}

// TestFaultyJobIsBackedOff checks that a job that fails on every machine backs off and that no machine is quarantined
// for it.
func TestFaultyJobIsBackedOff(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	for i := range 6 {
		h.heartbeat(fmt.Sprintf("m%d", i), "a", false)
	}
	h.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 1))
	id := protocol.TaskID{JobID: "j-1"}
	starts := 0
	for range 120 {
		h.runCycle()
		for i := range 6 {
			m := fmt.Sprintf("m%d", i)
			if c, ok := h.runs[id]; ok && h.machineOf[id] == m {
				starts++
				delete(h.runs, id)
				h.heartbeat(
					m,
					"a",
					false,
					protocol.TaskStatus{
						TaskName: id.String(),
						Attempt:  c.Attempt,
						State:    protocol.TaskExited,
						Cause:    protocol.CauseError,
					},
				)
				continue
			}
			h.heartbeat(m, "a", false)
		}
	}
	if starts < 3 || starts > 20 {
		t.Errorf("%d starts in two minutes, want 3 to 20", starts)
	}
	for i := range 6 {
		if m := h.scheduler.machines.Machine(fmt.Sprintf("m%d", i)); m == nil || m.Quarantined {
			t.Errorf("machine %d was removed or quarantined because of a faulty job", i)
		}
	}
}

// TestFailingMachineDoesNotAttractTasks checks that few tasks of a large array fail on a broken machine. A machine on
// which every task fails immediately always has free capacity and would otherwise receive one task after the other. The
// job must not be considered faulty.
func TestFailingMachineDoesNotAttractTasks(t *testing.T) {
	h := newHarness([]config.Team{{Name: "red"}}, "a")
	h.apply(MachinesListed{})
	h.heartbeat("m1", "a", false)
	h.heartbeat("m2", "a", false)
	h.addJob(jobSpec("j-1", protocol.Array, "normal", 40, 2))
	failed, ran := map[protocol.TaskID]bool{}, 0
	for range 30 {
		h.runCycle()
		for id, c := range h.runs {
			delete(h.runs, id)
			r := protocol.TaskStatus{
				TaskName: id.String(),
				Attempt:  c.Attempt,
				State:    protocol.TaskExited,
				Cause:    protocol.CauseDone,
			}
			if h.machineOf[id] == "m1" {
				failed[id], r.Cause = true, protocol.CauseError
			} else {
				ran++
			}
			h.heartbeat(h.machineOf[id], "a", false, r)
		}
		h.heartbeat("m1", "a", false)
		h.heartbeat("m2", "a", false)
	}
	if len(failed) > 4 || ran != 40 {
		t.Errorf(
			"%d tasks failed on the broken machine, %d ran on the other one, want at most 4 and exactly 40",
			len(failed),
			ran,
		)
	}
}
