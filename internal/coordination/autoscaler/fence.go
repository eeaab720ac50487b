package autoscaler

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// fenceSilent fences machines: those that cannot be heard for a while are released,
// since only that proves their tasks gone. When many of a zone fall silent at
// once, the network is the likelier cause, and we wait; also for those that come
// back later than the others, since workers that lost their controller need
// until about then to find a way round, and each that is fenced is a healthy one.
func (f *Autoscaler) fenceSilent(now time.Duration, p *machineregistry.Registry) {
	lease, patience := config.Seconds(f.workerSettings.LeaseSeconds), f.FencingTimeout()
	// That a zone falls silent must be plain before the first of its machines
	// would be fenced.
	late := min(p.SilenceTimeout(), patience-config.Seconds(f.workerSettings.HeartbeatSeconds))
	up, quiet := map[string]int{}, map[string]int{}
	var dead []*machineregistry.Machine
	p.Each(func(m *machineregistry.Machine) {
		if !m.Registered && m.PlacementCount() == 0 {
			return
		}
		up[m.Zone]++
		if now-m.LastHeartbeat > late {
			quiet[m.Zone]++
		}
		switch {
		case now-m.LastHeartbeat > p.SilenceTimeout() && m.FencingDue(now):
			// Its zone may be dark, and it may have ended its tasks by itself; but users
			// were told that they are gone.
			m.MarkTerminating()
		case now-m.LastHeartbeat > patience && now >= f.zonePolicies[m.Zone].NoFencingUntil:
			dead = append(dead, m)
		}
	})
	for zone, n := range quiet {
		if n > max(2, up[zone]/3) {
			f.unreachableUntil[zone] = now + lease
		}
	}
	fenced := map[string]int{}
	for _, m := range dead {
		if now < f.unreachableUntil[m.Zone] {
			if now-m.LastHeartbeat < 3*lease || fenced[m.Zone] >= max(1, up[m.Zone]/20) {
				continue
			}
			fenced[m.Zone]++
		}
		m.MarkTerminating()
	}
}

// FencingTimeout is how long a machine may be silent before it is fenced: as long as a
// worker takes that reports at its slowest, waits for an answer in vain and goes
// on to the next controller, and no longer than most of a lease.
func (f *Autoscaler) FencingTimeout() time.Duration {
	report := config.Seconds(f.workerSettings.HeartbeatSeconds)
	return min(
		config.Seconds(f.workerSettings.LeaseSeconds)*3/4,
		report*3/2+protocol.HeartbeatTimeout+protocol.HeartbeatRetryDelay,
	)
}
