package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

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
	if err := WriteFrame(io.Discard, make([]byte, maxFrame+1)); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("oversized frame: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); !errors.Is(err, protocol.ErrMalformed) {
		t.Errorf("oversized length: %v", err)
	}
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestMeshAnswersPeersOnly: a peer is answered and its loss is told; a
// stranger, another version or nonsense ends the connection.
func TestMeshAnswersPeersOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lost := make(chan string, 1)
	server := NewMesh("b", map[string]string{"a": "127.0.0.1:1"}, time.Minute, quiet(), func(m *protocol.MeshMessage) *protocol.MeshMessage {
		return &protocol.MeshMessage{Kind: protocol.MeshReply, Term: m.Term + 1}
	}, func(n string) { lost <- n })
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()

	a := NewMesh("a", map[string]string{"b": l.Addr().String()}, time.Minute, quiet(), nil, nil)
	r, err := a.Call(ctx, "b", protocol.MeshMessage{Kind: protocol.MeshBeat, Term: 4})
	if err != nil || r.Term != 5 || r.From != "b" {
		t.Fatalf("%+v %v", r, err)
	}
	a.peers["b"].conn.Close()
	if n := <-lost; n != "a" {
		t.Errorf("lost %q", n)
	}
	stranger := NewMesh("x", map[string]string{"b": l.Addr().String()}, time.Minute, quiet(), nil, nil)
	if r, err := stranger.Call(ctx, "b", protocol.MeshMessage{Kind: protocol.MeshBeat}); err == nil {
		t.Errorf("a stranger was answered: %+v", r)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteFrame(c, []byte("nonsense")); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFrame(c); err == nil {
		t.Error("nonsense was answered")
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestSocketBudget: connections beyond the budget are closed at once, and
// room that is given back is used again.
func TestSocketBudget(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 3)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	dial()
	first := <-accepted
	if _, err := dial().Read(make([]byte, 1)); err == nil {
		t.Error("a second connection was kept")
	}
	first.Close()
	first.Close() // counted once
	dial()
	<-accepted
	if n := l.open.Load(); n != 1 {
		t.Errorf("%d open", n)
	}
}
