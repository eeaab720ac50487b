package loadtest

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Result is the outcome of a load test, as it is kept in a file. The names of the fields in the file
// and of the figures are older than those here; they stay, so that results remain comparable.
type Result struct {
	At                time.Time    `json:"at"`
	Vary              Dimension    `json:"vary"`
	Seed              uint64       `json:"seed"`
	HeartbeatInterval string       `json:"report_interval"`
	Lease             string       `json:"lease"`
	RunTimeS          float64      `json:"run_time_s"`
	StateLimits       [2]float64   `json:"state_limits"` // of the key-value store: requests and writes a second
	Sizes             []SizeResult `json:"sizes"`
	Slopes            []Slope      `json:"slopes"`
}

// SizeResult is the outcome of one size.
type SizeResult struct {
	Size int  `json:"size"`
	Load Load `json:"load"`
	// ServicesRunning says whether nearly all tasks of services ran before the measurement.
	ServicesRunning bool `json:"filled"`
	// StopReason is why the size ended early, if it did.
	StopReason string `json:"stopped,omitempty"`
	// Figures are by name; a name ends with the unit.
	Figures        map[string]Figure    `json:"figures"`
	Messages       map[string]float64   `json:"messages_per_s"`
	Times          map[string]Times     `json:"times"`
	Steps          map[string]stepTimes `json:"steps"`
	Faults         []FaultResult        `json:"troubles,omitempty"`
	Starts         int                  `json:"starts"`
	CheckedReplies int                  `json:"answers_judged"`
}

// Figure is a measured quantity: its mean over the slices of the measured time, and the least and
// the greatest value of a slice.
type Figure struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func newFigure(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Figure{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// FaultResult is the outcome of a fault. Times are in seconds since the fault began.
type FaultResult struct {
	Fault     Fault   `json:"trouble"`
	DurationS float64 `json:"for_s"`
	// FirstReplyS is when the first worker had a reply to a heartbeat again, and MostRepliedS when
	// nearly all workers had; 0: not in time.
	FirstReplyS  float64 `json:"first_s"`
	MostRepliedS float64 `json:"most_s"`
	// RecoveryS is when a new leader had read all records; 0: there was none.
	RecoveryS float64              `json:"records_s"`
	Times     map[string]Times     `json:"times"`
	Steps     map[string]stepTimes `json:"steps"`
}

// WriteJSON writes the result to a file.
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

// ReadResult reads a file that WriteJSON wrote.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the result: %w", err)
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("result %s: %w", path, err)
	}
	return &r, nil
}
