package demand

import (
	"math"

	"pinebay/internal/config"
)

// Objectives holds the service-level objectives for which headroom is kept.
type Objectives struct {
	// StartLatencySeconds is the shortest start latency objective of each class.
	StartLatencySeconds map[string]float64
	All                 []config.Objective
}

// startLatency returns the start latency objective of a class in seconds, or infinity if it has none.
func (o Objectives) startLatency(class string) float64 {
	if seconds, ok := o.StartLatencySeconds[class]; ok {
		return seconds
	}
	return math.Inf(1)
}

// Bounds on the fraction of jobs that must start within the objective.
const (
	defaultFraction = 0.5
	maxFraction     = 0.999
)

// standardDeviations returns how many standard deviations above the expected number of arrivals the headroom must
// cover, so that the required fraction of a class's jobs starts within the objective.
func (o Objectives) standardDeviations(class string) float64 {
	fraction := defaultFraction
	for _, objective := range o.All {
		if objective.Kind == config.ObjectiveStartLatency && objective.Class == class {
			fraction = max(fraction, min(objective.Fraction, maxFraction))
		}
	}
	return math.Sqrt2 * math.Erfinv(2*fraction-1)
}
