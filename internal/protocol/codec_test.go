package protocol

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestNoInputPanics feeds random bytes, and valid messages that were truncated or changed, to every decoder of messages
// from outside.
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
			"job":          errorOf(DecodeJob(raw)),
			"heartbeat":    errorOf(DecodeWorkerHeartbeat(raw)),
			"peer message": errorOf(DecodePeerMessage(raw)),
		} {
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%s: %v does not match ErrMalformed", name, err)
			}
		}
		var txn Txn
		_ = Decode(raw, &txn) // it must return, with an error or without
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
