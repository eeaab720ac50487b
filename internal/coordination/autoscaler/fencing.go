package autoscaler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Limits on fencing in unreachable zones.
const (
	// A zone counts as unreachable if more than maxUnreachableMachines of its machines, and more than one in
	// maxUnreachableDivisor, are unreachable.
	maxUnreachableMachines = 2
	maxUnreachableDivisor  = 3
	// unreachableFencingLeases is the time without heartbeats, in leases, after which machines in an unreachable zone
	// are fenced after all. Each plan fences at most one in unreachableFencingDivisor of the zone's machines.
	unreachableFencingLeases  = 3
	unreachableFencingDivisor = 20
)

// zoneCounts holds the numbers of all machines and of unreachable machines in a zone.
type zoneCounts struct{ machines, unreachable int }

// isUnreachable reports whether so many machines are unreachable at once that a network failure is more likely than
// machine failures.
func (z zoneCounts) isUnreachable() bool {
	return z.unreachable > max(maxUnreachableMachines, z.machines/maxUnreachableDivisor)
}

// fenceUnreachable marks machines that have been unreachable for too long for release to the cloud, because only their
// release proves that their tasks no longer run. While a zone as a whole is unreachable, and for one lease after that,
// fencing is delayed: workers that lost their controller need about a lease to find another one, and any machine fenced
// before that would be a healthy one.
func (a *Autoscaler) fenceUnreachable(now time.Duration) {
	zones, overdue := a.findUnreachable(now)
	lease := config.Seconds(a.workerSettings.LeaseSeconds)
	for name, zone := range zones {
		if zone.isUnreachable() {
			a.unreachableUntil[name] = now + lease
		}
	}
	fenced := map[string]int{}
	for _, m := range overdue {
		if now < a.unreachableUntil[m.Zone] {
			limit := max(1, zones[m.Zone].machines/unreachableFencingDivisor)
			if now-m.LastHeartbeat < unreachableFencingLeases*lease || fenced[m.Zone] >= limit {
				continue
			}
			fenced[m.Zone]++
		}
		m.MarkTerminating()
	}
}

// findUnreachable counts the unreachable machines of each zone and returns the machines that are overdue for fencing.
// It fences machines with an overdue cancelled task at once, even if their zone may be unreachable and the worker may
// have ended the task by itself, because users were told that the task no longer runs.
func (a *Autoscaler) findUnreachable(
	now time.Duration,
) (zones map[string]zoneCounts, overdue []*machineregistry.Machine) {
	timeout, unreachableTimeout := a.FencingTimeout(), a.registry.UnreachableTimeout()
	// An unreachable zone must be recognized before the first of its machines is overdue.
	unreachableAfter := min(unreachableTimeout, timeout-config.Seconds(a.workerSettings.HeartbeatSeconds))
	zones = map[string]zoneCounts{}
	a.registry.Each(func(m *machineregistry.Machine) {
		if !m.Registered && m.PlacementCount() == 0 {
			return
		}
		sinceHeartbeat := now - m.LastHeartbeat
		zone := zones[m.Zone]
		zone.machines++
		if sinceHeartbeat > unreachableAfter {
			zone.unreachable++
		}
		zones[m.Zone] = zone
		switch {
		case sinceHeartbeat > unreachableTimeout && m.FencingDue(now):
			m.MarkTerminating()
		case sinceHeartbeat > timeout && now >= a.zonePolicies[m.Zone].NoFencingUntil:
			overdue = append(overdue, m)
		}
	})
	return zones, overdue
}

// FencingTimeout returns how long a machine may send no heartbeat before it is fenced. The timeout allows a worker to
// send a late heartbeat, wait for a reply that never arrives and try the next controller, but is at most three quarters
// of a lease.
func (a *Autoscaler) FencingTimeout() time.Duration {
	heartbeat := config.Seconds(a.workerSettings.HeartbeatSeconds)
	return min(
		config.Seconds(a.workerSettings.LeaseSeconds)*3/4,
		heartbeat*3/2+protocol.HeartbeatTimeout+protocol.HeartbeatRetryDelay,
	)
}
