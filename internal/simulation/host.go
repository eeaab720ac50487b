package simulation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
)

// errConnRefused is the error of dialing an address that has no listener.
var errConnRefused = errors.New("refused")

// maxPendingConns limits the connections of a listener that wait for Accept.
const maxPendingConns = 1024

// portBase is added to the number of a dialed connection, which starts at 1, to get its local port.
const portBase = 10000

// Host gives one process access to the network. It implements transport.Network. A process that is started again needs
// a new Host.
type Host struct {
	net  *Network
	name string

	mu        sync.Mutex
	killed    bool
	conns     map[*conn]bool
	listeners []*listener
}

// Host returns a Host for a new process on the host with the given name.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name, conns: map[*conn]bool{}} }

// HostOf returns the host part of an address.
func HostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// Kill closes all connections and listeners of the process and prevents new ones.
func (h *Host) Kill() {
	h.mu.Lock()
	h.killed = true
	conns, listeners := h.conns, h.listeners
	h.conns, h.listeners = map[*conn]bool{}, nil
	h.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
}

// register records a connection of the process. It returns false if the process was killed.
func (h *Host) register(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return false
	}
	h.conns[c] = true
	c.host = h
	return true
}

// Listen listens on an address of the host.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	l := &listener{
		host:   h,
		addr:   addr(address),
		queue:  make(chan net.Conn, maxPendingConns),
		closed: make(chan struct{}),
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if old := h.net.listeners[address]; old != nil {
		select {
		case <-old.closed:
		default:
			return nil, fmt.Errorf("listen on %s: address already in use", address)
		}
	}
	h.net.listeners[address] = l
	h.mu.Lock()
	h.listeners = append(h.listeners, l)
	h.mu.Unlock()
	return l, nil
}

// Dial connects to an address. It waits while the link is blocked and takes no time otherwise, so that a run does not
// depend on which of two concurrent requests gets an idle connection and which one dials.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to := HostOf(address)
	if _, ok := h.net.waitUntilUnblocked(h.name, to, ctx.Done()); !ok {
		return nil, fmt.Errorf("dial %s: %w", address, context.DeadlineExceeded)
	}
	l, local := h.net.route(h.name, address)
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", address, errConnRefused)
	}
	callerEnd, callerNetwork := net.Pipe()
	listenerEnd, listenerNetwork := net.Pipe()
	caller := &conn{Conn: callerEnd, local: local, remote: l.addr}
	accepted := &conn{Conn: listenerEnd, local: l.addr, remote: local}
	refuse := func() (net.Conn, error) {
		for _, c := range []net.Conn{callerEnd, listenerEnd, callerNetwork, listenerNetwork} {
			_ = c.Close()
		}
		return nil, fmt.Errorf("dial %s: %w", address, errConnRefused)
	}
	if !h.register(caller) || !l.host.register(accepted) {
		return refuse()
	}
	select {
	case <-l.closed:
		return refuse()
	case l.queue <- accepted:
	}
	go h.net.forward(callerNetwork, listenerNetwork, h.name, to)
	go h.net.forward(listenerNetwork, callerNetwork, to, h.name)
	return caller, nil
}

// route returns the listener on an address, or nil if there is none, and an unused local address for the caller.
func (n *Network) route(caller, address string) (*listener, addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	return n.listeners[address], addr(fmt.Sprintf("%s:%d", caller, portBase+n.ports))
}

// addr is the address of a listener or of one end of a connection.
type addr string

// Network returns the name of the network, "tcp".
func (a addr) Network() string { return "tcp" }

// String returns the address as host:port.
func (a addr) String() string { return string(a) }

// listener accepts connections to an address.
type listener struct {
	host   *Host
	addr   addr
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr returns the address that the listener listens on.
func (l *listener) Addr() net.Addr { return l.addr }

// Close stops the listener. It may be called more than once.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	local, remote addr
	host          *Host
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// Close closes this end. The other end is closed after all data that was sent before has been delivered.
func (c *conn) Close() error {
	if h := c.host; h != nil {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}
	return c.Conn.Close()
}
