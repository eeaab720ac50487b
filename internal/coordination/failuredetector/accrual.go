package failuredetector

import (
	"math"
	"time"
)

// accrualDetector is an adaptive failure detector of one peer: from the times between its messages it tells
// how unlikely a silence is (the phi accrual detector of Hayashibara and others, 2004, with the
// times taken to be normally distributed).
type accrualDetector struct {
	lastHeardAt   time.Duration // when it was last heard
	lastReachedAt time.Duration // when it was last known to live in another way
	intervals     []float64     // the last times between messages, in seconds
	nextIndex     int           // which of them is replaced next
	sum           float64
	sumOfSquares  float64
}

// Figures of the detector.
const (
	// maxSamples is how many times between messages are remembered.
	maxSamples = 64
	// phiThreshold is from which phi on a peer is suspected: a silence that comes once in so many powers
	// of ten.
	phiThreshold = 8
	// maxPhi stands for silences that are as good as impossible.
	maxPhi = 100
	// minDeviation is the least standard deviation, as a part of the interval: a peer that has been
	// punctual for a while may be late all the same.
	minDeviation = 0.25
	// maxGap is the longest time between messages that is remembered, in intervals: one long outage
	// must not make the detector blind for dozens of messages.
	maxGap = 8
)

// observe notes a message. What comes sooner than a fourth of the interval after another, an answer
// beside a heartbeat, tells nothing of the pace.
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

func (a *accrualDetector) addInterval(gap float64) {
	if len(a.intervals) < maxSamples {
		a.intervals = append(a.intervals, gap)
	} else {
		old := a.intervals[a.nextIndex]
		a.sum -= old
		a.sumOfSquares -= old * old
		a.intervals[a.nextIndex] = gap
		a.nextIndex = (a.nextIndex + 1) % maxSamples
	}
	a.sum += gap
	a.sumOfSquares += gap * gap
}

// lastAliveAt is when the peer was last known to live.
func (a *accrualDetector) lastAliveAt() time.Duration { return max(a.lastHeardAt, a.lastReachedAt) }

// phi tells how unlikely the silence until now is. slack is added to what was usual: an observer that
// is late itself hears everybody late.
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
