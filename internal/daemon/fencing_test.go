package daemon

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"pinebay/internal/random"
	"pinebay/internal/transport"
)

// TestNoFencingOnceLeaderPossible guards against releases that were decided while no controller could lead, and are
// sent after this process was suspended, for example: the machines may be in use by a leader by then.
func TestNoFencingOnceLeaderPossible(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer srv.Close()
	settings := testSettings()
	settings.Endpoints.Cloud = strings.TrimPrefix(srv.URL, "http://")
	c := New(transport.TCP{}, random.New(1), settings, Features{}, slog.New(slog.DiscardHandler))
	if c.fencing.peers.leaderless(c.now()) {
		t.Fatal("no controller can lead, although no peer has said so")
	}
	c.fencing.releaseUnreachableMachines(t.Context(), []string{"host-000001"})
	if n := received.Load(); n > 0 {
		t.Errorf("%d requests sent to the cloud, want none", n)
	}
	if messages := c.fencing.mailbox.Drain(); len(messages) > 0 {
		t.Errorf("events %v, want none", messages)
	}
}
