package protocol

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

var taskStates = []TaskState{TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited}

// TestWorkerHeartbeatRoundTrip checks that random heartbeats are the same after encoding and decoding.
func TestWorkerHeartbeatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := WorkerHeartbeat{
			Machine:      nameGenerator().Draw(t, "m"),
			Addr:         nameGenerator().Draw(t, "a"),
			Type:         nameGenerator().Draw(t, "t"),
			Zone:         nameGenerator().Draw(t, "z"),
			Spot:         rapid.Bool().Draw(t, "spot"),
			Incarnation:  rapid.Uint64Min(1).Draw(t, "s"),
			Sequence:     rapid.Uint64().Draw(t, "q"),
			FencingToken: rapid.Uint64().Draw(t, "token"),
		}
		if rapid.Bool().Draw(t, "notice") {
			n := numberGenerator().Draw(t, "n")
			r.InterruptionNoticeSeconds = &n
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "tasks") {
			r.Tasks = append(r.Tasks, TaskStatus{
				TaskName: TaskID{"j-000001", i}.String(),
				Attempt:  rapid.Uint64().Draw(t, "try"),
				State:    rapid.SampledFrom(taskStates).Draw(t, "state"),
				Cause:    rapid.SampledFrom([]ExitCause{"", CauseDone, CauseError}).Draw(t, "cause"),
			})
		}
		raw, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeWorkerHeartbeat(raw)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Tasks) == 0 {
			got.Tasks = nil
		}
		if !reflect.DeepEqual(*got, r) {
			t.Fatalf("got %+v, want %+v", *got, r)
		}
	})
}

// TestParseTaskID checks that ParseTaskID reverses TaskID.String and rejects malformed names.
func TestParseTaskID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{
			"j-" + rapid.StringMatching(`[0-9]{1,9}`).Draw(t, "job"),
			rapid.IntRange(0, MaxTasks-1).Draw(t, "task"),
		}
		if got, err := ParseTaskID(id.String()); err != nil || got != id {
			t.Fatalf("name of %v parsed as %v, error %v", id, got, err)
		}
	})
	for _, s := range []string{"", "j-1", "j-1/", "j-1/-1", "j-1/x", "x/1", "j-1/100000", "j-/1"} {
		if _, err := ParseTaskID(s); !errors.Is(err, ErrMalformed) {
			t.Errorf("parsing %q: error %v, want one that matches ErrMalformed", s, err)
		}
	}
}

// TestFencingTokensOrderTermsFirst checks that every token of an earlier term is lower than every token of a later one,
// however large its epoch is.
func TestFencingTokensOrderTermsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Uint64Range(0, 1<<30).Draw(t, "a"), rapid.Uint64Range(0, 1<<30).Draw(t, "b")
		ea, eb := rapid.Uint64().Draw(t, "ea"), rapid.Uint64().Draw(t, "eb")
		if a < b && FencingToken(a, ea) >= FencingToken(b, eb) {
			t.Fatalf("token of %d,%d is not below that of %d,%d", a, ea, b, eb)
		}
		if TermOfToken(FencingToken(a, ea)) != a {
			t.Fatalf("term of %d,%d is %d", a, ea, TermOfToken(FencingToken(a, ea)))
		}
	})
}
