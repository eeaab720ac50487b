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

// TestFrameRoundTrip checks that frames are read as they were written, that reading a truncated stream ends with an
// error, and that frames that are too long are rejected.
func TestFrameRoundTrip(t *testing.T) {
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
					t.Fatalf("read %d of %d frames: %v", i, len(sent), err)
				}
				return
			}
			if !bytes.Equal(got, sent[i]) {
				t.Fatalf("frame %d differs from the one written", i)
			}
		}
	})
	if err := WriteFrame(io.Discard, make([]byte, maxFrameBytes+1)); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("writing a frame that is too long: error %v, want one that matches ErrMalformed", err)
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("reading a length that is too long: error %v, want one that matches ErrMalformed", err)
	}
}
