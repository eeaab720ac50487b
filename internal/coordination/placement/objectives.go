package placement

import (
	"math"

	"pinebay/internal/config"
)

// StartLatencyObjectives maps each job class to its strictest start latency objective, in seconds.
type StartLatencyObjectives map[string]float64

// StartLatencyObjectivesOf extracts the start latency objectives from the service-level objectives.
func StartLatencyObjectivesOf(objectives []config.Objective) StartLatencyObjectives {
	latencies := StartLatencyObjectives{}
	for _, o := range objectives {
		if o.Kind == config.ObjectiveStartLatency && o.WithinSeconds < latencies.Seconds(o.Class) {
			latencies[o.Class] = o.WithinSeconds
		}
	}
	return latencies
}

// Seconds returns the objective of a class, or +Inf if it has none.
func (s StartLatencyObjectives) Seconds(class string) float64 {
	if within, ok := s[class]; ok {
		return within
	}
	return math.Inf(1)
}

// Has reports whether a class has a start latency objective.
func (s StartLatencyObjectives) Has(class string) bool { return !math.IsInf(s.Seconds(class), 1) }
