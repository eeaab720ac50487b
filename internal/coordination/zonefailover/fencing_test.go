package zonefailover

import (
	"testing"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// TestMovable checks that only tasks on machines of lost zones that have been unreachable for longer than the grace
// period are movable.
func TestMovable(t *testing.T) {
	const gracePeriod = 30 * time.Second // a boot time longer than the lifetime of leases
	for _, test := range []struct {
		name           string
		state          State
		sinceHeartbeat time.Duration
		known          bool
		want           bool
	}{
		{"the zone is available", Available, 2 * gracePeriod, true, false},
		{"the zone is suspected", Suspected, 2 * gracePeriod, true, false},
		{"the zone returns", Returning, 2 * gracePeriod, true, false},
		{"within the grace period", Lost, gracePeriod, true, false},
		{"the machine is gone", Lost, 2 * gracePeriod, false, false},
		{"silent for longer", Lost, gracePeriod + 1, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager(fakeJobs{})
			m.options.Machines.SetMachineTypes([]protocol.MachineType{{Name: "g8", BootSeconds: gracePeriod.Seconds()}})
			if test.known {
				m.options.Machines.GetOrCreate(time.Minute, "m").Zone = "a"
			}
			m.monitor.Restore(Zone{Name: "a", State: test.state, Since: time.Minute})
			round := m.NewFencingRound(time.Minute+test.sinceHeartbeat, nil)
			placement := &machineregistry.Placement{Machine: "m", Zone: "a"}
			if got := len(round.Movable([]*machineregistry.Placement{placement})) == 1; got != test.want {
				t.Errorf("movable: %v, want %v", got, test.want)
			}
		})
	}
}

// TestFencingNeedsCapacityElsewhere checks that no machine is fenced without capacity in another zone, and that the
// next search for the job is delayed.
func TestFencingNeedsCapacityElsewhere(t *testing.T) {
	const now = 2 * time.Minute
	m := newTestManager(fakeJobs{})
	machine := m.options.Machines.GetOrCreate(0, "m")
	machine.Zone = "a"
	m.monitor.Restore(Zone{Name: "a", State: Lost, Since: time.Minute})
	round := m.NewFencingRound(now, nil)
	job := &protocol.Job{ID: "j-1", Shape: protocol.Array, TaskCount: 1}
	round.FenceFor(&DisplacedJob{
		Borrower:   Borrower{Job: job, MaxInZone: 1, InZone: map[string]int{"a": 1}},
		Unfinished: 1,
		Movable:    []*machineregistry.Placement{{Machine: "m", Zone: "a"}},
	})
	if machine.Terminating {
		t.Error("machine is fenced without capacity elsewhere")
	}
	if m.MaySearch(now, "j-1") || !m.MaySearch(now+searchRetryCycles*time.Second, "j-1") {
		t.Error("the next search is not delayed by searchRetryCycles")
	}
}
