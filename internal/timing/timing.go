// Package timing measures how long a controller's steps take and logs histograms, for operators who turn it on.
package timing

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is what was measured, as it stands in the log.
type Kind string

// Kinds of measurements.
const (
	Cycle           Kind = "cycle"     // a step of the leader in which the scheduling cycle ran
	WorkerHeartbeat Kind = "report"    // a step that processes a worker's heartbeat
	Other           Kind = "other"     // any other step of the leader
	PeerHeartbeat   Kind = "heartbeat" // from a heartbeat until its answer
)

// logInterval is the time between two log lines, and maxMicroseconds the longest duration that is recorded as it is.
const (
	logInterval       = time.Second
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Recorder collects durations. A nil recorder records nothing and costs nothing.
type Recorder struct {
	mu         sync.Mutex
	histograms map[Kind]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{histograms: map[Kind]*hdrhistogram.Histogram{}} }

// Record notes a duration.
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
	// Beyond the range is as good as at its end.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// Run logs what was recorded at regular intervals, until the context ends.
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

// flush logs what was recorded since the last time, and forgets it.
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
