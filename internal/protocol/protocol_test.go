package protocol

import (
	"errors"
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func word() *rapid.Generator[string] { return rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`) }

func amount() *rapid.Generator[float64] { return rapid.Float64Range(0, 1e6) }

func randomJob(t *rapid.T) Job {
	j := Job{
		ID: "j-" + rapid.StringMatching(`[0-9]{6}`).
			Draw(t, "id"),
		Class:    word().Draw(t, "class"),
		Team:     word().Draw(t, "team"),
		Shape:    rapid.SampledFrom([]Shape{Array, Gang, Service}).Draw(t, "shape"),
		Priority: rapid.SampledFrom([]Priority{"critical", "urgent", "normal", "best_effort"}).Draw(t, "priority"),
		TaskCount: rapid.IntRange(1, MaxTasks).
			Draw(t, "tasks"),
		CPUs:     amount().Draw(t, "cpus"),
		GPUs:     amount().Draw(t, "gpus"),
		MemoryGB: amount().Draw(t, "mem"),
		Image:    word().Draw(t, "image"),
		ImageGB:  amount().Draw(t, "gb"),
		SameZone: rapid.Bool().
			Draw(t, "same"),
		Spread:                    rapid.Bool().Draw(t, "spread"),
		SpotAllowed:               rapid.Bool().Draw(t, "spot"),
		EstimateSeconds:           amount().Draw(t, "est"),
		CheckpointIntervalSeconds: amount().Draw(t, "cp"),
		SaveSeconds:               amount().Draw(t, "save"),
	}
	if rapid.Bool().Draw(t, "limited") {
		j.MachineTypes = rapid.SliceOfN(word(), 1, 4).Draw(t, "types")
		j.Zone = word().Draw(t, "zone")
		j.DeadlineSeconds = rapid.Float64Range(1, 1e6).Draw(t, "due")
	}
	return j
}

// asMap is the job as a client that knows only the page would send it.
func asMap(t *rapid.T, j Job) map[string]any {
	raw, err := Encode(j)
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := DecodeAny(raw, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func TestJobSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := randomJob(t)
		m := asMap(t, j)
		m["from_the_future"] = []any{map[string]any{"x": 1}, nil} // unknown fields are ignored
		if rapid.Bool().Draw(t, "nulls") && j.MachineTypes == nil {
			m["breeds"], m["parish"], m["due_s"] = nil, nil, nil
		}
		raw, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(raw)
		if err != nil {
			t.Fatalf("%v: %v", m, err)
		}
		if !reflect.DeepEqual(*got, j) {
			t.Fatalf("got %+v, want %+v", *got, j)
		}
	})
}

func TestBadSubmissionsAreMalformed(t *testing.T) {
	optional := map[string]bool{"breeds": true, "parish": true, "due_s": true}
	rapid.Check(t, func(t *rapid.T) {
		m := asMap(t, randomJob(t))
		var fields []string
		for f := range m {
			if !optional[f] {
				fields = append(fields, f)
			}
		}
		f := rapid.SampledFrom(fields).Draw(t, "field")
		bad := map[string]any{
			"missing":  nil,
			"list":     []any{1},
			"negative": -1.5,
			"nan":      math.NaN(),
			"inf":      math.Inf(1),
			"map":      map[string]any{},
			"long":     strings.Repeat("x", maxNameBytes+1),
		}
		kind := rapid.SampledFrom([]string{"missing", "list", "negative", "nan", "inf", "map", "long"}).Draw(t, "kind")
		if kind == "missing" {
			delete(m, f)
		} else {
			m[f] = bad[kind]
		}
		raw, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeJob(raw); !errors.Is(err, ErrMalformed) {
			t.Fatalf("field %s with %s: %v", f, kind, err)
		}
	})
}

// TestNoInputPanics feeds bytes of any kind, and good messages that were cut
// or changed, to every decoder of what comes from outside.
func TestNoInputPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "raw")
		if rapid.Bool().Draw(t, "derived") {
			good, err := Encode(randomJob(t))
			if err != nil {
				t.Fatal(err)
			}
			at := rapid.IntRange(0, len(good)-1).Draw(t, "at")
			good[at] = rapid.Byte().Draw(t, "byte")
			raw = good[:rapid.IntRange(at, len(good)).Draw(t, "cut")]
		}
		for name, err := range map[string]error{
			"job":    errorOf(DecodeJob(raw)),
			"report": errorOf(DecodeWorkerHeartbeat(raw)),
			"mesh":   errorOf(DecodePeerMessage(raw)),
		} {
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%s: %v is not about the form", name, err)
			}
		}
		var txn Txn
		_ = Decode(raw, &txn) // it must return, whatever it says
	})
}

func errorOf[T any](_ T, err error) error { return err }

func TestOnlyMapsAreBodies(t *testing.T) {
	for _, v := range []any{nil, 1, "x", []any{1, 2}, true, 2.5} {
		raw, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := Decode(raw, &Job{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%v: %v", v, err)
		}
	}
	raw, err := Encode(map[string]any{})
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(append(raw, 0xc0), &Job{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("bytes after the map: %v", err)
	}
}

func TestWorkerHeartbeatSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := WorkerHeartbeat{
			Machine: word().Draw(t, "m"),
			Addr:    word().Draw(t, "a"),
			Type:    word().Draw(t, "t"),
			Zone:    word().Draw(t, "z"),
			Spot: rapid.Bool().
				Draw(t, "spot"),
			Incarnation:  rapid.Uint64Min(1).Draw(t, "s"),
			Sequence:     rapid.Uint64().Draw(t, "q"),
			FencingToken: rapid.Uint64().Draw(t, "token"),
		}
		if rapid.Bool().Draw(t, "notice") {
			n := amount().Draw(t, "n")
			r.InterruptionNoticeSeconds = &n
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "tasks") {
			r.Tasks = append(r.Tasks, TaskStatus{
				TaskName: TaskID{"j-000001", i}.String(),
				Attempt:  rapid.Uint64().Draw(t, "try"),
				State: rapid.SampledFrom([]TaskState{TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited}).
					Draw(t, "state"),
				Cause: rapid.SampledFrom([]ExitCause{"", CauseDone, CauseError}).Draw(t, "cause"),
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

func TestTaskIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := TaskID{
			"j-" + rapid.StringMatching(`[0-9]{1,9}`).Draw(t, "job"),
			rapid.IntRange(0, MaxTasks-1).Draw(t, "task"),
		}
		if got, err := ParseTaskID(id.String()); err != nil || got != id {
			t.Fatalf("%v: %v %v", id, got, err)
		}
	})
	for _, s := range []string{"", "j-1", "j-1/", "j-1/-1", "j-1/x", "x/1", "j-1/100000", "j-/1"} {
		if _, err := ParseTaskID(s); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", s, err)
		}
	}
}

func TestPeerMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := PeerMessage{
			Kind: rapid.IntRange(PeerHeartbeat, PeerReply).
				Draw(t, "kind"),
			ID:   rapid.Uint64().Draw(t, "id"),
			From: word().Draw(t, "from"),
			Term: rapid.Uint64().
				Draw(t, "term"),
			Leader:         word().Draw(t, "leader"),
			StoreReachable: rapid.Bool().Draw(t, "ok"),
		}
		if rapid.Bool().Draw(t, "status") {
			m.Status = &JobStatus{ID: "j-1", State: JobRunning, DoneTasks: 3, RunningTasks: 2}
		}
		if rapid.Bool().Draw(t, "intents") {
			m.Incarnation, m.Recovered, m.MoreIntents = rapid.Uint64Min(1).
				Draw(t, "life"),
				rapid.Bool().
					Draw(t, "whole"),
				rapid.Bool().
					Draw(t, "more")
			m.IntentOffset, m.AckedIncarnation, m.AckedIntents = rapid.Uint64Max(1<<40).
				Draw(t, "base"),
				rapid.Uint64().
					Draw(t, "held life"),
				rapid.Uint64().
					Draw(t, "held")
			m.ExpiredIntents = rapid.Uint64Max(m.IntentOffset).Draw(t, "expired")
			for i := range rapid.IntRange(0, 3).Draw(t, "n") {
				m.Intents = append(
					m.Intents,
					CancellationIntent{JobID: "j-" + strconv.Itoa(i), AnnouncementID: rapid.Uint64().Draw(t, "mark")},
				)
			}
		}
		raw, err := EncodePeerMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodePeerMessage(raw)
		if err != nil || !reflect.DeepEqual(*got, m) {
			t.Fatalf("got %+v %v, want %+v", got, err, m)
		}
		m.Version = PeerProtocolVersion + 1
		other, err := cborEncMode.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(other); !errors.Is(err, ErrMalformed) {
			t.Fatalf("another version: %v", err)
		}
	})
}

// TestMalformedIntents: nothing of them may pass for consent.
func TestMalformedIntents(t *testing.T) {
	for name, m := range map[string]PeerMessage{
		"no life but whole":   {Recovered: true},
		"no life but holds":   {AckedIntents: 3},
		"no life but intents": {Intents: []CancellationIntent{{JobID: "j-1"}}},
		"not a job":           {Incarnation: 1, Intents: []CancellationIntent{{JobID: "x"}}},
		"too many":            {Incarnation: 1, Intents: make([]CancellationIntent, MaxIntentsPerMessage+1)},
		"more over than told": {Incarnation: 1, IntentOffset: 1, ExpiredIntents: 2},
		"past the last":       {Incarnation: 1, IntentOffset: math.MaxUint64, Intents: []CancellationIntent{{JobID: "j-1"}}},
	} {
		m.Kind, m.From = PeerHeartbeat, "n"
		raw, err := EncodePeerMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	// What an older version sends is understood, and says nothing of intents.
	old, err := cborEncMode.Marshal(
		map[int]any{1: PeerProtocolVersion, 2: PeerHeartbeat, 3: 7, 4: "n", 5: 3, 6: "n", 7: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := DecodePeerMessage(old); err != nil || m.Incarnation != 0 || m.Term != 3 || !m.StoreReachable {
		t.Errorf("an older version's beat: %+v %v", m, err)
	}
}

// TestFencingTokensOrderTermsFirst guards the fence: no epoch of an earlier term may
// reach a later one.
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
