package suspicion

import (
	"math"
	"time"
)

// accrual is an adaptive failure detector of one peer: from the times between its messages it tells
// how unlikely a silence is (the phi accrual detector of Hayashibara and others, 2004, with the
// times taken to be normally distributed).
type accrual struct {
	last    time.Duration // when it was last heard
	reached time.Duration // when it was last known to live in another way
	gaps    []float64     // the last times between messages, in seconds
	next    int           // which of them is replaced next
	sum     float64
	squares float64
}

// Figures of the detector.
const (
	// samples is how many times between messages are remembered.
	samples = 64
	// suspectPhi is from which phi on a peer is suspected: a silence that comes once in so many powers
	// of ten.
	suspectPhi = 8
	// maxPhi stands for silences that are as good as impossible.
	maxPhi = 100
	// leastDeviation is the least standard deviation, as a part of the interval: a peer that has been
	// punctual for a while may be late all the same.
	leastDeviation = 0.25
	// longestGap is the longest time between messages that is remembered, in intervals: one long outage
	// must not make the detector blind for dozens of messages.
	longestGap = 8
)

// heard notes a message. What comes sooner than a fourth of the interval after another, an answer
// beside a heartbeat, tells nothing of the pace.
func (a *accrual) heard(now, interval time.Duration) {
	gap := now - a.last
	if gap < interval/4 {
		return
	}
	if a.last > 0 {
		a.add(min(gap, longestGap*interval).Seconds())
	}
	a.last = now
}

func (a *accrual) add(gap float64) {
	if len(a.gaps) < samples {
		a.gaps = append(a.gaps, gap)
	} else {
		old := a.gaps[a.next]
		a.sum -= old
		a.squares -= old * old
		a.gaps[a.next] = gap
		a.next = (a.next + 1) % samples
	}
	a.sum += gap
	a.squares += gap * gap
}

// alive is when the peer was last known to live.
func (a *accrual) alive() time.Duration { return max(a.last, a.reached) }

// phi tells how unlikely the silence until now is. slack is added to what was usual: an observer that
// is late itself hears everybody late.
func (a *accrual) phi(now, interval, slack time.Duration) float64 {
	mean, variance := interval.Seconds(), 0.0
	if n := float64(len(a.gaps)); n > 0 {
		mean = max(mean, a.sum/n)
		variance = max(0, a.squares/n-(a.sum/n)*(a.sum/n))
	}
	deviation := max(math.Sqrt(variance), leastDeviation*interval.Seconds())
	late := ((now - a.alive() - slack).Seconds() - mean) / deviation
	probability := 0.5 * math.Erfc(late/math.Sqrt2)
	if probability <= 0 {
		return maxPhi
	}
	return min(maxPhi, -math.Log10(probability))
}
