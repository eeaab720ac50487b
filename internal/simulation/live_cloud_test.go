package simulation

import (
	"fmt"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
)

// The cloud.

func (l *live) newCloud() *Cloud {
	c := NewCloud(&l.mu, l.now)
	c.Types, c.Lag = l.types, config.Seconds(l.cfg.Cloud.ListLagS)
	c.Boot = func(name string) time.Duration { return l.boot(name) }
	c.Capacity = l.capacity
	c.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	c.Up, c.Down = l.up, l.down
	return c
}

// capacity is how many machines a rental gets; l.mu is held.
func (l *live) capacity(q protocol.Rental) int {
	if l.dead[q.Zone] {
		return 0
	}
	most := min(q.Count, l.room-len(l.rigs))
	if l.zoneRoom == 0 {
		return most
	}
	return min(most, l.zoneRoom-l.rented.Count(q.Zone))
}
