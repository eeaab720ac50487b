package fleet

import (
	"slices"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// release returns the machines that are condemned, never came up, or have had nothing to do for
// long enough; as many as the cloud's rate allows, those first on which cancelled tasks are overdue.
// The others have their turn in the next plans.
func (f *Fleet) release(now time.Duration, p *partition.Partition, used map[string]bool) (effects []Effect) {
	var overdue, others []*partition.Machine
	p.Each(func(m *partition.Machine) {
		switch {
		case f.releasing[m.Name] || !f.leaves(now, p, m, used):
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
			m.Condemned = true
			f.releasing[m.Name] = true
			names[i] = m.Name
		}
		effects = append(effects, Release{names})
	}
	return effects
}

// leaves says whether a machine is to be returned.
func (f *Fleet) leaves(now time.Duration, p *partition.Partition, m *partition.Machine, used map[string]bool) bool {
	t := p.Type(m.Type)
	if t == nil {
		return m.Count() > 0 && m.Condemned
	}
	boot := config.Seconds(t.BootSeconds)
	switch {
	case m.Sick && m.Count() == 0, m.Notice && m.Count() == 0, m.Condemned:
		return true
	case !m.Up && now-m.Rented > 4*boot && now-m.Heard > boot && (m.Count() == 0 || now >= f.policies[m.Zone].KeepUntil):
		return true // it never came up, and is charged until it is deleted
	default:
		// Idle beyond what is forecast; a machine is paid for a minute anyway.
		return m.Up && m.Count() == 0 && !used[m.Name] && f.Known() && now-m.IdleSince > boot/8 && now-m.Rented > time.Minute &&
			now-m.Heard <= p.Silent()
	}
}
