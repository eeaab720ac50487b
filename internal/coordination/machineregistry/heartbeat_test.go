package machineregistry

import (
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// TestUnchangedHeartbeat checks that an unchanged heartbeat that was answered by the owner counts as a heartbeat of
// the machine if the leader knows the same incarnation and no newer heartbeat. It proves nothing about tasks. The
// next heartbeat must reach the leader if the leader does not know the machine or has commands for it.
func TestUnchangedHeartbeat(t *testing.T) {
	registry := New(3, config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10})
	registered := time.Second
	if registry.HandleUnchangedHeartbeat(registered, "m1", 1, 1) {
		t.Error("accepted for a machine that is not registered")
	}
	registry.HandleHeartbeat(registered, testHeartbeat(2, 5, 7))
	now := registered + 5*time.Second
	for _, x := range []struct {
		name                  string
		incarnation, sequence uint64
		accepted              bool
		lastHeartbeat         time.Duration
	}{
		{"earlier incarnation", 1, 9, false, registered},
		{"later incarnation", 3, 1, false, registered},
		{"known already", 2, 5, true, registered},
		{"newer", 2, 6, true, now},
	} {
		accepted := registry.HandleUnchangedHeartbeat(now, "m1", x.incarnation, x.sequence)
		if last := registry.Machine("m1").LastHeartbeat; accepted != x.accepted || last != x.lastHeartbeat {
			t.Errorf("%s: accepted %v, last heartbeat at %v", x.name, accepted, last)
		}
	}
	pl := &Placement{Task: protocol.TaskID{JobID: "j-1"}, Attempt: 1, Machine: "m1", Incarnation: 2, StartAllowed: true}
	registry.Adopt(now, pl)
	if registry.HandleUnchangedHeartbeat(now, "m1", 2, 7) || pl.Terminated {
		t.Errorf("accepted although a command is due, or placement terminated (%v), want neither", pl.Terminated)
	}
}

// TestAbsenceProvesNoTermination checks that delayed heartbeats and heartbeats without the task never terminate a
// placement, while an exit, a later incarnation or the removal of the machine does.
func TestAbsenceProvesNoTermination(t *testing.T) {
	otherAttempt := testStatus(1, protocol.TaskExited)
	otherAttempt.Attempt = 7
	heartbeat := func(incarnation, sequence uint64, tasks ...protocol.TaskStatus) func(*Registry) []Observation {
		return func(registry *Registry) []Observation {
			return registry.HandleHeartbeat(5, testHeartbeat(incarnation, sequence, 0, tasks...)).Observations
		}
	}
	exit := testStatus(1, protocol.TaskExited)
	for _, x := range []struct {
		name       string
		event      func(*Registry) []Observation
		terminated bool
	}{
		{"newer heartbeat without it", heartbeat(3, 50), false},
		{"earlier incarnation", heartbeat(2, 99), false},
		{"another attempt exited", heartbeat(3, 50, otherAttempt), false},
		{"its attempt exited in another incarnation", heartbeat(2, 50, exit), false},
		{"its attempt exited, heartbeat delayed", func(registry *Registry) []Observation {
			registry.HandleHeartbeat(4, testHeartbeat(3, 60, 0))
			return heartbeat(3, 50, exit)(registry)
		}, true},
		{"later incarnation", heartbeat(4, 1), true},
		{"machine removed", func(registry *Registry) []Observation { return registry.Remove(5, "m1") }, true},
	} {
		registry := newTestRegistry(2)
		pl := newTestPlacement(1, 1)
		pl.Incarnation = 3
		registry.Adopt(0, pl)
		registry.HandleHeartbeat(1, testHeartbeat(3, 10, 0))
		observations := x.event(registry)
		terminated := len(observations) == 1 && observations[0].Placement == pl && pl.Terminated
		if terminated != x.terminated || pl.Terminated != x.terminated {
			t.Errorf(
				"%s: terminated %v, observations %v, want the placement and the observations to match the case",
				x.name,
				terminated,
				observations,
			)
		}
	}
}

// TestSteadyHeartbeatAllocations limits the allocations of a heartbeat that lists the same tasks as the previous one.
// Only the set of listed tasks and the sorted placements may be allocated.
func TestSteadyHeartbeatAllocations(t *testing.T) {
	const tasks, maxAllocations = 8, 4
	registry := newTestRegistry(1)
	m := registry.HandleHeartbeat(0, testHeartbeat(1, 1, 0)).Machine
	var listed []protocol.TaskStatus
	for i := range tasks {
		pl := newTestPlacement(i, 1)
		mustReserve(t, registry, 0, pl)
		registry.AllowStart(pl)
		listed = append(listed, testStatus(i, protocol.TaskRunning))
	}
	registry.TakeDueCommands(0, m)
	heartbeat := testHeartbeat(1, 2, 0, listed...)
	allocations := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		now := time.Duration(heartbeat.Sequence)
		registry.HandleHeartbeat(now, heartbeat)
		if commands := registry.TakeDueCommands(now, m); len(commands) > 0 {
			t.Fatalf("unexpected commands: %v", commands)
		}
		registry.MachinesToCommand(now, 1)
	})
	if allocations > maxAllocations {
		t.Errorf("%v allocations, want at most %d", allocations, maxAllocations)
	}
}
