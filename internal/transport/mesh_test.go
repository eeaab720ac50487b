package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"pinebay/internal/protocol"
)

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := TCP{}.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func dialLocal(t *testing.T, addr net.Addr) net.Conn {
	t.Helper()
	c, err := TCP{}.Dial(t.Context(), addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// newCaller returns a mesh that can only call the controller "b".
func newCaller(name string, addrOfB net.Addr) *Mesh {
	return NewMesh(MeshConfig{
		Network: TCP{},
		Self:    name,
		Peers:   map[string]string{"b": addrOfB.String()},
		Timeout: time.Minute,
		Log:     discardLogger(),
	})
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// TestMeshAnswersPeersOnly checks that a peer's call is answered and that the loss of its connection is reported. A
// message from an unknown controller and a malformed message must end their connections.
func TestMeshAnswersPeersOnly(t *testing.T) {
	l := listenLocal(t)
	lost := make(chan string, 1)
	server := NewMesh(MeshConfig{
		Network: TCP{},
		Self:    "b",
		Peers:   map[string]string{"a": "127.0.0.1:1"},
		Timeout: time.Minute,
		Log:     discardLogger(),
		Handle: func(m *protocol.PeerMessage) *protocol.PeerMessage {
			return &protocol.PeerMessage{Kind: protocol.PeerReply, Term: m.Term + 1}
		},
		OnPeerLost: func(peer string) { lost <- peer },
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()

	a := newCaller("a", l.Addr())
	r, err := a.Call(ctx, "b", protocol.PeerMessage{Kind: protocol.PeerHeartbeat, Term: 4})
	if err != nil || r.Term != 5 || r.From != "b" {
		t.Fatalf("reply %+v, error %v, want a reply from b in term 5", r, err)
	}
	if err := a.peers["b"].conn.Close(); err != nil {
		t.Error(err)
	}
	if peer := <-lost; peer != "a" {
		t.Errorf("connection of %q reported as lost, want a", peer)
	}
	stranger := newCaller("x", l.Addr())
	if r, err := stranger.Call(ctx, "b", protocol.PeerMessage{Kind: protocol.PeerHeartbeat}); err == nil {
		t.Errorf("an unknown controller was answered: %+v", r)
	}
	c := dialLocal(t, l.Addr())
	if err := WriteFrame(c, []byte("nonsense")); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFrame(c); err == nil {
		t.Error("a malformed message was answered")
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if c, err := l.Accept(); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// TestUnreachablePeers checks that the errors of calls to a controller that is unknown or refuses connections match
// ErrPeerUnreachable.
func TestUnreachablePeers(t *testing.T) {
	l := listenLocal(t)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	a := newCaller("a", l.Addr())
	for _, name := range []string{"b", "unknown"} {
		_, err := a.Call(t.Context(), name, protocol.PeerMessage{Kind: protocol.PeerHeartbeat})
		if !errors.Is(err, ErrPeerUnreachable) {
			t.Errorf("call to %s: error %v, want ErrPeerUnreachable", name, err)
		}
	}
}

// TestCallWithoutReply checks that a call whose context ends returns the context's error and closes the connection,
// which ends the other calls on it.
func TestCallWithoutReply(t *testing.T) {
	l := listenLocal(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	a := newCaller("a", l.Addr())
	other := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), "b", protocol.PeerMessage{Kind: protocol.PeerStatusQuery})
		other <- err
	}()
	unanswered := <-accepted
	t.Cleanup(func() { _ = unanswered.Close() })
	if _, err := ReadFrame(unanswered); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := a.Call(ctx, "b", protocol.PeerMessage{Kind: protocol.PeerHeartbeat})
		first <- err
	}()
	if _, err := ReadFrame(unanswered); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-first; !errors.Is(err, context.Canceled) {
		t.Errorf("error of the cancelled call: %v, want context.Canceled", err)
	}
	if err := <-other; !errors.Is(err, ErrPeerUnreachable) {
		t.Errorf("error of the other call: %v, want ErrPeerUnreachable", err)
	}
	if _, err := ReadFrame(unanswered); err == nil {
		t.Error("the connection is still open")
	}
}
