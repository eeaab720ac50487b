package machineregistry

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
)

// TestMoreCommandsThanAReplyHolds: a machine with more to be told than fits one answer is told the
// rest with the next ones, each command once.
func TestMoreCommandsThanAReplyHolds(t *testing.T) {
	const tasks = 1500
	p := newTestRegistry(1)
	small := testMachineType
	small.GPUs = tasks
	p.SetMachineTypes([]protocol.MachineType{small})
	m := p.HandleHeartbeat(0, testHeartbeat(1, 1, 0)).Machine
	for i := range tasks {
		pl := newTestPlacement(i, 1)
		if !p.Reserve(0, []*Placement{pl}) {
			t.Fatalf("no room for task %d", i)
		}
		pl.Recorded = true
		p.AllowStart(pl)
	}
	told := map[string]bool{}
	var states []protocol.TaskStatus
	for round := uint64(2); len(told) < tasks && round < 20; round++ {
		orders := p.TakeDueCommands(time.Duration(round)*time.Second, m)
		if raw, err := protocol.Encode(
			protocol.WorkerHeartbeatReply{FencingToken: 1, Commands: orders},
		); err != nil ||
			len(raw) > protocol.MaxBodyBytes {
			t.Fatalf("%d commands in %d bytes: %v", len(orders), len(raw), err)
		}
		for _, o := range orders {
			if o.Verb != protocol.VerbRun || told[o.TaskName] {
				t.Fatalf("%+v", o)
			}
			told[o.TaskName] = true
			states = append(
				states,
				protocol.TaskStatus{TaskName: o.TaskName, Attempt: o.Attempt, State: protocol.TaskFetching},
			)
		}
		p.HandleHeartbeat(time.Duration(round)*time.Second, testHeartbeat(1, round, 0, states...))
	}
	if len(told) != tasks {
		t.Errorf("%d of %d tasks were started", len(told), tasks)
	}
}
