package leader

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// gatedNetwork is TCP on which a connection attempt announces itself and then waits until it may proceed.
type gatedNetwork struct {
	transport.TCP
	dialing, proceed chan struct{}
}

func (n gatedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.dialing <- struct{}{}
	<-n.proceed
	return n.TCP.Dial(ctx, addr)
}

// intentOf has an intent for one job, which arrived at the given time.
type intentOf struct {
	noIntents
	job string
	at  *atomic.Int64
}

func (i intentOf) HasIntentSince(since time.Duration, job string) bool {
	return job == i.job && time.Duration(i.at.Load()) >= since
}

// batchInFlight is a leader with a command batch that waits for a connection to the machine m1.
type batchInFlight struct {
	*Leader
	network     gatedNetwork
	unconfirmed atomic.Bool
	intentAt    atomic.Int64 // arrival of the intent to cancel the job, on the leader's clock
}

const (
	testIntentValidity = time.Minute
	testNow            = 2 * testIntentValidity
)

func newBatchInFlight(t *testing.T, addr string) *batchInFlight {
	t.Helper()
	b := &batchInFlight{network: gatedNetwork{dialing: make(chan struct{}), proceed: make(chan struct{})}}
	b.intentAt.Store(-int64(time.Hour))
	ctx, cancel := context.WithCancel(t.Context())
	b.Leader = &Leader{
		deps: Dependencies{
			Leadership: fakeLeadership{unconfirmed: &b.unconfirmed},
			Intents:    intentOf{job: "j-1", at: &b.intentAt},
			Workers:    transport.NewClient(b.network, 1, 1, time.Minute),
			Now:        func() time.Duration { return testNow },
		},
		options: Options{
			Deployment:     &config.Deployment{Workers: config.Workers{HeartbeatSeconds: 40, GangPeerSeconds: 40}},
			IntentValidity: testIntentValidity,
		},
		log:     slog.New(slog.DiscardHandler),
		mailbox: actor.NewMailbox[any](),
		batches: map[string]*commandBatch{},
		cancel:  cancel,
	}
	start := protocol.Command{Verb: protocol.VerbRun, TaskName: "j-1/0", Attempt: 1}
	b.startCommandBatch(ctx, scheduler.SendCommandBatch{
		Machine: "m1",
		Addr:    addr,
		Batch:   protocol.CommandBatch{FencingToken: 1, Commands: []protocol.Command{start}},
	})
	<-b.network.dialing
	return b
}

// TestOutdatedBatchIsNotSent guards against command batches that wait for a connection to their machine and are sent
// although they are outdated by then: the leader has been suspended or replaced, a placement was stopped, or a job was
// cancelled while the main loop is busy.
func TestOutdatedBatchIsNotSent(t *testing.T) {
	for _, test := range []struct {
		name      string
		meanwhile func(b *batchInFlight)
		sent      bool
	}{
		{"still valid", func(*batchInFlight) {}, true},
		{"replaced", func(b *batchInFlight) { b.Stop() }, false},
		{"suspended", func(b *batchInFlight) { b.unconfirmed.Store(true) }, false},
		{"revoked", func(b *batchInFlight) { b.revokeCommandBatch("m1") }, false},
		{"batch of another machine revoked", func(b *batchInFlight) { b.revokeCommandBatch("m2") }, true},
		{"cancelled", func(b *batchInFlight) { b.intentAt.Store(int64(testNow)) }, false},
		{"intent has expired", func(b *batchInFlight) { b.intentAt.Store(int64(testIntentValidity / 2)) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var received atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
			defer srv.Close()
			b := newBatchInFlight(t, strings.TrimPrefix(srv.URL, "http://"))
			test.meanwhile(b)
			close(b.network.proceed)
			b.goroutines.Wait()
			if got := received.Load() == 1; got != test.sent {
				t.Errorf("batch sent: %v, want %v", got, test.sent)
			}
			results := b.mailbox.Drain()
			if len(results) != 1 {
				t.Fatalf("results %v, want one", results)
			}
			if result, ok := results[0].(scheduler.CommandBatchResult); !ok || result.Machine != "m1" {
				t.Errorf("result %+v, want one for m1", results[0])
			}
		})
	}
}
