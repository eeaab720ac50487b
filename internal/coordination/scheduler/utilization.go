package scheduler

import (
	"context"
	"log/slog"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// utilization is how the machines are used. Capacity is counted in whole machines.
type utilization struct {
	registered, empty, booting, silent int
	free                               float64
	arrays                             float64 // held by job arrays, which can be preempted
	onDemand                           int     // machines that are not spot instances
	onDemandFree                       float64
	onDemandByClass                    map[string]float64
}

// logUtilization logs how the machines are used, and what is demanded, if debug logs are on.
func (c *Scheduler) logUtilization(now time.Duration, demands []autoscaler.Demand) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	u := utilization{onDemandByClass: map[string]float64{}}
	c.machines.Each(func(m *machineregistry.Machine) { c.addUtilization(&u, now, m) })
	c.log.Debug("machine utilization",
		"up", u.registered,
		"empty", u.empty,
		"booting", u.booting,
		"silent", u.silent,
		"free", u.free,
		"arrays", u.arrays,
		"ordinary", u.onDemand,
		"unused", u.onDemandFree,
		"used", u.onDemandByClass,
		"wanted", demandByClass(demands))
}

// addUtilization adds the use of one machine.
func (c *Scheduler) addUtilization(u *utilization, now time.Duration, m *machineregistry.Machine) {
	machineType := c.machines.MachineType(m.Type)
	switch {
	case machineType == nil || !m.Registered:
		u.booting++
		return
	case m.PlacementCount() == 0:
		u.empty++
	case now-m.LastHeartbeat > c.machines.SilenceTimeout():
		u.silent++
	}
	u.registered++
	capacity := machineregistry.CapacityOf(machineType)
	free := 1 - capacity.Minus(c.machines.FreeCapacity(m)).DominantShare(capacity)
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

// demandByClass returns the tasks demanded for each class, those of headroom apart.
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
