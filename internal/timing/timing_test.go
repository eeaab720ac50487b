package timing

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// TestRecorder: a recorder logs each kind once and then begins anew; without one, nothing is
// allocated.
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
		t.Errorf("%d lines, want one for each kind:\n%s", lines, out.String())
	}
	if !strings.Contains(out.String(), "kind=cycle count=2") {
		t.Errorf("cycles are missing:\n%s", out.String())
	}
	var none *Recorder
	if n := testing.AllocsPerRun(100, func() { none.Record(Cycle, time.Second) }); n > 0 {
		t.Errorf("%v allocations while off", n)
	}
}
