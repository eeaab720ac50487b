package protocol

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

// TestPeerMessageRoundTrip checks that random valid messages are the same after encoding and decoding, and that
// messages of another version are rejected.
func TestPeerMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := PeerMessage{
			Kind:           PeerMessageKind(rapid.IntRange(int(PeerHeartbeat), int(PeerReply)).Draw(t, "kind")),
			ID:             rapid.Uint64().Draw(t, "id"),
			From:           nameGenerator().Draw(t, "from"),
			Term:           rapid.Uint64().Draw(t, "term"),
			Leader:         nameGenerator().Draw(t, "leader"),
			StoreReachable: rapid.Bool().Draw(t, "store reachable"),
		}
		if rapid.Bool().Draw(t, "status") {
			m.Status = &JobStatus{ID: "j-1", State: JobRunning, DoneTasks: 3, RunningTasks: 2}
		}
		if rapid.Bool().Draw(t, "intents") {
			m.Incarnation = rapid.Uint64Min(1).Draw(t, "incarnation")
			m.Recovered = rapid.Bool().Draw(t, "recovered")
			m.MoreIntents = rapid.Bool().Draw(t, "more")
			m.IntentOffset = rapid.Uint64Max(1<<40).Draw(t, "offset")
			m.AckedIncarnation = rapid.Uint64().Draw(t, "acked incarnation")
			m.AckedIntents = rapid.Uint64().Draw(t, "acked")
			m.ExpiredIntents = rapid.Uint64Max(m.IntentOffset).Draw(t, "expired")
			for i := range rapid.IntRange(0, 3).Draw(t, "n") {
				m.Intents = append(m.Intents, CancellationIntent{
					JobID:          "j-" + strconv.Itoa(i),
					AnnouncementID: rapid.Uint64().Draw(t, "announcement"),
				})
			}
		}
		raw, err := EncodePeerMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodePeerMessage(raw)
		if err != nil || !reflect.DeepEqual(*got, m) {
			t.Fatalf("got %+v, error %v, want %+v", got, err, m)
		}
		m.Version = PeerProtocolVersion + 1
		other, err := cborEncMode.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(other); !errors.Is(err, ErrMalformed) {
			t.Fatalf("message of another version: error %v, want one that matches ErrMalformed", err)
		}
	})
}

// TestMalformedIntents checks that messages with inconsistent intents are rejected: a malformed message must never be
// taken for an acknowledgment. A message without any fields about intents is accepted.
func TestMalformedIntents(t *testing.T) {
	for name, m := range map[string]PeerMessage{
		"no incarnation but recovered": {Recovered: true},
		"no incarnation but acked":     {AckedIntents: 3},
		"no incarnation but intents":   {Intents: []CancellationIntent{{JobID: "j-1"}}},
		"not a job":                    {Incarnation: 1, Intents: []CancellationIntent{{JobID: "x"}}},
		"too many":                     {Incarnation: 1, Intents: make([]CancellationIntent, MaxIntentsPerMessage+1)},
		"more expired than skipped":    {Incarnation: 1, IntentOffset: 1, ExpiredIntents: 2},
		"overflow": {
			Incarnation:  1,
			IntentOffset: math.MaxUint64,
			Intents:      []CancellationIntent{{JobID: "j-1"}},
		},
	} {
		m.Kind, m.From = PeerHeartbeat, "n"
		raw, err := EncodePeerMessage(&m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want one that matches ErrMalformed", name, err)
		}
	}
	// Controllers of an older version send no fields about intents.
	old, err := cborEncMode.Marshal(
		map[int]any{1: PeerProtocolVersion, 2: PeerHeartbeat, 3: 7, 4: "n", 5: 3, 6: "n", 7: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	if m, err := DecodePeerMessage(old); err != nil || m.Incarnation != 0 || m.Term != 3 || !m.StoreReachable {
		t.Errorf("heartbeat of an older version decoded as %+v, error %v, want only its own fields set", m, err)
	}
}

// TestPeerMessageProductionEncoding checks that messages between controllers are encoded to exactly the bytes that the
// version in production sends, and that those bytes are decoded correctly.
func TestPeerMessageProductionEncoding(t *testing.T) {
	for name, want := range map[string]PeerMessage{
		"beat": {
			Kind:             PeerHeartbeat,
			ID:               9,
			From:             "bothy-1",
			Term:             7,
			Leader:           "bothy-1",
			StoreReachable:   true,
			Incarnation:      77,
			Recovered:        true,
			IntentOffset:     2,
			ExpiredIntents:   1,
			Intents:          []CancellationIntent{{JobID: "j-000398", AnnouncementID: 5}},
			AckedIncarnation: 66,
			AckedIntents:     4,
		},
		"beat-reply": {
			Kind:           PeerReply,
			ID:             9,
			From:           "bothy-2",
			Term:           7,
			Leader:         "bothy-1",
			StoreReachable: true,
			RenewsLeases:   true,
			Incarnation:    66,
			MoreIntents:    true,
		},
		"status": {Kind: PeerStatusQuery, ID: 10, From: "bothy-2", JobIDs: []string{"j-000412"}},
		"status-reply": {
			Kind:     PeerReply,
			ID:       10,
			From:     "bothy-1",
			Statuses: []JobStatus{{ID: "j-000412", State: JobRunning, DoneTasks: 3, RunningTasks: 13}},
		},
		"report": {Kind: PeerForwardedHeartbeat, ID: 11, From: "bothy-2", Body: []byte{0x80}},
		"heard":  {Kind: PeerLiveMachinesQuery, ID: 12, From: "bothy-2", Machines: []string{"host-000231"}},
	} {
		raw := testutil.ProductionFixture(t, name)
		written, err := EncodePeerMessage(&want)
		if err != nil || !bytes.Equal(written, raw) {
			t.Errorf("%s is encoded as %x, want %x, error %v", name, written, raw, err)
		}
		if got, err := DecodePeerMessage(raw); err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s is decoded as %+v, error %v, want the message that was encoded", name, got, err)
		}
	}
}

// TestUnchangedHeartbeatListLengths checks that a list of unchanged heartbeats is accepted only with an incarnation and
// a sequence for each machine, and with at most MaxMachinesPerMessage machines.
func TestUnchangedHeartbeatListLengths(t *testing.T) {
	const tooMany = MaxMachinesPerMessage + 1
	for name, x := range map[string]struct {
		machines, incarnations, sequences int
		ok                                bool
	}{
		"none":                   {0, 0, 0, true},
		"three":                  {3, 3, 3, true},
		"an incarnation missing": {3, 2, 3, false},
		"a sequence missing":     {3, 3, 2, false},
		"both missing":           {3, 2, 2, false},
		"no machines":            {0, 1, 1, false},
		"too many":               {tooMany, tooMany, tooMany, false},
	} {
		raw, err := EncodePeerMessage(&PeerMessage{
			Kind:                PeerUnchangedHeartbeats,
			From:                "b",
			OwnershipEpoch:      3,
			Machines:            make([]string, x.machines),
			MachineIncarnations: make([]uint64, x.incarnations),
			HeartbeatSequences:  make([]uint64, x.sequences),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodePeerMessage(raw); (err == nil) != x.ok {
			t.Errorf("%s: error %v, want none only if the test case is ok", name, err)
		}
	}
}

// TestSplitMachineNames checks that any number of names of any length is split into messages that the receiver accepts,
// and that no name is lost.
func TestSplitMachineNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for range rapid.IntRange(0, 3*MaxMachinesPerMessage).Draw(t, "names") {
			names = append(names, "host-"+strings.Repeat("0", rapid.SampledFrom([]int{6, 6, 6, 200}).Draw(t, "length")))
		}
		var all []string
		for _, list := range SplitMachineNames(names) {
			raw, err := EncodePeerMessage(
				&PeerMessage{Version: PeerProtocolVersion, Kind: PeerLiveMachinesQuery, From: "n-0", Machines: list},
			)
			if err != nil || len(raw) > MaxBodyBytes {
				t.Fatalf(
					"message with %d names has %d bytes, error %v, want at most MaxBodyBytes",
					len(list),
					len(raw),
					err,
				)
			}
			if _, err := DecodePeerMessage(raw); err != nil {
				t.Fatal(err)
			}
			all = append(all, list...)
		}
		if !slices.Equal(all, names) {
			t.Fatalf("%d of %d names are in the messages, want all in their order", len(all), len(names))
		}
	})
}

// TestMalformedOpinions checks that opinions with impossible or inconsistent values are rejected, and valid ones are
// not.
func TestMalformedOpinions(t *testing.T) {
	good := PeerOpinion{
		Controller:         "n-1",
		Incarnation:        5,
		SinceLastContactMS: 1200,
		Suspected:          true,
		SuspectedForMS:     300,
		Phi:                9.5,
		Failed:             true,
		UnreachableThrough: []string{"n-2"},
	}
	if err := ValidateOpinions([]PeerOpinion{good, {Controller: "n-2", SinceLastContactMS: -1}}); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*PeerOpinion){
		"nobody":                    func(o *PeerOpinion) { o.Controller = "" },
		"heard in the future":       func(o *PeerOpinion) { o.SinceLastContactMS = -2 },
		"too long ago":              func(o *PeerOpinion) { o.SinceLastContactMS = math.MaxInt64 },
		"suspected in the future":   func(o *PeerOpinion) { o.SuspectedForMS = -1 },
		"no phi":                    func(o *PeerOpinion) { o.Phi = math.NaN() },
		"infinite phi":              func(o *PeerOpinion) { o.Phi = math.Inf(1) },
		"failed but not suspected":  func(o *PeerOpinion) { o.Suspected = false },
		"heard without incarnation": func(o *PeerOpinion) { o.Incarnation = 0 },
		"too many peers":            func(o *PeerOpinion) { o.UnreachableThrough = make([]string, MaxOpinions+1) },
	} {
		bad := good
		change(&bad)
		if ValidateOpinions([]PeerOpinion{bad}) == nil {
			t.Errorf("%s: accepted, want an error", name)
		}
	}
	if ValidateOpinions(make([]PeerOpinion, MaxOpinions+1)) == nil {
		t.Error("more than MaxOpinions opinions: accepted, want an error")
	}
}
