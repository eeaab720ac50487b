package transport

import (
	"context"
	"fmt"
	"net"
)

// Network is how a process reaches others and is reached.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the network that processes run on.
type TCP struct{}

// Listen opens an address.
func (TCP) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l, nil
}

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}
