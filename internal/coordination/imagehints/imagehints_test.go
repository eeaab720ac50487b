package imagehints

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pinebay/internal/coordination/machineregistry"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestRotateAfter checks that the keys start after the last written one and that none is left out.
func TestRotateAfter(t *testing.T) {
	keys := []string{"a", "b", "c"}
	for last, want := range map[string]string{"": "abc", "a": "bca", "bb": "cab", "c": "abc", "z": "abc"} {
		got := ""
		for _, k := range rotateAfter(last, keys) {
			got += k
		}
		if got != want {
			t.Errorf("after %q: %s, want %s", last, got, want)
		}
	}
}

// fleetHints returns hints about the given number of machines, each with the same image.
func fleetHints(machines int, image string) Hints {
	hints := Hints{Images: map[string][]machineregistry.CachedImage{}}
	for i := range machines {
		name := fmt.Sprintf("host-%06d", i)
		hints.Images[name] = []machineregistry.CachedImage{{Image: image, SizeGB: 2}}
	}
	return hints
}

// keysOf returns the keys that a change writes or deletes.
func keysOf(change Change) (keys []string) {
	for _, op := range change.Ops {
		keys = append(keys, op.PutKey+op.DeleteKey)
	}
	return keys
}

// TestWriterWritesEachRecordOnce checks that all records are written in batches, no more often than the interval
// allows, and that none is written again until it changes.
func TestWriterWritesEachRecordOnce(t *testing.T) {
	limits := Limits{ValueKB: 1, MaxOperations: 4}
	writer, now := NewWriter(0), time.Duration(0)
	if writer.Due(now) {
		t.Error("due before the interval is over")
	}
	machines := 5 * storage.MachinesPerImageHint(limits.ValueKB)
	write := func(hints Hints) []string {
		t.Helper()
		now += Interval
		if !writer.Due(now) {
			t.Fatal("not due after the interval")
		}
		change, ok := writer.Next(now, hints, limits)
		if ok == writer.Due(now+Interval) {
			t.Errorf("change returned: %v, next write due: %v, want exactly one of them", ok, writer.Due(now+Interval))
		}
		if ok {
			writer.HandleOutcome(change, true)
		}
		return keysOf(change)
	}
	hints := fleetHints(machines, "a")
	var written []string
	for range 3 {
		written = append(written, write(hints)...)
	}
	want := []string{"warm/0000", "warm/0001", "warm/0002", "warm/0003", "warm/0004"}
	if !slices.Equal(written, want) {
		t.Errorf("wrote %v, want %v", written, want)
	}
	if got := write(hints); len(got) > 0 {
		t.Errorf("wrote %v although no record has changed", got)
	}
	if got := write(fleetHints(machines, "b")); !slices.Equal(got, want[:2]) {
		t.Errorf("wrote %v after a change, want %v", got, want[:2])
	}
	if got := write(fleetHints(1, "b")); !slices.Equal(got, want[1:3]) {
		t.Errorf("deleted %v with one machine left, want %v", got, want[1:3])
	}
}

func TestFailedWriteIsRepeated(t *testing.T) {
	writer, hints := NewWriter(0), fleetHints(1, "a")
	limits := Limits{ValueKB: 8, MaxOperations: 16}
	for attempt := range 2 {
		change, ok := writer.Next(0, hints, limits)
		if !ok || len(change.Ops) != 1 {
			t.Fatalf("attempt %d: change %v, want one operation", attempt, change)
		}
		writer.HandleOutcome(change, false)
	}
}

func TestRecover(t *testing.T) {
	first := NewWriter(0)
	hints := fleetHints(3, "a")
	hints.Arrivals = []storage.ClassArrivals{{Class: "train", Jobs: 1.25, MeanTasks: 8}}
	change, _ := first.Next(0, hints, Limits{ValueKB: 8, MaxOperations: 16})
	stored := protocol.KeyValue{Key: change.Ops[0].PutKey, Value: change.Ops[0].Value}
	next := NewWriter(0)
	got, err := next.Recover(stored)
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Images) != 3 || got.Images["host-000001"][0].Image != "a" ||
		!slices.Equal(got.Arrivals, hints.Arrivals) {
		t.Errorf("recovered %+v, want the hints that were written", got)
	}
	if change, ok := next.Next(0, Hints{}, Limits{ValueKB: 8, MaxOperations: 16}); !ok ||
		change.Ops[0].DeleteKey != stored.Key {
		t.Errorf("change %v, want the deletion of the record about machines that no longer exist", change)
	}
	for name, record := range map[string]storage.ImageHintRecord{
		"fewer sizes than images": {Images: []string{"a", "b"}, SizesGB: []float64{1}},
		"no sizes":                {Images: []string{"a"}},
	} {
		value, err := protocol.Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := next.Recover(protocol.KeyValue{Key: "warm/0001", Value: value}); err == nil {
			t.Errorf("%s: Recover returned no error", name)
		}
	}
	if _, err := next.Recover(protocol.KeyValue{Key: "warm/0001", Value: []byte("x")}); err == nil {
		t.Error("undecodable record: Recover returned no error")
	}
}
