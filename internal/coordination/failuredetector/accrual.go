package failuredetector

import (
	"math"
	"time"
)

// accrualDetector is an adaptive failure detector for one peer. From the intervals between the peer's heartbeats it
// computes phi, a measure of how unlikely the time since the last heartbeat is. It implements the phi accrual detector
// of Hayashibara et al. (2004), with normally distributed intervals.
type accrualDetector struct {
	lastContactAt time.Duration
	lastReachedAt time.Duration // when the peer was last known to be alive through another controller
	intervals     []float64     // the latest intervals between heartbeats, in seconds
	nextIndex     int           // index in intervals that is overwritten next
	sum           float64
	sumOfSquares  float64
}

const (
	// maxSamples is the number of intervals in the sample window.
	maxSamples = 64
	// phiThreshold is the phi at which a peer becomes suspected. It corresponds to a time without contact that has a
	// probability of 10^-8.
	phiThreshold = 8
	// maxPhi is the upper bound of phi, used for times whose probability is practically zero.
	maxPhi = 100
	// minStdDev is the lower bound of the standard deviation, as a fraction of the heartbeat interval. Even a peer that
	// has been punctual for a while may be late.
	minStdDev = 0.25
	// maxSampleInterval is the upper bound of a sample, in heartbeat intervals. Without it, one long outage would keep
	// the detector from noticing a failure for dozens of heartbeats.
	maxSampleInterval = 8
)

// recordHeartbeat records a heartbeat. It ignores a heartbeat that arrives less than a quarter of the interval after
// another, such as a reply next to a heartbeat, because such a gap does not reflect the rate at which the peer sends.
func (a *accrualDetector) recordHeartbeat(now, interval time.Duration) {
	gap := now - a.lastContactAt
	if gap < interval/4 {
		return
	}
	if a.lastContactAt > 0 {
		a.addInterval(min(gap, maxSampleInterval*interval).Seconds())
	}
	a.lastContactAt = now
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

// lastAliveAt returns the latest time at which the peer was known to be alive.
func (a *accrualDetector) lastAliveAt() time.Duration { return max(a.lastContactAt, a.lastReachedAt) }

// phi returns the negative decimal logarithm of the probability that a live peer sends no heartbeat until now. slack is
// added to the expected interval, because an observer that is itself delayed receives every heartbeat late.
func (a *accrualDetector) phi(now, interval, slack time.Duration) float64 {
	mean, variance := interval.Seconds(), 0.0
	if n := float64(len(a.intervals)); n > 0 {
		mean = max(mean, a.sum/n)
		variance = max(0, a.sumOfSquares/n-(a.sum/n)*(a.sum/n))
	}
	deviation := max(math.Sqrt(variance), minStdDev*interval.Seconds())
	late := ((now - a.lastAliveAt() - slack).Seconds() - mean) / deviation
	probability := 0.5 * math.Erfc(late/math.Sqrt2)
	if probability <= 0 {
		return maxPhi
	}
	return min(maxPhi, -math.Log10(probability))
}
