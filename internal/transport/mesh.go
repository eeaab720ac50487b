package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// maxFrameBytes bounds a frame of the mesh: a body of the other interfaces with
// what goes around it.
const maxFrameBytes = protocol.MaxBodyBytes + 4<<10

// dialTimeoutDivisor is the part of a call's time, as its inverse, that opening a connection may
// take.
const dialTimeoutDivisor = 4

// readBufferBytes is the read buffer of a connection between controllers: a heartbeat comes
// in one system call instead of two, its head and its body.
const readBufferBytes = 1 << 10

// ErrPeerUnreachable says that a peer cannot be reached.
var ErrPeerUnreachable = errors.New("peer not reachable")

// WriteFrame writes one length-framed message.
func WriteFrame(w io.Writer, raw []byte) error {
	if len(raw) > maxFrameBytes {
		return fmt.Errorf("%w: frame of %d bytes", protocol.ErrMalformed, len(raw))
	}
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(raw)), uint32(len(raw)))
	_, err := w.Write(append(buf, raw...))
	return err
}

// ReadFrame reads one length-framed message.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrameBytes {
		return nil, fmt.Errorf("%w: frame of %d bytes", protocol.ErrMalformed, n)
	}
	raw := make([]byte, n)
	_, err := io.ReadFull(r, raw)
	return raw, err
}

// Mesh connects the controllers. Every pair holds one connection a direction;
// requests go out on the own one and are answered there.
type Mesh struct {
	network    Network
	self       string
	timeout    time.Duration
	log        *slog.Logger
	handle     func(*protocol.PeerMessage) *protocol.PeerMessage
	onPeerLost func(node string)
	peers      map[string]*peer
}

// NewMesh returns a mesh of self with the named peers. handle answers a
// peer's request; lost is told when a peer's connection to us ends.
func NewMesh(network Network, self string, peers map[string]string, timeout time.Duration, log *slog.Logger,
	handle func(*protocol.PeerMessage) *protocol.PeerMessage, lost func(string),
) *Mesh {
	m := &Mesh{
		network:    network,
		self:       self,
		timeout:    timeout,
		log:        log,
		handle:     handle,
		onPeerLost: lost,
		peers:      map[string]*peer{},
	}
	for node, addr := range peers {
		m.peers[node] = &peer{addr: addr, pending: map[uint64]chan *protocol.PeerMessage{}}
	}
	return m
}

// Peers returns the names of the other controllers, in order.
func (m *Mesh) Peers() []string {
	return slices.Sorted(maps.Keys(m.peers))
}

// Serve answers peers on the listener until the context ends.
func (m *Mesh) Serve(ctx context.Context, l net.Listener) error {
	context.AfterFunc(ctx, func() { l.Close() })
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

func (m *Mesh) serveConn(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	from := ""
	var wmu sync.Mutex
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		raw, err := ReadFrame(r)
		if err != nil {
			if from != "" && !errors.Is(err, protocol.ErrMalformed) {
				m.onPeerLost(from)
			}
			return
		}
		msg, err := protocol.DecodePeerMessage(raw)
		if err != nil || m.peers[msg.From] == nil {
			m.log.Info("mesh frame refused", "remote", c.RemoteAddr(), "err", err)
			return
		}
		from = msg.From
		if msg.Kind != protocol.PeerHeartbeat {
			// What may wait for the leader must not hold up the beats behind it.
			go m.answer(c, &wmu, msg)
			continue
		}
		m.answer(c, &wmu, msg)
	}
}

func (m *Mesh) answer(c net.Conn, wmu *sync.Mutex, msg *protocol.PeerMessage) {
	reply := m.handle(msg)
	reply.ID, reply.From = msg.ID, m.self
	out, err := protocol.EncodePeerMessage(reply)
	if err != nil {
		m.log.Error("mesh reply", "err", err)
		return
	}
	wmu.Lock()
	defer wmu.Unlock()
	err = c.SetWriteDeadline(time.Now().Add(m.timeout))
	if err == nil {
		err = WriteFrame(c, out)
	}
	if err != nil {
		c.Close() // its reader ends, and the peer connects again
	}
}

type peer struct {
	addr    string
	mu      sync.Mutex
	conn    net.Conn
	dialing bool
	lastID  uint64
	pending map[uint64]chan *protocol.PeerMessage
}

// Call sends a request to a peer and returns its answer.
func (m *Mesh) Call(ctx context.Context, node string, msg protocol.PeerMessage) (*protocol.PeerMessage, error) {
	p := m.peers[node]
	if p == nil {
		return nil, fmt.Errorf("%w: unknown node %q", ErrPeerUnreachable, node)
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	if err := p.connect(ctx, m.network, m.timeout/dialTimeoutDivisor); err != nil {
		return nil, err
	}
	answer := make(chan *protocol.PeerMessage, 1)
	p.mu.Lock()
	c := p.conn
	if c == nil {
		p.mu.Unlock()
		return nil, ErrPeerUnreachable
	}
	p.lastID++
	id := p.lastID
	msg.ID, msg.From = id, m.self
	raw, err := protocol.EncodePeerMessage(&msg)
	if err != nil {
		p.mu.Unlock()
		return nil, err
	}
	p.pending[id] = answer
	deadline, _ := ctx.Deadline()
	err = c.SetWriteDeadline(deadline)
	if err == nil {
		err = WriteFrame(c, raw)
	}
	p.mu.Unlock()
	if err != nil {
		p.closeConn(c)
		return nil, fmt.Errorf("mesh to %s: %w", node, err)
	}
	select {
	case r, ok := <-answer:
		if !ok {
			return nil, fmt.Errorf("mesh to %s: %w", node, ErrPeerUnreachable)
		}
		return r, nil
	case <-ctx.Done():
		// A silent connection may be behind a cut: begin anew next time.
		p.closeConn(c)
		return nil, fmt.Errorf("mesh to %s: %w", node, ctx.Err())
	}
}

func (p *peer) connect(ctx context.Context, network Network, timeout time.Duration) error {
	p.mu.Lock()
	if p.conn != nil {
		p.mu.Unlock()
		return nil
	}
	if p.dialing {
		p.mu.Unlock()
		return ErrPeerUnreachable
	}
	p.dialing = true
	p.mu.Unlock()
	// A connection to a controller that is down hangs. Given up soon, the next attempt
	// finds the controller as soon as it is back.
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := network.Dial(dialCtx, p.addr)
	p.mu.Lock()
	p.dialing = false
	if err == nil {
		p.conn = c
	}
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeerUnreachable, err)
	}
	go p.read(c)
	return nil
}

func (p *peer) read(c net.Conn) {
	defer p.closeConn(c)
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		raw, err := ReadFrame(r)
		if err != nil {
			return
		}
		msg, err := protocol.DecodePeerMessage(raw)
		if err != nil {
			return
		}
		p.mu.Lock()
		ch := p.pending[msg.ID]
		delete(p.pending, msg.ID)
		p.mu.Unlock()
		if ch != nil {
			ch <- msg
		}
	}
}

// closeConn closes a connection and fails what waits on it.
func (p *peer) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != c {
		return
	}
	p.conn = nil
	for id, ch := range p.pending {
		close(ch)
		delete(p.pending, id)
	}
}
