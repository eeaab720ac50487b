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

// referencePack packs units one task after the other into the tightest of all rooms.
func referencePack(k *packing, units []Demand) {
	for n := range units {
		u := &units[n]
		need := machineregistry.TaskResources(u.Job)
		for left := u.Count; left > 0; {
			var best *bin
			for i := range k.bins {
				if r := &k.bins[i]; k.feasible(u, need, r) && (best == nil || tighter(r.freeFor(u), best.freeFor(u))) {
					best = r
				}
			}
			if best == nil {
				if best = k.openBin(u, demandKeyOf(u)); best == nil {
					break
				}
			}
			left = k.fill(u, best, left)
		}
	}
}

// TestPackingMatchesFullScan: on drawn fleets and demands, what is rented and which machines are wanted is
// what packing into the tightest of all rooms, time and again, comes to.
func TestPackingMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, p := setup()
		f.HandleList(time.Second, 0, p, nil)
		for i := range rapid.IntRange(0, 25).Draw(t, "machines") {
			m := p.GetOrCreate(0, fmt.Sprintf("m%02d", i))
			m.Type, m.Zone, m.Spot = "g8", rapid.SampledFrom([]string{"a", "b"}).
				Draw(t, "zone"),
				rapid.Bool().
					Draw(t, "spot")
			job := &protocol.Job{
				ID:                        fmt.Sprintf("j-%d", i),
				Shape:                     protocol.Array,
				CheckpointIntervalSeconds: float64(rapid.IntRange(0, 1).Draw(t, "saves")),
			}
			p.Adopt(0, &machineregistry.Placement{
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
		packed := func(pack func(*packing)) *packing {
			k := f.newPacking(time.Second, p)
			k.addBins()
			pack(k)
			return k
		}
		got := packed(func(k *packing) {
			for i := range units {
				k.pack(&units[i])
			}
		})
		want := packed(func(k *packing) { referencePack(k, units) })
		if !reflect.DeepEqual(got.toRent, want.toRent) || !reflect.DeepEqual(got.usedMachines, want.usedMachines) ||
			got.toRentTotal != want.toRentTotal {
			t.Errorf(
				"rents %v and uses %v, want %v and %v",
				got.toRent,
				got.usedMachines,
				want.toRent,
				want.usedMachines,
			)
		}
	})
}
