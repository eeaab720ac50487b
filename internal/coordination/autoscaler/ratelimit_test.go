package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// manyMachines is larger than the number of machines in any known deployment.
const manyMachines = 4000

// TestManyRentals checks that the cloud's request rate limits the rentals of one plan, that each request has a size
// that the cloud accepts, and that the following plans request the remaining machines.
func TestManyRentals(t *testing.T) {
	for _, rps := range []float64{1, 2, 4, 24} {
		scaler, _ := setup()
		scaler.cloudSettings.RPS = rps
		scaler.HandleMachineList(1*s, 0, nil)
		demands := []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: manyMachines}}
		perPlan := protocol.MaxMachinesPerRental * max(1, int(rps/2))
		total, plans, names := 0, 0, map[string]bool{}
		for now := 2 * s; total < manyMachines && plans <= manyMachines; now += s {
			got := rentals(scaler.Plan(now, demands))
			if n := totalCount(got); n > perPlan || n < min(perPlan, manyMachines-total) {
				t.Fatalf("%v calls per second: %d machines rented in one plan, want %d", rps, n, perPlan)
			}
			for _, r := range got {
				if r.Count > protocol.MaxMachinesPerRental || names[r.RequestID] {
					t.Fatalf("%+v", r)
				}
				names[r.RequestID] = true
				total += r.Count
			}
			plans++
		}
		if total != manyMachines {
			t.Errorf(
				"%v calls per second: %d of %d machines rented after %d plans, want all",
				rps,
				total,
				manyMachines,
				plans,
			)
		}
	}
}

// TestManyReleases checks that machines with overdue cancelled tasks are released before all others, however many there
// are, and that each machine is released exactly once.
func TestManyReleases(t *testing.T) {
	scaler, registry := setup()
	scaler.cloudSettings.RPS = 4
	scaler.HandleMachineList(1*s, 0, nil)
	overdue := map[string]bool{}
	for i := range manyMachines {
		name := fmt.Sprintf("m%04d", i)
		m := sendHeartbeat(registry, 10*s, name, "a", 1).Machine
		if i >= manyMachines/2 {
			overdue[name] = true
			pl := &machineregistry.Placement{
				Task:    protocol.TaskID{JobID: "j-1", Index: i},
				Attempt: 1,
				Machine: name,
				Job:     &protocol.Job{ID: "j-1"},
			}
			if !registry.Reserve(10*s, []*machineregistry.Placement{pl}) {
				t.Fatal("capacity was not reserved")
			}
			pl.FenceAt = 11 * s
		}
		m.MarkTerminating()
	}
	perPlan := 2 * protocol.MaxMachinesPerRelease
	released := map[string]bool{}
	for now := 12 * s; len(released) < manyMachines && now < time.Hour; now += s {
		for _, e := range scaler.Plan(now, nil) {
			if r, ok := e.(ScaleIn); ok && len(r.Machines) > protocol.MaxMachinesPerRelease {
				t.Fatalf("%d machines in one release call, more than the cloud accepts", len(r.Machines))
			}
		}
		names := scaler.releasing
		if len(names) > perPlan {
			t.Fatalf("%d machines released in one plan, want at most %d", len(names), perPlan)
		}
		for name := range names {
			if released[name] || !overdue[name] && len(released) < len(overdue) {
				t.Fatalf("machine %s released twice or before overdue ones, after %d others", name, len(released))
			}
			released[name] = true
			registry.Remove(now, name)
			scaler.HandleScaleIn(now, []string{name}, true)
		}
	}
	if len(released) != manyMachines {
		t.Errorf("%d of %d machines released, want all", len(released), manyMachines)
	}
}

// TestListInterval checks that reading the machine list takes no more than its share of the cloud's request rate,
// however many pages the list has. Otherwise the reads would delay scale-out and scale-in.
func TestListInterval(t *testing.T) {
	for _, test := range []struct {
		rps      float64
		machines int
		want     time.Duration
	}{
		{2, 0, 2500 * time.Millisecond},
		{2, 100, 2500 * time.Millisecond},
		{2, manyMachines, 9 * s},
		{4, manyMachines, 4500 * time.Millisecond},
		{4, 10_000, 10500 * time.Millisecond},
		{24, 10_000, 2500 * time.Millisecond},
	} {
		scaler := New(1, config.Cloud{RPS: test.rps, ListLagSeconds: 5}, testWorkerSettings, nil)
		if got := scaler.listInterval(test.machines); got != test.want {
			t.Errorf(
				"%d machines at %v calls per second: list interval %v, want %v",
				test.machines,
				test.rps,
				got,
				test.want,
			)
		}
	}
}
