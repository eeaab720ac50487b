package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// TestGangRestartsWhole: when one of its tasks is gone, the others are stopped, and the gang starts again with one new
// attempt number, but only once all tasks of the old attempt are proven gone.
func TestGangRestartsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "tasks")
		b := newHarness([]config.Team{{Name: "red"}}, "a")
		for i := range n + 1 {
			b.heartbeat(fmt.Sprintf("m%d", i), "a", false)
		}
		b.addJob(jobSpec("j-1", protocol.Gang, "urgent", n, 8))
		b.runCycle()
		first := map[protocol.TaskID]string{}
		for id, m := range b.machineOf {
			first[id] = m
			b.heartbeat(m, "a", false, runningTask(id, 1))
		}
		if len(first) != n {
			t.Fatalf("%d of %d started", len(first), n)
		}
		lost := protocol.TaskID{JobID: "j-1", Index: rapid.IntRange(0, n-1).Draw(t, "lost")}
		clear(b.runs)
		causes := []protocol.ExitCause{protocol.CauseError, protocol.CausePeerLost, protocol.CauseIncomplete}
		cause := rapid.SampledFrom(causes).Draw(t, "cause")
		b.heartbeat(
			first[lost],
			"a",
			false,
			protocol.TaskStatus{TaskName: lost.String(), Attempt: 1, State: protocol.TaskExited, Cause: cause},
		)
		b.runCycle()
		if len(b.stops) != n-1 || len(b.runs) != 0 {
			t.Fatalf("stopped %v, started %v", b.stops, b.runs)
		}
		for id, m := range first {
			if id != lost {
				if len(b.runs) != 0 {
					t.Fatalf("restarted while %v is not gone", id)
				}
				b.heartbeat(
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
		// Workers forget the old attempts once they have seen a newer fencing token.
		for range 40 {
			for i := range n + 1 {
				b.heartbeat(fmt.Sprintf("m%d", i), "a", false)
			}
			b.runCycle()
		}
		if len(b.runs) != n {
			t.Fatalf("%d of %d restarted", len(b.runs), n)
		}
		for id, c := range b.runs {
			if c.Attempt != 2 {
				t.Fatalf("%v restarted as attempt %d", id, c.Attempt)
			}
		}
	})
}

// TestCompletionIsRecordedOnce: the last task's exit ends the job in the transaction that deletes its page, and nothing
// is written for the job after that.
func TestCompletionIsRecordedOnce(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.heartbeat("m1", "a", false)
	b.addJob(jobSpec("j-1", protocol.Array, "normal", 3, 1))
	b.runCycle()
	var tasks []protocol.TaskStatus
	for id, c := range b.runs {
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
	b.heartbeat("m1", "a", false, tasks[:2]...)
	b.runCycle()
	b.heartbeat("m1", "a", false, tasks...)
	b.runCycle()
	end := b.transactions[len(b.transactions)-1]
	if end.Then[0].DeleteKey != storage.LiveJobKey("j-1") || end.Then[1].PutKey != storage.EndedJobKey("j-1") ||
		end.Then[2].DeleteKey != productionPage("j-1") {
		t.Errorf("end %+v", end)
	}
	if end.If[0].Key != storage.TermKey || end.If[1].Key != storage.LiveJobKey("j-1") {
		t.Errorf("the end is not fenced: %+v", end.If)
	}
	n := len(b.transactions)
	b.runCycle()
	if len(b.transactions) != n || len(b.scheduler.jobs) != 0 {
		t.Errorf("%d writes after the end, %d jobs kept", len(b.transactions)-n, len(b.scheduler.jobs))
	}
}

// TestFaultyJobIsBackedOff: a job that fails everywhere backs off, and no machine is quarantined for it.
func TestFaultyJobIsBackedOff(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	for i := range 6 {
		b.heartbeat(fmt.Sprintf("m%d", i), "a", false)
	}
	b.addJob(jobSpec("j-1", protocol.Array, "normal", 1, 1))
	id := protocol.TaskID{JobID: "j-1"}
	starts := 0
	for range 120 {
		b.runCycle()
		for i := range 6 {
			m := fmt.Sprintf("m%d", i)
			if c, ok := b.runs[id]; ok && b.machineOf[id] == m {
				starts++
				delete(b.runs, id)
				b.heartbeat(
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
			b.heartbeat(m, "a", false)
		}
	}
	if starts < 3 || starts > 20 {
		t.Errorf("%d starts in two minutes", starts)
	}
	for i := range 6 {
		if m := b.scheduler.machines.Machine(fmt.Sprintf("m%d", i)); m == nil || m.Quarantined {
			t.Errorf("machine %d was quarantined for a faulty job", i)
		}
	}
}

// TestFailingMachineDoesNotAttractTasks: a machine that fails every task at once has free capacity again at once. Only
// a few tasks of a large array may fail on it one after the other, and the job is not considered faulty.
func TestFailingMachineDoesNotAttractTasks(t *testing.T) {
	b := newHarness([]config.Team{{Name: "red"}}, "a")
	b.apply(MachinesListed{})
	b.heartbeat("m1", "a", false)
	b.heartbeat("m2", "a", false)
	b.addJob(jobSpec("j-1", protocol.Array, "normal", 40, 2))
	failed, ran := map[protocol.TaskID]bool{}, 0
	for range 30 {
		b.runCycle()
		for id, c := range b.runs {
			delete(b.runs, id)
			r := protocol.TaskStatus{
				TaskName: id.String(),
				Attempt:  c.Attempt,
				State:    protocol.TaskExited,
				Cause:    protocol.CauseDone,
			}
			if b.machineOf[id] == "m1" {
				failed[id], r.Cause = true, protocol.CauseError
			} else {
				ran++
			}
			b.heartbeat(b.machineOf[id], "a", false, r)
		}
		b.heartbeat("m1", "a", false)
		b.heartbeat("m2", "a", false)
	}
	if len(failed) > 4 || ran != 40 {
		t.Errorf("%d tasks failed on the machine, %d ran elsewhere", len(failed), ran)
	}
}
