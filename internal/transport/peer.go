package transport

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// peer is another controller. All calls to it share one connection.
type peer struct {
	addr string

	mu      sync.Mutex
	conn    net.Conn // nil if not connected
	dialing bool
	lastID  uint64
	// pending holds the calls that wait for a reply, by request id. A call's channel receives the reply, or is closed
	// when the connection ends.
	pending map[uint64]chan *protocol.PeerMessage
}

func newPeer(addr string) *peer {
	return &peer{addr: addr, pending: map[uint64]chan *protocol.PeerMessage{}}
}

// connect opens the connection if there is none. While one call is dialing, other calls fail immediately.
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
	// Dialing a controller that is down may block. A short timeout makes the next attempt follow soon after the
	// controller is back.
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := network.Dial(ctx, p.addr)
	p.mu.Lock()
	p.dialing = false
	if err == nil {
		p.conn = conn
	}
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeerUnreachable, err)
	}
	go p.readReplies(conn)
	return nil
}

// send assigns an id to a request and sends it. It returns the connection and the channel for the reply.
func (p *peer) send(ctx context.Context, request *protocol.PeerMessage) (
	net.Conn, <-chan *protocol.PeerMessage, error,
) {
	conn, reply, err := p.writeRequest(ctx, request)
	if err != nil && conn != nil {
		p.closeConn(conn)
	}
	return conn, reply, err
}

// writeRequest writes a request. If it returns an error together with a connection, that connection has failed.
func (p *peer) writeRequest(ctx context.Context, request *protocol.PeerMessage) (
	net.Conn, <-chan *protocol.PeerMessage, error,
) {
	reply := make(chan *protocol.PeerMessage, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil, nil, ErrPeerUnreachable
	}
	p.lastID++
	request.ID = p.lastID
	raw, err := protocol.EncodePeerMessage(request)
	if err != nil {
		return nil, nil, err
	}
	p.pending[request.ID] = reply
	deadline, _ := ctx.Deadline()
	return p.conn, reply, writeFrameWithDeadline(p.conn, deadline, raw)
}

// readReplies delivers the replies on a connection to the waiting calls, until the connection ends.
func (p *peer) readReplies(conn net.Conn) {
	defer p.closeConn(conn)
	r := bufio.NewReaderSize(conn, peerReadBufferBytes)
	for {
		raw, err := ReadFrame(r)
		if err != nil {
			return
		}
		reply, err := protocol.DecodePeerMessage(raw)
		if err != nil {
			return
		}
		p.mu.Lock()
		waiting := p.pending[reply.ID]
		delete(p.pending, reply.ID)
		p.mu.Unlock()
		if waiting != nil {
			waiting <- reply
		}
	}
}

// closeConn closes a connection and fails the calls that wait for a reply on it.
func (p *peer) closeConn(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	p.conn = nil
	for id, waiting := range p.pending {
		close(waiting)
		delete(p.pending, id)
	}
}
