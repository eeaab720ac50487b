package placement

import (
	"math"

	"pinebay/internal/config"
)

// StartLatencyObjectives holds the shortest start latency that the service-level objectives ask for, in
// seconds, by job class.
type StartLatencyObjectives map[string]float64

// StartLatencyObjectivesOf returns the start latencies of the objectives.
func StartLatencyObjectivesOf(objectives []config.Objective) StartLatencyObjectives {
	latencies := StartLatencyObjectives{}
	for _, o := range objectives {
		if o.Kind == config.ObjectiveStartLatency && o.WithinSeconds < latencies.Seconds(o.Class) {
			latencies[o.Class] = o.WithinSeconds
		}
	}
	return latencies
}

// Seconds returns the objective of a class; infinite if it has none.
func (s StartLatencyObjectives) Seconds(class string) float64 {
	if within, ok := s[class]; ok {
		return within
	}
	return math.Inf(1)
}

// Has reports whether a class has an objective.
func (s StartLatencyObjectives) Has(class string) bool { return !math.IsInf(s.Seconds(class), 1) }
