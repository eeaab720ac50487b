package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// dialTimeoutDivisor sets the part of a call's timeout that dialing may take.
const dialTimeoutDivisor = 4

// peerReadBufferBytes is the size of the read buffer of a connection between controllers. With it a heartbeat takes one
// system call instead of two, one for the header and one for the content.
const peerReadBufferBytes = 1 << 10

// ErrPeerUnreachable matches the errors of calls that could not be sent to their peer.
var ErrPeerUnreachable = errors.New("peer not reachable")

// MeshConfig configures a Mesh.
type MeshConfig struct {
	Network Network
	// Self is the name of this controller.
	Self string
	// Peers are the addresses of the other controllers by name.
	Peers map[string]string
	// Timeout is the limit of each call, and of sending each reply.
	Timeout time.Duration
	Log     *slog.Logger
	// Handle answers a request of a peer. It is called one at a time for the heartbeats of a connection, and
	// concurrently otherwise.
	Handle func(*protocol.PeerMessage) *protocol.PeerMessage
	// OnPeerLost is called when a connection that a peer had opened ends.
	OnPeerLost func(peer string)
}

// Mesh connects the controllers with each other. Each controller opens one connection to each peer, on which it sends
// its requests and receives the replies; the requests of the peer arrive on the peer's connection. A Mesh is safe for
// concurrent use. Its connections to peers stay open until the peer closes them or a call on them fails.
type Mesh struct {
	config MeshConfig
	peers  map[string]*peer
}

// NewMesh returns a mesh. It opens no connection before the first call.
func NewMesh(config MeshConfig) *Mesh {
	m := &Mesh{config: config, peers: map[string]*peer{}}
	for name, addr := range config.Peers {
		m.peers[name] = newPeer(addr)
	}
	return m
}

// Peers returns the names of the other controllers, in order.
func (m *Mesh) Peers() []string {
	return slices.Sorted(maps.Keys(m.peers))
}

// Serve answers the requests that peers send over connections of the listener, until ctx ends or the listener fails. It
// closes the listener before it returns, and each connection when ctx ends.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer func() {
		if stop() {
			_ = l.Close()
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("mesh: %w", err)
		}
		go m.serveConn(ctx, c)
	}
}

// serveConn answers the requests on one connection until it ends. A malformed message, or one of an unknown sender,
// ends it.
func (m *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	from := ""
	replies := &replyWriter{conn: conn, timeout: m.config.Timeout}
	r := bufio.NewReaderSize(conn, peerReadBufferBytes)
	for {
		raw, err := ReadFrame(r)
		if err != nil {
			if from != "" && !errors.Is(err, protocol.ErrMalformed) {
				m.config.OnPeerLost(from)
			}
			return
		}
		request, err := protocol.DecodePeerMessage(raw)
		if err != nil || m.peers[request.From] == nil {
			m.config.Log.Info("peer message rejected", "address", conn.RemoteAddr(), "error", err)
			return
		}
		from = request.From
		if request.Kind != protocol.PeerHeartbeat {
			// Other requests may wait for the leader. They must not delay the heartbeats behind them.
			go m.answer(replies, request)
			continue
		}
		m.answer(replies, request)
	}
}

// answer handles a request and sends the reply.
func (m *Mesh) answer(replies *replyWriter, request *protocol.PeerMessage) {
	reply := m.config.Handle(request)
	reply.ID, reply.From = request.ID, m.config.Self
	raw, err := protocol.EncodePeerMessage(reply)
	if err != nil {
		m.config.Log.Error("failed to encode peer reply", "error", err)
		return
	}
	replies.write(raw)
}

// replyWriter writes replies to a connection, one at a time.
type replyWriter struct {
	mu      sync.Mutex
	conn    net.Conn
	timeout time.Duration
}

// write sends a reply. If that fails it closes the connection, which ends its reader; the peer then connects again.
func (w *replyWriter) write(raw []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := writeFrameBefore(w.conn, time.Now().Add(w.timeout), raw); err != nil {
		_ = w.conn.Close()
	}
}

// writeFrameBefore writes a frame, and fails at the deadline.
func writeFrameBefore(conn net.Conn, deadline time.Time, raw []byte) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return WriteFrame(conn, raw)
}

// Call sends a request to a peer and returns its reply. It returns at the latest when ctx ends or the mesh's timeout is
// over. An error that matches [ErrPeerUnreachable] says that the peer is unknown or not connected, or that its
// connection ended. A call that gets no reply in time closes the connection, as it may be broken without notice, so
// that the next call opens another one.
func (m *Mesh) Call(ctx context.Context, name string, request protocol.PeerMessage) (*protocol.PeerMessage, error) {
	p := m.peers[name]
	if p == nil {
		return nil, fmt.Errorf("%w: unknown controller %q", ErrPeerUnreachable, name)
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	if err := p.connect(ctx, m.config.Network, m.config.Timeout/dialTimeoutDivisor); err != nil {
		return nil, err
	}
	request.From = m.config.Self
	conn, reply, err := p.send(ctx, &request)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", name, err)
	}
	select {
	case message, ok := <-reply:
		if !ok {
			return nil, fmt.Errorf("call %s: %w", name, ErrPeerUnreachable)
		}
		return message, nil
	case <-ctx.Done():
		p.closeConn(conn)
		return nil, fmt.Errorf("call %s: %w", name, ctx.Err())
	}
}
