package autoscaler

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
)

// scaleIn returns the machines that are condemned, never came up, or have had nothing to do for
// long enough; as many as the cloud's rate allows, those first on which cancelled tasks are overdue.
// The others have their turn in the next plans.
func (f *Autoscaler) scaleIn(now time.Duration, p *machineregistry.Registry, used map[string]bool) (effects []Effect) {
	var overdue, others []*machineregistry.Machine
	p.Each(func(m *machineregistry.Machine) {
		switch {
		case f.releasing[m.Name] || !f.shouldScaleIn(now, p, m, used):
		case m.FencingDue(now):
			overdue = append(overdue, m)
		default:
			others = append(others, m)
		}
	})
	leaving := append(overdue, others...)
	leaving = leaving[:min(len(leaving), protocol.MaxMachinesPerRelease*f.callsPerPlan())]
	for call := range slices.Chunk(leaving, protocol.MaxMachinesPerRelease) {
		names := make([]string, len(call))
		for i, m := range call {
			m.MarkTerminating()
			f.releasing[m.Name] = true
			names[i] = m.Name
		}
		effects = append(effects, ScaleIn{names})
	}
	return effects
}

// shouldScaleIn says whether a machine is to be returned.
func (f *Autoscaler) shouldScaleIn(
	now time.Duration,
	p *machineregistry.Registry,
	m *machineregistry.Machine,
	used map[string]bool,
) bool {
	t := p.MachineType(m.Type)
	if t == nil {
		return m.PlacementCount() > 0 && m.Terminating
	}
	boot := config.Seconds(t.BootSeconds)
	switch {
	case m.Quarantined && m.PlacementCount() == 0, m.InterruptionNotice && m.PlacementCount() == 0, m.Terminating:
		return true
	case !m.Registered && now-m.RentedAt > 4*boot && now-m.LastHeartbeat > boot && (m.PlacementCount() == 0 || now >= f.zonePolicies[m.Zone].NoFencingUntil):
		return true // it never came up, and is charged until it is deleted
	default:
		// Idle beyond what is forecast; a machine is paid for a minute anyway.
		return m.Registered && m.PlacementCount() == 0 && !used[m.Name] && f.HasMachineList() &&
			now-m.IdleSince > boot/8 &&
			now-m.RentedAt > time.Minute &&
			now-m.LastHeartbeat <= p.SilenceTimeout()
	}
}
