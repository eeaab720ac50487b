package protocol

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMeshMachines: names in any number and length are parted into messages that their receiver
// takes, and none is lost.
func TestMeshMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var names []string
		for range rapid.IntRange(0, 3*MaxMeshMachines).Draw(t, "names") {
			names = append(names, "host-"+strings.Repeat("0", rapid.SampledFrom([]int{6, 6, 6, 200}).Draw(t, "length")))
		}
		var all []string
		for _, list := range MeshMachines(names) {
			raw, err := EncodeMesh(&MeshMessage{Version: MeshVersion, Kind: MeshHeard, From: "n-0", Machines: list})
			if err != nil || len(raw) > MaxBody {
				t.Fatalf("%d names in %d bytes: %v", len(list), len(raw), err)
			}
			if _, err := DecodeMesh(raw); err != nil {
				t.Fatal(err)
			}
			all = append(all, list...)
		}
		if !slices.Equal(all, names) {
			t.Fatalf("%d of %d names", len(all), len(names))
		}
	})
}
