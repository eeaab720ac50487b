package failuredetector

import "time"

// maxHealthScore bounds how far lateness of the own ticks extends the timeouts.
const maxHealthScore = 8

// updateHealthScore notes how late this tick is. A tick that is late by more than half an interval
// raises the score by one, and by another one for each full interval. A punctual tick lowers it by
// one.
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

// slack is how much the timeouts are extended because this process itself is late.
func (d *Detector) slack() time.Duration { return time.Duration(d.healthScore) * d.timing.TickInterval }

func (d *Detector) phi(now time.Duration, p *peer) float64 {
	return p.accrual.phi(now, d.timing.TickInterval, d.slack())
}
