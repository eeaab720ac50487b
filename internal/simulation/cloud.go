package simulation

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"pinebay/internal/protocol"
)

// Cloud is a model of the cloud service that rents out machines. All methods except ServeHTTP must be called with the
// lock held. The function fields are called with the lock held.
type Cloud struct {
	Types []protocol.MachineType
	// ListLag is the age of the data in the list of machines.
	ListLag time.Duration
	// Capacity returns the number of machines that are available for a rental.
	Capacity func(protocol.RentalRequest) int
	// BootTime returns the time between the rental of a machine and the start of its worker.
	BootTime func(name string) time.Duration
	// Address returns the address of the worker on the machine with the given number.
	Address func(number int) string
	// StartWorker is called when a machine has booted, and StopWorker when a booted machine is removed.
	StartWorker func(protocol.ListedMachine)
	StopWorker  func(name string)

	lock     sync.Locker
	now      func() time.Duration
	machines []*rentedMachine // sorted by name; includes removed machines
	byName   map[string]*rentedMachine
	requests map[string][]string // names of the machines that were rented, by request ID
	closed   bool
}

// rentedMachine is a machine that is rented or was removed.
type rentedMachine struct {
	protocol.ListedMachine
	rentedAt time.Duration
	up       bool
	gone     bool
	goneAt   time.Duration
}

// NewCloud returns a cloud without machines that is guarded by the given lock.
func NewCloud(lock sync.Locker, now func() time.Duration) *Cloud {
	return &Cloud{lock: lock, now: now, byName: map[string]*rentedMachine{}, requests: map[string][]string{}}
}

// Close prevents machines that are still booting from starting their workers.
func (c *Cloud) Close() { c.closed = true }

// Count returns the number of machines, including booting ones, in a zone, or in all zones if zone is empty.
func (c *Cloud) Count(zone string) int {
	n := 0
	for _, m := range c.byName {
		if !m.gone && (zone == "" || m.Zone == zone) {
			n++
		}
	}
	return n
}

// ServeHTTP serves the HTTP API of the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.lock.Lock()
	status, body := c.handle(r, raw)
	c.lock.Unlock()
	writeResponse(w, status, body)
}

func (c *Cloud) handle(r *http.Request, raw []byte) (int, any) {
	switch {
	case r.URL.Path == "/machine_types":
		return http.StatusOK, protocol.MachineTypes{Types: c.Types}
	case r.URL.Path == "/machines" && r.Method == http.MethodGet:
		return http.StatusOK, c.list(r.URL.Query().Get("from"), r.URL.Query().Get("limit"))
	case r.URL.Path == "/machines":
		return c.handleRental(raw)
	case r.URL.Path == "/machines/release":
		return c.handleRelease(raw)
	}
	return http.StatusNotFound, protocol.ErrorResponse{Error: "no such path"}
}

func (c *Cloud) handleRental(raw []byte) (int, any) {
	var rental protocol.RentalRequest
	if err := protocol.Decode(raw, &rental); err != nil {
		return badRequest(err)
	}
	names := c.rent(rental)
	if len(names) == 0 {
		return http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "no capacity"}
	}
	return http.StatusOK, protocol.MachineNames{Machines: names}
}

func (c *Cloud) handleRelease(raw []byte) (int, any) {
	var release protocol.MachineNames
	if err := protocol.Decode(raw, &release); err != nil {
		return badRequest(err)
	}
	for _, name := range release.Machines {
		c.Remove(name)
	}
	return http.StatusOK, protocol.MachineNames{Machines: release.Machines}
}

// list returns a page of the machines whose names sort after from, as of ListLag ago.
func (c *Cloud) list(from, limit string) (page protocol.MachineList) {
	maxMachines := protocol.MaxMachinesPerPage
	if n, err := strconv.Atoi(limit); err == nil {
		maxMachines = min(maxMachines, n)
	}
	now := c.now()
	first := sort.Search(len(c.machines), func(i int) bool { return c.machines[i].Name > from })
	for _, m := range c.machines[first:] {
		if now-m.rentedAt < c.ListLag || m.gone && now-m.goneAt > c.ListLag {
			continue
		}
		if len(page.Machines) >= maxMachines {
			page.More = true
			return page
		}
		page.Machines = append(page.Machines, m.listed(now))
	}
	return page
}

// listed returns the list entry of a machine.
func (m *rentedMachine) listed(now time.Duration) protocol.ListedMachine {
	listed := m.ListedMachine
	listed.State = protocol.MachineStarting
	if m.up || m.gone {
		listed.State = protocol.MachineRunning
	}
	listed.AgeSeconds = (now - m.rentedAt).Seconds()
	return listed
}

// rent rents machines and returns their names. It is idempotent: a repeated request gets the machines of the first one.
func (c *Cloud) rent(rental protocol.RentalRequest) []string {
	if names, ok := c.requests[rental.RequestID]; ok {
		return names
	}
	var names []string
	for range min(c.Capacity(rental), rental.Count) {
		m := c.add(rental.MachineType, rental.Zone, rental.Spot)
		names = append(names, m.Name)
		time.AfterFunc(c.BootTime(m.Name), func() {
			c.lock.Lock()
			defer c.lock.Unlock()
			c.bringUp(m)
		})
	}
	if len(names) > 0 {
		c.requests[rental.RequestID] = names
	}
	return names
}

// AddRunningMachine adds a machine without a rental. The machine is running and listed immediately.
func (c *Cloud) AddRunningMachine(machineType, zone string, spot bool) {
	m := c.add(machineType, zone, spot)
	m.rentedAt -= c.ListLag
	c.bringUp(m)
}

func (c *Cloud) add(machineType, zone string, spot bool) *rentedMachine {
	number := len(c.machines) + 1
	m := &rentedMachine{
		rentedAt: c.now(),
		ListedMachine: protocol.ListedMachine{
			Name: fmt.Sprintf("host-%06d", number),
			Addr: c.Address(number),
			Type: machineType,
			Zone: zone,
			Spot: spot,
		},
	}
	c.machines = append(c.machines, m)
	c.byName[m.Name] = m
	return m
}

func (c *Cloud) bringUp(m *rentedMachine) {
	if m.gone || c.closed {
		return
	}
	m.up = true
	c.StartWorker(m.ListedMachine)
}

// Remove removes a machine. It does nothing if the machine does not exist or was removed before.
func (c *Cloud) Remove(name string) {
	m := c.byName[name]
	if m == nil || m.gone {
		return
	}
	m.gone, m.goneAt = true, c.now()
	if m.up {
		c.StopWorker(name)
	}
}
