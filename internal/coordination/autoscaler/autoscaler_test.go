package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

var (
	testMachineType = protocol.MachineType{
		Name:            "g8",
		CPUs:            64,
		GPUs:            8,
		MemoryGB:        256,
		HourlyPrice:     4,
		HourlySpotPrice: 1,
		BootSeconds:     30,
		Zones:           []string{"a", "b"},
	}
	testWorkerSettings = config.Workers{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40}
	testCloudSettings  = config.Cloud{RPS: 2, ListLagSeconds: 5}
)

// setup returns an autoscaler without a machine list and an empty registry with one machine type.
func setup() (*Autoscaler, *machineregistry.Registry) {
	registry := machineregistry.New(3, testWorkerSettings)
	registry.SetMachineTypes([]protocol.MachineType{testMachineType})
	scaler := New(3, testCloudSettings, testWorkerSettings, registry)
	return scaler, registry
}

// sendHeartbeat handles a heartbeat of a machine of type testMachineType, which registers the machine if necessary.
func sendHeartbeat(
	registry *machineregistry.Registry,
	now time.Duration,
	machine, zone string,
	sequence uint64,
) machineregistry.HeartbeatResult {
	return registry.HandleHeartbeat(now, &protocol.WorkerHeartbeat{
		Machine:     machine,
		Addr:        "x",
		Type:        testMachineType.Name,
		Zone:        zone,
		Incarnation: 1,
		Sequence:    sequence,
	})
}

func rentals(effects []Effect) (out []protocol.RentalRequest) {
	for _, e := range effects {
		if r, ok := e.(ScaleOut); ok {
			out = append(out, r.Rental)
		}
	}
	return out
}

func releasedMachines(effects []Effect) (out []string) {
	for _, e := range effects {
		if r, ok := e.(ScaleIn); ok {
			out = append(out, r.Machines...)
		}
	}
	return out
}

const s = time.Second

// TestScaleOutCoversMissingCapacity checks that nothing is rented before the machine list is known, that tasks share
// machines, that machines of pending rentals count as capacity, and that request IDs are never reused.
func TestScaleOutCoversMissingCapacity(t *testing.T) {
	scaler, _ := setup()
	j := &protocol.Job{ID: "j-1", GPUs: 2}
	demands := []Demand{{Job: j, Count: 10}}
	if got := rentals(scaler.Plan(1*s, demands)); got != nil {
		t.Errorf("rented before the machine list is known: %v", got)
	}
	scaler.HandleMachineList(2*s, 1*s, nil)
	got := rentals(scaler.Plan(2*s, demands))
	if n := totalCount(got); n != 3 {
		t.Errorf("10 tasks of 2 GPUs: rented %v, want 3 machines", got)
	}
	if again := rentals(scaler.Plan(3*s, demands)); again != nil {
		t.Errorf("rented again while the rentals are pending: %v", again)
	}
	for _, r := range got {
		scaler.HandleScaleOut(3*s, RentalOutcome{RequestID: r.RequestID, RequestedAt: 2 * s, Refused: true})
	}
	seen := map[string]bool{}
	for i := range 40 {
		for _, r := range rentals(scaler.Plan(time.Duration(4+i)*s, demands)) {
			if seen[r.RequestID] {
				t.Errorf("request ID %s is reused", r.RequestID)
			}
			seen[r.RequestID] = true
			scaler.HandleScaleOut(time.Duration(4+i)*s, RentalOutcome{RequestID: r.RequestID, Refused: true})
		}
	}
	if len(seen) < 2 || len(seen) > 30 {
		t.Errorf("%d requests in 40 s while all are refused, want 2 to 30", len(seen))
	}
}

func totalCount(requests []protocol.RentalRequest) int {
	n := 0
	for _, r := range requests {
		n += r.Count
	}
	return n
}

// TestSpotOnlyForCheckpointableJobs checks that spot machines are rented only for jobs that allow them and save
// checkpoints.
func TestSpotOnlyForCheckpointableJobs(t *testing.T) {
	for _, test := range []struct {
		job  protocol.Job
		spot bool
	}{
		{protocol.Job{GPUs: 8, SpotAllowed: true, CheckpointIntervalSeconds: 10}, true},
		{protocol.Job{GPUs: 8, SpotAllowed: true}, false},
		{protocol.Job{GPUs: 8, CheckpointIntervalSeconds: 10}, false},
	} {
		scaler, _ := setup()
		scaler.HandleMachineList(1, 0, nil)
		got := rentals(scaler.Plan(2, []Demand{{Job: &test.job, Count: 1}}))
		if len(got) != 1 || got[0].Spot != test.spot {
			t.Errorf(
				"job %+v: rented %v, want one machine, a spot one only if allowed and checkpoints are saved",
				test.job,
				got,
			)
		}
	}
}

// TestListProvesOnlyLaterAbsence checks that a machine counts as terminated only if it is unreachable and missing from
// a list that describes a later state than a list that contained it. Lists lag, and one may describe an earlier state
// than the one before.
func TestListProvesOnlyLaterAbsence(t *testing.T) {
	scaler, registry := setup()
	m1 := []protocol.ListedMachine{{Name: "m1", Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineRunning}}
	scaler.HandleMachineList(10*s, 9*s, m1)
	if terminated := scaler.HandleMachineList(19*s, 18*s, nil); terminated != nil {
		t.Errorf("after a stale list, %v count as terminated, want none", terminated)
	}
	sendHeartbeat(registry, 25*s, "m1", "a", 1)
	if terminated := scaler.HandleMachineList(30*s, 29*s, nil); terminated != nil {
		t.Errorf("machines that send heartbeats count as terminated: %v", terminated)
	}
	if terminated := scaler.HandleMachineList(50*s, 49*s, nil); len(terminated) != 1 {
		t.Errorf("terminated machines %v, want m1", terminated)
	}
}

// TestScaleIn checks that idle machines, failed ones and those that never register are released. Unreachable machines
// are fenced after the timeout, unless so many are unreachable at once that their zone counts as unreachable.
func TestScaleIn(t *testing.T) {
	scaler, registry := setup()
	scaler.HandleMachineList(
		1*s,
		0,
		[]protocol.ListedMachine{{Name: "bad", Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineFailed}},
	)
	if got := releasedMachines(scaler.Plan(2*s, nil)); len(got) != 1 || got[0] != "bad" {
		t.Errorf("released %v, want the failed machine", got)
	}
	scaler.HandleScaleIn(2*s, []string{"bad"}, true)
	registry.Remove(2*s, "bad")
	scaler.HandleMachineList(
		3*s,
		2*s,
		[]protocol.ListedMachine{{Name: "bad", Type: "g8", Zone: "a", State: protocol.MachineRunning}},
	)
	if registry.Machine("bad") != nil {
		t.Error("a stale list added a released machine again")
	}
	registry.GetOrCreate(3*s, "boot").Type = "g8"
	if got := releasedMachines(scaler.Plan(100*s, nil)); got != nil {
		t.Errorf("released while still booting: %v", got)
	}
	if got := releasedMachines(scaler.Plan(200*s, nil)); len(got) != 1 || got[0] != "boot" {
		t.Errorf("released %v, want the machine that never registered", got)
	}

	for _, test := range []struct{ machines, unreachable, reconnected, want int }{
		{12, 1, 0, 1},
		{12, 3, 0, 3},
		{12, 8, 0, 0},
		{12, 8, 7, 0}, // still unreachable when only one machine has not reconnected yet
		{300, 60, 0, 60},
	} {
		scaler, registry := setup()
		scaler.HandleMachineList(1*s, 0, nil)
		sendAll := func(now time.Duration, from int, seq uint64) {
			for i := from; i < test.machines; i++ {
				sendHeartbeat(registry, now, fmt.Sprintf("m%03d", i), "a", seq)
			}
		}
		sendAll(10*s, 0, 1)
		sendAll(16*s, test.unreachable, 2)
		if got := releasedMachines(scaler.Plan(16*s, nil)); got != nil {
			t.Errorf(
				"%d of %d unreachable for less than the timeout: fenced %v, want none",
				test.unreachable,
				test.machines,
				got,
			)
		}
		sendAll(18*s, test.unreachable-test.reconnected, 3)
		if got := releasedMachines(scaler.Plan(18*s, nil)); len(got) != test.want {
			t.Errorf(
				"%d of %d unreachable, %d reconnected: fenced %v, want all, or none if the whole zone is",
				test.unreachable,
				test.machines,
				test.reconnected,
				got,
			)
		}
	}
}

// TestUnreachableZoneIsNotFenced checks that no machine of a zone is fenced when the whole zone loses its connection,
// whatever the intervals in the settings. Its machines then become unreachable one after the other, each when its next
// heartbeat is due, so the first could be fenced before the others show that the zone is unreachable.
func TestUnreachableZoneIsNotFenced(t *testing.T) {
	for _, w := range []config.Workers{
		{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40},
		{HeartbeatSeconds: 5, LeaseSeconds: 29, CancelSeconds: 59},
		{HeartbeatSeconds: 2.5, LeaseSeconds: 15.25, CancelSeconds: 45},
		{HeartbeatSeconds: 3, LeaseSeconds: 8, CancelSeconds: 40},
	} {
		registry := machineregistry.New(3, w)
		scaler := New(3, testCloudSettings, w, registry)
		registry.SetMachineTypes([]protocol.MachineType{testMachineType})
		scaler.HandleMachineList(1*s, 0, nil)
		const n = 200
		for i := range n {
			zone, now := "a", 10*s+config.Seconds(1.25*w.HeartbeatSeconds*float64(i)/n)
			if i%2 == 0 {
				zone = "b"
			}
			sendHeartbeat(registry, now, fmt.Sprintf("m%03d", i), zone, 1)
		}
		for now := 11 * s; now < 10*s+config.Seconds(2*w.LeaseSeconds); now += s {
			for i := 0; i < n; i += 2 { // zone b stays connected
				sendHeartbeat(registry, now, fmt.Sprintf("m%03d", i), "b", 2+uint64(now))
			}
			for _, name := range releasedMachines(scaler.Plan(now, nil)) {
				if registry.Machine(name).Zone == "a" {
					t.Fatalf(
						"heartbeat interval %v s, lease %v s: %s of the unreachable zone fenced at %v, want none",
						w.HeartbeatSeconds,
						w.LeaseSeconds,
						name,
						now,
					)
				}
			}
		}
	}
}

// TestCancelledTasksAreFencedInAnUnreachableZone checks that in an unreachable zone only machines with an overdue
// cancelled task are fenced, including while zone failover decides about the zone's machines.
func TestCancelledTasksAreFencedInAnUnreachableZone(t *testing.T) {
	t.Run("no policy", func(t *testing.T) { checkCancelledTasksAreFenced(t, nil) })
	t.Run("zone failover decides", func(t *testing.T) {
		checkCancelledTasksAreFenced(t, map[string]ZonePolicy{"a": {NoFencingUntil: time.Hour}})
	})
}

func checkCancelledTasksAreFenced(t *testing.T, policies map[string]ZonePolicy) {
	t.Helper()
	scaler, registry := setup()
	scaler.SetZonePolicies(policies)
	scaler.HandleMachineList(1*s, 0, nil)
	for i := range 9 {
		sendHeartbeat(registry, 10*s, fmt.Sprintf("m%d", i), "a", 1)
	}
	pl := &machineregistry.Placement{
		Task:    protocol.TaskID{JobID: "j-1"},
		Attempt: 1,
		Machine: "m3",
		Job:     &protocol.Job{ID: "j-1"},
	}
	if !registry.Reserve(10*s, []*machineregistry.Placement{pl}) {
		t.Fatal("capacity was not reserved")
	}
	pl.FenceAt = 20 * s
	for now := 11 * s; now < 30*s; now += s {
		got := releasedMachines(scaler.Plan(now, nil))
		if (now < 20*s) != (len(got) == 0) {
			t.Fatalf("released %v at %v, want none before 20 s and m3 from then on", got, now)
		}
		if len(got) > 0 {
			if len(got) != 1 || got[0] != "m3" {
				t.Errorf("released %v, want m3", got)
			}
			return
		}
	}
}

// TestReleasedMachinesAreForgotten checks that the number of remembered released machines is bounded.
func TestReleasedMachinesAreForgotten(t *testing.T) {
	scaler, _ := setup()
	for i := range 1000 {
		scaler.HandleScaleIn(time.Duration(i)*10*s, []string{fmt.Sprintf("m%d", i)}, true)
	}
	if n := len(scaler.list.releasedAt); n > 100 || !scaler.RecentlyReleased("m999") {
		t.Errorf("%d released machines remembered, want at most 100, among them the last one", n)
	}
}

// TestHeadroomCountsPreemptibleWork checks that capacity held by lower-priority tasks that can save a checkpoint counts
// as headroom, unless the headroom must be free.
func TestHeadroomCountsPreemptibleWork(t *testing.T) {
	for _, test := range []struct {
		shape      protocol.Shape
		checkpoint float64
		mustBeFree bool
		want       int
	}{
		{protocol.Array, 10, false, 0},
		{protocol.Gang, 10, false, 0},
		{protocol.Gang, 0, false, 1},
		{protocol.Service, 10, false, 1},
		{protocol.Array, 10, true, 1},
		{protocol.Gang, 10, true, 1},
	} {
		scaler, registry := setup()
		scaler.HandleMachineList(2*s, 1*s, nil)
		sendHeartbeat(registry, 2*s, "m1", "a", 1)
		low := &protocol.Job{
			ID:                        "j-1",
			Shape:                     test.shape,
			Priority:                  "normal",
			GPUs:                      8,
			CheckpointIntervalSeconds: test.checkpoint,
		}
		pl := &machineregistry.Placement{
			Task:          protocol.TaskID{JobID: "j-1"},
			Attempt:       1,
			Machine:       "m1",
			Resources:     machineregistry.TaskResources(low),
			PriorityLevel: low.Priority.Rank(),
			Job:           low,
		}
		if !registry.Reserve(2*s, []*machineregistry.Placement{pl}) {
			t.Fatal("capacity was not reserved")
		}
		high := &protocol.Job{ID: "j-2", Shape: protocol.Service, Priority: "critical", GPUs: 8}
		if n := totalCount(
			rentals(scaler.Plan(3*s, []Demand{{Job: high, Count: 1, Headroom: true, MustBeFree: test.mustBeFree}})),
		); n != test.want {
			t.Errorf("%+v: rented %d machines, want the number in the row", test, n)
		}
	}
}

// TestUnreachableHeadroomStays checks that idle machines are neither released nor replaced while they are briefly
// unreachable, as when the leader loses its connection to all workers. In that situation the headroom of all zones was
// once released.
func TestUnreachableHeadroomStays(t *testing.T) {
	scaler, registry := setup()
	scaler.HandleMachineList(1*s, 0, nil)
	demands := []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: 6, Headroom: true}}
	for i := range 6 {
		sendHeartbeat(registry, 100*s, fmt.Sprintf("m%d", i), "a", 1)
	}
	for now := 101 * s; now < 110*s; now += s {
		effects := scaler.Plan(now, demands)
		if got := releasedMachines(effects); got != nil {
			t.Errorf("at %v: released %v, want no idle machine released", now, got)
		}
		if got := rentals(effects); got != nil {
			t.Errorf("at %v: rented %v, want no idle machine replaced", now, got)
		}
	}
}

// TestZonePolicies checks that nothing is rented in a zone with NoScaleOut, and one machine at a time in a zone with
// ProbeOnly.
func TestZonePolicies(t *testing.T) {
	scaler, _ := setup()
	scaler.HandleMachineList(1*s, 0, nil)
	requestsPerZone := func(policy ZonePolicy, now time.Duration) map[string]int {
		scaler.SetZonePolicies(map[string]ZonePolicy{"a": policy})
		counts := map[string]int{}
		demands := []Demand{
			{Job: &protocol.Job{ID: "j-1", GPUs: 8, Zone: "a"}, Count: 3},
			{Job: &protocol.Job{ID: "j-2", GPUs: 8, Zone: "b"}, Count: 2},
		}
		for _, r := range rentals(scaler.Plan(now, demands)) {
			counts[r.Zone] += r.Count
			scaler.HandleScaleOut(now, RentalOutcome{RequestID: r.RequestID, RequestedAt: now})
		}
		clear(scaler.backoff)
		return counts
	}
	for i, row := range []struct {
		policy ZonePolicy
		want   int
	}{{ZonePolicy{NoScaleOut: true}, 0}, {ZonePolicy{ProbeOnly: true}, 1}, {ZonePolicy{}, 3}} {
		if got := requestsPerZone(row.policy, time.Duration(2+i)*s); got["a"] != row.want || got["b"] != 2 {
			t.Errorf("policy %+v: rented %v, want %d in a and 2 in b", row.policy, got, row.want)
		}
	}
}

// TestUnreachableMachinesUnderAPolicy checks that unreachable machines do not count as capacity in a zone with
// IgnoreUnreachable, and are not fenced before NoFencingUntil.
func TestUnreachableMachinesUnderAPolicy(t *testing.T) {
	scaler, registry := setup()
	scaler.HandleMachineList(1*s, 0, nil)
	for i := range 4 {
		sendHeartbeat(registry, 10*s, fmt.Sprintf("m%d", i), "a", 1)
	}
	scaler.SetZonePolicies(map[string]ZonePolicy{"a": {IgnoreUnreachable: true, NoFencingUntil: 60 * s}})
	for now := 11 * s; now < 60*s; now += s {
		effects := scaler.Plan(now, []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: 1}})
		if got := releasedMachines(effects); len(got) > 0 {
			t.Fatalf("fenced %v at %v, want none before NoFencingUntil", got, now)
		}
		if got := rentals(effects); now == 20*s && scaler.pendingRentals["r-3-1"].count != 1 {
			t.Errorf("unreachable machines count as capacity: rented %v, want one machine", got)
		}
	}
	if got := releasedMachines(scaler.Plan(120*s, nil)); len(got) == 0 {
		t.Error("not fenced after NoFencingUntil")
	}
}
