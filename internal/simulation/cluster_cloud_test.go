package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// newCloud returns the model of the cloud for the cluster.
func (c *cluster) newCloud() *Cloud {
	cloud := NewCloud(&c.mu, c.now)
	cloud.Types, cloud.ListLag = c.types, config.Seconds(c.cfg.Cloud.ListLagSeconds)
	cloud.BootTime = func(name string) time.Duration { return c.bootTime(name) }
	cloud.Capacity = c.rentalCapacity
	cloud.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	cloud.StartWorker, cloud.StopWorker = c.startWorker, c.stopWorker
	return cloud
}

// rentalCapacity returns the number of machines that are available for a rental. The caller holds c.mu.
func (c *cluster) rentalCapacity(rental protocol.RentalRequest) int {
	if c.zonesWithoutRentals[rental.Zone] {
		return 0
	}
	available := min(rental.Count, c.cloudCapacity-len(c.workers))
	if c.zoneCapacity == 0 {
		return available
	}
	return min(available, c.zoneCapacity-c.cloud.Count(rental.Zone))
}
