package protocol

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"pinebay/internal/testkit"
)

// TestProductionMesh: every message between controllers as the version in production sends it is read, and
// written the same but for the feature level, a field that production ignores.
func TestProductionMesh(t *testing.T) {
	for name, want := range map[string]MeshMessage{
		"beat": {Kind: MeshBeat, ID: 9, From: "bothy-1", Term: 7, Leader: "bothy-1", StateOK: true, Life: 77, Whole: true, Base: 2, Expired: 1,
			Intents: []Intent{{Job: "j-000398", Mark: 5}}, HeldLife: 66, Held: 4},
		"beat-reply":   {Kind: MeshReply, ID: 9, From: "bothy-2", Term: 7, Leader: "bothy-1", StateOK: true, Renews: true, Life: 66, More: true},
		"status":       {Kind: MeshStatus, ID: 10, From: "bothy-2", Jobs: []string{"j-000412"}},
		"status-reply": {Kind: MeshReply, ID: 10, From: "bothy-1", Statuses: []JobStatus{{ID: "j-000412", Standing: Running, Done: 3, Running: 13}}},
		"report":       {Kind: MeshReport, ID: 11, From: "bothy-2", Body: []byte{0x80}},
		"heard":        {Kind: MeshHeard, ID: 12, From: "bothy-2", Machines: []string{"host-000231"}},
	} {
		raw := testkit.Production(t, name)
		written, err := EncodeMesh(&want)
		if err != nil || !bytes.Equal(written, raw) {
			t.Errorf("%s is written otherwise: %x, want %x, %v", name, written, raw, err)
		}
		if got, err := DecodeMesh(raw); err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s is read as %+v: %v", name, got, err)
		}
	}
}

// TestAwaitsInForm: awaited jobs are read each once; null and a missing list are none, and a complaint names the
// field.
func TestAwaitsInForm(t *testing.T) {
	job := Job{ID: "j-1", Class: "c", Team: "red", Shape: Array, Priority: "normal", Tasks: 1, CPUs: 1, Image: "i"}
	for name, x := range map[string]struct {
		awaits any
		want   []string
		bad    bool
	}{
		"null":          {nil, nil, false},
		"none":          {[]string{}, nil, false},
		"two":           {[]string{"j-3", "j-2"}, []string{"j-2", "j-3"}, false},
		"one twice":     {[]string{"j-2", "j-2"}, []string{"j-2"}, false},
		"a word":        {"j-2", nil, true},
		"numbers":       {[]int{1}, nil, true},
		"no ids":        {[]string{"j-2", "x"}, nil, true},
		"an empty id":   {[]string{""}, nil, true},
		"a list inside": {[]any{[]string{"j-2"}}, nil, true},
	} {
		raw, err := Encode(job)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := DecodeAny(raw, &fields); err != nil {
			t.Fatal(err)
		}
		fields["awaits"] = x.awaits
		if raw, err = Encode(fields); err != nil {
			t.Fatal(err)
		}
		got, err := DecodeJob(raw)
		if x.bad {
			if err == nil || !strings.Contains(err.Error(), "awaits") {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if err != nil || len(got.Awaits) != len(x.want) || len(x.want) > 0 && !reflect.DeepEqual(got.Awaits, x.want) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// TestDigestsInForm: what an owner tells of machines is taken only with a session and a number for each, and no more
// machines than a message may name.
func TestDigestsInForm(t *testing.T) {
	for name, x := range map[string]struct {
		machines, sessions, numbers int
		ok                          bool
	}{
		"none":              {0, 0, 0, true},
		"three":             {3, 3, 3, true},
		"a session missing": {3, 2, 3, false},
		"a number missing":  {3, 3, 2, false},
		"both missing":      {3, 2, 2, false},
		"no machines":       {0, 1, 1, false},
		"too many":          {MaxMeshMachines + 1, MaxMeshMachines + 1, MaxMeshMachines + 1, false},
	} {
		raw, err := EncodeMesh(&MeshMessage{Kind: MeshAlive, From: "b", Epoch: 3, Machines: make([]string, x.machines), Sessions: make([]uint64, x.sessions), Numbers: make([]uint64, x.numbers)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeMesh(raw); (err == nil) != x.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
