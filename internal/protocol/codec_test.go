package protocol

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestDecodersDoNotPanic checks that no decoder of messages from outside panics, and that every error matches
// ErrMalformed. The input is random bytes, or a valid message with one byte changed and the end cut off.
func TestDecodersDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "raw")
		if rapid.Bool().Draw(t, "derived") {
			good, err := Encode(drawJob(t))
			if err != nil {
				t.Fatal(err)
			}
			at := rapid.IntRange(0, len(good)-1).Draw(t, "at")
			good[at] = rapid.Byte().Draw(t, "byte")
			raw = good[:rapid.IntRange(at, len(good)).Draw(t, "cut")]
		}
		for name, err := range map[string]error{
			"job":          errorOf(DecodeJob(raw)),
			"heartbeat":    errorOf(DecodeWorkerHeartbeat(raw)),
			"peer message": errorOf(DecodePeerMessage(raw)),
		} {
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%s: %v does not match ErrMalformed", name, err)
			}
		}
		var txn Txn
		_ = Decode(raw, &txn) // must not panic; the error does not matter
	})
}

// errorOf returns the error of a call that also returns a value.
func errorOf[T any](_ T, err error) error { return err }

// TestDecodeRejectsNonMaps checks that Decode rejects values that are not maps, and bytes after a map.
func TestDecodeRejectsNonMaps(t *testing.T) {
	for _, v := range []any{nil, 1, "x", []any{1, 2}, true, 2.5} {
		raw, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := Decode(raw, &Job{}); !errors.Is(err, ErrMalformed) {
			t.Errorf("decoding %v: error %v, want one that matches ErrMalformed", v, err)
		}
	}
	raw, err := Encode(map[string]any{})
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(append(raw, 0xc0), &Job{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("bytes after the map: error %v, want one that matches ErrMalformed", err)
	}
}
