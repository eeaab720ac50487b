package daemon

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"pinebay/internal/config"
	"pinebay/internal/coordination/election"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/transport"
)

// TestHeartbeatAllocations limits the allocations for a heartbeat that is answered with an error or a redirect.
// Thousands of machines send their heartbeats to any controller that they know.
func TestHeartbeatAllocations(t *testing.T) {
	// The count includes the test's own request and response recorder. The race detector adds one allocation.
	const maxAllocations = 51
	raw, err := protocol.Encode(&protocol.WorkerHeartbeat{
		Machine: "host-000001", Addr: "10.1.0.1:9000", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 1,
		FencingToken: protocol.FencingToken(7, 1),
		Tasks:        []protocol.TaskStatus{{TaskName: "j-1/0", Attempt: 1, State: protocol.TaskRunning}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		name           string
		leader         string
		status         int
		maxAllocations float64
	}{
		{"no leader known", "", http.StatusServiceUnavailable, maxAllocations},
		{"redirected", "n-1", http.StatusMisdirectedRequest, maxAllocations},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := New(transport.TCP{}, random.New(1), testSettings(), Features{}, slog.New(slog.DiscardHandler))
			c.view.Store(&election.View{Leader: row.leader, Term: 6})
			routes := c.routes()
			status := 0
			allocations := testing.AllocsPerRun(200, func() {
				r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/report", bytes.NewReader(raw))
				r.Header.Set("Content-Type", protocol.ContentType)
				w := httptest.NewRecorder()
				routes.ServeHTTP(w, r)
				c.workers.redirects = newRedirectTracker(1) // so that each heartbeat is the machine's first here
				status = w.Code
			})
			t.Logf("%v allocations per heartbeat", allocations)
			if status != row.status || allocations > row.maxAllocations {
				t.Errorf(
					"status %d with %v allocations per heartbeat, want the status in the test case and at most %v",
					status,
					allocations,
					row.maxAllocations,
				)
			}
		})
	}
}

// testSettings returns the settings of one of three controllers.
func testSettings() *config.Settings {
	return &config.Settings{
		Name:  "n-0",
		Seeds: []config.Peer{{Name: "n-1", Addr: "10.0.0.2:8081"}, {Name: "n-2", Addr: "10.0.0.3:8081"}},
		Deployment: config.Deployment{
			Controllers: 3,
			Workers: config.Workers{
				HeartbeatSeconds: 1, LeaseSeconds: 10, GangWaitSeconds: 45, GangPeerSeconds: 4, CancelSeconds: 40,
			},
			Store: config.StoreLimits{RPS: 120, WriteRPS: 25, ValueKB: 8, TxnOps: 16},
			Cloud: config.Cloud{RPS: 2, ListLagSeconds: 10},
			Quota: config.Quota{CoreShare: 0.1, RAMMB: 70, MaxSockets: 500},
		},
	}
}
