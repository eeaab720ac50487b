package autoscaler

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// referencePack packs each task into the bin with the least free capacity, and scans all bins for every task.
func referencePack(p *packing, demands []Demand) {
	for n := range demands {
		d := &demands[n]
		resources := machineregistry.TaskResources(d.Job)
		for remaining := d.Count; remaining > 0; {
			var best *bin
			for i := range p.bins {
				if b := &p.bins[i]; p.feasible(d, resources, b) &&
					(best == nil || lessFree(b.freeFor(d), best.freeFor(d))) {
					best = b
				}
			}
			if best == nil {
				if best = p.openBin(d, demandKeyOf(d)); best == nil {
					break
				}
			}
			remaining = p.fill(d, best, remaining)
		}
	}
}

// TestPackingMatchesFullScan checks that for random machines and demands, packing uses and rents the same machines as
// referencePack.
func TestPackingMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaler, registry := setup()
		scaler.HandleMachineList(time.Second, 0, nil)
		for i := range rapid.IntRange(0, 25).Draw(t, "machines") {
			m := registry.GetOrCreate(0, fmt.Sprintf("m%02d", i))
			m.Type, m.Zone, m.Spot = "g8", rapid.SampledFrom([]string{"a", "b"}).
				Draw(t, "zone"),
				rapid.Bool().
					Draw(t, "spot")
			job := &protocol.Job{
				ID:                        fmt.Sprintf("j-%d", i),
				Shape:                     protocol.Array,
				CheckpointIntervalSeconds: float64(rapid.IntRange(0, 1).Draw(t, "saves")),
			}
			registry.Adopt(0, &machineregistry.Placement{
				Task: protocol.TaskID{
					JobID: job.ID,
				},
				Attempt:       1,
				Machine:       m.Name,
				Job:           job,
				PriorityLevel: rapid.IntRange(0, 3).Draw(t, "level"),
				Resources: machineregistry.Resources{
					GPUs: float64(rapid.IntRange(0, 8).Draw(t, "used")),
					CPUs: float64(rapid.IntRange(0, 64).Draw(t, "cpus")),
				},
			})
		}
		var demands []Demand
		for i := range rapid.IntRange(0, 12).Draw(t, "units") {
			j := &protocol.Job{
				ID: fmt.Sprintf(
					"j-w%d",
					i,
				),
				GPUs: float64(rapid.IntRange(0, 4).Draw(t, "gpus")),
				CPUs: float64(rapid.IntRange(0, 16).Draw(t, "requested cpus")),
				Priority: rapid.SampledFrom([]protocol.Priority{"critical", "normal", "best_effort"}).
					Draw(t, "priority"),
				SpotAllowed:               rapid.Bool().Draw(t, "spot allowed"),
				CheckpointIntervalSeconds: float64(rapid.IntRange(0, 1).Draw(t, "saves checkpoints")),
			}
			d := Demand{
				Job:        j,
				Count:      rapid.IntRange(1, 30).Draw(t, "count"),
				Zone:       rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"),
				Headroom:   rapid.Bool().Draw(t, "spare"),
				MustBeFree: rapid.Bool().Draw(t, "quick"),
			}
			if rapid.Bool().Draw(t, "avoids") {
				d.ExcludedMachines = map[string]bool{"m00": true, "m03": true}
			}
			demands = append(demands, d)
		}
		packWith := func(pack func(*packing)) *packing {
			p := scaler.newPacking(time.Second)
			p.addBins()
			pack(p)
			return p
		}
		got := packWith(func(p *packing) {
			for i := range demands {
				p.pack(&demands[i])
			}
		})
		want := packWith(func(p *packing) { referencePack(p, demands) })
		if !reflect.DeepEqual(got.toRent, want.toRent) || !reflect.DeepEqual(got.usedMachines, want.usedMachines) ||
			got.toRentTotal != want.toRentTotal {
			t.Errorf(
				"rents %v and uses machines %v, want %v and %v",
				got.toRent,
				got.usedMachines,
				want.toRent,
				want.usedMachines,
			)
		}
	})
}
