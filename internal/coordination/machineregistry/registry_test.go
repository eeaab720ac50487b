package machineregistry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var testMachineType = protocol.MachineType{
	Name:             "g8",
	CPUs:             64,
	GPUs:             8,
	MemoryGB:         256,
	CacheGB:          10,
	FetchGBPerSecond: 1,
	BootSeconds:      30,
	Zones:            []string{"a"},
}

// newTestRegistry returns an empty registry that knows testMachineType.
func newTestRegistry(term uint64) *Registry {
	registry := New(term, config.Workers{
		HeartbeatSeconds: 1,
		LeaseSeconds:     10,
		GangWaitSeconds:  40,
		GangPeerSeconds:  4,
		CancelSeconds:    40,
	})
	registry.SetMachineTypes([]protocol.MachineType{testMachineType})
	return registry
}

// testHeartbeat returns a heartbeat of the machine "m1".
func testHeartbeat(incarnation, sequence, token uint64, tasks ...protocol.TaskStatus) *protocol.WorkerHeartbeat {
	return &protocol.WorkerHeartbeat{
		Machine:      "m1",
		Addr:         "a",
		Type:         "g8",
		Zone:         "a",
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: token,
		Tasks:        tasks,
	}
}

func testTaskID(n int) protocol.TaskID { return protocol.TaskID{JobID: "j-1", Index: n} }

// newTestPlacement returns a placement of the first attempt of a task on the machine "m1".
func newTestPlacement(n int, gpus float64) *Placement {
	return &Placement{
		Task:      testTaskID(n),
		Attempt:   1,
		Machine:   "m1",
		Resources: Resources{GPUs: gpus},
		Team:      "red",
		Job:       &protocol.Job{ID: "j-1", Image: "i", ImageGB: 1},
	}
}

// testStatus returns the status of the first attempt of a task.
func testStatus(n int, state protocol.TaskState) protocol.TaskStatus {
	return protocol.TaskStatus{TaskName: testTaskID(n).String(), Attempt: 1, State: state}
}

// testExit returns the status of the first attempt of a task that has exited.
func testExit(n int, cause protocol.ExitCause) protocol.TaskStatus {
	status := testStatus(n, protocol.TaskExited)
	status.Cause = cause
	return status
}

// mustReserve reserves capacity for one placement, which must succeed.
func mustReserve(t *testing.T, registry *Registry, now time.Duration, pl *Placement) {
	t.Helper()
	if !registry.Reserve(now, []*Placement{pl}) {
		t.Fatalf("no capacity for %v", pl.Task)
	}
}

// TestCapacityIsNeverReservedTwice reserves, starts and ends random placements. It checks that a reservation succeeds
// exactly if all its placements fit, and that the usage of the team is the sum of the reserved resources.
func TestCapacityIsNeverReservedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := newTestRegistry(1)
		now := time.Duration(0)
		sequence := uint64(1)
		registry.HandleHeartbeat(now, testHeartbeat(1, sequence, 0))
		reserved := map[int]*Placement{}
		reservedGPUs := func() (sum float64) {
			for _, pl := range reserved {
				sum += pl.Resources.GPUs
			}
			return sum
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += 100 * time.Millisecond
			if rapid.Bool().Draw(t, "reserve") {
				var placements []*Placement
				sum := 0.0
				for k := range rapid.IntRange(1, 3).Draw(t, "n") {
					pl := newTestPlacement(i*10+k, rapid.Float64Range(0.5, 5).Draw(t, "gpus"))
					sum += pl.Resources.GPUs
					placements = append(placements, pl)
				}
				used := reservedGPUs()
				if ok := registry.Reserve(now, placements); ok != (used+sum <= testMachineType.GPUs+1e-9) {
					t.Fatalf("reservation of %v GPUs with %v in use: succeeded %v, want the opposite", sum, used, ok)
				} else if ok {
					for _, pl := range placements {
						reserved[pl.Task.Index] = pl
						registry.AllowStart(pl)
					}
				}
				registry.TakeDueCommands(now, registry.Machine("m1"))
			} else {
				sequence++
				var exits []protocol.TaskStatus
				for n := range reserved {
					exits = append(exits, testExit(n, protocol.CauseDone))
				}
				clear(reserved)
				registry.HandleHeartbeat(now, testHeartbeat(1, sequence, 0, exits...))
			}
			used := reservedGPUs()
			if got := registry.TeamUsage("red").GPUs; got < used-1e-6 || got > used+1e-6 {
				t.Fatalf("team usage is %v GPUs, want the reserved %v", got, used)
			}
		}
	})
}
