package failuredetector

import (
	"fmt"
	"strings"
	"time"
)

// Decision is a typed decision with its reasons; Describe tells it in one line, for people and scripts.
type Decision interface{ Describe() string }

// Suspected says that a controller is suspected.
type Suspected struct {
	Controller  string
	Incarnation Incarnation
	SilentFor   time.Duration
	Phi         float64
	HealthScore int // of the observer's own timers
}

// SuspicionCleared says that a suspicion has ended: the controller was heard, or reached through a peer.
type SuspicionCleared struct {
	Controller     string
	Incarnation    Incarnation
	SuspectedFor   time.Duration
	ReachedThrough string // "": heard by the observer itself
}

// Observation is what one controller contributes to a verdict.
type Observation struct {
	Observer    string
	HealthScore int
	Opinion     Opinion
}

// Verdict says that a majority holds that a controller has failed, and why.
type Verdict struct {
	Controller  string
	Incarnation Incarnation
	GroupSize   int // that there are
	Evidence    []Observation
}

// Returned says that a controller is heard again after a verdict on an earlier incarnation.
type Returned struct {
	Controller                     string
	Incarnation, FailedIncarnation Incarnation
}

// String returns an incarnation in a form for logs.
func (i Incarnation) String() string { return fmt.Sprintf("%x.%d", i.Process, i.Refutations) }

// Describe tells the decision.
func (d Suspected) Describe() string {
	return fmt.Sprintf(
		"controller %s (%s) is suspected: silent for %v, phi %.1f, own timers %s",
		d.Controller,
		d.Incarnation,
		roundToMillisecond(d.SilentFor),
		d.Phi,
		describeHealthScore(d.HealthScore),
	)
}

// Describe tells the decision.
func (d SuspicionCleared) Describe() string {
	how := "it was heard"
	if d.ReachedThrough != "" {
		how = "it was reached through " + d.ReachedThrough
	}
	return fmt.Sprintf(
		"controller %s (%s) is no longer suspected after %v: %s",
		d.Controller,
		d.Incarnation,
		roundToMillisecond(d.SuspectedFor),
		how,
	)
}

// Describe tells the decision.
func (d Verdict) Describe() string {
	var lines []string
	for _, e := range d.Evidence {
		lines = append(lines, fmt.Sprintf(
			"%s heard it %v ago, phi %.1f, not reached through %s, own timers %s",
			e.Observer,
			roundToMillisecond(e.Opinion.HeardAgo),
			e.Opinion.Phi,
			strings.Join(e.Opinion.UnreachableThrough, " and "),
			describeHealthScore(e.HealthScore),
		))
	}
	return fmt.Sprintf(
		"verdict: controller %s (%s) has failed, by %d of %d: %s",
		d.Controller,
		d.Incarnation,
		len(d.Evidence),
		d.GroupSize,
		strings.Join(lines, "; "),
	)
}

// Describe tells the decision.
func (d Returned) Describe() string {
	return fmt.Sprintf(
		"controller %s is back as %s after the verdict on %s",
		d.Controller,
		d.Incarnation,
		d.FailedIncarnation,
	)
}

func roundToMillisecond(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func describeHealthScore(health int) string {
	if health == 0 {
		return "punctual"
	}
	return fmt.Sprintf("late (%d of %d)", health, maxHealthScore)
}
