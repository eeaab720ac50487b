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

func setup() (*Autoscaler, *machineregistry.Registry) {
	p := machineregistry.New(3, testWorkerSettings)
	p.SetMachineTypes([]protocol.MachineType{testMachineType})
	f := New(3, testCloudSettings, testWorkerSettings)
	return f, p
}

func rentals(effects []Effect) (out []protocol.Rental) {
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

// TestScaleOutCoversMissingCapacity: nothing is rented before the list is known, tasks
// share machines, what is on its way counts, and names are never reused.
func TestScaleOutCoversMissingCapacity(t *testing.T) {
	f, p := setup()
	j := &protocol.Job{ID: "j-1", GPUs: 2}
	want := []Demand{{Job: j, Count: 10}}
	if got := rentals(f.Plan(1*s, p, want)); got != nil {
		t.Errorf("before the list: %v", got)
	}
	f.HandleList(2*s, 1*s, p, nil)
	got := rentals(f.Plan(2*s, p, want))
	if n := totalCount(got); n != 3 {
		t.Errorf("10 tasks of 2 GPUs: %v", got)
	}
	if again := rentals(f.Plan(3*s, p, want)); again != nil {
		t.Errorf("rented twice: %v", again)
	}
	for _, r := range got {
		f.HandleScaleOut(3*s, 2*s, p, r.RequestID, nil, true)
	}
	seen := map[string]bool{}
	for i := range 40 {
		for _, r := range rentals(f.Plan(time.Duration(4+i)*s, p, want)) {
			if seen[r.RequestID] {
				t.Errorf("name %s again", r.RequestID)
			}
			seen[r.RequestID] = true
			f.HandleScaleOut(time.Duration(4+i)*s, 0, p, r.RequestID, nil, true)
		}
	}
	if len(seen) < 2 || len(seen) > 30 {
		t.Errorf("%d tries in 40 s against refusals", len(seen))
	}
}

func totalCount(rs []protocol.Rental) int {
	n := 0
	for _, r := range rs {
		n += r.Count
	}
	return n
}

// TestSpotOnlyForCheckpointableJobs: spot is rented only for jobs that allow it
// and save their progress.
func TestSpotOnlyForCheckpointableJobs(t *testing.T) {
	for _, x := range []struct {
		job  protocol.Job
		spot bool
	}{
		{protocol.Job{GPUs: 8, SpotAllowed: true, CheckpointIntervalSeconds: 10}, true},
		{protocol.Job{GPUs: 8, SpotAllowed: true}, false},
		{protocol.Job{GPUs: 8, CheckpointIntervalSeconds: 10}, false},
	} {
		f, p := setup()
		f.HandleList(1, 0, p, nil)
		got := rentals(f.Plan(2, p, []Demand{{Job: &x.job, Count: 1}}))
		if len(got) != 1 || got[0].Spot != x.spot {
			t.Errorf("%+v: %v", x.job, got)
		}
	}
}

// TestListProvesOnlyLaterAbsence: lists lag and go back in time, so a machine is
// gone only when it is missing from a list that describes a later moment than
// one that had it, and only if it is silent.
func TestListProvesOnlyLaterAbsence(t *testing.T) {
	f, p := setup()
	m1 := []protocol.ListedMachine{{Name: "m1", Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineRunning}}
	f.HandleList(10*s, 9*s, p, m1)
	if gone := f.HandleList(19*s, 18*s, p, nil); gone != nil {
		t.Errorf("an old list proved %v", gone)
	}
	p.HandleHeartbeat(
		25*s,
		&protocol.WorkerHeartbeat{Machine: "m1", Addr: "x", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 1},
	)
	if gone := f.HandleList(30*s, 29*s, p, nil); gone != nil {
		t.Errorf("a machine that speaks is gone: %v", gone)
	}
	if gone := f.HandleList(50*s, 49*s, p, nil); len(gone) != 1 {
		t.Errorf("missing for good: %v", gone)
	}
}

// TestScaleIn: machines that are idle, never came up, or failed go back; one
// silent machine is fenced after a lease, many at once are not.
func TestScaleIn(t *testing.T) {
	f, p := setup()
	f.HandleList(
		1*s,
		0,
		p,
		[]protocol.ListedMachine{{Name: "bad", Addr: "x", Type: "g8", Zone: "a", State: protocol.MachineFailed}},
	)
	if got := releasedMachines(f.Plan(2*s, p, nil)); len(got) != 1 || got[0] != "bad" {
		t.Errorf("failed machine: %v", got)
	}
	f.HandleScaleIn(2*s, []string{"bad"}, true)
	p.Remove(2*s, "bad")
	f.HandleList(
		3*s,
		2*s,
		p,
		[]protocol.ListedMachine{{Name: "bad", Type: "g8", Zone: "a", State: protocol.MachineRunning}},
	)
	if p.Machine("bad") != nil {
		t.Error("an old list brought a returned machine back")
	}
	p.GetOrCreate(3*s, "boot").Type = "g8"
	if got := releasedMachines(f.Plan(100*s, p, nil)); got != nil {
		t.Errorf("still booting: %v", got)
	}
	if got := releasedMachines(f.Plan(200*s, p, nil)); len(got) != 1 || got[0] != "boot" {
		t.Errorf("never came up: %v", got)
	}

	for _, x := range []struct{ machines, silent, back, want int }{
		{12, 1, 0, 1},
		{12, 3, 0, 3},
		{12, 8, 0, 0},
		{12, 8, 7, 0}, // the last one to find its way is none to be fenced
		{300, 60, 0, 60},
	} {
		f, p := setup()
		f.HandleList(1*s, 0, p, nil)
		hear := func(now time.Duration, from int, seq uint64) {
			for i := from; i < x.machines; i++ {
				p.HandleHeartbeat(
					now,
					&protocol.WorkerHeartbeat{
						Machine:     fmt.Sprintf("m%03d", i),
						Addr:        "x",
						Type:        "g8",
						Zone:        "a",
						Incarnation: 1,
						Sequence:    seq,
					},
				)
			}
		}
		hear(10*s, 0, 1)
		hear(16*s, x.silent, 2)
		if got := releasedMachines(f.Plan(16*s, p, nil)); got != nil {
			t.Errorf("%d of %d just silent: fenced %v", x.silent, x.machines, got)
		}
		hear(18*s, x.silent-x.back, 3)
		if got := releasedMachines(f.Plan(18*s, p, nil)); len(got) != x.want {
			t.Errorf("%d of %d silent, %d back: fenced %v", x.silent, x.machines, x.back, got)
		}
	}
}

// TestSilentZoneIsNotFenced: when a zone is cut off, machines fall silent one after
// the other, each when its next report would have been due. None is fenced before
// it is plain that all do, whatever the times of the settings.
func TestSilentZoneIsNotFenced(t *testing.T) {
	for _, w := range []config.Workers{
		{HeartbeatSeconds: 1, LeaseSeconds: 10, CancelSeconds: 40},
		{HeartbeatSeconds: 5, LeaseSeconds: 29, CancelSeconds: 59},
		{HeartbeatSeconds: 2.5, LeaseSeconds: 15.25, CancelSeconds: 45},
		{HeartbeatSeconds: 3, LeaseSeconds: 8, CancelSeconds: 40},
	} {
		f, p := New(3, testCloudSettings, w), machineregistry.New(3, w)
		p.SetMachineTypes([]protocol.MachineType{testMachineType})
		f.HandleList(1*s, 0, p, nil)
		const n = 200
		for i := range n {
			zone, now := "a", 10*s+config.Seconds(1.25*w.HeartbeatSeconds*float64(i)/n)
			if i%2 == 0 {
				zone = "b"
			}
			p.HandleHeartbeat(
				now,
				&protocol.WorkerHeartbeat{
					Machine:     fmt.Sprintf("m%03d", i),
					Addr:        "x",
					Type:        "g8",
					Zone:        zone,
					Incarnation: 1,
					Sequence:    1,
				},
			)
		}
		for now := 11 * s; now < 10*s+config.Seconds(2*w.LeaseSeconds); now += s {
			for i := 0; i < n; i += 2 { // zone b goes on
				p.HandleHeartbeat(
					now,
					&protocol.WorkerHeartbeat{
						Machine:     fmt.Sprintf("m%03d", i),
						Addr:        "x",
						Type:        "g8",
						Zone:        "b",
						Incarnation: 1,
						Sequence:    2 + uint64(now),
					},
				)
			}
			for _, name := range releasedMachines(f.Plan(now, p, nil)) {
				if p.Machine(name).Zone == "a" {
					t.Fatalf("report %v s, lease %v s: %s fenced at %v", w.HeartbeatSeconds, w.LeaseSeconds, name, now)
				}
			}
		}
	}
}

// TestCancelledTasksAreFencedInAnUnreachableZone: when most of a zone is silent it is given
// time, but not those machines that may still have a cancelled task beyond its day. That
// holds as well while somebody else decides on the zone's machines.
func TestCancelledTasksAreFencedInAnUnreachableZone(t *testing.T) {
	t.Run("usual", func(t *testing.T) { checkCancelledTasksAreFenced(t, nil) })
	t.Run("kept", func(t *testing.T) {
		checkCancelledTasksAreFenced(t, map[string]ZonePolicy{"a": {NoFencingUntil: time.Hour}})
	})
}

func checkCancelledTasksAreFenced(t *testing.T, policies map[string]ZonePolicy) {
	f, p := setup()
	f.SetZonePolicies(policies)
	f.HandleList(1*s, 0, p, nil)
	for i := range 9 {
		p.HandleHeartbeat(
			10*s,
			&protocol.WorkerHeartbeat{
				Machine:     fmt.Sprintf("m%d", i),
				Addr:        "x",
				Type:        "g8",
				Zone:        "a",
				Incarnation: 1,
				Sequence:    1,
			},
		)
	}
	pl := &machineregistry.Placement{
		Task:    protocol.TaskID{JobID: "j-1"},
		Attempt: 1,
		Machine: "m3",
		Job:     &protocol.Job{ID: "j-1"},
	}
	if !p.Reserve(10*s, []*machineregistry.Placement{pl}) {
		t.Fatal("no room")
	}
	pl.FenceAt = 20 * s
	for now := 11 * s; now < 30*s; now += s {
		got := releasedMachines(f.Plan(now, p, nil))
		if (now < 20*s) != (len(got) == 0) {
			t.Fatalf("%v returned at %v", got, now)
		}
		if len(got) > 0 {
			if len(got) != 1 || got[0] != "m3" {
				t.Errorf("returned %v", got)
			}
			return
		}
	}
}

// TestReleasedMachinesAreForgotten: the memory of returned machines is bounded.
func TestReleasedMachinesAreForgotten(t *testing.T) {
	f, _ := setup()
	for i := range 1000 {
		f.HandleScaleIn(time.Duration(i)*10*s, []string{fmt.Sprintf("m%d", i)}, true)
	}
	if n := len(f.releasedAt); n > 100 || !f.RecentlyReleased("m999") {
		t.Errorf("%d returned machines remembered", n)
	}
}

// TestHeadroomCountsPreemptibleWork: room kept for jobs to come need not be empty
// where lower work that can save holds it, unless there is no time to clear it.
func TestHeadroomCountsPreemptibleWork(t *testing.T) {
	for _, x := range []struct {
		shape      protocol.Shape
		checkpoint float64
		quick      bool
		want       int
	}{
		{protocol.Array, 10, false, 0},
		{protocol.Gang, 10, false, 0},
		{protocol.Gang, 0, false, 1},
		{protocol.Service, 10, false, 1},
		{protocol.Array, 10, true, 1},
		{protocol.Gang, 10, true, 1},
	} {
		f, p := setup()
		f.HandleList(2*s, 1*s, p, nil)
		p.HandleHeartbeat(
			2*s,
			&protocol.WorkerHeartbeat{Machine: "m1", Addr: "a", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 1},
		)
		low := &protocol.Job{
			ID:                        "j-1",
			Shape:                     x.shape,
			Priority:                  "normal",
			GPUs:                      8,
			CheckpointIntervalSeconds: x.checkpoint,
		}
		pl := &machineregistry.Placement{
			Task:          protocol.TaskID{JobID: "j-1"},
			Attempt:       1,
			Machine:       "m1",
			Resources:     machineregistry.TaskResources(low),
			PriorityLevel: low.Priority.Rank(),
			Job:           low,
		}
		if !p.Reserve(2*s, []*machineregistry.Placement{pl}) {
			t.Fatal("no room")
		}
		high := &protocol.Job{ID: "j-2", Shape: protocol.Service, Priority: "critical", GPUs: 8}
		if n := totalCount(
			rentals(f.Plan(3*s, p, []Demand{{Job: high, Count: 1, Headroom: true, MustBeFree: x.quick}})),
		); n != x.want {
			t.Errorf("%+v: rented %d", x, n)
		}
	}
}

// TestSilentHeadroomStays: idle machines that cannot be heard for the moment, as when
// the leader is cut off from all workers, are neither returned nor replaced. The
// spare room of a whole fleet had been given back in such a moment.
func TestSilentHeadroomStays(t *testing.T) {
	f, p := setup()
	f.HandleList(1*s, 0, p, nil)
	want := []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: 6, Headroom: true}}
	for i := range 6 {
		p.HandleHeartbeat(
			100*s,
			&protocol.WorkerHeartbeat{
				Machine:     fmt.Sprintf("m%d", i),
				Addr:        "x",
				Type:        "g8",
				Zone:        "a",
				Incarnation: 1,
				Sequence:    1,
			},
		)
	}
	for now := 101 * s; now < 110*s; now += s {
		effects := f.Plan(now, p, want)
		if got := releasedMachines(effects); got != nil {
			t.Errorf("at %v: returned %v", now, got)
		}
		if got := rentals(effects); got != nil {
			t.Errorf("at %v: rented %v", now, got)
		}
	}
}

// TestZonePolicies: nothing is rented in a closed zone and one machine at a time in one that is
// probed, silent machines of an uncounted one are no room, and those of a kept one stay until
// its time is over.
func TestZonePolicies(t *testing.T) {
	f, p := setup()
	f.HandleList(1*s, 0, p, nil)
	there := func(policy ZonePolicy, now time.Duration) map[string]int {
		f.SetZonePolicies(map[string]ZonePolicy{"a": policy})
		counts := map[string]int{}
		for _, r := range rentals(f.Plan(now, p, []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8, Zone: "a"}, Count: 3}, {Job: &protocol.Job{ID: "j-2", GPUs: 8, Zone: "b"}, Count: 2}})) {
			counts[r.Zone] += r.Count
			f.HandleScaleOut(now, now, p, r.RequestID, nil, false)
		}
		clear(f.blockedUntil)
		return counts
	}
	for i, row := range []struct {
		policy ZonePolicy
		want   int
	}{{ZonePolicy{NoScaleOut: true}, 0}, {ZonePolicy{ProbeOnly: true}, 1}, {ZonePolicy{}, 3}} {
		if got := there(row.policy, time.Duration(2+i)*s); got["a"] != row.want || got["b"] != 2 {
			t.Errorf("%+v: %v, want %d in a and 2 in b", row.policy, got, row.want)
		}
	}
	f, p = setup()
	f.HandleList(1*s, 0, p, nil)
	for i := range 4 {
		p.HandleHeartbeat(
			10*s,
			&protocol.WorkerHeartbeat{
				Machine:     fmt.Sprintf("m%d", i),
				Addr:        "x",
				Type:        "g8",
				Zone:        "a",
				Incarnation: 1,
				Sequence:    1,
			},
		)
	}
	f.SetZonePolicies(map[string]ZonePolicy{"a": {IgnoreSilent: true, NoFencingUntil: 60 * s}})
	for now := 11 * s; now < 60*s; now += s {
		effects := f.Plan(now, p, []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: 1}})
		if got := releasedMachines(effects); len(got) > 0 {
			t.Fatalf("returned %v at %v", got, now)
		}
		if got := rentals(effects); now == 20*s && f.pendingCounts["r-3-1"] != 1 {
			t.Errorf("silent machines counted as room: %v", got)
		}
	}
	if got := releasedMachines(f.Plan(120*s, p, nil)); len(got) == 0 {
		t.Error("kept beyond their time")
	}
}
