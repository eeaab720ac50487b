package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Result is the result of a load test, as it is stored in a file. The names of fields and metrics in the file differ
// from those in the code because they are older; they must not change, so that results remain comparable.
type Result struct {
	StartedAt          time.Time        `json:"at"`
	Vary               ScalingParameter `json:"vary"`
	Seed               uint64           `json:"seed"`
	HeartbeatInterval  string           `json:"report_interval"`
	Lease              string           `json:"lease"`
	MeanRunTimeSeconds float64          `json:"run_time_s"`
	StoreLimits        [2]float64       `json:"state_limits"` // of the key-value store: requests and writes per second
	Sizes              []SizeResult     `json:"sizes"`
	Slopes             []Slope          `json:"slopes"`
}

// SizeResult is the result of one size.
type SizeResult struct {
	Size int  `json:"size"`
	Load Load `json:"load"`
	// ServicesRunning is set if sufficientShare of the tasks of services were running before the measurement.
	ServicesRunning bool `json:"filled"`
	// StopReason is the error that ended the test of this size early, or empty if there was none.
	StopReason string `json:"stopped,omitempty"`
	// Metrics has the metrics by name. A name ends with the unit, if there is one.
	Metrics        map[string]Metric         `json:"figures"`
	MessageRates   map[string]float64        `json:"messages_per_s"`
	Latencies      map[string]LatencySummary `json:"times"`
	StepTimes      map[string]stepTimes      `json:"steps"`
	Faults         []FaultResult             `json:"troubles,omitempty"`
	Starts         int                       `json:"starts"`
	CheckedReplies int                       `json:"answers_judged"`
}

// Metric is a measured quantity: its mean, minimum and maximum over the slices of the measured time.
type Metric struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func newMetric(values []float64) Metric {
	if len(values) == 0 {
		return Metric{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Metric{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// FaultResult is the result of injecting a fault. Points in time are given in seconds since the fault began.
type FaultResult struct {
	Fault           Fault   `json:"trouble"`
	DurationSeconds float64 `json:"for_s"`
	// FirstReplySeconds is when the first worker had a reply to a heartbeat again, and MostRepliesSeconds is when
	// sufficientShare of the workers had one. Both are 0 if no worker had a reply before the timeout. If some had one
	// but fewer than sufficientShare, MostRepliesSeconds is when the timeout passed.
	FirstReplySeconds  float64 `json:"first_s"`
	MostRepliesSeconds float64 `json:"most_s"`
	// RecordsReadSeconds is when a new leader had read all records, or 0 if there was no new leader.
	RecordsReadSeconds float64                   `json:"records_s"`
	Latencies          map[string]LatencySummary `json:"times"`
	StepTimes          map[string]stepTimes      `json:"steps"`
}

// WriteJSON writes the result to a JSON file.
func (r *Result) WriteJSON(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// ReadResult reads a result from a file that [Result.WriteJSON] wrote.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the result: %w", err)
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode the result in %s: %w", path, err)
	}
	return &r, nil
}
