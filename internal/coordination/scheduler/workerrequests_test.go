package scheduler

import (
	"fmt"
	"testing"

	"pinebay/internal/protocol"
)

// unansweredCommands passes events to a scheduler and holds the command batches that it sends, so that a test decides
// when they are answered. Writes succeed immediately.
type unansweredCommands struct {
	*harness
	inFlight []SendCommandBatch
	probes   []Probe  // in flight
	revoked  []string // machines whose batches were revoked
}

func (u *unansweredCommands) step(e Event) {
	for _, effect := range u.scheduler.Step(u.now, e) {
		switch o := effect.(type) {
		case Write:
			u.revision++
			u.step(TransactionOutcome{WriteID: o.ID, Succeeded: true, Revision: u.revision})
		case SendCommandBatch:
			u.inFlight = append(u.inFlight, o)
		case Probe:
			u.probes = append(u.probes, o)
		case RevokeCommandBatch:
			u.revoked = append(u.revoked, o.Machine)
		}
	}
}

// answerOldest lets the machine of the oldest batch execute and answer it.
func (u *unansweredCommands) answerOldest() {
	batch := u.inFlight[0]
	u.inFlight = u.inFlight[1:]
	u.executeCommands(batch.Machine, batch.Batch.FencingToken, batch.Batch.Commands)
	u.step(CommandBatchResult{Machine: batch.Machine, Acknowledged: true, Heartbeat: u.nextHeartbeat(batch.Machine)})
}

// TestProbesAndCommandsShareLimit guards against commands that wait behind probes of machines that do not answer: a
// probe counts as a request until its outcome is known, and probes leave half of the requests to commands.
func TestProbesAndCommandsShareLimit(t *testing.T) {
	const machines, limit = 12, 4
	h := newHarness(nil, "a")
	h.scheduler.workerRequests.limit = limit
	u := &unansweredCommands{harness: h}
	var list []protocol.ListedMachine
	for i := range machines {
		h.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
		name := fmt.Sprintf("silent-%02d", i)
		list = append(list, protocol.ListedMachine{Name: name, Addr: "x", State: protocol.MachineRunning})
	}
	u.step(MachinesListed{RequestedAt: h.now, Machines: list})
	if len(u.probes) != limit/probeDivisor {
		t.Fatalf("%d probes in flight, want %d", len(u.probes), limit/probeDivisor)
	}
	h.addJob(jobSpec("j-1", protocol.Array, "normal", machines, 8))
	h.now += CycleInterval
	u.step(Tick{})
	if len(u.probes)+len(u.inFlight) != limit {
		t.Fatalf("%d probes and %d command batches in flight, want %d in all", len(u.probes), len(u.inFlight), limit)
	}
	probed := map[string]bool{}
	for range 10 * machines {
		if len(u.probes)+len(u.inFlight) == 0 {
			break
		}
		if len(u.probes) > 0 {
			probe := u.probes[0]
			u.probes = u.probes[1:]
			probed[probe.Machine] = true
			u.step(ProbeReply{Machine: probe.Machine})
		}
		if len(u.inFlight) > 0 {
			u.answerOldest()
		}
		h.now += CycleInterval
		u.step(Tick{})
		if n := len(u.probes) + len(u.inFlight); n > limit || len(u.probes) > limit/probeDivisor {
			t.Fatalf("%d requests in flight, %d of them probes", n, len(u.probes))
		}
	}
	if len(probed) != machines || h.startedTasks("j-1") != machines {
		t.Errorf("%d of %d machines probed, %d tasks started", len(probed), machines, h.startedTasks("j-1"))
	}
}

// TestCommandsAreDecidedWhenTheyCanBeSent guards against start commands that are decided before they can be sent, and
// are sent although their job has been cancelled or has lost a task meanwhile (review/6).
func TestCommandsAreDecidedWhenTheyCanBeSent(t *testing.T) {
	const machines, limit = 12, 4
	for _, shape := range []protocol.Shape{protocol.Array, protocol.Gang, protocol.Service} {
		h := newHarness(nil, "a")
		h.scheduler.workerRequests.limit = limit
		for i := range machines {
			h.heartbeat(fmt.Sprintf("m%02d", i), "a", false)
		}
		u := &unansweredCommands{harness: h}
		h.addJob(jobSpec("j-0", shape, "normal", 1, 1)) // placed alone, so that the scheduler is idle afterwards
		h.runCycle()
		h.addJob(jobSpec("j-1", shape, "normal", machines-1, 8))
		h.now += CycleInterval
		u.step(Tick{})
		if len(u.inFlight) != limit {
			t.Fatalf("%s: %d command batches in flight, want %d", shape, len(u.inFlight), limit)
		}
		u.answerOldest()
		if len(u.inFlight) != limit {
			t.Errorf("%s: %d batches in flight after one was answered, want %d", shape, len(u.inFlight), limit)
		}
		started := h.startedTasks("j-1") + len(u.inFlight)
		u.step(CancellationIntent{ID: "j-1", ValidUntil: h.now + CycleInterval})
		for range 10 * machines {
			if len(u.inFlight) == 0 {
				break
			}
			u.answerOldest()
			u.step(Tick{})
			if len(u.inFlight) > limit {
				t.Fatalf("%s: %d command batches in flight, want at most %d", shape, len(u.inFlight), limit)
			}
		}
		if n := h.startedTasks("j-1"); n > started || n >= machines-1 {
			t.Errorf("%s: %d tasks started, %d of them after the cancellation", shape, n, n-started)
		}
		if h.scheduler.workerRequests.commands != 0 {
			t.Errorf("%s: %d requests counted, want none", shape, h.scheduler.workerRequests.commands)
		}
	}
}

// TestStopRevokesStartInFlight guards against start commands that wait for a connection to their machine and are sent
// although their placement was stopped meanwhile, whatever the reason. The machine itself is not to blame for a batch
// that was not sent, so it goes on getting tasks.
func TestStopRevokesStartInFlight(t *testing.T) {
	for name, stop := range map[string]func(u *unansweredCommands){
		"intent": func(u *unansweredCommands) {
			u.step(CancellationIntent{ID: "j-1", ValidUntil: u.now + CycleInterval})
		},
		"job end":  func(u *unansweredCommands) { u.step(JobEnded{ID: "j-1"}) },
		"eviction": func(u *unansweredCommands) { u.scheduler.evict(u.now, u.scheduler.jobs["j-1"].Placements[0], 0) },
		"gang stop": func(u *unansweredCommands) {
			u.scheduler.stopGang(u.now, u.scheduler.jobs["j-1"])
		},
	} {
		h := newHarness(nil, "a")
		h.heartbeat("m1", "a", false)
		u := &unansweredCommands{harness: h}
		h.addJob(jobSpec("j-1", protocol.Gang, "normal", 1, 1))
		h.now += CycleInterval
		u.step(Tick{})
		if len(u.inFlight) != 1 || len(u.revoked) > 0 {
			t.Fatalf(
				"%s: %d command batches in flight and %v revoked before the stop",
				name,
				len(u.inFlight),
				u.revoked,
			)
		}
		stop(u)
		u.step(Tick{})
		if len(u.revoked) != 1 || u.revoked[0] != "m1" {
			t.Errorf("%s: revoked batches of %v, want m1", name, u.revoked)
		}
		outdated := u.inFlight[0].Batch
		u.inFlight = nil
		u.step(CommandBatchResult{Machine: "m1", NotSent: true})
		u.step(Tick{})
		if len(u.inFlight) != 1 || u.inFlight[0].Batch.FencingToken <= outdated.FencingToken {
			t.Fatalf("%s: batches %+v, want one with a higher token than %d", name, u.inFlight, outdated.FencingToken)
		}
		for _, c := range u.inFlight[0].Batch.Commands {
			if c.Verb != protocol.VerbStop {
				t.Errorf("%s: command %s, want only stops", name, c.Verb)
			}
		}
		m := h.scheduler.machines.Machine("m1")
		if !h.scheduler.machines.Schedulable(h.now, m) {
			t.Errorf("%s: the machine gets no tasks after a batch that was not sent", name)
		}
		u.answerOldest()
		if m.PlacementCount() > 0 {
			t.Errorf("%s: %d placements left", name, m.PlacementCount())
		}
	}
}
