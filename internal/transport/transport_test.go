package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinebay/internal/protocol"
	"pinebay/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

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

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestMeshAnswersPeersOnly: a peer is answered and its loss is told; a
// stranger, another version or nonsense ends the connection.
func TestMeshAnswersPeersOnly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lost := make(chan string, 1)
	server := NewMesh(
		TCP{},
		"b",
		map[string]string{"a": "127.0.0.1:1"},
		time.Minute,
		discardLogger(),
		func(m *protocol.PeerMessage) *protocol.PeerMessage {
			return &protocol.PeerMessage{Kind: protocol.PeerReply, Term: m.Term + 1}
		},
		func(n string) { lost <- n },
	)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()

	a := NewMesh(TCP{}, "a", map[string]string{"b": l.Addr().String()}, time.Minute, discardLogger(), nil, nil)
	r, err := a.Call(ctx, "b", protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Term: 4})
	if err != nil || r.Term != 5 || r.From != "b" {
		t.Fatalf("%+v %v", r, err)
	}
	a.peers["b"].conn.Close()
	if n := <-lost; n != "a" {
		t.Errorf("lost %q", n)
	}
	stranger := NewMesh(TCP{}, "x", map[string]string{"b": l.Addr().String()}, time.Minute, discardLogger(), nil, nil)
	if r, err := stranger.Call(ctx, "b", protocol.PeerMessage{Kind: protocol.PeerHeartbeat}); err == nil {
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

// TestSocketBudget: connections beyond the budget are closed at once unless one is
// idle, which then makes way, the longest idle one first; and room that is given
// back is used again.
func TestSocketBudget(t *testing.T) {
	l, err := Listen(TCP{}, "127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 8)
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
	closed := func(c net.Conn) bool { _, err := c.Read(make([]byte, 1)); return err != nil }
	open := func() int { l.mu.Lock(); defer l.mu.Unlock(); return l.open }
	one := dial()
	first := <-accepted
	two := dial()
	second := <-accepted
	if !closed(dial()) {
		t.Error("a third connection was kept beside two busy ones")
	}
	l.ConnState(second, http.StateIdle)
	l.ConnState(first, http.StateIdle)
	dial()
	<-accepted
	if !closed(two) {
		t.Error("the longest idle connection was kept")
	}
	l.ConnState(first, http.StateActive)
	l.ConnState(second, http.StateIdle) // it is closed, and late news change nothing
	if !closed(dial()) {
		t.Error("a connection was kept beside two busy ones")
	}
	first.Close()
	first.Close() // counted once
	if !closed(one) {
		t.Error("closed, and yet open")
	}
	dial()
	<-accepted
	if n := open(); n != 2 {
		t.Errorf("%d open", n)
	}
}

// TestClientLimitsRequests: no more requests are under way than the client may have
// sockets for, and their time begins with their turn.
func TestClientLimitsRequests(t *testing.T) {
	var under, most atomic.Int64
	turn := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := under.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		<-turn
		under.Add(-1)
	}))
	defer srv.Close()
	c := NewClient(TCP{}, 8, 3, time.Minute)
	done := make(chan error)
	const n = 12
	for range n {
		go func() {
			_, _, err := c.Do(context.Background(), time.Minute, http.MethodGet, srv.URL, nil)
			done <- err
		}()
	}
	for range n {
		turn <- struct{}{}
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if m := most.Load(); m > 3 {
		t.Errorf("%d requests under way at a time", m)
	}
}
