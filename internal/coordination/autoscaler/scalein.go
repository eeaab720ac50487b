package autoscaler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Times after which machines are returned.
const (
	// bootTimeoutFactor is after how many boot times a machine counts as never having come up.
	bootTimeoutFactor = 4
	// idleBootDivisor is the part of a boot time for which an idle machine is kept.
	idleBootDivisor = 8
	// minRentalTime is what the cloud charges for at least.
	minRentalTime = time.Minute
)

// HandleScaleIn notes the outcome of a ScaleIn effect. If it succeeded, the machines are proven to
// be gone: the caller must remove them from the registry. Otherwise they are returned once more.
func (a *Autoscaler) HandleScaleIn(now time.Duration, machines []string, succeeded bool) {
	remember := config.Seconds(releasedMemoryFactor * a.workerSettings.CancelSeconds)
	for name, releasedAt := range a.list.releasedAt {
		if now-releasedAt > remember {
			delete(a.list.releasedAt, name)
		}
	}
	for _, name := range machines {
		delete(a.releasing, name)
		if succeeded {
			a.list.releasedAt[name] = now
			delete(a.list.firstSeen, name)
		}
	}
}

// scaleIn returns machines to the cloud that are no longer needed or usable, except those that are
// used for the demands. The cloud's rate limits how many; machines with overdue cancelled tasks go
// first, and the rest waits for the next plan.
func (a *Autoscaler) scaleIn(
	now time.Duration,
	used map[string]bool,
) (effects []Effect) {
	var overdue, others []*machineregistry.Machine
	a.registry.Each(func(m *machineregistry.Machine) {
		switch {
		case a.releasing[m.Name] || !a.shouldScaleIn(now, m, used):
		case m.FencingDue(now):
			overdue = append(overdue, m)
		default:
			others = append(others, m)
		}
	})
	leaving := append(overdue, others...)
	leaving = leaving[:min(len(leaving), protocol.MaxMachinesPerRelease*a.callsPerPlan())]
	for batch := range slices.Chunk(leaving, protocol.MaxMachinesPerRelease) {
		names := make([]string, len(batch))
		for i, m := range batch {
			m.MarkTerminating()
			a.releasing[m.Name] = true
			names[i] = m.Name
		}
		effects = append(effects, ScaleIn{Machines: names})
	}
	return effects
}

// shouldScaleIn reports whether a machine is to be returned.
func (a *Autoscaler) shouldScaleIn(
	now time.Duration,
	m *machineregistry.Machine,
	used map[string]bool,
) bool {
	empty := m.PlacementCount() == 0
	t := a.registry.MachineType(m.Type)
	if t == nil {
		return !empty && m.Terminating
	}
	boot := config.Seconds(t.BootSeconds)
	switch {
	case m.Terminating, m.Quarantined && empty, m.InterruptionNotice && empty:
		return true
	case !m.Registered:
		return a.neverCameUp(now, m, boot)
	default:
		return empty && !used[m.Name] && a.HasMachineList() && isIdle(now, m, boot) &&
			now-m.LastHeartbeat <= a.registry.SilenceTimeout()
	}
}

// neverCameUp reports whether a machine that is not registered is given up. It is charged until it
// is returned.
func (a *Autoscaler) neverCameUp(now time.Duration, m *machineregistry.Machine, boot time.Duration) bool {
	if now-m.RentedAt <= bootTimeoutFactor*boot || now-m.LastHeartbeat <= boot {
		return false
	}
	return m.PlacementCount() == 0 || now >= a.zonePolicies[m.Zone].NoFencingUntil
}

// isIdle reports whether an empty machine has been idle for long enough to be returned.
func isIdle(now time.Duration, m *machineregistry.Machine, boot time.Duration) bool {
	return now-m.IdleSince > boot/idleBootDivisor && now-m.RentedAt > minRentalTime
}
