package transport

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestFramesSurvive: frames are read as they were written, and a truncated stream ends with an error.
func TestFramesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buf bytes.Buffer
		var sent [][]byte
		for range rapid.IntRange(1, 5).Draw(t, "n") {
			raw := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "raw")
			sent = append(sent, raw)
			if err := WriteFrame(&buf, raw); err != nil {
				t.Fatal(err)
			}
		}
		cut := rapid.IntRange(0, buf.Len()).Draw(t, "cut")
		r := bytes.NewReader(buf.Bytes()[:cut])
		for i := 0; ; i++ {
			got, err := ReadFrame(r)
			if err != nil {
				if cut == buf.Len() && i != len(sent) {
					t.Fatalf("%d of %d frames: %v", i, len(sent), err)
				}
				return
			}
			if !bytes.Equal(got, sent[i]) {
				t.Fatalf("frame %d changed", i)
			}
		}
	})
	if err := WriteFrame(io.Discard, make([]byte, maxFrameBytes+1)); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("oversized frame: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("oversized length: %v", err)
	}
}
