package autoscaler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// Timeouts for releasing machines.
const (
	// bootTimeoutFactor is the number of boot times after which a machine that has not registered is given up.
	bootTimeoutFactor = 4
	// idleBootDivisor sets how long an idle machine is kept: its boot time divided by idleBootDivisor.
	idleBootDivisor = 8
	// minRentalTime is the shortest time that the cloud charges for.
	minRentalTime = time.Minute
)

// HandleScaleIn records the outcome of a ScaleIn effect. If it succeeded, the machines are proven to be terminated, and
// the caller must remove them from the registry. Otherwise a later plan releases them again.
func (a *Autoscaler) HandleScaleIn(now time.Duration, machines []string, succeeded bool) {
	retention := config.Seconds(releaseRetentionFactor * a.workerSettings.CancelSeconds)
	for name, releasedAt := range a.list.releasedAt {
		if now-releasedAt > retention {
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

// scaleIn releases machines that are no longer needed or usable, except those in used. The cloud's request rate limits
// how many are released per plan: machines with overdue cancelled tasks go first, and the remaining ones wait for the
// next plan.
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
	toRelease := append(overdue, others...)
	toRelease = toRelease[:min(len(toRelease), protocol.MaxMachinesPerRelease*a.callsPerPlan())]
	for batch := range slices.Chunk(toRelease, protocol.MaxMachinesPerRelease) {
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

// shouldScaleIn reports whether a machine should be released.
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
		return a.bootTimedOut(now, m, boot)
	default:
		return empty && !used[m.Name] && a.HasMachineList() && isIdle(now, m, boot) &&
			now-m.LastHeartbeat <= a.registry.UnreachableTimeout()
	}
}

// bootTimedOut reports whether a machine that has not registered should be given up. The cloud charges for it until it
// is released.
func (a *Autoscaler) bootTimedOut(now time.Duration, m *machineregistry.Machine, boot time.Duration) bool {
	if now-m.RequestedAt <= bootTimeoutFactor*boot || now-m.LastHeartbeat <= boot {
		return false
	}
	return m.PlacementCount() == 0 || now >= a.zonePolicies[m.Zone].NoFencingUntil
}

// isIdle reports whether an empty machine has been idle long enough to be released.
func isIdle(now time.Duration, m *machineregistry.Machine, boot time.Duration) bool {
	return now-m.IdleSince > boot/idleBootDivisor && now-m.RequestedAt > minRentalTime
}
