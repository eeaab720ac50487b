package loadtest

import (
	"testing"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
)

// TestMirroredWorkersAreChecked: the invariants are checked for the tasks that workers in processes of
// their own report, as for all others: a task that starts while another worker has it, and one that
// still runs after its cancellation. Nothing is found of a task that ended before.
func TestMirroredWorkersAreChecked(t *testing.T) {
	kind := &protocol.MachineType{Name: workerProcessType, CPUs: 8, MemoryGB: 8}
	report := func(machine string, state protocol.TaskState) *protocol.WorkerHeartbeat {
		return &protocol.WorkerHeartbeat{
			Machine: machine,
			Tasks:   []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: state}},
		}
	}
	const second = time.Second
	for name, x := range map[string]struct {
		steps    func(w *simulation.World)
		breaches int
		on       int
	}{
		"one after the other": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, report("a", protocol.TaskExited))
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 0, 1},
		"a lease ran out": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, &protocol.WorkerHeartbeat{Machine: "a"})
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 0, 1},
		"both at once": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.ApplyHeartbeat(second, report("b", protocol.TaskRunning))
		}, 1, 2},
		"cancelled": {func(w *simulation.World) {
			w.ApplyHeartbeat(second, report("a", protocol.TaskRunning))
			w.Cancelled["j-1"] = second
			w.Advance(20 * second)
		}, 1, 1},
	} {
		w := simulation.NewWorld(10*second, second, second)
		w.Jobs["j-1"] = &protocol.Job{ID: "j-1", Shape: protocol.Array, TaskCount: 1, CPUs: 1}
		w.AddMirrored(0, "a", "zone", kind)
		w.AddMirrored(0, "b", "zone", kind)
		x.steps(w)
		if len(w.Violations) != x.breaches || w.TasksOnMachines() != x.on {
			t.Errorf("%s: broken %v, %d on machines", name, w.Violations, w.TasksOnMachines())
		}
	}
}
