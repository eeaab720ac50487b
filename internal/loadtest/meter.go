package loadtest

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Link is a kind of connection.
type Link int

// Links.
const (
	LinkHeartbeats Link = iota // workers to controllers
	LinkCommands               // controllers to workers
	LinkState
	LinkCloud
	LinkUsers
	LinkObserver // workers that are processes, to the model that checks them
	linkCount
)

// linkNames stand in kept results.
var linkNames = [linkCount]string{"reports", "commands", "state", "cloud", "users", "observer"}

// String returns the name in results.
func (l Link) String() string { return linkNames[l] }

// Latency is something whose duration is measured.
type Latency int

// Latencies.
const (
	HeartbeatReply Latency = iota
	SubmissionReply
	QueryReply
	CancellationReply
	UrgentStart
	TaskStart
	UnblockedStart // since the end of a job's last dependency
	latencyCount
)

// latencyNames stand in kept results.
var latencyNames = [latencyCount]string{
	"report",
	"submission",
	"question",
	"cancellation",
	"urgent start",
	"start",
	"freed to started",
}

// String returns the name in results.
func (l Latency) String() string { return latencyNames[l] }

// The resolution of latencies: longer ones count as the longest.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Meter counts messages and bytes on links, and collects latencies. It is safe for concurrent use.
type Meter struct {
	bytes    [linkCount]atomic.Int64
	messages [linkCount]atomic.Int64

	mu             sync.Mutex
	messagesByKind map[string]int64 // by link and path
	times          [latencyCount]*hdrhistogram.Histogram
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter {
	m := &Meter{messagesByKind: map[string]int64{}}
	m.ResetTimes()
	return m
}

// ResetTimes drops the latencies that were collected. Counters are kept.
func (m *Meter) ResetTimes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.times {
		m.times[i] = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
}

// RecordLatency adds a duration to a latency's distribution.
func (m *Meter) RecordLatency(l Latency, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.times[l].RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros)) // within the range
}

// CountMessage counts a message of a kind on a link.
func (m *Meter) CountMessage(l Link, kind string) {
	m.messages[l].Add(1)
	m.mu.Lock()
	m.messagesByKind[l.String()+" "+kind]++
	m.mu.Unlock()
}

// Times returns the distributions since the last reset, by the names of the latencies.
func (m *Meter) Times() map[string]Times {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Times{}
	for i, h := range m.times {
		if h.TotalCount() > 0 {
			out[Latency(i).String()] = newTimes(h)
		}
	}
	return out
}

// Times is the distribution of a latency, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newTimes(h *hdrhistogram.Histogram) Times {
	return Times{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99:   float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// messageCounts copies the messages by kind.
func (m *Meter) messageCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.messagesByKind)
}

// handler counts the requests of a service on a link.
func (m *Meter) handler(l Link, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.CountMessage(l, requestKind(r))
		next.ServeHTTP(w, r)
	})
}

// requestKind names a request by its method and the first part of its path.
func requestKind(r *http.Request) string {
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if strings.HasSuffix(rest, "extend") {
		first += "/extend"
	}
	return r.Method + " /" + first
}

// meteredListener counts the bytes on the connections that it accepts.
type meteredListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: l.bytes}, nil
}

// meteredConn counts the bytes that it reads and writes.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// meteredNetwork dials from an IP address of its own and counts the bytes. It implements
// transport.Network.
type meteredNetwork struct {
	from  net.IP
	bytes *atomic.Int64
}

// Listen is not supported: users and workers only call.
func (n meteredNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.ErrUnsupported
}

// Dial connects to an address.
func (n meteredNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: n.from}, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: n.bytes}, nil
}
