package fleet

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// release returns the machines that are condemned, never came up, or have had nothing to do for
// long enough.
func (f *Fleet) release(now time.Duration, p *partition.Partition, used map[string]bool) (effects []Effect) {
	var names []string
	p.Each(func(m *partition.Machine) {
		if f.releasing[m.Name] || len(names) >= protocol.MaxRelease {
			return
		}
		t := p.Type(m.Type)
		if t == nil {
			if m.Count() > 0 && m.Condemned {
				names = append(names, m.Name)
			}
			return
		}
		boot := config.Seconds(t.BootS)
		switch {
		case m.Sick && m.Count() == 0, m.Notice && m.Count() == 0, m.Condemned:
		case !m.Up && now-m.Rented > 4*boot && now-m.Heard > boot && (m.Count() == 0 || now >= f.policies[m.Zone].KeepUntil):
			// It never came up, and is charged until it is deleted.
		case m.Up && m.Count() == 0 && !used[m.Name] && f.Known() && now-m.IdleSince > boot/8 && now-m.Rented > time.Minute &&
			now-m.Heard <= p.Silent():
			// Idle beyond what is forecast; a machine is paid for a minute anyway.
		default:
			return
		}
		m.Condemned = true
		names = append(names, m.Name)
	})
	for _, n := range names {
		f.releasing[n] = true
	}
	if len(names) > 0 {
		effects = append(effects, Release{names})
	}
	return effects
}
