// Package timing measures the durations of a controller's steps and logs their distribution, if an operator enables it.
package timing

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is the kind of a measurement. Its value appears in the log.
type Kind string

// Kinds of measurements.
const (
	Cycle           Kind = "cycle"     // a step of the leader that ran a scheduling cycle
	WorkerHeartbeat Kind = "report"    // a step that processes a worker's heartbeat
	Other           Kind = "other"     // any other step of the leader
	PeerHeartbeat   Kind = "heartbeat" // round-trip time of a heartbeat to another controller
)

// logInterval is the time between two log lines for a kind. maxMicroseconds is the longest duration that a histogram
// can hold, and significantDigits its precision in decimal digits.
const (
	logInterval       = time.Second
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Recorder collects durations in a histogram for each kind. A nil Recorder records and allocates nothing.
type Recorder struct {
	mu         sync.Mutex
	histograms map[Kind]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{histograms: map[Kind]*hdrhistogram.Histogram{}} }

// Record records a duration.
func (r *Recorder) Record(kind Kind, d time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		r.histograms[kind] = h
	}
	// Durations outside the range are recorded as its minimum or maximum.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// Run logs and resets the histograms at regular intervals until ctx ends.
func (r *Recorder) Run(ctx context.Context, log *slog.Logger) {
	if r == nil {
		return
	}
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.flush(log)
		}
	}
}

// flush logs and resets the histograms that are not empty.
func (r *Recorder) flush(log *slog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for kind, h := range r.histograms {
		if h.TotalCount() == 0 {
			continue
		}
		log.Info("step times", "kind", string(kind), "count", h.TotalCount(), "mean_us", int64(h.Mean()),
			"p50_us", h.ValueAtQuantile(50), "p99_us", h.ValueAtQuantile(99), "max_us", h.Max())
		h.Reset()
	}
}
