package failuredetector

import (
	"math"
	"time"
)

// accrualDetector is an adaptive failure detector of one peer. From the intervals between its
// heartbeats it computes phi, a measure of how unlikely the current silence is. It is the phi
// accrual detector of Hayashibara et al. (2004), with normally distributed intervals.
type accrualDetector struct {
	lastHeardAt   time.Duration
	lastReachedAt time.Duration // when it was last known to live without being heard here
	intervals     []float64     // the last intervals between heartbeats, in seconds
	nextIndex     int           // of the interval that is replaced next
	sum           float64
	sumOfSquares  float64
}

const (
	// maxSamples is how many intervals are remembered.
	maxSamples = 64
	// phiThreshold is the phi at which a peer is suspected: a silence of a probability of 10^-8.
	phiThreshold = 8
	// maxPhi stands for silences that are practically impossible.
	maxPhi = 100
	// minDeviation is the least standard deviation assumed, as a fraction of the heartbeat interval: a
	// peer that has been punctual for a while may still be late.
	minDeviation = 0.25
	// maxGap is the longest interval that is remembered, in heartbeat intervals: one long outage must
	// not make the detector blind for dozens of heartbeats.
	maxGap = 8
)

// observe notes a heartbeat. One that comes within a quarter of the interval after another, such as
// an answer beside a heartbeat, says nothing about the pace and is ignored.
func (a *accrualDetector) observe(now, interval time.Duration) {
	gap := now - a.lastHeardAt
	if gap < interval/4 {
		return
	}
	if a.lastHeardAt > 0 {
		a.addInterval(min(gap, maxGap*interval).Seconds())
	}
	a.lastHeardAt = now
}

func (a *accrualDetector) addInterval(seconds float64) {
	if len(a.intervals) < maxSamples {
		a.intervals = append(a.intervals, seconds)
	} else {
		old := a.intervals[a.nextIndex]
		a.sum -= old
		a.sumOfSquares -= old * old
		a.intervals[a.nextIndex] = seconds
		a.nextIndex = (a.nextIndex + 1) % maxSamples
	}
	a.sum += seconds
	a.sumOfSquares += seconds * seconds
}

// lastAliveAt is when the peer was last known to live.
func (a *accrualDetector) lastAliveAt() time.Duration { return max(a.lastHeardAt, a.lastReachedAt) }

// phi returns the negative decimal logarithm of the probability that a live peer is silent until
// now. slack is added to the expected interval: an observer that is late itself hears everybody
// late.
func (a *accrualDetector) phi(now, interval, slack time.Duration) float64 {
	mean, variance := interval.Seconds(), 0.0
	if n := float64(len(a.intervals)); n > 0 {
		mean = max(mean, a.sum/n)
		variance = max(0, a.sumOfSquares/n-(a.sum/n)*(a.sum/n))
	}
	deviation := max(math.Sqrt(variance), minDeviation*interval.Seconds())
	late := ((now - a.lastAliveAt() - slack).Seconds() - mean) / deviation
	probability := 0.5 * math.Erfc(late/math.Sqrt2)
	if probability <= 0 {
		return maxPhi
	}
	return min(maxPhi, -math.Log10(probability))
}
