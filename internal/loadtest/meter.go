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

// Link is a group of connections whose messages and bytes are counted together.
type Link int

// Links between the parts of a load test.
const (
	LinkHeartbeats Link = iota // from workers to controllers
	LinkCommands               // from controllers to workers
	LinkState
	LinkCloud
	LinkUsers
	LinkObserver // from worker processes to the model that checks their tasks
	linkCount
)

// linkNames are the names of the links in results. They must not change, so that kept results remain comparable.
var linkNames = [linkCount]string{"reports", "commands", "state", "cloud", "users", "observer"}

// String returns the name of the link in results.
func (l Link) String() string { return linkNames[l] }

// LatencyKind is a kind of operation whose latency is measured.
type LatencyKind int

// Kinds of operations whose latency is measured.
const (
	HeartbeatReply LatencyKind = iota
	SubmissionReply
	QueryReply
	CancellationReply
	UrgentStart
	TaskStart
	UnblockedStart // from the end of a job's last dependency to its first task start
	latencyCount
)

// latencyNames are the names of the latencies in results. They must not change, so that kept results remain comparable.
var latencyNames = [latencyCount]string{
	"report",
	"submission",
	"question",
	"cancellation",
	"urgent start",
	"start",
	"freed to started",
}

// String returns the name of the latency in results.
func (l LatencyKind) String() string { return latencyNames[l] }

// Range and precision of the latency histograms. Longer latencies are recorded as maxLatencyMicros.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Meter counts messages and bytes on links, and records latencies. It is safe for concurrent use.
type Meter struct {
	bytes    [linkCount]atomic.Int64
	messages [linkCount]atomic.Int64

	mu             sync.Mutex
	messagesByKind map[string]int64 // by link and kind, such as "cloud GET /machines"
	histograms     [latencyCount]*hdrhistogram.Histogram
}

// NewMeter returns a meter without any counts or latencies.
func NewMeter() *Meter {
	m := &Meter{messagesByKind: map[string]int64{}}
	m.ResetLatencies()
	return m
}

// ResetLatencies discards the recorded latencies. It does not reset the counters.
func (m *Meter) ResetLatencies() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.histograms {
		m.histograms[i] = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
}

// RecordLatency records a duration as a latency of the given kind.
func (m *Meter) RecordLatency(l LatencyKind, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// RecordValue fails only for a value outside the histogram's range.
	_ = m.histograms[l].RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

// CountMessage counts a message of the given kind on a link.
func (m *Meter) CountMessage(l Link, kind string) {
	m.messages[l].Add(1)
	m.mu.Lock()
	m.messagesByKind[l.String()+" "+kind]++
	m.mu.Unlock()
}

// Latencies returns summaries of the latencies since the last reset, by name.
func (m *Meter) Latencies() map[string]LatencySummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]LatencySummary{}
	for i, h := range m.histograms {
		if h.TotalCount() > 0 {
			out[LatencyKind(i).String()] = newLatencySummary(h)
		}
	}
	return out
}

// LatencySummary summarizes the distribution of a latency. Its durations are in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newLatencySummary(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99:   float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// messageCounts returns a copy of the message counts by kind.
func (m *Meter) messageCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.messagesByKind)
}

// handler returns a handler that counts each request as a message on a link and passes it on to next.
func (m *Meter) handler(l Link, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.CountMessage(l, requestKind(r))
		next.ServeHTTP(w, r)
	})
}

// requestKind returns the kind of a request: its method and the first segment of its path. Requests that extend a lease
// are a kind of their own.
func requestKind(r *http.Request) string {
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if strings.HasSuffix(rest, "extend") {
		first += "/extend"
	}
	return r.Method + " /" + first
}

// meteredListener is a listener that counts the bytes on the connections that it accepts.
type meteredListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: l.bytes}, nil
}

// meteredConn is a connection that counts the bytes that it reads and writes.
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

// meteredNetwork implements transport.Network for clients. It dials from the given IP address and counts the bytes on
// its connections.
type meteredNetwork struct {
	from  net.IP
	bytes *atomic.Int64
}

// Listen is not supported: users and workers use the network for outgoing connections only.
func (n meteredNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, errors.ErrUnsupported
}

// Dial connects to addr from the IP address of n.
func (n meteredNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: n.from}, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: n.bytes}, nil
}
