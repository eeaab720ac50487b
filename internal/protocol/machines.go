package protocol

import "slices"

// MachineType describes a type of machine that the cloud rents out.
type MachineType struct {
	Name     string  `msgpack:"label"`
	CPUs     float64 `msgpack:"vcpus"`
	GPUs     float64 `msgpack:"accelerators"`
	MemoryGB float64 `msgpack:"memory_gb"`
	// CacheGB is the disk space for images.
	CacheGB          float64 `msgpack:"local_gb"`
	FetchGBPerSecond float64 `msgpack:"fetch_gb_per_s"`
	HourlyPrice      float64 `msgpack:"hourly"`
	HourlySpotPrice  float64 `msgpack:"spot_price"`
	// BootSeconds is the typical time from the rental to the first heartbeat.
	BootSeconds float64 `msgpack:"startup_s"`
	// Zones are the zones in which the type can be rented.
	Zones []string `msgpack:"parishes"`
}

// capacityTolerance compensates for floating-point rounding when tasks use a resource of a machine up exactly.
const capacityTolerance = 1e-9

// TaskCapacity returns the number of tasks of job j that an empty machine of this type can run.
func (t *MachineType) TaskCapacity(j *Job) int {
	tasks := MaxTasks
	for _, resource := range []struct{ available, requested float64 }{
		{t.CPUs, j.CPUs},
		{t.GPUs, j.GPUs},
		{t.MemoryGB, j.MemoryGB},
	} {
		if resource.requested > 0 {
			tasks = min(tasks, int(resource.available/resource.requested+capacityTolerance))
		}
	}
	return tasks
}

// AllowedBy reports whether job j may use this type in at least one zone.
func (t *MachineType) AllowedBy(j *Job) bool {
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, t.Name) {
		return false
	}
	return j.Zone == "" || slices.Contains(t.Zones, j.Zone)
}

// MachineTypes is the cloud's list of machine types with their current prices.
type MachineTypes struct {
	Types []MachineType `msgpack:"breeds"`
}

// RentalRequest is a request to rent machines. RequestID makes it idempotent: the cloud answers a repeated ID with the
// machines of the first request, so an ID must never be reused for a different request.
type RentalRequest struct {
	RequestID   string `msgpack:"hire"`
	MachineType string `msgpack:"breed"`
	Zone        string `msgpack:"parish"`
	Spot        bool   `msgpack:"lendable"`
	Count       int    `msgpack:"how_many"`
}

// MachineNames lists the rented machines in the response to a [RentalRequest], and the machines to release in a release
// request.
type MachineNames struct {
	Machines []string `msgpack:"rigs"`
}

// Limits of requests to the cloud.
const (
	MaxMachinesPerRental  = 50
	MaxMachinesPerRelease = 100
	MaxMachinesPerPage    = 500
)

// MachineState is the state of a machine according to the cloud.
type MachineState string

// States of machines.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed" // has stopped by itself; the cloud lists it until it is released
)

// ListedMachine is an entry in the cloud's list of machines.
type ListedMachine struct {
	Name  string       `msgpack:"name_id"`
	Addr  string       `msgpack:"endpoint"`
	Type  string       `msgpack:"breed"`
	Zone  string       `msgpack:"parish"`
	Spot  bool         `msgpack:"lendable"`
	State MachineState `msgpack:"standing"`
	// AgeSeconds is the time since the rental, as of the moment whose state the list shows.
	AgeSeconds float64 `msgpack:"age_s"`
}

// MachineList is one page of the cloud's list of machines. The list lags behind the actual state of the machines, and a
// page may show an older state than the page before it.
type MachineList struct {
	Machines []ListedMachine `msgpack:"rigs"`
	More     bool            `msgpack:"truncated"`
}
