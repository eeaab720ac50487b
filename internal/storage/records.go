package storage

import (
	"fmt"

	"pinebay/internal/protocol"
)

// Keys, and prefixes of keys, of the records. Those of features have them with their records.
const (
	LeaderKey       = "leader"
	TermKey         = "term"
	MachineTypesKey = "types"
	LiveJobPrefix   = "live/"
	EndedJobPrefix  = "ended/"
	PlacementPrefix = "place/"
	ImageHintPrefix = "warm/"
)

// LiveJobKey is the key of an accepted job until it ends.
func LiveJobKey(id string) string { return LiveJobPrefix + id }

// EndedJobKey is the key of the final state of a job.
func EndedJobKey(id string) string { return EndedJobPrefix + id }

// LeaderRecord names the leader. It is attached to the leader's lease.
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
	// WriteName names the transaction, so that its author recognises it.
	WriteName string `msgpack:"w,omitempty"`
	// CancelledDependency is the cancelled job on which this one depended, and with which it is cancelled. Such a
	// job has never had a task.
	CancelledDependency string `msgpack:"need,omitempty"`
}

// ImageHintRecord says which images machines have cached, so that a new leader doesn't send tasks to fetch an image
// that another machine has. Nothing depends on it for correctness.
type ImageHintRecord struct {
	Images   []string        `msgpack:"i"`
	SizesGB  []float64       `msgpack:"s"`
	Machines []MachineImages `msgpack:"m"`
	// Arrivals are, by class, the decayed counts of arrived jobs. Only the first record has them.
	Arrivals []ClassArrivals `msgpack:"a,omitempty"`
}

// ClassArrivals is the decayed count of the arrivals of a class. It is stored as a list.
type ClassArrivals struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Class     string
	Jobs      float64
	MeanTasks float64 // of a job
}

// MachineImages is a machine with the indices of its images. It is stored as a list.
type MachineImages struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Images   []int
}

// MachinesPerImageHint returns how many machines one record covers: a machine takes up to twice the space of a
// placement.
func MachinesPerImageHint(valueKB float64) int { return max(1, OriginalPageTasks(valueKB)/2) }

// ImageHintKey is the key of a record of images.
func ImageHintKey(page int) string { return fmt.Sprintf("%s%04d", ImageHintPrefix, page) }
