package leader

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/storage"
	"pinebay/internal/testutil"
	"pinebay/internal/transport"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestUnconfirmedLeaderStepsDown checks that a leader replies to heartbeats while its term is confirmed, and afterwards
// gives up the term and replies to no further heartbeat, so that no lease is renewed. A term becomes unconfirmed when
// the process is suspended while its clocks continue: another controller may lead by then.
func TestUnconfirmedLeaderStepsDown(t *testing.T) {
	srv := httptest.NewServer(simulation.NewStore())
	t.Cleanup(srv.Close)
	cfg := &config.Deployment{
		Controllers: 3,
		Teams:       []config.Team{{Name: "red"}},
		Workers: config.Workers{
			HeartbeatSeconds: 1,
			LeaseSeconds:     10,
			GangWaitSeconds:  40,
			GangPeerSeconds:  4,
			CancelSeconds:    40,
		},
		Store: config.StoreLimits{
			RPS:      1e6,
			WriteRPS: 1e6,
			ValueKB:  8,
			TxnOps:   16,
		},
		Cloud: config.Cloud{RPS: 1e6, ListLagSeconds: 1e6},
		Quota: config.Quota{CoreShare: 1, RAMMB: 64, MaxSockets: 500},
	}
	addr := strings.TrimPrefix(srv.URL, "http://")
	start := time.Now()
	var unconfirmed atomic.Bool
	stepDowns := make(chan scheduler.StepDown, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := Start(ctx, Dependencies{
		Leadership: fakeLeadership{unconfirmed: &unconfirmed, stepDowns: stepDowns},
		Intents:    noIntents{},
		Observer:   noObserver{},
		Store:      storage.NewClient(transport.TCP{}, random.New(1), cfg, addr, time.Minute),
		Cloud:      NewCloudClient(transport.TCP{}, addr, cfg.Cloud),
		Workers:    transport.NewClient(transport.TCP{}, 1, 4, time.Minute),
		Random:     random.New(1),
		Log:        slog.New(slog.DiscardHandler),
		Now:        func() time.Duration { return time.Since(start) },
	}, Options{Deployment: cfg, WatchTimeout: time.Second}, scheduler.Term{Number: 3, Revision: 1})

	r := &protocol.WorkerHeartbeat{
		Machine:     "m1",
		Addr:        "127.0.0.1:1",
		Type:        "g8",
		Zone:        "a",
		Incarnation: 1,
		Sequence:    1,
	}
	if a, ok := l.Heartbeat(ctx, r, false); !ok || protocol.TermOfToken(a.FencingToken) != 3 {
		t.Fatalf("reply while the term is confirmed: %+v, %v; want a token of term 3", a, ok)
	}
	unconfirmed.Store(true)
	r.Sequence = 2
	if a, ok := l.Heartbeat(ctx, r, false); ok {
		t.Errorf("reply while the term is unconfirmed: %+v, want none", a)
	}
	if d := <-stepDowns; d.TransferLeadership || d.LaterTerm != 0 {
		t.Errorf("stepped down with %+v, want neither a transfer of leadership nor a later term", d)
	}
	l.Wait() // no goroutine of the term is left
}

// fakeLeadership is confirmed until unconfirmed is set, and sends the reasons for stepping down to a channel.
type fakeLeadership struct {
	unconfirmed *atomic.Bool
	stepDowns   chan<- scheduler.StepDown
}

func (f fakeLeadership) Confirmed() bool                    { return !f.unconfirmed.Load() }
func (f fakeLeadership) JobWatchProgress(time.Duration)     {}
func (f fakeLeadership) StepDown(reason scheduler.StepDown) { f.stepDowns <- reason }

// noIntents is a CancellationIntents without intents.
type noIntents struct{}

func (noIntents) NewestByJob(time.Duration) map[string]time.Duration { return nil }
func (noIntents) HasIntent(time.Duration, string) bool               { return false }
func (noIntents) HasIntentSince(time.Duration, string) bool          { return false }

// noObserver is an Observer that ignores all calls.
type noObserver struct{}

func (noObserver) MachineTypesRead([]protocol.MachineType) {}
func (noObserver) FeatureLevelFinal(featurelevel.Level)    {}
