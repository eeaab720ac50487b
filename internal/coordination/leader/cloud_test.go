package leader

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pinebay/internal/config"
	"pinebay/internal/protocol"
	"pinebay/internal/simulation"
	"pinebay/internal/transport"
)

// TestListOfManyMachines: the list of thousands of machines is read page by page, whole, in order and
// without a call more than it has pages.
func TestListOfManyMachines(t *testing.T) {
	const machines = 4000
	var mu sync.Mutex
	var calls atomic.Int64
	start := time.Now()
	model := simulation.NewCloud(&mu, func() time.Duration { return time.Since(start) })
	model.Address = func(number int) string { return fmt.Sprintf("10.1.%d.%d:9000", number/250, number%250) }
	model.StartWorker, model.StopWorker = func(protocol.ListedMachine) {}, func(string) {}
	for range machines {
		model.Start("g8", "a", false)
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
		t.Fatalf("%d of %d machines: %v", len(list), machines, err)
	}
	for i := range list[1:] {
		if list[i].Name >= list[i+1].Name {
			t.Fatalf("%s before %s", list[i].Name, list[i+1].Name)
		}
	}
	if n := calls.Load(); n > machines/protocol.MaxMachinesPerPage+1 {
		t.Errorf("%d calls", n)
	}
}
