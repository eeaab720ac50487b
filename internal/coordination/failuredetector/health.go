package failuredetector

import "time"

// maxHealthScore is the upper bound of the health score. It limits how far delayed ticks of this process extend its
// timeouts.
const maxHealthScore = 8

// updateHealthScore updates the health score by the delay of the current tick. A delay of more than half an interval
// raises the score by one, plus one for each full interval. A punctual tick lowers it by one.
func (d *Detector) updateHealthScore(now time.Duration) {
	late := now - d.lastTick - d.timing.TickInterval
	d.lastTick = now
	switch {
	case late > d.timing.TickInterval/2:
		d.healthScore = min(maxHealthScore, d.healthScore+1+int(late/d.timing.TickInterval))
	case d.healthScore > 0:
		d.healthScore--
	}
}

// slack returns how much the timeouts are extended because this process is itself delayed.
func (d *Detector) slack() time.Duration { return time.Duration(d.healthScore) * d.timing.TickInterval }

func (d *Detector) phi(now time.Duration, p *peer) float64 {
	return p.accrual.phi(now, d.timing.TickInterval, d.slack())
}
