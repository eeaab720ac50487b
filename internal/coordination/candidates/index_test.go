package candidates

import (
	"math"
	"slices"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var capacity = machineregistry.Resources{CPUs: 64, GPUs: 8, MemoryGB: 256}

// newTestIndex returns an index, refreshed once, of a registry with empty machines of the given names.
func newTestIndex(t *testing.T, names ...string) (*Index, *machineregistry.Registry) {
	t.Helper()
	registry := machineregistry.New(1, config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10})
	registry.SetMachineTypes([]protocol.MachineType{{
		Name:     "g8",
		CPUs:     capacity.CPUs,
		GPUs:     capacity.GPUs,
		MemoryGB: capacity.MemoryGB,
		Zones:    []string{"a"},
	}})
	for _, name := range names {
		heartbeat(registry, 0, name, 1)
	}
	ix := NewIndex(registry)
	ix.Refresh(0)
	return ix, registry
}

func heartbeat(registry *machineregistry.Registry, now time.Duration, name string, sequence uint64) {
	registry.HandleHeartbeat(now, &protocol.WorkerHeartbeat{
		Machine:     name,
		Addr:        "x",
		Type:        "g8",
		Zone:        "a",
		Incarnation: 1,
		Sequence:    sequence,
	})
}

func demandNames(t *testing.T, list []*Candidate, want ...string) {
	t.Helper()
	var names []string
	for _, x := range list {
		names = append(names, x.Machine.Name)
	}
	if !slices.Equal(names, want) {
		t.Errorf("candidates %v, want %v", names, want)
	}
}

// TestRefreshUndoesTheCycle: what a cycle decided about a candidate ends with the next Refresh.
func TestRefreshUndoesTheCycle(t *testing.T) {
	ix, registry := newTestIndex(t, "m2", "m1")
	demandNames(t, ix.All(0), "m1", "m2")
	x := ix.Of(0, registry.Machine("m1"))
	ix.SetFree(x, machineregistry.Resources{CPUs: 1})
	ix.ClaimNomination(x)
	ix.HoldHeadroom(x, Headroom{Resources: capacity})
	if x.Free.CPUs != 1 || !x.NominationClaimed || !x.HasHeadroom() {
		t.Errorf("not changed: %+v", x)
	}
	ix.Refresh(0)
	if x.Free != capacity || x.NominationClaimed || x.HasHeadroom() {
		t.Errorf("not undone: %+v", x)
	}
}

// TestSilentMachine: a machine that has fallen silent since the last Refresh is found by searches no
// more than once, and comes back with its next heartbeat.
func TestSilentMachine(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2")
	later := time.Minute
	heartbeat(registry, later, "m2", 2)
	x := ix.Indexed(registry.Machine("m1"))
	if x == nil || ix.Of(later, x.Machine) != nil || ix.CheckSchedulable(later, x) {
		t.Error("a silent machine accepts tasks")
	}
	ix.RemoveUnschedulable(later)
	if ix.Indexed(x.Machine) != nil {
		t.Error("a silent machine is still in the index")
	}
	demandNames(t, ix.All(later), "m2")
	heartbeat(registry, later, "m1", 2)
	ix.Refresh(later)
	demandNames(t, ix.All(later), "m1", "m2")
}

// TestStaleIndexIsRebuilt: after a refused reservation the next Refresh starts from the registry alone.
func TestStaleIndexIsRebuilt(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2")
	wrong := ix.Of(0, registry.Machine("m1"))
	ix.Machines.Remove(wrong.Entry)
	ix.Refresh(0)
	demandNames(t, ix.All(0), "m2")
	ix.MarkStale()
	ix.Refresh(0)
	demandNames(t, ix.All(0), "m1", "m2")
	if ix.Of(0, registry.Machine("m1")) == wrong {
		t.Error("the wrong entry was kept")
	}
}

// TestVerify: a wrong entry is found by verification alone, and a removed machine leaves the index.
func TestVerify(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2", "m3")
	ix.Machines.Remove(ix.Of(0, registry.Machine("m2")).Entry)
	for range registry.Len() {
		ix.Verify(0)
	}
	demandNames(t, ix.All(0), "m1", "m2", "m3")
	registry.Remove(0, "m2")
	ix.Refresh(0)
	demandNames(t, ix.All(0), "m1", "m3")
	if ix.Machines.Len() != 2 {
		t.Errorf("%d machines indexed, want 2", ix.Machines.Len())
	}
}

func TestFreeBeyondHeadroom(t *testing.T) {
	ix, registry := newTestIndex(t, "m1")
	x := ix.Of(0, registry.Machine("m1"))
	held := machineregistry.Resources{GPUs: 3}
	ix.HoldHeadroom(x, Headroom{Priority: 1, StartLatencySeconds: 20, RecoveryPosition: 2, Resources: held})
	for _, test := range []struct {
		name             string
		priority         int
		startLatency     float64
		recoveryPosition int
		want             float64
	}{
		{"longer start latency", 1, 30, 2, 5},
		{"no objective", 1, math.Inf(1), 3, 5},
		{"same start latency", 1, 20, 2, 8},
		{"shorter start latency", 1, 10, 2, 8},
		{"another priority", 2, 30, 2, 8},
		{"earlier in the recovery order", 1, 30, 1, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := x.FreeBeyondHeadroom(
				test.priority,
				test.startLatency,
				test.recoveryPosition,
			).GPUs; got != test.want {
				t.Errorf("%v GPUs free, want %v", got, test.want)
			}
		})
	}
}
