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

// referencePack packs one task after the other into the tightest of all bins.
func referencePack(packed *packing, units []Demand) {
	for n := range units {
		u := &units[n]
		need := machineregistry.TaskResources(u.Job)
		for left := u.Count; left > 0; {
			var best *bin
			for i := range packed.bins {
				if r := &packed.bins[i]; packed.feasible(u, need, r) &&
					(best == nil || tighter(r.freeFor(u), best.freeFor(u))) {
					best = r
				}
			}
			if best == nil {
				if best = packed.openBin(u, demandKeyOf(u)); best == nil {
					break
				}
			}
			left = packed.fill(u, best, left)
		}
	}
}

// TestPackingMatchesFullScan: for random machines and demands, the packing uses and requests the
// same machines as the reference, which scans all bins for every task.
func TestPackingMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaler, registry := setup()
		scaler.HandleList(time.Second, 0, nil)
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
		var units []Demand
		for i := range rapid.IntRange(0, 12).Draw(t, "units") {
			j := &protocol.Job{
				ID: fmt.Sprintf(
					"j-w%d",
					i,
				),
				GPUs: float64(rapid.IntRange(0, 4).Draw(t, "gpus")),
				CPUs: float64(rapid.IntRange(0, 16).Draw(t, "wanted cpus")),
				Priority: rapid.SampledFrom([]protocol.Priority{"critical", "normal", "best_effort"}).
					Draw(t, "priority"),
				SpotAllowed:               rapid.Bool().Draw(t, "may be spot"),
				CheckpointIntervalSeconds: float64(rapid.IntRange(0, 1).Draw(t, "may save")),
			}
			u := Demand{
				Job:        j,
				Count:      rapid.IntRange(1, 30).Draw(t, "count"),
				Zone:       rapid.SampledFrom([]string{"", "a"}).Draw(t, "only zone"),
				Headroom:   rapid.Bool().Draw(t, "spare"),
				MustBeFree: rapid.Bool().Draw(t, "quick"),
			}
			if rapid.Bool().Draw(t, "avoids") {
				u.ExcludedMachines = map[string]bool{"m00": true, "m03": true}
			}
			units = append(units, u)
		}
		packWith := func(pack func(*packing)) *packing {
			packed := scaler.newPacking(time.Second)
			packed.addBins()
			pack(packed)
			return packed
		}
		got := packWith(func(packed *packing) {
			for i := range units {
				packed.pack(&units[i])
			}
		})
		want := packWith(func(packed *packing) { referencePack(packed, units) })
		if !reflect.DeepEqual(got.toRent, want.toRent) || !reflect.DeepEqual(got.usedMachines, want.usedMachines) ||
			got.toRentTotal != want.toRentTotal {
			t.Errorf(
				"requests %v and uses %v, want %v and %v",
				got.toRent,
				got.usedMachines,
				want.toRent,
				want.usedMachines,
			)
		}
	})
}
