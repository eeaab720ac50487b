//go:build review2

package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkMode is what a proxy does with connections and data.
type linkMode int

const (
	linkUp    linkMode = iota
	linkHold           // connections hang; data is held back and delivered in order when the link is up again
	linkReset          // connections are reset, and new ones are refused by a reset
)

// proxy forwards connections to an address.
type proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context

	mu      sync.Mutex
	mode    linkMode
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(ctx context.Context, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, target: target, ctx: ctx, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	context.AfterFunc(ctx, func() { _ = l.Close(); p.set(linkReset) })
	return p
}

func (p *proxy) addr() string {
	if p.listener == nil {
		return p.target
	}
	return p.listener.Addr().String()
}

// set changes the mode.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	var open []net.Conn
	if mode == linkReset {
		for c := range p.conns {
			open = append(open, c)
		}
	}
	p.mu.Unlock()
	for _, c := range open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// waitUp waits until data may pass, and returns false if connections are to be reset.
func (p *proxy) waitUp() bool {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch mode {
		case linkUp:
			return true
		case linkReset:
			return false
		case linkHold:
			<-changed
		}
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c)
	}
}

func (p *proxy) handle(c net.Conn) {
	if !p.waitUp() {
		reset(c)
		return
	}
	out, err := net.DialTimeout("tcp4", p.target, 5*time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(out, c) })
	both.Go(func() { p.forward(c, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
	_, _ = c.Close(), out.Close()
}

func (p *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 || err != nil {
			if !p.waitUp() {
				reset(to)
				reset(from)
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			if t, ok := from.(*net.TCPConn); ok {
				_ = t.CloseRead()
			}
			return
		}
	}
}
