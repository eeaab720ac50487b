package protocol

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name             string   `msgpack:"label"`
	CPUs             float64  `msgpack:"vcpus"`
	GPUs             float64  `msgpack:"accelerators"`
	MemoryGB         float64  `msgpack:"memory_gb"`
	CacheGB          float64  `msgpack:"local_gb"`
	FetchGBPerSecond float64  `msgpack:"fetch_gb_per_s"`
	HourlyPrice      float64  `msgpack:"hourly"`
	HourlySpotPrice  float64  `msgpack:"spot_price"`
	BootSeconds      float64  `msgpack:"startup_s"`
	Zones            []string `msgpack:"parishes"`
}

// TaskCapacity returns how many tasks of the job a machine of this type can hold.
func (t *MachineType) TaskCapacity(j *Job) int {
	n := MaxTasks
	for _, r := range [][2]float64{{t.CPUs, j.CPUs}, {t.GPUs, j.GPUs}, {t.MemoryGB, j.MemoryGB}} {
		if r[1] > 0 {
			n = min(n, int(r[0]/r[1]+1e-9))
		}
	}
	return n
}

// AllowedBy says whether the job allows this type, in at least one zone.
func (t *MachineType) AllowedBy(j *Job) bool {
	if len(j.MachineTypes) > 0 && !contains(j.MachineTypes, t.Name) {
		return false
	}
	return j.Zone == "" || contains(t.Zones, j.Zone)
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// MachineTypes is the cloud's price list.
type MachineTypes struct {
	Types []MachineType `msgpack:"breeds"`
}

// Rental asks for machines. Its name must never be used for another request.
type Rental struct {
	RequestID   string `msgpack:"hire"`
	MachineType string `msgpack:"breed"`
	Zone        string `msgpack:"parish"`
	Spot        bool   `msgpack:"lendable"`
	Count       int    `msgpack:"how_many"`
}

// MachineNames lists machines by name: those rented, or those to return.
type MachineNames struct {
	Machines []string `msgpack:"rigs"`
}

// Limits of the cloud's requests.
const (
	MaxMachinesPerRental  = 50
	MaxMachinesPerRelease = 100
	MaxMachinesPerPage    = 500
)

// Standings of machines in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is a machine as the cloud lists it.
type ListedMachine struct {
	Name       string  `msgpack:"name_id"`
	Addr       string  `msgpack:"endpoint"`
	Type       string  `msgpack:"breed"`
	Zone       string  `msgpack:"parish"`
	Spot       bool    `msgpack:"lendable"`
	State      string  `msgpack:"standing"`
	AgeSeconds float64 `msgpack:"age_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"rigs"`
	More     bool            `msgpack:"truncated"`
}
