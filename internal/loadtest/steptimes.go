package loadtest

import (
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"
)

const microsPerMilli = 1000

// stepTimes summarizes the durations of one kind of step of the controllers' actors. The controllers log them once per
// interval.
type stepTimes struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"` // over all intervals
	P99MS  float64 `json:"p99_ms"`  // of the interval in which it was highest
	MaxMS  float64 `json:"max_ms"`
}

// merge returns the combination of s and o.
func (s stepTimes) merge(o stepTimes) stepTimes {
	if total := s.Count + o.Count; total > 0 {
		s.MeanMS = (s.MeanMS*float64(s.Count) + o.MeanMS*float64(o.Count)) / float64(total)
	}
	s.Count += o.Count
	s.P99MS = max(s.P99MS, o.P99MS)
	s.MaxMS = max(s.MaxMS, o.MaxMS)
	return s
}

// parseStepTimes parses a log line with the step times of one kind of step.
func parseStepTimes(line string) (kind string, times stepTimes) {
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			value := string(d.Value())
			number, _ := strconv.ParseFloat(value, 64) // 0 for values that are not numbers
			switch string(d.Key()) {
			case "kind":
				kind = value
			case "count":
				times.Count = int64(number)
			case "mean_us":
				times.MeanMS = number / microsPerMilli
			case "p99_us":
				times.P99MS = number / microsPerMilli
			case "max_us":
				times.MaxMS = number / microsPerMilli
			}
		}
	}
	return kind, times
}
