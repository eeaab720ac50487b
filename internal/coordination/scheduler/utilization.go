package scheduler

import (
	"context"
	"log/slog"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// utilization summarizes the use of the machines. Capacity is measured in whole machines.
type utilization struct {
	registered, empty, booting, unreachable int
	free                                    float64
	arrays                                  float64 // used by job arrays, which can be preempted
	onDemand                                int     // machines that are not spot instances
	onDemandFree                            float64
	onDemandByClass                         map[string]float64
}

// logUtilization logs the use of the machines and the demand for capacity if debug logging is enabled.
func (s *Scheduler) logUtilization(now time.Duration, demands []autoscaler.Demand) {
	if !s.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	u := utilization{onDemandByClass: map[string]float64{}}
	s.machines.Each(func(m *machineregistry.Machine) { s.addUtilization(&u, now, m) })
	s.log.Debug("machine utilization",
		"up", u.registered,
		"empty", u.empty,
		"booting", u.booting,
		"silent", u.unreachable,
		"free", u.free,
		"arrays", u.arrays,
		"ordinary", u.onDemand,
		"unused", u.onDemandFree,
		"used", u.onDemandByClass,
		"wanted", demandByClass(demands))
}

// addUtilization adds the use of one machine to u.
func (s *Scheduler) addUtilization(u *utilization, now time.Duration, m *machineregistry.Machine) {
	machineType := s.machines.MachineType(m.Type)
	switch {
	case machineType == nil || !m.Registered:
		u.booting++
		return
	case m.PlacementCount() == 0:
		u.empty++
	case now-m.LastHeartbeat > s.machines.UnreachableTimeout():
		u.unreachable++
	}
	u.registered++
	capacity := machineregistry.CapacityOf(machineType)
	free := 1 - capacity.Minus(s.machines.FreeCapacity(m)).DominantShare(capacity)
	u.free += free
	if !m.Spot {
		u.onDemand++
		u.onDemandFree += free
	}
	m.EachPlacement(func(pl *machineregistry.Placement) {
		share := pl.Resources.DominantShare(capacity)
		if pl.Job.Shape == protocol.Array {
			u.arrays += share
		}
		if !m.Spot {
			u.onDemandByClass[pl.Job.Class] += share
		}
	})
}

// demandByClass returns the number of demanded tasks for each class. Headroom is counted separately.
func demandByClass(demands []autoscaler.Demand) map[string]int {
	byClass := map[string]int{}
	for _, d := range demands {
		class := d.Job.Class
		if d.Headroom {
			class = "spare " + class
		}
		byClass[class] += d.Count
	}
	return byClass
}
