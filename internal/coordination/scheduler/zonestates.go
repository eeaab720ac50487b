package scheduler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/coordination/zonefailover"
)

// observeZones counts the machines of each zone by how they were heard.
func (c *Scheduler) observeZones(now time.Duration) []zonefailover.Observation {
	var facts []zonefailover.Observation
	index := map[string]int{}
	for _, zone := range c.zoneFailover.monitor.Zones() {
		index[zone.Name] = len(facts)
		facts = append(facts, zonefailover.Observation{Zone: zone.Name})
	}
	for _, zone := range c.zoneFailover.departedMachines {
		facts[index[zone]].Departed++
	}
	expired := c.maxLeaseLifetime()
	c.machines.Each(func(m *machineregistry.Machine) {
		i, ok := index[m.Zone]
		if !ok || m.Terminating {
			return
		}
		f := &facts[i]
		if !m.Registered && m.PlacementCount() == 0 {
			f.Booting++
			return
		}
		f.Machines++
		switch quiet := now - m.LastHeartbeat; {
		case m.Registered && quiet <= c.machines.SilenceTimeout():
			f.Reachable++
		case quiet > expired:
			f.Silent++
			f.LeaseExpired++
		case quiet > c.machines.SilenceTimeout():
			f.Silent++
		}
	})
	return facts
}

// maxLeaseLifetime is after what silence no lease can still be renewed: whoever renews without the
// leader's knowledge gives up within half a lease, and the lease then takes its time.
func (c *Scheduler) maxLeaseLifetime() time.Duration {
	return config.Seconds(c.cfg.Workers.LeaseSeconds*3/2 + c.cfg.Workers.HeartbeatSeconds)
}

// probeZone asks the machines of a zone that returns how they stand, without waiting for
// their workers to find the leader.
func (c *Scheduler) probeZone(zone string) {
	c.machines.Each(func(m *machineregistry.Machine) {
		if m.Zone == zone && m.Addr != "" && !m.Terminating {
			c.prober.queue = append(c.prober.queue, Probe{m.Name, m.Addr})
		}
	})
}

// setZonePolicies tells the fleet how to treat zones that are not as they should be.
func (c *Scheduler) setZonePolicies(now time.Duration) {
	policies := map[string]autoscaler.ZonePolicy{}
	lease := config.Seconds(c.cfg.Workers.LeaseSeconds)
	for _, zone := range c.zoneFailover.monitor.Zones() {
		switch zone.State {
		case zonefailover.Suspected:
			policies[zone.Name] = autoscaler.ZonePolicy{
				NoScaleOut:     true,
				NoFencingUntil: zone.Since + 2*c.maxLeaseLifetime(),
			}
		case zonefailover.Lost:
			policies[zone.Name] = c.lostZonePolicy(now, zone)
		case zonefailover.Returning:
			// Until a machine there is heard, one at a time shows whether others would be.
			policies[zone.Name] = autoscaler.ZonePolicy{
				ProbeOnly:      zone.Evidence.Reachable == 0,
				NoFencingUntil: zone.Since + lease,
			}
		}
	}
	c.autoscaler.SetZonePolicies(policies)
}

// lostZonePolicy is how the fleet treats a lost zone. Where machines are cut off, new ones would not
// be heard either, and are tried one at a time. Where all have died, new ones will do as soon
// as the cloud has some.
func (c *Scheduler) lostZonePolicy(now time.Duration, zone zonefailover.Zone) autoscaler.ZonePolicy {
	lease := config.Seconds(c.cfg.Workers.LeaseSeconds)
	if zone.Evidence.Machines == 0 && zone.Evidence.Departed > 0 {
		return autoscaler.ZonePolicy{}
	}
	probe := now-zone.Since > probeLostZoneLeases*lease
	return autoscaler.ZonePolicy{
		NoScaleOut:     !probe,
		ProbeOnly:      probe,
		IgnoreSilent:   true,
		NoFencingUntil: zone.Since + retainLostZoneLeases*lease,
	}
}

// noteDepartedMachine notes that a machine has failed, or has left the cloud's list by itself, while its zone
// is not as it should be.
func (c *Scheduler) noteDepartedMachine(name string) {
	m := c.machines.Machine(name)
	if c.zoneFailover == nil || m == nil || c.zoneFailover.monitor.State(m.Zone) == zonefailover.Available {
		return
	}
	c.zoneFailover.departedMachines[name] = m.Zone
}

// isZoneLost says whether a zone is lost.
func (c *Scheduler) isZoneLost(zone string) bool {
	return c.zoneFailover != nil && c.zoneFailover.monitor.State(zone) == zonefailover.Lost
}
