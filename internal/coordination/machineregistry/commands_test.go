package machineregistry

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// verbsOf lists the verbs of commands, each followed by a space.
func verbsOf(commands []protocol.Command) string {
	verbs := ""
	for _, c := range commands {
		verbs += string(c.Verb) + " "
	}
	return verbs
}

// TestMoreCommandsThanAReplyHolds: of more commands than fit into one reply, the next replies carry
// the rest, each command once.
func TestMoreCommandsThanAReplyHolds(t *testing.T) {
	const tasks = 1500
	registry := newTestRegistry(1)
	large := testMachineType
	large.GPUs = tasks
	registry.SetMachineTypes([]protocol.MachineType{large})
	m := registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0)).Machine
	for i := range tasks {
		pl := newTestPlacement(i, 1)
		mustReserve(t, registry, 0, pl)
		pl.Recorded = true
		registry.AllowStart(pl)
	}
	started := map[string]bool{}
	var listed []protocol.TaskStatus
	for round := uint64(2); len(started) < tasks && round < 20; round++ {
		now := time.Duration(round) * time.Second
		commands := registry.TakeDueCommands(now, m)
		raw, err := protocol.Encode(protocol.WorkerHeartbeatReply{FencingToken: 1, Commands: commands})
		if err != nil || len(raw) > protocol.MaxBodyBytes {
			t.Fatalf("%d commands in %d bytes: %v", len(commands), len(raw), err)
		}
		for _, c := range commands {
			if c.Verb != protocol.VerbRun || started[c.TaskName] {
				t.Fatalf("%+v", c)
			}
			started[c.TaskName] = true
			listed = append(listed, protocol.TaskStatus{
				TaskName: c.TaskName,
				Attempt:  c.Attempt,
				State:    protocol.TaskFetching,
			})
		}
		registry.HandleHeartbeat(now, testHeartbeat(1, round, 0, listed...))
	}
	if len(started) != tasks {
		t.Errorf("%d of %d tasks were started", len(started), tasks)
	}
}

// TestForgetWaitsForRecordAndFencing: the worker's entry of an exited task protects against delayed
// copies of its run command. The worker is told to forget it only once the outcome is recorded and
// the worker refuses tokens as low as that of the run.
func TestForgetWaitsForRecordAndFencing(t *testing.T) {
	registry := newTestRegistry(2)
	registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := registry.Machine("m1")
	pl := newTestPlacement(1, 1)
	mustReserve(t, registry, 0, pl)
	if got := verbsOf(registry.TakeDueCommands(0, m)); got != "" {
		t.Errorf("before its record: %q", got)
	}
	registry.AllowStart(pl)
	if got := verbsOf(registry.TakeDueCommands(0, m)); got != "run " {
		t.Errorf("after its record: %q", got)
	}
	exit := testExit(1, protocol.CauseStopped)
	runToken := registry.FencingToken(m)
	registry.HandleHeartbeat(time.Second, testHeartbeat(1, 2, runToken, exit))
	now := time.Hour
	registry.HandleHeartbeat(now, testHeartbeat(1, 3, runToken, exit))
	if got := verbsOf(registry.TakeDueCommands(now, m)); got != "" {
		t.Errorf("outcome not recorded: %q", got)
	}
	again := newTestPlacement(1, 1)
	again.Attempt = 2
	if registry.Reserve(now, []*Placement{again}) {
		t.Error("a new attempt was reserved although a copy of the old run may arrive")
	}
	registry.MarkOutcomeRecorded(pl)
	if got := verbsOf(registry.TakeDueCommands(now, m)); got != "" || registry.FencingToken(m) <= runToken {
		t.Errorf("outcome recorded: %q, token %d after %d", got, registry.FencingToken(m), runToken)
	}
	registry.HandleHeartbeat(now+1, testHeartbeat(1, 4, registry.FencingToken(m), exit))
	if got := verbsOf(registry.TakeDueCommands(now+1, m)); got != "forget " {
		t.Errorf("the worker has seen the new token: %q", got)
	}
	if !registry.Reserve(now+2, []*Placement{again}) {
		t.Error("not reserved once forgotten")
	}
}

// TestStopsOfUnreportedStarts: a run that the machine has not reported is never repeated in order
// to stop it. Its absence is a proof only in a heartbeat with a token above the run's, as the worker
// refuses the run from then on.
func TestStopsOfUnreportedStarts(t *testing.T) {
	registry := newTestRegistry(2)
	registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := registry.Machine("m1")
	heartbeat := func(now time.Duration, sequence, token uint64) []Observation {
		return registry.HandleHeartbeat(now, testHeartbeat(1, sequence, token)).Observations
	}
	pl := newTestPlacement(1, 1)
	mustReserve(t, registry, 0, pl)
	registry.AllowStart(pl)
	registry.TakeDueCommands(0, m)
	runToken := registry.FencingToken(m)
	if registry.Stop(1, pl, 0) {
		t.Fatal("a run that may be on its way was terminated")
	}
	if got := verbsOf(registry.TakeDueCommands(2, m)); got != "stop " || registry.FencingToken(m) <= runToken {
		t.Errorf("%q with token %d after %d", got, registry.FencingToken(m), runToken)
	}
	if got := heartbeat(3, 2, runToken); len(got) != 0 || pl.Terminated {
		t.Error("absence with the run's own token proved something")
	}
	if got := heartbeat(4, 3, registry.FencingToken(m)); len(got) != 1 || !got[0].Lost || !pl.Terminated {
		t.Errorf("absence with a higher token: %v", got)
	}

	adopted := newTestPlacement(3, 1)
	adopted.Incarnation = 1
	registry.Adopt(5, adopted)
	registry.Stop(5, adopted, 0)
	if got := heartbeat(6, 4, protocol.FencingToken(1, 9)); len(got) != 0 {
		t.Error("absence with an earlier leader's token proved something")
	}
	if got := heartbeat(7, 5, registry.FencingToken(m)); len(got) != 1 {
		t.Errorf("absence with this leader's token: %v", got)
	}

	neverSent := newTestPlacement(2, 1)
	mustReserve(t, registry, 8, neverSent)
	if !registry.Stop(8, neverSent, 0) || !neverSent.Terminated {
		t.Error("a run that was never sent was not terminated at once")
	}
}

// TestNewStartsAreNotDelayed: the pause after an answered command keeps a run from being repeated
// before the next heartbeat can confirm it. A new start must not wait for that pause: with a
// heartbeat every 5 s it is longer than some start latency objectives.
func TestNewStartsAreNotDelayed(t *testing.T) {
	registry := newTestRegistry(1)
	registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := registry.Machine("m1")
	first, second := newTestPlacement(1, 1), newTestPlacement(2, 1)
	now := 100 * time.Millisecond
	mustReserve(t, registry, now, first)
	mustReserve(t, registry, now, second)
	registry.AllowStart(first)
	if len(registry.MachinesToCommand(now)) != 1 || len(registry.TakeDueCommands(now, m)) != 1 {
		t.Fatal("the first start is not sent")
	}
	registry.CommandAnswered(now, m, true)
	if now += 10 * time.Millisecond; len(registry.MachinesToCommand(now)) != 0 {
		t.Error("a run is repeated at once")
	}
	registry.AllowStart(second)
	if len(registry.MachinesToCommand(now)) != 1 || len(registry.TakeDueCommands(now, m)) == 0 {
		t.Error("a new start waits for the pause after the last command")
	}
	// The same for a start that becomes due while a command is in flight.
	registry.CommandSent(m)
	third := newTestPlacement(3, 1)
	mustReserve(t, registry, now, third)
	registry.AllowStart(third)
	registry.CommandAnswered(now, m, true)
	if len(registry.MachinesToCommand(now)) != 1 {
		t.Error("a new start waits for the pause after the command that was in flight")
	}
}
