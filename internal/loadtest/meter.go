package loadtest

import (
	"context"
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
	LinkObserver // workers that are processes, to who judges them
	linkCount
)

var linkNames = [linkCount]string{"reports", "commands", "state", "cloud", "users", "observer"}

func (l Link) String() string { return linkNames[l] }

// Latency is a kind of answer whose time is measured.
type Latency int

// Latencies.
const (
	HeartbeatReply Latency = iota
	SubmissionReply
	QueryReply
	CancellationReply
	UrgentStart
	TaskStart
	UnblockedStart // from the end of the last job that a job awaits
	latencyCount
)

var latencyNames = [latencyCount]string{
	"report",
	"submission",
	"question",
	"cancellation",
	"urgent start",
	"start",
	"freed to started",
}

func (l Latency) String() string { return latencyNames[l] }

// maxMillis is the longest time told apart, and digits how exactly.
const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Meter counts messages and bytes on links, and collects times.
type Meter struct {
	bytes    [linkCount]atomic.Int64
	messages [linkCount]atomic.Int64

	mu             sync.Mutex
	messagesByKind map[string]int64 // messages by link and path
	times          [latencyCount]*hdrhistogram.Histogram
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	m := &Meter{messagesByKind: map[string]int64{}}
	m.ResetTimes()
	return m
}

// ResetTimes forgets the times that were collected.
func (m *Meter) ResetTimes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.times {
		m.times[i] = hdrhistogram.New(1, maxMicros, significantDigits)
	}
}

// RecordLatency notes how long an answer or a start took.
func (m *Meter) RecordLatency(l Latency, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Beyond the range is as good as at its end.
	_ = m.times[l].RecordValue(min(max(1, d.Microseconds()), maxMicros))
}

// CountMessage counts a message of a kind.
func (m *Meter) CountMessage(l Link, kind string) {
	m.messages[l].Add(1)
	m.mu.Lock()
	m.messagesByKind[l.String()+" "+kind]++
	m.mu.Unlock()
}

// Times returns what was collected since the last reset.
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

// Times is a distribution, in milliseconds.
type Times struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newTimes(h *hdrhistogram.Histogram) Times {
	const microsPerMilli = 1000
	return Times{
		Count: h.TotalCount(), P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli, Max: float64(h.Max()) / microsPerMilli,
	}
}

// messageCounts copies the messages by kind.
func (m *Meter) messageCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]int64, len(m.messagesByKind))
	for k, n := range m.messagesByKind {
		out[k] = n
	}
	return out
}

// handler counts the requests that a service answers.
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

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, bytes: l.bytes}, nil
}

// meteredConn counts the bytes that are read and written.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// meteredNetwork dials from an address of its own and counts the bytes.
type meteredNetwork struct {
	from  net.IP
	bytes *atomic.Int64
}

// Listen is not needed by those who only call.
func (n meteredNetwork) Listen(ctx context.Context, addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp4", addr)
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
