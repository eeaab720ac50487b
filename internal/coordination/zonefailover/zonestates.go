package zonefailover

import (
	"maps"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/coordination/machineregistry"
)

const (
	// retainLostZoneLeases is the time, in leases, for which machines of a lost zone are kept if their tasks do not fit
	// elsewhere. Such machines still have the images cached when the zone returns.
	retainLostZoneLeases = 12
	// probeLostZoneLeases is the time, in leases, after which machines may be rented in a lost zone, one at a time, if
	// pending tasks can run nowhere else. Otherwise the return of a zone without machines would never be noticed.
	probeLostZoneLeases = 2
)

// UpdateZones updates the states of the zones from the machines' heartbeats. It returns the zones that became
// returning, whose machines should be probed at once.
func (m *Manager) UpdateZones(now time.Duration) (returning []string) {
	for _, change := range m.monitor.Observe(now, m.observeZones(now)) {
		m.addDecision(ZoneChanged{Change: change})
		m.MarkZoneStatesChanged()
		switch change.To {
		case Lost:
			m.addDecision(RecoveryOrderInEffect{Order: m.order.String(), ZoneCount: len(m.options.Zones)})
		case Returning:
			returning = append(returning, change.Zone)
		case Available:
			maps.DeleteFunc(m.departedMachines, func(_, zone string) bool { return zone == change.Zone })
		}
	}
	return returning
}

// observeZones counts the machines of each zone by the time since their last heartbeat.
func (m *Manager) observeZones(now time.Duration) []Observation {
	var observations []Observation
	index := map[string]int{}
	for _, zone := range m.monitor.Zones() {
		index[zone.Name] = len(observations)
		observations = append(observations, Observation{Zone: zone.Name})
	}
	for _, zone := range m.departedMachines {
		observations[index[zone]].Departed++
	}
	unreachableTimeout, leaseLifetime := m.options.Machines.UnreachableTimeout(), m.MaxLeaseLifetime()
	m.options.Machines.Each(func(machine *machineregistry.Machine) {
		i, ok := index[machine.Zone]
		if !ok || machine.Terminating {
			return
		}
		o := &observations[i]
		if !machine.Registered && machine.PlacementCount() == 0 {
			o.Booting++
			return
		}
		o.Machines++
		switch sinceHeartbeat := now - machine.LastHeartbeat; {
		case machine.Registered && sinceHeartbeat <= unreachableTimeout:
			o.Reachable++
		case sinceHeartbeat > leaseLifetime:
			o.Unreachable++
			o.LeaseExpired++
		case sinceHeartbeat > unreachableTimeout:
			o.Unreachable++
		}
	})
	return observations
}

// MaxLeaseLifetime returns the time without heartbeats after which no lease on a machine can be renewed any more. A
// controller that renews leases without the leader's knowledge stops within half a lease, and the last lease that it
// renewed expires one lease later.
func (m *Manager) MaxLeaseLifetime() time.Duration {
	workers := m.options.Settings.Workers
	return config.Seconds(workers.LeaseSeconds*3/2 + workers.HeartbeatSeconds)
}

// ZonePolicies returns the autoscaler's policies for the zones that are not available.
func (m *Manager) ZonePolicies(now time.Duration) map[string]autoscaler.ZonePolicy {
	policies := map[string]autoscaler.ZonePolicy{}
	lease := config.Seconds(m.options.Settings.Workers.LeaseSeconds)
	for _, zone := range m.monitor.Zones() {
		switch zone.State {
		case Suspected:
			policies[zone.Name] = autoscaler.ZonePolicy{
				NoScaleOut:     true,
				NoFencingUntil: zone.Since + 2*m.MaxLeaseLifetime(),
			}
		case Lost:
			policies[zone.Name] = lostZonePolicy(now, zone, lease)
		case Returning:
			// One machine at a time probes the zone until a machine there is reachable.
			policies[zone.Name] = autoscaler.ZonePolicy{
				ProbeOnly:      zone.Evidence.Reachable == 0,
				NoFencingUntil: zone.Since + lease,
			}
		}
	}
	return policies
}

// lostZonePolicy returns the policy for a lost zone. If its machines are unreachable, new ones would be as well, so
// they are probed one at a time. If all its machines have failed, new ones are useful as soon as the cloud has any.
func lostZonePolicy(now time.Duration, zone Zone, lease time.Duration) autoscaler.ZonePolicy {
	if zone.Evidence.Machines == 0 && zone.Evidence.Departed > 0 {
		return autoscaler.ZonePolicy{}
	}
	probe := now-zone.Since > probeLostZoneLeases*lease
	return autoscaler.ZonePolicy{
		NoScaleOut:        !probe,
		ProbeOnly:         probe,
		IgnoreUnreachable: true,
		NoFencingUntil:    zone.Since + retainLostZoneLeases*lease,
	}
}

// RecordDepartedMachine records that a machine failed or left the cloud's list without being released, which is
// evidence against its zone while the zone is not available. The method does nothing for a nil Manager.
func (m *Manager) RecordDepartedMachine(name string) {
	if m == nil {
		return
	}
	machine := m.options.Machines.Machine(name)
	if machine == nil || m.monitor.State(machine.Zone) == Available {
		return
	}
	m.departedMachines[name] = machine.Zone
}
