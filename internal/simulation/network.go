package simulation

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"pinebay/internal/random"
)

// Network is an in-memory network between hosts. It delays packets, and a blocked link holds them back: they are
// delivered in order once the link is no longer blocked, even if their sender has closed the connection or ended.
type Network struct {
	random *random.Source
	done   chan struct{}

	mu         sync.Mutex
	listeners  map[string]*listener
	blocked    func(from, to string) bool
	changed    chan struct{}            // closed when blocked may have another result
	ports      int                      // local ports that are used
	extraDelay map[string]time.Duration // by host
	packets    map[link]int
	tap        func(from, to string, data []byte)
}

// link is a direction between two hosts.
type link struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:     random.New(seed).Named("network"),
		done:       make(chan struct{}),
		listeners:  map[string]*listener{},
		blocked:    func(string, string) bool { return false },
		changed:    make(chan struct{}),
		extraDelay: map[string]time.Duration{},
		packets:    map[link]int{},
	}
}

// SetExtraDelay delays everything that a host sends or receives, as if it were short of processor time.
func (n *Network) SetExtraDelay(host string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay[host] = delay
}

// Tap sets a function that is called for each packet that is delivered.
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

// Packets returns the number of packets that one host has sent to another.
func (n *Network) Packets(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.packets[link{from, to}]
}

// countPacket counts a packet, and returns its extra delay.
func (n *Network) countPacket(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[link{from, to}]++
	return n.extraDelay[from] + n.extraDelay[to]
}

// SetBlocked sets the function that returns whether a link is blocked.
func (n *Network) SetBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = blocked
	n.mu.Unlock()
	n.RecheckBlocked()
}

// RecheckBlocked has held packets and dials call the function of SetBlocked again. It must be called when the function
// may have another result.
func (n *Network) RecheckBlocked() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close drops all packets that are under way.
func (n *Network) Close() { close(n.done) }

// waitUntilPassable waits until a link is not blocked. ok is false if the network was closed or stop was closed before,
// and held says that the link was blocked.
func (n *Network) waitUntilPassable(from, to string, stop <-chan struct{}) (held, ok bool) {
	for ; ; held = true {
		n.mu.Lock()
		blocked, changed := n.blocked, n.changed
		n.mu.Unlock()
		// The function is called without the lock: it takes a lock whose holder may be waiting for this one.
		if !blocked(from, to) {
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

// The delay of a packet is between minDelay and minDelay + delayJitter.
const (
	minDelay    = time.Millisecond / 2
	delayJitter = 3 * time.Millisecond / 2
)

// delay returns the delay of a packet. It depends on the packet and not on the order of calls, so that it is the same
// in every run, whichever of several goroutines sends first.
func (n *Network) delay(from, to string, sent []byte) time.Duration {
	return minDelay + n.random.UpTo(from+">"+to+" "+string(sent), delayJitter)
}

// packet is what one call of Write has sent, or the end of a connection.
type packet struct {
	data []byte // nil: the sender has closed the connection
	due  time.Time
}

// minPacketInterval is the minimum time between two packets of a connection. Packets that arrive at the same moment,
// such as a request and the end of its connection, would be handled in any order.
const minPacketInterval = 20 * time.Microsecond

const (
	maxPacketsUnderWay = 4096
	maxPacketBytes     = 64 << 10
)

// carry sends what is read from in to out, delayed and in order, until in or out is closed.
func (n *Network) carry(in, out net.Conn, from, to string) {
	queue := make(chan packet, maxPacketsUnderWay)
	go n.deliver(queue, out, from, to)
	defer close(queue)
	buffer := make([]byte, maxPacketBytes)
	for {
		size, err := in.Read(buffer)
		due := time.Now().Add(n.delay(from, to, buffer[:size]))
		if size > 0 {
			due = due.Add(n.countPacket(from, to))
			if !n.enqueue(queue, packet{data: append([]byte{}, buffer[:size]...), due: due}) {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				n.enqueue(queue, packet{due: due})
			}
			return
		}
	}
}

// enqueue adds a packet to a queue, and reports whether the network is still open.
func (n *Network) enqueue(queue chan<- packet, p packet) bool {
	select {
	case queue <- p:
		return true
	case <-n.done:
		return false
	}
}

// deliver writes the packets of a queue when they are due, and closes the connection after the last one.
func (n *Network) deliver(queue <-chan packet, out net.Conn, from, to string) {
	defer func() { _ = out.Close() }()
	var last time.Time // when the packet before was delivered
	for p := range queue {
		time.Sleep(time.Until(p.due))
		time.Sleep(time.Until(last.Add(minPacketInterval)))
		held, ok := n.waitUntilPassable(from, to, nil)
		if !ok || p.data == nil {
			return
		}
		if held {
			// What was held on many connections does not arrive at the same moment, not even if it was sent twice.
			time.Sleep(n.delay(from, to, append(p.due.AppendFormat(nil, time.RFC3339Nano), p.data...)))
		}
		n.notifyTap(from, to, p.data)
		if _, err := out.Write(p.data); err != nil {
			return
		}
		last = time.Now()
	}
}
