package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// newCloud returns the cloud of the cluster.
func (c *cluster) newCloud() *Cloud {
	cloud := NewCloud(&c.mu, c.now)
	cloud.Types, cloud.ListLag = c.types, config.Seconds(c.cfg.Cloud.ListLagSeconds)
	cloud.BootTime = func(name string) time.Duration { return c.bootTime(name) }
	cloud.Capacity = c.rentalCapacity
	cloud.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	cloud.StartWorker, cloud.StopWorker = c.startWorker, c.stopWorker
	return cloud
}

// rentalCapacity returns the number of machines that a rental gets. The caller holds c.mu.
func (c *cluster) rentalCapacity(q protocol.Rental) int {
	if c.deadZones[q.Zone] {
		return 0
	}
	most := min(q.Count, c.cloudCapacity-len(c.workers))
	if c.zoneCapacity == 0 {
		return most
	}
	return min(most, c.zoneCapacity-c.cloud.Count(q.Zone))
}
