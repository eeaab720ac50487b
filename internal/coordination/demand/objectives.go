package demand

import (
	"math"

	"pinebay/internal/config"
)

// Objectives are the service-level objectives that headroom is kept for.
type Objectives struct {
	// StartLatencySeconds is the shortest time to start that is asked for, by class.
	StartLatencySeconds map[string]float64
	All                 []config.Objective
}

// startLatency returns the start latency objective of a class in seconds, or infinity.
func (o Objectives) startLatency(class string) float64 {
	if seconds, ok := o.StartLatencySeconds[class]; ok {
		return seconds
	}
	return math.Inf(1)
}

// Bounds of the fraction of starts in time that headroom is kept for.
const (
	defaultFraction = 0.5
	maxFraction     = 0.999
)

// deviations returns how many standard deviations above the expected arrivals meet the fraction of starts in time
// that is asked for a class.
func (o Objectives) deviations(class string) float64 {
	fraction := defaultFraction
	for _, objective := range o.All {
		if objective.Kind == config.ObjectiveStartLatency && objective.Class == class {
			fraction = max(fraction, min(objective.Fraction, maxFraction))
		}
	}
	return math.Sqrt2 * math.Erfinv(2*fraction-1)
}
