package simulation

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"pinebay/internal/random"
)

// Network is an in-memory network between hosts. It delays what it carries, and a
// cut from one host to another holds it back: what is under way when the cut ends
// arrives then, in order, also when its sender has given up or ended meanwhile.
type Network struct {
	mu         sync.Mutex
	random     *random.Source
	listeners  map[string]*listener
	blocked    func(from, to string) bool
	changed    chan struct{} // closed when cuts have changed
	done       chan struct{}
	ports      int
	extraDelay map[string]time.Duration // hosts that take so much longer for what they send and receive
	packets    map[link]int
	tap        func(from, to string, data []byte)
}

// link is a direction between two hosts.
type link struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random: random.New(seed).Named("network"), listeners: map[string]*listener{},
		blocked: func(string, string) bool { return false }, changed: make(chan struct{}), done: make(chan struct{}),
		extraDelay: map[string]time.Duration{}, packets: map[link]int{},
	}
}

// SetExtraDelay makes a host short of processor time: what it sends and receives takes so much
// longer. 0 ends that.
func (n *Network) SetExtraDelay(host string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay[host] = by
}

// Tap has a function see everything that arrives.
func (n *Network) Tap(tap func(from, to string, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = tap
}

func (n *Network) notifyTap(from, to string, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tap != nil {
		n.tap(from, to, data)
	}
}

// Packets returns how many packets one host has sent to the other so far.
func (n *Network) Packets(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.packets[link{from, to}]
}

// countPacket notes a packet, and returns how long it takes.
func (n *Network) countPacket(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[link{from, to}]++
	return n.extraDelay[from] + n.extraDelay[to]
}

// SetBlocked replaces the rule that says which hosts cannot send to which.
func (n *Network) SetBlocked(cut func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = cut
	n.mu.Unlock()
	n.RecheckBlocked()
}

// RecheckBlocked has what is held back look again at the rule.
func (n *Network) RecheckBlocked() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close ends everything that is under way.
func (n *Network) Close() { close(n.done) }

// waitUntilPassable waits until the host can send to the other; ok is false when the network is closed or the
// time is up, and held says that a cut was in the way.
func (n *Network) waitUntilPassable(from, to string, stop <-chan struct{}) (held, ok bool) {
	for ; ; held = true {
		n.mu.Lock()
		cut, changed := n.blocked, n.changed
		n.mu.Unlock()
		// The cut is asked without the lock: it takes one of its own, whose holder may be
		// waiting for this one.
		if !cut(from, to) {
			return held, true
		}
		select {
		case <-changed:
		case <-stop:
			return held, false
		case <-n.done:
			return held, false
		}
	}
}

// The least time that something takes from one host to another, and by how much more it may.
const (
	minDelay    = time.Millisecond / 2
	delayJitter = 3 * time.Millisecond / 2
)

// delay is how long something takes from one host to another. It follows from what is sent and when,
// so that it is the same in every run, whichever of several goroutines is first to send.
func (n *Network) delay(from, to string, sent []byte) time.Duration {
	return minDelay + n.random.UpTo(from+">"+to+" "+string(sent), delayJitter)
}

// Host is one process's access to the network.
type Host struct {
	net       *Network
	name      string
	mu        sync.Mutex
	dead      bool
	conns     map[*conn]bool
	listeners []*listener
}

// Host returns access for a process on the host of that name.
func (n *Network) Host(name string) *Host { return &Host{net: n, name: name, conns: map[*conn]bool{}} }

// Kill ends the process's connections and listeners, and allows no new ones.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	conns, ls := h.conns, h.listeners
	h.conns, h.listeners = map[*conn]bool{}, nil
	h.mu.Unlock()
	for _, l := range ls {
		l.Close()
	}
	for c := range conns {
		c.Close()
	}
}

func (h *Host) register(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return false
	}
	h.conns[c] = true
	c.host = h
	return true
}

type listener struct {
	host   *Host
	addr   addr
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// Listen opens an address of the host.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	l := &listener{host: h, addr: addr(address), queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if old := h.net.listeners[address]; old != nil {
		select {
		case <-old.closed:
		default:
			return nil, fmt.Errorf("listen on %s: in use", address)
		}
	}
	h.net.listeners[address] = l
	h.mu.Lock()
	h.listeners = append(h.listeners, l)
	h.mu.Unlock()
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return l.addr }

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

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) Close() error {
	if h := c.host; h != nil {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
	}
	return c.Conn.Close()
}

// HostOf is the host part of an address.
func HostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// Dial connects to an address, once the hosts can send to each other. It takes no time by itself, so
// that it doesn't matter which of two requests finds the idle connection and which one opens another.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to := HostOf(address)
	if _, ok := h.net.waitUntilPassable(h.name, to, ctx.Done()); !ok {
		return nil, fmt.Errorf("dial %s: %w", address, context.DeadlineExceeded)
	}
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.ports++
	local := addr(fmt.Sprintf("%s:%d", h.name, 10000+h.net.ports))
	h.net.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("dial %s: refused", address)
	}
	mine, a := net.Pipe()
	theirs, b := net.Pipe()
	here := &conn{Conn: mine, local: local, remote: l.addr}
	there := &conn{Conn: theirs, local: l.addr, remote: local}
	shut := func() { mine.Close(); theirs.Close(); a.Close(); b.Close() }
	if !h.register(here) || !l.host.register(there) {
		shut()
		return nil, fmt.Errorf("dial %s: refused", address)
	}
	select {
	case <-l.closed:
		shut()
		return nil, fmt.Errorf("dial %s: refused", address)
	case l.queue <- there:
	}
	go h.net.carry(a, b, h.name, to)
	go h.net.carry(b, a, to, h.name)
	return here, nil
}

type packet struct {
	data []byte // nil: the sender has closed
	due  time.Time
}

// minPacketInterval is the least time between two packets of a connection. What arrived at the same moment, a
// request and the end of its connection, say, would be taken in in either order.
const minPacketInterval = 20 * time.Microsecond

// carry moves what one end sends to the other, late and in order.
func (n *Network) carry(in, out net.Conn, from, to string) {
	queue := make(chan packet, 4096)
	go func() {
		defer out.Close()
		var last time.Time // when the packet before arrived
		for p := range queue {
			time.Sleep(time.Until(p.due))
			time.Sleep(time.Until(last.Add(minPacketInterval)))
			held, ok := n.waitUntilPassable(from, to, nil)
			if !ok || p.data == nil {
				return
			}
			if held {
				// What waited on many connections doesn't all arrive at once, not even what was sent twice.
				time.Sleep(n.delay(from, to, append(p.due.AppendFormat(nil, time.RFC3339Nano), p.data...)))
			}
			n.notifyTap(from, to, p.data)
			if _, err := out.Write(p.data); err != nil {
				return
			}
			last = time.Now()
		}
	}()
	defer close(queue)
	buf := make([]byte, 64<<10)
	for {
		k, err := in.Read(buf)
		p := packet{due: time.Now().Add(n.delay(from, to, buf[:k]))}
		if k > 0 {
			p.due = p.due.Add(n.countPacket(from, to))
			p.data = append([]byte{}, buf[:k]...)
			select {
			case queue <- p:
			case <-n.done:
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			select {
			case queue <- packet{due: p.due}:
			case <-n.done:
			}
			return
		}
	}
}
