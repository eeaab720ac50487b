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
		baseURL: "http://" + addr, client: transport.NewClient(network, 4, 4, config.Seconds(cfg.ListLagSeconds)),
		limiter: rate.NewLimiter(rate.Limit(cfg.RPS*0.9), max(1, int(cfg.RPS))), timeout: 4 * scheduler.CycleInterval,
	}
}

var (
	errCloud      = errors.New("cloud")
	errNoCapacity = errors.New("no capacity")
)

// CallSlot is a call's place within the rate.
type CallSlot struct{ at time.Time }

// Reserve takes the next place. Whoever asks in a certain order calls in that order.
func (c *CloudClient) Reserve() CallSlot {
	now := time.Now()
	return CallSlot{now.Add(c.limiter.ReserveN(now, 1).DelayFrom(now))}
}

// call makes a call at its turn.
func (c *CloudClient) call(ctx context.Context, turn CallSlot, method, path string, body, out any) (int, error) {
	if err := actor.Sleep(ctx, time.Until(turn.at)); err != nil {
		return 0, err
	}
	status, raw, err := c.client.Do(ctx, c.timeout, method, c.baseURL+path, body)
	if err != nil {
		return 0, err
	}
	if status == http.StatusOK && out != nil {
		return status, protocol.Decode(raw, out)
	}
	if status != http.StatusOK {
		var p protocol.ErrorResponse
		_ = protocol.Decode(raw, &p) // the status says enough without it
		if status == http.StatusServiceUnavailable && p.Error == errNoCapacity.Error() {
			return status, errNoCapacity
		}
		return status, fmt.Errorf("%w: %s: status %d %s", errCloud, path, status, p.Error)
	}
	return status, nil
}

func (c *CloudClient) fetchMachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var t protocol.MachineTypes
	if _, err := c.call(ctx, c.Reserve(), http.MethodGet, "/machine_types", nil, &t); err != nil {
		return nil, err
	}
	if len(t.Types) == 0 {
		return nil, fmt.Errorf("%w: no machine types", errCloud)
	}
	return t.Types, nil
}

// MachineTypes returns the machine types: from the state service if some controller
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
		_, _, _ = store.Txn(ctx, storage.BudgetPlacement, protocol.Txn{
			If: []protocol.Compare{
				{Key: storage.MachineTypesKey, Revision: p.Revision},
			},
			Then: []protocol.Op{{PutKey: storage.MachineTypesKey, Value: value}},
		})
	}
	return types, nil
}

// List reads the whole machine list, page by page, the first at its turn.
func (c *CloudClient) List(ctx context.Context, turn CallSlot) ([]protocol.ListedMachine, error) {
	var all []protocol.ListedMachine
	from := ""
	for ; ; turn = c.Reserve() {
		path := fmt.Sprintf("/machines?limit=%d", protocol.MaxMachinesPerPage)
		if from != "" {
			path += "&from=" + from
		}
		var page protocol.MachineList
		if _, err := c.call(ctx, turn, http.MethodGet, path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		from = page.Machines[len(page.Machines)-1].Name
	}
}

// Rent rents machines; refused means that there are none.
func (c *CloudClient) Rent(
	ctx context.Context,
	turn CallSlot,
	r protocol.Rental,
) (names []string, refused bool, err error) {
	var out protocol.MachineNames
	status, err := c.call(ctx, turn, http.MethodPost, "/machines", r, &out)
	if errors.Is(err, errNoCapacity) || status == http.StatusBadRequest {
		return nil, true, nil
	}
	return out.Machines, false, err
}

// Release returns machines. Without an error they are gone.
func (c *CloudClient) Release(ctx context.Context, turn CallSlot, names []string) error {
	_, err := c.call(ctx, turn, http.MethodPost, "/machines/release", protocol.MachineNames{Machines: names}, nil)
	return err
}
