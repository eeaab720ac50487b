package autoscaler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Bounds on fencing while a zone is unreachable.
const (
	// unreachableMinSilent machines of a zone, and one in unreachableMinPart, are silent at most
	// while the zone counts as reachable.
	unreachableMinSilent = 2
	unreachableMinPart   = 3
	// unreachableFencingLeases is after how many leases of silence machines of an unreachable zone
	// are fenced after all, one in unreachableFencingPart per plan.
	unreachableFencingLeases = 3
	unreachableFencingPart   = 20
)

// zoneReach counts the machines of a zone.
type zoneReach struct{ machines, silent int }

// isUnreachable reports whether so many machines are silent at once that the network is the
// likelier cause than the machines.
func (z zoneReach) isUnreachable() bool {
	return z.silent > max(unreachableMinSilent, z.machines/unreachableMinPart)
}

// fenceSilent fences machines that have been silent for too long: they are returned to the cloud,
// as only that proves that their tasks do not run. In a zone that is unreachable as a whole it
// waits, and for another lease after that: workers that lost their controller need until about
// then to find another, and each machine fenced before is a healthy one.
func (a *Autoscaler) fenceSilent(now time.Duration) {
	zones, overdue := a.findSilent(now)
	lease := config.Seconds(a.workerSettings.LeaseSeconds)
	for name, zone := range zones {
		if zone.isUnreachable() {
			a.unreachableUntil[name] = now + lease
		}
	}
	fenced := map[string]int{}
	for _, m := range overdue {
		if now < a.unreachableUntil[m.Zone] {
			quota := max(1, zones[m.Zone].machines/unreachableFencingPart)
			if now-m.LastHeartbeat < unreachableFencingLeases*lease || fenced[m.Zone] >= quota {
				continue
			}
			fenced[m.Zone]++
		}
		m.MarkTerminating()
	}
}

// findSilent counts the silent machines of each zone and returns those that are overdue for
// fencing. Machines with an overdue cancelled task are fenced at once: their zone may be
// unreachable, and the worker may have ended the task by itself, but users were told that the task
// does not run any more.
func (a *Autoscaler) findSilent(
	now time.Duration,
) (zones map[string]zoneReach, overdue []*machineregistry.Machine) {
	timeout, silenceTimeout := a.FencingTimeout(), a.registry.SilenceTimeout()
	// It must show that a zone is unreachable before the first of its machines is overdue.
	silentAfter := min(silenceTimeout, timeout-config.Seconds(a.workerSettings.HeartbeatSeconds))
	zones = map[string]zoneReach{}
	a.registry.Each(func(m *machineregistry.Machine) {
		if !m.Registered && m.PlacementCount() == 0 {
			return
		}
		silence := now - m.LastHeartbeat
		zone := zones[m.Zone]
		zone.machines++
		if silence > silentAfter {
			zone.silent++
		}
		zones[m.Zone] = zone
		switch {
		case silence > silenceTimeout && m.FencingDue(now):
			m.MarkTerminating()
		case silence > timeout && now >= a.zonePolicies[m.Zone].NoFencingUntil:
			overdue = append(overdue, m)
		}
	})
	return zones, overdue
}

// FencingTimeout is how long a machine may be silent before it is fenced. It leaves a worker the
// time to send a late heartbeat, to wait for its reply in vain and to try the next controller, but
// is no longer than three quarters of a lease.
func (a *Autoscaler) FencingTimeout() time.Duration {
	heartbeat := config.Seconds(a.workerSettings.HeartbeatSeconds)
	return min(
		config.Seconds(a.workerSettings.LeaseSeconds)*3/4,
		heartbeat*3/2+protocol.HeartbeatTimeout+protocol.HeartbeatRetryDelay,
	)
}
