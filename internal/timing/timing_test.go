package timing

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestRecorder checks that each recorded kind is logged once and then reset, and that a nil recorder allocates nothing.
func TestRecorder(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	r := NewRecorder()
	r.Record(Cycle, 3*time.Millisecond)
	r.Record(Cycle, 0)
	r.Record(WorkerHeartbeat, 100*time.Hour)
	r.flush(log)
	r.flush(log)
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("%d lines, want one for each recorded kind:\n%s", lines, out.String())
	}
	if !strings.Contains(out.String(), "kind=cycle count=2") {
		t.Errorf("no line for the two cycles:\n%s", out.String())
	}
	var disabled *Recorder
	if n := testing.AllocsPerRun(100, func() { disabled.Record(Cycle, time.Second) }); n > 0 {
		t.Errorf("%v allocations with a nil recorder, want 0", n)
	}
}
