package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/fleet"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/coordination/zones"
)

// zoneFacts counts the machines of each zone by how they were heard.
func (c *Core) zoneFacts(now time.Duration) []zones.Facts {
	var facts []zones.Facts
	index := map[string]int{}
	for _, zone := range c.returning.monitor.Zones() {
		index[zone.Name] = len(facts)
		facts = append(facts, zones.Facts{Zone: zone.Name})
	}
	for _, zone := range c.returning.left {
		facts[index[zone]].Left++
	}
	expired := c.leaseOver()
	c.machines.Each(func(m *partition.Machine) {
		i, ok := index[m.Zone]
		if !ok || m.Terminating {
			return
		}
		f := &facts[i]
		if !m.Registered && m.PlacementCount() == 0 {
			f.Coming++
			return
		}
		f.Machines++
		switch quiet := now - m.LastHeartbeat; {
		case m.Registered && quiet <= c.machines.SilenceTimeout():
			f.Heard++
		case quiet > expired:
			f.Silent++
			f.Expired++
		case quiet > c.machines.SilenceTimeout():
			f.Silent++
		}
	})
	return facts
}

// leaseOver is after what silence no lease can still be renewed: whoever renews without the
// leader's knowledge gives up within half a lease, and the lease then takes its time.
func (c *Core) leaseOver() time.Duration {
	return config.Seconds(c.cfg.Workers.LeaseSeconds*3/2 + c.cfg.Workers.HeartbeatSeconds)
}

// inspectZone asks the machines of a zone that returns how they stand, without waiting for
// their workers to find the leader.
func (c *Core) inspectZone(zone string) {
	c.machines.Each(func(m *partition.Machine) {
		if m.Zone == zone && m.Addr != "" && !m.Terminating {
			c.inspector.queue = append(c.inspector.queue, Inspect{m.Name, m.Addr})
		}
	})
}

// setZonePolicies tells the fleet how to treat zones that are not as they should be.
func (c *Core) setZonePolicies(now time.Duration) {
	policies := map[string]fleet.ZonePolicy{}
	lease := config.Seconds(c.cfg.Workers.LeaseSeconds)
	for _, zone := range c.returning.monitor.Zones() {
		switch zone.State {
		case zones.Suspected:
			policies[zone.Name] = fleet.ZonePolicy{NoScaleOut: true, NoFencingUntil: zone.Since + 2*c.leaseOver()}
		case zones.Lost:
			policies[zone.Name] = c.lostPolicy(now, zone)
		case zones.Returning:
			// Until a machine there is heard, one at a time shows whether others would be.
			policies[zone.Name] = fleet.ZonePolicy{ProbeOnly: zone.Evidence.Heard == 0, NoFencingUntil: zone.Since + lease}
		}
	}
	c.fleet.SetZonePolicies(policies)
}

// lostPolicy is how the fleet treats a lost zone. Where machines are cut off, new ones would not
// be heard either, and are tried one at a time. Where all have died, new ones will do as soon
// as the cloud has some.
func (c *Core) lostPolicy(now time.Duration, zone zones.Zone) fleet.ZonePolicy {
	lease := config.Seconds(c.cfg.Workers.LeaseSeconds)
	if zone.Evidence.Machines == 0 && zone.Evidence.Left > 0 {
		return fleet.ZonePolicy{}
	}
	probe := now-zone.Since > probeLeases*lease
	return fleet.ZonePolicy{NoScaleOut: !probe, ProbeOnly: probe, IgnoreSilent: true, NoFencingUntil: zone.Since + keepLeases*lease}
}

// left notes that a machine has failed, or has left the cloud's list by itself, while its zone
// is not as it should be.
func (c *Core) left(name string) {
	m := c.machines.Machine(name)
	if c.returning == nil || m == nil || c.returning.monitor.State(m.Zone) == zones.Available {
		return
	}
	c.returning.left[name] = m.Zone
}

// lostZone says whether a zone is lost.
func (c *Core) lostZone(zone string) bool {
	return c.returning != nil && c.returning.monitor.State(zone) == zones.Lost
}
