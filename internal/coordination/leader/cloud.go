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

// CloudClient is a client of the cloud that keeps to its rate.
type CloudClient struct {
	baseURL string
	client  *transport.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// NewCloudClient returns a client. A controller uses most of the whole rate, since
// only the leader calls more than now and then.
func NewCloudClient(network transport.Network, addr string, cfg config.Cloud) *CloudClient {
	return &CloudClient{
		baseURL: "http://" + addr,
		client:  transport.NewClient(network, maxConnections, maxConnections, config.Seconds(cfg.ListLagSeconds)),
		limiter: rate.NewLimiter(rate.Limit(cfg.RPS*rateShare), max(1, int(cfg.RPS))),
		timeout: 4 * scheduler.CycleInterval,
	}
}

const (
	maxConnections = 4
	rateShare      = 0.9
)

// ErrRentalRefused says that the cloud has no machine for a rental, or does not offer what it asks for.
var ErrRentalRefused = errors.New("rental refused")

var errNoMachineTypes = errors.New("cloud: no machine types")

// problemNoCapacity is how the cloud says that it has no machine for a rental.
const problemNoCapacity = "no capacity"

// CloudError is an answer of the cloud that refuses a request.
type CloudError struct {
	Path    string
	Status  int
	Problem string // as the cloud describes it
}

func (e *CloudError) Error() string {
	return fmt.Sprintf("cloud: %s: status %d %s", e.Path, e.Status, e.Problem)
}

// CallSlot is a reservation of one call within the rate.
type CallSlot struct{ at time.Time }

// Reserve reserves the next call. Calls are made in the order of their reservations.
func (c *CloudClient) Reserve() CallSlot {
	now := time.Now()
	return CallSlot{now.Add(c.limiter.ReserveN(now, 1).DelayFrom(now))}
}

// call makes a call at the time that was reserved for it, and decodes the answer into out unless that is nil.
func (c *CloudClient) call(ctx context.Context, slot CallSlot, method, path string, body, out any) error {
	if err := actor.Sleep(ctx, time.Until(slot.at)); err != nil {
		return err
	}
	status, raw, err := c.client.Do(ctx, c.timeout, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var p protocol.ErrorResponse
		_ = protocol.Decode(raw, &p) // the status says enough without it
		return &CloudError{Path: path, Status: status, Problem: p.Error}
	}
	if out == nil {
		return nil
	}
	return protocol.Decode(raw, out)
}

func (c *CloudClient) fetchMachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	if err := c.call(ctx, c.Reserve(), http.MethodGet, "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	if len(t.Types) == 0 {
		return nil, errNoMachineTypes
	}
	return t.Types, nil
}

// MachineTypes returns the machine types: from the key-value store if some controller
// has left them there, which is quick and works while the cloud does not, or
// else from the cloud.
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
		// Only a short cut for others: without it they ask the cloud.
		_, _ = store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
			If:   []protocol.Compare{{Key: storage.MachineTypesKey, Revision: p.Revision}},
			Then: []protocol.Op{{PutKey: storage.MachineTypesKey, Value: value}},
		})
	}
	return types, nil
}

// List reads the whole machine list, page by page. The reservation is for the first page.
func (c *CloudClient) List(ctx context.Context, slot CallSlot) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	from := ""
	for ; ; slot = c.Reserve() {
		path := fmt.Sprintf("/machines?limit=%d", protocol.MaxMachinesPerPage)
		if from != "" {
			path += "&from=" + from
		}
		var page protocol.MachineList
		if err := c.call(ctx, slot, http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
}

// Rent rents machines and returns their names. It returns ErrRentalRefused if the cloud has none; after any other error
// they may have been rented.
func (c *CloudClient) Rent(ctx context.Context, slot CallSlot, r protocol.Rental) ([]string, error) {
	var out protocol.MachineNames
	err := c.call(ctx, slot, http.MethodPost, "/machines", r, &out)
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

// Release returns machines to the cloud. Without an error they are released.
func (c *CloudClient) Release(ctx context.Context, slot CallSlot, names []string) error {
	return c.call(ctx, slot, http.MethodPost, "/machines/release", protocol.MachineNames{Machines: names}, nil)
}
