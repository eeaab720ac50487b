package loadtest

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// TestWorkerProcessInvariants checks that the model detects violations by tasks that worker processes report: a task
// that starts while another worker still runs it, and a task that still runs after its cancellation. A task that has
// ended before it starts on another worker is not a violation.
func TestWorkerProcessInvariants(t *testing.T) {
	machineType := &protocol.MachineType{Name: workerProcessType, CPUs: 8, MemoryGB: 8}
	heartbeat := func(machine string, state protocol.TaskState) *protocol.WorkerHeartbeat {
		return &protocol.WorkerHeartbeat{
			Machine: machine,
			Tasks:   []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: state}},
		}
	}
	const second = time.Second
	for name, x := range map[string]struct {
		steps      func(w *simulation.World)
		violations int
		onMachines int
	}{
		"one after the other": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, heartbeat("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, heartbeat("a", protocol.TaskExited))
			w.ApplyHeartbeat(second, heartbeat("b", protocol.TaskRunning))
		}, 0, 1},
		"a lease ran out": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, heartbeat("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, &protocol.WorkerHeartbeat{Machine: "a"})
			w.ApplyHeartbeat(second, heartbeat("b", protocol.TaskRunning))
		}, 0, 1},
		"both at once": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, heartbeat("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, heartbeat("b", protocol.TaskRunning))
		}, 1, 2},
		"cancelled": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, heartbeat("a", protocol.TaskRunning))
			w.Cancelled["j-1"] = second
			w.Advance(20 * second)
		}, 1, 1},
	} {
		w := simulation.NewWorld(10*second, second, second)
		w.Jobs["j-1"] = &protocol.Job{ID: "j-1", Shape: protocol.Array, TaskCount: 1, CPUs: 1}
		w.AddRemoteWorker(0, "a", "zone", machineType)
		w.AddRemoteWorker(0, "b", "zone", machineType)
		x.steps(w)
		if len(w.Violations) != x.violations || w.TasksOnMachines() != x.onMachines {
			t.Errorf(
				"%s: violations %v, %d tasks on machines, want the numbers in the row",
				name,
				w.Violations,
				w.TasksOnMachines(),
			)
		}
	}
}
