package simulation

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"pinebay/internal/random"
)

// Network is an in-memory network between hosts. It delivers every packet with a small random delay. A blocked link
// queues packets and delivers them in order once it is unblocked, even if the sender has closed the connection or its
// process has ended by then.
type Network struct {
	random *random.Source
	done   chan struct{}

	mu         sync.Mutex
	listeners  map[string]*listener
	blocked    func(from, to string) bool
	changed    chan struct{}            // closed when the result of blocked may have changed
	ports      int                      // number of local ports that were assigned
	extraDelay map[string]time.Duration // by host
	packets    map[link]int
	tap        func(from, to string, data []byte)
}

// link is one direction of the connection between two hosts.
type link struct{ from, to string }

// NewNetwork returns a network without listeners. The seed determines the delays of packets.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:     random.New(seed).Derive("network"),
		done:       make(chan struct{}),
		listeners:  map[string]*listener{},
		blocked:    func(string, string) bool { return false },
		changed:    make(chan struct{}),
		extraDelay: map[string]time.Duration{},
		packets:    map[link]int{},
	}
}

// SetExtraDelay delays every packet that a host sends or receives, as if the host were short of CPU time.
func (n *Network) SetExtraDelay(host string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraDelay[host] = delay
}

// Tap sets a function that is called for each packet just before it is delivered. It may be nil.
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

// Packets returns the number of packets that one host has sent to another, not counting ends of connections.
func (n *Network) Packets(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.packets[link{from, to}]
}

// countPacket counts a packet and returns the extra delay of its sender and receiver.
func (n *Network) countPacket(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packets[link{from, to}]++
	return n.extraDelay[from] + n.extraDelay[to]
}

// SetBlocked sets the function that reports whether a link is blocked.
func (n *Network) SetBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = blocked
	n.mu.Unlock()
	n.RecheckBlocked()
}

// RecheckBlocked makes queued packets and waiting dials call the function of SetBlocked again. It must be called
// whenever the result of that function may have changed.
func (n *Network) RecheckBlocked() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Close drops all packets that have not been delivered yet.
func (n *Network) Close() { close(n.done) }

// waitUntilUnblocked waits until a link is not blocked. It returns ok == false if the network or stop is closed first.
// held reports whether the link was blocked at any time.
func (n *Network) waitUntilUnblocked(from, to string, stop <-chan struct{}) (held, ok bool) {
	for ; ; held = true {
		n.mu.Lock()
		blocked, changed := n.blocked, n.changed
		n.mu.Unlock()
		// Call the function without holding n.mu: it acquires a lock whose holder may be waiting for n.mu.
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

// Packets are delayed by a random time between minDelay and minDelay + delayJitter.
const (
	minDelay    = time.Millisecond / 2
	delayJitter = 3 * time.Millisecond / 2
)

// delay returns the delay of a packet. It is derived from the content of the packet and not from the order of calls, so
// that it is the same in every run no matter which of several goroutines sends first.
func (n *Network) delay(from, to string, sent []byte) time.Duration {
	return minDelay + n.random.UpTo(from+">"+to+" "+string(sent), delayJitter)
}

// packet is the data of one Write call, or the end of a connection.
type packet struct {
	data []byte // nil: the sender has closed the connection
	due  time.Time
}

// minPacketInterval is the minimum time between the deliveries of two packets of a connection. Packets that arrive at
// the same moment, such as a request and the end of its connection, would be handled in random order.
const minPacketInterval = 20 * time.Microsecond

const (
	// maxPacketsUnderWay limits the packets of a connection that are not delivered yet; further writes block.
	maxPacketsUnderWay = 4096
	maxPacketBytes     = 64 << 10
)

// forward copies data from in to out, with delay and in order, until one of them is closed.
func (n *Network) forward(in, out net.Conn, from, to string) {
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

// enqueue adds a packet to a queue. It returns false if the network is closed first.
func (n *Network) enqueue(queue chan<- packet, p packet) bool {
	select {
	case queue <- p:
		return true
	case <-n.done:
		return false
	}
}

// deliver writes the packets of a queue to out when they are due, and closes out after the last one.
func (n *Network) deliver(queue <-chan packet, out net.Conn, from, to string) {
	defer func() { _ = out.Close() }()
	var last time.Time // when the previous packet was delivered
	for p := range queue {
		time.Sleep(time.Until(p.due))
		time.Sleep(time.Until(last.Add(minPacketInterval)))
		held, ok := n.waitUntilUnblocked(from, to, nil)
		if !ok || p.data == nil {
			return
		}
		if held {
			// Spread the packets that were queued on several connections over time. The due time is part of the purpose
			// so that packets with the same content get different delays.
			time.Sleep(n.delay(from, to, append(p.due.AppendFormat(nil, time.RFC3339Nano), p.data...)))
		}
		n.notifyTap(from, to, p.data)
		if _, err := out.Write(p.data); err != nil {
			return
		}
		last = time.Now()
	}
}
