package scheduler

import (
	"context"
	"log/slog"
	"time"

	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// logUtilization tells how the machines are used.
func (c *Scheduler) logUtilization(now time.Duration, units []autoscaler.Demand) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var up, empty, booting, silent int
	var free, soft float64 // in machines
	var ordinary, ordinaryFree float64
	kept := map[string]float64{} // ordinary machines by class
	c.machines.Each(func(m *machineregistry.Machine) {
		t := c.machines.MachineType(m.Type)
		switch {
		case t == nil || !m.Registered:
			booting++
			return
		case m.PlacementCount() == 0:
			empty++
		case now-m.LastHeartbeat > c.machines.SilenceTimeout():
			silent++
		}
		up++
		cap := machineregistry.CapacityOf(t)
		unused := 1 - cap.Minus(c.machines.FreeCapacity(m)).DominantShare(cap)
		free += unused
		if !m.Spot {
			ordinary++
			ordinaryFree += unused
		}
		m.EachPlacement(func(pl *machineregistry.Placement) {
			share := pl.Resources.DominantShare(cap)
			if pl.Job.Shape == protocol.Array {
				soft += share
			}
			if !m.Spot {
				kept[pl.Job.Class] += share
			}
		})
	})
	want := map[string]int{}
	for _, u := range units {
		if u.Headroom {
			want["spare "+u.Job.Class] += u.Count
		} else {
			want[u.Job.Class] += u.Count
		}
	}
	c.log.Debug("fleet", "up", up, "empty", empty, "booting", booting, "silent", silent, "free", free, "arrays", soft,
		"ordinary", ordinary, "unused", ordinaryFree, "used", kept, "wanted", want)
}
