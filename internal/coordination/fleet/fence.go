package fleet

import (
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/partition"
	"pinebay/internal/protocol"
)

// silent fences machines: those that cannot be heard for a while are released,
// since only that proves their tasks gone. When many of a zone fall silent at
// once, the network is the likelier cause, and we wait; also for those that come
// back later than the others, since workers that lost their controller need
// until about then to find a way round, and each that is fenced is a healthy one.
func (f *Fleet) silent(now time.Duration, p *partition.Partition) {
	lease, patience := config.Seconds(f.workers.LeaseS), f.Patience()
	// That a zone falls silent must be plain before the first of its machines
	// would be fenced.
	late := min(p.Silent(), patience-config.Seconds(f.workers.ReportS))
	up, quiet := map[string]int{}, map[string]int{}
	var dead []*partition.Machine
	p.Each(func(m *partition.Machine) {
		if !m.Up && m.Count() == 0 {
			return
		}
		up[m.Zone]++
		if now-m.Heard > late {
			quiet[m.Zone]++
		}
		switch {
		case now-m.Heard > p.Silent() && m.FencingDue(now):
			// Its zone may be dark, and it may have ended its tasks by itself; but users
			// were told that they are gone.
			m.Condemned = true
		case now-m.Heard > patience && now >= f.policies[m.Zone].KeepUntil:
			dead = append(dead, m)
		}
	})
	for zone, n := range quiet {
		if n > max(2, up[zone]/3) {
			f.darkUntil[zone] = now + lease
		}
	}
	fenced := map[string]int{}
	for _, m := range dead {
		if now < f.darkUntil[m.Zone] {
			if now-m.Heard < 3*lease || fenced[m.Zone] >= max(1, up[m.Zone]/20) {
				continue
			}
			fenced[m.Zone]++
		}
		m.Condemned = true
	}
}

// Patience is how long a machine may be silent before it is fenced: as long as a
// worker takes that reports at its slowest, waits for an answer in vain and goes
// on to the next controller, and no longer than most of a lease.
func (f *Fleet) Patience() time.Duration {
	report := config.Seconds(f.workers.ReportS)
	return min(config.Seconds(f.workers.LeaseS)*3/4, report*3/2+protocol.HeartbeatTimeout+protocol.HeartbeatRetryDelay)
}
