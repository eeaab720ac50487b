package protocol

import "slices"

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name     string  `msgpack:"label"`
	CPUs     float64 `msgpack:"vcpus"`
	GPUs     float64 `msgpack:"accelerators"`
	MemoryGB float64 `msgpack:"memory_gb"`
	// CacheGB is the space for images.
	CacheGB          float64 `msgpack:"local_gb"`
	FetchGBPerSecond float64 `msgpack:"fetch_gb_per_s"`
	HourlyPrice      float64 `msgpack:"hourly"`
	HourlySpotPrice  float64 `msgpack:"spot_price"`
	// BootSeconds is the usual time from the rental to the first heartbeat.
	BootSeconds float64 `msgpack:"startup_s"`
	// Zones are the zones in which the type can be rented.
	Zones []string `msgpack:"parishes"`
}

// capacityTolerance makes up for rounding when the resources of tasks fill a machine exactly.
const capacityTolerance = 1e-9

// TaskCapacity returns how many tasks of the job an empty machine of this type can hold.
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

// AllowedBy reports whether the job may use this type in at least one zone.
func (t *MachineType) AllowedBy(j *Job) bool {
	if len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, t.Name) {
		return false
	}
	return j.Zone == "" || slices.Contains(t.Zones, j.Zone)
}

// MachineTypes is the cloud's list of machine types, with the current prices.
type MachineTypes struct {
	Types []MachineType `msgpack:"breeds"`
}

// Rental is a request to rent machines. The cloud answers a repeated request id with the machines of the first request,
// so an id must never be used for another request.
type Rental struct {
	RequestID   string `msgpack:"hire"`
	MachineType string `msgpack:"breed"`
	Zone        string `msgpack:"parish"`
	Spot        bool   `msgpack:"lendable"`
	Count       int    `msgpack:"how_many"`
}

// MachineNames is a list of machines: those that were rented, or those to release.
type MachineNames struct {
	Machines []string `msgpack:"rigs"`
}

// The limits of requests to the cloud.
const (
	MaxMachinesPerRental  = 50
	MaxMachinesPerRelease = 100
	MaxMachinesPerPage    = 500
)

// MachineState is the state of a machine in the cloud's list.
type MachineState string

// The states of machines.
const (
	MachineStarting MachineState = "starting"
	MachineRunning  MachineState = "running"
	MachineFailed   MachineState = "failed" // stopped by itself; listed until it is released
)

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name  string       `msgpack:"name_id"`
	Addr  string       `msgpack:"endpoint"`
	Type  string       `msgpack:"breed"`
	Zone  string       `msgpack:"parish"`
	Spot  bool         `msgpack:"lendable"`
	State MachineState `msgpack:"standing"`
	// AgeSeconds is the time from the rental to the moment that the list describes.
	AgeSeconds float64 `msgpack:"age_s"`
}

// MachineList is a page of the cloud's list, which lags behind the machines and may be older than the page before.
type MachineList struct {
	Machines []ListedMachine `msgpack:"rigs"`
	More     bool            `msgpack:"truncated"`
}
