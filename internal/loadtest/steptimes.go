package loadtest

import (
	"strconv"
	"strings"

	"github.com/go-logfmt/logfmt"
)

const microsPerMilli = 1000

// stepTimes are the times of one kind of step of the controllers' actors, as logged at intervals.
type stepTimes struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"` // of all intervals
	P99MS  float64 `json:"p99_ms"`  // of the worst interval
	MaxMS  float64 `json:"max_ms"`
}

// plus returns the times of both together.
func (s stepTimes) plus(o stepTimes) stepTimes {
	if total := s.Count + o.Count; total > 0 {
		s.MeanMS = (s.MeanMS*float64(s.Count) + o.MeanMS*float64(o.Count)) / float64(total)
	}
	s.Count += o.Count
	s.P99MS = max(s.P99MS, o.P99MS)
	s.MaxMS = max(s.MaxMS, o.MaxMS)
	return s
}

// parseStepTimes reads a log line of step times.
func parseStepTimes(line string) (kind string, times stepTimes) {
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			value := string(d.Value())
			number, _ := strconv.ParseFloat(value, 64) // 0 for the keys that are no numbers
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
