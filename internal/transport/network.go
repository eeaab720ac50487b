package transport

import (
	"context"
	"fmt"
	"net"
)

// Network opens listeners and connections. The context of a call limits the call, not what it returns: listeners and
// connections belong to the caller, who must close them.
type Network interface {
	Listen(ctx context.Context, addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the network of the operating system.
type TCP struct{}

// Listen listens on a TCP address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return l, nil
}

// Dial connects to a TCP address. It sends no keep-alive probes: every connection carries requests with timeouts.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
