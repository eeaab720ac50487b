package machineregistry

import (
	"strings"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// verbsOf returns the verbs of commands, each followed by a space.
func verbsOf(commands []protocol.Command) string {
	verbs := ""
	for _, c := range commands {
		verbs += string(c.Verb) + " "
	}
	return verbs
}

// machinesToCommand returns the machines to command, with a limit that does not apply.
func machinesToCommand(registry *Registry, now time.Duration) []*Machine {
	machines, _ := registry.MachinesToCommand(now, registry.Len())
	return machines
}

// TestCommandsBeyondReplyLimit checks that commands that exceed the limit of one reply are sent in the next
// replies, each command once.
func TestCommandsBeyondReplyLimit(t *testing.T) {
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
			t.Fatalf(
				"%d commands in %d bytes, error %v, want a reply within the size limit",
				len(commands),
				len(raw),
				err,
			)
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
		t.Errorf("%d of %d tasks started", len(started), tasks)
	}
}

// TestForgetWaitsForRecordAndFencing checks that a worker is told to forget an exited task only once the outcome is
// recorded and the worker rejects the fencing token of the run command. Until then, the worker's entry of the task
// prevents a delayed copy of the run command from starting the attempt again.
func TestForgetWaitsForRecordAndFencing(t *testing.T) {
	registry := newTestRegistry(2)
	registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := registry.Machine("m1")
	pl := newTestPlacement(1, 1)
	mustReserve(t, registry, 0, pl)
	if got := verbsOf(registry.TakeDueCommands(0, m)); got != "" {
		t.Errorf("commands before the placement is recorded: %q, want none", got)
	}
	registry.AllowStart(pl)
	if got := verbsOf(registry.TakeDueCommands(0, m)); got != "run " {
		t.Errorf("commands after the placement is recorded: %q, want run", got)
	}
	exit := testExit(1, protocol.CauseStopped)
	runToken := registry.FencingToken(m)
	registry.HandleHeartbeat(time.Second, testHeartbeat(1, 2, runToken, exit))
	now := time.Hour
	registry.HandleHeartbeat(now, testHeartbeat(1, 3, runToken, exit))
	if got := verbsOf(registry.TakeDueCommands(now, m)); got != "" {
		t.Errorf("commands before the outcome is recorded: %q, want none", got)
	}
	again := newTestPlacement(1, 1)
	again.Attempt = 2
	if registry.Reserve(now, []*Placement{again}) {
		t.Error("new attempt reserved although a copy of the old run command may arrive")
	}
	registry.MarkOutcomeRecorded(pl)
	if got := verbsOf(registry.TakeDueCommands(now, m)); got != "" || registry.FencingToken(m) <= runToken {
		t.Errorf(
			"commands after the outcome is recorded: %q, token %d, want none and a token above %d",
			got,
			registry.FencingToken(m),
			runToken,
		)
	}
	registry.HandleHeartbeat(now+1, testHeartbeat(1, 4, registry.FencingToken(m), exit))
	if got := verbsOf(registry.TakeDueCommands(now+1, m)); got != "forget " {
		t.Errorf("commands after the worker has reported the new token: %q, want forget", got)
	}
	if !registry.Reserve(now+2, []*Placement{again}) {
		t.Error("new attempt not reserved after the old one was forgotten")
	}
}

// TestStopsOfUnreportedStarts checks that a run command that the machine has not reported is never repeated in order
// to stop the task. Absence of the task proves that it is gone only in a heartbeat with a higher fencing token than
// the run command's, because the worker rejects the run command from then on.
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
		t.Fatal("placement terminated although its run command may be in transit")
	}
	if got := verbsOf(registry.TakeDueCommands(2, m)); got != "stop " || registry.FencingToken(m) <= runToken {
		t.Errorf("commands %q with token %d, want stop with a token above %d", got, registry.FencingToken(m), runToken)
	}
	if got := heartbeat(3, 2, runToken); len(got) != 0 || pl.Terminated {
		t.Error("placement terminated after absence with the token of its run command")
	}
	if got := heartbeat(4, 3, registry.FencingToken(m)); len(got) != 1 || !got[0].Lost || !pl.Terminated {
		t.Errorf("observations after absence with a higher token: %v, want the placement lost", got)
	}

	adopted := newTestPlacement(3, 1)
	adopted.Incarnation = 1
	registry.Adopt(5, adopted)
	registry.Stop(5, adopted, 0)
	if got := heartbeat(6, 4, protocol.FencingToken(1, 9)); len(got) != 0 {
		t.Error("placement terminated after absence with a token of an earlier leader")
	}
	if got := heartbeat(7, 5, registry.FencingToken(m)); len(got) != 1 {
		t.Errorf("observations after absence with a token of this leader: %v, want one", got)
	}

	neverSent := newTestPlacement(2, 1)
	mustReserve(t, registry, 8, neverSent)
	if !registry.Stop(8, neverSent, 0) || !neverSent.Terminated {
		t.Error("placement not terminated immediately although its run command was never sent")
	}
}

// TestNewStartsAreNotDelayed checks that the pause after an answered command, which keeps a run command from being
// repeated before the next heartbeat can confirm it, does not delay new starts. With a heartbeat interval of 5 s,
// that pause is longer than some start latency objectives.
func TestNewStartsAreNotDelayed(t *testing.T) {
	registry := newTestRegistry(1)
	registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0))
	m := registry.Machine("m1")
	first, second := newTestPlacement(1, 1), newTestPlacement(2, 1)
	now := 100 * time.Millisecond
	mustReserve(t, registry, now, first)
	mustReserve(t, registry, now, second)
	registry.AllowStart(first)
	if len(machinesToCommand(registry, now)) != 1 || len(registry.TakeDueCommands(now, m)) != 1 {
		t.Fatal("first run command not sent")
	}
	registry.RecordCommandResult(now, m, true)
	if now += 10 * time.Millisecond; len(machinesToCommand(registry, now)) != 0 {
		t.Error("run command repeated immediately")
	}
	registry.AllowStart(second)
	due, commands := machinesToCommand(registry, now), registry.TakeDueCommands(now, m)
	if len(due) != 1 || len(commands) == 0 {
		t.Error("new start delayed by the pause after the last command")
	}
	// The same applies to a start that becomes due while a command is in flight.
	registry.RecordCommandSent(m, commands)
	third := newTestPlacement(3, 1)
	mustReserve(t, registry, now, third)
	registry.AllowStart(third)
	registry.RecordCommandResult(now, m, true)
	if len(machinesToCommand(registry, now)) != 1 {
		t.Error("new start delayed by the pause after the command that was in flight")
	}
}

// TestCommandsGoFirstToMachinesHeardLast checks that, if only some machines can be sent commands at once, those with
// the newest heartbeats go first, and that the others are reported to be waiting.
func TestCommandsGoFirstToMachinesHeardLast(t *testing.T) {
	registry := newTestRegistry(1)
	names := []string{"m1", "m2", "m3", "m4", "m5"}
	heardAt := []time.Duration{3, 5, 1, 5, 2}
	for i, name := range names {
		heartbeat := testHeartbeat(1, 1, 0)
		heartbeat.Machine = name
		registry.HandleHeartbeat(heardAt[i], heartbeat)
		pl := newTestPlacement(i, 1)
		pl.Machine = name
		mustReserve(t, registry, heardAt[i], pl)
		registry.AllowStart(pl)
	}
	for limit, want := range map[int]string{1: "m2", 2: "m2 m4", 3: "m1 m2 m4", 4: "m1 m2 m4 m5", 5: "m1 m2 m3 m4 m5"} {
		machines, more := registry.MachinesToCommand(10, limit)
		var got []string
		for _, m := range machines {
			got = append(got, m.Name)
		}
		if strings.Join(got, " ") != want || more != (limit < len(names)) {
			t.Errorf("limit %d: machines %v, more waiting: %v; want %s", limit, got, more, want)
		}
	}
}
