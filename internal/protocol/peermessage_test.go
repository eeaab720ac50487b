package protocol

import (
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSplitMachineNames: names in any number and length are parted into messages that their receiver
// takes, and none is lost.
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
				t.Fatalf("%d names in %d bytes: %v", len(list), len(raw), err)
			}
			if _, err := DecodePeerMessage(raw); err != nil {
				t.Fatal(err)
			}
			all = append(all, list...)
		}
		if !slices.Equal(all, names) {
			t.Fatalf("%d of %d names", len(all), len(names))
		}
	})
}

// TestMalformedOpinions: opinions that no controller can mean are refused, and those that one can are not.
func TestMalformedOpinions(t *testing.T) {
	good := PeerOpinion{
		Controller:         "n-1",
		Incarnation:        5,
		HeardAgoMS:         1200,
		Suspected:          true,
		SuspectedForMS:     300,
		Phi:                9.5,
		Failed:             true,
		UnreachableThrough: []string{"n-2"},
	}
	if err := CheckOpinions([]PeerOpinion{good, {Controller: "n-2", HeardAgoMS: -1}}); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(*PeerOpinion){
		"nobody":           func(o *PeerOpinion) { o.Controller = "" },
		"heard in future":  func(o *PeerOpinion) { o.HeardAgoMS = -2 },
		"too long ago":     func(o *PeerOpinion) { o.HeardAgoMS = math.MaxInt64 },
		"suspected ahead":  func(o *PeerOpinion) { o.SuspectedForMS = -1 },
		"no phi":           func(o *PeerOpinion) { o.Phi = math.NaN() },
		"endless phi":      func(o *PeerOpinion) { o.Phi = math.Inf(1) },
		"failed unbidden":  func(o *PeerOpinion) { o.Suspected = false },
		"heard of no life": func(o *PeerOpinion) { o.Incarnation = 0 },
		"too many probes":  func(o *PeerOpinion) { o.UnreachableThrough = make([]string, MaxOpinions+1) },
	} {
		bad := good
		change(&bad)
		if CheckOpinions([]PeerOpinion{bad}) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if CheckOpinions(make([]PeerOpinion, MaxOpinions+1)) == nil {
		t.Error("too many: taken")
	}
}
