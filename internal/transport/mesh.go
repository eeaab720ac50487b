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

// dialTimeoutDivisor divides the timeout of a call to get the timeout of dialing.
const dialTimeoutDivisor = 4

// peerReadBufferBytes is the size of the read buffer of a connection between controllers. The buffer makes reading a
// heartbeat take one system call instead of two, for the header and the content.
const peerReadBufferBytes = 1 << 10

// ErrPeerUnreachable matches the errors of calls to a peer that is unknown or not connected, and of calls whose
// connection ended before the reply.
var ErrPeerUnreachable = errors.New("peer not reachable")

// MeshConfig is the configuration of a Mesh.
type MeshConfig struct {
	Network Network
	// Self is the name of this controller.
	Self string
	// Peers maps the names of the other controllers to their addresses.
	Peers map[string]string
	// Timeout limits each call, and the time for sending each reply.
	Timeout time.Duration
	Log     *slog.Logger
	// Handle returns the reply to a peer's request. Calls for heartbeats on the same connection are sequential, all
	// other calls are concurrent.
	Handle func(*protocol.PeerMessage) *protocol.PeerMessage
	// OnPeerLost is called when a connection that a peer had opened ends.
	OnPeerLost func(peer string)
}

// Mesh connects the controllers with each other. Each controller opens one connection to each peer for its own requests
// and their replies, and receives the peer's requests on the connection that the peer opens. A connection stays open
// until the peer closes it or a call on it fails. A Mesh is safe for concurrent use.
type Mesh struct {
	config MeshConfig
	peers  map[string]*peer
}

// NewMesh returns a mesh. It opens connections when they are first used.
func NewMesh(config MeshConfig) *Mesh {
	m := &Mesh{config: config, peers: map[string]*peer{}}
	for name, addr := range config.Peers {
		m.peers[name] = newPeer(addr)
	}
	return m
}

// Peers returns the sorted names of the other controllers.
func (m *Mesh) Peers() []string {
	return slices.Sorted(maps.Keys(m.peers))
}

// Serve answers the requests on connections that peers open to the listener, until ctx ends or the listener fails. It
// closes the listener before it returns, and the connections when ctx ends.
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

// serveConn answers the requests on one connection until it ends. It closes the connection after a malformed message or
// a message of an unknown sender.
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
			// Other requests may have to wait for the leader, and must not delay the heartbeats that follow them.
			go m.answer(replies, request)
			continue
		}
		m.answer(replies, request)
	}
}

// answer processes a request and sends the reply.
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

// replyWriter serializes the replies on a connection.
type replyWriter struct {
	mu      sync.Mutex
	conn    net.Conn
	timeout time.Duration
}

// write sends a reply. On an error it closes the connection, which also ends the goroutine that reads from it; the peer
// then reconnects.
func (w *replyWriter) write(raw []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := writeFrameWithDeadline(w.conn, time.Now().Add(w.timeout), raw); err != nil {
		_ = w.conn.Close()
	}
}

// writeFrameWithDeadline writes a frame, and fails if the write is not finished by the deadline.
func writeFrameWithDeadline(conn net.Conn, deadline time.Time, raw []byte) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return WriteFrame(conn, raw)
}

// Call sends a request to a peer and returns the reply. It is limited by ctx and by the mesh's timeout.
//
// The error matches [ErrPeerUnreachable] if the peer is unknown or not connected, or if its connection ended. A call
// without a reply in time closes the connection, which may be broken without either side having noticed; the next call
// then reconnects.
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
