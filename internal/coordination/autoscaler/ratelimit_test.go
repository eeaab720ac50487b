package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// manyMachines is more than any deployment has run with.
const manyMachines = 4000

// TestManyRentals: the cloud's request rate limits what one plan requests. The requests are of a
// size that the cloud accepts, and the next plans request the rest.
func TestManyRentals(t *testing.T) {
	for _, rps := range []float64{1, 2, 4, 24} {
		scaler, _ := setup()
		scaler.cloudSettings.RPS = rps
		scaler.HandleList(1*s, 0, nil)
		units := []Demand{{Job: &protocol.Job{ID: "j-1", GPUs: 8}, Count: manyMachines}}
		perPlan := protocol.MaxMachinesPerRental * max(1, int(rps/2))
		total, plans, names := 0, 0, map[string]bool{}
		for now := 2 * s; total < manyMachines && plans <= manyMachines; now += s {
			got := rentals(scaler.Plan(now, units))
			if n := totalCount(got); n > perPlan || n < min(perPlan, manyMachines-total) {
				t.Fatalf("%v calls a second: %d machines in one plan, want %d", rps, n, perPlan)
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
			t.Errorf("%v calls a second: %d of %d rented after %d plans", rps, total, manyMachines, plans)
		}
	}
}

// TestManyReleases: machines with overdue cancelled tasks are returned before all others, however
// many there are. All machines are returned in the end, none of them twice.
func TestManyReleases(t *testing.T) {
	scaler, registry := setup()
	scaler.cloudSettings.RPS = 4
	scaler.HandleList(1*s, 0, nil)
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
				t.Fatal("not reserved")
			}
			pl.FenceAt = 11 * s
		}
		m.MarkTerminating()
	}
	perPlan := 2 * protocol.MaxMachinesPerRelease
	returned := map[string]bool{}
	for now := 12 * s; len(returned) < manyMachines && now < time.Hour; now += s {
		for _, e := range scaler.Plan(now, nil) {
			if r, ok := e.(ScaleIn); ok && len(r.Machines) > protocol.MaxMachinesPerRelease {
				t.Fatalf("%d names in a call", len(r.Machines))
			}
		}
		names := scaler.releasing
		if len(names) > perPlan {
			t.Fatalf("%d machines in one plan, want %d", len(names), perPlan)
		}
		for name := range names {
			if returned[name] || !overdue[name] && len(returned) < len(overdue) {
				t.Fatalf("%s is returned as number %d", name, len(returned))
			}
			returned[name] = true
			registry.Remove(now, name)
			scaler.HandleScaleIn(now, []string{name}, true)
		}
	}
	if len(returned) != manyMachines {
		t.Errorf("%d of %d returned", len(returned), manyMachines)
	}
}

// TestListInterval: reading the list takes no more than its share of the cloud's request rate,
// however many pages it has, as it would delay scale out and scale in.
func TestListInterval(t *testing.T) {
	for _, x := range []struct {
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
		scaler := New(1, config.Cloud{RPS: x.rps, ListLagSeconds: 5}, testWorkerSettings, nil)
		if got := scaler.listInterval(x.machines); got != x.want {
			t.Errorf("%d machines at %v calls a second: read every %v, want %v", x.machines, x.rps, got, x.want)
		}
	}
}
