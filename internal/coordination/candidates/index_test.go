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

// newTestIndex returns a refreshed index of a registry with empty machines of the given names.
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

// heartbeat sends a heartbeat of a machine to the registry.
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

// checkNames checks the machine names of a list of candidates.
func checkNames(t *testing.T, list []*Candidate, want ...string) {
	t.Helper()
	var names []string
	for _, x := range list {
		names = append(names, x.Machine.Name)
	}
	if !slices.Equal(names, want) {
		t.Errorf("candidates %v, want %v", names, want)
	}
}

// TestRefreshUndoesTheCycle checks that Refresh undoes the changes that a cycle made to a candidate.
func TestRefreshUndoesTheCycle(t *testing.T) {
	ix, registry := newTestIndex(t, "m2", "m1")
	checkNames(t, ix.All(0), "m1", "m2")
	x := ix.CandidateFor(0, registry.Machine("m1"))
	ix.SetFree(x, machineregistry.Resources{CPUs: 1})
	ix.ClaimNomination(x)
	ix.HoldHeadroom(x, Headroom{Resources: capacity})
	if x.Free.CPUs != 1 || !x.NominationClaimed || !x.HasHeadroom() {
		t.Errorf("candidate not changed: %+v", x)
	}
	ix.Refresh(0)
	if x.Free != capacity || x.NominationClaimed || x.HasHeadroom() {
		t.Errorf("changes not undone: %+v", x)
	}
}

// TestUnreachableMachine checks that a machine that misses heartbeats after Refresh is removed from the index once a
// search has found it, and returns with its next heartbeat.
func TestUnreachableMachine(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2")
	later := time.Minute
	heartbeat(registry, later, "m2", 2)
	x := ix.Indexed(registry.Machine("m1"))
	if x == nil || ix.CandidateFor(later, x.Machine) != nil || ix.CheckSchedulable(later, x) {
		t.Error("machine without recent heartbeats accepts tasks")
	}
	ix.RemoveUnschedulable(later)
	if ix.Indexed(x.Machine) != nil {
		t.Error("machine without recent heartbeats is still indexed")
	}
	checkNames(t, ix.All(later), "m2")
	heartbeat(registry, later, "m1", 2)
	ix.Refresh(later)
	checkNames(t, ix.All(later), "m1", "m2")
}

// TestStaleIndexIsRebuilt checks that Refresh rebuilds a stale index from the registry alone.
func TestStaleIndexIsRebuilt(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2")
	old := ix.CandidateFor(0, registry.Machine("m1"))
	ix.Machines.Remove(old.Entry)
	ix.Refresh(0)
	checkNames(t, ix.All(0), "m2")
	ix.MarkStale()
	ix.Refresh(0)
	checkNames(t, ix.All(0), "m1", "m2")
	if ix.CandidateFor(0, registry.Machine("m1")) == old {
		t.Error("rebuild kept the old candidate")
	}
}

// TestVerify checks that Verify restores an entry that is missing from the index, and that a removed machine leaves
// the index.
func TestVerify(t *testing.T) {
	ix, registry := newTestIndex(t, "m1", "m2", "m3")
	ix.Machines.Remove(ix.CandidateFor(0, registry.Machine("m2")).Entry)
	for range registry.Len() {
		ix.Verify(0)
	}
	checkNames(t, ix.All(0), "m1", "m2", "m3")
	registry.Remove(0, "m2")
	ix.Refresh(0)
	checkNames(t, ix.All(0), "m1", "m3")
	if ix.Machines.Len() != 2 {
		t.Errorf("%d machines indexed, want 2", ix.Machines.Len())
	}
}

func TestFreeBeyondHeadroom(t *testing.T) {
	ix, registry := newTestIndex(t, "m1")
	x := ix.CandidateFor(0, registry.Machine("m1"))
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
