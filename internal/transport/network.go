package transport

import (
	"context"
	"fmt"
	"net"
)

// Network opens listeners and connections. The context of a call applies only to the call itself: the caller owns the
// listener or connection that it returns, and must close it.
type Network interface {
	Listen(ctx context.Context, addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the operating system's TCP network.
type TCP struct{}

// Listen returns a listener on a TCP address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l, nil
}

// Dial connects to a TCP address. It disables keep-alive probes, because every request on the connection has a timeout.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
