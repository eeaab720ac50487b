package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"pinebay/internal/actor"
	"pinebay/internal/config"
	"pinebay/internal/coordination/scheduler"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
	"pinebay/internal/transport"
)

// CloudClient is a client of the cloud API that observes its rate limit.
type CloudClient struct {
	baseURL string
	client  *transport.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// NewCloudClient returns a client of the cloud API at an address. Each controller may use most of the cloud's whole
// rate limit, since only the leader calls the API frequently.
func NewCloudClient(network transport.Network, addr string, cfg config.Cloud) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		client:  transport.NewClient(network, maxConnections, maxConnections, config.Seconds(cfg.ListLagSeconds)),
		limiter: rate.NewLimiter(rate.Limit(cfg.RPS*rateShare), max(1, int(cfg.RPS))),
		timeout: 4 * scheduler.CycleInterval,
	}
}

const (
	// maxConnections limits the connections to the cloud API.
	maxConnections = 4
	// rateShare is the fraction of the cloud's rate limit that a controller uses.
	rateShare = 0.9
)

// ErrRentalRefused indicates that the cloud has no machine available for a rental, or does not offer what it requests.
var ErrRentalRefused = errors.New("rental refused")

var errNoMachineTypes = errors.New("cloud: no machine types")

// problemNoCapacity is the error text of the cloud's response if it has no machine available for a rental.
const problemNoCapacity = "no capacity"

// CloudError reports a request that the cloud answered with an error status.
type CloudError struct {
	Path    string
	Status  int
	Problem string // error text of the cloud's response
}

func (e *CloudError) Error() string {
	return fmt.Sprintf("cloud: %s: status %d %s", e.Path, e.Status, e.Problem)
}

// CallSlot is a reservation of one call within the rate limit.
type CallSlot struct{ at time.Time }

// Reserve reserves the next call. Calls are sent in the order of their reservations.
func (c *CloudClient) Reserve() CallSlot {
	now := time.Now()
	return CallSlot{now.Add(c.limiter.ReserveN(now, 1).DelayFrom(now))}
}

// cloudCall is a request to the cloud.
type cloudCall struct {
	method, path string
	body         any          // nil means none
	precondition func() error // see transport.Request
}

// call sends a request at its reserved time, and decodes the response into out unless out is nil.
func (c *CloudClient) call(ctx context.Context, slot CallSlot, call cloudCall, out any) error {
	if err := actor.Sleep(ctx, time.Until(slot.at)); err != nil {
		return err
	}
	response, err := c.client.Send(ctx, transport.Request{
		Method:       call.method,
		URL:          c.baseURL + call.path,
		Timeout:      c.timeout,
		Body:         call.body,
		Precondition: call.precondition,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		var p protocol.ErrorResponse
		_ = protocol.Decode(response.Body, &p) // the status is sufficient if the body cannot be decoded
		return &CloudError{Path: call.path, Status: response.Status, Problem: p.Error}
	}
	if out == nil {
		return nil
	}
	return protocol.Decode(response.Body, out)
}

func (c *CloudClient) fetchMachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	if err := c.call(ctx, c.Reserve(), cloudCall{method: http.MethodGet, path: "/machine_types"}, &t); err != nil {
		return nil, err
	}
	if len(t.Types) == 0 {
		return nil, errNoMachineTypes
	}
	return t.Types, nil
}

// MachineTypes returns the machine types. It prefers the copy that a controller has stored in the key-value store,
// which is faster to read and available during an outage of the cloud, and reads them from the cloud if there is none.
func (c *CloudClient) MachineTypes(ctx context.Context, store *storage.Client) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	p, err := store.Get(ctx, storage.BudgetPlacement, storage.MachineTypesKey)
	if err == nil && p.Revision != 0 && protocol.Decode(p.Value, &t) == nil && len(t.Types) > 0 {
		return t.Types, nil
	}
	types, err := c.fetchMachineTypes(ctx)
	if err != nil {
		return nil, err
	}
	if value, err := protocol.Encode(protocol.MachineTypes{Types: types}); err == nil {
		// This is only a cache for other controllers: without it they query the cloud.
		_, _ = store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
			If:   []protocol.Compare{{Key: storage.MachineTypesKey, Revision: p.Revision}},
			Then: []protocol.Op{{PutKey: storage.MachineTypesKey, Value: value}},
		})
	}
	return types, nil
}

// List reads the complete list of machines, page by page. The reservation is for the first page.
func (c *CloudClient) List(ctx context.Context, slot CallSlot) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	from := ""
	for ; ; slot = c.Reserve() {
		path := fmt.Sprintf("/machines?limit=%d", protocol.MaxMachinesPerPage)
		if from != "" {
			path += "&from=" + from
		}
		var page protocol.MachineList
		if err := c.call(ctx, slot, cloudCall{method: http.MethodGet, path: path}, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
}

// Rent rents machines and returns their names. It returns ErrRentalRefused if the cloud refuses the rental. After any
// other error the machines may have been rented, unless the error matches transport.ErrNotSent. The precondition is
// that of transport.Request.
func (c *CloudClient) Rent(
	ctx context.Context,
	slot CallSlot,
	r protocol.RentalRequest,
	precondition func() error,
) ([]string, error) {
	var out protocol.MachineNames
	call := cloudCall{method: http.MethodPost, path: "/machines", body: r, precondition: precondition}
	err := c.call(ctx, slot, call, &out)
	var refusal *CloudError
	if errors.As(err, &refusal) && refusal.refusesRental() {
		return nil, fmt.Errorf("%w: %w", ErrRentalRefused, err)
	}
	return out.Machines, err
}

func (e *CloudError) refusesRental() bool {
	return e.Status == http.StatusBadRequest ||
		e.Status == http.StatusServiceUnavailable && e.Problem == problemNoCapacity
}

// Release returns machines to the cloud. If it returns no error, they have been released. The precondition is that of
// transport.Request.
func (c *CloudClient) Release(ctx context.Context, slot CallSlot, names []string, precondition func() error) error {
	return c.call(ctx, slot, cloudCall{
		method:       http.MethodPost,
		path:         "/machines/release",
		body:         protocol.MachineNames{Machines: names},
		precondition: precondition,
	}, nil)
}
