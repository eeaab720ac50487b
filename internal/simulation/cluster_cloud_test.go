package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// newCloud returns the cloud of the cluster.
func (l *cluster) newCloud() *Cloud {
	c := NewCloud(&l.mu, l.now)
	c.Types, c.ListLag = l.types, config.Seconds(l.cfg.Cloud.ListLagSeconds)
	c.BootTime = func(name string) time.Duration { return l.bootTime(name) }
	c.Capacity = l.rentalCapacity
	c.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	c.StartWorker, c.StopWorker = l.startWorker, l.stopWorker
	return c
}

// rentalCapacity returns the number of machines that a rental gets. The caller holds l.mu.
func (l *cluster) rentalCapacity(q protocol.Rental) int {
	if l.deadZones[q.Zone] {
		return 0
	}
	most := min(q.Count, l.cloudCapacity-len(l.workers))
	if l.zoneCapacity == 0 {
		return most
	}
	return min(most, l.zoneCapacity-l.cloud.Count(q.Zone))
}
