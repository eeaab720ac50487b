package failuredetector

import (
	"fmt"
	"strings"
	"time"
)

// Decision is a decision of the detector together with its reasons. Describe returns it as one line, which is used in
// the log and as the reason in the ownership record.
type Decision interface{ Describe() string }

// Suspected reports that this controller has started to suspect another one.
type Suspected struct {
	Controller       string
	Incarnation      Incarnation
	SinceLastContact time.Duration
	Phi              float64
	HealthScore      int // health score of the observer
}

// SuspicionCleared reports that a suspicion has ended, because there was direct contact with the controller or it was
// reached through a peer.
type SuspicionCleared struct {
	Controller     string
	Incarnation    Incarnation
	SuspectedFor   time.Duration
	ReachedThrough string // "" if the observer had direct contact with it
}

// Observation is the contribution of one controller to a verdict.
type Observation struct {
	Observer    string
	HealthScore int
	Opinion     Opinion
}

// Verdict reports that a quorum considers a controller failed, and on which evidence.
type Verdict struct {
	Controller  string
	Incarnation Incarnation
	GroupSize   int // number of controllers in the group, including the failed one
	Evidence    []Observation
}

// Rejoined reports that contact with a controller was restored after a verdict on an earlier incarnation of it.
type Rejoined struct {
	Controller                     string
	Incarnation, FailedIncarnation Incarnation
}

// String formats the incarnation as PROCESS.REFUTATIONS.
func (i Incarnation) String() string { return fmt.Sprintf("%x.%d", i.Process, i.Refutations) }

// Describe implements Decision.
func (d Suspected) Describe() string {
	return fmt.Sprintf("controller %s (%s) is suspected: no contact for %v, phi %.1f, own timers %s",
		d.Controller, d.Incarnation, roundToMillisecond(d.SinceLastContact), d.Phi, describeHealthScore(d.HealthScore))
}

// Describe implements Decision.
func (d SuspicionCleared) Describe() string {
	how := "contact was restored"
	if d.ReachedThrough != "" {
		how = "it was reached through " + d.ReachedThrough
	}
	return fmt.Sprintf("controller %s (%s) is no longer suspected after %v: %s",
		d.Controller, d.Incarnation, roundToMillisecond(d.SuspectedFor), how)
}

// Describe implements Decision.
func (d Verdict) Describe() string {
	var observations []string
	for _, o := range d.Evidence {
		observations = append(observations, o.describe())
	}
	return fmt.Sprintf("verdict: controller %s (%s) has failed, by %d of %d: %s",
		d.Controller, d.Incarnation, len(d.Evidence), d.GroupSize, strings.Join(observations, "; "))
}

func (o Observation) describe() string {
	return fmt.Sprintf("%s heard it %v ago, phi %.1f, not reached through %s, own timers %s",
		o.Observer, roundToMillisecond(o.Opinion.SinceLastContact), o.Opinion.Phi,
		strings.Join(o.Opinion.UnreachableThrough, " and "), describeHealthScore(o.HealthScore))
}

// Describe implements Decision.
func (d Rejoined) Describe() string {
	return fmt.Sprintf(
		"controller %s is back as %s after the verdict on %s",
		d.Controller,
		d.Incarnation,
		d.FailedIncarnation,
	)
}

func roundToMillisecond(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func describeHealthScore(score int) string {
	if score == 0 {
		return "punctual"
	}
	return fmt.Sprintf("late (%d of %d)", score, maxHealthScore)
}
