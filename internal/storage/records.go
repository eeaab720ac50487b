package storage

import (
	"fmt"

	"pinebay/internal/protocol"
)

// Keys and key prefixes of the records. The keys of feature levels, ownership and zone failover are defined next to
// their record types.
const (
	LeaderKey       = "leader"
	TermKey         = "term"
	MachineTypesKey = "types"
	LiveJobPrefix   = "live/"
	EndedJobPrefix  = "ended/"
	PlacementPrefix = "place/"
	ImageHintPrefix = "warm/"
)

// LiveJobKey returns the key of the record of an accepted job, which exists until the job ends.
func LiveJobKey(id string) string { return LiveJobPrefix + id }

// EndedJobKey returns the key of the final state of a job.
func EndedJobKey(id string) string { return EndedJobPrefix + id }

// LeaderRecord names the leader. Its key is attached to the leader's lease.
type LeaderRecord struct {
	Controller string `msgpack:"node"`
	Term       uint64 `msgpack:"term"`
}

// LiveJobRecord is an accepted job.
type LiveJobRecord struct {
	Job          protocol.Job `msgpack:"job"`
	AcceptedAtMS int64        `msgpack:"at"`
}

// EndedJobRecord is the final state of a job.
type EndedJobRecord struct {
	State     protocol.JobState `msgpack:"end"`
	DoneTasks int               `msgpack:"done"`
	// WriteName is the name of the transaction that wrote the record, by which its writer recognizes it.
	WriteName string `msgpack:"w,omitempty"`
	// CancelledDependency is the dependency whose cancellation caused this job to be cancelled. No task of such a job
	// was ever placed.
	CancelledDependency string `msgpack:"need,omitempty"`
}

// ImageHintRecord lists the images that machines have cached, so that tasks placed by a new leader don't fetch an image
// that another machine already has. Correctness does not depend on it.
type ImageHintRecord struct {
	Images   []string        `msgpack:"i"`
	SizesGB  []float64       `msgpack:"s"`
	Machines []MachineImages `msgpack:"m"`
	// Arrivals are the decayed counts of arrived jobs by class. Only the first record has them.
	Arrivals []ClassArrivals `msgpack:"a,omitempty"`
}

// ClassArrivals is the decayed count of arrived jobs of a class. It is encoded as an array.
type ClassArrivals struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack  struct{} `msgpack:",as_array"`
	Class     string
	Jobs      float64
	MeanTasks float64 // per job
}

// MachineImages lists the images that a machine has cached, as indices into Images of the record. It is encoded as an
// array.
type MachineImages struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Images   []int
}

// MachinesPerImageHint returns the number of machines that one record covers. A machine takes up to twice the space of
// a placement.
func MachinesPerImageHint(valueKB float64) int { return max(1, OriginalTasksPerPage(valueKB)/2) }

// ImageHintKey returns the key of an image hint record.
func ImageHintKey(page int) string { return fmt.Sprintf("%s%04d", ImageHintPrefix, page) }
