package protocol

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"pinebay/internal/testutil"
)

// TestPeerMessagesAsInProduction: every message between controllers as the version in production sends it is read, and
// written the same but for the feature level, a field that production ignores.
func TestPeerMessagesAsInProduction(t *testing.T) {
	for name, want := range map[string]PeerMessage{
		"beat": {
			Kind: PeerHeartbeat, ID: 9, From: "bothy-1", Term: 7, Leader: "bothy-1", StoreReachable: true, Incarnation: 77, Recovered: true, IntentOffset: 2, ExpiredIntents: 1,
			Intents: []CancellationIntent{{JobID: "j-000398", AnnouncementID: 5}}, AckedIncarnation: 66, AckedIntents: 4,
		},
		"beat-reply":   {Kind: PeerReply, ID: 9, From: "bothy-2", Term: 7, Leader: "bothy-1", StoreReachable: true, RenewsLeases: true, Incarnation: 66, MoreIntents: true},
		"status":       {Kind: PeerStatusQuery, ID: 10, From: "bothy-2", JobIDs: []string{"j-000412"}},
		"status-reply": {Kind: PeerReply, ID: 10, From: "bothy-1", Statuses: []JobStatus{{ID: "j-000412", State: JobRunning, DoneTasks: 3, RunningTasks: 13}}},
		"report":       {Kind: PeerForwardedHeartbeat, ID: 11, From: "bothy-2", Body: []byte{0x80}},
		"heard":        {Kind: PeerLiveMachinesQuery, ID: 12, From: "bothy-2", Machines: []string{"host-000231"}},
	} {
		raw := testutil.Production(t, name)
		written, err := EncodePeerMessage(&want)
		if err != nil || !bytes.Equal(written, raw) {
			t.Errorf("%s is written otherwise: %x, want %x, %v", name, written, raw, err)
		}
		if got, err := DecodePeerMessage(raw); err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s is read as %+v: %v", name, got, err)
		}
	}
}

// TestDependenciesOfSubmissions: awaited jobs are read each once; null and a missing list are none, and a complaint
// names the field.
func TestDependenciesOfSubmissions(t *testing.T) {
	job := Job{ID: "j-1", Class: "c", Team: "red", Shape: Array, Priority: "normal", TaskCount: 1, CPUs: 1, Image: "i"}
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
		if err != nil || len(got.Dependencies) != len(x.want) ||
			len(x.want) > 0 && !reflect.DeepEqual(got.Dependencies, x.want) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// TestUnchangedHeartbeatLists: what an owner tells of machines is taken only with a session and a number for each, and
// no more machines than a message may name.
func TestUnchangedHeartbeatLists(t *testing.T) {
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
		"too many":          {MaxMachinesPerMessage + 1, MaxMachinesPerMessage + 1, MaxMachinesPerMessage + 1, false},
	} {
		raw, err := EncodePeerMessage(
			&PeerMessage{
				Kind:                PeerUnchangedHeartbeats,
				From:                "b",
				OwnershipEpoch:      3,
				Machines:            make([]string, x.machines),
				MachineIncarnations: make([]uint64, x.sessions),
				HeartbeatSequences:  make([]uint64, x.numbers),
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(raw); (err == nil) != x.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
