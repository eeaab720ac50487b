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

// Cloud rents out machines. All its functions are called with its lock held.
type Cloud struct {
	Types []protocol.MachineType
	// ListLag is by how much its list is late.
	ListLag time.Duration
	// Capacity is how many machines a rental gets.
	Capacity func(protocol.Rental) int
	// BootTime is how long a machine takes to come up.
	BootTime func(name string) time.Duration
	// Address is where the worker of the machine with that number listens.
	Address func(number int) string
	// StartWorker brings up a machine's worker, and Down ends it.
	StartWorker func(protocol.ListedMachine)
	StopWorker  func(name string)

	lock     sync.Locker
	now      func() time.Duration
	machines []*rentedMachine // in the order of their names
	byName   map[string]*rentedMachine
	requests map[string][]string // names by request
	closed   bool
}

// rentedMachine is a machine that was rented at some time.
type rentedMachine struct {
	protocol.ListedMachine
	rentedAt time.Duration
	up       bool
	gone     bool
	goneAt   time.Duration
}

// NewCloud returns a cloud without machines, guarded by the given lock.
func NewCloud(lock sync.Locker, now func() time.Duration) *Cloud {
	return &Cloud{lock: lock, now: now, byName: map[string]*rentedMachine{}, requests: map[string][]string{}}
}

// Close brings up no further machine.
func (c *Cloud) Close() { c.closed = true }

// Count returns the machines that are there, of one zone or of all.
func (c *Cloud) Count(zone string) int {
	n := 0
	for _, m := range c.byName {
		if !m.gone && (zone == "" || m.Zone == zone) {
			n++
		}
	}
	return n
}

// ServeHTTP speaks the cloud's protocol.
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
		var q protocol.Rental
		if err := protocol.Decode(raw, &q); err != nil {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}
		}
		names := c.rent(q)
		if len(names) == 0 {
			return http.StatusServiceUnavailable, protocol.ErrorResponse{Error: "no capacity"}
		}
		return http.StatusOK, protocol.MachineNames{Machines: names}
	case r.URL.Path == "/machines/release":
		var q protocol.MachineNames
		if err := protocol.Decode(raw, &q); err != nil {
			return http.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}
		}
		for _, name := range q.Machines {
			c.Remove(name)
		}
		return http.StatusOK, protocol.MachineNames{Machines: q.Machines}
	}
	return http.StatusNotFound, protocol.ErrorResponse{Error: "no such path"}
}

// list returns a page of the list as it was Lag ago.
func (c *Cloud) list(from, limit string) (page protocol.MachineList) {
	most := protocol.MaxMachinesPerPage
	if n, err := strconv.Atoi(limit); err == nil {
		most = min(most, n)
	}
	now := c.now()
	first := sort.Search(len(c.machines), func(i int) bool { return c.machines[i].Name > from })
	for _, m := range c.machines[first:] {
		if now-m.rentedAt < c.ListLag || m.gone && now-m.goneAt > c.ListLag {
			continue
		}
		if len(page.Machines) >= most {
			page.More = true
			return page
		}
		listed := m.ListedMachine
		listed.State = protocol.MachineStarting
		if m.up || m.gone {
			listed.State = protocol.MachineRunning
		}
		listed.AgeSeconds = (now - m.rentedAt).Seconds()
		page.Machines = append(page.Machines, listed)
	}
	return page
}

// rent carries out a rental once, however often it is asked for.
func (c *Cloud) rent(q protocol.Rental) []string {
	if names, ok := c.requests[q.RequestID]; ok {
		return names
	}
	var names []string
	for range min(c.Capacity(q), q.Count) {
		m := c.add(q.MachineType, q.Zone, q.Spot)
		names = append(names, m.Name)
		time.AfterFunc(c.BootTime(m.Name), func() {
			c.lock.Lock()
			defer c.lock.Unlock()
			c.bringUp(m)
		})
	}
	if len(names) > 0 {
		c.requests[q.RequestID] = names
	}
	return names
}

// Start brings up a machine that was there before anybody rented one.
func (c *Cloud) Start(kind, zone string, spot bool) {
	m := c.add(kind, zone, spot)
	m.rentedAt -= c.ListLag // it is listed already
	c.bringUp(m)
}

func (c *Cloud) add(kind, zone string, spot bool) *rentedMachine {
	number := len(c.machines) + 1
	m := &rentedMachine{rentedAt: c.now(), ListedMachine: protocol.ListedMachine{
		Name: fmt.Sprintf("host-%06d", number), Addr: c.Address(number), Type: kind, Zone: zone, Spot: spot,
	}}
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

// Remove takes a machine away.
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

// writeResponse sends a message as a response.
func writeResponse(w http.ResponseWriter, status int, body any) {
	raw, err := protocol.Encode(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a client that is gone asks again
}
