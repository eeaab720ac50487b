package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/autoscaler"
	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

// TestListOfManyMachines checks that a list of thousands of machines is read page by page, completely, in order, and
// with no more calls than it has pages.
func TestListOfManyMachines(t *testing.T) {
	const machines = 4000
	var mu sync.Mutex
	var calls atomic.Int64
	start := time.Now()
	model := simulation.NewCloud(&mu, func() time.Duration { return time.Since(start) })
	model.Address = func(number int) string { return fmt.Sprintf("10.1.%d.%d:9000", number/250, number%250) }
	model.StartWorker, model.StopWorker = func(protocol.ListedMachine) {}, func(string) {}
	for range machines {
		model.AddRunningMachine("g8", "a", false)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		model.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c := NewCloudClient(
		transport.TCP{},
		strings.TrimPrefix(srv.URL, "http://"),
		config.Cloud{RPS: 1e6, ListLagSeconds: 10},
	)
	list, err := c.List(t.Context(), c.Reserve())
	if err != nil || len(list) != machines {
		t.Fatalf("listed %d of %d machines: %v", len(list), machines, err)
	}
	for i := range list[1:] {
		if list[i].Name >= list[i+1].Name {
			t.Fatalf("%s is listed before %s", list[i].Name, list[i+1].Name)
		}
	}
	if n := calls.Load(); n > machines/protocol.MaxMachinesPerPage+1 {
		t.Errorf("got %d calls, want at most one per page", n)
	}
}

// TestRentalRefusals checks that a rental that the cloud refuses is distinguished from one whose outcome is unknown.
func TestRentalRefusals(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		body    any
		refused bool
		failed  bool
	}{
		{"rented", http.StatusOK, protocol.MachineNames{Machines: []string{"host-000001"}}, false, false},
		{"no capacity", http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "no capacity"}, true, true},
		{"not offered", http.StatusBadRequest, protocol.ErrorResponse{Error: "no such type"}, true, true},
		{"out of order", http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "maintenance"}, false, true},
		{"over the rate", http.StatusTooManyRequests, protocol.ErrorResponse{}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				transport.WriteResponse(w, test.status, test.body)
			}))
			defer srv.Close()
			addr := strings.TrimPrefix(srv.URL, "http://")
			c := NewCloudClient(transport.TCP{}, addr, config.Cloud{RPS: 1e6, ListLagSeconds: 10})
			names, err := c.Rent(t.Context(), c.Reserve(), protocol.RentalRequest{}, nil)
			if errors.Is(err, ErrRentalRefused) != test.refused || (err != nil) != test.failed ||
				test.failed == (len(names) > 0) {
				t.Errorf("machines %v, error %v", names, err)
			}
			var got *CloudError
			if test.failed && (!errors.As(err, &got) || got.Status != test.status || got.Path != "/machines") {
				t.Errorf("%v does not describe the cloud's response", err)
			}
		})
	}
}

// countedLeadership is a Leadership that sends to a channel whenever it is asked whether it is confirmed.
type countedLeadership struct {
	fakeLeadership
	asked chan<- struct{}
}

func (c countedLeadership) Confirmed() bool {
	confirmed := c.fakeLeadership.Confirmed()
	select {
	case c.asked <- struct{}{}:
	default:
	}
	return confirmed
}

// TestUnconfirmedLeaderChangesNoMachines guards against releases and rentals that were decided before the leader was
// suspended or replaced, and are sent when their turn within the rate limit comes: another leader may use the machines.
func TestUnconfirmedLeaderChangesNoMachines(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		for name, send := range map[string]func(l *Leader, ctx context.Context){
			"release": func(l *Leader, ctx context.Context) {
				l.releaseMachines(ctx, autoscaler.ScaleIn{Machines: []string{"m1"}}, l.deps.Cloud.Reserve())
			},
			"rental": func(l *Leader, ctx context.Context) {
				l.rentMachines(ctx, autoscaler.ScaleOut{}, l.deps.Cloud.Reserve())
			},
		} {
			t.Run(fmt.Sprintf("%s, confirmed: %v", name, confirmed), func(t *testing.T) {
				var received atomic.Int64
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					received.Add(1)
					transport.WriteResponse(w, http.StatusOK, protocol.MachineNames{})
				}))
				defer srv.Close()
				var unconfirmed atomic.Bool
				unconfirmed.Store(!confirmed)
				asked := make(chan struct{}, 1)
				addr := strings.TrimPrefix(srv.URL, "http://")
				l := &Leader{
					deps: Dependencies{
						Leadership: countedLeadership{fakeLeadership{unconfirmed: &unconfirmed}, asked},
						Cloud:      NewCloudClient(transport.TCP{}, addr, config.Cloud{RPS: 1e6, ListLagSeconds: 10}),
						Random:     random.New(1),
						Now:        func() time.Duration { return 0 },
					},
					log:     slog.New(slog.DiscardHandler),
					mailbox: actor.NewMailbox[any](),
				}
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					send(l, ctx)
				}()
				select {
				case <-asked:
				case <-ended:
				}
				if !confirmed {
					cancel()
				}
				<-ended
				cancel()
				if got := received.Load() > 0; got != confirmed {
					t.Errorf("request sent: %v, want %v", got, confirmed)
				}
			})
		}
	}
}
