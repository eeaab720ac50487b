package suspicion

import (
	"fmt"
	"strings"
	"time"
)

// Decision is a typed decision with its reasons; Describe tells it in one line, for people and scripts.
type Decision interface{ Describe() string }

// Suspected says that a controller is suspected.
type Suspected struct {
	Node   string
	Of     Incarnation
	Silent time.Duration
	Phi    float64
	Health int // of the observer's own timers
}

// Cleared says that a suspicion has ended: the controller was heard, or reached through a peer.
type Cleared struct {
	Node    string
	Of      Incarnation
	After   time.Duration
	Through string // "": heard by the observer itself
}

// Observation is what one controller contributes to a verdict.
type Observation struct {
	Observer string
	Health   int
	Opinion  Opinion
}

// Verdict says that a majority holds that a controller has failed, and why.
type Verdict struct {
	Node        string
	Of          Incarnation
	Controllers int // that there are
	Evidence    []Observation
}

// Returned says that a controller is heard again after a verdict on an earlier incarnation.
type Returned struct {
	Node        string
	Of, Verdict Incarnation
}

// String returns an incarnation in a form for logs.
func (i Incarnation) String() string { return fmt.Sprintf("%x.%d", i.Life, i.Number) }

// Describe tells the decision.
func (d Suspected) Describe() string {
	return fmt.Sprintf("controller %s (%s) is suspected: silent for %v, phi %.1f, own timers %s", d.Node, d.Of, round(d.Silent), d.Phi, timers(d.Health))
}

// Describe tells the decision.
func (d Cleared) Describe() string {
	how := "it was heard"
	if d.Through != "" {
		how = "it was reached through " + d.Through
	}
	return fmt.Sprintf("controller %s (%s) is no longer suspected after %v: %s", d.Node, d.Of, round(d.After), how)
}

// Describe tells the decision.
func (d Verdict) Describe() string {
	var lines []string
	for _, e := range d.Evidence {
		lines = append(lines, fmt.Sprintf("%s heard it %v ago, phi %.1f, not reached through %s, own timers %s",
			e.Observer, round(e.Opinion.HeardAgo), e.Opinion.Phi, strings.Join(e.Opinion.Probed, " and "), timers(e.Health)))
	}
	return fmt.Sprintf("verdict: controller %s (%s) has failed, by %d of %d: %s", d.Node, d.Of, len(d.Evidence), d.Controllers, strings.Join(lines, "; "))
}

// Describe tells the decision.
func (d Returned) Describe() string {
	return fmt.Sprintf("controller %s is back as %s after the verdict on %s", d.Node, d.Of, d.Verdict)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func timers(health int) string {
	if health == 0 {
		return "punctual"
	}
	return fmt.Sprintf("late (%d of %d)", health, maxHealth)
}
